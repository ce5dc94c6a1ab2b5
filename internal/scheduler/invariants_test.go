package scheduler

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"masticcart.example/masticcart/internal/batch"
	"masticcart.example/masticcart/internal/scheduler/speed"
)

// runRandomScenario injects all kinds of faults for about 40 seconds of simulated time and then lets the system
// recover. prepare adds faults of a test to the simulation; it may be nil.
func runRandomScenario(t *testing.T, seed uint64, prepare func(*sim)) *sim {
	s := newSim(t, seed, 5)
	s.faults = true
	if prepare != nil {
		prepare(s)
	}
	for n := range 40 {
		s.after(s.between(0, 30*time.Second), func() {
			s.submit(s.randomJob(n))
			if s.rng.IntN(6) == 0 {
				id := fmt.Sprintf("%016x", n+1)
				s.after(s.between(0, 8*time.Second), func() { s.cancel(id) })
			}
		})
	}
	for range 4 {
		w := s.workers[s.rng.IntN(len(s.workers))]
		s.after(s.between(time.Second, 35*time.Second), func() {
			if !w.alive {
				return
			}
			s.crash(w)
			s.after(s.between(100*time.Millisecond, 3*time.Second), func() { s.startWorker(w) })
		})
		partitioned := s.workers[s.rng.IntN(len(s.workers))]
		s.after(s.between(time.Second, 35*time.Second), func() {
			partitioned.partitionedUntil = s.now + s.between(time.Second, 9*time.Second)
		})
	}
	for range 3 { // leaders die; batches in flight may still be committed before the next leader starts
		s.after(s.between(time.Second, 35*time.Second), s.replaceLeader)
	}
	s.after(s.between(time.Second, 35*time.Second), func() {
		s.storeDownUntil = s.now + s.between(time.Second, 6*time.Second)
	})
	s.advance(45 * time.Second)
	s.faults, s.recoveredAt = false, s.now+12*time.Second // orders may be delayed by 12 s
	for _, w := range s.workers {
		for _, r := range w.runs {
			r.hangs = false
		}
	}
	s.advance(90 * time.Second)
	return s
}

// regressions are seeds that failed before.
var regressions = []uint64{
	117,  // a new leader started a task assigned by the previous one, although the job had been cancelled since
	922,  // the run of an unanswered start was done; the resent start was stale, and the run counted as never started
	1134, // the same fault as 922
}

// seeds returns the given seeds and those that SIM_SEED and SIM_DAYS select, by default 60.
func seeds(first ...uint64) []uint64 {
	scenarios := uint64(60)
	begin := uint64(1)
	if v, err := strconv.ParseUint(os.Getenv("SIM_DAYS"), 10, 64); err == nil {
		scenarios = v
	}
	if v, err := strconv.ParseUint(os.Getenv("SIM_SEED"), 10, 64); err == nil {
		begin, scenarios = v, 1
	}
	all := append([]uint64(nil), first...)
	for seed := begin; seed < begin+scenarios; seed++ {
		all = append(all, seed)
	}
	return all
}

// checkScenario runs a scenario and reports broken rules, and jobs that are not in the final state that they should be
// in.
func checkScenario(t *testing.T, seed uint64, prepare func(*sim)) {
	s := runRandomScenario(t, seed, prepare)
	if len(s.checker.Violations()) == 0 {
		for id, j := range s.core.jobs {
			if !j.state.Final() {
				t.Errorf("seed %d: LOST: job %s is %s after the recovery: %s", seed, id, j.state, describeTasks(j))
				continue
			}
			s.checker.FinalStateReported(id, j.state, false, s.now)
		}
	}
	for _, b := range s.checker.Violations() {
		t.Errorf("seed %d: %s", seed, b)
	}
}

// Checks the invariants under random faults in simulated time. A failure names the seed that reproduces it. SIM_SEED
// selects one seed, SIM_DAYS the number of seeds.
func TestRulesHoldUnderFaults(t *testing.T) {
	for _, seed := range seeds(regressions...) {
		checkScenario(t, seed, nil)
	}
}

