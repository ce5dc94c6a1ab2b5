package cell

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/google/uuid"
	"k8s.io/klog/v2"

	"masticcart.example/masticcart/internal/jobs"
	"masticcart.example/masticcart/internal/model"
	"masticcart.example/masticcart/internal/placement"
	"masticcart.example/masticcart/internal/protocol"
)

// beginHold creates an attempt for a placement and asks all its members to hold their units.
func (c *Coordinator) beginHold(now time.Time, j *job, p placement.Placement) {
	j.phase = phaseHolding
	j.attempt = &attempt{
		number: j.nextAttempt, claim: uuid.NewString(), guaranteed: p.Guaranteed, createdAt: now, phaseSince: now,
	}
	j.reason, j.wouldChange = "", ""
	for _, m := range p.Members {
		j.attempt.members = append(j.attempt.members, &member{Member: m, requestedAt: now})
	}
	klog.InfoS("Placed job", "cell", c.cell, "job", j.key, "team", j.key.Team, "attempt", j.attempt.number,
		"members", memberNames(p.Members), "guaranteed", p.Guaranteed, "score", p.Score, "reason", p.Reason)
	c.sendHolds(j)
}

// memberNames lists the first members with their units, for the log.
func memberNames(ms []model.Member) []string {
	const shown = 8
	names := make([]string, 0, shown+1)
	for i, m := range ms {
		if i == shown {
			return append(names, fmt.Sprintf("and %d more", len(ms)-shown))
		}
		names = append(names, fmt.Sprintf("%s=%d", m.Agent, m.Units))
	}
	return names
}

func (c *Coordinator) sendHolds(j *job) {
	members := j.attempt.modelMembers()
	for _, m := range j.attempt.members {
		c.emit(HoldAction{Agent: m.Agent, Args: protocol.HoldArgs{
			Incarnation: m.Incarnation, Attempt: j.attempt.number, Claim: j.attempt.claim, Units: m.Units,
			Spec: j.record.Job.Spec, Members: members, Checkpoint: j.record.Job.Checkpoint,
		}})
	}
}

// refreshHolds renews the holds every holdRefreshInterval while the commit is in flight.
func (c *Coordinator) refreshHolds(now time.Time, j *job) {
	m := j.attempt.members[0]
	if now.Sub(m.requestedAt) < holdRefreshInterval {
		return
	}
	for _, m := range j.attempt.members {
		m.requestedAt = now
	}
	c.sendHolds(j)
}

// ref identifies the job's attempt in progress.
func (j *job) ref() protocol.TaskRef {
	return protocol.TaskRef{Job: j.key, Attempt: j.attempt.number, Claim: j.attempt.claim}
}

// jobByAttempt returns the job whose attempt in progress is ref, or nil if that attempt is not in progress.
func (c *Coordinator) jobByAttempt(ref protocol.TaskRef) *job {
	j := c.jobs[ref.Job]
	if j == nil || j.attempt == nil || j.ref() != ref {
		return nil
	}
	return j
}

// HoldAnswered applies the answer to a HoldAction. A failed call counts as a refusal, although the agent may keep the
// hold until it is stopped or expires.
func (c *Coordinator) HoldAnswered(now time.Time, a HoldAction, reply protocol.HoldReply, err error) {
	j := c.jobByAttempt(protocol.TaskRef{Job: a.Args.Spec.Key, Attempt: a.Args.Attempt, Claim: a.Args.Claim})
	if j == nil || j.phase != phaseHolding {
		return
	}
	m := j.attempt.member(a.Agent)
	if m == nil {
		return
	}
	if err != nil || !reply.OK {
		reason := reply.Reason
		if err != nil {
			reason = err.Error()
		}
		if reply.FencedAttempt > 0 {
			j.nextAttempt = max(j.nextAttempt, reply.FencedAttempt+1)
		}
		klog.InfoS("Hold refused", "cell", c.cell, "job", j.key, "attempt", a.Args.Attempt, "agent", a.Agent,
			"reason", reason)
		// A refused hold needs no stop, and a stop could hit another owner's attempt of the same number.
		m.ended = err == nil
		c.stopAttempt(now, j, disposition{requeue: true, reason: "hold refused by " + a.Agent + ": " + reason})
		return
	}
	m.answered = true
	if j.attempt.allMembers(func(m *member) bool { return m.answered }) {
		c.commit(now, j)
	}
}

