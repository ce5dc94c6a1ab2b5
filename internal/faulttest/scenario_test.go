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

// scenario is one drawn run. The seed decides delays and losses, the steps everything else.
type scenario struct {
	Seed      uint64
	Entries   int
	Workers   []int
	Executors []int
	Steps     []step
}

// step is one action with its operands, which are taken modulo what exists.
type step struct {
	Op      string
	A, B, C int
	Wait    time.Duration // time to pass afterwards
}

// workload and faults list the steps; an operation that is listed several times is drawn as often.
var workload = []string{
	"submit", "submit", "submit", "submit", "submit", "submit", "gang", "gang", "gang", "claim", "claim", "resend", "cancel", "cancel",
	"wave", "withdraw", "rule", "race", "guarantee", "advance", "advance", "advance",
}

var faults = []string{
	"cut", "cut", "cut1", "cut1", "slow", "duplicate",
	"mend", "mend", "mend", "crash-entry", "crash-entry", "crash-agent", "crash-agent", "crash-host", "start", "start", "pause-entry",
	"pause-agent", "pause-agent", "down", "sluggish", "lossy", "lossy", "platform-ok", "platform-ok", "no-platform", "failing", "lost-starts", "isolate",
	"leave-agent", "leave-entry",
}

func drawScenario(t *rapid.T) scenario {
	sc := scenario{
		Seed:      rapid.Uint64().Draw(t, "seed"),
		Entries:   rapid.IntRange(2, 3).Draw(t, "entries"),
		Workers:   rapid.SliceOfN(rapid.IntRange(4, 8), 3, 6).Draw(t, "workers"),
		Executors: rapid.SliceOfN(rapid.IntRange(1, 3), 1, 2).Draw(t, "executors"),
	}
	operations := workload // without faults, guarantees are checked all the time
	if rapid.IntRange(0, 4).Draw(t, "calm") > 0 {
		operations = slices.Concat(workload, faults)
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

// run plays a scenario and returns the first violation, or "".
func (sc scenario) run(trace func(format string, args ...any)) string {
	_, failure := sc.play(trace)
	return failure
}

// play also returns how often each kind of event took place.
func (sc scenario) play(trace func(format string, args ...any)) (map[string]int, string) {
	w := newWorld(sc)
	if trace != nil {
		w.trace = func(format string, args ...any) { trace("%10s "+format, append([]any{w.now.Sub(epoch)}, args...)...) }
	}
	defer w.close()
	w.advance(5 * time.Second)
	for _, s := range sc.Steps {
		if w.failure != "" {
			break
		}
		w.do(s)
		w.advance(s.Wait)
	}
	w.settle()
	return w.oracle.counts, w.failure
}

func (w *world) do(s step) {
	switch s.Op {
	case "submit", "gang", "claim":
		spec := w.draw(s)
		w.jobs = append(w.jobs, spec)
		w.submit(s.C, spec)
	case "rule":
		w.change(s.A, config.AnyBase, func(*model.Config) error { return nil })
	case "race":
		base := w.entries[s.A%len(w.entries)].applier.Version()
		w.change(s.A, base, func(*model.Config) error { return nil })
		w.change(s.B, base, func(*model.Config) error { return nil })
	case "guarantee":
		g := model.Guarantee{Team: "c", Cell: cellName, Count: 1 + s.A%2, Shape: model.Shape{Accelerators: 2 + s.B%7, Adjacency: adjacencies[s.C%3]}}
		w.change(s.A, config.AnyBase, func(c *model.Config) error { c.Guarantees = append(c.Guarantees[:1:1], g); return nil })
	case "resend", "cancel", "wave", "withdraw":
		w.disturbJobs(s)
	case "down", "sluggish", "lossy", "no-platform", "platform-ok":
		w.disturbPlatform(s)
	case "cut", "cut1", "slow", "mend", "duplicate", "isolate":
		w.disturbNetwork(s)
	case "advance":
	default:
		w.disturbProcess(s)
	}
}

var adjacencies = []model.Adjacency{model.AdjacentWorker, model.AdjacentRack, model.AdjacentDatacenter}

// draw makes the spec of a new job. Declared run times are off by up to 100 times in both directions.
func (w *world) draw(s step) model.JobSpec {
	runs := []int64{200, 2_000, 5_000, 20_000, 60_000, 150_000}[s.A%6]
	spec := model.JobSpec{
		Key:        model.JobKey{Team: []string{"a", "b", "c"}[s.B%3], ID: fmt.Sprintf("j%d", len(w.jobs))},
		Kind:       []string{"hot", "plain", "cold"}[s.C%3],
		Shape:      model.Shape{Accelerators: 1 + s.B%4, Adjacency: adjacencies[s.A%3]},
		Idempotent: s.C%5 > 1,
		RunTime:    time.Duration(runs) * time.Millisecond * time.Duration([]int{1, 100, 10_000}[s.A%3]) / 100,
	}
	spec.Preemptible = spec.Idempotent && s.C%2 == 0
	switch {
	case s.Op == "gang":
		spec.Shape = model.Shape{Accelerators: 6 + s.B%9, Adjacency: []model.Adjacency{model.AdjacentRack, model.AdjacentDatacenter}[s.A%2]}
	case s.Op == "claim":
		spec.Key.Team, spec.Shape = "a", model.Shape{Accelerators: 4, Adjacency: model.AdjacentWorker}
	case s.A%4 == 0:
		spec.Shape, spec.Service, spec.Preemptible = model.Shape{Slots: 1}, service, false
	}
	body, err := json.Marshal(payload{RunMS: runs + int64(s.B), Fail: s.B%17 == 0})
	if err != nil {
		w.violate("harness: %v", err)
	}
	spec.Payload = body
	return spec
}

func (w *world) disturbJobs(s step) {
	if len(w.jobs) == 0 {
		return
	}
	spec := w.jobs[s.B%len(w.jobs)]
	switch s.Op {
	case "resend":
		w.submit(s.A, spec)
	case "cancel":
		w.cancel(s.A, spec.Key)
	case "wave":
		for _, x := range w.jobs[max(0, len(w.jobs)-6):] {
			w.cancel(s.A, x.Key)
		}
	case "withdraw":
		if !spec.Idempotent {
			w.withdraw(s.A, spec.Key)
		}
	}
}

func (w *world) disturbPlatform(s step) {
	w.disturb("platform %s", s.Op)
	switch s.Op {
	case "down":
		w.kv.down = true
	case "sluggish":
		w.kv.slow = time.Duration(s.A*8) * time.Millisecond
	case "lossy":
		w.kv.lost = float64(s.A%10+1) / 10
	case "no-platform":
		w.kv.cut[w.entries[s.A%len(w.entries)].name] = true
	default:
		w.kv.down, w.kv.slow, w.kv.lost = false, 0, 0
		clear(w.kv.cut)
	}
}

func (w *world) disturbNetwork(s step) {
	ps := w.procs()
	a, b := ps[s.A%len(ps)], w.entries[s.B%len(w.entries)].proc
	there, back := link{a.name, b.name}, link{b.name, a.name}
	w.disturb("%s %s-%s %d", s.Op, a.name, b.name, s.C)
	switch s.Op {
	case "cut":
		w.net.cut[there], w.net.cut[back] = true, true
	case "cut1":
		if s.C%2 == 0 {
			there = back
		}
		w.net.cut[there] = true
	case "slow":
		w.net.slow[there] = time.Duration(s.C*4) * time.Millisecond
	case "duplicate":
		w.net.duplicate, w.net.replay = float64(s.C%6)/5, time.Duration(s.C*15)*time.Millisecond
	case "isolate": // from all other processes, in one or both directions
		for _, p := range ps {
			w.net.cut[link{p.name, b.name}] = true
			w.net.cut[link{b.name, p.name}] = s.C%2 == 0
		}
	case "mend":
		if s.C%3 > 0 {
			w.net.heal([]link{there, back})
			return
		}
		var links []link
		for _, p := range ps {
			for _, q := range ps {
				links = append(links, link{p.name, q.name})
			}
		}
		w.net.heal(links)
	}
}

func (w *world) disturbProcess(s step) {
	e, a := w.entries[s.A%len(w.entries)], w.agents[s.A%len(w.agents)]
	w.disturb("%s %s %s %d", s.Op, e.name, a.name, s.C)
	pause := time.Duration(s.C*20) * time.Millisecond // up to 20 s, above all leases
	switch s.Op {
	case "crash-entry":
		e.end()
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
		e.resumes = w.now.Add(pause)
	case "pause-agent":
		a.resumes = w.now.Add(pause)
	case "failing":
		a.upstream.failing = !a.upstream.failing
	case "lost-starts":
		a.lostStarts = float64(s.C%3) / 3
	}
}