// The same with workers of different speed and tight urgent work. Guards against rules that are broken by restarts of late
// runs, and by units that wait for faster workers.
func TestRulesHoldWithSlowWorkers(t *testing.T) {
	slow, restarts := 0, int64(0)
	for _, seed := range seeds() {
		checkScenario(t, seed, func(s *sim) {
			s.uneven = true
			for at := 5 * time.Second; at < 40*time.Second; at += 200 * time.Millisecond {
				s.after(at, func() {
					if s.core == nil {
						return
					}
					urgent := simQueue(0)
					urgent.SlackFactor, urgent.TargetLatency = 1.2, 200*time.Millisecond
					s.core.SetCatalog(&batch.Catalog{Version: 2, Queues: []batch.Queue{urgent, simQueue(1), simQueue(2)}})
					slow += s.core.speeds("s").Count(speed.Slow)
					restarts = max(restarts, s.core.stats.RestartedLate)
				})
			}
		})
	}
	t.Logf("restarts of late runs in one term: up to %d", restarts)
	if slow == 0 || restarts == 0 {
		t.Errorf("slow workers seen %d times, late runs restarted %d times; want some of both", slow, restarts)
	}
}

// The same with tasks that crash their workers, and with workers that shrink and grow, of which some do not enforce their
// capacity.
func TestRulesHoldUnderCrashingTasksAndShrinkingWorkers(t *testing.T) {
	for _, seed := range seeds() {
		checkScenario(t, seed, func(s *sim) {
			s.crashRng = rand.New(rand.NewPCG(seed, 2))
			for n, w := range s.workers {
				w.enforces = n%2 == 1
			}
			for range 8 {
				w := s.workers[s.rng.IntN(len(s.workers))]
				s.after(s.between(time.Second, 35*time.Second), func() {
					s.resize(w, s.rng.IntN(simAccelerators))
					s.after(s.between(2*time.Second, 10*time.Second), func() { s.resize(w, simAccelerators) })
				})
			}
		})
	}
}

// Guards against jobs that are given up although they could run: only tasks that crash their workers are, also across
// takeovers and an outage of the store. No worker crashes for another reason here, and no task fails by itself.
func TestOnlyTasksThatCrashWorkersAreGivenUp(t *testing.T) {
	givenUp := 0
	for _, seed := range seeds() {
		s := newSim(t, seed, 8)
		s.crashRng = rand.New(rand.NewPCG(seed, 2))
		for n := range 40 {
			s.after(s.between(0, 30*time.Second), func() { s.submit(s.randomJob(n)) })
		}
		for range 2 {
			s.after(s.between(time.Second, 35*time.Second), s.replaceLeader)
			cut := s.workers[s.rng.IntN(len(s.workers))]
			s.after(s.between(time.Second, 35*time.Second), func() {
				cut.partitionedUntil = s.now + s.between(time.Second, 9*time.Second)
			})
		}
		s.after(s.between(time.Second, 35*time.Second), func() {
			s.storeDownUntil = s.now + s.between(time.Second, 6*time.Second)
		})
		s.recoveredAt = time.Hour // members of gangs may end alone
		s.advance(100 * time.Second)
		for id, j := range s.core.jobs {
			crashing := false
			for task := range s.crashDelays {
				crashing = crashing || task.Job == id
			}
			switch {
			case j.state == batch.Failed && !crashing:
				t.Errorf("seed %d: %s has failed: %s", seed, id, j.failure)
			case !j.state.Final():
				t.Errorf("seed %d: %s is %s: %s", seed, id, j.state, describeTasks(j))
			case j.state == batch.Failed:
				givenUp++
			}
		}
		for _, b := range s.checker.Violations() {
			t.Errorf("seed %d: %s", seed, b)
		}
	}
	if givenUp == 0 {
		t.Error("no job was given up")
	}
}

// Without faults the members of a gang start within GangWait, and none ends because others are missing.
func TestGangStartsTogether(t *testing.T) {
	s := newSim(t, 7, 4)
	s.advance(time.Second)
	s.submit(batch.Job{ID: "00000000000000aa", Queue: simQueue(1), Steps: []batch.Step{{Count: 4, Gang: true,
		Estimate: time.Second, Need: batch.Resources{Accelerators: 8}}}})
	s.advance(6 * time.Second)
	if violations := s.checker.Violations(); len(violations) > 0 {
		t.Fatal(violations)
	}
	if state := jobState(s.core, "00000000000000aa"); state != batch.Completed {
		t.Fatalf("state %q, want completed", state)
	}
}

