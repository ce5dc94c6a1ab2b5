package faulttest_test

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"

	"masticcart.example/masticcart/internal/config"
	"masticcart.example/masticcart/internal/model"
)

// scenario is the random input of one run: the size of the cell and the steps. Seed determines the delays and losses.
type scenario struct {
	Seed      uint64
	Entries   int
	Workers   []int // units of each worker
	Executors []int // units of each executor
	Steps     []step
}

// step is one operation with its operands, which are reduced modulo the number of choices.
type step struct {
	Op      string
	A, B, C int
	Wait    time.Duration // time until the next step
}

// workloadOps lists the operations on jobs and on the configuration. One that is listed several times is drawn more
// often. "gang" submits a job that may need several workers, "claim" one that fits the guarantee of team a, "resend"
// submits an earlier job again, "wave" cancels the last 6 jobs, and "race" sends two configuration changes with the
// same base version.
var workloadOps = []string{
	"submit", "submit", "submit", "submit", "submit", "submit", "gang", "gang", "gang",
	"claim", "claim", "resend", "cancel", "cancel",
	"wave", "withdraw", "rule", "race", "guarantee", "advance", "advance", "advance",
}

// faultOps lists the operations that begin or end faults, weighted like workloadOps. "cut" partitions a link in both
// directions and "cut1" in one, "mend" restores links, "start" restarts processes that are down, "sluggish" delays the
// platform, "lossy" loses its answers to writes, "no-platform" partitions an entry from it, and "platform-ok" ends all
// faults of the platform.
var faultOps = []string{
	"cut", "cut", "cut1", "cut1", "slow", "duplicate",
	"mend", "mend", "mend", "crash-entry", "crash-entry", "crash-agent", "crash-agent", "crash-host",
	"start", "start", "pause-entry",
	"pause-agent", "pause-agent", "down", "sluggish", "lossy", "lossy", "platform-ok", "platform-ok", "no-platform",
	"failing", "lost-starts", "isolate",
	"leave-agent", "leave-entry",
}

func drawScenario(t *rapid.T) scenario {
	sc := scenario{
		Seed:      rapid.Uint64().Draw(t, "seed"),
		Entries:   rapid.IntRange(2, 3).Draw(t, "entries"),
		Workers:   rapid.SliceOfN(rapid.IntRange(4, 8), 3, 6).Draw(t, "workers"),
		Executors: rapid.SliceOfN(rapid.IntRange(1, 3), 1, 2).Draw(t, "executors"),
	}
	operations := workloadOps // some scenarios have no faults, so that the guarantees are checked throughout
	if rapid.IntRange(0, 4).Draw(t, "calm") > 0 {
		operations = slices.Concat(workloadOps, faultOps)
	}
	number := rapid.IntRange(0, 1000)
	wait := rapid.OneOf(rapid.IntRange(0, 50), rapid.IntRange(0, 3000), rapid.IntRange(0, 20000))
	sc.Steps = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
		return step{
			Op: rapid.SampledFrom(operations).Draw(t, "op"),
			A:  number.Draw(t, "a"), B: number.Draw(t, "b"), C: number.Draw(t, "c"),
			Wait: time.Duration(wait.Draw(t, "wait")) * time.Millisecond,
		}
	}), 20, 60).Draw(t, "steps")
	return sc
}

var scenarios = rapid.Custom(drawScenario)

// run runs the scenario and returns the first violation, or "".
func (sc scenario) run(trace func(format string, args ...any)) string {
	_, failure := sc.runWithCounts(trace)
	return failure
}

// runWithCounts is run that also returns the number of events of each kind.
func (sc scenario) runWithCounts(trace func(format string, args ...any)) (map[string]int, string) {
	tc := newTestCell(sc)
	if trace != nil {
		tc.trace = func(format string, args ...any) {
			trace("%10s "+format, append([]any{tc.now.Sub(epoch)}, args...)...)
		}
	}
	defer tc.close()
	tc.advance(5 * time.Second)
	for _, s := range sc.Steps {
		if tc.failure != "" {
			break
		}
		tc.applyStep(s)
		tc.advance(s.Wait)
	}
	tc.awaitQuiescence()
	return tc.oracle.counts, tc.failure
}

