// Package agent implements the process that runs alongside one upstream and manages its accelerators or slots. The
// agent's ledger alone decides what may start on the upstream; the entries' view of it may be out of date.
package agent

import (
	"encoding/json"
	"fmt"
	"sort"
	"time"

	"masticcart.example/masticcart/internal/model"
	"masticcart.example/masticcart/internal/protocol"
)

const (
	// fenceRetention is how long the fence of a job is kept after its last change. It is far above the time for which a
	// message can be in transit on a connection.
	fenceRetention = time.Hour
	// maxUnacknowledgedResults bounds the ended tasks whose results are not yet acknowledged. With MaxOutputBytes each,
	// it keeps the agent under its memory budget of 128 MB.
	maxUnacknowledgedResults = 256
	// MaxOutputBytes bounds the output of one task. A task with a larger output fails.
	MaxOutputBytes = 64 << 10
	// tombstoneRetention is how long removed tasks are still reported, so that entries remove them too.
	tombstoneRetention = time.Minute
)

// Launch asks the driver to start a task.
type Launch struct {
	Ref        protocol.TaskRef
	Spec       model.JobSpec
	Units      int
	Checkpoint json.RawMessage // of an earlier attempt, to resume from
	// MayStart reports whether the task may still start. The driver calls it right before it calls the upstream.
	MayStart func() bool
}

// StopRequest asks the driver to stop a task.
type StopRequest struct {
	Ref        protocol.TaskRef
	Checkpoint bool // save a checkpoint first
	Reason     string
}

// task is a job's share of the upstream, from the hold to the acknowledgement of the result.
type task struct {
	status     protocol.TaskStatus
	holdUntil  time.Time
	checkpoint json.RawMessage
	payload    json.RawMessage
	lastChange uint64 // value of Ledger.lastChange at the last change of the status
}

// fence records which attempts of a job must not start any more and which one started last.
type fence struct {
	highestFenced int              // this attempt and those below it are refused
	lastStarted   protocol.TaskRef // the last attempt that started here
	changedAt     time.Time
}

// mayHaveRun reports whether the attempt may have run here. Only the last attempt that started is recorded, so every
// earlier one may have run.
func (f fence) mayHaveRun(ref protocol.TaskRef) bool {
	return f.lastStarted.Attempt > ref.Attempt || f.lastStarted == ref && ref.Attempt > 0
}

// tombstone marks a removed task, so that heartbeats report the removal.
type tombstone struct {
	ref       protocol.TaskRef
	removedAt time.Time
	change    uint64 // number of the change that removed the task
}

// Ledger tracks the tasks of one upstream, the units that they hold and the agent's lease. It does no I/O, takes the
// time as an argument, and is not safe for concurrent use.
type Ledger struct {
	identity     protocol.Identity
	tasks        map[model.JobKey]*task
	fences       map[model.JobKey]fence
	tombstones   []tombstone
	lastChange   uint64    // number of the last change of a task's status
	requestSlots int       // slots in use by short requests
	leaseUntil   time.Time // end of the agent's lease
	refuseFrom   time.Time // when new work is refused; zero while the agent is not leaving
	evacuated    bool      // nothing may start, by request of the operators
}

// NewLedger returns the ledger of an upstream on which nothing runs.
func NewLedger(id protocol.Identity) *Ledger {
	return &Ledger{
		identity: id,
		tasks:    make(map[model.JobKey]*task),
		fences:   make(map[model.JobKey]fence),
	}
}

// Free returns the number of units that are neither held nor in use.
func (l *Ledger) Free() int {
	free := l.identity.Units - l.requestSlots
	for _, t := range l.tasks {
		if !t.status.Phase.Terminal() {
			free -= t.status.Units
		}
	}
	return free
}

// ExtendLease extends the agent's lease after the owner acknowledged a heartbeat that was sent at sentAt.
func (l *Ledger) ExtendLease(sentAt time.Time) {
	if until := sentAt.Add(protocol.AgentLease); until.After(l.leaseUntil) {
		l.leaseUntil = until
	}
}

// StartLeaving marks the agent as leaving. The ledger refuses new work from LeaveGrace after the first call.
func (l *Ledger) StartLeaving(now time.Time) {
	if l.refuseFrom.IsZero() {
		l.refuseFrom = now.Add(protocol.LeaveGrace)
	}
}

// SetEvacuated sets whether the operators evacuate the cell: new work is refused, and what is started and not launched
// yet is not launched.
func (l *Ledger) SetEvacuated(evacuated bool) { l.evacuated = evacuated }

// Leaving reports whether StartLeaving was called.
func (l *Ledger) Leaving() bool { return !l.refuseFrom.IsZero() }

