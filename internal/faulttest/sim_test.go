package faulttest_test

import (
	"container/heap"
	"fmt"
	"iter"
	"math/rand/v2"
	"time"
)

// epoch is the virtual time at which every run begins.
var epoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// event is a function that is due at a virtual time; seq orders events of the same time.
type event struct {
	at  time.Time
	seq int
	do  func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	old[len(old)-1] = event{}
	*q = old[:len(old)-1]
	return e
}

// sim is a virtual clock with an event queue and a seeded source of random numbers. All events run in the caller's
// goroutine. Code under test that blocks runs in coroutines that events resume, so a run depends on its seed only.
type sim struct {
	now             time.Time
	seq             int
	queue           eventQueue
	random          *rand.Rand
	coroutineStops  map[int]func() // by coroutine; those that have not ended
	nextCoroutineID int
	failure         string // first violation
	trace           func(format string, args ...any)
}

func newSim(seed uint64) *sim {
	return &sim{now: epoch, random: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)),
		coroutineStops: make(map[int]func()), trace: func(string, ...any) {}}
}

func (s *sim) at(t time.Time, do func()) {
	s.seq++
	heap.Push(&s.queue, event{at: t, seq: s.seq, do: do})
}

func (s *sim) after(d time.Duration, do func()) { s.at(s.now.Add(d), do) }

// advance runs the events that are due within d. It stops at the first violation.
func (s *sim) advance(d time.Duration) {
	end := s.now.Add(d)
	for s.failure == "" && len(s.queue) > 0 && !s.queue[0].at.After(end) {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.do()
	}
	if s.failure == "" {
		s.now = end
	}
}

// violate records the first violation of an invariant.
func (s *sim) violate(format string, args ...any) {
	if s.failure == "" {
		s.failure = fmt.Sprintf("at %s: ", s.now.Sub(epoch)) + fmt.Sprintf(format, args...)
		s.trace("VIOLATION %s", s.failure)
	}
}

func (s *sim) between(low, high time.Duration) time.Duration {
	return low + time.Duration(s.random.Int64N(int64(high-low)+1))
}

// chance returns true with probability p.
func (s *sim) chance(p float64) bool { return p > 0 && s.random.Float64() < p }

// close discards the remaining events and ends the coroutines that wait for them.
func (s *sim) close() {
	s.queue = nil
	for id := 0; id < s.nextCoroutineID; id++ {
		if stop := s.coroutineStops[id]; stop != nil {
			stop()
		}
	}
}

// proc is a process that can crash, restart and pause. A crash discards its pending events; a pause delays them.
type proc struct {
	*sim
	name        string
	generation  int // number of starts and ends so far
	up          bool
	pausedUntil time.Time
}

func (p *proc) paused() bool { return p.now.Before(p.pausedUntil) }

// after runs do after d, or at the end of a pause at that time. It does not run do if the process has crashed or
// restarted by then.
func (p *proc) after(d time.Duration, do func()) {
	generation := p.generation
	var fire func()
	fire = func() {
		switch {
		case p.generation != generation:
		case p.paused():
			p.at(p.pausedUntil, fire)
		default:
			do()
		}
	}
	p.sim.after(d, fire)
}

// every repeats do until the process ends.
func (p *proc) every(d time.Duration, do func()) {
	p.after(d, func() {
		do()
		p.every(d, do)
	})
}

func (p *proc) bringUp() {
	p.generation++
	p.up, p.pausedUntil = true, time.Time{}
}

func (p *proc) terminate() {
	p.generation++
	p.up = false
}

// spawn runs f as a coroutine. wait suspends it for a virtual time and returns false when the run is over. A coroutine
// of a process that crashes is never resumed.
func (p *proc) spawn(f func(wait func(time.Duration) bool)) {
	next, stop := iter.Pull(func(yield func(time.Duration) bool) { f(yield) })
	id := p.nextCoroutineID
	p.nextCoroutineID++
	p.coroutineStops[id] = stop
	var step func()
	step = func() {
		d, ok := next()
		if !ok {
			delete(p.coroutineStops, id)
			return
		}
		p.after(d, step)
	}
	step()
}

