package routing

import (
	"container/heap"
	"time"
)

// event is one entry of a schedule. index is its place in the heap, or -1 once it has left.
type event[T any] struct {
	at    time.Time
	value T
	index int
}

// schedule holds values until their time comes. Removal by handle keeps it as small as what is still waiting.
type schedule[T any] struct {
	events eventHeap[T]
}

func (s *schedule[T]) add(at time.Time, v T) *event[T] {
	e := &event[T]{at: at, value: v}
	heap.Push(&s.events, e)
	return e
}

func (s *schedule[T]) remove(e *event[T]) {
	if e != nil && e.index >= 0 {
		heap.Remove(&s.events, e.index)
	}
}

// next returns the earliest time, or the zero time when nothing is scheduled.
func (s *schedule[T]) next() time.Time {
	if len(s.events) == 0 {
		return time.Time{}
	}
	return s.events[0].at
}

func (s *schedule[T]) popDue(now time.Time) (T, bool) {
	if len(s.events) == 0 || s.events[0].at.After(now) {
		var none T
		return none, false
	}
	return heap.Pop(&s.events).(*event[T]).value, true
}

type eventHeap[T any] []*event[T]

func (h eventHeap[T]) Len() int           { return len(h) }
func (h eventHeap[T]) Less(i, j int) bool { return h[i].at.Before(h[j].at) }

func (h eventHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *eventHeap[T]) Push(x any) {
	e := x.(*event[T])
	e.index = len(*h)
	*h = append(*h, e)
}

func (h *eventHeap[T]) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	e.index = -1
	return e
}

// earliest returns the earlier of two times, where the zero time stands for never.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}
