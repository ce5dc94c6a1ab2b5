package faulttest_test

import (
	"testing"
	"time"

	"masticcart.example/masticcart/internal/agent"
	"masticcart.example/masticcart/internal/cell"
	"masticcart.example/masticcart/internal/jobs"
	"masticcart.example/masticcart/internal/kvstore"
	"masticcart.example/masticcart/internal/model"
	"masticcart.example/masticcart/internal/placement"
	"masticcart.example/masticcart/internal/protocol"
)

// onlyWorker places every waiting job on the worker w.
type onlyWorker struct{}

func (onlyWorker) Plan(s *placement.Snapshot) *placement.Plan {
	p := &placement.Plan{}
	for _, x := range s.Waiting {
		p.Placements = append(p.Placements, placement.Placement{Job: x.Spec.Key, Members: []model.Member{regressMember}})
	}
	return p
}

var (
	regressMember = model.Member{Agent: "w", Incarnation: "1", Units: 8}
	regressSpec   = model.JobSpec{Key: model.JobKey{Team: "t", ID: "j"}, Kind: "k", Shape: model.Shape{Accelerators: 8, Adjacency: model.AdjacentWorker}}
	regressID     = protocol.Identity{Agent: "w", Incarnation: "1", Kind: protocol.KindWorker, Cell: "c", Rack: "r", Units: 8}
)

// bench is one coordinator that owns its cell.
type bench struct {
	*cell.Coordinator
	now time.Time
}

func newBench() *bench {
	b := &bench{Coordinator: cell.NewCoordinator("c", onlyWorker{}, func() *model.Config { return &model.Config{} }, func(model.Job) {}), now: epoch}
	b.SetOwner(b.now, true)
	return b
}

func (b *bench) announce(tasks ...protocol.TaskStatus) {
	b.Announce(b.now, protocol.AnnounceArgs{Identity: regressID, Free: 8, Tasks: tasks})
}

// pass lets time go by with heartbeats and ticks, and returns what was to be forgotten and done.
func (b *bench) pass(d time.Duration) (forget []protocol.TaskRef, actions []cell.Action) {
	for end := b.now.Add(d); b.now.Before(end); {
		b.now = b.now.Add(time.Second)
		f, _ := b.Heartbeat(b.now, protocol.HeartbeatArgs{Agent: "w", Incarnation: "1", Free: 8})
		b.Tick(b.now)
		forget = append(forget, f...)
		actions = append(actions, b.DrainActions()...)
	}
	return forget, actions
}

func find[A cell.Action](actions []cell.Action) (found []A) {
	for _, a := range actions {
		if x, ok := a.(A); ok {
			found = append(found, x)
		}
	}
	return found
}

func claimed(claim string, attempt int, rev kvstore.Revision) jobs.Record {
	return jobs.Record{Revision: rev, Job: model.Job{Spec: regressSpec, Cell: "c", State: model.JobClaimed, Attempt: attempt, Claim: claim,
		Members: []model.Member{regressMember}}}
}

// TestAnotherOwnersClaimIsNotMistaken guards against F1: an owner whose hold was refused took the claim of another
// owner, with the same attempt number and members, for its own and put a running job back as not run.
func TestAnotherOwnersClaimIsNotMistaken(t *testing.T) {
	b := newBench()
	b.announce()
	b.IndexListed(b.now, []jobs.OpenJob{{Key: regressSpec.Key, Revision: 1}})
	b.RecordLoaded(b.now, jobs.Record{Revision: 2, Job: model.Job{Spec: regressSpec, Cell: "c", State: model.JobAccepted}})
	_, actions := b.pass(2 * time.Second)
	holds := find[cell.HoldAction](actions)
	if len(holds) == 0 {
		t.Fatal("the job was not placed")
	}
	b.HoldAnswered(b.now, holds[0], protocol.HoldReply{Reason: "attempt 1 is running here under another claim"}, nil)
	b.RecordLoaded(b.now, claimed("other", holds[0].Args.Attempt, 3))
	actions = b.DrainActions()
	if w := find[cell.WriteRecordAction](actions); len(w) > 0 {
		t.Errorf("the record of a running job was written: %+v", w)
	}
	if s := find[cell.StartAction](actions); len(s) != 1 || s[0].Args.Task.Claim != "other" {
		t.Errorf("starts %+v, want the adopted claim", s)
	}
}

// TestUnknownResultIsKept guards against F12: an owner with an old view let the agent forget a result that no record
// had yet, and the work could start a second time.
func TestUnknownResultIsKept(t *testing.T) {
	b := newBench()
	b.IndexListed(b.now, nil)
	b.announce(protocol.TaskStatus{Job: regressSpec.Key, Attempt: 1, Claim: "x", Units: 8, Phase: protocol.TaskDone, Started: true})
	forget, actions := b.pass(20 * time.Second)
	if len(forget) > 0 || len(find[cell.LoadRecordAction](actions)) == 0 {
		t.Fatalf("forgotten %v, loads %d; want the record to be read first", forget, len(find[cell.LoadRecordAction](actions)))
	}
	b.RecordLoaded(b.now, claimed("x", 1, 1))
	b.DrainActions()
	if forget, _ = b.pass(2 * time.Second); len(forget) > 0 {
		t.Errorf("forgotten %v although its record is still claimed", forget)
	}
}