// conn is a connection that an agent opened to an entry.
type conn struct {
	agent, entry                     *proc
	agentGeneration, entryGeneration int
	closedByEntry                    bool
	sequence                         int // a connection that was opened later has a higher number
}

// broken reports whether one of the two processes has crashed or restarted since the connection was opened.
func (c *conn) broken() bool {
	return c.agent.generation != c.agentGeneration || c.entry.generation != c.entryGeneration
}

// link is one direction between two processes, by name.
type link struct{ from, to string }

// network delivers messages between processes, with delays, partitions and duplicates.
type network struct {
	*sim
	maxExtraDelay     map[link]time.Duration // upper bound of the random delay added to each message
	partitioned       map[link]bool          // links that deliver nothing
	buffered          map[link][]func()      // deliveries of messages that were sent while the link was partitioned
	replayProbability float64                // probability that a command to an agent is delivered twice
	replayDelay       time.Duration          // time after which the second copy is sent
	connsOpened       int
}

func newNetwork(s *sim) *network {
	return &network{sim: s, maxExtraDelay: make(map[link]time.Duration), partitioned: make(map[link]bool),
		buffered: make(map[link][]func())}
}

func (n *network) delay(l link) time.Duration {
	return n.between(200*time.Microsecond, 3*time.Millisecond) + n.between(0, n.maxExtraDelay[l])
}

// send delivers one message. A nil connection stands for one that is opened for this message. A message on a
// partitioned link waits in the sender's buffer and may still arrive after the partition ends.
func (n *network) send(c *conn, from, to *proc, deliver func()) {
	if c != nil && c.broken() || !to.up {
		return
	}
	l := link{from.name, to.name}
	if n.partitioned[l] {
		generation := to.generation
		n.buffered[l] = append(n.buffered[l], func() {
			if to.generation == generation {
				n.send(c, from, to, deliver)
			}
		})
		return
	}
	to.after(n.delay(l), deliver)
}

// call sends a request, which runs handle at the receiver. handle passes a function to answer, which runs at the caller
// when the answer arrives. failed runs at the caller if no answer arrives before the timeout.
func (n *network) call(
	c *conn, from, to *proc, timeout time.Duration, handle func(answer func(func())), failed func(),
) {
	pending := true
	finish := func(f func()) {
		if pending {
			pending = false
			f()
		}
	}
	from.after(timeout, func() { finish(failed) })
	n.send(c, from, to, func() {
		handle(func(f func()) { n.send(c, to, from, func() { finish(f) }) })
	})
}

// callWithReplay is a call whose request may be sent a second time, replayDelay later. The delay is the same for all
// requests, so the second copies are sent in the order of the first ones. Their answers are discarded.
func (n *network) callWithReplay(
	c *conn, from, to *proc, timeout time.Duration, handle func(answer func(func())), failed func(),
) {
	n.call(c, from, to, timeout, handle, failed)
	if n.chance(n.replayProbability) {
		n.after(n.replayDelay, func() { n.send(c, from, to, func() { handle(func(func()) {}) }) })
	}
}

// connect opens a connection from an agent to an entry.
func (n *network) connect(agent, entry *proc) *conn {
	n.connsOpened++
	return &conn{agent: agent, entry: entry, agentGeneration: agent.generation, entryGeneration: entry.generation,
		sequence: n.connsOpened}
}

func (n *network) reachable(a, b *proc) bool {
	return a.up && b.up && !n.partitioned[link{a.name, b.name}] && !n.partitioned[link{b.name, a.name}]
}

// restoreLinks ends the partitions and extra delays of the links. Each buffered message is sent with probability 0.5
// and lost otherwise.
func (n *network) restoreLinks(links []link) {
	for _, l := range links {
		delete(n.partitioned, l)
		delete(n.maxExtraDelay, l)
		buffered := n.buffered[l]
		delete(n.buffered, l)
		for _, deliver := range buffered {
			if n.chance(0.5) {
				deliver()
			}
		}
	}
}