// refusesNewWork reports whether LeaveGrace has passed since the agent began to leave.
func (l *Ledger) refusesNewWork(now time.Time) bool {
	return !l.refuseFrom.IsZero() && !now.Before(l.refuseFrom)
}

// Idle reports whether all units are free.
func (l *Ledger) Idle() bool { return l.Free() == l.identity.Units }

// markChanged numbers a change of the task's status, so that the next heartbeat reports it.
func (l *Ledger) markChanged(t *task) {
	l.lastChange++
	t.lastChange = l.lastChange
}

// fenceAttempt makes the ledger refuse the attempt and all earlier ones of the job.
func (l *Ledger) fenceAttempt(now time.Time, ref protocol.TaskRef) {
	f := l.fences[ref.Job]
	f.highestFenced, f.changedAt = max(f.highestFenced, ref.Attempt), now
	l.fences[ref.Job] = f
}

// Hold reserves units for an attempt for HoldTTL. It is idempotent; a repeated hold extends the reservation. It
// refuses an attempt that is fenced, older than the one in the ledger, meant for another incarnation or too large. It
// also refuses any new attempt once LeaveGrace has passed since the agent began to leave, and while the agent has no
// lease or holds too many unacknowledged results.
func (l *Ledger) Hold(now time.Time, a protocol.HoldArgs) protocol.HoldReply {
	refuse := func(format string, args ...any) protocol.HoldReply {
		return protocol.HoldReply{Reason: fmt.Sprintf(format, args...), Free: l.Free(),
			FencedAttempt: l.fences[a.Spec.Key].highestFenced}
	}
	key := a.Spec.Key
	existing := l.tasks[key]
	switch {
	case a.Incarnation != l.identity.Incarnation:
		return refuse("incarnation %s is not the agent's own", a.Incarnation)
	case a.Units <= 0:
		return refuse("%d units cannot be held", a.Units)
	case a.Attempt <= l.fences[key].highestFenced:
		return refuse("attempt %d is fenced at %d", a.Attempt, l.fences[key].highestFenced)
	case existing != nil && existing.status.Attempt == a.Attempt && existing.status.Claim != a.Claim:
		return refuse("attempt %d is %s here under another claim", a.Attempt, existing.status.Phase)
	case existing != nil && existing.status.Attempt == a.Attempt && existing.status.Phase == protocol.TaskHeld:
		existing.holdUntil = now.Add(protocol.HoldTTL)
		return protocol.HoldReply{OK: true, Free: l.Free()}
	case existing != nil && (existing.status.Attempt >= a.Attempt || !existing.status.Phase.Terminal()):
		return refuse("attempt %d is %s here", existing.status.Attempt, existing.status.Phase)
	case l.evacuated:
		return refuse("the cell is evacuated")
	case l.refusesNewWork(now):
		return refuse("the upstream is leaving")
	case now.After(l.leaseUntil):
		return refuse("no owner has acknowledged a heartbeat for %s", protocol.AgentLease)
	case a.Units > l.Free():
		return refuse("%d units asked, %d free", a.Units, l.Free())
	case l.unacknowledgedResults() >= maxUnacknowledgedResults:
		return refuse("%d results wait for acknowledgement", maxUnacknowledgedResults)
	}
	spec := a.Spec
	spec.Payload = nil
	t := &task{
		status: protocol.TaskStatus{Job: key, Attempt: a.Attempt, Claim: a.Claim, Units: a.Units,
			Phase: protocol.TaskHeld, Spec: &spec, Members: a.Members},
		holdUntil:  now.Add(protocol.HoldTTL),
		checkpoint: a.Checkpoint,
		payload:    a.Spec.Payload,
	}
	l.tasks[key] = t
	l.markChanged(t)
	return protocol.HoldReply{OK: true, Free: l.Free()}
}

// unacknowledgedResults returns the number of ended tasks that are still in the ledger.
func (l *Ledger) unacknowledgedResults() int {
	n := 0
	for _, t := range l.tasks {
		if t.status.Phase.Terminal() {
			n++
		}
	}
	return n
}

