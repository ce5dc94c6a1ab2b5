package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"masticcart.example/masticcart/internal/batch"
)

// An urgent job of four tasks preempts on four full workers at once, not on one after the other. Each round of stops
// takes up to 0.2 s of the time within which a guarantee has to be met.
func TestPreemptionFreesCapacityForAllTasksAtOnce(t *testing.T) {
	s := newSim(t, 3, 4)
	s.advance(time.Second)
	for n := range 4 {
		s.submit(batch.Job{ID: fmt.Sprintf("%016x", 0xb0+n), Queue: simQueue(2), Steps: []batch.Step{{Count: 1,
			Estimate: 20 * time.Second, Need: batch.Resources{Accelerators: 8}}}})
	}
	s.advance(500 * time.Millisecond)
	for _, w := range s.workers {
		for _, r := range w.runs {
			r.remaining, r.total = 20*time.Second, 20*time.Second
		}
	}
	s.submit(batch.Job{ID: "00000000000000cc", Queue: simQueue(0), Steps: []batch.Step{{Count: 4,
		Estimate: time.Second, Need: batch.Resources{Accelerators: 8}}}})
	began := s.now
	for s.now-began < 2700*time.Millisecond {
		s.advance(simStep)
		running := 0
		for _, w := range s.workers {
			for id := range w.runs {
				if id.Job == "00000000000000cc" {
					running++
				}
			}
		}
		if running == 4 {
			if took := s.now - began; took > 700*time.Millisecond {
				t.Fatalf("all tasks run after %v, want one round of stops (200 ms) and messages", took)
			}
			return
		}
	}
	t.Fatal("not all tasks of the urgent job started")
}

// A gang member that is done reports 100 percent until the others are done as well. Stopping it as stalled discarded
// the work of gangs that were nearly done.
func TestFinishedGangMemberIsNotStoppedAsStalled(t *testing.T) {
	f := newFixture(t, "a", "b")
	f.submit("00000000000000a1", 1, 0, batch.Step{Count: 2, Gang: true, Estimate: time.Second,
		Need: batch.Resources{Accelerators: 8}})
	f.planAndCommit(0)
	for at := time.Second; at < 10*time.Second; at += 400 * time.Millisecond {
		for node, percent := range map[string]int{"a": 100, "b": int(at / (200 * time.Millisecond))} {
			for id := range f.c.workers[node].tasks {
				f.report(node, at, batch.RunningTask{Task: id.id, Run: 1, Percent: percent})
			}
		}
		for _, o := range f.planAndCommit(at) {
			t.Fatalf("at %v: %s of %v", at, o.Kind, o.Task)
		}
	}
}

// A task without progress is stopped, so that it can start on another worker.
func TestStalledTaskIsStopped(t *testing.T) {
	f := newFixture(t, "a", "b")
	f.submit("00000000000000a2", 1, 0, batch.Step{Count: 1, Estimate: time.Second,
		Need: batch.Resources{Accelerators: 1}})
	f.planAndCommit(0)
	id := batch.TaskID{Job: "00000000000000a2"}
	node := f.c.jobs[id.Job].findTask(id).node
	for at := 400 * time.Millisecond; at < 4*time.Second; at += 400 * time.Millisecond {
		f.report(node, at, batch.RunningTask{Task: id, Run: 1, Percent: 30})
		for _, o := range f.planAndCommit(at) {
			if o.Kind == OrderStop {
				return
			}
		}
	}
	t.Fatal("the task was not stopped")
}

