package scheduler

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"masticcart.example/masticcart/internal/batch"
)

// runRandomScenario plays faults of all kinds for forty seconds, then lets the world recover.
func runRandomScenario(t *testing.T, seed uint64) *sim {
	s := newSim(t, seed, 5)
	s.faults = true
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
			if !w.up {
				return
			}
			s.crash(w)
			s.after(s.between(100*time.Millisecond, 3*time.Second), func() { s.startWorker(w) })
		})
		c := s.workers[s.rng.IntN(len(s.workers))]
		s.after(s.between(time.Second, 35*time.Second), func() { c.partitionedUntil = s.now + s.between(time.Second, 9*time.Second) })
	}
	for range 3 { // leaders die; batches under way may still be written before the next one leads
		s.after(s.between(time.Second, 35*time.Second), func() {
			if s.core == nil {
				return
			}
			s.core = nil
			s.after(s.between(50*time.Millisecond, 3*time.Second), s.electLeader)
		})
	}
	s.after(s.between(time.Second, 35*time.Second), func() { s.storeDownUntil = s.now + s.between(time.Second, 6*time.Second) })
	s.advance(45 * time.Second)
	s.faults, s.recoveredAt = false, s.now+12*time.Second // orders may come 12 s late
	for _, w := range s.workers {
		for _, r := range w.runs {
			r.hangs = false
		}
	}
	s.advance(90 * time.Second)
	return s
}

// regressions are seeds that have failed once.
var regressions = []uint64{
	117,  // a new leader started what the one before had assigned for a job that was cancelled since
	922,  // a start without an answer had run to its end; the repeated one was stale, and was taken as not run
	1134, // the same
}

// A broken rule is found here in seconds, with the seed that repeats it. SIM_SEED plays one seed, SIM_DAYS more days.
func TestRulesHoldUnderFaults(t *testing.T) {
	days := uint64(60)
	first := uint64(1)
	if v, err := strconv.ParseUint(os.Getenv("SIM_DAYS"), 10, 64); err == nil {
		days = v
	}
	if v, err := strconv.ParseUint(os.Getenv("SIM_SEED"), 10, 64); err == nil {
		first, days = v, 1
	}
	seeds := append([]uint64(nil), regressions...)
	for seed := first; seed < first+days; seed++ {
		seeds = append(seeds, seed)
	}
	for _, seed := range seeds {
		s := runRandomScenario(t, seed)
		for _, b := range s.check.Violations() {
			t.Errorf("seed %d: %s", seed, b)
		}
		for id, j := range s.core.jobs {
			if len(s.check.Violations()) == 0 && !j.state.Final() {
				t.Errorf("seed %d: LOST: job %s is %s after the recovery: %s", seed, id, j.state, describeTasks(j))
			}
		}
	}
}

// Without faults a gang starts on all its workers within the time that its members wait, and no member ends alone.
func TestGangStartsTogether(t *testing.T) {
	s := newSim(t, 7, 4)
	s.advance(time.Second)
	s.submit(batch.Job{ID: "00000000000000aa", Queue: simQueue(1), Steps: []batch.Step{{Count: 4, Gang: true,
		Estimate: time.Second, Need: batch.Resources{Accelerators: 8}}}})
	s.advance(6 * time.Second)
	if broken := s.check.Violations(); len(broken) > 0 {
		t.Fatal(broken)
	}
	if state := jobState(s.core, "00000000000000aa"); state != batch.Completed {
		t.Fatalf("state %q, want completed", state)
	}
}

// A worker that is silent for less than its lease keeps its tasks; after that they start elsewhere, once.
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
		t.Fatalf("%d runs given up before the lease ended", n)
	}
	s.advance(3 * time.Second)
	if broken := s.check.Violations(); len(broken) > 0 {
		t.Fatal(broken)
	}
	if n := s.core.Stats().Lost; n != 1 {
		t.Fatalf("%d runs given up after the lease ended, want 1", n)
	}
}