func (tc *testCell) applyStep(s step) {
	switch s.Op {
	case "submit", "gang", "claim":
		spec := tc.newJobSpec(s)
		tc.jobs = append(tc.jobs, spec)
		tc.submit(s.C, spec)
	case "rule":
		tc.changeConfig(s.A, config.AnyBase, func(*model.Config) error { return nil })
	case "race":
		base := tc.entries[s.A%len(tc.entries)].applier.Version()
		tc.changeConfig(s.A, base, func(*model.Config) error { return nil })
		tc.changeConfig(s.B, base, func(*model.Config) error { return nil })
	case "guarantee":
		g := model.Guarantee{Team: "c", Cell: cellName, Count: 1 + s.A%2,
			Shape: model.Shape{Accelerators: 2 + s.B%7, Adjacency: adjacencies[s.C%3]}}
		tc.changeConfig(s.A, config.AnyBase, func(c *model.Config) error {
			c.Guarantees = append(c.Guarantees[:1:1], g)
			return nil
		})
	case "resend", "cancel", "wave", "withdraw":
		tc.changeJobs(s)
	case "down", "sluggish", "lossy", "no-platform", "platform-ok":
		tc.injectPlatformFault(s)
	case "cut", "cut1", "slow", "mend", "duplicate", "isolate":
		tc.injectNetworkFault(s)
	case "advance":
	default:
		tc.injectProcessFault(s)
	}
}

var adjacencies = []model.Adjacency{model.AdjacentWorker, model.AdjacentRack, model.AdjacentDatacenter}

// newJobSpec returns the spec of a new job. The declared run time is too short or too long by a factor of up to 100.
func (tc *testCell) newJobSpec(s step) model.JobSpec {
	runMS := []int64{200, 2_000, 5_000, 20_000, 60_000, 150_000}[s.A%6]
	spec := model.JobSpec{
		Key:        model.JobKey{Team: []string{"a", "b", "c"}[s.B%3], ID: fmt.Sprintf("j%d", len(tc.jobs))},
		Kind:       []string{"hot", "plain", "cold"}[s.C%3],
		Shape:      model.Shape{Accelerators: 1 + s.B%4, Adjacency: adjacencies[s.A%3]},
		Idempotent: s.C%5 > 1,
		RunTime:    time.Duration(runMS) * time.Millisecond * time.Duration([]int{1, 100, 10_000}[s.A%3]) / 100,
	}
	spec.Preemptible = spec.Idempotent && s.C%2 == 0
	switch {
	case s.Op == "gang":
		spec.Shape = model.Shape{Accelerators: 6 + s.B%9,
			Adjacency: []model.Adjacency{model.AdjacentRack, model.AdjacentDatacenter}[s.A%2]}
	case s.Op == "claim":
		spec.Key.Team, spec.Shape = "a", model.Shape{Accelerators: 4, Adjacency: model.AdjacentWorker}
	case s.A%4 == 0:
		spec.Shape, spec.Service, spec.Preemptible = model.Shape{Slots: 1}, service, false
	}
	body, err := json.Marshal(payload{RunMS: runMS + int64(s.B), Fail: s.B%17 == 0})
	if err != nil {
		tc.violate("harness: cannot encode payload: %v", err)
	}
	spec.Payload = body
	return spec
}

// changeJobs submits a job again, cancels it or withdraws it.
func (tc *testCell) changeJobs(s step) {
	if len(tc.jobs) == 0 {
		return
	}
	spec := tc.jobs[s.B%len(tc.jobs)]
	switch s.Op {
	case "resend":
		tc.submit(s.A, spec)
	case "cancel":
		tc.cancel(s.A, spec.Key)
	case "wave":
		for _, x := range tc.jobs[max(0, len(tc.jobs)-6):] {
			tc.cancel(s.A, x.Key)
		}
	case "withdraw":
		if !spec.Idempotent {
			tc.withdraw(s.A, spec.Key)
		}
	}
}

