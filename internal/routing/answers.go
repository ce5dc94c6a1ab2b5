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

// verdict is what an answer proves about an attempt.
type verdict int

const (
	verdictComplete verdict = iota // done or failed: the final answer
	verdictNotRun                  // proof that it did not start
	verdictMayHaveRun
)

// judge reads an outcome from an agent or a peer.
func judge(o model.Outcome) verdict {
	switch o.Result {
	case model.ResultDone, model.ResultFailed:
		return verdictComplete
	case model.ResultRefused:
		return verdictNotRun
	}
	if o.Ran || o.Result != model.ResultCancelled {
		return verdictMayHaveRun
	}
	return verdictNotRun
}

// onDispatchReply handles the end of a dispatch.
func (c *core) onDispatchReply(now time.Time, id string, r protocol.DispatchReply, err error) {
	a := c.take(id, err)
	if a == nil {
		return
	}
	u := a.upstream
	u.InFlight--
	v := verdictMayHaveRun
	switch {
	case errors.Is(err, ErrNotSent):
		v = verdictNotRun
		u.onError(now)
		u.notBefore = now.Add(backoffFor(u.errors + 3))
		c.metrics.errors.inc()
	case err != nil:
		c.dispatchError(now, a)
	case r.Dispatch != id:
		// The answer belongs to another attempt; what became of this one is not known.
		c.metrics.wrongAnswers.inc()
		c.dispatchError(now, a)
	case r.Refused || judge(r.Outcome) == verdictNotRun:
		v = verdictNotRun
		u.Leaving = u.Leaving || r.Leaving
		u.onRefused(now, now.Sub(a.sentAt))
		c.metrics.refusals.inc()
	default:
		u.Leaving = u.Leaving || r.Leaving
		v = judge(r.Outcome)
		c.recordAnswer(now, a, v, r)
	}
	c.settle(now, a, v, r.Outcome)
}

func (c *core) dispatchError(now time.Time, a *attempt) {
	// Abandoned attempts end with an error because their context is cancelled.
	if !a.abandoned {
		a.upstream.onError(now)
		c.metrics.errors.inc()
	}
}

// recordAnswer learns from a complete answer, late ones included.
func (c *core) recordAnswer(now time.Time, a *attempt, v verdict, r protocol.DispatchReply) {
	u, took := a.upstream, now.Sub(a.sentAt)
	u.setAnswered(now, r.Free)
	if v != verdictComplete {
		c.dispatchError(now, a)
		return
	}
	failed := r.Outcome.Result == model.ResultFailed
	u.onAnswered(now, failed)
	// A failure tells nothing about service time, and an upstream that fails at once must not look fast.
	if !failed {
		u.Limiter.OnReply(now, a.call.req.Kind, took, a.inFlight)
		c.view.kinds.observe(a.call.req.Kind, took, len(r.Outcome.Output))
		c.metrics.answerTime.Record(took)
	}
}

// onForwardReply handles the end of a forward.
func (c *core) onForwardReply(now time.Time, id string, r protocol.ForwardReply, err error) {
	a := c.take(id, err)
	if a == nil {
		return
	}
	a.peer.inFlight[a.call.req.Service]--
	v := verdictMayHaveRun
	switch {
	case errors.Is(err, ErrNotSent):
		v = verdictNotRun
	case err == nil:
		v = judge(r.Outcome)
	}
	switch {
	case v == verdictComplete:
		a.peer.errors = 0
	case !a.abandoned:
		a.peer.onNotServed(now)
		c.metrics.errors.inc()
	}
	c.settle(now, a, v, r.Outcome)
}

// take removes an attempt from the table. Answers that no attempt waits for are counted and dropped.
func (c *core) take(id string, err error) *attempt {
	a := c.attempts[id]
	if a == nil {
		c.metrics.lateAnswers.inc()
		return nil
	}
	delete(c.attempts, id)
	if a.abandoned && err == nil {
		c.metrics.lateAnswers.inc()
	}
	return a
}

// settle decides what follows for the call.
func (c *core) settle(now time.Time, a *attempt, v verdict, o model.Outcome) {
	defer c.pump(now)
	if a.abandoned {
		return
	}
	cl := a.call
	cl.attempts = slices.DeleteFunc(cl.attempts, func(o *attempt) bool { return o == a })
	switch v {
	case verdictComplete:
		o.Ran = true
		c.finish(cl, o)
		return
	case verdictNotRun:
		if a.peer != nil {
			cl.tried = append(cl.tried, a.peer.ID)
		} else {
			cl.refusals++
		}
	case verdictMayHaveRun:
		cl.mayHaveRun = true
		cl.item.NotEvictable = true
		cl.tried = append(cl.tried, a.target())
	}
	if len(cl.attempts) == 0 {
		c.again(now, cl, v)
	}
}

// again returns a call without attempts in flight to the queue, or ends it.
func (c *core) again(now time.Time, cl *call, v verdict) {
	c.clearTimers(cl)
	if v == verdictMayHaveRun {
		if !now.Before(cl.item.Deadline) {
			c.finish(cl, unknown("the deadline passed after an attempt that may have run"))
			return
		}
		if !c.budget.Withdraw() {
			c.metrics.retriesDenied.inc()
			c.finish(cl, unknown("an attempt may have run and the retry budget is used up"))
			return
		}
		c.metrics.retries.inc()
	} else {
		cl.item.NotBefore = now.Add(min(backoffFor(max(cl.refusals-1, 0)), maxItemBackoff))
	}
	c.queue.Requeue(&cl.item, now)
}

// scheduleSecond arms a second attempt for an urgent request that takes longer than 95% of its kind.
func (c *core) scheduleSecond(now time.Time, cl *call, a *attempt) {
	if !c.secondAttempt || a.peer != nil || len(cl.attempts) != 1 || cl.item.Rule.Class != model.ClassUrgent {
		return
	}
	if tail := c.view.kinds.tail(cl.req.Kind); tail > 0 {
		cl.second = c.timers.add(now.Add(tail), wakeup{call: cl, second: true})
	}
}

// trySecond sends a second attempt if a free slot is known that nobody waits for, and the budget has a token.
func (c *core) trySecond(now time.Time, cl *call) {
	if len(cl.attempts) != 1 || c.queue.ServiceLen(cl.req.Service) > 0 || !c.budget.Available() {
		return
	}
	tried := append(slices.Clone(cl.tried), cl.attempts[0].target())
	d := SelectTarget(c.view, &cl.req, cl.item.Rule, SelectionInput{Excluded: tried, PriorAttempts: cl.sent, ReportedFreeOnly: true}, now)
	if d.Action == ActionDispatch && c.budget.Withdraw() {
		c.metrics.seconds.inc()
		c.metrics.retries.inc()
		c.start(now, cl, d, true)
	}
}
