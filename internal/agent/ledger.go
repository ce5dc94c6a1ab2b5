// Package agent runs beside one upstream. It owns the upstream's accelerators or slots: its ledger decides
// what may start, whatever the entries believe.
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
	// fenceRetention is how long the agent remembers fenced attempts. It is far above the time that a message
	// can spend in a connection.
	fenceRetention = time.Hour
	// maxResults bounds the ended tasks that wait to be acknowledged. With MaxOutputBytes each it keeps the
	// agent under its memory budget of 128 MB.
	maxResults = 256
	// MaxOutputBytes bounds the output of one task.
	MaxOutputBytes = 64 << 10
	// tombstoneRetention is how long removed tasks are still reported, so that entries drop them too.
	tombstoneRetention = time.Minute
)

// Launch asks the driver to start a task.
type Launch struct {
	Ref        protocol.TaskRef
	Spec       model.JobSpec
	Units      int
	Checkpoint json.RawMessage
	// MayStart is asked right before the call that starts the task.
	MayStart func() bool
}

// StopRequest asks the driver to stop a task.
type StopRequest struct {
	Ref        protocol.TaskRef
	Checkpoint bool
	Reason     string
}

type task struct {
	status     protocol.TaskStatus
	holdUntil  time.Time
	checkpoint json.RawMessage
	payload    json.RawMessage
	change     uint64 // value of Ledger.changes at the last change of the status
}

// fence remembers what must not start any more and what did start.
type fence struct {
	attempt int              // the highest attempt that is refused
	started protocol.TaskRef // the last attempt that started here
	at      time.Time
}

// ran reports whether the attempt may have run here. Of attempts before the last one that started nothing is
// remembered.
func (f fence) ran(ref protocol.TaskRef) bool {
	return f.started.Attempt > ref.Attempt || f.started == ref && ref.Attempt > 0
}

type tombstone struct {
	ref    protocol.TaskRef
	at     time.Time
	change uint64
}

// Ledger is the state of one upstream's units. It does no I/O and takes the time as an argument. It is not
// safe for concurrent use.
type Ledger struct {
	identity   protocol.Identity
	tasks      map[model.JobKey]*task
	fences     map[model.JobKey]fence
	tombstones []tombstone
	changes    uint64
	short      int // slots in use by short requests
	leaseUntil time.Time
	leaveAt    time.Time // zero while the agent is not leaving
}

// NewLedger returns the ledger of an upstream on which nothing runs.
func NewLedger(id protocol.Identity) *Ledger {
	return &Ledger{
		identity: id,
		tasks:    make(map[model.JobKey]*task),
		fences:   make(map[model.JobKey]fence),
	}
}

// Free returns the units that are neither held nor used.
func (l *Ledger) Free() int {
	free := l.identity.Units - l.short
	for _, t := range l.tasks {
		if !t.status.Phase.Terminal() {
			free -= t.status.Units
		}
	}
	return free
}

// ExtendLease records that the owner acknowledged a heartbeat that was sent at the given time.
func (l *Ledger) ExtendLease(sent time.Time) {
	if until := sent.Add(protocol.AgentLease); until.After(l.leaseUntil) {
		l.leaseUntil = until
	}
}

// StartLeaving makes the ledger refuse new work after LeaveGrace.
func (l *Ledger) StartLeaving(now time.Time) {
	if l.leaveAt.IsZero() {
		l.leaveAt = now.Add(protocol.LeaveGrace)
	}
}

// Leaving reports whether StartLeaving was called.
func (l *Ledger) Leaving() bool { return !l.leaveAt.IsZero() }

func (l *Ledger) refusesNew(now time.Time) bool {
	return !l.leaveAt.IsZero() && !now.Before(l.leaveAt)
}

// Idle reports whether nothing is held or running.
func (l *Ledger) Idle() bool { return l.Free() == l.identity.Units }

func (l *Ledger) touch(t *task) {
	l.changes++
	t.change = l.changes
}

func (l *Ledger) fenceAttempt(now time.Time, ref protocol.TaskRef) {
	f := l.fences[ref.Job]
	f.attempt, f.at = max(f.attempt, ref.Attempt), now
	l.fences[ref.Job] = f
}

