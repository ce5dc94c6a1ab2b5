package scheduler

import (
	"testing"
	"time"

	"masticcart.example/masticcart/internal/batch"
)

// scarcityFixture returns full workers, each with a run of its own job of priority 2 that has run for ten seconds.
func scarcityFixture(t *testing.T, step batch.Step, nodes ...string) *fixture {
	f := newFixture(t, nodes...)
	for i := range nodes {
		f.submit("00000000000000d"+string(rune('0'+i)), 2, 0, step)
	}
	f.planAndCommit(0)
	f.reportAll(10*time.Second, 10, nodes...)
	return f
}

// stopsAt plans and returns the number of stops.
func (f *fixture) stopsAt(at time.Duration) int {
	n := 0
	for _, o := range f.planAndCommit(at) {
		if o.Kind == OrderStop {
			n++
		}
	}
	return n
}

const scarceJob = "00000000000000e1"

// Guards against stops for work that is of little use by then, and against loss of work for other than urgent work:
// only the time to restore a checkpoint may be lost for it.
func TestStopsOnlyWhatIsWorthwhile(t *testing.T) {
	whole := batch.Resources{Accelerators: 8}
	long := batch.Step{Count: 1, Estimate: 100 * time.Second, Need: whole}
	saved := long
	saved.Checkpoints = true
	gang := batch.Step{Count: 2, Gang: true, Estimate: 20 * time.Second, Need: whole}
	for name, c := range map[string]struct {
		running  batch.Step
		priority int
		accepted time.Duration
		want     int
	}{
		"an urgent gang in time":         {long, 0, 10 * time.Second, 2},
		"an urgent gang past its limit":  {long, 0, -200 * time.Second, 0},
		"a gang beside checkpoints":      {saved, 1, 10 * time.Second, 2},
		"a gang beside other work":       {long, 1, 10 * time.Second, 0},
		"a late gang beside checkpoints": {saved, 1, -60 * time.Second, 0},
	} {
		t.Run(name, func(t *testing.T) {
			f := scarcityFixture(t, c.running, "a", "b")
			now := 10 * time.Second
			b := batch.Job{ID: scarceJob, Queue: simQueue(c.priority), AcceptedAt: f.wall.Add(c.accepted), Steps: []batch.Step{gang}}
			if err := f.c.AddJob(b, nil, 0, now, f.wall.Add(now)); err != nil {
				t.Fatal(err)
			}
			if got := f.stopsAt(now); got != c.want {
				t.Errorf("%d stops, want %d", got, c.want)
			}
		})
	}
}

// Guards against stops on other workers while the members of a gang that was stopped for one slot leave room for the
// next, and against a count of stops that other members of the gang or the next leader do not know: the gang would be
// stopped again and again. The team that yields must be visible.
func TestGangIsStoppedOnceAndSpared(t *testing.T) {
	f := newFixture(t, "a", "b", "c", "d")
	need := batch.Resources{Accelerators: 8}
	f.submit("00000000000000d1", 2, 0, batch.Step{Count: 2, Gang: true, Estimate: 100 * time.Second, Need: need})
	f.c.jobs["00000000000000d1"].Team = "yields"
	f.planAndCommit(0)
	f.submit("00000000000000d2", 2, 0, batch.Step{Count: 2, Estimate: 100 * time.Second, Need: need})
	f.reportAll(0, 0, f.nodes...)
	now := time.Second
	f.planAndCommit(now)
	f.c.jobs["00000000000000d2"].forEachTask(func(x *task) { x.startedAt = -time.Minute }) // more work would be lost
	f.reportAll(now, 1, f.nodes...)
	now += 100 * time.Millisecond
	f.submit(scarceJob, 0, now, batch.Step{Count: 2, Gang: true, Estimate: 20 * time.Second, Need: need})
	if got := f.stopsAt(now); got != 2 {
		t.Fatalf("%d stops, want those of the two members", got)
	}
	for _, x := range f.c.jobs["00000000000000d1"].occurrences[0].steps[0].tasks {
		if x.phase != stopping || x.preemptions != 1 {
			t.Errorf("%v: phase %d, %d preemptions", x.id, x.phase, x.preemptions)
		}
		f.endRun(x.id, 1, now+200*time.Millisecond, batch.OutcomeStopped)
	}
	if want := 2 * 1.3 * need.CoreEquivalents(); f.c.YieldedWork()["yields"] < want-1 {
		t.Errorf("yielded %v, want %.0f", f.c.YieldedWork(), want)
	}
	f.planAndCommit(now + 300*time.Millisecond)
	f.takeOver(now+time.Second, nil)
	if n := f.c.jobs["00000000000000d1"].findTask(batch.TaskID{Job: "00000000000000d1", Index: 1}).preemptions; n != 1 {
		t.Errorf("%d preemptions are known to the next leader", n)
	}
}

// Guards against a claim that keeps its unit waiting until it times out, although a worker of it takes no new tasks any
// more.
func TestClaimOnALostWorkerIsRenewedAtOnce(t *testing.T) {
	f := scarcityFixture(t, batch.Step{Count: 1, Estimate: 100 * time.Second, Need: batch.Resources{Accelerators: 8}}, "a", "b")
	now := 10 * time.Second
	f.submit(scarceJob, 0, now, batch.Step{Count: 1, Estimate: 20 * time.Second, Need: batch.Resources{Accelerators: 8}})
	f.stopsAt(now)
	s := f.c.jobs[scarceJob].occurrences[0].steps[0]
	first := f.c.claims[s].nodes[0]
	f.c.ApplyReport(Report{Node: first, SentAt: now, ReceivedAt: now, WorkerDown: true}, f.wall)
	if got := f.stopsAt(now + 100*time.Millisecond); got != 1 || f.c.claims[s].nodes[0] == first {
		t.Errorf("%d stops, claim %v", got, f.c.claims[s])
	}
}
