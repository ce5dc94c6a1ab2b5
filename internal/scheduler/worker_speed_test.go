package scheduler

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"masticcart.example/masticcart/internal/batch"
	"masticcart.example/masticcart/internal/relay"
	"masticcart.example/masticcart/internal/scheduler/speed"
)

const speedJob = "00000000000000f1"

// learnSpeeds gives the core observations of many runs, in which the slow nodes take 2.4 times as long as the others.
func (f *fixture) learnSpeeds(slow ...string) {
	f.t.Helper()
	rates := map[string]float64{}
	for _, n := range f.nodes {
		rates[n] = 60
	}
	for _, n := range slow {
		rates[n] = 25
	}
	for i := range 20 {
		for _, n := range f.nodes {
			f.c.speeds("s").Observe(n, fmt.Sprint("g", i), rates[n], 100, time.Second)
		}
	}
	for _, n := range slow {
		if class := f.c.speedClass(f.c.workers[n]); class != speed.Slow {
			f.t.Fatalf("%s is %s", n, class)
		}
	}
}

// reportProgress reports the runs of all nodes, which advance at the given rates in percent per second since start.
func (f *fixture) reportProgress(start, at time.Duration, rates map[string]float64) {
	for _, n := range f.nodes {
		percent := int(rates[n] * (at - start).Seconds())
		f.report(n, at, f.c.reportedRuns(n, min(percent, 99))...)
	}
}

// Guards against slow workers that are not recognized, or only after their runs, with the reports that agents send.
func TestSpeedIsLearnedFromReports(t *testing.T) {
	for _, gang := range []bool{false, true} {
		f := newFixture(t, "a", "b", "c", "d", "e", "g")
		rates := map[string]float64{"a": 60, "b": 60, "c": 60, "d": 60, "e": 25, "g": 25}
		for i := range 2 {
			f.submit(fmt.Sprint(speedJob[1:], i), 0, 0, batch.Step{Count: 6, Gang: gang, Estimate: 2 * time.Second,
				Need: batch.Resources{Accelerators: 4}, MaxPerWorker: 1})
		}
		f.planAndCommit(0)
		for at := 400 * time.Millisecond; at <= 1200*time.Millisecond; at += 400 * time.Millisecond {
			f.reportProgress(0, at, rates)
		}
		for _, n := range f.nodes {
			e := f.c.speeds("s").Estimate(n)
			if slow := rates[n] == 25; (f.c.speedClass(f.c.workers[n]) == speed.Slow) != slow {
				t.Errorf("gang %v: %s is %s with %+v", gang, n, f.c.speedClass(f.c.workers[n]), e)
			}
		}
	}
}

// Guards against a new leader that starts without estimates, against estimates of an earlier incarnation, and against
// implausible values from an agent.
func TestSpeedIsKeptAcrossATakeover(t *testing.T) {
	f := newFixture(t, "a", "b", "c", "d")
	f.learnSpeeds("d")
	kept := map[string]*relay.Speed{}
	for _, n := range f.nodes {
		kept[n] = f.c.SpeedForAgent(n)
	}
	f.takeOver(2*time.Second, nil)
	report := func(n string, s *relay.Speed) {
		f.c.ApplyReport(Report{Node: n, SentAt: 2 * time.Second, ReceivedAt: 2 * time.Second, Speed: s,
			Worker: &batch.Worker{Incarnation: batch.Incarnation{ID: n, StartedMS: 1 + f.incarnations[n]}, Service: "s"},
			Runs:   &batch.Runs{Incarnation: batch.Incarnation{ID: n, StartedMS: 1 + f.incarnations[n]}}}, f.wall)
	}
	f.incarnations["b"]++
	kept["c"] = &relay.Speed{Incarnation: kept["c"].Incarnation, Factor: 1e9, Confidence: 1}
	for _, n := range f.nodes {
		report(n, kept[n])
	}
	for n, known := range map[string]bool{"a": true, "b": false, "c": false, "d": true} {
		if e := f.c.speeds("s").Estimate(n); (e.Confidence > 0.5) != known {
			t.Errorf("%s has %+v after the takeover, want known %v", n, e, known)
		}
	}
	if e := f.c.speeds("s").Estimate("d"); e.Factor < 1.3 {
		t.Errorf("slow worker has %+v after the takeover", e)
	}
	f.incarnations["d"]++
	report("d", nil)
	if e := f.c.speeds("s").Estimate("d"); e.Confidence != 0 {
		t.Errorf("the next incarnation has %+v", e)
	}
}

