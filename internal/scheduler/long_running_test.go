package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"masticcart.example/masticcart/internal/batch"
)

const longRunningJob = "00000000000000b7"

// Guards against a long-running job that is shown as completed, and never started again, because its tasks have ended as
// done (review/5). Each end is followed by another run, also under the next leader and beyond the attempts of the queue.
func TestLongRunningTaskIsStartedAgainHoweverItEnds(t *testing.T) {
	for _, gang := range []bool{false, true} {
		f := newFixture(t, "a", "b")
		f.submit(longRunningJob, 1, 0, batch.Step{Count: 2, Gang: gang, LongRunning: true,
			Need: batch.Resources{Accelerators: 8}}, batch.Step{Count: 1, After: []int{0}})
		outcomes := []batch.Outcome{batch.OutcomeDone, batch.OutcomeFailed, batch.OutcomeLeaseExpired}
		at := time.Duration(0)
		f.planAndCommit(at)
		ends := int64(0)
		for n := range 3 * (simQueue(1).MaxAttempts + 1) {
			for i := range 2 {
				id := batch.TaskID{Job: longRunningJob, Index: i}
				x := f.c.jobs[longRunningJob].findTask(id)
				if !x.active() || x.run != n+1 {
					t.Fatalf("gang %v, round %d: %s", gang, n, describeTasks(f.c.jobs[longRunningJob]))
				}
				ends++
				f.endRun(id, ends, at, outcomes[n%len(outcomes)])
			}
			if n%2 == 0 {
				f.planAndCommit(at)
				f.takeOver(at, nil)
				ends = 0
			}
			at += maxRestartDelay
			f.reportEverywhere(at)
			f.planAndCommit(at)
		}
		if state := jobState(f.c, longRunningJob); state != batch.Running {
			t.Errorf("gang %v: state %s, want running", gang, state)
		}
		if !f.c.Cancel(longRunningJob, at, f.wall) || jobState(f.c, longRunningJob) != batch.Cancelled {
			t.Errorf("gang %v: the job cannot be cancelled", gang)
		}
	}
}

// Guards against a long-running task that is not started again, since it waits for the rack of its data, while others of its
// job run (review/13): its estimate says nothing of how long it may wait. The same with a service that is mostly in use, and
// with accelerators that are kept free for urgent jobs.
func TestLongRunningTaskDoesNotWaitForItsRack(t *testing.T) {
	for name, test := range map[string]struct {
		dataRack string
		filled   bool    // other work takes most of the capacity outside the rack
		urgent   float64 // accelerators of urgent jobs on average
	}{
		"rack": {fixtureRack, false, 0}, "rack, mostly in use": {fixtureRack, true, 0}, "headroom": {"", false, 16},
	} {
		f := newFixture(t, "a", "b", "c", "d", "e")
		f.racks = map[string]string{"c": "r2", "d": "r2", "e": "r2"}
		at := time.Second
		f.reportEverywhere(at)
		f.submit(longRunningJob, 1, at, batch.Step{Count: 2, LongRunning: true, Estimate: time.Minute, DataRack: test.dataRack,
			Need: batch.Resources{Accelerators: 5}})
		f.planAndCommit(at)
		if test.filled {
			step := batch.Step{Count: 1, Estimate: time.Hour, DataRack: "r2", Need: batch.Resources{Accelerators: 8}}
			f.submit("00000000000000f3", 1, at, step)
			step.Count, step.MaxPerWorker, step.Need.Accelerators = 2, 1, 3
			f.submit("00000000000000f4", 1, at, step)
		}
		at += planInterval
		f.planAndCommit(at)
		f.c.urgentDemand.mean = test.urgent
		lost := f.c.jobs[longRunningJob].findTask(batch.TaskID{Job: longRunningJob, Index: 1})
		for _, j := range f.c.jobs {
			j.forEachTask(func(x *task) {
				if !x.active() {
					t.Fatalf("%s: %v has not started", name, x.id)
				}
			})
		}
		left := lost.node
		f.nodes = slices.DeleteFunc(f.nodes, func(n string) bool { return n == left })
		f.c.markTasksLost(f.c.workers[left], "worker left", at)
		f.c.workers[left].deregistered = true
		lostAt := at
		for ; at < lostAt+20*time.Second && (!lost.active() || !lost.confirmed); at += 100 * time.Millisecond {
			f.reportEverywhere(at)
			f.planAndCommit(at)
		}
		if waited := at - lostAt; waited > 3*time.Second {
			t.Errorf("%s: started again after %v, want at most 3 s: %s", name, waited, f.c.waitReason(lost.step, at))
		}
	}
}

