package placement

import (
	"encoding/json"
	"fmt"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"masticcart.example/masticcart/internal/model"
)

var testNow = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

var testRules = []model.Rule{
	{Kind: "check", Class: model.ClassUrgent, Priority: 1},
	{Kind: "fit", Class: model.ClassNormal, Priority: 10, MaxWait: time.Hour},
	{Kind: "retrace", Class: model.ClassDeferrable, Priority: 50, MaxWait: 2 * time.Hour},
}

func drawShape(t *rapid.T) model.Shape {
	adjacency := rapid.SampledFrom([]model.Adjacency{model.AdjacentWorker, model.AdjacentRack, model.AdjacentDatacenter}).Draw(t, "adjacency")
	limit := 8
	if adjacency != model.AdjacentWorker {
		limit = 24
	}
	return model.Shape{Accelerators: rapid.IntRange(1, limit).Draw(t, "accelerators"), Adjacency: adjacency}
}

func drawSpec(t *rapid.T, id string) model.JobSpec {
	return model.JobSpec{
		Key:         model.JobKey{Team: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "team"), ID: id},
		Kind:        rapid.SampledFrom([]string{"check", "fit", "retrace", "other"}).Draw(t, "kind"),
		Shape:       drawShape(t),
		Preemptible: rapid.Bool().Draw(t, "preemptible"),
	}
}

// drawSnapshot returns a random cell whose running jobs satisfy their adjacency.
func drawSnapshot(t *rapid.T) *Snapshot {
	s := &Snapshot{Now: testNow, Cell: "riga", Config: &model.Config{Rules: testRules,
		Weights: model.Weights{CompletionTime: rapid.Float64Range(0, 1).Draw(t, "wc"), Fragmentation: rapid.Float64Range(0, 1).Draw(t, "wf")},
		Teams:   []model.Team{{Name: "a"}, {Name: "b", MaxAccelerators: rapid.IntRange(0, 40).Draw(t, "quota")}, {Name: "c"}}}}
	for i := range rapid.IntRange(1, 9).Draw(t, "workers") {
		units := rapid.SampledFrom([]int{2, 8}).Draw(t, "units")
		s.Workers = append(s.Workers, Upstream{ID: fmt.Sprintf("w%d", i), Incarnation: fmt.Sprintf("i%d", i),
			Rack: fmt.Sprintf("r%d", i/3), Units: units, Free: units, Unschedulable: rapid.IntRange(0, 9).Draw(t, "unusable") == 0})
	}
	for range rapid.IntRange(0, 4).Draw(t, "guarantees") {
		s.Config.Guarantees = append(s.Config.Guarantees, model.Guarantee{Team: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "holder"),
			Cell: "riga", Shape: drawShape(t), Count: rapid.IntRange(1, 2).Draw(t, "count")})
	}
	for i := range rapid.IntRange(0, 12).Draw(t, "running") {
		drawRunning(t, s, fmt.Sprintf("run%d", i))
	}
	for i := range rapid.IntRange(0, 10).Draw(t, "waiting") {
		w := WaitingJob{Spec: drawSpec(t, fmt.Sprintf("wait%d", i)), Submitted: testNow.Add(-rapid.SampledFrom([]time.Duration{0, time.Minute, 3 * time.Hour}).Draw(t, "waited")),
			ExpectedRunTime: rapid.SampledFrom([]time.Duration{0, time.Second, 5 * time.Hour}).Draw(t, "expected")}
		if rapid.IntRange(0, 4).Draw(t, "failed") == 0 {
			w.FailedOn = []string{"w0"}
		}
		s.Waiting = append(s.Waiting, w)
	}
	return s
}

