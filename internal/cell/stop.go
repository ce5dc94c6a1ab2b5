package cell

import (
	"slices"
	"time"

	"k8s.io/klog/v2"

	"masticcart.example/masticcart/internal/jobs"
	"masticcart.example/masticcart/internal/model"
	"masticcart.example/masticcart/internal/protocol"
)

// stopAttempt fences the attempt at all members that are not resolved. The first ending stays in force, but a
// cancellation replaces a requeue.
func (c *Coordinator) stopAttempt(now time.Time, j *job, e ending) {
	a := j.attempt
	if a.ending == nil || a.ending.requeue && !e.requeue {
		a.ending = &e
	}
	if j.phase != phaseStopping {
		if e.result != model.ResultDone {
			klog.InfoS("Stopping attempt", "cell", c.cell, "job", j.key, "attempt", a.number, "phase", j.phase, "requeue", e.requeue, "reason", e.reason)
		}
		j.phase, a.since = phaseStopping, now
		j.reason = e.reason
		c.sendStops(now, j, e.reason)
	}
	if j.loaded && !a.claimedBy(j.record.Job) {
		// No start was sent for an attempt that the record does not name, so there is nothing to wait for.
		c.settle(now, j)
		return
	}
	c.settleIfResolved(now, j)
}

// resumeStop goes on with an attempt that turned out to be recorded after it was given up.
func (c *Coordinator) resumeStop(now time.Time, j *job) {
	if !j.attempt.all(func(m *member) bool { return m.resolved }) {
		j.phase, j.attempt.since = phaseStopping, now
		c.sendStops(now, j, j.reason)
		return
	}
	c.settle(now, j)
}

func (c *Coordinator) sendStops(now time.Time, j *job, reason string) {
	for _, m := range j.attempt.members {
		if !m.resolved {
			c.sendStop(now, j, m, reason)
		}
	}
}

func (c *Coordinator) sendStop(now time.Time, j *job, m *member, reason string) {
	m.askedAt = now
	e := j.attempt.ending
	c.emit(StopAction{Agent: m.Agent, Args: protocol.StopArgs{
		Incarnation: m.Incarnation, Task: j.ref(),
		Checkpoint: e != nil && e.checkpoint, Reason: reason,
	}})
}

// resendStops repeats unanswered stops and gives up on members whose leases have certainly expired.
func (c *Coordinator) resendStops(now time.Time, j *job) {
	for _, m := range j.attempt.members {
		if m.resolved {
			continue
		}
		if c.certainlyEnded(now, j.attempt, m) {
			m.resolved, m.uncertain = true, true
			continue
		}
		if now.Sub(m.askedAt) >= stopResend {
			c.sendStop(now, j, m, j.reason)
		}
	}
	c.settleIfResolved(now, j)
	c.revokeUnanswered(now, j)
}

// certainlyEnded reports that nothing of the member can run any more: its agent restarted, which stops what
// was left, or the attempt was revoked so long ago that no owner can have extended its lease since.
func (c *Coordinator) certainlyEnded(now time.Time, a *attempt, m *member) bool {
	u := c.upstreams[m.Agent]
	if u != nil && restarted(u, m, a) {
		return true
	}
	return !a.revoked.IsZero() && now.Sub(a.revoked) > leaseCertainty && (u == nil || now.Sub(u.lastOwned) > leaseCertainty)
}

// revokeUnanswered records that the attempt is to end when a member does not answer. An entry that is cut off
// from this one may still acknowledge that member's heartbeats; it reads the record and stops as well.
func (c *Coordinator) revokeUnanswered(now time.Time, j *job) {
	a, r := j.attempt, j.record.Job
	waiting := j.phase == phaseStopping && now.Sub(a.since) > revokeDelay && !now.Before(j.notBefore)
	if !waiting || !a.revoked.IsZero() || !j.loaded || !a.claimedBy(r) {
		return
	}
	j.notBefore = now.Add(platformRetry)
	if r.Revoked {
		c.emit(TouchIndexAction{Attempt: j.ref()})
		return
	}
	next := r
	next.Revoked = true
	klog.InfoS("Revoking attempt", "cell", c.cell, "job", j.key, "attempt", a.number)
	c.emit(WriteRecordAction{Purpose: WriteRevoke, Attempt: j.ref(), Record: jobs.Record{Job: next, Revision: j.record.Revision}})
}

func (c *Coordinator) revokeWritten(j *job, r jobs.Record, err error) {
	if err != nil {
		c.emit(LoadRecordAction{Job: j.key})
		return
	}
	if r.Revision > j.record.Revision {
		j.record = r
	}
	c.emit(TouchIndexAction{Attempt: j.ref()})
}

// TouchAnswered takes the answer to a TouchIndexAction. From its success on every entry that follows the index learns
// of the revocation.
func (c *Coordinator) TouchAnswered(now time.Time, a TouchIndexAction, err error) {
	if j := c.current(a.Attempt); j != nil && err == nil && j.attempt.revoked.IsZero() {
		j.attempt.revoked = now
	}
}