// Hold reserves units for an attempt. It is idempotent and refuses an attempt that is fenced, older than the
// one known here, meant for another incarnation, or too large.
func (l *Ledger) Hold(now time.Time, a protocol.HoldArgs) protocol.HoldReply {
	refuse := func(format string, args ...any) protocol.HoldReply {
		return protocol.HoldReply{Reason: fmt.Sprintf(format, args...), Free: l.Free(), FencedAttempt: l.fences[a.Spec.Key].attempt}
	}
	key := a.Spec.Key
	known := l.tasks[key]
	switch {
	case a.Incarnation != l.identity.Incarnation:
		return refuse("incarnation %s is not the agent's own", a.Incarnation)
	case a.Units <= 0:
		return refuse("%d units cannot be held", a.Units)
	case a.Attempt <= l.fences[key].attempt:
		return refuse("attempt %d is fenced at %d", a.Attempt, l.fences[key].attempt)
	case known != nil && known.status.Attempt == a.Attempt && known.status.Claim != a.Claim:
		return refuse("attempt %d is %s here under another claim", a.Attempt, known.status.Phase)
	case known != nil && known.status.Attempt == a.Attempt && known.status.Phase == protocol.TaskHeld:
		known.holdUntil = now.Add(protocol.HoldTTL)
		return protocol.HoldReply{OK: true, Free: l.Free()}
	case known != nil && (known.status.Attempt >= a.Attempt || !known.status.Phase.Terminal()):
		return refuse("attempt %d is %s here", known.status.Attempt, known.status.Phase)
	case l.refusesNew(now):
		return refuse("the upstream is leaving")
	case now.After(l.leaseUntil):
		return refuse("no owner has acknowledged a heartbeat for %s", protocol.AgentLease)
	case a.Units > l.Free():
		return refuse("%d units asked, %d free", a.Units, l.Free())
	case l.results() >= maxResults:
		return refuse("%d results wait for acknowledgement", maxResults)
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
	l.touch(t)
	return protocol.HoldReply{OK: true, Free: l.Free()}
}

func (l *Ledger) results() int {
	n := 0
	for _, t := range l.tasks {
		if t.status.Phase.Terminal() {
			n++
		}
	}
	return n
}

// Start turns a hold into a running task. It returns the launch for the driver, or nil when the attempt
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
	l.touch(t)
	f := l.fences[a.Task.Job]
	f.started, f.at = a.Task, now
	l.fences[a.Task.Job] = f
	spec := *t.status.Spec
	spec.Payload = t.payload
	launch := &Launch{Ref: a.Task, Spec: spec, Units: t.status.Units, Checkpoint: t.checkpoint}
	t.payload, t.checkpoint = nil, nil
	return protocol.StartReply{OK: true}, launch
}

// MayLaunch reports whether a started task may still be given to the upstream. The agent may have been paused
// between its answer to the start and the call, for longer than its lease.
func (l *Ledger) MayLaunch(now time.Time, ref protocol.TaskRef) bool {
	t := l.tasks[ref.Job]
	return t != nil && t.status.Ref() == ref && t.status.Phase == protocol.TaskRunning && !now.After(l.leaseUntil)
}

// Stop fences an attempt and all before it. It returns a reply when nothing of it runs here; otherwise the
// reply is nil, the task is stopping and the caller waits for RecordResult. A StopRequest is returned once per task.
func (l *Ledger) Stop(now time.Time, a protocol.StopArgs) (*protocol.StopReply, *StopRequest) {
	if a.Incarnation != l.identity.Incarnation {
		return &protocol.StopReply{}, nil
	}
	t := l.tasks[a.Task.Job]
	if t != nil && t.status.Attempt == a.Task.Attempt && t.status.Claim != a.Task.Claim {
		// Another entry's attempt of the same number. The one to stop is not here, and no hold for it is accepted
		// while this one stands.
		return &protocol.StopReply{OK: true}, nil
	}
	l.fenceAttempt(now, a.Task)
	if t == nil || t.status.Attempt > a.Task.Attempt {
		return l.goneReply(a.Task), nil
	}
	switch t.status.Phase {
	case protocol.TaskHeld:
		l.remove(now, t)
		return &protocol.StopReply{OK: true}, nil
	case protocol.TaskRunning:
		return nil, l.halt(t, a.Checkpoint, a.Reason)
	case protocol.TaskStopping:
		return nil, nil
	}
	return stopReply(t), nil
}

// goneReply answers for an attempt that is not in the ledger. If it ran, its result was dropped.
func (l *Ledger) goneReply(ref protocol.TaskRef) *protocol.StopReply {
	if l.fences[ref.Job].ran(ref) {
		return &protocol.StopReply{OK: true, Started: true, Phase: protocol.TaskLost}
	}
	return &protocol.StopReply{OK: true}
}

func stopReply(t *task) *protocol.StopReply {
	return &protocol.StopReply{OK: true, Started: t.status.Started, Phase: t.status.Phase, Output: t.status.Output}
}

