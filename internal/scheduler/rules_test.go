package scheduler

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"masticcart.example/masticcart/internal/batch"
)

// randomDay plays faults of all kinds for forty seconds, then lets the world recover.
func randomDay(t *testing.T, seed uint64) *sim {
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
			s.after(s.between(100*time.Millisecond, 3*time.Second), func() { s.boot(w) })
		})
		c := s.workers[s.rng.IntN(len(s.workers))]
		s.after(s.between(time.Second, 35*time.Second), func() { c.cut = s.now + s.between(time.Second, 9*time.Second) })
	}
	for range 3 { // leaders die; batches under way may still be written before the next one leads
		s.after(s.between(time.Second, 35*time.Second), func() {
			if s.core == nil {
				return
			}
			s.core = nil
			s.after(s.between(50*time.Millisecond, 3*time.Second), s.elect)
		})
	}
	s.after(s.between(time.Second, 35*time.Second), func() { s.down = s.now + s.between(time.Second, 6*time.Second) })
	s.run(45 * time.Second)
	s.faults, s.calmFrom = false, s.now+12*time.Second // orders may come 12 s late
	for _, w := range s.workers {
		for _, r := range w.runs {
			r.hangs = false
		}
	}
	s.run(90 * time.Second)
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
		s := randomDay(t, seed)
		for _, b := range s.check.Broken() {
			t.Errorf("seed %d: %s", seed, b)
		}
		for id, j := range s.core.jobs {
			if len(s.check.Broken()) == 0 && !j.state.Final() {
				t.Errorf("seed %d: LOST: job %s is %s after the recovery: %s", seed, id, j.state, describe(j))
			}
		}
	}
}

func describe(j *job) string {
	text := ""
	j.each(func(t *task) {
		if t.phase != done {
			text += fmt.Sprintf("%v phase %d run %d on %s fails %d; ", t.id, t.phase, t.run, t.node, t.fails)
		}
	})
	return text
}

// Without faults a gang starts on all its workers within the time that its members wait, and no member ends alone.
func TestGangStartsTogether(t *testing.T) {
	s := newSim(t, 7, 4)
	s.run(time.Second)
	s.submit(batch.Job{ID: "00000000000000aa", Queue: simQueue(1), Steps: []batch.Step{{Count: 4, Gang: true,
		Estimate: time.Second, Need: batch.Resources{Accelerators: 8}}}})
	s.run(6 * time.Second)
	if broken := s.check.Broken(); len(broken) > 0 {
		t.Fatal(broken)
	}
	if state := stateOf(s.core, "00000000000000aa"); state != batch.Completed {
		t.Fatalf("state %q, want completed", state)
	}
}