// Capacity that is being freed for one urgent job is not given to another one that is planned before it. Otherwise the
// first job would have to preempt more work, and might miss the time limit of its guarantee.
func TestClaimedCapacityIsNotGivenToOtherJobs(t *testing.T) {
	f := newFixture(t, "a", "b")
	for _, id := range []string{"00000000000000b1", "00000000000000b2"} {
		f.submit(id, 2, 0, batch.Step{Count: 1, Estimate: time.Minute, Need: batch.Resources{Accelerators: 8}})
	}
	f.planAndCommit(0)
	all := batch.Step{Count: 1, Estimate: 10 * time.Second, Need: batch.Resources{Accelerators: 8}}
	f.submit("00000000000000c1", 0, time.Second, all)
	first := f.planAndCommit(time.Second)
	if len(first) != 1 || first[0].Kind != OrderStop {
		t.Fatalf("orders %+v, want one stop", first)
	}
	all.Estimate = time.Second // more urgent
	f.submit("00000000000000c2", 0, time.Second, all)
	second := f.planAndCommit(1100 * time.Millisecond)
	if len(second) != 1 || second[0].Kind != OrderStop || second[0].Node == first[0].Node {
		t.Fatalf("orders %+v, want a stop on the other worker than %s", second, first[0].Node)
	}
	f.report(first[0].Node, 1300*time.Millisecond)
	f.c.ApplyVerdict(first[0], batch.VerdictAccepted, "", 1150*time.Millisecond)
	f.report(first[0].Node, 1500*time.Millisecond)
	for _, o := range f.planAndCommit(1500 * time.Millisecond) {
		if o.Kind == OrderStart && o.Task.Job != "00000000000000c1" {
			t.Fatalf("the claimed capacity went to %v", o.Task)
		}
	}
}

// BenchmarkPlan measures one plan with a long queue, for 70 workers as on the larger deployments and for more.
func BenchmarkPlan(b *testing.B) {
	for _, workers := range []int{70, 300, 1000} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			wall := time.Unix(1_800_000_000, 0)
			c := NewCore(simConfig, 0)
			c.SetCatalog(&batch.Catalog{Version: 1, Queues: []batch.Queue{simQueue(0), simQueue(1), simQueue(2)}})
			for n := range workers {
				incarnation := batch.Incarnation{ID: fmt.Sprint(n), StartedMS: 1}
				c.ApplyReport(Report{Node: fmt.Sprintf("w%04d", n), Worker: &batch.Worker{
					Incarnation: incarnation, Service: "s", Rack: fmt.Sprint("r", n/5),
					Capacity: batch.Resources{MilliCPU: 32000, MemoryMB: 64000, Accelerators: 8},
					Sequence: 1}, Runs: &batch.Runs{Incarnation: incarnation}}, wall)
			}
			for n := range workers / 2 {
				step := batch.Step{Count: 30, Estimate: 10 * time.Second, Need: batch.Resources{Accelerators: 1}}
				if n%3 == 0 {
					step = batch.Step{Count: 7, Gang: true, OneRack: true, Estimate: 10 * time.Second,
						Need: batch.Resources{Accelerators: 8}}
				}
				if err := c.AddJob(batch.Job{ID: fmt.Sprintf("%016x", n), Queue: simQueue(1 + n%2), AcceptedAt: wall,
					Steps: []batch.Step{step}}, nil, 0, 0, wall); err != nil {
					b.Fatal(err)
				}
			}
			c.Tick(time.Millisecond, wall)
			b.ResetTimer()
			for range b.N {
				c.plan(2 * time.Millisecond)
			}
		})
	}
}

// The explanation of a waiting task states what the task needs and what is available.
func TestExplanationOfAWaitingJob(t *testing.T) {
	f := newFixture(t, "a", "b")
	f.submit("00000000000000f1", 1, 0, batch.Step{Count: 3, Gang: true, Estimate: time.Second,
		Need: batch.Resources{Accelerators: 8}},
		batch.Step{Count: 1, After: []int{0}})
	f.planAndCommit(0)
	e, ok := f.c.Explain("00000000000000f1", 0)
	if !ok || len(e.Tasks) != 4 || e.Tasks[0].Phase != "waiting" {
		t.Fatalf("%+v", e)
	}
	if want := "needs room for 3 x 8 accelerators, 0 mCPU, 0 MB; 2 fit on 2 eligible of 2 usable workers"; e.Tasks[0].Reason != want {
		t.Errorf("reason %q, want %q", e.Tasks[0].Reason, want)
	}
	if want := "waits for the steps [0]"; e.Tasks[3].Reason != want {
		t.Errorf("reason %q, want %q", e.Tasks[3].Reason, want)
	}
	if _, ok := f.c.Explain("none", 0); ok {
		t.Error("an unknown job is explained")
	}
}

