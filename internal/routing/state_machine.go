package routing

import (
	"fmt"
	"time"

	"masticcart.example/masticcart/internal/model"
	"masticcart.example/masticcart/internal/protocol"
)

const (
	// headScanItems is how many queued requests of a service are tried before the service counts as out of capacity. It
	// is more than one because the first request may exclude upstreams that it has tried.
	headScanItems = 4
	// fullScanInterval is the minimum time between searches of the whole queue for requests that are worth forwarding.
	fullScanInterval = 10 * time.Millisecond
	// maxRequestBackoff bounds the back-off of a refused request, which also holds back lower classes and priorities.
	maxRequestBackoff = 16 * time.Millisecond
)

// call is one submitted request until its outcome. It is either in the queue or has attempts in flight, never both.
type call struct {
	item      QueueItem
	req       model.Request
	forwarded bool // by another entry
	onOutcome func(model.Outcome)

	attempts      []*attempt
	attemptsSent  int
	refusals      int                    // by upstreams
	mayHaveRun    bool                   // an ended attempt may have run
	tried         []string               // targets that are excluded from further attempts
	deadlineTimer *timerEntry[callTimer] // nil while in the queue
	hedgeTimer    *timerEntry[callTimer] // nil unless a hedge is due later
}

// attempt is one dispatch or forward in flight.
type attempt struct {
	id        string
	call      *call
	upstream  *Upstream // of a dispatch, else nil
	peer      *Peer     // of a forward, else nil
	sentAt    time.Time
	inFlight  int  // requests of this entry at the upstream when it was sent, including this one
	abandoned bool // the call already has its outcome; a reply only updates the upstream
}

// target returns the id of the agent or peer that the attempt was sent to.
func (a *attempt) target() string {
	if a.peer != nil {
		return a.peer.ID
	}
	return a.upstream.Identity.Agent
}

// callTimer says what is due for an in-flight call: its hedge or its deadline.
type callTimer struct {
	call    *call
	isHedge bool // the hedge is due; otherwise the deadline has passed
}

// outboundAttempt is a request that the caller of the state machine must send. The reply goes to onDispatchReply or
// onForwardReply.
type outboundAttempt struct {
	attempt  *attempt
	request  model.Request
	decision Decision
	waited   time.Duration // since the arrival of the request
	isHedge  bool
}

// stateMachine makes the decisions of Router. It takes the time as an argument and does no I/O: it collects sends and
// cancellations, and its caller executes them. It is not safe for concurrent use.
type stateMachine struct {
	attemptIDPrefix string // makes attempt ids unique across entries and restarts
	view            *ClusterView
	queue           *Queue
	budget          *RetryBudget
	metrics         *metrics
	hedgeUrgent     bool

	nextID            uint64              // of calls and attempts
	calls             map[uint64]*call    // without an outcome, by id
	attempts          map[string]*attempt // in flight, by id
	timers            timerQueue[callTimer]
	nextCapacityCheck time.Time // when capacity may appear without an event
	nextFullScan      time.Time // earliest time of the next search of the whole queue
	draining          bool

	pendingSends   []outboundAttempt
	pendingCancels []string // ids of in-flight attempts whose call has its outcome
}

func newStateMachine(attemptIDPrefix string, v *ClusterView, maxQueue int, m *metrics, hedgeUrgent bool) *stateMachine {
	return &stateMachine{
		attemptIDPrefix: attemptIDPrefix, view: v, queue: NewQueue(maxQueue), budget: NewRetryBudget(), metrics: m,
		hedgeUrgent: hedgeUrgent, calls: map[uint64]*call{}, attempts: map[string]*attempt{},
	}
}

// submit queues a request or refuses it, and returns the id of its call. It has onOutcome called exactly once, possibly
// before submit returns.
func (m *stateMachine) submit(
	now time.Time, r model.Request, rule model.Rule, forwarded bool, onOutcome func(model.Outcome),
) uint64 {
	m.metrics.requests.inc()
	m.nextID++
	cl := &call{req: r, forwarded: forwarded, onOutcome: onOutcome, item: QueueItem{
		ID: m.nextID, Service: r.Service, Rule: rule, ArrivedAt: now, Deadline: now.Add(r.Timeout),
	}}
	m.calls[cl.item.ID] = cl
	if m.draining {
		m.finishCall(cl, refusedOutcome("the entry is stopping"))
		return cl.item.ID
	}
	// The entry where a forwarded request arrived has deposited its share; a second deposit would double the retries.
	if !forwarded {
		m.budget.Deposit()
	}
	evicted, ok := m.queue.Push(&cl.item, now)
	if evicted != nil {
		m.metrics.evicted.inc()
		m.finishCall(m.calls[evicted.ID], refusedOutcome("the queue is full and more urgent work arrived"))
	}
	if !ok {
		m.finishCall(cl, refusedOutcome("the queue is full"))
	}
	m.sendQueued(now)
	return cl.item.ID
}

