package clientlimit

import (
	"container/list"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"k8s.io/klog/v2"
)

const (
	// gracePeriod is the time that a connection has for its first request, for a body and for a response before it may have
	// to give way to others.
	gracePeriod = time.Second
	// releaseTimeout bounds the wait for memory of requests that give way.
	releaseTimeout = 250 * time.Millisecond
	// closingFraction is the share of the connections that is kept for evicted ones whose goroutines have not ended.
	closingFraction = 0.125
	// logInterval is the shortest time between two log lines about refusals.
	logInterval = time.Second
)

// phase is what a connection is doing. Connections of each phase are kept in the order in which they entered it.
type phase int

const (
	unserved   phase = iota // no request has been answered yet, and none is being served
	idle                    // waits for the next request
	receiving               // the body of a request is being read
	serving                 // a request is complete and not answered yet
	responding              // a write of a response has not returned
	phases     = iota
)

// Limiter enforces limits on the clients of one server.
type Limiter struct {
	limits  Limits
	metrics tally.Scope
	now     func() time.Time

	mu           sync.Mutex
	byPhase      [phases]list.List // of *connection; evicted ones are in none
	open         int               // connections that are not evicted and whose goroutine has not ended
	closing      int               // evicted connections whose goroutine has not ended
	bodyBytes    int64             // reserved bytes
	evictedBytes int64             // those of them that evicted connections hold
	released     chan struct{}     // closed and replaced when bytes or an evicted connection have been released
	counts       counts
	loggedAt     time.Time
}

// counts are the events since the last log line.
type counts struct{ evicted, refusedConnections, refusedBodies int }

// maxClosing returns the number of evicted connections whose goroutines may go on at the same time.
func (l *Limiter) maxClosing() int {
	return max(1, int(float64(l.limits.Connections)*closingFraction))
}

// New returns a limiter. A nil scope means no metrics.
func New(limits Limits, scope tally.Scope) *Limiter {
	if scope == nil {
		scope = tally.NoopScope
	}
	klog.InfoS("Limits on clients", "connections", limits.Connections, "bodyBytes", limits.BodyBytes)
	return &Limiter{limits: limits, metrics: scope.SubScope("clients"), now: time.Now, released: make(chan struct{})}
}

// enter moves a connection to a phase. It returns false if the connection has been evicted. The caller holds the mutex.
func (l *Limiter) enter(c *connection, p phase) bool {
	if c.element == nil {
		return false
	}
	l.byPhase[c.phase].Remove(c.element)
	c.phase, c.since = p, l.now()
	c.element = l.byPhase[p].PushBack(c)
	return true
}

// oldest returns the connection that has been in a phase for longest, if that is at least as long as the given time, and
// else nil. The caller holds the mutex.
func (l *Limiter) oldest(p phase, atLeast time.Duration) *connection {
	front := l.byPhase[p].Front()
	if front == nil {
		return nil
	}
	c, _ := front.Value.(*connection)
	if l.now().Sub(c.since) < atLeast {
		return nil
	}
	return c
}

// evictionCandidate returns the connection that gives way to a new one, or nil if all are in use. A request that is being served
// never gives way. The caller holds the mutex.
func (l *Limiter) evictionCandidate() *connection {
	for _, candidate := range [...]struct {
		phase   phase
		atLeast time.Duration
	}{{unserved, gracePeriod}, {idle, 0}, {receiving, gracePeriod}, {responding, gracePeriod}, {unserved, 0}} {
		if c := l.oldest(candidate.phase, candidate.atLeast); c != nil {
			return c
		}
	}
	return nil
}

// evict removes a connection from the account of open ones. What it holds stays reserved until its goroutine has ended.
// The caller holds the mutex, and calls interrupt without it.
func (l *Limiter) evict(c *connection) {
	l.byPhase[c.phase].Remove(c.element)
	c.element = nil
	l.open--
	l.closing++
	l.evictedBytes += c.reserved
	l.counts.evicted++
	l.metrics.Counter("evicted").Inc(1)
}

