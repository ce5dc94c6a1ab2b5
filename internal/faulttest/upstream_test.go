package faulttest_test

import (
	"encoding/json"
	"fmt"
	"time"

	"masticcart.example/masticcart/internal/agent"
	"masticcart.example/masticcart/internal/model"
	"masticcart.example/masticcart/internal/protocol"
)

// payload is the body of the simulated work.
type payload struct {
	RunMS    int64 `json:"run_ms"`
	ResumeMS int64 `json:"resume_ms,omitempty"`
	Fail     bool  `json:"fail,omitempty"`
}

type runState string

const (
	runRunning runState = "running"
	runDone    runState = "done"
	runFailed  runState = "failed"
	runStopped runState = "stopped"
	runLapsed  runState = "lease_expired"
)

// run is one start of a task at an upstream, as the upstream saw it.
type run struct {
	ref         protocol.TaskRef
	spec        model.JobSpec
	agent       string
	incarnation string
	gang        string // the members of the hold that was started
	members     []model.Member
	units       int
	state       runState
	started     time.Time
	ended       time.Time
	leaseEnd    time.Time
	resumed     time.Duration
}

// output is what the task of one member answers.
func output(ref protocol.TaskRef, member string) json.RawMessage {
	return json.RawMessage(fmt.Sprintf("%q", fmt.Sprintf("%s#%d@%s", ref.Job, ref.Attempt, member)))
}

// upstream is a simulated worker or executor. It has its own count of what is in use.
type upstream struct {
	*sim
	oracle  *oracle
	name    string
	worker  bool
	units   int
	failing bool // fails everything that it starts
	runs    []*run
}

func (u *upstream) used() int {
	n := 0
	for _, r := range u.runs {
		if r.state == runRunning {
			n += r.units
		}
	}
	return n
}

// start begins a task; nil means that it was refused.
func (u *upstream) start(l agent.Launch, incarnation string, members []model.Member) *run {
	r := &run{ref: l.Ref, spec: l.Spec, agent: u.name, incarnation: incarnation, gang: fmt.Sprint(members), members: members,
		units: l.Units, state: runRunning, started: u.now, leaseEnd: u.now.Add(protocol.TaskLease)}
	if u.used()+l.Units > u.units {
		u.oracle.overcommitted(u, r)
		return nil
	}
	u.oracle.startedRun(u, r)
	u.runs = append(u.runs, r)
	var p payload
	if json.Unmarshal(l.Spec.Payload, &p) != nil {
		u.violate("harness: payload %s", l.Spec.Payload)
	}
	var saved payload
	if len(l.Checkpoint) > 0 && json.Unmarshal(l.Checkpoint, &saved) == nil {
		r.resumed = time.Duration(saved.ResumeMS) * time.Millisecond
	}
	total, end := time.Duration(p.RunMS)*time.Millisecond-r.resumed, runDone
	if p.Fail || u.failing {
		total, end = min(total, 500*time.Millisecond), runFailed
	}
	u.after(max(total, time.Millisecond), func() { u.finish(r, end) })
	if u.worker {
		u.expire(r)
	}
	return r
}

func (u *upstream) finish(r *run, state runState) {
	if r.state == runRunning {
		r.state, r.ended = state, u.now
		u.trace("%s %s ended %s", u.name, refName(r.ref), state)
	}
}

// expire ends a task whose lease has lapsed.
func (u *upstream) expire(r *run) {
	u.at(r.leaseEnd, func() {
		if r.state == runRunning && u.now.Before(r.leaseEnd) {
			u.expire(r)
			return
		}
		u.finish(r, runLapsed)
	})
}

func (u *upstream) renew(r *run) { r.leaseEnd = u.now.Add(protocol.TaskLease) }

func (u *upstream) checkpoint(r *run) json.RawMessage {
	saved, err := json.Marshal(payload{ResumeMS: (r.resumed + u.now.Sub(r.started)).Milliseconds()})
	if err != nil {
		u.violate("harness: %v", err)
	}
	return saved
}

