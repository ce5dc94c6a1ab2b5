package routing

import (
	"container/list"
	"slices"
	"time"

	"masticcart.example/masticcart/internal/model"
)

// QueueItem is one waiting request as the queue sees it.
type QueueItem struct {
	ID        uint64
	Service   string
	Rule      model.Rule
	ArrivedAt time.Time
	Deadline  time.Time
	// NotBefore is the end of the back-off after a refusal. Nothing of a lower class or priority passes an item
	// that waits for it.
	NotBefore time.Time
	// NotEvictable items are never evicted, since an earlier attempt may have run and "not run" would be untrue.
	NotEvictable bool

	seq  uint64 // order of arrival, kept when the item returns after a refusal
	aged bool
	band *band
	elem *list.Element
	wake *event[*QueueItem]
}

// order is the part of the rule that decides before arrival does. Lower values are served first.
type order struct{ rank, priority int }

func (o order) compare(p order) int {
	if o.rank != p.rank {
		return o.rank - p.rank
	}
	return o.priority - p.priority
}

// band holds the items of one class and priority, in order of arrival for each service.
type band struct {
	order order
	lists map[string]*list.List
	items int
}

// Queue orders waiting requests by class, priority and arrival. It is bounded: when it is full, an arrival
// evicts the last item that ranks behind it by class or priority, or is refused. An item that has waited for
// its rule's MaxWait moves up by one class, once, and keeps its priority there.
type Queue struct {
	max    int
	length int
	seq    uint64
	bands  []*band // sorted by order; empty bands are removed
	counts map[string]int
	events schedule[*QueueItem]
}

// NewQueue returns an empty queue for at most capacity items.
func NewQueue(capacity int) *Queue { return &Queue{max: capacity, counts: map[string]int{}} }

// Len returns the number of waiting items.
func (q *Queue) Len() int { return q.length }

// ServiceLen returns the number of waiting items of one service.
func (q *Queue) ServiceLen(service string) int { return q.counts[service] }

// Services returns the services that have waiting items, sorted.
func (q *Queue) Services() []string {
	out := make([]string, 0, len(q.counts))
	for s := range q.counts {
		out = append(out, s)
	}
	slices.Sort(out)
	return out
}

// Push adds an arrival. It reports false when the queue is full of items that rank no lower; otherwise it
// returns the item that was evicted to make room, if any.
func (q *Queue) Push(it *QueueItem, now time.Time) (evicted *QueueItem, ok bool) {
	if q.length >= q.max {
		evicted = q.last(order{it.Rule.Class.Rank(), it.Rule.Priority})
		if evicted == nil {
			return nil, false
		}
		q.Remove(evicted)
	}
	q.seq++
	it.seq = q.seq
	q.insert(it, now)
	return evicted, true
}

// Requeue returns an item that had been removed. It keeps its arrival, so it stands at the front of its class
// and priority. The bound does not apply, since the item was accepted before.
func (q *Queue) Requeue(it *QueueItem, now time.Time) { q.insert(it, now) }

// Remove takes an item out and reports whether it was waiting.
func (q *Queue) Remove(it *QueueItem) bool {
	if it.band == nil {
		return false
	}
	q.events.remove(it.wake)
	it.wake = nil
	q.detach(it)
	return true
}

// AgeAndExpire moves items that have waited long enough into the next class, and removes and returns the expired ones.
func (q *Queue) AgeAndExpire(now time.Time) (expired []*QueueItem) {
	for {
		it, due := q.events.popDue(now)
		if !due {
			return expired
		}
		it.wake = nil
		q.detach(it)
		if !now.Before(it.Deadline) {
			expired = append(expired, it)
			continue
		}
		q.insert(it, now)
	}
}

// NextEvent returns the time of the next ageing or expiry, or the zero time.
func (q *Queue) NextEvent() time.Time { return q.events.next() }

// Head returns the first n items of a service in the order in which they are served.
func (q *Queue) Head(service string, n int) []*QueueItem {
	out := make([]*QueueItem, 0, min(n, q.counts[service]))
	for _, b := range q.bands {
		l := b.lists[service]
		if l == nil {
			continue
		}
		for e := l.Front(); e != nil; e = e.Next() {
			if len(out) == n {
				return out
			}
			out = append(out, e.Value.(*QueueItem))
		}
	}
	return out
}

// place returns where the item stands at a time, and when that changes.
func (it *QueueItem) place(now time.Time) (order, time.Time) {
	rank := it.Rule.Class.Rank()
	if rank == 0 || it.Rule.MaxWait <= 0 {
		return order{rank, it.Rule.Priority}, it.Deadline
	}
	ages := it.ArrivedAt.Add(it.Rule.MaxWait)
	if it.aged || !now.Before(ages) {
		it.aged = true
		return order{rank - 1, it.Rule.Priority}, it.Deadline
	}
	return order{rank, it.Rule.Priority}, earliest(ages, it.Deadline)
}

func (q *Queue) insert(it *QueueItem, now time.Time) {
	o, wake := it.place(now)
	it.wake = q.events.add(wake, it)
	b := q.bandFor(o)
	l := b.lists[it.Service]
	if l == nil {
		l = list.New()
		b.lists[it.Service] = l
	}
	it.band, it.elem = b, insertByArrival(l, it)
	b.items++
	q.length++
	q.counts[it.Service]++
}

// insertByArrival appends arrivals. Items that return or have aged are older than most, so their place is
// searched from the front.
func insertByArrival(l *list.List, it *QueueItem) *list.Element {
	if back := l.Back(); back == nil || back.Value.(*QueueItem).seq < it.seq {
		return l.PushBack(it)
	}
	e := l.Front()
	for e.Value.(*QueueItem).seq < it.seq {
		e = e.Next()
	}
	return l.InsertBefore(it, e)
}

func (q *Queue) bandFor(o order) *band {
	i, found := slices.BinarySearchFunc(q.bands, o, func(b *band, o order) int { return b.order.compare(o) })
	if !found {
		q.bands = slices.Insert(q.bands, i, &band{order: o, lists: map[string]*list.List{}})
	}
	return q.bands[i]
}

func (q *Queue) detach(it *QueueItem) {
	b := it.band
	l := b.lists[it.Service]
	l.Remove(it.elem)
	if l.Len() == 0 {
		delete(b.lists, it.Service)
	}
	if b.items--; b.items == 0 {
		q.bands = slices.DeleteFunc(q.bands, func(o *band) bool { return o == b })
	}
	q.length--
	if q.counts[it.Service]--; q.counts[it.Service] == 0 {
		delete(q.counts, it.Service)
	}
	it.band, it.elem = nil, nil
}

// last returns the item that is served last among those that rank behind o, or nil.
func (q *Queue) last(o order) *QueueItem {
	for i := len(q.bands) - 1; i >= 0 && q.bands[i].order.compare(o) > 0; i-- {
		var last *QueueItem
		for _, l := range q.bands[i].lists {
			e := l.Back()
			for e != nil && e.Value.(*QueueItem).NotEvictable {
				e = e.Prev()
			}
			if e != nil && (last == nil || e.Value.(*QueueItem).seq > last.seq) {
				last = e.Value.(*QueueItem)
			}
		}
		if last != nil {
			return last
		}
	}
	return nil
}
