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

// beginHold asks every member of a placement for its units.
func (c *Coordinator) beginHold(now time.Time, j *job, p placement.Placement) {
	j.phase = phaseHolding
	j.attempt = &attempt{number: j.nextAttempt, claim: uuid.NewString(), guaranteed: p.Guaranteed, created: now, since: now}
	j.reason, j.wouldChange = "", ""
	for _, m := range p.Members {
		j.attempt.members = append(j.attempt.members, &member{Member: m, askedAt: now})
	}
	klog.InfoS("Placed job", "cell", c.cell, "job", j.key, "team", j.key.Team, "attempt", j.attempt.number,
		"members", memberNames(p.Members), "guaranteed", p.Guaranteed, "score", p.Score, "reason", p.Reason)
	c.sendHolds(j)
}

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

func (c *Coordinator) refreshHolds(now time.Time, j *job) {
	m := j.attempt.members[0]
	if now.Sub(m.askedAt) < holdRefresh {
		return
	}
	for _, m := range j.attempt.members {
		m.askedAt = now
	}
	c.sendHolds(j)
}

// ref names the attempt in progress.
func (j *job) ref() protocol.TaskRef {
	return protocol.TaskRef{Job: j.key, Attempt: j.attempt.number, Claim: j.attempt.claim}
}

// current returns the job if this attempt is the one in progress.
func (c *Coordinator) current(ref protocol.TaskRef) *job {
	j := c.jobs[ref.Job]
	if j == nil || j.attempt == nil || j.ref() != ref {
		return nil
	}
	return j
}

// HoldAnswered takes the answer to a HoldAction. A failed call counts as a refusal; the hold may stand until
// it is stopped or expires.
func (c *Coordinator) HoldAnswered(now time.Time, a HoldAction, reply protocol.HoldReply, err error) {
	j := c.current(protocol.TaskRef{Job: a.Args.Spec.Key, Attempt: a.Args.Attempt, Claim: a.Args.Claim})
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
		klog.InfoS("Hold refused", "cell", c.cell, "job", j.key, "attempt", a.Args.Attempt, "agent", a.Agent, "reason", reason)
		// A refused hold needs no stop, and a stop could hit the same attempt number of another owner.
		m.resolved = err == nil
		c.stopAttempt(now, j, ending{requeue: true, reason: "hold refused by " + a.Agent + ": " + reason})
		return
	}
	m.answered = true
	if j.attempt.all(func(m *member) bool { return m.answered }) {
		c.commit(now, j)
	}
}

// commit records the decision. From this write on the attempt may start.
func (c *Coordinator) commit(now time.Time, j *job) {
	next := j.record.Job
	next.State, next.Attempt, next.Members = model.JobClaimed, j.attempt.number, j.attempt.modelMembers()
	next.Claim, next.Guaranteed, next.Claimed = j.attempt.claim, j.attempt.guaranteed, now.UTC()
	j.phase, j.attempt.since = phaseCommitting, now
	c.emit(WriteRecordAction{Purpose: WriteClaim, Attempt: j.ref(), Record: jobs.Record{Job: next, Revision: j.record.Revision}})
}

// RecordWritten takes the answer to a WriteRecordAction.
func (c *Coordinator) RecordWritten(now time.Time, a WriteRecordAction, r jobs.Record, err error) {
	j := c.current(a.Attempt)
	if a.Attempt.Claim == "" { // a refusal of a job that waits
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
		// Read before the next try: the write may have taken effect or lost to another one.
		j.pending = nil
		j.notBefore = now.Add(platformRetry)
		c.emit(LoadRecordAction{Job: j.key})
		return
	}
	j.record = r
	if a.Purpose == WriteFinish {
		klog.InfoS("Job finished", "cell", c.cell, "job", j.key, "result", r.Job.Outcome.Result, "ran", r.Job.Outcome.Ran, "reason", r.Job.Outcome.Reason)
		c.drop(j)
		return
	}
	c.toWaiting(now, j, failurePause(max(r.Job.Failures, j.unstarted)))
}

// failurePause keeps a job that fails or is rejected again and again from using up the cell and the platform.
func failurePause(times int) time.Duration {
	if times == 0 {
		return 0
	}
	return failureDelay << min(times-1, maxDoublings)
}