// The next leader resumes a lost task from a checkpoint that was seen more than a second before, though nothing else of
// the job changed.
func TestCheckpointsSurviveALeaderChange(t *testing.T) {
	c := NewCore(simConfig, 0)
	wall := time.Unix(1_800_000_000, 0)
	c.SetCatalog(&batch.Catalog{Version: 1, Queues: []batch.Queue{simQueue(1)}})
	b := batch.Job{ID: "00000000000000ee", Queue: simQueue(1), AcceptedAt: wall, Steps: []batch.Step{{Count: 1,
		Checkpoints: true, Estimate: time.Minute, Need: batch.Resources{Accelerators: 1}}}}
	if err := c.AddJob(b, nil, 0, 0, wall); err != nil {
		t.Fatal(err)
	}
	life := batch.Incarnation{ID: "i", StartedMS: 1}
	info := &batch.Worker{Incarnation: life, Service: "s", Capacity: batch.Resources{Accelerators: 8}, Sequence: 1}
	id := batch.TaskID{Job: b.ID}
	report := func(at time.Duration, running ...batch.RunningTask) {
		c.ApplyReport(Report{Node: "w", SentAt: at, ReceivedAt: at, Worker: info, Runs: &batch.Runs{Incarnation: life,
			ClockMS: at.Milliseconds(), Running: running}}, wall)
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

// Ends must not be forgotten by the worker before every job that they changed is written, also with several writes
// under way: a leader that dies in between would start work that was done.
func TestEndsAreAcknowledgedOnlyOnceRecorded(t *testing.T) {
	c := NewCore(simConfig, 0)
	wall := time.Unix(1_800_000_000, 0)
	c.SetCatalog(&batch.Catalog{Version: 1, Queues: []batch.Queue{simQueue(1)}})
	life := batch.Incarnation{ID: "i", StartedMS: 1}
	info := &batch.Worker{Incarnation: life, Service: "s", Capacity: batch.Resources{Accelerators: 8}, Sequence: 1}
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
		c.ApplyReport(Report{Node: "w", SentAt: at, ReceivedAt: at, Worker: info, Runs: &batch.Runs{Incarnation: life,
			ClockMS: at.Milliseconds(), Ended: ended}}, wall)
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
	if _, _, forget := c.SyncParameters("w", 2*time.Second); forget != 0 {
		t.Fatalf("the worker may forget up to %d while a write is under way", forget)
	}
	c.ApplyCommit(one, 5, 2*time.Second)
	if _, _, forget := c.SyncParameters("w", 2*time.Second); forget != 2 {
		t.Fatalf("the worker may forget up to %d after both writes, want 2", forget)
	}
}

// When a member of a gang is refused, the others are stopped at once, before they would end alone, and the gang starts
// again as a whole.
func TestRefusedGangMemberStopsTheOthers(t *testing.T) {
	f := newFixture(t, "a", "b")
	f.submit("00000000000000d1", 1, 0, batch.Step{Count: 2, Gang: true, Estimate: time.Second, Need: batch.Resources{Accelerators: 8}})
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

// A start whose first try was not answered may have been carried out and have ended well: when the second try is refused
// as stale, the task must wait for the worker's list (seeds 922 and 1134 of the first version started it twice).
func TestStaleStartWaitsForTheNextReport(t *testing.T) {
	f := newFixture(t, "a", "b")
	f.submit("00000000000000e1", 1, 0, batch.Step{Count: 1, Estimate: time.Second, Need: batch.Resources{Accelerators: 1}})
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
			t.Fatalf("run %d starts before the list of %s was read", o.Run, start.Node)
		}
	}
	f.endRun(id, 1, 700*time.Millisecond, batch.OutcomeDone)
	if state := jobState(f.c, id.Job); state != batch.Completed {
		t.Fatalf("state %s, want completed", state)
	}
}

// A task that its leader assigned, and whose job was cancelled before the order is known to have been sent, is stopped by
// the next leader and not started (seed 117 of the first version).
func TestNextLeaderStopsTasksOfCancelledJob(t *testing.T) {
	f := newFixture(t, "a")
	f.submit("00000000000000e2", 1, 0, batch.Step{Count: 1, Estimate: time.Second, Need: batch.Resources{Accelerators: 1}})
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
		t.Errorf("%d stops, want 1: the start may be under way", stops)
	}
}