// Start turns a hold into a running task and returns the launch for the driver. The launch is nil if the attempt has
// already started or is refused.
func (l *Ledger) Start(now time.Time, a protocol.StartArgs) (protocol.StartReply, *Launch) {
	t := l.tasks[a.Task.Job]
	switch {
	case a.Incarnation != l.identity.Incarnation:
		return protocol.StartReply{Reason: "the incarnation is not the agent's own"}, nil
	case t == nil || t.status.Ref() != a.Task:
		return protocol.StartReply{Reason: "nothing is held for this attempt"}, nil
	case t.status.Started:
		return protocol.StartReply{OK: true}, nil
	case t.status.Phase != protocol.TaskHeld || now.After(t.holdUntil):
		return protocol.StartReply{Reason: "the hold has expired"}, nil
	case now.After(l.leaseUntil):
		return protocol.StartReply{Reason: "no owner has acknowledged a heartbeat within the agent's lease"}, nil
	}
	t.status.Phase = protocol.TaskRunning
	t.status.Started = true
	l.markChanged(t)
	f := l.fences[a.Task.Job]
	f.lastStarted, f.changedAt = a.Task, now
	l.fences[a.Task.Job] = f
	spec := *t.status.Spec
	spec.Payload = t.payload
	launch := &Launch{Ref: a.Task, Spec: spec, Units: t.status.Units, Checkpoint: t.checkpoint}
	t.payload, t.checkpoint = nil, nil
	return protocol.StartReply{OK: true}, launch
}

// MayLaunch reports whether a started task may still be launched on the upstream. It may not if the agent was paused
// for longer than its lease between Start and the call to the upstream, if the task was stopped meanwhile, or if the cell
// is evacuated.
func (l *Ledger) MayLaunch(now time.Time, ref protocol.TaskRef) bool {
	t := l.tasks[ref.Job]
	return t != nil && t.status.Ref() == ref && t.status.Phase == protocol.TaskRunning && !now.After(l.leaseUntil) &&
		!l.evacuated
}

// Stop fences an attempt and all earlier ones. It returns a reply if the attempt does not run here. Otherwise the
// reply is nil and the task is stopping; StopResult returns the reply once the result is recorded. The first stop of a
// running task also returns a stop request for the driver.
func (l *Ledger) Stop(now time.Time, a protocol.StopArgs) (*protocol.StopReply, *StopRequest) {
	if a.Incarnation != l.identity.Incarnation {
		return &protocol.StopReply{}, nil
	}
	t := l.tasks[a.Task.Job]
	if t != nil && t.status.Attempt == a.Task.Attempt && t.status.Claim != a.Task.Claim {
		// The task in the ledger is another entry's attempt with the same number. The attempt to stop is not here, and
		// Hold refuses it while the other one is in the ledger.
		return &protocol.StopReply{OK: true}, nil
	}
	l.fenceAttempt(now, a.Task)
	if t == nil || t.status.Attempt > a.Task.Attempt {
		return l.absentStopReply(a.Task), nil
	}
	switch t.status.Phase {
	case protocol.TaskHeld:
		l.removeTask(now, t)
		return &protocol.StopReply{OK: true}, nil
	case protocol.TaskRunning:
		return nil, l.beginStop(t, a.Checkpoint, a.Reason)
	case protocol.TaskStopping:
		return nil, nil
	}
	return endedStopReply(t), nil
}

// absentStopReply returns the reply to a stop of an attempt that is not in the ledger. If the attempt may have run, its
// result is gone and it counts as lost.
func (l *Ledger) absentStopReply(ref protocol.TaskRef) *protocol.StopReply {
	if l.fences[ref.Job].mayHaveRun(ref) {
		return &protocol.StopReply{OK: true, Started: true, Phase: protocol.TaskLost}
	}
	return &protocol.StopReply{OK: true}
}

// endedStopReply returns the reply to a stop of a task that has ended.
func endedStopReply(t *task) *protocol.StopReply {
	return &protocol.StopReply{OK: true, Started: t.status.Started, Phase: t.status.Phase, Output: t.status.Output}
}

// beginStop marks a running task as stopping. Its units stay in use until its result is recorded.
func (l *Ledger) beginStop(t *task, checkpoint bool, reason string) *StopRequest {
	t.status.Phase = protocol.TaskStopping
	t.status.Reason = reason
	l.markChanged(t)
	return &StopRequest{Ref: t.status.Ref(), Checkpoint: checkpoint, Reason: reason}
}

// removeTask deletes a task and leaves a tombstone.
func (l *Ledger) removeTask(now time.Time, t *task) {
	ref := t.status.Ref()
	delete(l.tasks, ref.Job)
	l.lastChange++
	l.tombstones = append(l.tombstones, tombstone{ref: ref, removedAt: now, change: l.lastChange})
}

// RecordResult records how a task ended. The output of a stopped task is its checkpoint.
func (l *Ledger) RecordResult(ref protocol.TaskRef, phase protocol.TaskPhase, output json.RawMessage, reason string) {
	t := l.tasks[ref.Job]
	if t == nil || t.status.Ref() != ref || t.status.Phase.Terminal() {
		return
	}
	if len(output) > MaxOutputBytes {
		phase = protocol.TaskFailed
		reason = fmt.Sprintf("output of %d bytes exceeds %d", len(output), MaxOutputBytes)
		output = nil
	}
	t.status.Phase, t.status.Output, t.status.Reason = phase, output, reason
	l.markChanged(t)
}

