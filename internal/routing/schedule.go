package routing

import (
	"container/heap"
	"time"
)

// timerEntry is one entry of a schedule. index is its place in the heap, or -1 once it has left.
type timerEntry[T any] struct {
	at    time.Time
	value T
	index int
}

// timerQueue holds values until their time comes. Removal by handle keeps it as small as what is still waiting.
type timerQueue[T any] struct {
	heap timerHeap[T]
}

func (s *timerQueue[T]) add(at time.Time, v T) *timerEntry[T] {
	e := &timerEntry[T]{at: at, value: v}
	heap.Push(&s.heap, e)
	return e
}

func (s *timerQueue[T]) remove(e *timerEntry[T]) {
	if e != nil && e.index >= 0 {
		heap.Remove(&s.heap, e.index)
	}
}

// nextTime returns the earliest time, or the zero time when nothing is scheduled.
func (s *timerQueue[T]) nextTime() time.Time {
	if len(s.heap) == 0 {
		return time.Time{}
	}
	return s.heap[0].at
}

func (s *timerQueue[T]) popDue(now time.Time) (T, bool) {
	if len(s.heap) == 0 || s.heap[0].at.After(now) {
		var none T
		return none, false
	}
	return heap.Pop(&s.heap).(*timerEntry[T]).value, true
}

type timerHeap[T any] []*timerEntry[T]

func (h timerHeap[T]) Len() int           { return len(h) }
func (h timerHeap[T]) Less(i, j int) bool { return h[i].at.Before(h[j].at) }

func (h timerHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *timerHeap[T]) Push(x any) {
	e := x.(*timerEntry[T])
	e.index = len(*h)
	*h = append(*h, e)
}

func (h *timerHeap[T]) Pop() any {
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