// cancel ends a call whose caller no longer waits for it.
func (m *stateMachine) cancel(now time.Time, id uint64) {
	cl := m.calls[id]
	if cl == nil {
		return
	}
	m.queue.Remove(&cl.item)
	ran := cl.mayHaveRun || len(cl.attempts) > 0
	m.finishCall(cl, model.Outcome{Result: model.ResultCancelled, Ran: ran, Reason: "the caller cancelled the request"})
	m.sendQueued(now)
}

// tick expires and ages queued requests and fires the timers that are due. It must be called at nextTick at the latest.
func (m *stateMachine) tick(now time.Time) {
	for _, it := range m.queue.AgeAndExpire(now) {
		m.finishExpired(m.calls[it.ID])
	}
	for {
		t, due := m.timers.popDue(now)
		if !due {
			break
		}
		if t.isHedge {
			t.call.hedgeTimer = nil
			m.trySendHedge(now, t.call)
			continue
		}
		t.call.deadlineTimer = nil
		m.finishCall(t.call, unknownOutcome("the deadline passed without an answer from "+t.call.attempts[0].target()))
	}
	m.sendQueued(now)
}

// likelyMissesDeadline reports whether a request has waited for more than half of its timeout and has less time left
// than the median response time of its kind. Under overload the head of a class is always close to its deadline, and
// sending it would fill the slots with requests that are cancelled. Requests that have not waited as long are sent in
// any case, so that the median stays current.
func (m *stateMachine) likelyMissesDeadline(now time.Time, cl *call) bool {
	remaining := cl.item.Deadline.Sub(now)
	return remaining < cl.req.Timeout/2 && remaining < m.view.kinds.median(cl.req.Kind)
}

// finishExpired ends a queued call whose deadline has passed or would likely be missed.
func (m *stateMachine) finishExpired(cl *call) {
	if cl.mayHaveRun {
		m.finishCall(cl, unknownOutcome("the deadline came too close for a retry; an earlier attempt may have run"))
	} else {
		m.finishCall(cl, refusedOutcome("the deadline came too close while waiting for an upstream"))
	}
}

// nextTick returns the time by which tick must be called, or the zero time for never.
func (m *stateMachine) nextTick() time.Time {
	return earliest(earliest(m.queue.NextEvent(), m.timers.nextTime()), m.nextCapacityCheck)
}

// sendQueued sends the queued requests for which there is capacity. It sets nextCapacityCheck for the rest.
func (m *stateMachine) sendQueued(now time.Time) {
	m.nextCapacityCheck = time.Time{}
	fullScan := !now.Before(m.nextFullScan)
	for _, service := range m.queue.Services() {
		for m.sendFromHead(now, service) {
		}
		if m.queue.ServiceLen(service) == 0 {
			continue
		}
		if fullScan && m.anyPeerHasFreeSlot(service, now) {
			m.nextFullScan = now.Add(fullScanInterval)
			m.forwardQueued(now, service)
		}
		m.nextCapacityCheck = earliest(m.nextCapacityCheck, m.nextCheckFor(now, service))
	}
	m.metrics.queued.set(m.queue.Len())
}

// sendFromHead sends, or expires, one request from the head of a service's queue. It reports whether it did, so that
// the caller repeats it until nothing more can be sent.
func (m *stateMachine) sendFromHead(now time.Time, service string) bool {
	var blocked *QueueItem
	for i, it := range m.queue.Head(service, headScanItems) {
		// Strict priority: no request of a lower class or priority is sent ahead of a blocked one.
		if blocked != nil && it.level != blocked.level {
			return false
		}
		if it.NotBefore.After(now) {
			blocked = it
			continue
		}
		cl := m.calls[it.ID]
		if m.likelyMissesDeadline(now, cl) {
			m.queue.Remove(it)
			m.finishExpired(cl)
			return true
		}
		if m.trySend(now, cl, SelectionInput{QueuedAhead: i}) {
			return true
		}
		// After a refusal this request may use fewer upstreams than the requests behind it. Requests of a lower class
		// or priority must not be sent ahead of it because of that.
		if cl.refusals > 0 && len(cl.tried) == 0 {
			blocked = it
		}
	}
	return false
}

// forwardQueued forwards the requests of a service that save enough wait by it, at any position in the queue.
func (m *stateMachine) forwardQueued(now time.Time, service string) {
	for i, it := range m.queue.Head(service, m.queue.ServiceLen(service)) {
		if !it.NotBefore.After(now) {
			m.trySend(now, m.calls[it.ID], SelectionInput{QueuedAhead: i, RemoteOnly: true})
		}
	}
}

func (m *stateMachine) anyPeerHasFreeSlot(service string, now time.Time) bool {
	for _, p := range m.view.peers {
		if p.usable(now) && p.freeSlots(service) > 0 {
			return true
		}
	}
	return false
}