func (c *Coordinator) claimWritten(now time.Time, j *job, r jobs.Record, err error) {
	switch {
	case err == nil && j.phase == phaseCommitting:
		j.record = r
		c.startMembers(now, j)
	case err == nil && r.Revision > j.record.Revision:
		j.record = r
		if j.phase == phaseWriting && j.pending == nil {
			c.resumeStop(now, j)
		}
	case err != nil && j.phase == phaseCommitting:
		c.stopAttempt(now, j, ending{requeue: true, reason: "claim not recorded: " + err.Error()})
	}
}

func (c *Coordinator) startMembers(now time.Time, j *job) {
	j.phase, j.attempt.since = phaseStarting, now
	for _, m := range j.attempt.members {
		m.answered = false
		c.sendStart(now, j, m)
	}
}

func (c *Coordinator) sendStart(now time.Time, j *job, m *member) {
	m.askedAt = now
	c.emit(StartAction{Agent: m.Agent, Args: protocol.StartArgs{Incarnation: m.Incarnation,
		Task: j.ref()}})
}

// StartAnswered takes the answer to a StartAction. A failed call is repeated until the member answers or
// counts as lost, since a start is idempotent.
func (c *Coordinator) StartAnswered(now time.Time, a StartAction, reply protocol.StartReply, err error) {
	j := c.current(a.Args.Task)
	if j == nil || j.phase != phaseStarting {
		return
	}
	m := j.attempt.member(a.Agent)
	if m == nil || err != nil {
		return
	}
	if !reply.OK {
		reason := reply.Reason
		klog.InfoS("Start refused", "cell", c.cell, "job", j.key, "attempt", a.Args.Task.Attempt, "agent", a.Agent, "reason", reason)
		c.stopAttempt(now, j, c.endingAfterLoss(j, "start failed at "+a.Agent+": "+reason))
		return
	}
	m.answered = true
	if m.phase == "" {
		m.phase = protocol.TaskRunning
	}
	if j.attempt.all(func(m *member) bool { return m.answered }) {
		j.phase, j.attempt.since = phaseRunning, now
		klog.InfoS("Job running", "cell", c.cell, "job", j.key, "attempt", j.attempt.number, "members", len(j.attempt.members),
			"waited", now.Sub(j.record.Job.Submitted).Round(time.Millisecond))
		c.checkEnd(now, j)
	}
}

// observe applies an agent's report on its part of the attempt.
func (c *Coordinator) observe(now time.Time, j *job, m *member, s protocol.TaskStatus) {
	if m.resolved || m.phase.Terminal() {
		return
	}
	m.phase, m.reason, m.output = s.Phase, s.Reason, s.Output
	m.started = m.started || s.Started
	if j.phase == phaseStarting || j.phase == phaseRunning {
		c.checkEnd(now, j)
	}
}

// checkEnd finishes the job when all members are done, and stops it when one ended otherwise.
func (c *Coordinator) checkEnd(now time.Time, j *job) {
	a := j.attempt
	if a.all(func(m *member) bool { return m.phase == protocol.TaskDone }) {
		for _, m := range a.members {
			m.resolved = true
			c.recordSuccess(m.Agent)
		}
		c.estimates.learn(j.record.Job.Spec, now.Sub(j.record.Job.Claimed))
		c.stopAttempt(now, j, ending{result: model.ResultDone})
		return
	}
	for _, m := range a.members {
		switch m.phase {
		case protocol.TaskFailed:
			c.memberFailed(now, j, m)
			return
		case protocol.TaskLost, protocol.TaskStopped, protocol.TaskRemoved:
			c.stopAttempt(now, j, c.endingAfterLoss(j, fmt.Sprintf("task %s at %s: %s", m.phase, m.Agent, m.reason)))
			return
		}
	}
}

// memberFailed decides between the job and the worker: a job that fails on several workers is at fault, a
// worker on which several jobs fail is.
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
		c.stopAttempt(now, j, ending{result: model.ResultFailed, reason: reason})
		return
	}
	c.stopAttempt(now, j, ending{requeue: true, reason: reason})
}

// outputs joins the members' outputs: the output itself for a single member, else an array in member order.
func outputs(a *attempt) (json.RawMessage, error) {
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
