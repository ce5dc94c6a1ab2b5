package scheduler

import (
	"testing"
	"time"

	"masticcart.example/masticcart/internal/batch"
)

// reportCold reports the runs of a worker that is cold for some more time.
func (f *fixture) reportCold(node string, at, coldFor time.Duration, percent int) {
	f.report(node, at, f.c.reportedRuns(node, percent)...)
	w := f.c.workers[node]
	info := *w.info
	info.ColdForMS, info.Sequence = coldFor.Milliseconds(), info.Sequence+1
	f.c.updateWorker(w, &info, at)
}

// TestRunsOnColdWorkersAreLimited guards against a data centre that is taken back and whose workers, empty and slow, get all
// the work at once.
func TestRunsOnColdWorkersAreLimited(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		overage, slack float64
		restarted      bool
		want           int
	}{
		"no limit":             {0, 0, false, 16},
		"mean and slack":       {1.5, 5, false, 11}, // 1.5 times a mean of 4, plus 5
		"slack only":           {0, 3, false, 3},
		"no longer cold":       {1.5, 5, true, 16},
		"fraction of a run":    {0.6, 0.5, false, 2}, // 2.9
		"more than it can run": {9, 9, false, 16},
	} {
		f := newFixture(t)
		f.nodes = []string{"w-1", "w-2", "w-3"}
		f.accelerators = map[string]int{"w-1": 4, "w-2": 4, "w-3": 16}
		f.c.config.ColdOverage, f.c.config.ColdSlack = c.overage, c.slack
		f.reportAll(0, 0, "w-1", "w-2")
		f.submit("00000000000000c1", 2, 0, batch.Step{Count: 8, Estimate: time.Hour, Need: batch.Resources{Accelerators: 1}})
		f.planAndCommit(0)
		at := time.Second
		f.reportAll(at, 0, "w-1", "w-2")
		f.c.worker("w-3", at)
		f.reportCold("w-3", at, 20*time.Second, 0)
		if c.restarted {
			f.reportCold("w-3", at, 0, 0)
		}
		f.submit("00000000000000c2", 2, at, batch.Step{Count: 20, Estimate: time.Hour, Need: batch.Resources{Accelerators: 1}})
		started := startedOn(f.planAndCommit(at))
		f.c.SetCatalog(f.c.catalog)
		more := startedOn(f.planAndCommit(at + planInterval))
		if n := started["w-3"] + more["w-3"]; n != c.want {
			t.Errorf("%s: %d runs on the cold worker, want %d", name, n, c.want)
		}
	}
}

// TestRunsOnColdWorkersAreNotJudged guards against runs that are stopped, workers that are quarantined, and expected
// durations that grow, because workers are slow after their start.
func TestRunsOnColdWorkersAreNotJudged(t *testing.T) {
	t.Parallel()
	for _, cold := range []bool{false, true} {
		f := newFixture(t, "a", "b", "c", "d")
		id := batch.TaskID{Job: "00000000000000c3"}
		f.submit(id.Job, 2, 0, batch.Step{Count: 4, Estimate: 10 * time.Second, Need: batch.Resources{Accelerators: 8}})
		f.planAndCommit(0)
		slow := f.c.jobs[id.Job].findTask(id).node
		coldFor := 30 * time.Second
		if !cold {
			coldFor = 0
		}
		stops := 0
		round := func(at, coldFor time.Duration, slowPercent int) {
			for _, node := range f.nodes {
				if node == slow {
					f.reportCold(node, at, coldFor, slowPercent)
				} else {
					f.report(node, at, f.c.reportedRuns(node, int(at/(250*time.Millisecond)))...)
				}
			}
			stops += len(f.planAndCommit(at)) // all tasks run, so any order is a stop
		}
		for at := time.Second; at <= 20*time.Second; at += 500 * time.Millisecond {
			round(at, max(0, coldFor-at), int(at/(3*time.Second)))
		}
		if quarantined := f.c.workers[slow].quarantinedUntil != 0; cold && (stops > 0 || quarantined) || !cold && stops == 0 {
			t.Errorf("cold %v: %d stops, quarantined %v", cold, stops, quarantined)
		}
		if !cold {
			continue
		}
		for at := coldFor; at <= 2*coldFor; at += 500 * time.Millisecond { // warm, and as fast as the others
			round(at, 0, int((at-coldFor)/(400*time.Millisecond)))
		}
		if stops > 0 {
			t.Errorf("%d stops after the worker was warm", stops)
		}
		f.endRun(id, 1, 2*coldFor, batch.OutcomeDone)
		if ratio := f.c.durationStats(simQueue(2).Name).ratio; ratio != 1 {
			t.Errorf("the expected duration is %v times the estimate after a run on a cold worker", ratio)
		}
	}
}
