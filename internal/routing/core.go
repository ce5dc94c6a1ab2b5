package routing

import (
	"fmt"
	"time"

	"masticcart.example/masticcart/internal/model"
	"masticcart.example/masticcart/internal/protocol"
)

const (
	// headScan is how many items of a service are tried before it counts as out of room. More than one, since
	// the first may exclude upstreams that it has tried.
	headScan = 4
	// deepScanInterval bounds the search of the whole queue for requests that are worth sending elsewhere.
	deepScanInterval = 10 * time.Millisecond
	// maxItemBackoff bounds the back-off of a refused request, during which lower classes do not pass it.
	maxItemBackoff = 16 * time.Millisecond
)

// call is one accepted request. It is either in the queue or has attempts in flight, never both.
type call struct {
	item      QueueItem
	req       model.Request
	forwarded bool // from another entry
	done      func(model.Outcome)

	attempts   []*attempt
	sent       int
	refusals   int
	mayHaveRun bool
	tried      []string
	deadline   *event[wakeup] // while attempts are in flight
	second     *event[wakeup] // until a second attempt is due
}

// attempt is one dispatch or forward in flight.
type attempt struct {
	id        string
	call      *call
	upstream  *Upstream // or peer
	peer      *Peer
	sentAt    time.Time
	inFlight  int  // at the upstream when it was sent, this one included
	abandoned bool // the call has its outcome; the answer only frees the slot
}

func (a *attempt) target() string {
	if a.peer != nil {
		return a.peer.ID
	}
	return a.upstream.Identity.Agent
}

// wakeup is a time at which a call in flight needs attention.
type wakeup struct {
	call   *call
	second bool // a second attempt is due; otherwise the deadline has passed
}

// send is an order to the caller of the core: make the call and bring back its answer.
type send struct {
	attempt  *attempt
	request  model.Request
	decision Decision
	waited   time.Duration
	second   bool
}

// core is the state machine behind Router. It takes the time as an argument and does no I/O: sends and
// cancellations are collected in its fields for the caller to carry out.
type core struct {
	prefix        string // makes attempt ids unique among entries and restarts
	view          *ClusterView
	queue         *Queue
	budget        *RetryBudget
	metrics       *metrics
	secondAttempt bool

	nextID   uint64
	calls    map[uint64]*call
	attempts map[string]*attempt
	timers   schedule[wakeup]
	wake     time.Time // when room appears without an event
	deepScan time.Time // earliest next search of the whole queue
	draining bool

	sends   []send
	cancels []string // attempt ids whose call is over
}

func newCore(prefix string, v *ClusterView, maxQueue int, m *metrics, secondAttempt bool) *core {
	return &core{
		prefix: prefix, view: v, queue: NewQueue(maxQueue), budget: NewRetryBudget(), metrics: m,
		secondAttempt: secondAttempt, calls: map[uint64]*call{}, attempts: map[string]*attempt{},
	}
}

// submit accepts or refuses a request. Done is called exactly once, possibly before submit returns.
func (c *core) submit(now time.Time, r model.Request, rule model.Rule, forwarded bool, done func(model.Outcome)) uint64 {
	c.metrics.requests.inc()
	c.nextID++
	cl := &call{req: r, forwarded: forwarded, done: done, item: QueueItem{
		ID: c.nextID, Service: r.Service, Rule: rule, ArrivedAt: now, Deadline: now.Add(r.Timeout),
	}}
	c.calls[cl.item.ID] = cl
	if c.draining {
		c.finish(cl, refused("the entry is stopping"))
		return cl.item.ID
	}
	// A forwarded request was counted where it arrived; counting it again would double the share of retries.
	if !forwarded {
		c.budget.Deposit()
	}
	evicted, ok := c.queue.Push(&cl.item, now)
	if evicted != nil {
		c.metrics.evicted.inc()
		c.finish(c.calls[evicted.ID], refused("the queue is full and more urgent work arrived"))
	}
	if !ok {
		c.finish(cl, refused("the queue is full"))
	}
	c.pump(now)
	return cl.item.ID
}