func (l *Ledger) halt(t *task, checkpoint bool, reason string) *StopRequest {
	t.status.Phase = protocol.TaskStopping
	t.status.Reason = reason
	l.touch(t)
	return &StopRequest{Ref: t.status.Ref(), Checkpoint: checkpoint, Reason: reason}
}

func (l *Ledger) remove(now time.Time, t *task) {
	ref := t.status.Ref()
	delete(l.tasks, ref.Job)
	l.changes++
	l.tombstones = append(l.tombstones, tombstone{ref: ref, at: now, change: l.changes})
}

// RecordResult records the end of a task as seen by the driver. For a stopped task the output is its checkpoint.
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
	l.touch(t)
}

// RecordRejection records that the upstream refused a launch, which proves that the attempt did not start.
func (l *Ledger) RecordRejection(ref protocol.TaskRef, reason string) {
	t := l.tasks[ref.Job]
	if t == nil || t.status.Ref() != ref || t.status.Phase.Terminal() {
		return
	}
	t.status.Phase, t.status.Started, t.status.Reason = protocol.TaskStopped, false, reason
	f := l.fences[ref.Job]
	f.started = protocol.TaskRef{}
	l.fences[ref.Job] = f
	l.touch(t)
}

// StopResult returns the reply to a stop of this attempt, or nil while it still runs.
func (l *Ledger) StopResult(ref protocol.TaskRef) *protocol.StopReply {
	t := l.tasks[ref.Job]
	if t == nil || t.status.Ref() != ref {
		return l.goneReply(ref)
	}
	if !t.status.Phase.Terminal() {
		return nil
	}
	return stopReply(t)
}

// RemoveAcknowledged drops ended tasks whose results are recorded. Their attempts stay fenced.
func (l *Ledger) RemoveAcknowledged(now time.Time, refs []protocol.TaskRef) {
	for _, ref := range refs {
		t := l.tasks[ref.Job]
		if t != nil && t.status.Ref() == ref && t.status.Phase.Terminal() {
			l.fenceAttempt(now, ref)
			l.remove(now, t)
		}
	}
}

// Tick expires holds and, when the agent's lease has passed, halts the tasks that run on accelerators: their
// owner may by then have started the job elsewhere. Tasks on slots run to their end, since an executor cannot
// stop a request and they have no other members.
func (l *Ledger) Tick(now time.Time) []StopRequest {
	var halts []StopRequest
	for _, t := range l.tasks {
		switch {
		case t.status.Phase == protocol.TaskHeld && now.After(t.holdUntil):
			l.fenceAttempt(now, t.status.Ref())
			l.remove(now, t)
		case t.status.Phase == protocol.TaskRunning && t.status.Spec.Shape.UsesAccelerators() && now.After(l.leaseUntil):
			halts = append(halts, *l.halt(t, true, "no owner acknowledged a heartbeat within the agent's lease"))
		}
	}
	for key, f := range l.fences {
		if l.tasks[key] == nil && now.Sub(f.at) > fenceRetention {
			delete(l.fences, key)
		}
	}
	keep := l.tombstones[:0]
	for _, s := range l.tombstones {
		if now.Sub(s.at) <= tombstoneRetention {
			keep = append(keep, s)
		}
	}
	l.tombstones = keep
	return halts
}

// AcquireSlot takes a slot for a short request; false is proof that it did not start.
func (l *Ledger) AcquireSlot(now time.Time) bool {
	if l.refusesNew(now) || l.Free() < 1 {
		return false
	}
	l.short++
	return true
}

// ReleaseSlot returns the slot of a short request.
func (l *Ledger) ReleaseSlot() { l.short-- }

// LastChange returns the number of the last change; it is the argument for a later ChangedSince.
func (l *Ledger) LastChange() uint64 { return l.changes }

// ChangedSince returns the tasks that changed after the given change, removed ones in phase removed.
func (l *Ledger) ChangedSince(change uint64) []protocol.TaskStatus {
	var out []protocol.TaskStatus
	for _, s := range l.tombstones {
		if s.change > change && l.tasks[s.ref.Job] == nil {
			out = append(out, protocol.TaskStatus{Job: s.ref.Job, Attempt: s.ref.Attempt, Claim: s.ref.Claim, Phase: protocol.TaskRemoved})
		}
	}
	for _, t := range l.tasks {
		if t.change > change {
			out = append(out, t.status)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Job.Less(out[j].Job) })
	return out
}

// AllTasks returns every task with its gang members, for an announcement.
func (l *Ledger) AllTasks() []protocol.TaskStatus {
	out := make([]protocol.TaskStatus, 0, len(l.tasks))
	for _, t := range l.tasks {
		out = append(out, t.status)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Job.Less(out[j].Job) })
	return out
}
