package faulttest_test

import (
	"testing"
	"time"

	"masticcart.example/masticcart/internal/agent"
	"masticcart.example/masticcart/internal/cell"
	"masticcart.example/masticcart/internal/evacuation"
	"masticcart.example/masticcart/internal/jobs"
	"masticcart.example/masticcart/internal/kvstore"
	"masticcart.example/masticcart/internal/model"
	"masticcart.example/masticcart/internal/placement"
	"masticcart.example/masticcart/internal/protocol"
)

// fixedPlanner places every waiting job on worker w.
type fixedPlanner struct{}

func (fixedPlanner) Plan(s *placement.Snapshot) *placement.Plan {
	p := &placement.Plan{}
	for _, x := range s.Waiting {
		p.Placements = append(p.Placements, placement.Placement{Job: x.Spec.Key, Members: []model.Member{memberOnW}})
	}
	return p
}

var (
	memberOnW       = model.Member{Agent: "w", Incarnation: "1", Units: 8}
	wholeWorkerSpec = model.JobSpec{Key: model.JobKey{Team: "t", ID: "j"}, Kind: "k",
		Shape: model.Shape{Accelerators: 8, Adjacency: model.AdjacentWorker}}
	identityOfW = protocol.Identity{Agent: "w", Incarnation: "1", Kind: protocol.KindWorker,
		Cell: "c", Rack: "r", Units: 8}
)

// coordinatorHarness drives one coordinator that owns its cell and has one worker, w.
type coordinatorHarness struct {
	*cell.Coordinator
	now    time.Time
	config *model.Config // in force
}

func newCoordinatorHarness() *coordinatorHarness {
	h := &coordinatorHarness{now: epoch, config: &model.Config{}}
	h.Coordinator = cell.NewCoordinator("c", fixedPlanner{},
		func() *model.Config { return h.config }, func(model.Job) {})
	h.SetOwner(h.now, true)
	return h
}

func (h *coordinatorHarness) announce(tasks ...protocol.TaskStatus) {
	h.Announce(h.now, protocol.AnnounceArgs{Identity: identityOfW, Free: 8, Tasks: tasks})
}

// advance sends a heartbeat and a tick every second for d. It returns the results that the agent may remove and the
// actions of the coordinator.
func (h *coordinatorHarness) advance(d time.Duration) (forget []protocol.TaskRef, actions []cell.Action) {
	for end := h.now.Add(d); h.now.Before(end); {
		h.now = h.now.Add(time.Second)
		f, _ := h.Heartbeat(h.now, protocol.HeartbeatArgs{Agent: "w", Incarnation: "1", Free: 8})
		h.Tick(h.now)
		forget = append(forget, f...)
		actions = append(actions, h.DrainActions()...)
	}
	return forget, actions
}

// actionsOf selects the actions of type A.
func actionsOf[A cell.Action](actions []cell.Action) (found []A) {
	for _, a := range actions {
		if x, ok := a.(A); ok {
			found = append(found, x)
		}
	}
	return found
}

func claimedRecord(claim string, attempt int, rev kvstore.Revision) jobs.Record {
	return jobs.Record{Revision: rev, Job: model.Job{Spec: wholeWorkerSpec, Cell: "c", State: model.JobClaimed,
		Attempt: attempt, Claim: claim, Members: []model.Member{memberOnW}}}
}

// TestClaimOfAnotherOwnerIsRecognized guards against this failure: an owner whose hold was refused mistook the claim of
// another owner, which had the same attempt number and members, for its own and requeued a running job as not run.
func TestClaimOfAnotherOwnerIsRecognized(t *testing.T) {
	h := newCoordinatorHarness()
	h.announce()
	h.IndexListed(h.now, []jobs.OpenJob{{Key: wholeWorkerSpec.Key, Revision: 1}})
	h.RecordLoaded(h.now, jobs.Record{Revision: 2,
		Job: model.Job{Spec: wholeWorkerSpec, Cell: "c", State: model.JobAccepted}})
	_, actions := h.advance(2 * time.Second)
	holds := actionsOf[cell.HoldAction](actions)
	if len(holds) == 0 {
		t.Fatal("the job was not placed")
	}
	h.HoldAnswered(h.now, holds[0], protocol.HoldReply{Reason: "attempt 1 is running here under another claim"}, nil)
	h.RecordLoaded(h.now, claimedRecord("other", holds[0].Args.Attempt, 3))
	actions = h.DrainActions()
	if w := actionsOf[cell.WriteRecordAction](actions); len(w) > 0 {
		t.Errorf("the record of a running job was written: %+v", w)
	}
	if s := actionsOf[cell.StartAction](actions); len(s) != 1 || s[0].Args.Task.Claim != "other" {
		t.Errorf("starts %+v, want one under the other owner's claim", s)
	}
}

