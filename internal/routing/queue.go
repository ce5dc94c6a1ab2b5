package routing

import (
	"container/list"
	"slices"
	"time"

	"masticcart.example/masticcart/internal/model"
)

// QueueItem is one request in the queue.
type QueueItem struct {
	ID        uint64
	Service   string
	Rule      model.Rule
	ArrivedAt time.Time
	Deadline  time.Time
	// NotBefore is the end of the back-off after a refusal. No request of a lower class or priority is sent ahead of an
	// item in back-off.
	NotBefore time.Time
	// NotEvictable is set once an attempt may have run, since an evicted request is reported as "not run".
	NotEvictable bool

	arrivalSeq uint64         // order of arrival, unchanged by Requeue
	aged       bool           // has been moved up by one class
	level      *priorityLevel // nil while not queued
	elem       *list.Element
	timer      *timerEntry[*QueueItem]
}

// precedence is the rank of a request's class and its priority within the class. Lower values are served first; among
// equal ones the order of arrival decides.
type precedence struct{ rank, priority int }

func (p precedence) compare(q precedence) int {
	if p.rank != q.rank {
		return p.rank - q.rank
	}
	return p.priority - q.priority
}

// priorityLevel holds the items of one precedence, in order of arrival for each service.
type priorityLevel struct {
	precedence precedence
	byService  map[string]*list.List
	length     int
}

// Queue is a bounded priority queue that orders requests by class, priority and arrival. When it is full, an arrival
// evicts the last item of a lower class or priority, or is refused if there is none. An item that has waited for the
// MaxWait of its rule moves up by one class, once, and keeps its priority there.
type Queue struct {
	max            int
	length         int
	lastArrivalSeq uint64
	levels         []*priorityLevel // sorted by precedence, none empty
	serviceLens    map[string]int
	timers         timerQueue[*QueueItem]
}

// NewQueue returns an empty queue for at most capacity items.
func NewQueue(capacity int) *Queue { return &Queue{max: capacity, serviceLens: map[string]int{}} }

// Len returns the number of queued items.
func (q *Queue) Len() int { return q.length }

// ServiceLen returns the number of queued items of one service.
func (q *Queue) ServiceLen(service string) int { return q.serviceLens[service] }

// Services returns the services that have queued items, sorted.
func (q *Queue) Services() []string {
	out := make([]string, 0, len(q.serviceLens))
	for s := range q.serviceLens {
		out = append(out, s)
	}
	slices.Sort(out)
	return out
}

// Push adds a new item. When the queue is full it evicts and returns an item of a lower class or priority. It reports
// false, and does not add the item, if there is none to evict.
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

// Requeue adds an item again that has been removed. The item keeps its place by arrival, so it comes early in its class
// and priority. The bound does not apply, since the item was accepted before.
func (q *Queue) Requeue(it *QueueItem, now time.Time) { q.insert(it, now) }

// Remove removes an item and reports whether it was queued.
func (q *Queue) Remove(it *QueueItem) bool {
	if it.level == nil {
		return false
	}
	q.timers.remove(it.timer)
	it.timer = nil
	q.unlink(it)
	return true
}

// AgeAndExpire moves the items that have waited for their MaxWait up by one class. It removes and returns the items
// whose deadline has passed.
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

// NextEvent returns the time at which the next item ages or expires, or the zero time for never.
func (q *Queue) NextEvent() time.Time { return q.timers.nextTime() }

// Head returns the first n items of a service in the order in which they are served.
func (q *Queue) Head(service string, n int) []*QueueItem {
	out := make([]*QueueItem, 0, min(n, q.serviceLens[service]))
	for _, level := range q.levels {
		l := level.byService[service]
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

// precedenceAt returns the precedence of the item at a time, and when the item ages or expires next. It marks the item
// as aged if its MaxWait has passed.
func (it *QueueItem) precedenceAt(now time.Time) (precedence, time.Time) {
	rank := it.Rule.Class.Rank()
	if rank == 0 || it.Rule.MaxWait <= 0 {
		return precedence{rank, it.Rule.Priority}, it.Deadline
	}
	agesAt := it.ArrivedAt.Add(it.Rule.MaxWait)
	if it.aged || !now.Before(agesAt) {
		it.aged = true
		return precedence{rank - 1, it.Rule.Priority}, it.Deadline
	}
	return precedence{rank, it.Rule.Priority}, earliest(agesAt, it.Deadline)
}

func (q *Queue) insert(it *QueueItem, now time.Time) {
	p, changesAt := it.precedenceAt(now)
	it.timer = q.timers.add(changesAt, it)
	level := q.levelFor(p)
	l := level.byService[it.Service]
	if l == nil {
		l = list.New()
		level.byService[it.Service] = l
	}
	it.level, it.elem = level, insertByArrival(l, it)
	level.length++
	q.length++
	q.serviceLens[it.Service]++
}

// insertByArrival inserts an item in order of arrival. New items go to the back. Requeued and aged items are older than
// most, so their place is searched from the front.
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

// levelFor returns the level of a precedence and creates it if it does not exist.
func (q *Queue) levelFor(p precedence) *priorityLevel {
	i, found := slices.BinarySearchFunc(q.levels, p,
		func(level *priorityLevel, p precedence) int { return level.precedence.compare(p) })
	if !found {
		q.levels = slices.Insert(q.levels, i, &priorityLevel{precedence: p, byService: map[string]*list.List{}})
	}
	return q.levels[i]
}

func (q *Queue) unlink(it *QueueItem) {
	level := it.level
	l := level.byService[it.Service]
	l.Remove(it.elem)
	if l.Len() == 0 {
		delete(level.byService, it.Service)
	}
	if level.length--; level.length == 0 {
		q.levels = slices.DeleteFunc(q.levels, func(other *priorityLevel) bool { return other == level })
	}
	q.length--
	if q.serviceLens[it.Service]--; q.serviceLens[it.Service] == 0 {
		delete(q.serviceLens, it.Service)
	}
	it.level, it.elem = nil, nil
}

// evictionCandidate returns the last evictable item among those that are served after precedence p, or nil.
func (q *Queue) evictionCandidate(p precedence) *QueueItem {
	for i := len(q.levels) - 1; i >= 0 && q.levels[i].precedence.compare(p) > 0; i-- {
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