// Guards against healthy runs on slow workers that are stopped as stragglers, and against a fault of a worker that
// passes as its normal speed.
func TestRunOnASlowWorkerIsComparedWithWhatIsExpectedThere(t *testing.T) {
	for rate, moved := range map[float64]bool{13: false, 5: true} {
		f := newFixture(t, "a", "b", "c", "d", "e", "g")
		f.learnSpeeds("d")
		f.submit(speedJob, 2, time.Second, batch.Step{Count: 6, Estimate: 2 * time.Second, MaxPerWorker: 1,
			Need: batch.Resources{Accelerators: 8}})
		start := time.Second
		f.planAndCommit(start)
		rates := map[string]float64{"a": 48, "b": 48, "c": 48, "d": rate, "e": 48, "g": 48} // 48/13 is above slowFactor
		for at := start + 400*time.Millisecond; at <= start+1600*time.Millisecond; at += 400 * time.Millisecond {
			f.reportProgress(start, at, rates)
		}
		if got := f.c.stats.Moved > 0; got != moved {
			t.Errorf("run that does %v percent a second: moved %v, want %v", rate, got, moved)
		}
	}
}

// Guards against tight work on slow workers, gangs that are as slow as one of their workers, and fast workers that are
// taken by work that could wait. Where workers are alike, the placement is that of the tightest fit.
func TestPlacementBySpeed(t *testing.T) {
	nodes := []string{"a", "b", "c", "d", "e", "g"}
	gang := func(count int) batch.Step {
		return batch.Step{Count: count, Gang: true, Estimate: 2 * time.Second, Need: batch.Resources{Accelerators: 8}}
	}
	single := batch.Step{Count: 1, Estimate: 2 * time.Second, Need: batch.Resources{Accelerators: 1}}
	for name, test := range map[string]struct {
		priority int
		step     batch.Step
		slow     []string
		want     map[string]bool
	}{
		"tight task":           {0, single, []string{"a", "b"}, map[string]bool{"c": true}},
		"tight gang":           {0, gang(4), []string{"a", "b"}, map[string]bool{"c": true, "d": true, "e": true, "g": true}},
		"task with slack":      {2, single, []string{"e", "g"}, map[string]bool{"e": true}},
		"gang with slack":      {2, gang(2), []string{"e", "g"}, map[string]bool{"e": true, "g": true}},
		"gang above slow ones": {2, gang(3), []string{"e", "g"}, map[string]bool{"a": true, "b": true, "c": true}},
		"equal workers":        {2, single, nil, map[string]bool{"a": true}},
	} {
		f := newFixture(t, nodes...)
		f.learnSpeeds(test.slow...)
		for _, n := range nodes {
			f.report(n, time.Second)
		}
		tight, loose := simQueue(0), simQueue(2)
		tight.SlackFactor, loose.SlackFactor = 1.5, 6
		f.c.SetCatalog(&batch.Catalog{Version: 2, Queues: []batch.Queue{tight, simQueue(1), loose}})
		f.submit(speedJob, test.priority, time.Second, test.step)
		started := startedOn(f.planAndCommit(time.Second))
		for n := range started {
			if !test.want[n] {
				t.Errorf("%s: started on %v, want %v", name, started, test.want)
			}
		}
		if len(started) != len(test.want) {
			t.Errorf("%s: started on %v, want %v", name, started, test.want)
		}
	}
}

// Guards against operators who cannot see which workers are slow.
func TestSpeedIsShown(t *testing.T) {
	f := newFixture(t, "a", "b", "c", "d")
	f.learnSpeeds("d")
	f.submit(speedJob, 2, time.Second, batch.Step{Count: 1, Estimate: 2 * time.Second, Need: batch.Resources{Accelerators: 1}})
	f.report("d", time.Second)
	f.planAndCommit(time.Second)
	if e, _ := f.c.Explain(speedJob, time.Second); len(e.Tasks) != 1 || !strings.HasPrefix(e.Tasks[0].Speed, "slow: 1") {
		t.Errorf("explained as %+v", e.Tasks)
	}
	_, workers := f.c.View(time.Second, f.wall)
	if a, d := workers[0].Speed, workers[3].Speed; a == 0 || d < 2*a {
		t.Errorf("speed of a %d, of d %d", a, d)
	}
}