// A worker that is silent for less than its lease keeps its tasks. After the lease they are lost once.
func TestSilentWorkerIsLostOnlyAfterItsLease(t *testing.T) {
	s := newSim(t, 5, 2)
	s.advance(time.Second)
	s.submit(batch.Job{ID: "00000000000000dd", Queue: simQueue(1), Steps: []batch.Step{{Count: 1,
		Estimate: 30 * time.Second, Need: batch.Resources{Accelerators: 1}}}})
	s.advance(300 * time.Millisecond)
	holder := s.workers[0]
	if len(holder.runs) == 0 {
		holder = s.workers[1]
	}
	for _, r := range holder.runs {
		r.remaining, r.total = time.Minute, time.Minute
	}
	holder.partitionedUntil = s.now + time.Minute
	s.advance(simConfig.Lease - 500*time.Millisecond)
	if n := s.core.Stats().Lost; n != 0 {
		t.Fatalf("%d runs lost before the lease expired", n)
	}
	s.advance(3 * time.Second)
	if violations := s.checker.Violations(); len(violations) > 0 {
		t.Fatal(violations)
	}
	if n := s.core.Stats().Lost; n != 1 {
		t.Fatalf("%d runs lost after the lease expired, want 1", n)
	}
}

// The next leader resumes a lost task from a checkpoint that was reported more than a second (checkpointInterval) ago,
// although nothing else of the job has changed since.
func TestCheckpointsSurviveALeaderChange(t *testing.T) {
	c := NewCore(simConfig, 0)
	wall := time.Unix(1_800_000_000, 0)
	c.SetCatalog(&batch.Catalog{Version: 1, Queues: []batch.Queue{simQueue(1)}})
	b := batch.Job{ID: "00000000000000ee", Queue: simQueue(1), AcceptedAt: wall, Steps: []batch.Step{{Count: 1,
		Checkpoints: true, Estimate: time.Minute, Need: batch.Resources{Accelerators: 1}}}}
	if err := c.AddJob(b, nil, 0, 0, wall); err != nil {
		t.Fatal(err)
	}
	incarnation := batch.Incarnation{ID: "i", StartedMS: 1}
	info := &batch.Worker{Incarnation: incarnation, Service: "s", Capacity: batch.Resources{Accelerators: 8},
		Sequence: 1}
	id := batch.TaskID{Job: b.ID}
	report := func(at time.Duration, running ...batch.RunningTask) {
		c.ApplyReport(Report{Node: "w", SentAt: at, ReceivedAt: at, Worker: info, Runs: &batch.Runs{
			Incarnation: incarnation, ClockMS: at.Milliseconds(), Running: running}}, wall)
	}
	var record []byte
	round := func(at time.Duration) {
		c.Tick(at, wall)
		for {
			taken, err := c.NextBatch(maxChangesPerTxn)
			if err != nil {
				t.Fatal(err)
			}
			if taken == nil {
				return
			}
			record = taken.Changes[0].Record
			c.ApplyCommit(taken, 5, at)
		}
	}
	report(time.Second)
	round(time.Second)
	report(2*time.Second, batch.RunningTask{Task: id, Run: 1, Checkpoint: "0001", Percent: 10})
	round(2 * time.Second)
	report(3*time.Second, batch.RunningTask{Task: id, Run: 1, Checkpoint: "0002", Percent: 20})
	round(4 * time.Second)
	next := NewCore(simConfig, 0)
	if err := next.AddJob(b, record, 5, 0, wall); err != nil {
		t.Fatal(err)
	}
	if got := next.jobs[b.ID].findTask(id).checkpoint; got != "0002" {
		t.Fatalf("checkpoint %q in the record, want 0002", got)
	}
}