// An urgent job of four tasks gets room on four full workers at once, not on one after the other: each round of
// stopping takes up to a fifth of a second of the time in which a guarantee has to be met.
func TestPreemptionMakesRoomForAllTasksAtOnce(t *testing.T) {
	s := newSim(t, 3, 4)
	s.run(time.Second)
	for n := range 4 {
		s.submit(batch.Job{ID: fmt.Sprintf("%016x", 0xb0+n), Queue: simQueue(2), Steps: []batch.Step{{Count: 1,
			Estimate: 20 * time.Second, Need: batch.Resources{Accelerators: 8}}}})
	}
	s.run(500 * time.Millisecond)
	for _, w := range s.workers {
		for _, r := range w.runs {
			r.left, r.whole = 20*time.Second, 20*time.Second
		}
	}
	s.submit(batch.Job{ID: "00000000000000cc", Queue: simQueue(0), Steps: []batch.Step{{Count: 4,
		Estimate: time.Second, Need: batch.Resources{Accelerators: 8}}}})
	began := s.now
	for s.now-began < 2700*time.Millisecond {
		s.run(simStep)
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

// A worker that is silent for less than its lease keeps its tasks; after that they start elsewhere, once.
func TestSilentWorkerIsGivenUpAfterItsLeaseOnly(t *testing.T) {
	s := newSim(t, 5, 2)
	s.run(time.Second)
	s.submit(batch.Job{ID: "00000000000000dd", Queue: simQueue(1), Steps: []batch.Step{{Count: 1,
		Estimate: 30 * time.Second, Need: batch.Resources{Accelerators: 1}}}})
	s.run(300 * time.Millisecond)
	holder := s.workers[0]
	if len(holder.runs) == 0 {
		holder = s.workers[1]
	}
	for _, r := range holder.runs {
		r.left, r.whole = time.Minute, time.Minute
	}
	holder.cut = s.now + time.Minute
	s.run(simConfig.Lease - 500*time.Millisecond)
	if n := s.core.Stats().Lost; n != 0 {
		t.Fatalf("%d runs given up before the lease ended", n)
	}
	s.run(3 * time.Second)
	if broken := s.check.Broken(); len(broken) > 0 {
		t.Fatal(broken)
	}
	if n := s.core.Stats().Lost; n != 1 {
		t.Fatalf("%d runs given up after the lease ended, want 1", n)
	}
}

// The next leader resumes a lost task from a checkpoint that was seen more than a second before, though nothing else of
// the job changed.
func TestCheckpointsOutliveTheLeader(t *testing.T) {
	c := NewCore(simConfig, 0)
	wall := time.Unix(1_800_000_000, 0)
	c.SetCatalog(&batch.Catalog{Version: 1, Queues: []batch.Queue{simQueue(1)}})
	b := batch.Job{ID: "00000000000000ee", Queue: simQueue(1), AcceptedAt: wall, Steps: []batch.Step{{Count: 1,
		Checkpoints: true, Estimate: time.Minute, Need: batch.Resources{Accelerators: 1}}}}
	if err := c.AddJob(b, nil, 0, 0, wall); err != nil {
		t.Fatal(err)
	}
	life := batch.Life{ID: "i", Born: 1}
	info := &batch.Worker{Life: life, Service: "s", Capacity: batch.Resources{Accelerators: 8}, Sequence: 1}
	id := batch.TaskID{Job: b.ID}
	report := func(at time.Duration, running ...batch.RunningTask) {
		c.Report(Report{Node: "w", Asked: at, Heard: at, Worker: info, Runs: &batch.Runs{Life: life,
			ClockMS: at.Milliseconds(), Running: running}}, wall)
	}
	var record []byte
	round := func(at time.Duration) {
		c.Tick(at, wall)
		for {
			taken, err := c.Take(changesPerWrite)
			if err != nil {
				t.Fatal(err)
			}
			if taken == nil {
				return
			}
			record = taken.Changes[0].Record
			c.Committed(taken, 5, at)
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
	if got := next.jobs[b.ID].find(id).checkpoint; got != "0002" {
		t.Fatalf("checkpoint %q in the record, want 0002", got)
	}
}

// Ends must not be forgotten by the worker before every job that they changed is written, also with several writes
// under way: a leader that dies in between would start work that was done.
func TestEndsAreForgottenOnlyOnceRecorded(t *testing.T) {
	c := NewCore(simConfig, 0)
	wall := time.Unix(1_800_000_000, 0)
	c.SetCatalog(&batch.Catalog{Version: 1, Queues: []batch.Queue{simQueue(1)}})
	life := batch.Life{ID: "i", Born: 1}
	info := &batch.Worker{Life: life, Service: "s", Capacity: batch.Resources{Accelerators: 8}, Sequence: 1}
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
		c.Report(Report{Node: "w", Asked: at, Heard: at, Worker: info, Runs: &batch.Runs{Life: life,
			ClockMS: at.Milliseconds(), Ended: ended}}, wall)
	}
	report(time.Second)
	c.Tick(time.Second, wall)
	first, err := c.Take(changesPerWrite)
	if err != nil || first == nil {
		t.Fatal(first, err)
	}
	c.Committed(first, 2, time.Second)
	report(2*time.Second, batch.EndedTask{Number: 1, Task: ids[0], Run: 1, How: batch.EndDone},
		batch.EndedTask{Number: 2, Task: ids[1], Run: 1, How: batch.EndDone})
	c.Tick(2*time.Second, wall)
	one, err := c.Take(1)
	if err != nil || one == nil {
		t.Fatal(one, err)
	}
	two, err := c.Take(1)
	if err != nil || two == nil {
		t.Fatal(two, err)
	}
	c.Committed(two, 4, 2*time.Second)
	if _, _, forget := c.Question("w", 2*time.Second); forget != 0 {
		t.Fatalf("the worker may forget up to %d while a write is under way", forget)
	}
	c.Committed(one, 5, 2*time.Second)
	if _, _, forget := c.Question("w", 2*time.Second); forget != 2 {
		t.Fatalf("the worker may forget up to %d after both writes, want 2", forget)
	}
}

// stateOf returns the state of a job, or nothing.
func stateOf(c *Core, id string) batch.State {
	if e, ok := c.Explain(id, 0); ok {
		return e.State
	}
	return ""
}

// fixture is a core with workers that report what the test says.
type fixture struct {
	t    *testing.T
	c    *Core
	wall time.Time
}

func newFixture(t *testing.T, nodes ...string) *fixture {
	f := &fixture{t: t, c: NewCore(simConfig, 0), wall: time.Unix(1_800_000_000, 0)}
	f.c.SetCatalog(&batch.Catalog{Version: 1, Queues: []batch.Queue{simQueue(0), simQueue(1), simQueue(2)}})
	for _, n := range nodes {
		f.report(n, 0)
	}
	return f
}

func (f *fixture) report(node string, at time.Duration, running ...batch.RunningTask) {
	life := batch.Life{ID: node, Born: 1}
	f.c.Report(Report{Node: node, Asked: at, Heard: at, Worker: &batch.Worker{Life: life, Service: "s", Rack: "r",
		Capacity: batch.Resources{MilliCPU: 32000, MemoryMB: 64000, Accelerators: 8}, Sequence: at.Milliseconds() + 1},
		Runs: &batch.Runs{Life: life, ClockMS: at.Milliseconds(), Running: running}}, f.wall)
	f.c.Grant(node, life) // as with the next question
}

func (f *fixture) submit(id string, priority int, at time.Duration, steps ...batch.Step) {
	f.t.Helper()
	if err := f.c.AddJob(batch.Job{ID: id, Queue: simQueue(priority), AcceptedAt: f.wall, Steps: steps}, nil, 0, at, f.wall); err != nil {
		f.t.Fatal(err)
	}
}

// settle plans, writes at once, and takes all starts as accepted. It returns the orders that were sent.
func (f *fixture) settle(at time.Duration) []Order {
	f.t.Helper()
	f.c.Tick(at, f.wall)
	orders := f.c.Orders()
	for {
		b, err := f.c.Take(changesPerWrite)
		if err != nil {
			f.t.Fatal(err)
		}
		if b == nil {
			break
		}
		for _, o := range f.c.Committed(b, 1, at) {
			f.c.Answered(o, batch.Accepted, "", at)
			orders = append(orders, o)
		}
	}
	return orders
}

// The members of a gang end together: one that has done its part shows 100 percent until the others have. Stopping it
// threw away gangs that were nearly done.
func TestMemberThatWaitsForTheOthersIsNotStopped(t *testing.T) {
	f := newFixture(t, "a", "b")
	f.submit("00000000000000a1", 1, 0, batch.Step{Count: 2, Gang: true, Estimate: time.Second, Need: batch.Resources{Accelerators: 8}})
	f.settle(0)
	for at := time.Second; at < 10*time.Second; at += 400 * time.Millisecond {
		for node, percent := range map[string]int{"a": 100, "b": int(at / (200 * time.Millisecond))} {
			for id := range f.c.workers[node].tasks {
				f.report(node, at, batch.RunningTask{Task: id.id, Run: 1, Percent: percent})
			}
		}
		for _, o := range f.settle(at) {
			t.Fatalf("at %v: %s of %v", at, o.Kind, o.Task)
		}
	}
}

// A task that makes no progress is stopped, and starts on another worker.
func TestTaskThatStandsStillMoves(t *testing.T) {
	f := newFixture(t, "a", "b")
	f.submit("00000000000000a2", 1, 0, batch.Step{Count: 1, Estimate: time.Second, Need: batch.Resources{Accelerators: 1}})
	f.settle(0)
	id := batch.TaskID{Job: "00000000000000a2"}
	node := f.c.jobs[id.Job].find(id).node
	for at := 400 * time.Millisecond; at < 4*time.Second; at += 400 * time.Millisecond {
		f.report(node, at, batch.RunningTask{Task: id, Run: 1, Percent: 30})
		for _, o := range f.settle(at) {
			if o.Kind == OrderStop {
				return
			}
		}
	}
	t.Fatal("the task was not stopped")
}

// Room that is being freed for one urgent job is not given to another that is planned before it: the first would have
// to stop more work, and might miss the bound of its guarantee.
func TestClaimedRoomIsKeptFromOtherJobs(t *testing.T) {
	f := newFixture(t, "a", "b")
	for _, id := range []string{"00000000000000b1", "00000000000000b2"} {
		f.submit(id, 2, 0, batch.Step{Count: 1, Estimate: time.Minute, Need: batch.Resources{Accelerators: 8}})
	}
	f.settle(0)
	all := batch.Step{Count: 1, Estimate: 10 * time.Second, Need: batch.Resources{Accelerators: 8}}
	f.submit("00000000000000c1", 0, time.Second, all)
	first := f.settle(time.Second)
	if len(first) != 1 || first[0].Kind != OrderStop {
		t.Fatalf("orders %+v, want one stop", first)
	}
	all.Estimate = time.Second // more urgent
	f.submit("00000000000000c2", 0, time.Second, all)
	second := f.settle(1100 * time.Millisecond)
	if len(second) != 1 || second[0].Kind != OrderStop || second[0].Node == first[0].Node {
		t.Fatalf("orders %+v, want a stop on the other worker than %s", second, first[0].Node)
	}
	f.report(first[0].Node, 1300*time.Millisecond)
	f.c.Answered(first[0], batch.Accepted, "", 1150*time.Millisecond)
	f.report(first[0].Node, 1500*time.Millisecond)
	for _, o := range f.settle(1500 * time.Millisecond) {
		if o.Kind == OrderStart && o.Task.Job != "00000000000000c1" {
			t.Fatalf("the room went to %v", o.Task)
		}
	}
}

// The plan of one leader for seventy workers with a long queue, as on the grown deployments.
func BenchmarkPlan(b *testing.B) {
	for _, workers := range []int{70, 300, 1000} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			wall := time.Unix(1_800_000_000, 0)
			c := NewCore(simConfig, 0)
			c.SetCatalog(&batch.Catalog{Version: 1, Queues: []batch.Queue{simQueue(0), simQueue(1), simQueue(2)}})
			for n := range workers {
				life := batch.Life{ID: fmt.Sprint(n), Born: 1}
				c.Report(Report{Node: fmt.Sprintf("w%04d", n), Worker: &batch.Worker{Life: life, Service: "s",
					Rack: fmt.Sprint("r", n/5), Capacity: batch.Resources{MilliCPU: 32000, MemoryMB: 64000, Accelerators: 8},
					Sequence: 1}, Runs: &batch.Runs{Life: life}}, wall)
			}
			for n := range workers / 2 {
				step := batch.Step{Count: 30, Estimate: 10 * time.Second, Need: batch.Resources{Accelerators: 1}}
				if n%3 == 0 {
					step = batch.Step{Count: 7, Gang: true, OneRack: true, Estimate: 10 * time.Second, Need: batch.Resources{Accelerators: 8}}
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

// Whoever asks why a job waits is told what it needs and what there is.
func TestExplanationOfAWaitingJob(t *testing.T) {
	f := newFixture(t, "a", "b")
	f.submit("00000000000000f1", 1, 0, batch.Step{Count: 3, Gang: true, Estimate: time.Second, Need: batch.Resources{Accelerators: 8}},
		batch.Step{Count: 1, After: []int{0}})
	f.settle(0)
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

// When a member of a gang is refused, the others are stopped at once, before they would end alone, and the gang starts
// again as a whole.
func TestGangBreaksAsAWhole(t *testing.T) {
	f := newFixture(t, "a", "b")
	f.submit("00000000000000d1", 1, 0, batch.Step{Count: 2, Gang: true, Estimate: time.Second, Need: batch.Resources{Accelerators: 8}})
	f.c.Tick(0, f.wall)
	b, err := f.c.Take(changesPerWrite)
	if err != nil || b == nil {
		t.Fatal(b, err)
	}
	starts := f.c.Committed(b, 1, 0)
	f.c.Answered(starts[0], batch.Accepted, "", 0)
	f.c.Answered(starts[1], batch.NoRoom, "", 0)
	orders := f.c.Orders()
	if len(orders) != 1 || orders[0].Kind != OrderStop || orders[0].Task != starts[0].Task {
		t.Fatalf("orders %+v, want a stop of %v", orders, starts[0].Task)
	}
}

// end reports the end of the present run of a task.
func (f *fixture) end(id batch.TaskID, number int64, at time.Duration, how batch.How) {
	x := f.c.jobs[id.Job].find(id)
	life := x.life
	f.c.Report(Report{Node: x.node, Asked: at, Heard: at, Runs: &batch.Runs{Life: life, ClockMS: at.Milliseconds(),
		Ended: []batch.EndedTask{{Number: number, Task: id, Run: x.run, How: how}}}}, f.wall)
}

// A start whose first try was not answered may have been carried out and have ended well: when the second try is refused
// as stale, the task must wait for the worker's list (seeds 922 and 1134 of the first version started it twice).
func TestStaleStartWaitsForTheWorkersList(t *testing.T) {
	f := newFixture(t, "a", "b")
	f.submit("00000000000000e1", 1, 0, batch.Step{Count: 1, Estimate: time.Second, Need: batch.Resources{Accelerators: 1}})
	id := batch.TaskID{Job: "00000000000000e1"}
	f.c.Tick(0, f.wall)
	b, err := f.c.Take(changesPerWrite)
	if err != nil || b == nil {
		t.Fatal(b, err)
	}
	start := f.c.Committed(b, 1, 0)[0]
	f.c.Answered(start, batch.Unknown, "", 400*time.Millisecond)
	f.c.Answered(start, batch.Stale, "", 500*time.Millisecond)
	for _, o := range f.settle(600 * time.Millisecond) {
		if o.Kind == OrderStart && o.Run != start.Run {
			t.Fatalf("run %d starts before the list of %s was read", o.Run, start.Node)
		}
	}
	f.end(id, 1, 700*time.Millisecond, batch.EndDone)
	if state := stateOf(f.c, id.Job); state != batch.Completed {
		t.Fatalf("state %s, want completed", state)
	}
}

// A task that its leader assigned, and whose job was cancelled before the order is known to have been sent, is stopped by
// the next leader and not started (seed 117 of the first version).
func TestNextLeaderStopsWhatWasCancelled(t *testing.T) {
	f := newFixture(t, "a")
	f.submit("00000000000000e2", 1, 0, batch.Step{Count: 1, Estimate: time.Second, Need: batch.Resources{Accelerators: 1}})
	f.settle(0)
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
	for _, o := range next.settle(time.Second) {
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
		for _, o := range f.settle(at) {
			if o.Kind == OrderStart {
				starts++
			}
		}
		if x := f.c.jobs[id.Job].find(id); x.phase == assigned {
			f.end(id, int64(n+1), at+500*time.Millisecond, batch.EndFailed)
		}
	}
	if want := simQueue(1).MaxAttempts; starts != want {
		t.Errorf("%d starts, want %d", starts, want)
	}
	if state := stateOf(f.c, id.Job); state != batch.Failed {
		t.Errorf("state %s, want failed", state)
	}
}

// A worker that starts again under its id cannot tell an order that was meant for its life before. What such an order
// started is found in the first list that was asked for under the new fence; only what is not there is lost. The first
// version started it elsewhere at once, beside the run (soak seeds 10, 19 and 27).
func TestOrderCarriedOutByTheNextLifeIsAdopted(t *testing.T) {
	f := newFixture(t, "a", "b")
	f.submit("00000000000000c5", 1, 0, batch.Step{Count: 2, Estimate: time.Second, Need: batch.Resources{Accelerators: 1}})
	f.settle(0)
	ids := []batch.TaskID{{Job: "00000000000000c5"}, {Job: "00000000000000c5", Index: 1}}
	node := f.c.jobs[ids[0].Job].find(ids[0]).node
	before := f.c.Epoch(node)
	life := batch.Life{ID: node, Born: 2}
	report := func(asked, heard time.Duration, running ...batch.RunningTask) {
		f.c.Report(Report{Node: node, Asked: asked, Heard: heard, Worker: &batch.Worker{Life: life, Service: "s", Rack: "r",
			Capacity: batch.Resources{MilliCPU: 32000, MemoryMB: 64000, Accelerators: 8}, Sequence: heard.Milliseconds()},
			Runs: &batch.Runs{Life: life, ClockMS: 1, Running: running}}, f.wall)
	}
	report(time.Second, 1010*time.Millisecond) // asked under the fence of the life before
	if orders := f.settle(1020 * time.Millisecond); len(orders) != 0 {
		t.Fatalf("orders %+v before the new life was fenced", orders)
	}
	if f.c.Epoch(node) != before+1 {
		t.Errorf("epoch %d, want %d", f.c.Epoch(node), before+1)
	}
	report(1100*time.Millisecond, 1110*time.Millisecond, batch.RunningTask{Task: ids[0], Run: 1, Percent: 5})
	orders := f.settle(1120 * time.Millisecond)
	if len(orders) != 1 || orders[0].Kind != OrderStart || orders[0].Task != ids[1] || orders[0].Run != 2 {
		t.Fatalf("orders %+v, want a second run of %v only", orders, ids[1])
	}
	if x := f.c.jobs[ids[0].Job].find(ids[0]); x.life != life || x.run != 1 {
		t.Errorf("%v is run %d on %v", ids[0], x.run, x.life)
	}
}

// Room for urgent jobs, reservations and waiting for data must not keep a job from idle workers for three seconds (LOST on
// baltoptika-mc, scale-2 seed 818915219767): the job had nothing running, and half of the workers were free.
func TestJobStartsWhileTheFleetIsIdle(t *testing.T) {
	one := batch.Step{Count: 1, Estimate: 30 * time.Second, Need: batch.Resources{Accelerators: 1}}
	faraway := one
	faraway.DataRack = "another"
	cases := map[string]struct {
		step  batch.Step
		setUp func(*fixture)
	}{
		"room is kept for urgent jobs": {one, func(f *fixture) {
			f.submit("00000000000000d1", 0, 0, batch.Step{Count: 2, Estimate: time.Millisecond, Need: batch.Resources{Accelerators: 8}})
			f.c.finish(f.c.jobs["00000000000000d1"], batch.Cancelled, 0, f.wall)
		}},
		"a gang has reserved all workers": {one, func(f *fixture) {
			f.submit("00000000000000d2", 1, 0, batch.Step{Count: 1, Estimate: time.Second, Need: batch.Resources{Accelerators: 8}})
			f.settle(0)
			f.submit("00000000000000d3", 1, 0, batch.Step{Count: 4, Gang: true, Estimate: time.Second, Need: batch.Resources{Accelerators: 8}})
		}},
		"the rack of the data is full": {faraway, func(f *fixture) {
			f.c.Report(Report{Node: "e", Worker: &batch.Worker{Life: batch.Life{ID: "e", Born: 1}, Service: "s", Rack: "another",
				Capacity: batch.Resources{Accelerators: 1}, Sequence: 1}, Runs: &batch.Runs{Life: batch.Life{ID: "e", Born: 1}}}, f.wall)
			f.submit("00000000000000d4", 1, 0, faraway)
			f.settle(0)
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
					f.report(node, at, f.c.listed(node, 1+int(at/(100*time.Millisecond)))...)
				}
				for _, o := range f.settle(at) {
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

// listed returns what a worker that runs all its tasks reports.
func (c *Core) listed(node string, percent int) []batch.RunningTask {
	var runs []batch.RunningTask
	for _, t := range c.workers[node].sorted() {
		runs = append(runs, batch.RunningTask{Task: t.id, Run: t.run, Percent: percent})
	}
	return runs
}

// A plan remembers which shapes do not fit any more. It must come to the same assignments as one that looks each unit up.
func TestPlanSkipsOnlyWhatDoesNotFit(t *testing.T) {
	for seed := range uint64(300) {
		cells := [2]*fixture{}
		for i := range cells {
			rng := rand.New(rand.NewPCG(seed, 9))
			f := newFixture(t, "a", "b", "c", "d", "e", "f")
			for round := range 3 { // later rounds meet occupied workers and claims
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
				f.c.dropClaims(now)
				p := f.c.newPlanner(now)
				p.spareRoom = f.c.urgent.headroom()
				for _, cl := range f.c.claims {
					p.keepClaim(cl)
				}
				for _, u := range f.c.units(now) {
					clear(p.full)
					clear(p.near)
					p.place(u)
				}
			}
			cells[i] = f
		}
		for id, j := range cells[0].c.jobs {
			if got, want := describe(j), describe(cells[1].c.jobs[id]); got != want {
				t.Fatalf("seed %d: %s, without the memory %s", seed, got, want)
			}
		}
	}
}

// Reports are most of what a leader receives. Workers without tasks, or with long ones, report less often; those whose
// orders or ends are open do not.
func TestWorkersReportAsOftenAsTheirTasksNeed(t *testing.T) {
	f := newFixture(t, "a", "b", "c", "d")
	f.submit("0000000000000001", 1, 0, batch.Step{Count: 1, Estimate: time.Second, Need: batch.Resources{Accelerators: 8}})
	f.submit("0000000000000002", 1, 0, batch.Step{Count: 1, Estimate: time.Hour, Need: batch.Resources{Accelerators: 8}})
	f.submit("0000000000000003", 1, 0, batch.Step{Count: 1, Estimate: time.Hour, Need: batch.Resources{Accelerators: 8}})
	f.settle(0)
	on := func(id string) string { return f.c.jobs[id].find(batch.TaskID{Job: id}).node }
	f.c.Cancel("0000000000000003", 0, f.wall)
	for node, want := range map[string]time.Duration{on("0000000000000001"): reportPause, on("0000000000000002"): reportPauseMax,
		on("0000000000000003"): reportPause, "d": reportPauseMax} {
		if got := f.c.ReportPause(node); got != want {
			t.Errorf("%s reports after %v, want %v", node, got, want)
		}
	}
	task := batch.TaskID{Job: "0000000000000002"}
	node := on(task.Job)
	f.end(task, 1, time.Second, batch.EndDone)
	if got := f.c.ReportPause(node); got != reportPause {
		t.Errorf("with an end that it was not told to forget a worker reports after %v", got)
	}
}

// Urgent work beyond its team's guarantee waits half a second for a task that is about to end, instead of throwing its work
// away, and no longer than that: tasks that are overdue always seem to end soon.
func TestBorrowedRoomIsWaitedForBeforeWorkIsStopped(t *testing.T) {
	f := newFixture(t, "a")
	eight := batch.Step{Count: 1, Estimate: time.Second, Need: batch.Resources{Accelerators: 8}}
	f.submit("0000000000000001", 2, 0, eight)
	f.settle(0)
	running := batch.RunningTask{Task: batch.TaskID{Job: "0000000000000001"}, Run: 1, Percent: 70}
	f.report("a", 700*time.Millisecond, running)
	f.wall = f.wall.Add(700 * time.Millisecond)
	eight.Estimate = 3 * time.Second // worth more than what it stops
	f.submit("0000000000000002", 0, 700*time.Millisecond, eight)
	if orders := f.settle(700 * time.Millisecond); len(orders) != 0 {
		t.Fatalf("orders %+v while the task is about to end", orders)
	}
	running.Percent = 99
	stopped := time.Duration(0)
	for at := 750 * time.Millisecond; at < 2*time.Second && stopped == 0; at += 50 * time.Millisecond {
		f.report("a", at, running)
		for _, o := range f.settle(at) {
			if o.Kind == OrderStop {
				stopped = at
			}
		}
	}
	if late := 700*time.Millisecond + borrowPatience + planInterval; stopped == 0 || stopped > late {
		t.Errorf("stopped at %v, want until %v", stopped, late)
	}
}