// nextCheckFor returns when queued requests of the service may be sent although no event arrives, or the zero time.
func (m *stateMachine) nextCheckFor(now time.Time, service string) time.Time {
	head := m.queue.Head(service, headScanItems)
	next := m.view.nextSendTime(service, head[0].Rule.Class.Rank() == 0, now)
	for _, it := range head {
		if it.NotBefore.After(now) {
			next = earliest(next, it.NotBefore)
		}
	}
	if m.anyPeerHasFreeSlot(service, now) {
		next = earliest(next, m.nextFullScan)
	}
	// Capacity that no request can use, for example because all of them are in back-off, must not cause a busy loop.
	if !next.IsZero() && !next.After(now) {
		next = now.Add(minBackoff)
	}
	return next
}

// trySend sends a queued call if a target has capacity. It reports whether the call left the queue.
func (m *stateMachine) trySend(now time.Time, cl *call, in SelectionInput) bool {
	in.Excluded, in.PriorAttempts, in.CanForward = cl.tried, cl.attemptsSent, !cl.forwarded
	in.ReportedFreeOnly = cl.refusals > 0
	d := SelectTarget(m.view, &cl.req, cl.item.Rule, in, now)
	if d.Action == ActionWait && in.ReportedFreeOnly && !in.RemoteOnly && m.budget.Available() {
		// A resend after a refusal counts as a retry unless a slot was reported free.
		in.ReportedFreeOnly = false
		if d = SelectTarget(m.view, &cl.req, cl.item.Rule, in, now); d.Action == ActionDispatch {
			m.budget.Withdraw()
			m.metrics.retries.inc()
		}
	}
	switch d.Action {
	case ActionDispatch, ActionForward:
		m.queue.Remove(&cl.item)
		m.startAttempt(now, cl, d, false)
		return true
	case ActionNone:
		// All targets that can serve the request have been tried, or none is known to be able to, for example just
		// after this process was paused. Sending to a tried target again is better than giving up before the deadline.
		if len(cl.tried) > 0 {
			cl.tried = nil
			return m.trySend(now, cl, in)
		}
	}
	return false
}

// startAttempt records an in-flight attempt and adds it to the pending sends.
func (m *stateMachine) startAttempt(now time.Time, cl *call, d Decision, isHedge bool) {
	m.nextID++
	a := &attempt{id: fmt.Sprintf("%s-%d", m.attemptIDPrefix, m.nextID), call: cl, sentAt: now}
	if d.Action == ActionForward {
		i, _ := m.view.findPeer(d.Target)
		a.peer = m.view.peers[i]
		a.peer.inFlight[cl.req.Service]++
		m.metrics.forwards.inc()
	} else {
		a.upstream = m.view.findUpstream(d.Target)
		a.upstream.onDispatched(now)
		a.inFlight = a.upstream.InFlight
		m.metrics.dispatches.inc()
	}
	cl.attemptsSent++
	cl.attempts = append(cl.attempts, a)
	m.attempts[a.id] = a
	if cl.deadlineTimer == nil {
		cl.deadlineTimer = m.timers.add(cl.item.Deadline, callTimer{call: cl})
	}
	m.scheduleHedge(now, cl, a)
	req := cl.req
	req.Timeout = cl.item.Deadline.Sub(now)
	m.pendingSends = append(m.pendingSends, outboundAttempt{
		attempt: a, request: req, decision: d, waited: now.Sub(cl.item.ArrivedAt), isHedge: isHedge,
	})
}

// finishCall delivers the outcome of a call, once, and abandons its in-flight attempts.
func (m *stateMachine) finishCall(cl *call, o model.Outcome) {
	delete(m.calls, cl.item.ID)
	m.clearTimers(cl)
	for _, a := range cl.attempts {
		a.abandoned = true
		m.pendingCancels = append(m.pendingCancels, a.id)
	}
	cl.attempts = nil
	m.metrics.countOutcome(o.Result)
	cl.onOutcome(o)
}

func (m *stateMachine) clearTimers(cl *call) {
	m.timers.remove(cl.deadlineTimer)
	m.timers.remove(cl.hedgeTimer)
	cl.deadlineTimer, cl.hedgeTimer = nil, nil
}

// finishAll ends every call. The outcome is "unknown" if an attempt may have run, else "refused".
func (m *stateMachine) finishAll() {
	for _, cl := range m.calls {
		m.queue.Remove(&cl.item)
		if cl.mayHaveRun || len(cl.attempts) > 0 {
			m.finishCall(cl, unknownOutcome("the entry stopped before the answer came"))
		} else {
			m.finishCall(cl, refusedOutcome("the entry stopped"))
		}
	}
}

func (m *stateMachine) serviceLoads(now time.Time) []protocol.ServiceLoad {
	return m.view.serviceLoads(now, m.queue.ServiceLen)
}

func refusedOutcome(reason string) model.Outcome {
	return model.Outcome{Result: model.ResultRefused, Reason: reason + "; not run"}
}

func unknownOutcome(reason string) model.Outcome {
	return model.Outcome{Result: model.ResultUnknown, Ran: true, Reason: reason}
}
