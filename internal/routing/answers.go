package routing

import (
	"errors"
	"slices"
	"time"

	"masticcart.example/masticcart/internal/model"
	"masticcart.example/masticcart/internal/protocol"
)

// ErrNotSent is wrapped by a Dispatcher's error when the request certainly did not leave this process, for
// example because there is no session with the agent. Any other error means that the request may have run.
var ErrNotSent = errors.New("routing: request was not sent")

// attemptStatus is what an answer proves about an attempt.
type attemptStatus int

const (
	statusCompleted attemptStatus = iota // done or failed: the final answer
	statusNotRun                         // proof that it did not start
	statusMayHaveRun
)

// classifyOutcome reads an outcome from an agent or a peer.
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

// onDispatchReply handles the end of a dispatch.
func (c *stateMachine) onDispatchReply(now time.Time, id string, r protocol.DispatchReply, err error) {
	a := c.removeAttempt(id, err)
	if a == nil {
		return
	}
	u := a.upstream
	u.InFlight--
	v := statusMayHaveRun
	switch {
	case errors.Is(err, ErrNotSent):
		v = statusNotRun
		u.onError(now)
		u.backoffUntil = now.Add(backoffFor(u.consecutiveErrors + 3))
		c.metrics.errors.inc()
	case err != nil:
		c.recordDispatchError(now, a)
	case r.Dispatch != id:
		// The answer belongs to another attempt; what became of this one is not known.
		c.metrics.mismatchedReplies.inc()
		c.recordDispatchError(now, a)
	case r.Refused || classifyOutcome(r.Outcome) == statusNotRun:
		v = statusNotRun
		u.Leaving = u.Leaving || r.Leaving
		u.onRefused(now, now.Sub(a.sentAt))
		c.metrics.refusals.inc()
	default:
		u.Leaving = u.Leaving || r.Leaving
		v = classifyOutcome(r.Outcome)
		c.recordReply(now, a, v, r)
	}
	c.resolveAttempt(now, a, v, r.Outcome)
}

func (c *stateMachine) recordDispatchError(now time.Time, a *attempt) {
	// Abandoned attempts end with an error because their context is cancelled.
	if !a.abandoned {
		a.upstream.onError(now)
		c.metrics.errors.inc()
	}
}

// recordReply learns from a complete answer, late ones included.
func (c *stateMachine) recordReply(now time.Time, a *attempt, v attemptStatus, r protocol.DispatchReply) {
	u, took := a.upstream, now.Sub(a.sentAt)
	u.setFreeFromReply(now, r.Free)
	if v != statusCompleted {
		c.recordDispatchError(now, a)
		return
	}
	failed := r.Outcome.Result == model.ResultFailed
	u.onCompleted(now, failed)
	// A failure tells nothing about service time, and an upstream that fails at once must not look fast.
	if !failed {
		u.Limiter.OnReply(now, a.call.req.Kind, took, a.inFlight)
		c.view.kinds.record(a.call.req.Kind, took, len(r.Outcome.Output))
		c.metrics.responseTime.Record(took)
	}
}

// onForwardReply handles the end of a forward.
func (c *stateMachine) onForwardReply(now time.Time, id string, r protocol.ForwardReply, err error) {
	a := c.removeAttempt(id, err)
	if a == nil {
		return
	}
	a.peer.inFlight[a.call.req.Service]--
	v := statusMayHaveRun
	switch {
	case errors.Is(err, ErrNotSent):
		v = statusNotRun
	case err == nil:
		v = classifyOutcome(r.Outcome)
	}
	switch {
	case v == statusCompleted:
		a.peer.consecutiveErrors = 0
	case !a.abandoned:
		a.peer.onFailure(now)
		c.metrics.errors.inc()
	}
	c.resolveAttempt(now, a, v, r.Outcome)
}

// removeAttempt removes an attempt from the table. Answers that no attempt waits for are counted and dropped.
func (c *stateMachine) removeAttempt(id string, err error) *attempt {
	a := c.attempts[id]
	if a == nil {
		c.metrics.lateReplies.inc()
		return nil
	}
	delete(c.attempts, id)
	if a.abandoned && err == nil {
		c.metrics.lateReplies.inc()
	}
	return a
}

// resolveAttempt decides what follows for the call.
func (c *stateMachine) resolveAttempt(now time.Time, a *attempt, v attemptStatus, o model.Outcome) {
	defer c.sendQueued(now)
	if a.abandoned {
		return
	}
	cl := a.call
	cl.attempts = slices.DeleteFunc(cl.attempts, func(o *attempt) bool { return o == a })
	switch v {
	case statusCompleted:
		o.Ran = true
		c.finishCall(cl, o)
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
		c.retryOrFinish(now, cl, v)
	}
}

// retryOrFinish returns a call without attempts in flight to the queue, or ends it.
func (c *stateMachine) retryOrFinish(now time.Time, cl *call, v attemptStatus) {
	c.clearTimers(cl)
	if v == statusMayHaveRun {
		if !now.Before(cl.item.Deadline) {
			c.finishCall(cl, unknownOutcome("the deadline passed after an attempt that may have run"))
			return
		}
		if !c.budget.Withdraw() {
			c.metrics.retriesDenied.inc()
			c.finishCall(cl, unknownOutcome("an attempt may have run and the retry budget is used up"))
			return
		}
		c.metrics.retries.inc()
	} else {
		cl.item.NotBefore = now.Add(min(backoffFor(max(cl.refusals-1, 0)), maxRequestBackoff))
	}
	c.queue.Requeue(&cl.item, now)
}

// scheduleHedge arms a second attempt for an urgent request that takes longer than 95% of its kind.
func (c *stateMachine) scheduleHedge(now time.Time, cl *call, a *attempt) {
	if !c.hedgeUrgent || a.peer != nil || len(cl.attempts) != 1 || cl.item.Rule.Class != model.ClassUrgent {
		return
	}
	if tail := c.view.kinds.p95(cl.req.Kind); tail > 0 {
		cl.hedgeTimer = c.timers.add(now.Add(tail), callTimer{call: cl, isHedge: true})
	}
}

// trySendHedge sends a second attempt if a free slot is known that nobody waits for, and the budget has a token.
func (c *stateMachine) trySendHedge(now time.Time, cl *call) {
	if len(cl.attempts) != 1 || c.queue.ServiceLen(cl.req.Service) > 0 || !c.budget.Available() {
		return
	}
	tried := append(slices.Clone(cl.tried), cl.attempts[0].target())
	d := SelectTarget(c.view, &cl.req, cl.item.Rule, SelectionInput{Excluded: tried, PriorAttempts: cl.attemptsSent, ReportedFreeOnly: true}, now)
	if d.Action == ActionDispatch && c.budget.Withdraw() {
		c.metrics.hedges.inc()
		c.metrics.retries.inc()
		c.startAttempt(now, cl, d, true)
	}
}