// commit writes the claim to the job's record. Once the claim is recorded, the attempt may start.
func (c *Coordinator) commit(now time.Time, j *job) {
	next := j.record.Job
	next.State, next.Attempt, next.Members = model.JobClaimed, j.attempt.number, j.attempt.modelMembers()
	next.Claim, next.Guaranteed, next.Claimed = j.attempt.claim, j.attempt.guaranteed, now.UTC()
	j.phase, j.attempt.phaseSince = phaseCommitting, now
	c.emit(WriteRecordAction{
		Purpose: WriteClaim, Attempt: j.ref(), Record: jobs.Record{Job: next, Revision: j.record.Revision},
	})
}

// RecordWritten applies the answer to a WriteRecordAction.
func (c *Coordinator) RecordWritten(now time.Time, a WriteRecordAction, r jobs.Record, err error) {
	j := c.jobByAttempt(a.Attempt)
	if a.Attempt.Claim == "" { // the refusal of a waiting job, which has no attempt
		j = c.jobs[a.Attempt.Job]
	}
	if j == nil {
		return
	}
	switch a.Purpose {
	case WriteClaim:
		c.claimWritten(now, j, r, err)
		return
	case WriteRevoke:
		c.revokeWritten(j, r, err)
		return
	}
	if j.phase != phaseWriting {
		return
	}
	if err != nil {
		klog.InfoS("Job record not written", "cell", c.cell, "job", j.key, "purpose", a.Purpose, "err", err)
		// Read the record before the retry: the write may have taken effect, or another write may have preceded it.
		j.pendingWrite = nil
		j.notBefore = now.Add(platformRetryInterval)
		c.emit(LoadRecordAction{Job: j.key})
		return
	}
	j.record = r
	if a.Purpose == WriteFinish {
		klog.InfoS("Job finished", "cell", c.cell, "job", j.key, "result", r.Job.Outcome.Result,
			"ran", r.Job.Outcome.Ran, "reason", r.Job.Outcome.Reason)
		c.removeFinished(j)
		return
	}
	c.returnToQueue(now, j, failureBackoff(max(r.Job.Failures, j.unstartedAttempts)))
}

// failureBackoff returns the delay before the next attempt, which keeps a job that fails or is rejected again and again
// from using up the cell and the platform.
func failureBackoff(failures int) time.Duration {
	if failures == 0 {
		return 0
	}
	return initialFailureBackoff << min(failures-1, maxBackoffDoublings)
}

// claimWritten starts the members once the claim is recorded. If the attempt was abandoned in the meantime, it stops
// the members instead.
func (c *Coordinator) claimWritten(now time.Time, j *job, r jobs.Record, err error) {
	switch {
	case err == nil && j.phase == phaseCommitting:
		j.record = r
		if request, evacuated := c.evacuation(); evacuated {
			c.stopAttempt(now, j, disposition{requeue: true,
				reason: fmt.Sprintf("the cell is evacuated since version %d", request.Revision)})
			return
		}
		c.startMembers(now, j)
	case err == nil && r.Revision > j.record.Revision:
		j.record = r
		if j.phase == phaseWriting && j.pendingWrite == nil {
			c.resumeStop(now, j)
		}
	case err != nil && j.phase == phaseCommitting:
		c.stopAttempt(now, j, disposition{requeue: true, reason: "claim not recorded: " + err.Error()})
	}
}

func (c *Coordinator) startMembers(now time.Time, j *job) {
	j.phase, j.attempt.phaseSince = phaseStarting, now
	for _, m := range j.attempt.members {
		m.answered = false
		c.sendStart(now, j, m)
	}
}

func (c *Coordinator) sendStart(now time.Time, j *job, m *member) {
	m.requestedAt = now
	c.emit(StartAction{Agent: m.Agent, Args: protocol.StartArgs{Incarnation: m.Incarnation,
		Task: j.ref()}})
}