// drawRunning adds a random running job to the snapshot if there are enough free units.
func drawRunning(t *rapid.T, s *Snapshot, id string) {
	r := RunningJob{Spec: drawSpec(t, id), Started: testNow.Add(-time.Duration(rapid.IntRange(0, 9000).Draw(t, "age")) * time.Second),
		Guaranteed: rapid.IntRange(0, 3).Draw(t, "guaranteed") == 0, Stopping: rapid.IntRange(0, 5).Draw(t, "stopping") == 0,
		ExpectedRunTime: time.Duration(rapid.IntRange(0, 9000).Draw(t, "expected")) * time.Second}
	f, avail := newFleet(s.Workers), make([]int, len(s.Workers))
	for i := range avail {
		avail[i] = s.Workers[i].Free
	}
	found, ok := bestBlock(newAvailabilityIndex(f, avail), r.Spec.Shape, model.Weights{}, rapid.Bool().Draw(t, "packed"))
	if !ok {
		return
	}
	for _, a := range found.allocs {
		s.Workers[a.worker].Free -= a.units
		r.Members = append(r.Members, model.Member{Agent: s.Workers[a.worker].ID, Incarnation: s.Workers[a.worker].Incarnation, Units: a.units})
	}
	s.Running = append(s.Running, r)
}

// applyPlan returns the snapshot after a plan: placed jobs run and preempted jobs are stopping.
func applyPlan(s *Snapshot, p *Plan) *Snapshot {
	out := *s
	out.Workers = append([]Upstream(nil), s.Workers...)
	out.Running = append([]RunningJob(nil), s.Running...)
	for _, v := range p.Preemptions {
		for i := range out.Running {
			if out.Running[i].Spec.Key == v.Victim {
				out.Running[i].Stopping = true
			}
		}
	}
	for _, pl := range p.Placements {
		for i := range out.Workers {
			for _, m := range pl.Members {
				if m.Agent == out.Workers[i].ID {
					out.Workers[i].Free -= m.Units
				}
			}
		}
		out.Running = append(out.Running, RunningJob{Spec: findWaiting(s, pl.Job).Spec, Members: pl.Members, Started: s.Now, Guaranteed: pl.Guaranteed})
	}
	return &out
}

func findWaiting(s *Snapshot, key model.JobKey) *WaitingJob {
	for i := range s.Waiting {
		if s.Waiting[i].Spec.Key == key {
			return &s.Waiting[i]
		}
	}
	return nil
}

// TestPlanProperties guards against plans that an agent would reject or that break a guarantee, and against a planner
// that modifies the snapshot or depends on anything besides it.
func TestPlanProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawSnapshot(t)
		before, _ := json.Marshal(s)
		plan := New(Options{}).Plan(s)
		if again := New(Options{}).Plan(s); !reflect.DeepEqual(plan, again) {
			t.Fatalf("two plans differ:\n%+v\n%+v", plan, again)
		}
		if after, _ := json.Marshal(s); string(before) != string(after) {
			t.Fatal("the snapshot was modified")
		}
		checkPlan(t, s, plan)
		if CheckReclaimable(s) == nil {
			if err := CheckReclaimable(applyPlan(s, plan)); err != nil {
				t.Fatalf("the plan breaks a guarantee: %v\n%+v", err, plan)
			}
		}
	})
}

// checkPlan checks that each waiting job has exactly one decision, that placements fit and satisfy their adjacency, and
// that only preemptible borrowers are preempted.
func checkPlan(t *rapid.T, s *Snapshot, plan *Plan) {
	used, decided := map[string]int{}, map[model.JobKey]int{}
	workers := map[string]Upstream{}
	for _, w := range s.Workers {
		workers[w.ID] = w
	}
	for _, p := range plan.Placements {
		decided[p.Job]++
		spec := findWaiting(s, p.Job).Spec
		units, places := 0, map[string]bool{}
		for _, m := range p.Members {
			w := workers[m.Agent]
			used[m.Agent] += m.Units
			units += m.Units
			if w.Unschedulable || m.Units <= 0 || used[m.Agent] > w.Free || m.Incarnation != w.Incarnation {
				t.Fatalf("member %+v on worker %+v, %d used by the plan", m, w, used[m.Agent])
			}
			places[map[model.Adjacency]string{model.AdjacentWorker: w.ID, model.AdjacentRack: w.Rack}[spec.Shape.Adjacency]] = true
		}
		if units != spec.Shape.Accelerators || len(places) != 1 {
			t.Fatalf("%s placed as %+v", spec.Shape, p.Members)
		}
	}
	for _, v := range plan.Preemptions {
		for _, r := range s.Running {
			if r.Spec.Key == v.Victim && (r.Guaranteed || !r.Spec.Preemptible || r.Stopping) {
				t.Fatalf("preempted %+v", r)
			}
		}
	}
	for _, r := range plan.Refusals {
		decided[r.Job]++
	}
	for _, b := range plan.Blocked {
		decided[b.Job]++
		if b.Reason == "" || b.WouldChange == "" {
			t.Fatalf("no reason: %+v", b)
		}
	}
	for _, w := range s.Waiting {
		if decided[w.Spec.Key] != 1 {
			t.Fatalf("job %s has %d decisions", w.Spec.Key, decided[w.Spec.Key])
		}
	}
}