// Headroom for urgent jobs, reservations and data locality must not keep a job without a running task from idle workers
// for three seconds. This happened while half of the workers were free (LOST on baltoptika-mc, scale-2 seed
// 818915219767).
func TestJobStartsWhileTheFleetIsIdle(t *testing.T) {
	one := batch.Step{Count: 1, Estimate: 30 * time.Second, Need: batch.Resources{Accelerators: 1}}
	faraway := one
	faraway.DataRack = "another"
	cases := map[string]struct {
		step  batch.Step
		setUp func(*fixture)
	}{
		"headroom is kept for urgent jobs": {one, func(f *fixture) {
			f.submit("00000000000000d1", 0, 0, batch.Step{Count: 2, Estimate: time.Millisecond,
				Need: batch.Resources{Accelerators: 8}})
			f.c.finish(f.c.jobs["00000000000000d1"], batch.Cancelled, 0, f.wall)
		}},
		"a gang has reserved all workers": {one, func(f *fixture) {
			f.submit("00000000000000d2", 1, 0, batch.Step{Count: 1, Estimate: time.Second,
				Need: batch.Resources{Accelerators: 8}})
			f.planAndCommit(0)
			f.submit("00000000000000d3", 1, 0, batch.Step{Count: 4, Gang: true, Estimate: time.Second,
				Need: batch.Resources{Accelerators: 8}})
		}},
		"the rack of the data is full": {faraway, func(f *fixture) {
			f.c.ApplyReport(Report{Node: "e", Worker: &batch.Worker{
				Incarnation: batch.Incarnation{ID: "e", StartedMS: 1}, Service: "s", Rack: "another",
				Capacity: batch.Resources{Accelerators: 1}, Sequence: 1},
				Runs: &batch.Runs{Incarnation: batch.Incarnation{ID: "e", StartedMS: 1}}}, f.wall)
			f.submit("00000000000000d4", 1, 0, faraway)
			f.planAndCommit(0)
		}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, "a", "b", "c", "d")
			f.wall = f.wall.Add(time.Minute)
			test.setUp(f)
			f.submit("00000000000000e1", 2, 0, test.step)
			for at := time.Duration(0); at <= 2800*time.Millisecond; at += 100 * time.Millisecond {
				for _, node := range []string{"a", "b", "c", "d"} {
					f.report(node, at, f.c.reportedRuns(node, 1+int(at/(100*time.Millisecond)))...)
				}
				for _, o := range f.planAndCommit(at) {
					if o.Kind == OrderStart && o.Task.Job == "00000000000000e1" {
						return
					}
				}
			}
			e, _ := f.c.Explain("00000000000000e1", 2800*time.Millisecond)
			t.Errorf("not started: %+v", e)
		})
	}
}

// reportedRuns returns the report of a worker that runs all tasks that are assigned to it.
func (c *Core) reportedRuns(node string, percent int) []batch.RunningTask {
	var runs []batch.RunningTask
	for _, t := range c.workers[node].sortedTasks() {
		runs = append(runs, batch.RunningTask{Task: t.id, Run: t.run, Percent: percent})
	}
	return runs
}

// A plan caches which shapes no longer fit. Its assignments must equal those of a plan that evaluates each unit anew.
func TestPlanSkipsOnlyUnitsThatDoNotFit(t *testing.T) {
	for seed := range uint64(300) {
		variants := [2]*fixture{}
		for i := range variants {
			rng := rand.New(rand.NewPCG(seed, 9))
			f := newFixture(t, "a", "b", "c", "d", "e", "f")
			for round := range 3 { // later rounds find occupied workers and claims
				now := time.Duration(round) * 100 * time.Millisecond
				for n := range 12 {
					f.submit(fmt.Sprintf("%08x%08x", round, n), rng.IntN(3), now, batch.Step{Count: 1 + rng.IntN(4),
						Gang: rng.IntN(2) == 0, OneRack: rng.IntN(3) == 0, MaxPerWorker: rng.IntN(3),
						Estimate: time.Duration(1+rng.IntN(20)) * time.Second,
						Need:     batch.Resources{Accelerators: 4 << rng.IntN(2)}})
				}
				if i == 0 {
					f.c.plan(now)
					continue
				}
				f.c.expireClaims(now)
				p := f.c.newPlanner(now)
				p.headroom = f.c.urgentDemand.headroom()
				for _, cl := range f.c.claims {
					p.withholdClaim(cl)
				}
				for _, u := range p.units() {
					clear(p.noFit)
					clear(p.fitsNear)
					p.place(u)
				}
			}
			variants[i] = f
		}
		for id, j := range variants[0].c.jobs {
			if got, want := describeTasks(j), describeTasks(variants[1].c.jobs[id]); got != want {
				t.Fatalf("seed %d: %s, without the caches %s", seed, got, want)
			}
		}
	}
}