// TestClaimedAttemptDoesNotStartInEvacuatedCell guards against a start that was decided before the owner of the cell, or
// only the agent, learned of a request to evacuate the cell.
func TestClaimedAttemptDoesNotStartInEvacuatedCell(t *testing.T) {
	evacuated := &model.Config{Version: 1, Evacuations: evacuation.Set{}.With(evacuation.Request{Cell: "c", Revision: 1})}
	h := newCoordinatorHarness()
	h.announce()
	h.IndexListed(h.now, []jobs.OpenJob{{Key: wholeWorkerSpec.Key, Revision: 1}})
	h.RecordLoaded(h.now, jobs.Record{Revision: 2,
		Job: model.Job{Spec: wholeWorkerSpec, Cell: "c", State: model.JobAccepted}})
	_, actions := h.advance(2 * time.Second)
	holds := actionsOf[cell.HoldAction](actions)
	if len(holds) == 0 {
		t.Fatal("the job was not placed")
	}
	h.HoldAnswered(h.now, holds[0], protocol.HoldReply{OK: true}, nil)
	claims := actionsOf[cell.WriteRecordAction](h.DrainActions())
	if len(claims) != 1 {
		t.Fatalf("records %+v, want the claim", claims)
	}
	h.config = evacuated
	claims[0].Record.Revision = 3
	h.RecordWritten(h.now, claims[0], claims[0].Record, nil)
	actions = h.DrainActions()
	if s := actionsOf[cell.StartAction](actions); len(s) > 0 || len(actionsOf[cell.StopAction](actions)) != 1 {
		t.Errorf("starts %+v, want a stop", s)
	}

	l := agent.NewLedger(identityOfW)
	l.ExtendLease(h.now)
	l.Hold(h.now, holds[0].Args)
	ref := protocol.TaskRef{Job: wholeWorkerSpec.Key, Attempt: holds[0].Args.Attempt, Claim: holds[0].Args.Claim}
	if r, launch := l.Start(h.now, protocol.StartArgs{Incarnation: "1", Task: ref}); !r.OK || launch == nil {
		t.Fatalf("start: %+v", r)
	}
	l.SetEvacuated(true)
	if l.MayLaunch(h.now, ref) {
		t.Error("the agent launches a task in an evacuated cell")
	}
	other := holds[0].Args
	other.Spec.Key.ID = "other"
	l.RecordRejection(ref, "the cell is evacuated")
	if r := l.Hold(h.now, other); r.OK || r.Reason != "the cell is evacuated" {
		t.Errorf("hold in an evacuated cell: %+v", r)
	}
	l.SetEvacuated(false)
	if r := l.Hold(h.now, other); !r.OK {
		t.Errorf("hold after the cell was restored: %+v", r)
	}
}

// TestUnknownResultIsKept guards against this failure: an owner with a stale view let the agent remove a result that
// was not recorded yet, and the work could start a second time.
func TestUnknownResultIsKept(t *testing.T) {
	h := newCoordinatorHarness()
	h.IndexListed(h.now, nil)
	h.announce(protocol.TaskStatus{Job: wholeWorkerSpec.Key, Attempt: 1, Claim: "x", Units: 8,
		Phase: protocol.TaskDone, Started: true})
	forget, actions := h.advance(20 * time.Second)
	if len(forget) > 0 || len(actionsOf[cell.LoadRecordAction](actions)) == 0 {
		t.Fatalf("removed results %v, record loads %d; want the record to be read first",
			forget, len(actionsOf[cell.LoadRecordAction](actions)))
	}
	h.RecordLoaded(h.now, claimedRecord("x", 1, 1))
	h.DrainActions()
	if forget, _ = h.advance(2 * time.Second); len(forget) > 0 {
		t.Errorf("the result of %v was removed although its record is still claimed", forget)
	}
}

// TestUnknownTaskIsStoppedOnlyAfterReadingItsRecord guards against an owner with a stale view that stops a task without
// reading its record, and against orphaned tasks that are never stopped.
func TestUnknownTaskIsStoppedOnlyAfterReadingItsRecord(t *testing.T) {
	h := newCoordinatorHarness()
	h.IndexListed(h.now, nil)
	h.announce(protocol.TaskStatus{Job: wholeWorkerSpec.Key, Attempt: 1, Claim: "x", Units: 8,
		Phase: protocol.TaskRunning, Started: true})
	_, actions := h.advance(20 * time.Second)
	if stops := actionsOf[cell.StopAction](actions); len(stops) > 0 {
		t.Fatalf("the task was stopped before its record was read: %+v", stops)
	}
	h.RecordLoaded(h.now, jobs.Record{Revision: 9, Job: model.Job{Spec: wholeWorkerSpec, Cell: "c",
		State: model.JobFinished, Attempt: 2, Outcome: &model.Outcome{}}})
	if _, actions = h.advance(10 * time.Second); len(actionsOf[cell.StopAction](actions)) == 0 {
		t.Error("a task of an earlier attempt than the one in its record was not stopped")
	}
}