// StartAnswered applies the answer to a StartAction. A failed call is retried until the member answers or counts as
// lost, since a start is idempotent.
func (c *Coordinator) StartAnswered(now time.Time, a StartAction, reply protocol.StartReply, err error) {
	j := c.jobByAttempt(a.Args.Task)
	if j == nil || j.phase != phaseStarting {
		return
	}
	m := j.attempt.member(a.Agent)
	if m == nil || err != nil {
		return
	}
	if !reply.OK {
		reason := reply.Reason
		klog.InfoS("Start refused", "cell", c.cell, "job", j.key, "attempt", a.Args.Task.Attempt, "agent", a.Agent,
			"reason", reason)
		c.stopAttempt(now, j, c.dispositionAfterLoss(j, "start failed at "+a.Agent+": "+reason))
		return
	}
	m.answered = true
	if m.phase == "" {
		m.phase = protocol.TaskRunning
	}
	if j.attempt.allMembers(func(m *member) bool { return m.answered }) {
		j.phase, j.attempt.phaseSince = phaseRunning, now
		klog.InfoS("Job running", "cell", c.cell, "job", j.key, "attempt", j.attempt.number,
			"members", len(j.attempt.members), "waited", now.Sub(j.record.Job.Submitted).Round(time.Millisecond))
		c.checkCompletion(now, j)
	}
}

// applyTaskStatus applies an agent's report on its share of the attempt.
func (c *Coordinator) applyTaskStatus(now time.Time, j *job, m *member, s protocol.TaskStatus) {
	if m.ended || m.phase.Terminal() {
		return
	}
	m.phase, m.reason, m.output = s.Phase, s.Reason, s.Output
	m.started = m.started || s.Started
	if j.phase == phaseStarting || j.phase == phaseRunning {
		c.checkCompletion(now, j)
	}
}

// checkCompletion finishes the job when all members are done, and stops the attempt when a member ended otherwise.
func (c *Coordinator) checkCompletion(now time.Time, j *job) {
	a := j.attempt
	if a.allMembers(func(m *member) bool { return m.phase == protocol.TaskDone }) {
		for _, m := range a.members {
			m.ended = true
			c.recordSuccess(m.Agent)
		}
		c.estimates.addRun(j.record.Job.Spec, now.Sub(j.record.Job.Claimed))
		c.stopAttempt(now, j, disposition{result: model.ResultDone})
		return
	}
	for _, m := range a.members {
		switch m.phase {
		case protocol.TaskFailed:
			c.memberFailed(now, j, m)
			return
		case protocol.TaskLost, protocol.TaskStopped, protocol.TaskRemoved:
			c.stopAttempt(now, j, c.dispositionAfterLoss(j, fmt.Sprintf("task %s at %s: %s", m.phase, m.Agent, m.reason)))
			return
		}
	}
}

// memberFailed records the failure of a member's task at its upstream, and retries or ends the job. A job that fails on
// several upstreams is at fault itself; an upstream is at fault if several jobs fail on it.
func (c *Coordinator) memberFailed(now time.Time, j *job, m *member) {
	r := j.record.Job
	c.recordFailure(now, m.Agent, j.key, r.FailedOn)
	j.attempt.failedOn = m.Agent
	distinct := len(r.FailedOn)
	if !slices.Contains(r.FailedOn, m.Agent) {
		distinct++
	}
	reason := fmt.Sprintf("failed at %s: %s", m.Agent, m.reason)
	if !r.Spec.Idempotent || distinct >= maxDistinctFailures || r.Failures+1 >= maxFailures {
		c.stopAttempt(now, j, disposition{result: model.ResultFailed, reason: reason})
		return
	}
	c.stopAttempt(now, j, disposition{requeue: true, reason: reason})
}

// joinOutputs returns the output of a single member as it is, otherwise a JSON array of the outputs in member order. It
// returns an error if the array is larger than maxGangOutputBytes.
func joinOutputs(a *attempt) (json.RawMessage, error) {
	if len(a.members) == 1 {
		return a.members[0].output, nil
	}
	all := make([]json.RawMessage, len(a.members))
	for i, m := range a.members {
		all[i] = m.output
		if len(m.output) == 0 {
			all[i] = json.RawMessage("null")
		}
	}
	joined, err := json.Marshal(all)
	if err == nil && len(joined) > maxGangOutputBytes {
		return nil, fmt.Errorf("outputs of all members take %d bytes, more than %d", len(joined), maxGangOutputBytes)
	}
	return joined, err
}
