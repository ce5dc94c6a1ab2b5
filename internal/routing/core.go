package routing

import (
	"fmt"
	"time"

	"masticcart.example/masticcart/internal/model"
	"masticcart.example/masticcart/internal/protocol"
)

const (
	// headScanItems is how many items of a service are tried before it counts as out of room. More than one, since
	// the first may exclude upstreams that it has tried.
	headScanItems = 4
	// fullScanInterval bounds the search of the whole queue for requests that are worth sending elsewhere.
	fullScanInterval = 10 * time.Millisecond
	// maxRequestBackoff bounds the back-off of a refused request, during which lower classes do not pass it.
	maxRequestBackoff = 16 * time.Millisecond
)

// call is one accepted request. It is either in the queue or has attempts in flight, never both.
type call struct {
	item      QueueItem
	req       model.Request
	forwarded bool // from another entry
	onOutcome func(model.Outcome)

	attempts      []*attempt
	attemptsSent  int
	refusals      int
	mayHaveRun    bool
	tried         []string
	deadlineTimer *timerEntry[callTimer] // while attempts are in flight
	hedgeTimer    *timerEntry[callTimer] // until a second attempt is due
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

// callTimer is a time at which a call in flight needs attention.
type callTimer struct {
	call    *call
	isHedge bool // a second attempt is due; otherwise the deadline has passed
}

// outboundAttempt is an order to the caller of the core: make the call and bring back its answer.
type outboundAttempt struct {
	attempt  *attempt
	request  model.Request
	decision Decision
	waited   time.Duration
	isHedge  bool
}

// stateMachine is the state machine behind Router. It takes the time as an argument and does no I/O: sends and
// cancellations are collected in its fields for the caller to carry out.
type stateMachine struct {
	attemptIDPrefix string // makes attempt ids unique among entries and restarts
	view            *ClusterView
	queue           *Queue
	budget          *RetryBudget
	metrics         *metrics
	hedgeUrgent     bool

	nextID            uint64
	calls             map[uint64]*call
	attempts          map[string]*attempt
	timers            timerQueue[callTimer]
	nextCapacityCheck time.Time // when room appears without an event
	nextFullScan      time.Time // earliest next search of the whole queue
	draining          bool

	pendingSends   []outboundAttempt
	pendingCancels []string // attempt ids whose call is over
}

func newStateMachine(prefix string, v *ClusterView, maxQueue int, m *metrics, secondAttempt bool) *stateMachine {
	return &stateMachine{
		attemptIDPrefix: prefix, view: v, queue: NewQueue(maxQueue), budget: NewRetryBudget(), metrics: m,
		hedgeUrgent: secondAttempt, calls: map[uint64]*call{}, attempts: map[string]*attempt{},
	}
}

// submit accepts or refuses a request. Done is called exactly once, possibly before submit returns.
func (c *stateMachine) submit(now time.Time, r model.Request, rule model.Rule, forwarded bool, done func(model.Outcome)) uint64 {
	c.metrics.requests.inc()
	c.nextID++
	cl := &call{req: r, forwarded: forwarded, onOutcome: done, item: QueueItem{
		ID: c.nextID, Service: r.Service, Rule: rule, ArrivedAt: now, Deadline: now.Add(r.Timeout),
	}}
	c.calls[cl.item.ID] = cl
	if c.draining {
		c.finishCall(cl, refusedOutcome("the entry is stopping"))
		return cl.item.ID
	}
	// A forwarded request was counted where it arrived; counting it again would double the share of retries.
	if !forwarded {
		c.budget.Deposit()
	}
	evicted, ok := c.queue.Push(&cl.item, now)
	if evicted != nil {
		c.metrics.evicted.inc()
		c.finishCall(c.calls[evicted.ID], refusedOutcome("the queue is full and more urgent work arrived"))
	}
	if !ok {
		c.finishCall(cl, refusedOutcome("the queue is full"))
	}
	c.sendQueued(now)
	return cl.item.ID
}

// cancel ends a call whose caller has gone.
func (c *stateMachine) cancel(now time.Time, id uint64) {
	cl := c.calls[id]
	if cl == nil {
		return
	}
	c.queue.Remove(&cl.item)
	ran := cl.mayHaveRun || len(cl.attempts) > 0
	c.finishCall(cl, model.Outcome{Result: model.ResultCancelled, Ran: ran, Reason: "the caller cancelled the request"})
	c.sendQueued(now)
}

// tick handles what is due and must be called at next or earlier.
func (c *stateMachine) tick(now time.Time) {
	for _, it := range c.queue.AgeAndExpire(now) {
		c.finishExpired(c.calls[it.ID])
	}
	for {
		w, due := c.timers.popDue(now)
		if !due {
			break
		}
		if w.isHedge {
			w.call.hedgeTimer = nil
			c.trySendHedge(now, w.call)
			continue
		}
		w.call.deadlineTimer = nil
		c.finishCall(w.call, unknownOutcome("the deadline passed without an answer from "+w.call.attempts[0].target()))
	}
	c.sendQueued(now)
}

// likelyMissesDeadline reports whether a request that has waited long would more likely miss its deadline than meet it.
// Under overload the head of a class is always close to its deadline, and serving it would fill the slots with
// work that is cancelled. Requests that have not waited are sent in any case, so that the median stays current.
func (c *stateMachine) likelyMissesDeadline(now time.Time, cl *call) bool {
	left := cl.item.Deadline.Sub(now)
	return left < cl.req.Timeout/2 && left < c.view.kinds.median(cl.req.Kind)
}

// finishExpired ends a queued call that cannot meet its deadline.
func (c *stateMachine) finishExpired(cl *call) {
	if cl.mayHaveRun {
		c.finishCall(cl, unknownOutcome("the deadline came too close for a retry; an earlier attempt may have run"))
	} else {
		c.finishCall(cl, refusedOutcome("the deadline came too close while waiting for an upstream"))
	}
}

// nextTick returns when tick is due, or the zero time for never.
func (c *stateMachine) nextTick() time.Time {
	return earliest(earliest(c.queue.NextEvent(), c.timers.nextTime()), c.nextCapacityCheck)
}

// sendQueued sends what can be sent, and notes when more can be sent without an event.
func (c *stateMachine) sendQueued(now time.Time) {
	c.nextCapacityCheck = time.Time{}
	deep := !now.Before(c.nextFullScan)
	for _, service := range c.queue.Services() {
		for c.sendFromHead(now, service) {
		}
		if c.queue.ServiceLen(service) == 0 {
			continue
		}
		if deep && c.anyPeerHasFreeSlot(service, now) {
			c.nextFullScan = now.Add(fullScanInterval)
			c.forwardQueued(now, service)
		}
		c.nextCapacityCheck = earliest(c.nextCapacityCheck, c.nextCheckFor(now, service))
	}
	c.metrics.queued.set(c.queue.Len())
}

// sendFromHead sends one request from the head of a service's queue, if there is one that can go.
func (c *stateMachine) sendFromHead(now time.Time, service string) bool {
	var blocked *QueueItem
	for i, it := range c.queue.Head(service, headScanItems) {
		// Strict priority: nothing of a lower class or priority passes an item in back-off.
		if blocked != nil && it.level != blocked.level {
			return false
		}
		if it.NotBefore.After(now) {
			blocked = it
			continue
		}
		cl := c.calls[it.ID]
		if c.likelyMissesDeadline(now, cl) {
			c.queue.Remove(it)
			c.finishExpired(cl)
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

// forwardQueued forwards the requests that save enough by it, wherever they stand in the queue.
func (c *stateMachine) forwardQueued(now time.Time, service string) {
	for i, it := range c.queue.Head(service, c.queue.ServiceLen(service)) {
		if !it.NotBefore.After(now) {
			c.trySend(now, c.calls[it.ID], SelectionInput{QueuedAhead: i, RemoteOnly: true})
		}
	}
}

func (c *stateMachine) anyPeerHasFreeSlot(service string, now time.Time) bool {
	for _, p := range c.view.peers {
		if p.usable(now) && p.freeSlots(service) > 0 {
			return true
		}
	}
	return false
}

func (c *stateMachine) nextCheckFor(now time.Time, service string) time.Time {
	head := c.queue.Head(service, headScanItems)
	wake := c.view.nextSendTime(service, head[0].Rule.Class.Rank() == 0, now)
	for _, it := range head {
		if it.NotBefore.After(now) {
			wake = earliest(wake, it.NotBefore)
		}
	}
	if c.anyPeerHasFreeSlot(service, now) {
		wake = earliest(wake, c.nextFullScan)
	}
	// Room that could not be used, as after a back-off of all candidates, must not make the timer spin.
	if !wake.IsZero() && !wake.After(now) {
		wake = now.Add(minBackoff)
	}
	return wake
}

// trySend takes a queued call out and sends it if the choice finds room. It reports whether the call left the queue.
func (c *stateMachine) trySend(now time.Time, cl *call, a SelectionInput) bool {
	a.Excluded, a.PriorAttempts, a.CanForward = cl.tried, cl.attemptsSent, !cl.forwarded
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
		c.startAttempt(now, cl, d, false)
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

// startAttempt records an attempt and orders its send.
func (c *stateMachine) startAttempt(now time.Time, cl *call, d Decision, second bool) {
	c.nextID++
	a := &attempt{id: fmt.Sprintf("%s-%d", c.attemptIDPrefix, c.nextID), call: cl, sentAt: now}
	if d.Action == ActionForward {
		i, _ := c.view.findPeer(d.Target)
		a.peer = c.view.peers[i]
		a.peer.inFlight[cl.req.Service]++
		c.metrics.forwards.inc()
	} else {
		a.upstream = c.view.findUpstream(d.Target)
		a.upstream.onDispatched(now)
		a.inFlight = a.upstream.InFlight
		c.metrics.dispatches.inc()
	}
	cl.attemptsSent++
	cl.attempts = append(cl.attempts, a)
	c.attempts[a.id] = a
	if cl.deadlineTimer == nil {
		cl.deadlineTimer = c.timers.add(cl.item.Deadline, callTimer{call: cl})
	}
	c.scheduleHedge(now, cl, a)
	req := cl.req
	req.Timeout = cl.item.Deadline.Sub(now)
	c.pendingSends = append(c.pendingSends, outboundAttempt{attempt: a, request: req, decision: d, waited: now.Sub(cl.item.ArrivedAt), isHedge: second})
}

// finishCall gives the call its one outcome and abandons what is in flight.
func (c *stateMachine) finishCall(cl *call, o model.Outcome) {
	delete(c.calls, cl.item.ID)
	c.clearTimers(cl)
	for _, a := range cl.attempts {
		a.abandoned = true
		c.pendingCancels = append(c.pendingCancels, a.id)
	}
	cl.attempts = nil
	c.metrics.countOutcome(o.Result)
	cl.onOutcome(o)
}

func (c *stateMachine) clearTimers(cl *call) {
	c.timers.remove(cl.deadlineTimer)
	c.timers.remove(cl.hedgeTimer)
	cl.deadlineTimer, cl.hedgeTimer = nil, nil
}

// finishAll ends every call that is left; the outcomes tell what is known.
func (c *stateMachine) finishAll() {
	for _, cl := range c.calls {
		c.queue.Remove(&cl.item)
		if cl.mayHaveRun || len(cl.attempts) > 0 {
			c.finishCall(cl, unknownOutcome("the entry stopped before the answer came"))
		} else {
			c.finishCall(cl, refusedOutcome("the entry stopped"))
		}
	}
}

func (c *stateMachine) serviceLoads(now time.Time) []protocol.ServiceLoad {
	return c.view.serviceLoads(now, c.queue.ServiceLen)
}

func refusedOutcome(reason string) model.Outcome {
	return model.Outcome{Result: model.ResultRefused, Reason: reason + "; not run"}
}

func unknownOutcome(reason string) model.Outcome {
	return model.Outcome{Result: model.ResultUnknown, Ran: true, Reason: reason}
}