// A task is started as often as its queue allows, and not once more; the failures outlive the leader.
func TestAttemptsAreLimited(t *testing.T) {
	f := newFixture(t, "a", "b")
	f.submit("00000000000000e3", 1, 0, batch.Step{Count: 1, Estimate: time.Second, Need: batch.Resources{Accelerators: 1}})
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
		if x := f.c.jobs[id.Job].findTask(id); x.phase == assigned {
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

// A worker that starts again under its id cannot tell an order that was meant for its life before. What such an order
// started is found in the first list that was asked for under the new fence; only what is not there is lost. The first
// version started it elsewhere at once, beside the run (soak seeds 10, 19 and 27).
func TestRunStartedByTheNextIncarnationIsKept(t *testing.T) {
	f := newFixture(t, "a", "b")
	f.submit("00000000000000c5", 1, 0, batch.Step{Count: 2, Estimate: time.Second, Need: batch.Resources{Accelerators: 1}})
	f.planAndCommit(0)
	ids := []batch.TaskID{{Job: "00000000000000c5"}, {Job: "00000000000000c5", Index: 1}}
	node := f.c.jobs[ids[0].Job].findTask(ids[0]).node
	before := f.c.Epoch(node)
	life := batch.Incarnation{ID: node, StartedMS: 2}
	report := func(asked, heard time.Duration, running ...batch.RunningTask) {
		f.c.ApplyReport(Report{Node: node, SentAt: asked, ReceivedAt: heard, Worker: &batch.Worker{Incarnation: life, Service: "s", Rack: "r",
			Capacity: batch.Resources{MilliCPU: 32000, MemoryMB: 64000, Accelerators: 8}, Sequence: heard.Milliseconds()},
			Runs: &batch.Runs{Incarnation: life, ClockMS: 1, Running: running}}, f.wall)
	}
	report(time.Second, 1010*time.Millisecond) // asked under the fence of the life before
	if orders := f.planAndCommit(1020 * time.Millisecond); len(orders) != 0 {
		t.Fatalf("orders %+v before the new life was fenced", orders)
	}
	if f.c.Epoch(node) != before+1 {
		t.Errorf("epoch %d, want %d", f.c.Epoch(node), before+1)
	}
	report(1100*time.Millisecond, 1110*time.Millisecond, batch.RunningTask{Task: ids[0], Run: 1, Percent: 5})
	orders := f.planAndCommit(1120 * time.Millisecond)
	if len(orders) != 1 || orders[0].Kind != OrderStart || orders[0].Task != ids[1] || orders[0].Run != 2 {
		t.Fatalf("orders %+v, want a second run of %v only", orders, ids[1])
	}
	if x := f.c.jobs[ids[0].Job].findTask(ids[0]); x.incarnation != life || x.run != 1 {
		t.Errorf("%v is run %d on %v", ids[0], x.run, x.incarnation)
	}
}

// Reports are most of what a leader receives. Workers without tasks, or with long ones, report less often; those whose
// orders or ends are open do not.
func TestReportWaitDependsOnTheTasks(t *testing.T) {
	f := newFixture(t, "a", "b", "c", "d")
	f.submit("0000000000000001", 1, 0, batch.Step{Count: 1, Estimate: time.Second, Need: batch.Resources{Accelerators: 8}})
	f.submit("0000000000000002", 1, 0, batch.Step{Count: 1, Estimate: time.Hour, Need: batch.Resources{Accelerators: 8}})
	f.submit("0000000000000003", 1, 0, batch.Step{Count: 1, Estimate: time.Hour, Need: batch.Resources{Accelerators: 8}})
	f.planAndCommit(0)
	on := func(id string) string { return f.c.jobs[id].findTask(batch.TaskID{Job: id}).node }
	f.c.Cancel("0000000000000003", 0, f.wall)
	for node, want := range map[string]time.Duration{on("0000000000000001"): minReportWait, on("0000000000000002"): maxReportWait,
		on("0000000000000003"): minReportWait, "d": maxReportWait} {
		if got := f.c.ReportWait(node); got != want {
			t.Errorf("%s reports after %v, want %v", node, got, want)
		}
	}
	task := batch.TaskID{Job: "0000000000000002"}
	node := on(task.Job)
	f.endRun(task, 1, time.Second, batch.OutcomeDone)
	if got := f.c.ReportWait(node); got != minReportWait {
		t.Errorf("with an end that it was not told to forget a worker reports after %v", got)
	}
}

// An order to start that finds no answer is repeated after a pause. Repeated at once towards a worker that resets
// connections it made a loop of hundreds of orders and log lines a second (soak seed 20).
func TestUnansweredStartIsResentAfterADelay(t *testing.T) {
	f := newFixture(t, "a")
	f.submit("0000000000000001", 1, 0, batch.Step{Count: 1, Estimate: time.Minute, Need: batch.Resources{Accelerators: 8}})
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
		t.Errorf("%d repetitions in a second, want one in %v", repeated, startRetryDelay)
	}
}
