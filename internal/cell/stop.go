package cell

import (
	"slices"
	"time"

	"k8s.io/klog/v2"

	"masticcart.example/masticcart/internal/jobs"
	"masticcart.example/masticcart/internal/model"
	"masticcart.example/masticcart/internal/protocol"
)

// stopAttempt fences the attempt at all members that have not ended. The first disposition stays in force, except that
// one that finishes the job, such as a cancellation, replaces a requeue.
func (c *Coordinator) stopAttempt(now time.Time, j *job, d disposition) {
	a := j.attempt
	if a.disposition == nil || a.disposition.requeue && !d.requeue {
		a.disposition = &d
	}
	if j.phase != phaseStopping {
		if d.result != model.ResultDone {
			klog.InfoS("Stopping attempt", "cell", c.cell, "job", j.key, "attempt", a.number,
				"phase", j.phase, "requeue", d.requeue, "reason", d.reason)
		}
		j.phase, a.phaseSince = phaseStopping, now
		j.reason = d.reason
		c.sendStops(now, j, d.reason)
	}
	if j.loaded && !a.isClaimedBy(j.record.Job) {
		// No start was sent for an attempt that the record does not name, so there is nothing to wait for.
		c.concludeAttempt(now, j)
		return
	}
	c.concludeIfEnded(now, j)
}

// resumeStop stops the members of an attempt whose claim turned out to be recorded although the attempt was abandoned.
func (c *Coordinator) resumeStop(now time.Time, j *job) {
	if !j.attempt.allMembers(func(m *member) bool { return m.ended }) {
		j.phase, j.attempt.phaseSince = phaseStopping, now
		c.sendStops(now, j, j.reason)
		return
	}
	c.concludeAttempt(now, j)
}

func (c *Coordinator) sendStops(now time.Time, j *job, reason string) {
	for _, m := range j.attempt.members {
		if !m.ended {
			c.sendStop(now, j, m, reason)
		}
	}
}

func (c *Coordinator) sendStop(now time.Time, j *job, m *member, reason string) {
	m.requestedAt = now
	d := j.attempt.disposition
	c.emit(StopAction{Agent: m.Agent, Args: protocol.StopArgs{
		Incarnation: m.Incarnation, Task: j.ref(),
		Checkpoint: d != nil && d.checkpoint, Reason: reason,
	}})
}

// resendStops retries unanswered stops, treats members whose leases have certainly expired as ended, and concludes or
// revokes the attempt.
func (c *Coordinator) resendStops(now time.Time, j *job) {
	for _, m := range j.attempt.members {
		if m.ended {
			continue
		}
		if c.hasCertainlyEnded(now, j.attempt, m) {
			m.ended, m.uncertain = true, true
			continue
		}
		if now.Sub(m.requestedAt) >= stopRetryInterval {
			c.sendStop(now, j, m, j.reason)
		}
	}
	c.concludeIfEnded(now, j)
	c.revokeUnanswered(now, j)
}

// hasCertainlyEnded reports whether nothing of the member can run any more: either its agent restarted, which stops
// what the earlier incarnation left running, or the attempt was revoked so long ago that no owner can have extended its
// lease since then.
func (c *Coordinator) hasCertainlyEnded(now time.Time, a *attempt, m *member) bool {
	u := c.upstreams[m.Agent]
	if u != nil && restarted(u, m, a) {
		return true
	}
	return !a.revokedAt.IsZero() && now.Sub(a.revokedAt) > leaseExpiryBound &&
		(u == nil || now.Sub(u.lastAckAsOwner) > leaseExpiryBound)
}