// Ended runs must not be acknowledged before all jobs that they changed are recorded, also with several writes in
// flight. Otherwise a leader change in between would repeat work that was done.
func TestEndsAreAcknowledgedOnlyOnceRecorded(t *testing.T) {
	c := NewCore(simConfig, 0)
	wall := time.Unix(1_800_000_000, 0)
	c.SetCatalog(&batch.Catalog{Version: 1, Queues: []batch.Queue{simQueue(1)}})
	incarnation := batch.Incarnation{ID: "i", StartedMS: 1}
	info := &batch.Worker{Incarnation: incarnation, Service: "s", Capacity: batch.Resources{Accelerators: 8},
		Sequence: 1}
	var ids []batch.TaskID
	for n := range 2 {
		id := fmt.Sprintf("%016x", 0xf0+n)
		if err := c.AddJob(batch.Job{ID: id, Queue: simQueue(1), AcceptedAt: wall, Steps: []batch.Step{{Count: 1,
			Estimate: time.Minute, Need: batch.Resources{Accelerators: 1}}}}, nil, 0, 0, wall); err != nil {
			t.Fatal(err)
		}
		ids = append(ids, batch.TaskID{Job: id})
	}
	report := func(at time.Duration, ended ...batch.EndedTask) {
		c.ApplyReport(Report{Node: "w", SentAt: at, ReceivedAt: at, Worker: info, Runs: &batch.Runs{
			Incarnation: incarnation, ClockMS: at.Milliseconds(), Ended: ended}}, wall)
	}
	report(time.Second)
	c.Tick(time.Second, wall)
	first, err := c.NextBatch(maxChangesPerTxn)
	if err != nil || first == nil {
		t.Fatal(first, err)
	}
	c.ApplyCommit(first, 2, time.Second)
	report(2*time.Second, batch.EndedTask{Number: 1, Task: ids[0], Run: 1, Outcome: batch.OutcomeDone},
		batch.EndedTask{Number: 2, Task: ids[1], Run: 1, Outcome: batch.OutcomeDone})
	c.Tick(2*time.Second, wall)
	one, err := c.NextBatch(1)
	if err != nil || one == nil {
		t.Fatal(one, err)
	}
	two, err := c.NextBatch(1)
	if err != nil || two == nil {
		t.Fatal(two, err)
	}
	c.ApplyCommit(two, 4, 2*time.Second)
	if _, _, ack := c.SyncParameters("w", 2*time.Second); ack != 0 {
		t.Fatalf("ended runs up to %d are acknowledged while a write is in flight", ack)
	}
	c.ApplyCommit(one, 5, 2*time.Second)
	if _, _, ack := c.SyncParameters("w", 2*time.Second); ack != 2 {
		t.Fatalf("ended runs up to %d are acknowledged after both writes, want 2", ack)
	}
}

// When a member of a gang is refused, the others are stopped at once rather than after GangWait, so that the gang can
// start again as a whole.
func TestRefusedGangMemberStopsTheOthers(t *testing.T) {
	f := newFixture(t, "a", "b")
	f.submit("00000000000000d1", 1, 0, batch.Step{Count: 2, Gang: true, Estimate: time.Second,
		Need: batch.Resources{Accelerators: 8}})
	f.c.Tick(0, f.wall)
	b, err := f.c.NextBatch(maxChangesPerTxn)
	if err != nil || b == nil {
		t.Fatal(b, err)
	}
	starts := f.c.ApplyCommit(b, 1, 0)
	f.c.ApplyVerdict(starts[0], batch.VerdictAccepted, "", 0)
	f.c.ApplyVerdict(starts[1], batch.VerdictNoCapacity, "", 0)
	orders := f.c.DrainOrders()
	if len(orders) != 1 || orders[0].Kind != OrderStop || orders[0].Task != starts[0].Task {
		t.Fatalf("orders %+v, want a stop of %v", orders, starts[0].Task)
	}
}

// The first attempt of an unanswered start may have been carried out and have ended with success. If the second attempt
// is refused as stale, the task must wait for the worker's next report; starting it anew ran it twice (seeds 922 and
// 1134).
func TestStaleStartWaitsForTheNextReport(t *testing.T) {
	f := newFixture(t, "a", "b")
	f.submit("00000000000000e1", 1, 0, batch.Step{Count: 1, Estimate: time.Second,
		Need: batch.Resources{Accelerators: 1}})
	id := batch.TaskID{Job: "00000000000000e1"}
	f.c.Tick(0, f.wall)
	b, err := f.c.NextBatch(maxChangesPerTxn)
	if err != nil || b == nil {
		t.Fatal(b, err)
	}
	start := f.c.ApplyCommit(b, 1, 0)[0]
	f.c.ApplyVerdict(start, batch.VerdictUnknown, "", 400*time.Millisecond)
	f.c.ApplyVerdict(start, batch.VerdictStale, "", 500*time.Millisecond)
	for _, o := range f.planAndCommit(600 * time.Millisecond) {
		if o.Kind == OrderStart && o.Run != start.Run {
			t.Fatalf("run %d starts before the next report of %s", o.Run, start.Node)
		}
	}
	f.endRun(id, 1, 700*time.Millisecond, batch.OutcomeDone)
	if state := jobState(f.c, id.Job); state != batch.Completed {
		t.Fatalf("state %s, want completed", state)
	}
}

