package faulttest_test

import (
	"encoding/json"
	"fmt"
	"time"

	"masticcart.example/masticcart/internal/agent"
	"masticcart.example/masticcart/internal/model"
	"masticcart.example/masticcart/internal/protocol"
)

// payload is the body of a simulated job, and also its checkpoint. RunMS is the run time; ResumeMS is the part of it
// that a checkpoint saves. A task with Fail set fails.
type payload struct {
	RunMS    int64 `json:"run_ms"`
	ResumeMS int64 `json:"resume_ms,omitempty"`
	Fail     bool  `json:"fail,omitempty"`
}

type runState string

const (
	runRunning      runState = "running"
	runDone         runState = "done"
	runFailed       runState = "failed"
	runStopped      runState = "stopped"
	runLeaseExpired runState = "lease_expired"
)

// taskRun is one start of a task at an upstream, as the upstream sees it.
type taskRun struct {
	ref             protocol.TaskRef
	spec            model.JobSpec
	agent           string
	incarnation     string
	gangMembers     string // members as text, to compare gangs
	members         []model.Member
	units           int
	state           runState
	started         time.Time
	ended           time.Time
	leaseEnd        time.Time
	completedBefore time.Duration // run time that the checkpoint of an earlier attempt saved
}

// output returns the output of one member's task.
func output(ref protocol.TaskRef, member string) json.RawMessage {
	return json.RawMessage(fmt.Sprintf("%q", fmt.Sprintf("%s#%d@%s", ref.Job, ref.Attempt, member)))
}

// upstream is a simulated worker or executor. It counts its units in use independently of the agent's ledger.
type upstream struct {
	*sim
	oracle  *oracle
	name    string
	worker  bool
	units   int
	failing bool // every task that starts fails
	runs    []*taskRun
}

func (u *upstream) unitsInUse() int {
	n := 0
	for _, r := range u.runs {
		if r.state == runRunning {
			n += r.units
		}
	}
	return n
}

// start starts a task. It returns nil if the upstream has too few free units.
func (u *upstream) start(l agent.Launch, incarnation string, members []model.Member) *taskRun {
	r := &taskRun{ref: l.Ref, spec: l.Spec, agent: u.name, incarnation: incarnation,
		gangMembers: fmt.Sprint(members), members: members,
		units: l.Units, state: runRunning, started: u.now, leaseEnd: u.now.Add(protocol.TaskLease)}
	if u.unitsInUse()+l.Units > u.units {
		u.oracle.checkRefusedStart(u, r)
		return nil
	}
	u.oracle.checkStart(u, r)
	u.runs = append(u.runs, r)
	var p payload
	if json.Unmarshal(l.Spec.Payload, &p) != nil {
		u.violate("harness: cannot decode payload %s", l.Spec.Payload)
	}
	var checkpoint payload
	if len(l.Checkpoint) > 0 && json.Unmarshal(l.Checkpoint, &checkpoint) == nil {
		r.completedBefore = time.Duration(checkpoint.ResumeMS) * time.Millisecond
	}
	total, endState := time.Duration(p.RunMS)*time.Millisecond-r.completedBefore, runDone
	if p.Fail || u.failing {
		total, endState = min(total, 500*time.Millisecond), runFailed
	}
	u.after(max(total, time.Millisecond), func() { u.finish(r, endState) })
	if u.worker {
		u.watchLease(r)
	}
	return r
}

func (u *upstream) finish(r *taskRun, state runState) {
	if r.state == runRunning {
		r.state, r.ended = state, u.now
		u.trace("%s %s ended %s", u.name, refName(r.ref), state)
	}
}

// watchLease ends a task when its lease expires.
func (u *upstream) watchLease(r *taskRun) {
	u.at(r.leaseEnd, func() {
		if r.state == runRunning && u.now.Before(r.leaseEnd) {
			u.watchLease(r)
			return
		}
		u.finish(r, runLeaseExpired)
	})
}

func (u *upstream) renewLease(r *taskRun) { r.leaseEnd = u.now.Add(protocol.TaskLease) }

func (u *upstream) checkpoint(r *taskRun) json.RawMessage {
	checkpoint, err := json.Marshal(payload{ResumeMS: (r.completedBefore + u.now.Sub(r.started)).Milliseconds()})
	if err != nil {
		u.violate("harness: cannot encode checkpoint: %v", err)
	}
	return checkpoint
}

// stopAll ends all tasks, as a restart of the host and a new agent incarnation on a worker do.
func (u *upstream) stopAll() {
	for _, r := range u.runs {
		u.finish(r, runStopped)
	}
}

