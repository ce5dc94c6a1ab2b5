package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"masticcart.example/masticcart/internal/batch"
	"masticcart.example/masticcart/internal/rulecheck"
)

const refusedJob = "00000000000000e7"

// refuse plans and commits at a time, has the given workers refuse the starts that are sent, and the others accept them. Runs
// that are stopped end at once. It returns the starts by worker.
func (f *fixture) refuse(at time.Duration, v batch.Verdict, nodes ...string) map[string]int {
	f.t.Helper()
	f.c.Tick(at, f.wall)
	orders := f.c.DrainOrders()
	for {
		b, err := f.c.NextBatch(maxChangesPerTxn)
		if err != nil {
			f.t.Fatal(err)
		}
		if b == nil {
			break
		}
		for _, change := range b.Changes {
			f.records[change.Job] = change.Record
		}
		orders = append(orders, f.c.ApplyCommit(b, 1, at)...)
	}
	if len(orders) > 0 { // plan once more before they are answered
		f.c.planNeeded = true
		f.c.Tick(at+time.Millisecond, f.wall)
	}
	starts := map[string]int{}
	for i, o := range orders {
		if o.Kind != OrderStart {
			f.endRun(o.Task, at.Milliseconds()*100+int64(i), at, batch.OutcomeStopped)
			continue
		}
		starts[o.Node]++
		if slices.Contains(nodes, o.Node) {
			f.c.ApplyVerdict(o, v, "status 503", at)
		} else {
			f.c.ApplyVerdict(o, batch.VerdictAccepted, "", at)
		}
	}
	return starts
}

// tightenFixture returns a fixture with three workers of which a is the tightest fit for each task.
func tightenFixture(t *testing.T) *fixture {
	f := newFixture(t, "a", "b", "c")
	f.accelerators["a"] = 4
	f.report("a", 0)
	return f
}

// Guards against a task that goes to the same worker again after each refusal while others are idle (review/14): it had
// nothing running for as long as the worker refused. The same with a gang of which one member is refused.
func TestRefusedTaskGoesToAnotherWorker(t *testing.T) {
	for _, v := range []batch.Verdict{batch.VerdictRefused, batch.VerdictNoCapacity, batch.VerdictUnknown} {
		for _, step := range []batch.Step{{Count: 1}, {Count: 3, Gang: true}} {
			f := tightenFixture(t)
			step.Estimate, step.Need = time.Minute, batch.Resources{Accelerators: 4}
			const submitted = time.Second
			f.submit(refusedJob, 1, submitted, step)
			refused := 0
			at := submitted
			for ; at < submitted+10*time.Second && !f.c.jobs[refusedJob].running(); at += 50 * time.Millisecond {
				refused += f.refuse(at, v, "a")["a"]
				if at%(400*time.Millisecond) == 0 {
					f.reportEverywhere(at)
				}
			}
			if refused == 0 {
				t.Fatal("nothing was sent to the tightest worker")
			}
			// An unanswered start is sent again for half of the time that a gang waits, as it may have been carried out.
			if limit := map[bool]time.Duration{true: 3 * time.Second, false: time.Second}[v == batch.VerdictUnknown]; at-submitted > limit {
				t.Errorf("%s, gang %v: runs after %v and %d refusals, want at most %v", v, step.Gang, at-submitted, refused, limit)
			}
		}
	}
}

// Guards against each new job that is delayed by a worker that refuses its start, with others idle.
func TestTasksPreferWorkersThatTakeStarts(t *testing.T) {
	f := tightenFixture(t)
	need := batch.Resources{Accelerators: 4}
	f.submit(refusedJob, 1, 0, batch.Step{Count: 1, Estimate: time.Minute, Need: need})
	f.refuse(0, batch.VerdictRefused, "a")
	f.reportEverywhere(time.Second)
	f.submit("00000000000000e8", 1, time.Second, batch.Step{Count: 1, Estimate: time.Minute, Need: need})
	if starts := f.refuse(time.Second, batch.VerdictRefused, "a"); starts["a"] != 0 || len(starts) == 0 {
		t.Errorf("starts %v, want them on the workers that have not refused one", starts)
	}
}