// The last attempt of a task must not use a worker on which the task has failed, even if only that worker has free
// capacity. In incident inc-a4f4 both attempts of an urgent task went to a worker on which everything failed, and the
// job was lost.
func TestLastAttemptAvoidsTheFailedWorker(t *testing.T) {
	f := newFixture(t, "a", "b")
	step := batch.Step{Count: 1, Estimate: time.Minute, Need: batch.Resources{Accelerators: 8}}
	f.submit("0000000000000001", 2, 0, step)
	f.planAndCommit(0)
	busy := f.c.jobs["0000000000000001"].findTask(batch.TaskID{Job: "0000000000000001"}).node
	f.submit("0000000000000002", 0, 0, step)
	id := batch.TaskID{Job: "0000000000000002"}
	task := f.c.jobs[id.Job].findTask(id)
	for at := time.Duration(0); at < time.Second; at += 100 * time.Millisecond {
		for _, o := range f.planAndCommit(at) {
			if task.failures == simQueue(0).MaxAttempts-1 && o.Kind == OrderStart && o.Node != busy {
				t.Fatalf("the last attempt starts on %s, where the task failed", o.Node)
			}
		}
		if task.phase == assigned {
			f.endRun(id, int64(task.failures+1), at, batch.OutcomeFailed)
		}
	}
	if task.failures != simQueue(0).MaxAttempts-1 {
		t.Fatalf("%d attempts failed", task.failures)
	}
	if task.phase != waiting || f.c.jobs[id.Job].state.Final() {
		t.Errorf("phase %d, state %s, want to wait for the other worker", task.phase, f.c.jobs[id.Job].state)
	}
	if len(f.c.claims) != 1 {
		t.Errorf("%d claims, want capacity to be freed on %s", len(f.c.claims), busy)
	}
}

// Guards against a last attempt on a worker that has begun to fail whatever starts on it, and on which no run has failed yet:
// urgent jobs with two attempts were lost to two such workers within 300 ms. The last attempt goes to a worker on which a
// run has just outlived its start, although another is the tighter fit.
func TestLastAttemptPrefersProvenWorker(t *testing.T) {
	f := newFixture(t, "a", "b", "c")
	f.accelerators = map[string]int{"b": 1}
	f.reportEverywhere(0)
	f.submit("0000000000000001", 2, 0, batch.Step{Count: 1, Estimate: time.Minute, Need: batch.Resources{Accelerators: 8}})
	f.planAndCommit(0)
	proven := f.c.jobs["0000000000000001"].findTask(batch.TaskID{Job: "0000000000000001"}).node
	f.accelerators[proven] = 16 // has room beside the run
	at := startupTime + 100*time.Millisecond
	f.reportEverywhere(at)
	f.submit("0000000000000002", 1, at, batch.Step{Count: 1, Estimate: time.Second, Need: batch.Resources{Accelerators: 1}})
	last := f.c.jobs["0000000000000002"].findTask(batch.TaskID{Job: "0000000000000002"})
	last.failures = simQueue(1).MaxAttempts - 1
	last.avoid("other")
	f.planAndCommit(at + planInterval)
	if last.node != proven {
		t.Errorf("the last attempt starts on %q, want %s, where a run has outlived its start", last.node, proven)
	}
}

// The last attempt of a gang that needs all workers uses all of them, even those on which it has failed. Otherwise it
// could never start.
func TestLastAttemptOfAGangThatNeedsAllWorkers(t *testing.T) {
	f := newFixture(t, "a", "b")
	f.submit("0000000000000001", 1, 0, batch.Step{Count: 2, Gang: true, Estimate: time.Second,
		Need: batch.Resources{Accelerators: 8}})
	s := f.c.jobs["0000000000000001"].occurrences[0].steps[0]
	s.gangFailures = simQueue(0).MaxAttempts - 1
	s.tasks[0].avoid("a")
	starts := 0
	for _, o := range f.planAndCommit(0) {
		if o.Kind == OrderStart {
			starts++
		}
	}
	if starts != 2 {
		t.Errorf("%d starts, want 2", starts)
	}
}