func refName(r protocol.TaskRef) string { return fmt.Sprintf("%s#%d", r.Job, r.Attempt) }

// taskDriver is the agent's side of one task, as in the drivers of package agent.
type taskDriver struct {
	ref         protocol.TaskRef
	run         *taskRun           // nil until the upstream has accepted the start
	stopRequest *agent.StopRequest // nil unless a stop was requested
	stopping    bool
	lastRenewal time.Time // when the start or the last renewal was sent; zero until the start is answered
	waiters     []func()  // answers to stop commands, sent when the task has ended
}

const (
	pollInterval  = 250 * time.Millisecond
	renewInterval = protocol.TaskLease / 4
)

// launch starts a task as the drivers of package agent do.
func (a *agentProc) launch(l agent.Launch) {
	d := &taskDriver{ref: l.Ref}
	a.drivers[l.Ref] = d
	members := a.members[l.Ref]
	a.after(a.between(time.Millisecond, 3*time.Millisecond), func() {
		sent := a.now
		if !a.ledger.MayLaunch(a.now, l.Ref) { // the drivers of package agent call Launch.MayStart here
			a.finishTask(d, func() { a.ledger.RecordRejection(l.Ref, "not permitted") })
			return
		}
		d.run = a.upstream.start(l, a.identity.Incarnation, members)
		if d.run == nil {
			a.finishTask(d, func() { a.ledger.RecordRejection(l.Ref, "upstream refused") })
			return
		}
		if a.upstream.worker && a.chance(a.startAnswerLossProbability) {
			a.after(time.Second, func() { a.endRun(d, nil, true) }) // the answer was lost
			return
		}
		a.after(time.Millisecond, func() {
			d.lastRenewal = sent
			a.supervise(d)
		})
	})
}

// supervise polls a task for its end, renews its lease on a worker and carries out a requested stop. Requests on
// executors cannot be stopped.
func (a *agentProc) supervise(d *taskDriver) {
	switch {
	case a.drivers[d.ref] != d || d.stopping:
		return
	case d.stopRequest != nil && a.upstream.worker:
		a.stopRun(d)
		return
	case a.upstream.worker && a.now.Sub(d.lastRenewal) > protocol.TaskLease:
		a.endRun(d, nil, true)
		return
	case d.run.state != runRunning:
		a.endRun(d, nil, false)
		return
	}
	if a.upstream.worker && a.now.Sub(d.lastRenewal) >= renewInterval {
		a.upstream.renewLease(d.run)
		d.lastRenewal = a.now
	}
	a.after(pollInterval, func() { a.supervise(d) })
}

// stopRequested gives a stop request to the driver of the task.
func (a *agentProc) stopRequested(request agent.StopRequest) {
	if d := a.drivers[request.Ref]; d != nil {
		d.stopRequest = &request
		if d.run != nil && !d.lastRenewal.IsZero() {
			a.supervise(d)
		}
	}
}

// stopRun stops the task, after a checkpoint if the request asks for one.
func (a *agentProc) stopRun(d *taskDriver) {
	d.stopping = true
	wait := a.between(2*time.Millisecond, 10*time.Millisecond)
	if d.stopRequest.Checkpoint {
		wait += a.between(0, protocol.CheckpointTimeout)
	}
	a.after(wait, func() {
		var checkpoint json.RawMessage
		if d.stopRequest.Checkpoint && d.run.state == runRunning {
			checkpoint = a.upstream.checkpoint(d.run)
		}
		a.endRun(d, checkpoint, false)
	})
}

// endRun stops the task if it still runs and records its result. If uncertain is set, the agent cannot tell how the
// task ended, and any result but done is recorded as lost.
func (a *agentProc) endRun(d *taskDriver, checkpoint json.RawMessage, uncertain bool) {
	a.upstream.finish(d.run, runStopped)
	phase, out := protocol.TaskLost, json.RawMessage(nil)
	switch d.run.state {
	case runDone:
		phase, out = protocol.TaskDone, output(d.ref, a.name)
	case runFailed:
		if !uncertain {
			phase = protocol.TaskFailed
		}
	case runStopped:
		if !uncertain {
			phase, out = protocol.TaskStopped, checkpoint
		}
	}
	a.finishTask(d, func() { a.ledger.RecordResult(d.ref, phase, out, string(d.run.state)) })
}

// finishTask records the result, removes the driver and answers the stop commands that wait for the end.
func (a *agentProc) finishTask(d *taskDriver, record func()) {
	if a.drivers[d.ref] != d {
		return
	}
	record()
	delete(a.drivers, d.ref)
	for _, answer := range d.waiters {
		answer()
	}
	a.expediteReports()
}