// revokeUnanswered marks the attempt as revoked in the job's record if a member does not answer the stop. An entry that
// is partitioned from this one may still acknowledge that member's heartbeats; it reads the record and stops the
// attempt as well.
func (c *Coordinator) revokeUnanswered(now time.Time, j *job) {
	a, r := j.attempt, j.record.Job
	due := j.phase == phaseStopping && now.Sub(a.phaseSince) > revokeDelay && !now.Before(j.notBefore)
	if !due || !a.revokedAt.IsZero() || !j.loaded || !a.isClaimedBy(r) {
		return
	}
	j.notBefore = now.Add(platformRetryInterval)
	if r.Revoked {
		c.emit(TouchIndexAction{Attempt: j.ref()})
		return
	}
	next := r
	next.Revoked = true
	klog.InfoS("Revoking attempt", "cell", c.cell, "job", j.key, "attempt", a.number)
	c.emit(WriteRecordAction{
		Purpose: WriteRevoke, Attempt: j.ref(), Record: jobs.Record{Job: next, Revision: j.record.Revision},
	})
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

// TouchAnswered applies the answer to a TouchIndexAction. Once the touch has succeeded, every entry that watches the
// index learns of the revocation.
func (c *Coordinator) TouchAnswered(now time.Time, a TouchIndexAction, err error) {
	if j := c.jobByAttempt(a.Attempt); j != nil && err == nil && j.attempt.revokedAt.IsZero() {
		j.attempt.revokedAt = now
	}
}

// StopAnswered applies the answer to a StopAction. A stop that failed or was refused changes nothing.
func (c *Coordinator) StopAnswered(now time.Time, a StopAction, reply protocol.StopReply, err error) {
	j := c.jobByAttempt(a.Args.Task)
	if j == nil || j.phase != phaseStopping || err != nil || !reply.OK {
		return // retried by resendStops until the member answers or hasCertainlyEnded
	}
	m := j.attempt.member(a.Agent)
	if m == nil || m.ended {
		return
	}
	m.ended, m.uncertain = true, false
	m.started = m.started || reply.Started
	if reply.Phase != "" {
		m.phase, m.output = reply.Phase, reply.Output
	}
	c.concludeIfEnded(now, j)
}

func (c *Coordinator) concludeIfEnded(now time.Time, j *job) {
	if j.phase == phaseStopping && j.attempt.allMembers(func(m *member) bool { return m.ended }) {
		c.concludeAttempt(now, j)
	}
}

// concludeAttempt writes to the record whether the job of a stopped attempt is finished or requeued.
func (c *Coordinator) concludeAttempt(now time.Time, j *job) {
	a := j.attempt
	c.planNeeded = true
	if !j.loaded {
		j.phase, j.pendingWrite, j.notBefore = phaseWriting, nil, now
		return
	}
	r := j.record.Job
	switch {
	case r.State == model.JobFinished:
		c.removeFinished(j)
		return
	case a.isClaimedBy(r):
	case r.State == model.JobClaimed:
		c.takeOverAttempt(now, j) // another owner claimed the job
		return
	default:
		c.reloadUnclaimedJob(now, j)
		return
	}
	next, purpose := c.nextRecord(now, j)
	if a.allMembers(func(m *member) bool { return !m.started && !m.uncertain }) {
		j.unstartedAttempts++
	} else {
		j.unstartedAttempts = 0
	}
	w := WriteRecordAction{Purpose: purpose, Attempt: j.ref(), Record: jobs.Record{Job: next, Revision: j.record.Revision}}
	j.phase, j.pendingWrite, j.notBefore = phaseWriting, &w, now.Add(platformRetryInterval)
	c.emit(w)
}

// reloadUnclaimedJob handles a stopped attempt whose claim was not recorded. It reads the record again before the job
// returns to the queue, since the claim may have taken effect although its write seemed to fail.
func (c *Coordinator) reloadUnclaimedJob(now time.Time, j *job) {
	j.phase, j.pendingWrite = phaseWriting, nil
	j.notBefore = now.Add(platformRetryInterval)
	c.emit(LoadRecordAction{Job: j.key})
}

// nextRecord returns the record to write after a claimed attempt has ended at all members.
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
	d := a.disposition
	switch {
	case done:
		return c.doneRecord(now, j), WriteFinish
	case r.CancelRequested:
		return jobs.Finished(r, model.Outcome{
			Result: model.ResultCancelled, Ran: ran, Reason: "cancelled by its caller",
		}, now), WriteFinish
	case d.requeue && ran && !r.Spec.Idempotent:
		return jobs.Finished(r, model.Outcome{Result: model.ResultUnknown, Ran: true, Reason: d.reason}, now), WriteFinish
	case d.requeue || !ran:
		// If nothing started, the attempt provably did not run, so that any work can be requeued.
		return c.requeuedRecord(r, a, ran), WriteRequeue
	case d.result == model.ResultDone:
		// Reached only if an agent changed its report: some members' outputs are missing.
		return jobs.Finished(r, model.Outcome{
			Result: model.ResultUnknown, Ran: true, Reason: "incomplete result",
		}, now), WriteFinish
	}
	return jobs.Finished(r, model.Outcome{Result: d.result, Ran: ran, Reason: d.reason}, now), WriteFinish
}

func (c *Coordinator) doneRecord(now time.Time, j *job) model.Job {
	out, err := joinOutputs(j.attempt)
	if err != nil {
		return jobs.Finished(j.record.Job, model.Outcome{Result: model.ResultFailed, Ran: true, Reason: err.Error()}, now)
	}
	return jobs.Finished(j.record.Job, model.Outcome{Result: model.ResultDone, Ran: true, Output: out}, now)
}

func (c *Coordinator) requeuedRecord(r model.Job, a *attempt, ran bool) model.Job {
	r.State, r.Members, r.Guaranteed, r.Ran, r.Revoked = model.JobAccepted, nil, false, ran, false
	if m := a.members[0]; m.phase == protocol.TaskStopped && len(m.output) > 0 {
		r.Checkpoint = m.output
	}
	return r
}

// cancelAttempt stops the attempt of a job whose caller cancelled it.
func (c *Coordinator) cancelAttempt(now time.Time, j *job) {
	if j.attempt == nil || j.phase == phaseWriting {
		return
	}
	c.stopAttempt(now, j, disposition{result: model.ResultCancelled, reason: "cancelled by its caller"})
}