// stopAll ends everything, as a restart of the host or the reset by a new agent does.
func (u *upstream) stopAll() {
	for _, r := range u.runs {
		u.finish(r, runStopped)
	}
}

func refName(r protocol.TaskRef) string { return fmt.Sprintf("%s#%d", r.Job, r.Attempt) }

// runner is the driver's side of one task.
type runner struct {
	ref     protocol.TaskRef
	run     *run
	halt    *agent.StopRequest
	halting bool
	renewed time.Time
	waiters []func()
}

const (
	pollInterval  = 250 * time.Millisecond
	renewInterval = protocol.TaskLease / 4
)

// launch starts a task the way the drivers of package agent do.
func (a *agentProc) launch(l agent.Launch) {
	r := &runner{ref: l.Ref}
	a.runners[l.Ref] = r
	members := a.members[l.Ref]
	a.after(a.between(time.Millisecond, 3*time.Millisecond), func() {
		sent := a.now
		if !a.ledger.MayLaunch(a.now, l.Ref) { // The drivers call Launch.MayStart here.
			a.ended(r, func() { a.ledger.RecordRejection(l.Ref, "not permitted") })
			return
		}
		r.run = a.upstream.start(l, a.identity.Incarnation, members)
		if r.run == nil {
			a.ended(r, func() { a.ledger.RecordRejection(l.Ref, "upstream refused") })
			return
		}
		if a.upstream.worker && a.chance(a.lostStarts) {
			a.after(time.Second, func() { a.endRun(r, nil, true) }) // the answer was lost
			return
		}
		a.after(time.Millisecond, func() {
			r.renewed = sent
			a.supervise(r)
		})
	})
}

// supervise renews the lease of a worker's task and looks for its end. Requests on executors cannot be stopped.
func (a *agentProc) supervise(r *runner) {
	switch {
	case a.runners[r.ref] != r || r.halting:
		return
	case r.halt != nil && a.upstream.worker:
		a.stopRun(r)
		return
	case a.upstream.worker && a.now.Sub(r.renewed) > protocol.TaskLease:
		a.endRun(r, nil, true)
		return
	case r.run.state != runRunning:
		a.endRun(r, nil, false)
		return
	}
	if a.upstream.worker && a.now.Sub(r.renewed) >= renewInterval {
		a.upstream.renew(r.run)
		r.renewed = a.now
	}
	a.after(pollInterval, func() { a.supervise(r) })
}

func (a *agentProc) halted(h agent.StopRequest) {
	if r := a.runners[h.Ref]; r != nil {
		r.halt = &h
		if r.run != nil && !r.renewed.IsZero() {
			a.supervise(r)
		}
	}
}

// stopRun checkpoints if asked and stops the task.
func (a *agentProc) stopRun(r *runner) {
	r.halting = true
	wait := a.between(2*time.Millisecond, 10*time.Millisecond)
	if r.halt.Checkpoint {
		wait += a.between(0, protocol.CheckpointTimeout)
	}
	a.after(wait, func() {
		var saved json.RawMessage
		if r.halt.Checkpoint && r.run.state == runRunning {
			saved = a.upstream.checkpoint(r.run)
		}
		a.endRun(r, saved, false)
	})
}

// endRun stops the task if it still runs and records its end.
func (a *agentProc) endRun(r *runner, saved json.RawMessage, unclear bool) {
	a.upstream.finish(r.run, runStopped)
	phase, out := protocol.TaskLost, json.RawMessage(nil)
	switch r.run.state {
	case runDone:
		phase, out = protocol.TaskDone, output(r.ref, a.name)
	case runFailed:
		if !unclear {
			phase = protocol.TaskFailed
		}
	case runStopped:
		if !unclear {
			phase, out = protocol.TaskStopped, saved
		}
	}
	a.ended(r, func() { a.ledger.RecordResult(r.ref, phase, out, string(r.run.state)) })
}

func (a *agentProc) ended(r *runner, record func()) {
	if a.runners[r.ref] != r {
		return
	}
	record()
	delete(a.runners, r.ref)
	for _, w := range r.waiters {
		w()
	}
	a.wake()
}