// RecordRejection records that a launch was refused or not sent, which proves that the attempt did not start.
func (l *Ledger) RecordRejection(ref protocol.TaskRef, reason string) {
	t := l.tasks[ref.Job]
	if t == nil || t.status.Ref() != ref || t.status.Phase.Terminal() {
		return
	}
	t.status.Phase, t.status.Started, t.status.Reason = protocol.TaskStopped, false, reason
	f := l.fences[ref.Job]
	f.lastStarted = protocol.TaskRef{}
	l.fences[ref.Job] = f
	l.markChanged(t)
}

// StopResult returns the reply to a stop of this attempt, or nil while it still runs.
func (l *Ledger) StopResult(ref protocol.TaskRef) *protocol.StopReply {
	t := l.tasks[ref.Job]
	if t == nil || t.status.Ref() != ref {
		return l.absentStopReply(ref)
	}
	if !t.status.Phase.Terminal() {
		return nil
	}
	return endedStopReply(t)
}

// RemoveAcknowledged removes ended tasks whose results the owner has recorded. Their attempts stay fenced.
func (l *Ledger) RemoveAcknowledged(now time.Time, refs []protocol.TaskRef) {
	for _, ref := range refs {
		t := l.tasks[ref.Job]
		if t != nil && t.status.Ref() == ref && t.status.Phase.Terminal() {
			l.fenceAttempt(now, ref)
			l.removeTask(now, t)
		}
	}
}

// Tick removes expired holds and old fences and tombstones. When the agent's lease has expired, it also returns
// requests to stop the tasks that run on accelerators, since their owner may have started the jobs elsewhere by then.
// Tasks on slots run to their end, since an executor cannot stop a request and such tasks belong to no gang.
func (l *Ledger) Tick(now time.Time) []StopRequest {
	var requests []StopRequest
	for _, t := range l.tasks {
		switch {
		case t.status.Phase == protocol.TaskHeld && now.After(t.holdUntil):
			l.fenceAttempt(now, t.status.Ref())
			l.removeTask(now, t)
		case t.status.Phase == protocol.TaskRunning && t.status.Spec.Shape.UsesAccelerators() && now.After(l.leaseUntil):
			requests = append(requests, *l.beginStop(t, true, "no owner acknowledged a heartbeat within the agent's lease"))
		}
	}
	for key, f := range l.fences {
		if l.tasks[key] == nil && now.Sub(f.changedAt) > fenceRetention {
			delete(l.fences, key)
		}
	}
	retained := l.tombstones[:0]
	for _, s := range l.tombstones {
		if now.Sub(s.removedAt) <= tombstoneRetention {
			retained = append(retained, s)
		}
	}
	l.tombstones = retained
	return requests
}

// AcquireSlot reserves a slot for a short request and reports whether it did. The request must not start if it returns
// false.
func (l *Ledger) AcquireSlot(now time.Time) bool {
	if l.refusesNewWork(now) || l.evacuated || l.Free() < 1 {
		return false
	}
	l.requestSlots++
	return true
}

// ReleaseSlot frees the slot of a short request.
func (l *Ledger) ReleaseSlot() { l.requestSlots-- }

// LastChange returns the number of the last change, which a later call can pass to ChangedSince.
func (l *Ledger) LastChange() uint64 { return l.lastChange }

// ChangedSince returns the tasks that changed after the given change, in the order of their jobs. Removed tasks have
// the phase TaskRemoved.
func (l *Ledger) ChangedSince(change uint64) []protocol.TaskStatus {
	var out []protocol.TaskStatus
	for _, s := range l.tombstones {
		if s.change > change && l.tasks[s.ref.Job] == nil {
			out = append(out, protocol.TaskStatus{Job: s.ref.Job, Attempt: s.ref.Attempt, Claim: s.ref.Claim,
				Phase: protocol.TaskRemoved})
		}
	}
	for _, t := range l.tasks {
		if t.lastChange > change {
			out = append(out, t.status)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Job.Less(out[j].Job) })
	return out
}

// AllTasks returns the status of every task, including the members of its gang, in the order of the jobs.
func (l *Ledger) AllTasks() []protocol.TaskStatus {
	out := make([]protocol.TaskStatus, 0, len(l.tasks))
	for _, t := range l.tasks {
		out = append(out, t.status)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Job.Less(out[j].Job) })
	return out
}