// The next leader stops a task of a cancelled job that the previous leader assigned, and does not start it: the order
// may have been sent before the cancellation (seed 117).
func TestNextLeaderStopsTasksOfCancelledJob(t *testing.T) {
	f := newFixture(t, "a")
	f.submit("00000000000000e2", 1, 0, batch.Step{Count: 1, Estimate: time.Second,
		Need: batch.Resources{Accelerators: 1}})
	f.planAndCommit(0)
	f.c.Cancel("00000000000000e2", 0, f.wall)
	j := f.c.jobs["00000000000000e2"]
	record, err := j.record()
	if err != nil {
		t.Fatal(err)
	}
	next := newFixture(t)
	if err := next.c.AddJob(j.Job, record, 2, 0, next.wall); err != nil {
		t.Fatal(err)
	}
	next.report("a", time.Second)
	stops := 0
	for _, o := range next.planAndCommit(time.Second) {
		if o.Kind == OrderStart {
			t.Fatalf("%v of a cancelled job starts", o.Task)
		}
		stops++
	}
	if stops != 1 {
		t.Errorf("%d stops, want 1: the start order may be in flight", stops)
	}
}

// A task is started at most as often as its queue allows. The number of failures is part of the record, so that it
// survives a leader change.
func TestAttemptsAreLimited(t *testing.T) {
	f := newFixture(t, "a", "b")
	f.submit("00000000000000e3", 1, 0, batch.Step{Count: 1, Estimate: time.Second,
		Need: batch.Resources{Accelerators: 1}})
	id := batch.TaskID{Job: "00000000000000e3"}
	starts := 0
	for n := range 10 {
		at := time.Duration(n) * time.Second
		f.report("a", at)
		f.report("b", at)
		for _, o := range f.planAndCommit(at) {
			if o.Kind == OrderStart {
				starts++
			}
		}
		if x := f.c.jobs[id.Job].findTask(id); x != nil && x.phase == assigned {
			f.endRun(id, int64(n+1), at+500*time.Millisecond, batch.OutcomeFailed)
		}
	}
	if want := simQueue(1).MaxAttempts; starts != want {
		t.Errorf("%d starts, want %d", starts, want)
	}
	if state := jobState(f.c, id.Job); state != batch.Failed {
		t.Errorf("state %s, want failed", state)
	}
}

