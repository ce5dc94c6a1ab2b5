package scheduler

import (
	"fmt"
	"testing"
	"time"

	"masticcart.example/masticcart/internal/batch"
)

const fillerJob = "00000000000000f2"

// lateStart is when the urgent gang arrives, later than the plan before by more than the longest pause between plans.
const lateStart = time.Second + planInterval

// lateFixture has an urgent gang of two on the slow workers a and b, while c and d were taken by work of a priority.
func lateFixture(t *testing.T, fillerPriority int) *fixture {
	f := newFixture(t, "a", "b", "c", "d")
	f.learnSpeeds("a", "b")
	for _, n := range f.nodes {
		f.report(n, time.Second)
	}
	urgent := simQueue(0)
	urgent.SlackFactor, urgent.TargetLatency = 1.2, 200*time.Millisecond
	f.c.SetCatalog(&batch.Catalog{Version: 2, Queues: []batch.Queue{urgent, simQueue(1), simQueue(2)}})
	full := batch.Resources{Accelerators: 8}
	// On the slow workers, the filler would miss its aim.
	f.submit(fillerJob, fillerPriority, time.Second, batch.Step{Count: 2, Gang: true, Estimate: 2 * time.Second, Need: full})
	if fillerPriority > 0 { // work with slack would take the slow workers
		f.c.jobs[fillerJob].Queue.Name = "q0"
	}
	f.planAndCommit(time.Second)
	f.c.jobs[fillerJob].Queue.Name = simQueue(fillerPriority).Name
	f.submit(speedJob, 0, lateStart, batch.Step{Count: 2, Gang: true, Estimate: 2 * time.Second, Need: full})
	return f
}

// endFiller reports the end of all runs of the filler.
func (f *fixture) endFiller(at time.Duration) {
	for _, x := range f.c.jobs[fillerJob].occurrences[0].steps[0].tasks {
		if x.active() {
			f.endRun(x.id, 1, at, batch.OutcomeDone)
		}
	}
}

// Guards against an urgent gang that stays late on slow workers although faster ones are free, against a second
// restart, also by the next leader, and against a stop of work that must not be stopped.
func TestLateRunIsRestartedOnFasterWorkers(t *testing.T) {
	for name, test := range map[string]struct {
		prepare func(*fixture, *task)
		rate    float64 // percent per second on the slow workers
		want    bool
	}{
		"late":               {func(*fixture, *task) {}, 36, true},
		"in time":            {func(*fixture, *task) {}, 45, false},
		"isolated":           {func(_ *fixture, x *task) { x.crash.Crashed = make([]batch.Incarnation, 3) }, 36, false},
		"restarted before":   {func(_ *fixture, x *task) { x.avoid("a") }, 36, false},
		"aim cannot be met":  {func(*fixture, *task) {}, 15, false},
		"no faster capacity": {func(f *fixture, _ *task) { f.c.workers["c"].quarantinedUntil = time.Hour }, 36, false},
	} {
		f := lateFixture(t, 0)
		f.planAndCommit(lateStart)
		x := f.c.jobs[speedJob].findTask(batch.TaskID{Job: speedJob})
		if x.node != "a" && x.node != "b" {
			t.Fatalf("%s: the gang was placed on %s", name, x.node)
		}
		f.endFiller(lateStart + 300*time.Millisecond)
		test.prepare(f, x)
		stops := 0
		for at := lateStart + 400*time.Millisecond; at <= lateStart+800*time.Millisecond; at += 400 * time.Millisecond {
			for _, n := range f.nodes {
				f.report(n, at, f.c.reportedRuns(n, int(test.rate*(at-lateStart).Seconds()))...)
			}
			for _, o := range f.planAndCommit(at) {
				if o.Kind == OrderStop && o.Task.Job == speedJob {
					stops++
				}
			}
		}
		if want := map[bool]int{true: 2}[test.want]; stops != want {
			t.Errorf("%s: %d stops, want %d", name, stops, want)
		}
		if !test.want {
			continue
		}
		for i, n := range []string{"a", "b"} {
			for _, x := range f.c.workers[n].sortedTasks() {
				f.endRun(x.id, int64(i+1), lateStart+time.Second, batch.OutcomeStopped)
			}
		}
		for _, n := range f.nodes {
			f.report(n, lateStart+time.Second)
		}
		started := startedOn(f.planAndCommit(lateStart + time.Second))
		if started["c"] != 1 || started["d"] != 1 {
			t.Errorf("%s: started again on %v, want the faster workers", name, started)
		}
		if f.c.lostWork[LossLate] == 0 {
			t.Errorf("%s: lost work: %v", name, f.c.lostWork)
		}
		f.takeOver(lateStart+time.Second, nil)
		if x := f.c.jobs[speedJob].findTask(batch.TaskID{Job: speedJob}); x.mayRestartLate(x.step) || len(x.failedOn) == 0 {
			t.Errorf("%s: the next leader may restart the task again", name)
		}
	}
}

