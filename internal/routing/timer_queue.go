package routing

import (
	"container/heap"
	"time"
)

// timerEntry is one entry of a timerQueue. Its index is the position in the heap, or -1 once it has been removed.
type timerEntry[T any] struct {
	at    time.Time
	value T
	index int
}

// timerQueue orders values by the time at which they are due. Entries that are no longer needed are removed through
// their handle, so that the queue does not grow with them.
type timerQueue[T any] struct {
	heap timerHeap[T]
}

// add adds a value that is due at a time and returns the handle for its removal.
func (q *timerQueue[T]) add(at time.Time, v T) *timerEntry[T] {
	e := &timerEntry[T]{at: at, value: v}
	heap.Push(&q.heap, e)
	return e
}

// remove removes an entry. It has no effect on nil and on an entry that is no longer in the queue.
func (q *timerQueue[T]) remove(e *timerEntry[T]) {
	if e != nil && e.index >= 0 {
		heap.Remove(&q.heap, e.index)
	}
}

// nextTime returns the earliest due time, or the zero time when the queue is empty.
func (q *timerQueue[T]) nextTime() time.Time {
	if len(q.heap) == 0 {
		return time.Time{}
	}
	return q.heap[0].at
}

// popDue removes and returns the earliest value if it is due.
func (q *timerQueue[T]) popDue(now time.Time) (T, bool) {
	if len(q.heap) == 0 || q.heap[0].at.After(now) {
		var none T
		return none, false
	}
	return heap.Pop(&q.heap).(*timerEntry[T]).value, true
}

// timerHeap implements heap.Interface and keeps the index of each entry up to date.
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

// earliest returns the earlier of two times. The zero time stands for never.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}