// TestJobWithoutRecordIsDropped guards against this failure: a job that the owner knew only from an agent's report, and
// whose record was removed, was supervised forever.
func TestJobWithoutRecordIsDropped(t *testing.T) {
	h := newCoordinatorHarness()
	spec := wholeWorkerSpec
	h.announce(protocol.TaskStatus{Job: spec.Key, Attempt: 1, Claim: "x", Units: 8,
		Phase: protocol.TaskRunning, Started: true, Spec: &spec, Members: []model.Member{memberOnW}})
	if views, _ := h.QueryViews(h.now); len(views) != 1 {
		t.Fatalf("%d jobs are supervised, want 1", len(views))
	}
	h.DrainActions()
	h.IndexListed(h.now, nil)
	if len(actionsOf[cell.LoadRecordAction](h.DrainActions())) == 0 {
		t.Fatal("the record of a job that is missing from the open index was not read")
	}
	h.RecordMissing(h.now, spec.Key)
	if views, _ := h.QueryViews(h.now); len(views) != 0 || len(actionsOf[cell.StopAction](h.DrainActions())) == 0 {
		t.Errorf("%d jobs are supervised without a record, or the task was not stopped", len(views))
	}
}

// TestStaleViewIsNoProofOfRestart guards against this failure: an owner that knew only an earlier incarnation of an
// agent took the difference from the record as proof that the agent had restarted since.
func TestStaleViewIsNoProofOfRestart(t *testing.T) {
	h := newCoordinatorHarness()
	h.announce()
	h.now = h.now.Add(time.Second)
	h.IndexListed(h.now, []jobs.OpenJob{{Key: wholeWorkerSpec.Key, Revision: 1}})
	r := claimedRecord("x", 1, 2)
	r.Job.Members = []model.Member{{Agent: "w", Incarnation: "2", Units: 8}}
	h.RecordLoaded(h.now, r)
	for i := range 10 { // the coordinator decides in one tick and writes in a later one
		h.Tick(h.now.Add(time.Duration(i+1) * 100 * time.Millisecond))
	}
	if w := actionsOf[cell.WriteRecordAction](h.DrainActions()); len(w) > 0 {
		t.Errorf("the record was written because of a stale view: %+v", w)
	}
}

// TestHoldNeedsRoom guards against an accelerator that is allocated twice.
func TestHoldNeedsRoom(t *testing.T) {
	l := agent.NewLedger(identityOfW)
	l.ExtendLease(epoch)
	hold := func(id string, units int) bool {
		spec := wholeWorkerSpec
		spec.Key.ID = id
		return l.Hold(epoch, protocol.HoldArgs{Incarnation: "1", Attempt: 1, Claim: id, Units: units, Spec: spec}).OK
	}
	if !hold("a", 5) || hold("b", 4) || !hold("c", 3) || l.Free() != 0 {
		t.Errorf("of 8 units, holds of 5 and 3 must be accepted and a hold of 4 between them refused; %d units are free",
			l.Free())
	}
}

// TestStoppingTaskKeepsItsUnits guards against accelerators that are allocated to another job before the task on them
// has ended.
func TestStoppingTaskKeepsItsUnits(t *testing.T) {
	l := agent.NewLedger(identityOfW)
	l.ExtendLease(epoch)
	ref := protocol.TaskRef{Job: wholeWorkerSpec.Key, Attempt: 1, Claim: "x"}
	l.Hold(epoch, protocol.HoldArgs{Incarnation: "1", Attempt: 1, Claim: "x", Units: 8, Spec: wholeWorkerSpec})
	l.Start(epoch, protocol.StartArgs{Incarnation: "1", Task: ref})
	if reply, stop := l.Stop(epoch, protocol.StopArgs{Incarnation: "1", Task: ref}); reply != nil || stop == nil {
		t.Fatalf("stop of a running task: %+v, %+v", reply, stop)
	}
	if l.Free() != 0 {
		t.Errorf("%d units are free while the task stops", l.Free())
	}
	l.RecordResult(ref, protocol.TaskStopped, nil, "")
	if l.Free() != 8 {
		t.Errorf("%d units are free after the task has ended", l.Free())
	}
}