// admit makes room for a new connection and adds it. It returns false if all connections are in use.
func (l *Limiter) admit(c *connection) bool {
	l.mu.Lock()
	for l.closing >= l.maxClosing() {
		released := l.released
		l.mu.Unlock()
		<-released
		l.mu.Lock()
	}
	var victim *connection
	if l.open >= l.limits.Connections-l.maxClosing() {
		if victim = l.evictionCandidate(); victim == nil {
			l.counts.refusedConnections++
			l.metrics.Counter("refused_connections").Inc(1)
			l.logCounts()
			l.mu.Unlock()
			return false
		}
		l.evict(victim)
		l.logCounts()
	}
	l.open++
	c.phase, c.since = unserved, l.now()
	c.element = l.byPhase[unserved].PushBack(c)
	l.mu.Unlock()
	if victim != nil {
		victim.interrupt()
	}
	return true
}

// remove is called when the goroutine of a connection has ended.
func (l *Limiter) remove(c *connection) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.removed {
		return
	}
	c.removed = true
	l.releaseBody(c)
	if c.element != nil {
		l.byPhase[c.phase].Remove(c.element)
		c.element = nil
		l.open--
	} else {
		l.closing--
	}
	l.notifyReleased()
}

// notifyReleased wakes all who wait for a release. The caller holds the mutex.
func (l *Limiter) notifyReleased() {
	close(l.released)
	l.released = make(chan struct{})
}

// reserve adds bytes to what the request on a connection has reserved. If they are not free, the oldest unfinished bodies
// give way. It returns ErrOverloaded if that does not free enough, or if the connection itself has been evicted, and
// ErrTooLarge if the request would need more than there is in all.
func (l *Limiter) reserve(c *connection, n int64) error {
	deadline := time.NewTimer(releaseTimeout)
	defer deadline.Stop()
	for {
		l.mu.Lock()
		switch {
		case c.element == nil:
			l.mu.Unlock()
			return ErrOverloaded
		case c.reserved+n > l.limits.BodyBytes:
			l.mu.Unlock()
			return ErrTooLarge
		case l.bodyBytes+n <= l.limits.BodyBytes:
			l.bodyBytes += n
			c.reserved += n
			l.mu.Unlock()
			return nil
		}
		victims, enough := l.evictBodies(c, l.bodyBytes+n-l.limits.BodyBytes)
		released := l.released
		if !enough {
			l.counts.refusedBodies++
			l.metrics.Counter("refused_bodies").Inc(1)
		}
		l.logCounts()
		l.mu.Unlock()
		for _, v := range victims {
			v.interrupt()
		}
		if !enough {
			return ErrOverloaded
		}
		select {
		case <-released:
		case <-deadline.C:
			return ErrOverloaded
		}
	}
}

// evictBodies evicts the oldest unfinished bodies that are past their grace period, other than that of a connection, until
// the evicted ones hold at least n bytes. If there are not enough, it evicts none and returns false. The caller holds the
// mutex, and interrupts the victims without it.
func (l *Limiter) evictBodies(except *connection, n int64) (victims []*connection, enough bool) {
	n -= l.evictedBytes
	for e := l.byPhase[receiving].Front(); n > 0 && e != nil; e = e.Next() {
		c, _ := e.Value.(*connection)
		if l.now().Sub(c.since) < gracePeriod {
			break
		}
		if c != except && c.reserved > 0 {
			n -= c.reserved
			victims = append(victims, c)
		}
	}
	if n > 0 {
		return nil, false
	}
	for _, c := range victims {
		l.evict(c)
	}
	return victims, true
}

// releaseBody releases what the request on a connection has reserved. The caller holds the mutex.
func (l *Limiter) releaseBody(c *connection) {
	if c.reserved == 0 {
		return
	}
	l.bodyBytes -= c.reserved
	if c.element == nil {
		l.evictedBytes -= c.reserved
	}
	c.reserved = 0
	l.notifyReleased()
}

// logCounts logs what has been refused since the last line, at most once in logInterval. The caller holds the mutex.
func (l *Limiter) logCounts() {
	if now := l.now(); now.Sub(l.loggedAt) >= logInterval {
		klog.InfoS("Clients at their limits", "evicted", l.counts.evicted, "refusedConnections", l.counts.refusedConnections,
			"refusedBodies", l.counts.refusedBodies, "open", l.open, "bodyBytes", l.bodyBytes)
		l.loggedAt, l.counts = now, counts{}
	}
}