// Guards against a worker that is shunned for good, or asked without a pause, because it refuses starts: it may be the only
// one that fits, and the refusals are no attempts of the task.
func TestOnlyWorkerIsTriedAgainAfterRefusals(t *testing.T) {
	const recovered = 6500 * time.Millisecond
	f := newFixture(t, "a")
	f.submit(refusedJob, 1, 0, batch.Step{Count: 1, Estimate: time.Minute, Need: batch.Resources{Accelerators: 4}})
	refused := 0
	for at := time.Duration(0); at < recovered; at += 50 * time.Millisecond {
		refused += f.refuse(at, batch.VerdictRefused, "a")["a"]
		f.reportEverywhere(at)
	}
	if refused < 4 || refused > 8 {
		t.Errorf("%d starts in %v, want some at growing intervals", refused, recovered)
	}
	at := recovered
	for ; at < recovered+10*time.Second && !f.c.jobs[refusedJob].running(); at += 50 * time.Millisecond {
		f.refuse(at, batch.VerdictRefused)
		f.reportEverywhere(at)
	}
	if at > recovered+2500*time.Millisecond {
		t.Errorf("runs %v after the worker has recovered", at-recovered)
	}
	if x := f.c.jobs[refusedJob].findTask(batch.TaskID{Job: refusedJob}); x.failures != 0 {
		t.Errorf("%d failures, want refusals not to count", x.failures)
	}
}

// Guards against several tasks that are sent at the same time to a worker that has refused the last start.
func TestRefusingWorkerIsTriedWithOneTask(t *testing.T) {
	f := newFixture(t, "a")
	f.submit(refusedJob, 1, 0, batch.Step{Count: 4, Estimate: time.Minute, Need: batch.Resources{Accelerators: 1}})
	if n := f.refuse(0, batch.VerdictRefused, "a")["a"]; n != 4 {
		t.Fatalf("%d starts, want all four", n)
	}
	f.report("a", time.Second)
	if n := f.refuse(time.Second, batch.VerdictRefused, "a")["a"]; n != 1 {
		t.Errorf("%d starts on a worker that has refused the last one, want one", n)
	}
}

// Guards against a job that waits for the worker near its data while that refuses each start, with idle workers elsewhere.
// Each attempt began the wait anew.
func TestRefusalsDoNotProlongTheWaitForTheData(t *testing.T) {
	f := newFixture(t, "a", "b")
	f.racks = map[string]string{"b": "r2"}
	f.report("b", time.Millisecond)
	f.submit(refusedJob, 1, 0, batch.Step{Count: 1, Estimate: time.Minute, DataRack: fixtureRack,
		Need: batch.Resources{Accelerators: 2}})
	at := time.Duration(0)
	for ; at < 20*time.Second && !f.c.jobs[refusedJob].running(); at += 50 * time.Millisecond {
		f.refuse(at, batch.VerdictRefused, "a")
		f.reportEverywhere(at)
	}
	if at > 3*time.Second {
		t.Errorf("runs after %v, want at most 3 s", at)
	}
}

// Guards against work that is stopped to make room on a worker that refuses starts.
func TestNothingIsPreemptedOnRefusingWorkers(t *testing.T) {
	for _, refusing := range []bool{false, true} {
		f := newFixture(t, "a")
		full := batch.Resources{Accelerators: fixtureAccelerators}
		f.submit("00000000000000e8", 2, time.Second, batch.Step{Count: 1, Estimate: time.Minute, Need: full})
		f.planAndCommit(time.Second)
		at := 2 * time.Second
		if refusing {
			f.c.workers["a"].refusals.Refuse(at - 500*time.Millisecond)
		}
		f.reportAll(at, 1, "a")
		f.submit(refusedJob, 0, at, batch.Step{Count: 1, Estimate: 2 * time.Second, Need: full})
		stops := 0
		for _, o := range f.planAndCommit(at) {
			if o.Kind == OrderStop {
				stops++
			}
		}
		if want := map[bool]int{false: 1, true: 0}[refusing]; stops != want {
			t.Errorf("refusing %v: %d stops, want %d", refusing, stops, want)
		}
	}
}

