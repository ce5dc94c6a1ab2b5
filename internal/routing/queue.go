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

	arrivalSeq uint64 // order of arrival, kept when the item returns after a refusal
	aged       bool
	level      *priorityLevel
	elem       *list.Element
	timer      *timerEntry[*QueueItem]
}

// precedence is the part of the rule that decides before arrival does. Lower values are served first.
type precedence struct{ rank, priority int }

func (o precedence) compare(p precedence) int {
	if o.rank != p.rank {
		return o.rank - p.rank
	}
	return o.priority - p.priority
}

// priorityLevel holds the items of one class and priority, in order of arrival for each service.
type priorityLevel struct {
	precedence precedence
	byService  map[string]*list.List
	length     int
}

// Queue orders waiting requests by class, priority and arrival. It is bounded: when it is full, an arrival
// evicts the last item that ranks behind it by class or priority, or is refused. An item that has waited for
// its rule's MaxWait moves up by one class, once, and keeps its priority there.
type Queue struct {
	max            int
	length         int
	lastArrivalSeq uint64
	levels         []*priorityLevel // sorted by order; empty bands are removed
	serviceLens    map[string]int
	timers         timerQueue[*QueueItem]
}

// NewQueue returns an empty queue for at most capacity items.
func NewQueue(capacity int) *Queue { return &Queue{max: capacity, serviceLens: map[string]int{}} }

// Len returns the number of waiting items.
func (q *Queue) Len() int { return q.length }

// ServiceLen returns the number of waiting items of one service.
func (q *Queue) ServiceLen(service string) int { return q.serviceLens[service] }

// Services returns the services that have waiting items, sorted.
func (q *Queue) Services() []string {
	out := make([]string, 0, len(q.serviceLens))
	for s := range q.serviceLens {
		out = append(out, s)
	}
	slices.Sort(out)
	return out
}

// Push adds an arrival. It reports false when the queue is full of items that rank no lower; otherwise it
// returns the item that was evicted to make room, if any.
func (q *Queue) Push(it *QueueItem, now time.Time) (evicted *QueueItem, ok bool) {
	if q.length >= q.max {
		evicted = q.evictionCandidate(precedence{it.Rule.Class.Rank(), it.Rule.Priority})
		if evicted == nil {
			return nil, false
		}
		q.Remove(evicted)
	}
	q.lastArrivalSeq++
	it.arrivalSeq = q.lastArrivalSeq
	q.insert(it, now)
	return evicted, true
}

// Requeue returns an item that had been removed. It keeps its arrival, so it stands at the front of its class
// and priority. The bound does not apply, since the item was accepted before.
func (q *Queue) Requeue(it *QueueItem, now time.Time) { q.insert(it, now) }

// Remove takes an item out and reports whether it was waiting.
func (q *Queue) Remove(it *QueueItem) bool {
	if it.level == nil {
		return false
	}
	q.timers.remove(it.timer)
	it.timer = nil
	q.unlink(it)
	return true
}

// AgeAndExpire moves items that have waited long enough into the next class, and removes and returns the expired ones.
func (q *Queue) AgeAndExpire(now time.Time) (expired []*QueueItem) {
	for {
		it, due := q.timers.popDue(now)
		if !due {
			return expired
		}
		it.timer = nil
		q.unlink(it)
		if !now.Before(it.Deadline) {
			expired = append(expired, it)
			continue
		}
		q.insert(it, now)
	}
}

// NextEvent returns the time of the next ageing or expiry, or the zero time.
func (q *Queue) NextEvent() time.Time { return q.timers.nextTime() }

// Head returns the first n items of a service in the order in which they are served.
func (q *Queue) Head(service string, n int) []*QueueItem {
	out := make([]*QueueItem, 0, min(n, q.serviceLens[service]))
	for _, b := range q.levels {
		l := b.byService[service]
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

// precedenceAt returns where the item stands at a time, and when that changes.
func (it *QueueItem) precedenceAt(now time.Time) (precedence, time.Time) {
	rank := it.Rule.Class.Rank()
	if rank == 0 || it.Rule.MaxWait <= 0 {
		return precedence{rank, it.Rule.Priority}, it.Deadline
	}
	ages := it.ArrivedAt.Add(it.Rule.MaxWait)
	if it.aged || !now.Before(ages) {
		it.aged = true
		return precedence{rank - 1, it.Rule.Priority}, it.Deadline
	}
	return precedence{rank, it.Rule.Priority}, earliest(ages, it.Deadline)
}

func (q *Queue) insert(it *QueueItem, now time.Time) {
	o, wake := it.precedenceAt(now)
	it.timer = q.timers.add(wake, it)
	b := q.levelFor(o)
	l := b.byService[it.Service]
	if l == nil {
		l = list.New()
		b.byService[it.Service] = l
	}
	it.level, it.elem = b, insertByArrival(l, it)
	b.length++
	q.length++
	q.serviceLens[it.Service]++
}

// insertByArrival appends arrivals. Items that return or have aged are older than most, so their place is
// searched from the front.
func insertByArrival(l *list.List, it *QueueItem) *list.Element {
	if back := l.Back(); back == nil || back.Value.(*QueueItem).arrivalSeq < it.arrivalSeq {
		return l.PushBack(it)
	}
	e := l.Front()
	for e.Value.(*QueueItem).arrivalSeq < it.arrivalSeq {
		e = e.Next()
	}
	return l.InsertBefore(it, e)
}

func (q *Queue) levelFor(o precedence) *priorityLevel {
	i, found := slices.BinarySearchFunc(q.levels, o, func(b *priorityLevel, o precedence) int { return b.precedence.compare(o) })
	if !found {
		q.levels = slices.Insert(q.levels, i, &priorityLevel{precedence: o, byService: map[string]*list.List{}})
	}
	return q.levels[i]
}

func (q *Queue) unlink(it *QueueItem) {
	b := it.level
	l := b.byService[it.Service]
	l.Remove(it.elem)
	if l.Len() == 0 {
		delete(b.byService, it.Service)
	}
	if b.length--; b.length == 0 {
		q.levels = slices.DeleteFunc(q.levels, func(o *priorityLevel) bool { return o == b })
	}
	q.length--
	if q.serviceLens[it.Service]--; q.serviceLens[it.Service] == 0 {
		delete(q.serviceLens, it.Service)
	}
	it.level, it.elem = nil, nil
}

// evictionCandidate returns the item that is served evictionCandidate among those that rank behind o, or nil.
func (q *Queue) evictionCandidate(o precedence) *QueueItem {
	for i := len(q.levels) - 1; i >= 0 && q.levels[i].precedence.compare(o) > 0; i-- {
		var last *QueueItem
		for _, l := range q.levels[i].byService {
			e := l.Back()
			for e != nil && e.Value.(*QueueItem).NotEvictable {
				e = e.Prev()
			}
			if e != nil && (last == nil || e.Value.(*QueueItem).arrivalSeq > last.arrivalSeq) {
				last = e.Value.(*QueueItem)
			}
		}
		if last != nil {
			return last
		}
	}
	return nil
}
