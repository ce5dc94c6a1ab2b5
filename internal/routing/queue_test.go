package routing

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"masticcart.example/masticcart/internal/model"
)

// Guards against items that are lost, served out of order, aged too early or by more than one class, or evicted by
// items of no higher class or priority. The queue must agree with a reference list that is sorted after each step.
func TestQueueMatchesSortedList(t *testing.T) {
	classes := []model.Class{model.ClassUrgent, model.ClassNormal, model.ClassDeferrable}
	rapid.Check(t, func(t *rapid.T) {
		const capacity = 6
		now, q := time.Unix(1e9, 0), NewQueue(capacity)
		var list, removed []*QueueItem
		rank := func(it *QueueItem) int {
			r := it.Rule.Class.Rank()
			if r > 0 && it.Rule.MaxWait > 0 && now.Sub(it.ArrivedAt) >= it.Rule.MaxWait {
				r--
			}
			return 100*r + it.Rule.Priority
		}
		sortList := func() {
			slices.SortFunc(list, func(a, b *QueueItem) int { return 1000*(rank(a)-rank(b)) + int(a.ID) - int(b.ID) })
		}
		removeFromList := func(it *QueueItem) { list = slices.DeleteFunc(list, func(o *QueueItem) bool { return o == it }) }
		for id := range uint64(60) {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "ms")) * time.Millisecond)
			q.AgeAndExpire(now)
			list = slices.DeleteFunc(list, func(it *QueueItem) bool { return !now.Before(it.Deadline) })
			sortList()
			switch step := rapid.IntRange(0, 4).Draw(t, "step"); {
			case step == 0 && len(list) > 0:
				it := list[rapid.IntRange(0, len(list)-1).Draw(t, "leaves")]
				q.Remove(it)
				removeFromList(it)
				removed = append(removed, it)
			case step == 1 && len(removed) > 0 && now.Before(removed[len(removed)-1].Deadline):
				q.Requeue(removed[len(removed)-1], now)
				list, removed = append(list, removed[len(removed)-1]), removed[:len(removed)-1]
			default:
				it := &QueueItem{ID: id, Service: "s", ArrivedAt: now, Deadline: now.Add(200 * time.Millisecond), Rule: model.Rule{
					Class: rapid.SampledFrom(classes).Draw(t, "class"), Priority: rapid.IntRange(0, 2).Draw(t, "priority"),
					MaxWait: time.Duration(rapid.IntRange(0, 50).Draw(t, "max wait")) * time.Millisecond,
				}}
				evicted, ok := q.Push(it, now)
				full := len(list) >= capacity
				if canEvict := full && rank(list[len(list)-1]) > rank(it); ok != (!full || canEvict) ||
					(evicted != nil) != canEvict {
					t.Fatalf("push into %d items: evicted %v, ok %v", len(list), evicted, ok)
				}
				if ok {
					removeFromList(evicted)
					list = append(list, it)
				}
			}
			sortList()
			if got := q.Head("s", q.Len()); !slices.Equal(got, list) {
				t.Fatalf("queue and list differ: %d and %d items", len(got), len(list))
			}
		}
	})
}

// Guards against a limit that ignores refusals or growing response times, leaves its bounds or never recovers.
func TestLimiterFollowsQueueing(t *testing.T) {
	now := time.Unix(1e9, 0)
	l := NewLimiter(8)
	limitAfter := func(n int, took time.Duration) int {
		for range n {
			now = now.Add(minDecreaseInterval)
			l.OnReply(now, "fit", took, l.Limit())
		}
		return l.Limit()
	}
	steady := limitAfter(50, 40*time.Millisecond)
	slow := limitAfter(10, 400*time.Millisecond)
	for range 20 {
		now = now.Add(minDecreaseInterval)
		l.OnRefusal(now)
	}
	if floor := l.Limit(); steady != 8 || slow >= 6 || floor != 1 || limitAfter(100, 40*time.Millisecond) != 8 {
		t.Errorf("limit %d when steady, %d when slow, %d after refusals, %d after recovery", steady, slow, floor, l.Limit())
	}
}
