package scheduler

import (
	"testing"
	"time"

	"masticcart.example/masticcart/internal/batch"
)

const capacityJob = "00000000000000ca"

// Guards against starts on a worker whose capacity has shrunk below what they need: workers that do not enforce their
// capacity would run them all the same.
func TestShrunkWorkerGetsNoMoreThanFits(t *testing.T) {
	f := newFixture(t, "a")
	f.submit(capacityJob, 1, 0, batch.Step{Count: 2, Estimate: time.Minute, Need: batch.Resources{Accelerators: 2}})
	f.planAndCommit(0)
	f.submit("00000000000000cb", 1, 0, batch.Step{Count: 2, Estimate: time.Minute,
		Need: batch.Resources{Accelerators: 1}})
	at := time.Second
	f.accelerators["a"] = 5
	f.reportEverywhere(at)
	if orders := f.planAndCommit(at); len(orders) != 1 {
		t.Errorf("%d starts in the one accelerator that is free", len(orders))
	}
	at += time.Second
	f.accelerators["a"] = 2 // less than the running tasks need, which go on
	f.reportEverywhere(at)
	if orders := f.planAndCommit(at); len(orders) != 0 {
		t.Errorf("orders %v to a worker without free capacity", orders)
	}
	at += time.Second
	f.accelerators["a"] = fixtureAccelerators
	f.reportEverywhere(at)
	if orders := f.planAndCommit(at); len(orders) != 1 {
		t.Errorf("%d starts after the capacity has grown again, want 1", len(orders))
	}
}

// Guards against starts that were placed before the capacity shrank and sent after it, since their record took long to
// write.
func TestRecordedStartIsWithdrawnIfTheCapacityShrinks(t *testing.T) {
	for _, step := range []batch.Step{{Count: 3}, {Count: 3, Gang: true}} {
		f := newFixture(t, "a")
		step.Estimate, step.Need = time.Minute, batch.Resources{Accelerators: 2}
		f.submit(capacityJob, 1, 0, step)
		f.c.Tick(0, f.wall)
		b, err := f.c.NextBatch(maxChangesPerTxn)
		if err != nil || b == nil {
			t.Fatal(b, err)
		}
		at := 8 * time.Second // the store was away
		f.report("a", at)
		f.accelerators["a"] = 4
		f.report("a", at)
		want := 2
		if step.Gang {
			want = 0
		}
		if orders := f.c.ApplyCommit(b, 1, at); len(orders) != want {
			t.Errorf("gang %v: sent %d starts, want %d", step.Gang, len(orders), want)
		}
	}
}

// Guards against a start of the previous leader that is sent, and against an unanswered start that is sent again, after
// the capacity has shrunk.
func TestStartIsNotRepeatedIfTheCapacityShrinks(t *testing.T) {
	f := newFixture(t, "a")
	f.submit(capacityJob, 1, 0, batch.Step{Count: 1, Estimate: time.Minute, Need: batch.Resources{Accelerators: 4}})
	f.planAndCommit(0)
	f.takeOver(time.Second, nil)
	f.accelerators["a"] = 2
	f.report("a", time.Second)
	for _, o := range f.c.DrainOrders() {
		if o.Kind == OrderStart {
			t.Errorf("the next leader sends %v", o)
		}
	}

	f = newFixture(t, "a")
	f.submit(capacityJob, 1, 0, batch.Step{Count: 1, Estimate: time.Minute, Need: batch.Resources{Accelerators: 4}})
	f.c.Tick(0, f.wall)
	b, err := f.c.NextBatch(maxChangesPerTxn)
	if err != nil || b == nil {
		t.Fatal(b, err)
	}
	orders := f.c.ApplyCommit(b, 1, 0)
	f.c.ApplyVerdict(orders[0], batch.VerdictUnknown, "", 0)
	f.accelerators["a"] = 2
	f.report("a", startRetryDelay)
	f.c.Tick(startRetryDelay, f.wall)
	for _, o := range f.c.DrainOrders() {
		if o.Kind == OrderStart {
			t.Errorf("the unanswered start is sent again: %v", o)
		}
	}
}

// Guards against a start beside a run that the worker lists although it is assigned elsewhere, which occupies capacity
// until its end.
func TestOrphanedRunOccupiesCapacity(t *testing.T) {
	f := newFixture(t, "a", "b")
	f.submit(capacityJob, 1, 0, batch.Step{Count: 1, Estimate: time.Minute, Need: batch.Resources{Accelerators: 8}})
	f.planAndCommit(0)
	x := f.c.jobs[capacityJob].findTask(batch.TaskID{Job: capacityJob})
	other := map[string]string{"a": "b", "b": "a"}[x.node]
	at := time.Second
	f.reportAll(at, 10, x.node)
	f.report(other, at, batch.RunningTask{Task: x.id, Run: x.run})
	f.submit("00000000000000cb", 1, at, batch.Step{Count: 1, Estimate: time.Minute,
		Need: batch.Resources{Accelerators: 1}})
	if orders := f.planAndCommit(at); len(orders) != 1 || orders[0].Kind != OrderStop {
		t.Errorf("orders %v, want only the stop of the orphaned run", orders)
	}
}

// Guards against a task that runs far from its data, and three times as long, since the workers near its data have
// shrunk for a while.
func TestShrunkWorkersNearTheDataAreWaitedFor(t *testing.T) {
	f := newFixture(t, "a")
	f.accelerators["a"] = 1
	f.report("a", time.Second)
	f.submit(capacityJob, 1, time.Second, batch.Step{Count: 1, Estimate: time.Minute, DataRack: "r",
		Need: batch.Resources{Accelerators: 4}})
	p := f.c.newPlanner(time.Second)
	us := p.units()
	if len(us) != 1 || p.mayRunRemote(us[0], 1) {
		t.Errorf("%d units; the task may run remote at once", len(us))
	}
}