// A worker that restarts under the same id cannot recognize an order for its previous incarnation. A run that such an
// order started is listed in the first report requested under the new fence; only runs that it lacks are lost. Without
// this rule the task was started elsewhere at once, beside the run (soak seeds 10, 19 and 27).
func TestRunStartedByTheNextIncarnationIsKept(t *testing.T) {
	f := newFixture(t, "a", "b")
	f.submit("00000000000000c5", 1, 0, batch.Step{Count: 2, Estimate: time.Second,
		Need: batch.Resources{Accelerators: 1}})
	f.planAndCommit(0)
	ids := []batch.TaskID{{Job: "00000000000000c5"}, {Job: "00000000000000c5", Index: 1}}
	node := f.c.jobs[ids[0].Job].findTask(ids[0]).node
	before := f.c.Epoch(node)
	incarnation := batch.Incarnation{ID: node, StartedMS: 2}
	report := func(sentAt, receivedAt time.Duration, running ...batch.RunningTask) {
		f.c.ApplyReport(Report{Node: node, SentAt: sentAt, ReceivedAt: receivedAt, Worker: &batch.Worker{
			Incarnation: incarnation, Service: "s", Rack: "r",
			Capacity: batch.Resources{MilliCPU: 32000, MemoryMB: 64000, Accelerators: 8},
			Sequence: receivedAt.Milliseconds()},
			Runs: &batch.Runs{Incarnation: incarnation, ClockMS: 1, Running: running}}, f.wall)
	}
	report(time.Second, 1010*time.Millisecond) // requested under the fence of the previous incarnation
	if orders := f.planAndCommit(1020 * time.Millisecond); len(orders) != 0 {
		t.Fatalf("orders %+v before the new incarnation was fenced", orders)
	}
	if f.c.Epoch(node) != before+1 {
		t.Errorf("epoch %d, want %d", f.c.Epoch(node), before+1)
	}
	report(1100*time.Millisecond, 1110*time.Millisecond, batch.RunningTask{Task: ids[0], Run: 1, Percent: 5})
	orders := f.planAndCommit(1120 * time.Millisecond)
	if len(orders) != 1 || orders[0].Kind != OrderStart || orders[0].Task != ids[1] || orders[0].Run != 2 {
		t.Fatalf("orders %+v, want a second run of %v only", orders, ids[1])
	}
	if x := f.c.jobs[ids[0].Job].findTask(ids[0]); x.incarnation != incarnation || x.run != 1 {
		t.Errorf("%v is run %d on %v", ids[0], x.run, x.incarnation)
	}
}

// Reports are most of the traffic to a leader. Workers without tasks or with long ones only report less often, but not
// while orders or ended runs are unacknowledged.
func TestReportWaitDependsOnTheTasks(t *testing.T) {
	f := newFixture(t, "a", "b", "c", "d")
	f.submit("0000000000000001", 1, 0, batch.Step{Count: 1, Estimate: time.Second,
		Need: batch.Resources{Accelerators: 8}})
	f.submit("0000000000000002", 1, 0, batch.Step{Count: 1, Estimate: time.Hour,
		Need: batch.Resources{Accelerators: 8}})
	f.submit("0000000000000003", 1, 0, batch.Step{Count: 1, Estimate: time.Hour,
		Need: batch.Resources{Accelerators: 8}})
	f.planAndCommit(0)
	on := func(id string) string { return f.c.jobs[id].findTask(batch.TaskID{Job: id}).node }
	f.c.Cancel("0000000000000003", 0, f.wall)
	for node, want := range map[string]time.Duration{on("0000000000000001"): minReportWait,
		on("0000000000000002"): maxReportWait, on("0000000000000003"): minReportWait, "d": maxReportWait} {
		if got := f.c.ReportWait(node); got != want {
			t.Errorf("%s reports after %v, want %v", node, got, want)
		}
	}
	task := batch.TaskID{Job: "0000000000000002"}
	node := on(task.Job)
	f.endRun(task, 1, time.Second, batch.OutcomeDone)
	if got := f.c.ReportWait(node); got != minReportWait {
		t.Errorf("a worker with an unacknowledged ended run reports after %v", got)
	}
}

// An unanswered start order is resent after a delay. Without the delay, a worker that reset connections caused a loop
// of hundreds of orders and log lines a second (soak seed 20).
func TestUnansweredStartIsResentAfterADelay(t *testing.T) {
	f := newFixture(t, "a")
	f.submit("0000000000000001", 1, 0, batch.Step{Count: 1, Estimate: time.Minute,
		Need: batch.Resources{Accelerators: 8}})
	f.c.Tick(0, f.wall)
	b, err := f.c.NextBatch(maxChangesPerTxn)
	if err != nil {
		t.Fatal(err)
	}
	orders := f.c.ApplyCommit(b, 1, 0)
	if len(orders) != 1 {
		t.Fatalf("%+v, want one start", orders)
	}
	repeated := 0
	for at := time.Duration(0); at < time.Second; at += 10 * time.Millisecond {
		for range orders {
			f.c.ApplyVerdict(orders[0], batch.VerdictUnknown, "reset", at)
		}
		f.c.Tick(at, f.wall)
		orders = f.c.DrainOrders()
		repeated += len(orders)
	}
	if most := int(time.Second / startRetryDelay); repeated < most-2 || repeated > most {
		t.Errorf("%d resent orders in a second, want one in %v", repeated, startRetryDelay)
	}
}