// Guards against a task that ends right after each start and keeps the store and its worker busy.
func TestRestartsOfAFailingLongRunningTaskSlowDown(t *testing.T) {
	f := newFixture(t, "a")
	f.submit(longRunningJob, 1, 0, batch.Step{Count: 1, LongRunning: true, Need: batch.Resources{Accelerators: 1}})
	id := batch.TaskID{Job: longRunningJob}
	starts, lastEnd, ends := 0, time.Duration(0), int64(0)
	for at := time.Duration(0); at < time.Minute; at += 50 * time.Millisecond {
		f.report("a", at, f.c.reportedRuns("a", 1)...)
		for _, o := range f.planAndCommit(at) {
			if o.Kind == OrderStart {
				starts++
				if at-lastEnd > maxRestartDelay+planInterval {
					t.Errorf("run %d starts %v after the end of the one before, want at most %v", o.Run, at-lastEnd, maxRestartDelay)
				}
			}
		}
		if f.c.jobs[longRunningJob].findTask(id).active() {
			ends++
			f.endRun(id, ends, at, batch.OutcomeDone)
			lastEnd = at
		}
	}
	if most := int(time.Minute/maxRestartDelay) + 4; starts > most {
		t.Errorf("%d starts in a minute, want at most %d", starts, most)
	}
}

// Guards against a long-running task that is given up although its runs end as done: workers that happened to crash under
// earlier runs had isolated it, and each isolated run counted against it (model, seed 316).
func TestEndAsDoneClearsALongRunningTaskOfCrashes(t *testing.T) {
	f := newFixture(t, "a", "b")
	f.submit(longRunningJob, 1, 0, batch.Step{Count: 1, LongRunning: true, Need: batch.Resources{Accelerators: 1}})
	x := f.c.jobs[longRunningJob].findTask(batch.TaskID{Job: longRunningJob})
	for i := range isolateAfterCrashes {
		f.c.countCrash(x, attribution{Incarnation: batch.Incarnation{ID: "a", StartedMS: int64(i)}})
	}
	at := time.Duration(0)
	for n := range maxIsolatedRuns + 1 {
		f.reportEverywhere(at)
		f.planAndCommit(at)
		if !x.active() {
			t.Fatalf("run %d has not started: %s", n+1, describeTasks(f.c.jobs[longRunningJob]))
		}
		f.endRun(x.id, int64(n+1), at, batch.OutcomeDone)
		at += maxRestartDelay
	}
	if f.c.stats.GivenUp != 0 {
		t.Error("the task was given up")
	}
}

// Plays long-running tasks that end by themselves in all ways under restarts of workers, partitions and changes of leader.
// After these, each must be running again within the 6 s that the platform's rules allow between two runs.
func TestLongRunningTasksSurviveFaults(t *testing.T) {
	for _, seed := range seeds() {
		s := newSim(t, seed, 6)
		s.faults = true
		for n := range 8 {
			j := batch.Job{ID: fmt.Sprintf("%016x", n+1), Queue: simQueue(n % 3), Payload: fmt.Sprint("payload ", n),
				Steps: []batch.Step{{Count: 1 + n%2, LongRunning: true, Gang: n%4 == 1,
					Need: batch.Resources{MilliCPU: 1000, MemoryMB: 1000, Accelerators: 1}}}}
			s.after(s.between(0, 10*time.Second), func() { s.submit(j) })
		}
		for range 4 {
			w := s.workers[s.rng.IntN(len(s.workers))]
			s.after(s.between(time.Second, 25*time.Second), func() { w.partitionedUntil = s.now + s.between(300*time.Millisecond, 3*time.Second) })
			s.after(s.between(time.Second, 25*time.Second), s.replaceLeader)
			s.after(s.between(time.Second, 25*time.Second), func() {
				if w.alive {
					s.crash(w)
					s.after(s.between(time.Second, 3*time.Second), func() { s.startWorker(w) })
				}
			})
		}
		s.advance(28 * time.Second)
		s.faults = false
		s.advance(12*time.Second + simConfig.TakeoverWait) // orders may be delayed by 12 s
		seen := map[batch.TaskID]bool{}
		for range 60 {
			s.advance(100 * time.Millisecond)
			for _, w := range s.workers {
				for id := range w.runs {
					seen[id] = true
				}
			}
		}
		for id, j := range s.jobs {
			state := jobState(s.core, id)
			if state == batch.Failed { // two workers may have crashed under a task
				s.checker.FinalStateReported(id, state, false, s.now)
				continue
			}
			if state != batch.Running {
				t.Errorf("seed %d: %s is %s, want running", seed, id, state)
			}
			for i := range j.Steps[0].Count {
				if x := (batch.TaskID{Job: id, Index: i}); !seen[x] {
					t.Errorf("seed %d: LOST: %v has not run for 6 s: %s", seed, x, describeTasks(s.core.jobs[id]))
				}
			}
		}
		for _, v := range s.checker.Violations() {
			t.Errorf("seed %d: %s", seed, v)
		}
	}
}