// Guards against a leader that begins anew with workers that have refused the starts of the previous one. The agents report
// what they have seen.
func TestNextLeaderKnowsOfRefusals(t *testing.T) {
	f := tightenFixture(t)
	f.submit(refusedJob, 1, 0, batch.Step{Count: 1, Estimate: time.Minute, Need: batch.Resources{Accelerators: 4}})
	if f.refuse(0, batch.VerdictRefused, "a")["a"] != 1 {
		t.Fatal("nothing was sent to the tightest worker")
	}
	f.refuse(50*time.Millisecond, batch.VerdictRefused) // records that the run has ended
	summary, refusing := f.c.workers["a"].refusals.Summary(100 * time.Millisecond)
	if !refusing {
		t.Fatal("the refusal was not noted")
	}
	at := 100 * time.Millisecond
	f.takeOver(at, nil)
	incarnation := batch.Incarnation{ID: "a", StartedMS: 1}
	f.c.ApplyReport(Report{Node: "a", SentAt: at, ReceivedAt: at, Refusals: &summary, Worker: &batch.Worker{Incarnation: incarnation,
		Service: "s", Rack: "r", Capacity: batch.Resources{MilliCPU: 32000, MemoryMB: 64000, Accelerators: 4}, Sequence: 1},
		Runs: &batch.Runs{Incarnation: incarnation, ClockMS: at.Milliseconds()}}, f.wall)
	f.report("b", at)
	starts := f.refuse(at, batch.VerdictRefused, "a")
	if starts["a"] != 0 || starts["b"] != 1 {
		t.Errorf("starts %v, want one on b only", starts)
	}
	f.incarnations["a"] = 1 // the next incarnation is not held responsible
	f.report("a", 200*time.Millisecond)
	if f.c.workers["a"].refusals.Refusing(200 * time.Millisecond) {
		t.Error("the refusals of an incarnation are held against the next one")
	}
}

// maxStall is the time for which a job may have nothing running while there is room for it on sound workers.
const maxStall = 3 * time.Second

// watchStalls reports jobs that have had nothing running for maxStall while their next tasks fit twice into sound workers and
// under half of the capacity of these is in use.
func (s *sim) watchStalls() {
	since := map[string]time.Duration{}
	var watch func()
	watch = func() {
		for id, j := range s.jobs {
			if _, seen := since[id]; !seen || !s.stalled(j) || s.core == nil || s.now-s.termAt < time.Second {
				since[id] = s.now
			} else if s.now-since[id] > maxStall {
				s.checker.AddViolation(s.now, "LOST: job %s has had nothing running for %v", id, s.now-since[id])
			}
		}
		s.after(50*time.Millisecond, watch)
	}
	watch()
}

// stalled reports whether a job has nothing running although there is room for it on sound workers.
func (s *sim) stalled(j batch.Job) bool {
	if _, ok := s.cancelled[j.ID]; ok {
		return false
	}
	done := make([]bool, len(j.Steps))
	var next *batch.Step
	for i := range j.Steps {
		done[i] = true
		for n := range j.Steps[i].Count {
			done[i] = done[i] && s.checker.IsTaskCompleted(batch.TaskID{Job: j.ID, Step: i, Index: n}, s.now)
		}
		if !done[i] && next == nil && !slices.ContainsFunc(j.Steps[i].After, func(a int) bool { return !done[a] }) {
			next = &j.Steps[i]
		}
	}
	fits, used, total := 0, 0, 0
	for _, w := range s.workers {
		inUse := 0
		for id := range w.runs {
			if id.Job == j.ID {
				return false
			}
			inUse += s.step(id).Need.Accelerators
		}
		if s.now >= w.refusesUntil && next != nil {
			used, total = used+inUse, total+w.capacity
			fits += (w.capacity - inUse) / next.Need.Accelerators
		}
	}
	if next == nil {
		return false
	}
	n := 2
	if next.Gang {
		n = 2 * next.Count
	}
	return fits >= n && 2*used < total
}

// Guards against jobs that stand still while workers refuse their starts: workers refuse all starts for some seconds, one
// after the other and together, and the leader changes meanwhile.
func TestJobsDoNotStallWhileWorkersRefuseStarts(t *testing.T) {
	for _, seed := range seeds() {
		s := newSim(t, seed, 6)
		s.watchStalls()
		for n := range 16 {
			s.after(s.between(0, 30*time.Second), func() { s.submit(s.randomJob(n)) })
		}
		for range 4 {
			w := s.workers[s.rng.IntN(len(s.workers))]
			s.after(s.between(0, 30*time.Second), func() {
				w.refusesUntil = s.now + s.between(time.Second, 12*time.Second)
			})
		}
		s.after(s.between(time.Second, 30*time.Second), s.replaceLeader)
		s.advance(75 * time.Second)
		var open []string
		for id := range s.jobs {
			if state := jobState(s.core, id); state != batch.Completed {
				open = append(open, fmt.Sprint(id, " ", state))
			}
		}
		slices.Sort(open)
		if len(open) > 0 && len(s.checker.Violations()) == 0 {
			t.Errorf("seed %d: LOST: %v", seed, open)
		}
		reportViolations(t, seed, s.checker)
	}
}

func reportViolations(t *testing.T, seed uint64, c *rulecheck.Checker) {
	t.Helper()
	for _, v := range c.Violations() {
		t.Errorf("seed %d: %s", seed, v)
	}
}