// TestUnknownTaskIsStoppedByItsRecordOnly guards against the other half of F12, and against orphans that run on.
func TestUnknownTaskIsStoppedByItsRecordOnly(t *testing.T) {
	b := newBench()
	b.IndexListed(b.now, nil)
	b.announce(protocol.TaskStatus{Job: regressSpec.Key, Attempt: 1, Claim: "x", Units: 8, Phase: protocol.TaskRunning, Started: true})
	_, actions := b.pass(20 * time.Second)
	if stops := find[cell.StopAction](actions); len(stops) > 0 {
		t.Fatalf("stopped without its record: %+v", stops)
	}
	b.RecordLoaded(b.now, jobs.Record{Revision: 9, Job: model.Job{Spec: regressSpec, Cell: "c", State: model.JobFinished, Attempt: 2, Outcome: &model.Outcome{}}})
	if _, actions = b.pass(10 * time.Second); len(find[cell.StopAction](actions)) == 0 {
		t.Error("a task that its record has left behind runs on")
	}
}

// TestJobWithoutRecordIsDropped guards against F8: a job known from an agent's report only, whose record has gone
// meanwhile, was supervised for ever.
func TestJobWithoutRecordIsDropped(t *testing.T) {
	b := newBench()
	spec := regressSpec
	b.announce(protocol.TaskStatus{Job: spec.Key, Attempt: 1, Claim: "x", Units: 8, Phase: protocol.TaskRunning, Started: true,
		Spec: &spec, Members: []model.Member{regressMember}})
	if views, _ := b.QueryViews(b.now); len(views) != 1 {
		t.Fatalf("%d jobs are supervised, want 1", len(views))
	}
	b.DrainActions()
	b.IndexListed(b.now, nil)
	if len(find[cell.LoadRecordAction](b.DrainActions())) == 0 {
		t.Fatal("a job that the listing does not hold is not read")
	}
	b.RecordMissing(b.now, spec.Key)
	if views, _ := b.QueryViews(b.now); len(views) != 0 || len(find[cell.StopAction](b.DrainActions())) == 0 {
		t.Errorf("%d jobs are supervised without a record, or the task was not stopped", len(views))
	}
}

// TestOldViewIsNoProofOfRestart guards against F5: a view of an earlier incarnation counted as proof that the
// member's agent had restarted.
func TestOldViewIsNoProofOfRestart(t *testing.T) {
	b := newBench()
	b.announce()
	b.now = b.now.Add(time.Second)
	b.IndexListed(b.now, []jobs.OpenJob{{Key: regressSpec.Key, Revision: 1}})
	r := claimed("x", 1, 2)
	r.Job.Members = []model.Member{{Agent: "w", Incarnation: "2", Units: 8}}
	b.RecordLoaded(b.now, r)
	for i := range 10 { // the decision and the write come in different ticks
		b.Tick(b.now.Add(time.Duration(i+1) * 100 * time.Millisecond))
	}
	if w := find[cell.WriteRecordAction](b.DrainActions()); len(w) > 0 {
		t.Errorf("the record was written on an old view: %+v", w)
	}
}

// TestHoldNeedsRoom guards against an accelerator that is given twice.
func TestHoldNeedsRoom(t *testing.T) {
	l := agent.NewLedger(regressID)
	l.ExtendLease(epoch)
	hold := func(id string, units int) bool {
		spec := regressSpec
		spec.Key.ID = id
		return l.Hold(epoch, protocol.HoldArgs{Incarnation: "1", Attempt: 1, Claim: id, Units: units, Spec: spec}).OK
	}
	if !hold("a", 5) || hold("b", 4) || !hold("c", 3) || l.Free() != 0 {
		t.Errorf("5 and 3 of 8 units must be held and 4 refused between them, %d are free", l.Free())
	}
}

// TestStoppingTaskKeepsItsUnits guards against accelerators that are given to another job before the task on them
// has ended.
func TestStoppingTaskKeepsItsUnits(t *testing.T) {
	l := agent.NewLedger(regressID)
	l.ExtendLease(epoch)
	ref := protocol.TaskRef{Job: regressSpec.Key, Attempt: 1, Claim: "x"}
	l.Hold(epoch, protocol.HoldArgs{Incarnation: "1", Attempt: 1, Claim: "x", Units: 8, Spec: regressSpec})
	l.Start(epoch, protocol.StartArgs{Incarnation: "1", Task: ref})
	if reply, halt := l.Stop(epoch, protocol.StopArgs{Incarnation: "1", Task: ref}); reply != nil || halt == nil {
		t.Fatalf("stop of a running task: %+v, %+v", reply, halt)
	}
	if l.Free() != 0 {
		t.Errorf("%d units are free while the task stops", l.Free())
	}
	l.RecordResult(ref, protocol.TaskStopped, nil, "")
	if l.Free() != 8 {
		t.Errorf("%d units are free after the task has ended", l.Free())
	}
}