// cancel ends a call whose caller has gone.
func (c *core) cancel(now time.Time, id uint64) {
	cl := c.calls[id]
	if cl == nil {
		return
	}
	c.queue.Remove(&cl.item)
	ran := cl.mayHaveRun || len(cl.attempts) > 0
	c.finish(cl, model.Outcome{Result: model.ResultCancelled, Ran: ran, Reason: "the caller cancelled the request"})
	c.pump(now)
}

// tick handles what is due and must be called at next or earlier.
func (c *core) tick(now time.Time) {
	for _, it := range c.queue.AgeAndExpire(now) {
		c.expire(c.calls[it.ID])
	}
	for {
		w, due := c.timers.popDue(now)
		if !due {
			break
		}
		if w.second {
			w.call.second = nil
			c.trySecond(now, w.call)
			continue
		}
		w.call.deadline = nil
		c.finish(w.call, unknown("the deadline passed without an answer from "+w.call.attempts[0].target()))
	}
	c.pump(now)
}

// isTooLate reports whether a request that has waited long would more likely miss its deadline than meet it.
// Under overload the head of a class is always close to its deadline, and serving it would fill the slots with
// work that is cancelled. Requests that have not waited are sent in any case, so that the median stays current.
func (c *core) isTooLate(now time.Time, cl *call) bool {
	left := cl.item.Deadline.Sub(now)
	return left < cl.req.Timeout/2 && left < c.view.kinds.median(cl.req.Kind)
}

// expire ends a queued call that cannot meet its deadline.
func (c *core) expire(cl *call) {
	if cl.mayHaveRun {
		c.finish(cl, unknown("the deadline came too close for a retry; an earlier attempt may have run"))
	} else {
		c.finish(cl, refused("the deadline came too close while waiting for an upstream"))
	}
}

// next returns when tick is due, or the zero time for never.
func (c *core) next() time.Time {
	return earliest(earliest(c.queue.NextEvent(), c.timers.next()), c.wake)
}

// pump sends what can be sent, and notes when more can be sent without an event.
func (c *core) pump(now time.Time) {
	c.wake = time.Time{}
	deep := !now.Before(c.deepScan)
	for _, service := range c.queue.Services() {
		for c.pumpHead(now, service) {
		}
		if c.queue.ServiceLen(service) == 0 {
			continue
		}
		if deep && c.peerHasRoom(service, now) {
			c.deepScan = now.Add(deepScanInterval)
			c.pumpRemote(now, service)
		}
		c.wake = earliest(c.wake, c.wakeFor(now, service))
	}
	c.metrics.queued.set(c.queue.Len())
}

// pumpHead sends one request from the head of a service's queue, if there is one that can go.
func (c *core) pumpHead(now time.Time, service string) bool {
	var blocked *QueueItem
	for i, it := range c.queue.Head(service, headScan) {
		// Strict priority: nothing of a lower class or priority passes an item in back-off.
		if blocked != nil && it.band != blocked.band {
			return false
		}
		if it.NotBefore.After(now) {
			blocked = it
			continue
		}
		cl := c.calls[it.ID]
		if c.isTooLate(now, cl) {
			c.queue.Remove(it)
			c.expire(cl)
			return true
		}
		if c.trySend(now, cl, SelectionInput{QueuedAhead: i}) {
			return true
		}
		// It may use fewer upstreams than the items behind it only because it was refused before.
		if cl.refusals > 0 && len(cl.tried) == 0 {
			blocked = it
		}
	}
	return false
}

// pumpRemote forwards the requests that save enough by it, wherever they stand in the queue.
func (c *core) pumpRemote(now time.Time, service string) {
	for i, it := range c.queue.Head(service, c.queue.ServiceLen(service)) {
		if !it.NotBefore.After(now) {
			c.trySend(now, c.calls[it.ID], SelectionInput{QueuedAhead: i, RemoteOnly: true})
		}
	}
}

func (c *core) peerHasRoom(service string, now time.Time) bool {
	for _, p := range c.view.peers {
		if p.usable(now) && p.free(service) > 0 {
			return true
		}
	}
	return false
}