// StopAnswered takes the answer to a StopAction.
func (c *Coordinator) StopAnswered(now time.Time, a StopAction, reply protocol.StopReply, err error) {
	j := c.current(a.Args.Task)
	if j == nil || j.phase != phaseStopping || err != nil || !reply.OK {
		return // repeated by resendStops, or resolved by certainlyEnded
	}
	m := j.attempt.member(a.Agent)
	if m == nil || m.resolved {
		return
	}
	m.resolved, m.uncertain = true, false
	m.started = m.started || reply.Started
	if reply.Phase != "" {
		m.phase, m.output = reply.Phase, reply.Output
	}
	c.settleIfResolved(now, j)
}

func (c *Coordinator) settleIfResolved(now time.Time, j *job) {
	if j.phase == phaseStopping && j.attempt.all(func(m *member) bool { return m.resolved }) {
		c.settle(now, j)
	}
}

// settle writes what became of a stopped attempt.
func (c *Coordinator) settle(now time.Time, j *job) {
	a := j.attempt
	c.dirty = true
	if !j.loaded {
		j.phase, j.pending, j.notBefore = phaseWriting, nil, now
		return
	}
	r := j.record.Job
	switch {
	case r.State == model.JobFinished:
		c.drop(j)
		return
	case a.claimedBy(r):
	case r.State == model.JobClaimed:
		c.adopt(now, j) // another owner claimed it
		return
	default:
		c.settleUncommitted(now, j)
		return
	}
	next, purpose := c.nextRecord(now, j)
	if a.all(func(m *member) bool { return !m.started && !m.uncertain }) {
		j.unstarted++
	} else {
		j.unstarted = 0
	}
	w := WriteRecordAction{Purpose: purpose, Attempt: j.ref(), Record: jobs.Record{Job: next, Revision: j.record.Revision}}
	j.phase, j.pending, j.notBefore = phaseWriting, &w, now.Add(platformRetry)
	c.emit(w)
}

// settleUncommitted puts a job back whose attempt was not recorded. It reads the record once more, since the
// claim may have taken effect although it seemed lost.
func (c *Coordinator) settleUncommitted(now time.Time, j *job) {
	j.phase, j.pending = phaseWriting, nil
	j.notBefore = now.Add(platformRetry)
	c.emit(LoadRecordAction{Job: j.key})
}

// nextRecord is the record after a claimed attempt has ended everywhere.
func (c *Coordinator) nextRecord(now time.Time, j *job) (model.Job, WritePurpose) {
	a, r := j.attempt, j.record.Job
	started, uncertain, done := false, false, true
	for _, m := range a.members {
		started = started || m.started
		uncertain = uncertain || m.uncertain && !m.phase.Terminal()
		done = done && m.phase == protocol.TaskDone
	}
	ran := r.Ran || started || uncertain
	if a.failedOn != "" {
		r.Failures++
		if !slices.Contains(r.FailedOn, a.failedOn) {
			r.FailedOn = append(slices.Clone(r.FailedOn), a.failedOn)
		}
	}
	e := a.ending
	switch {
	case done:
		return c.doneRecord(now, j), WriteFinish
	case r.CancelRequested:
		return jobs.Finished(r, model.Outcome{Result: model.ResultCancelled, Ran: ran, Reason: "cancelled by its caller"}, now), WriteFinish
	case e.requeue && ran && !r.Spec.Idempotent:
		return jobs.Finished(r, model.Outcome{Result: model.ResultUnknown, Ran: true, Reason: e.reason}, now), WriteFinish
	case e.requeue || !ran:
		// Without a start there is proof that the attempt did not run, so that any work can go back.
		return c.requeued(r, a, ran), WriteRequeue
	case e.result == model.ResultDone:
		// Unreachable unless an agent changed its report; the whole answer is not there.
		return jobs.Finished(r, model.Outcome{Result: model.ResultUnknown, Ran: true, Reason: "incomplete result"}, now), WriteFinish
	}
	return jobs.Finished(r, model.Outcome{Result: e.result, Ran: ran, Reason: e.reason}, now), WriteFinish
}

func (c *Coordinator) doneRecord(now time.Time, j *job) model.Job {
	out, err := outputs(j.attempt)
	if err != nil {
		return jobs.Finished(j.record.Job, model.Outcome{Result: model.ResultFailed, Ran: true, Reason: err.Error()}, now)
	}
	return jobs.Finished(j.record.Job, model.Outcome{Result: model.ResultDone, Ran: true, Output: out}, now)
}

func (c *Coordinator) requeued(r model.Job, a *attempt, ran bool) model.Job {
	r.State, r.Members, r.Guaranteed, r.Ran, r.Revoked = model.JobAccepted, nil, false, ran, false
	if m := a.members[0]; m.phase == protocol.TaskStopped && len(m.output) > 0 {
		r.Checkpoint = m.output
	}
	return r
}

// cancelRunning stops a job whose caller asked for it.
func (c *Coordinator) cancelRunning(now time.Time, j *job) {
	if j.attempt == nil || j.phase == phaseWriting {
		return
	}
	c.stopAttempt(now, j, ending{result: model.ResultCancelled, reason: "cancelled by its caller"})
}
