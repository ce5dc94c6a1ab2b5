package routing

import (
	"errors"
	"slices"
	"time"

	"masticcart.example/masticcart/internal/model"
	"masticcart.example/masticcart/internal/protocol"
)

// ErrNotSent is wrapped by the error of a Dispatcher when the request certainly did not run: it did not leave this
// process, for example because there is no session with the agent, or the receiver rejected it unread. After any other
// error the request may have run.
var ErrNotSent = errors.New("routing: request was not sent")

// attemptStatus is what a reply or an error proves about the execution of an attempt.
type attemptStatus int

const (
	statusCompleted  attemptStatus = iota // the request ran to its end, as done or failed
	statusNotRun                          // the attempt provably did not start
	statusMayHaveRun                      // neither is proven
)

// classifyOutcome derives the status of an attempt from the outcome that an agent or a peer replied.
func classifyOutcome(o model.Outcome) attemptStatus {
	switch o.Result {
	case model.ResultDone, model.ResultFailed:
		return statusCompleted
	case model.ResultRefused:
		return statusNotRun
	}
	if o.Ran || o.Result != model.ResultCancelled {
		return statusMayHaveRun
	}
	return statusNotRun
}

// onDispatchReply records the reply to the dispatch with this attempt id, or its error, and resolves the attempt.
func (m *stateMachine) onDispatchReply(now time.Time, id string, r protocol.DispatchReply, err error) {
	a := m.removeAttempt(id, err)
	if a == nil {
		return
	}
	u := a.upstream
	u.InFlight--
	status := statusMayHaveRun
	switch {
	case errors.Is(err, ErrNotSent):
		status = statusNotRun
		u.onError(now)
		u.backoffUntil = now.Add(backoffFor(u.consecutiveErrors + 3))
		m.metrics.errors.inc()
	case err != nil:
		m.recordDispatchError(now, a)
	case r.DispatchID != id:
		// The reply belongs to another attempt, so it is unknown whether this one ran.
		m.metrics.mismatchedReplies.inc()
		m.recordDispatchError(now, a)
	case r.Refused || classifyOutcome(r.Outcome) == statusNotRun:
		status = statusNotRun
		u.Leaving = u.Leaving || r.Leaving
		u.onRefused(now, now.Sub(a.sentAt))
		m.metrics.refusals.inc()
	default:
		u.Leaving = u.Leaving || r.Leaving
		status = classifyOutcome(r.Outcome)
		m.recordReply(now, a, status, r)
	}
	m.resolveAttempt(now, a, status, r.Outcome)
}

// recordDispatchError counts an error against the upstream. Abandoned attempts are exempt, since they end with an error
// because their context is cancelled.
func (m *stateMachine) recordDispatchError(now time.Time, a *attempt) {
	if !a.abandoned {
		a.upstream.onError(now)
		m.metrics.errors.inc()
	}
}

// recordReply updates the upstream's free slots, limit and statistics from a reply. Replies to abandoned attempts count
// too.
func (m *stateMachine) recordReply(now time.Time, a *attempt, status attemptStatus, r protocol.DispatchReply) {
	u, took := a.upstream, now.Sub(a.sentAt)
	u.setFreeFromReply(now, r.Free)
	if status != statusCompleted {
		m.recordDispatchError(now, a)
		return
	}
	failed := r.Outcome.Result == model.ResultFailed
	u.onCompleted(now, failed)
	// The time to a failure says nothing about service time, and an upstream that fails immediately must not look fast.
	if !failed {
		u.Limiter.OnReply(now, a.call.req.Kind, took, a.inFlight)
		m.view.kinds.record(a.call.req.Kind, took, len(r.Outcome.Output))
		m.metrics.responseTime.Record(took)
	}
}

// onForwardReply records the reply to the forward with this attempt id, or its error, and resolves the attempt.
func (m *stateMachine) onForwardReply(now time.Time, id string, r protocol.ForwardReply, err error) {
	a := m.removeAttempt(id, err)
	if a == nil {
		return
	}
	a.peer.inFlight[a.call.req.Service]--
	status := statusMayHaveRun
	switch {
	case errors.Is(err, ErrNotSent):
		status = statusNotRun
	case err == nil:
		status = classifyOutcome(r.Outcome)
	}
	switch {
	case status == statusCompleted:
		a.peer.consecutiveErrors = 0
	case !a.abandoned:
		a.peer.onFailure(now)
		m.metrics.errors.inc()
	}
	m.resolveAttempt(now, a, status, r.Outcome)
}