// Guards against an urgent gang that starts on free slow workers, and misses its aim, where stopping less urgent work
// on faster ones would let it meet the aim, and against one that waits for that in vain.
func TestTightGangPreemptsOnFasterWorkers(t *testing.T) {
	f := lateFixture(t, 2)
	stopped := map[string]bool{}
	for _, o := range f.planAndCommit(lateStart) {
		if o.Kind == OrderStart {
			t.Errorf("started on %s", o.Node)
		}
		stopped[o.Node] = true
	}
	if !stopped["c"] || !stopped["d"] {
		t.Errorf("stopped on %v, want c and d", stopped)
	}
	at := lateStart + fasterWait + 100*time.Millisecond // the victims do not end
	for _, n := range f.nodes {
		f.report(n, at, f.c.reportedRuns(n, 5)...)
	}
	if started := startedOn(f.planAndCommit(at)); started["a"] != 1 || started["b"] != 1 {
		t.Errorf("started on %v after the wait, want a and b", started)
	}
}

// Guards against an urgent task that stops nothing because the loss on faster workers is too large for the policy, although
// the loss on others is acceptable.
func TestPreemptionFallsBackToOtherWorkers(t *testing.T) {
	f := newFixture(t, "a", "b", "c", "d")
	f.learnSpeeds("a", "b")
	urgent := simQueue(0)
	urgent.SlackFactor, urgent.TargetLatency = 1.2, 200*time.Millisecond
	f.c.SetCatalog(&batch.Catalog{Version: 2, Queues: []batch.Queue{urgent, simQueue(1), simQueue(2)}})
	full := batch.Resources{Accelerators: 8}
	long := batch.Step{Count: 2, Estimate: 100 * time.Second, Need: full}
	// The runs on c and d lose 231 core-seconds, those on a and b 26, of 128 that the urgent task needs.
	f.c.workers["a"].quarantinedUntil, f.c.workers["b"].quarantinedUntil = 4*time.Second, 4*time.Second
	for _, at := range []time.Duration{time.Second, 4200 * time.Millisecond} {
		for _, n := range f.nodes {
			f.report(n, at, f.c.reportedRuns(n, 1)...)
		}
		f.submit(fmt.Sprintf("00000000000000d%d", at/time.Second), 2, at, long)
		f.planAndCommit(at)
	}
	at := 4600 * time.Millisecond
	for _, n := range f.nodes {
		f.report(n, at, f.c.reportedRuns(n, 2)...)
	}
	f.submit(speedJob, 0, at, batch.Step{Count: 1, Estimate: 2 * time.Second, Need: full})
	stopped := []string{}
	for _, o := range f.planAndCommit(at) {
		if o.Kind == OrderStop {
			stopped = append(stopped, o.Node)
		}
	}
	if len(stopped) != 1 || stopped[0] != "a" && stopped[0] != "b" {
		t.Errorf("stopped on %v, want a or b", stopped)
	}
}