// TestLoneJobIsPlaced guards against rules that block a job although the cell is idle.
func TestLoneJobIsPlaced(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawSnapshot(t)
		spec := drawSpec(t, "lone")
		s.Running, s.Waiting = nil, []WaitingJob{{Spec: spec, Submitted: testNow, FailedOn: []string{"w0"}}}
		if !spec.Preemptible {
			s.Config.Guarantees = nil // non-preemptible jobs cannot use the units that guarantees need
		}
		for i := range s.Workers {
			s.Workers[i].Free = s.Workers[i].Units
		}
		st := newPlanState(s, Options{})
		fits := st.fitsIdle(spec.Shape, nil)
		if q := s.Config.Team(spec.Key.Team).MaxAccelerators; q > 0 && spec.Shape.Accelerators > q {
			fits = false
		}
		if plan := New(Options{}).Plan(s); fits != (len(plan.Placements) == 1) {
			t.Fatalf("fits %v, plan %+v", fits, plan)
		}
	})
}

// TestClaimIsServedOnceVictimsStop guards against placing other jobs on the units that were freed for a claim. Once the
// preempted jobs have stopped, a claim that the guarantees cover must start, no matter which urgent jobs arrive.
func TestClaimIsServedOnceVictimsStop(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawSnapshot(t)
		s.Config.Teams[1].MaxAccelerators = 0
		unmet := UnmetGuarantees(s)
		if len(unmet) == 0 || CheckReclaimable(s) != nil {
			return
		}
		g := rapid.SampledFrom(unmet).Draw(t, "claimed")
		claim := model.JobSpec{Key: model.JobKey{Team: g.Team, ID: "claim"}, Kind: "retrace", Shape: g.Shape}
		s.Waiting = []WaitingJob{{Spec: claim, Submitted: testNow}}
		for i := range 10 {
			urgent := model.JobSpec{Key: model.JobKey{Team: "c", ID: fmt.Sprintf("urgent%d", i)}, Kind: "check", Preemptible: i%2 == 0,
				Shape: model.Shape{Accelerators: 1 + i%2, Adjacency: model.AdjacentWorker}}
			s.Waiting = append(s.Waiting, WaitingJob{Spec: urgent, Submitted: testNow})
		}
		for range 2 {
			plan := New(Options{}).Plan(s)
			for _, p := range plan.Placements {
				if p.Job == claim.Key && p.Guaranteed {
					return
				}
			}
			s = endStoppingJobs(applyPlan(s, plan), plan)
		}
		t.Fatalf("the claim on %+v did not start", g)
	})
}

// endStoppingJobs removes all stopping jobs from the snapshot, and the placed jobs from its queue.
func endStoppingJobs(s *Snapshot, plan *Plan) *Snapshot {
	var running []RunningJob
	for _, r := range s.Running {
		if !r.Stopping {
			running = append(running, r)
			continue
		}
		for i := range s.Workers {
			for _, m := range r.Members {
				if m.Agent == s.Workers[i].ID {
					s.Workers[i].Free += m.Units
				}
			}
		}
	}
	s.Running = running
	var waiting []WaitingJob
	for _, w := range s.Waiting {
		if !isPlaced(plan, w.Spec.Key) {
			waiting = append(waiting, w)
		}
	}
	s.Waiting = waiting
	return s
}

func isPlaced(p *Plan, key model.JobKey) bool {
	for _, pl := range p.Placements {
		if pl.Job == key {
			return true
		}
	}
	return false
}