// removeAttempt removes an in-flight attempt from the table and returns it. It returns nil for an unknown id, whose
// reply is discarded. Replies that no call waits for any more are counted as late.
func (m *stateMachine) removeAttempt(id string, err error) *attempt {
	a := m.attempts[id]
	if a == nil {
		m.metrics.lateReplies.inc()
		return nil
	}
	delete(m.attempts, id)
	if a.abandoned && err == nil {
		m.metrics.lateReplies.inc()
	}
	return a
}

// resolveAttempt ends an attempt. Its call is finished, retried or left to its other attempt.
func (m *stateMachine) resolveAttempt(now time.Time, a *attempt, status attemptStatus, o model.Outcome) {
	defer m.sendQueued(now)
	if a.abandoned {
		return
	}
	cl := a.call
	cl.attempts = slices.DeleteFunc(cl.attempts, func(o *attempt) bool { return o == a })
	switch status {
	case statusCompleted:
		o.Ran = true
		m.finishCall(cl, o)
		return
	case statusNotRun:
		if a.peer != nil {
			cl.tried = append(cl.tried, a.peer.ID)
		} else {
			cl.refusals++
		}
	case statusMayHaveRun:
		cl.mayHaveRun = true
		cl.item.NotEvictable = true
		cl.tried = append(cl.tried, a.target())
	}
	if len(cl.attempts) == 0 {
		m.retryOrFinish(now, cl, status)
	}
}

// retryOrFinish returns a call without in-flight attempts to the queue. After an attempt that may have run this is a
// retry, so it finishes the call if the deadline has passed or the retry budget is exhausted.
func (m *stateMachine) retryOrFinish(now time.Time, cl *call, status attemptStatus) {
	m.clearTimers(cl)
	if status == statusMayHaveRun {
		if !now.Before(cl.item.Deadline) {
			m.finishCall(cl, unknownOutcome("the deadline passed after an attempt that may have run"))
			return
		}
		if !m.budget.Withdraw() {
			m.metrics.retriesDenied.inc()
			m.finishCall(cl, unknownOutcome("an attempt may have run and the retry budget is used up"))
			return
		}
		m.metrics.retries.inc()
	} else {
		cl.item.NotBefore = now.Add(min(backoffFor(max(cl.refusals-1, 0)), maxRequestBackoff))
	}
	m.queue.Requeue(&cl.item, now)
}

// scheduleHedge arms the timer of a hedge: a second attempt, at another upstream, for an urgent request that takes
// longer than 95% of the requests of its kind.
func (m *stateMachine) scheduleHedge(now time.Time, cl *call, a *attempt) {
	if !m.hedgeUrgent || a.peer != nil || len(cl.attempts) != 1 || cl.item.Rule.Class != model.ClassUrgent {
		return
	}
	if p95 := m.view.kinds.p95(cl.req.Kind); p95 > 0 {
		cl.hedgeTimer = m.timers.add(now.Add(p95), callTimer{call: cl, isHedge: true})
	}
}

// trySendHedge sends a hedge if an upstream reported a free slot, no request of the service is queued, and the retry
// budget has a token.
func (m *stateMachine) trySendHedge(now time.Time, cl *call) {
	if len(cl.attempts) != 1 || m.queue.ServiceLen(cl.req.Service) > 0 || !m.budget.Available() {
		return
	}
	excluded := append(slices.Clone(cl.tried), cl.attempts[0].target())
	d := SelectTarget(m.view, &cl.req, cl.item.Rule,
		SelectionInput{Excluded: excluded, PriorAttempts: cl.attemptsSent, ReportedFreeOnly: true}, now)
	if d.Action == ActionDispatch && m.budget.Withdraw() {
		m.metrics.hedges.inc()
		m.metrics.retries.inc()
		m.startAttempt(now, cl, d, true)
	}
}