func (c *core) wakeFor(now time.Time, service string) time.Time {
	head := c.queue.Head(service, headScan)
	wake := c.view.nextRoom(service, head[0].Rule.Class.Rank() == 0, now)
	for _, it := range head {
		if it.NotBefore.After(now) {
			wake = earliest(wake, it.NotBefore)
		}
	}
	if c.peerHasRoom(service, now) {
		wake = earliest(wake, c.deepScan)
	}
	// Room that could not be used, as after a back-off of all candidates, must not make the timer spin.
	if !wake.IsZero() && !wake.After(now) {
		wake = now.Add(minBackoff)
	}
	return wake
}

// trySend takes a queued call out and sends it if the choice finds room. It reports whether the call left the queue.
func (c *core) trySend(now time.Time, cl *call, a SelectionInput) bool {
	a.Excluded, a.PriorAttempts, a.CanForward = cl.tried, cl.sent, !cl.forwarded
	a.ReportedFreeOnly = cl.refusals > 0
	d := SelectTarget(c.view, &cl.req, cl.item.Rule, a, now)
	if d.Action == ActionWait && a.ReportedFreeOnly && !a.RemoteOnly && c.budget.Available() {
		// A resend without evidence of a free slot is a retry.
		a.ReportedFreeOnly = false
		if d = SelectTarget(c.view, &cl.req, cl.item.Rule, a, now); d.Action == ActionDispatch {
			c.budget.Withdraw()
			c.metrics.retries.inc()
		}
	}
	switch d.Action {
	case ActionDispatch, ActionForward:
		c.queue.Remove(&cl.item)
		c.start(now, cl, d, false)
		return true
	case ActionNone:
		// Nobody but those that were tried, or nobody at all, as for a moment after this process was paused: an
		// upstream that was tried is better than giving up before the deadline.
		if len(cl.tried) > 0 {
			cl.tried = nil
			return c.trySend(now, cl, a)
		}
	}
	return false
}

// start records an attempt and orders its send.
func (c *core) start(now time.Time, cl *call, d Decision, second bool) {
	c.nextID++
	a := &attempt{id: fmt.Sprintf("%s-%d", c.prefix, c.nextID), call: cl, sentAt: now}
	if d.Action == ActionForward {
		i, _ := c.view.findPeer(d.Target)
		a.peer = c.view.peers[i]
		a.peer.inFlight[cl.req.Service]++
		c.metrics.forwards.inc()
	} else {
		a.upstream = c.view.find(d.Target)
		a.upstream.onSent(now)
		a.inFlight = a.upstream.InFlight
		c.metrics.dispatches.inc()
	}
	cl.sent++
	cl.attempts = append(cl.attempts, a)
	c.attempts[a.id] = a
	if cl.deadline == nil {
		cl.deadline = c.timers.add(cl.item.Deadline, wakeup{call: cl})
	}
	c.scheduleSecond(now, cl, a)
	req := cl.req
	req.Timeout = cl.item.Deadline.Sub(now)
	c.sends = append(c.sends, send{attempt: a, request: req, decision: d, waited: now.Sub(cl.item.ArrivedAt), second: second})
}

// finish gives the call its one outcome and abandons what is in flight.
func (c *core) finish(cl *call, o model.Outcome) {
	delete(c.calls, cl.item.ID)
	c.clearTimers(cl)
	for _, a := range cl.attempts {
		a.abandoned = true
		c.cancels = append(c.cancels, a.id)
	}
	cl.attempts = nil
	c.metrics.outcome(o.Result)
	cl.done(o)
}

func (c *core) clearTimers(cl *call) {
	c.timers.remove(cl.deadline)
	c.timers.remove(cl.second)
	cl.deadline, cl.second = nil, nil
}

// abort ends every call that is left; the outcomes tell what is known.
func (c *core) abort() {
	for _, cl := range c.calls {
		c.queue.Remove(&cl.item)
		if cl.mayHaveRun || len(cl.attempts) > 0 {
			c.finish(cl, unknown("the entry stopped before the answer came"))
		} else {
			c.finish(cl, refused("the entry stopped"))
		}
	}
}

func (c *core) loads(now time.Time) []protocol.ServiceLoad {
	return c.view.loads(now, c.queue.ServiceLen)
}

func refused(reason string) model.Outcome {
	return model.Outcome{Result: model.ResultRefused, Reason: reason + "; not run"}
}

func unknown(reason string) model.Outcome {
	return model.Outcome{Result: model.ResultUnknown, Ran: true, Reason: reason}
}