// injectPlatformFault begins a fault of the platform or ends all of them.
func (tc *testCell) injectPlatformFault(s step) {
	tc.recordFault("platform %s", s.Op)
	switch s.Op {
	case "down":
		tc.kv.down = true
	case "sluggish":
		tc.kv.maxExtraDelay = time.Duration(s.A*8) * time.Millisecond
	case "lossy":
		tc.kv.answerLossProbability = float64(s.A%10+1) / 10
	case "no-platform":
		tc.kv.partitioned[tc.entries[s.A%len(tc.entries)].name] = true
	default:
		tc.kv.down, tc.kv.maxExtraDelay, tc.kv.answerLossProbability = false, 0, 0
		clear(tc.kv.partitioned)
	}
}

// injectNetworkFault begins a fault on the links between an entry and another process, or restores links.
func (tc *testCell) injectNetworkFault(s step) {
	procs := tc.procs()
	a, b := procs[s.A%len(procs)], tc.entries[s.B%len(tc.entries)].proc
	forward, reverse := link{a.name, b.name}, link{b.name, a.name}
	tc.recordFault("%s %s-%s %d", s.Op, a.name, b.name, s.C)
	switch s.Op {
	case "cut":
		tc.net.partitioned[forward], tc.net.partitioned[reverse] = true, true
	case "cut1":
		if s.C%2 == 0 {
			forward = reverse
		}
		tc.net.partitioned[forward] = true
	case "slow":
		tc.net.maxExtraDelay[forward] = time.Duration(s.C*4) * time.Millisecond
	case "duplicate":
		tc.net.replayProbability, tc.net.replayDelay = float64(s.C%6)/5, time.Duration(s.C*15)*time.Millisecond
	case "isolate": // partitions an entry from all processes, in one or both directions
		for _, p := range procs {
			tc.net.partitioned[link{p.name, b.name}] = true
			tc.net.partitioned[link{b.name, p.name}] = s.C%2 == 0
		}
	case "mend":
		if s.C%3 > 0 {
			tc.net.restoreLinks([]link{forward, reverse})
			return
		}
		var links []link
		for _, p := range procs {
			for _, q := range procs {
				links = append(links, link{p.name, q.name})
			}
		}
		tc.net.restoreLinks(links)
	}
}

// injectProcessFault crashes, restarts, pauses or stops processes and makes upstreams fail.
func (tc *testCell) injectProcessFault(s step) {
	e, a := tc.entries[s.A%len(tc.entries)], tc.agents[s.A%len(tc.agents)]
	tc.recordFault("%s %s %s %d", s.Op, e.name, a.name, s.C)
	pause := time.Duration(s.C*20) * time.Millisecond // up to 20 s, longer than any lease
	switch s.Op {
	case "crash-entry":
		e.terminate()
		if s.B%2 == 0 {
			e.restart()
		}
	case "crash-agent":
		a.crash(false)
		if s.B%2 == 0 {
			a.restart()
		}
	case "crash-host":
		a.crash(true)
		if a.upstream.worker {
			a.upstream.stopAll()
		}
	case "start":
		if !e.up {
			e.restart()
		}
		if !a.up {
			a.restart()
		}
	case "leave-agent":
		a.leave()
	case "leave-entry":
		e.leave()
	case "pause-entry":
		e.pausedUntil = tc.now.Add(pause)
	case "pause-agent":
		a.pausedUntil = tc.now.Add(pause)
	case "failing":
		a.upstream.failing = !a.upstream.failing
	case "lost-starts":
		a.startAnswerLossProbability = float64(s.C%3) / 3
	}
}
