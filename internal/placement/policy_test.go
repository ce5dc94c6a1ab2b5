package placement

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"masticcart.example/masticcart/internal/model"
)

func newShape(n int, a model.Adjacency) model.Shape {
	return model.Shape{Accelerators: n, Adjacency: a}
}

func newJobSpec(team, id, kind string, s model.Shape) model.JobSpec {
	return model.JobSpec{Key: model.JobKey{Team: team, ID: id}, Kind: kind, Shape: s, Preemptible: true}
}

// newTestSnapshot returns an idle cell of two racks, each with three workers of 8 accelerators.
func newTestSnapshot() *Snapshot {
	s := &Snapshot{Now: testNow, Cell: "riga", Config: &model.Config{Rules: testRules,
		Teams: []model.Team{{Name: "a"}, {Name: "b", MaxAccelerators: 8}, {Name: "c"}}}}
	for i := range 6 {
		s.Workers = append(s.Workers, Upstream{ID: fmt.Sprintf("w%d", i), Incarnation: "1", Rack: fmt.Sprintf("r%d", i/3), Units: 8, Free: 8})
	}
	return s
}

// addRunning adds a job that runs in equal parts on the workers since the given age.
func (s *Snapshot) addRunning(spec model.JobSpec, age, expected time.Duration, workers ...int) *Snapshot {
	r := RunningJob{Spec: spec, Started: testNow.Add(-age), ExpectedRunTime: expected}
	for _, w := range workers {
		n := spec.Shape.Accelerators / len(workers)
		s.Workers[w].Free -= n
		r.Members = append(r.Members, model.Member{Agent: s.Workers[w].ID, Incarnation: "1", Units: n})
	}
	s.Running = append(s.Running, r)
	return s
}

func (s *Snapshot) addWaiting(spec model.JobSpec, waited, expected time.Duration) *Snapshot {
	s.Waiting = append(s.Waiting, WaitingJob{Spec: spec, Submitted: testNow.Add(-waited), ExpectedRunTime: expected})
	return s
}

// fillWorkers adds one running job to each worker that uses all of its accelerators.
func (s *Snapshot) fillWorkers(kind string, age func(worker int) time.Duration) *Snapshot {
	for w := range s.Workers {
		s.addRunning(newJobSpec("c", fmt.Sprintf("fill%d", w), kind, newShape(8, model.AdjacentWorker)), age(w), time.Hour, w)
	}
	return s
}

// summary lists the decisions of a plan in one line.
func summary(p *Plan) string {
	var out []string
	for _, pl := range p.Placements {
		var on []string
		for _, m := range pl.Members {
			on = append(on, fmt.Sprintf("%s:%d", m.Agent, m.Units))
		}
		out = append(out, fmt.Sprintf("place %s on %s guaranteed=%v", pl.Job.ID, strings.Join(on, "+"), pl.Guaranteed))
	}
	for _, v := range p.Preemptions {
		out = append(out, fmt.Sprintf("preempt %s for %s", v.Victim.ID, v.Preemptor.ID))
	}
	for _, r := range p.Refusals {
		out = append(out, "refuse "+r.Job.ID+" by "+strings.SplitN(r.Reason, ":", 2)[0])
	}
	for _, b := range p.Blocked {
		out = append(out, "block "+b.Job.ID+" by "+strings.SplitN(b.Reason, ":", 2)[0])
	}
	return strings.Join(out, "; ")
}

// TestStages checks the decision of each rule and the rule that the reason names.
func TestStages(t *testing.T) {
	w, r, dc := model.AdjacentWorker, model.AdjacentRack, model.AdjacentDatacenter
	decreasingAge := func(i int) time.Duration { return time.Duration(6-i) * time.Hour }
	expired := newJobSpec("a", "late", "fit", newShape(1, w))
	expired.Deadline = testNow.Add(-time.Second)
	nonPreemptible := newJobSpec("c", "firm", "fit", newShape(8, w))
	nonPreemptible.Preemptible = false
	guarantee := func(s *Snapshot, n int, a model.Adjacency) *Snapshot {
		s.Config.Guarantees = []model.Guarantee{{Team: "a", Cell: "riga", Shape: newShape(n, a), Count: 1}}
		return s
	}
	for name, tc := range map[string]struct {
		s    *Snapshot
		want string
	}{
		"refuse more than a rack has":            {newTestSnapshot().addWaiting(newJobSpec("a", "j", "fit", newShape(25, r)), 0, 0), "refuse j by shape"},
		"refuse after the deadline":              {newTestSnapshot().addWaiting(expired, 0, 0), "refuse late by deadline"},
		"refuse an unknown team":                 {newTestSnapshot().addWaiting(newJobSpec("x", "j", "fit", newShape(1, w)), 0, 0), "refuse j by team"},
		"refuse more than the quota":             {newTestSnapshot().addWaiting(newJobSpec("b", "j", "fit", newShape(9, r)), 0, 0), "refuse j by quota"},
		"quota counts running work":              {newTestSnapshot().addRunning(newJobSpec("b", "x", "fit", newShape(4, w)), 0, 0, 0).addWaiting(newJobSpec("b", "j", "fit", newShape(5, w)), 0, 0), "block j by quota"},
		"tightest worker":                        {newTestSnapshot().addRunning(newJobSpec("c", "x", "fit", newShape(5, w)), 0, 0, 4).addWaiting(newJobSpec("a", "j", "fit", newShape(2, w)), 0, 0), "place j on w4:2 guaranteed=false"},
		"urgent before older work":               {newTestSnapshot().addWaiting(newJobSpec("a", "old", "fit", newShape(48, dc)), time.Minute, 0).addWaiting(newJobSpec("a", "new", "check", newShape(8, w)), 0, 0), "place new on w0:8 guaranteed=false; block old by room"},
		"aged work before its next class":        {newTestSnapshot().addWaiting(newJobSpec("a", "normal", "fit", newShape(48, dc)), time.Minute, 0).addWaiting(newJobSpec("a", "aged", "retrace", newShape(48, dc)), 3*time.Hour, 0), "place aged on w0:8+w1:8+w2:8+w3:8+w4:8+w5:8 guaranteed=false; block normal by room"},
		"urgent preempts the least lost work":    {newTestSnapshot().fillWorkers("retrace", decreasingAge).addWaiting(newJobSpec("a", "j", "check", newShape(4, w)), 0, 0), "preempt fill5 for j; block j by urgent work"},
		"urgent does not preempt urgent":         {newTestSnapshot().fillWorkers("check", decreasingAge).addWaiting(newJobSpec("a", "j", "check", newShape(4, w)), 0, 0), "block j by room"},
		"a claim preempts a whole rack":          {guarantee(newTestSnapshot().fillWorkers("check", decreasingAge), 24, r).addWaiting(newJobSpec("a", "j", "retrace", newShape(24, r)), 0, 0), "preempt fill5 for j; preempt fill4 for j; preempt fill3 for j; block j by claim on the guarantee of team a"},
		"a claim uses free accelerators":         {guarantee(newTestSnapshot(), 8, w).addWaiting(newJobSpec("a", "j", "retrace", newShape(8, w)), 0, 0), "place j on w0:8 guaranteed=true"},
		"non-preemptible work leaves guarantees": {guarantee(newTestSnapshot(), 48, dc).addWaiting(nonPreemptible, 0, 0), "block firm by guarantees"},
		"reservation keeps long work out":        {newTestSnapshot().addRunning(newJobSpec("c", "x", "fit", newShape(8, w)), time.Minute, time.Hour, 0).addWaiting(newJobSpec("a", "gang", "fit", newShape(48, dc)), time.Minute, 0).addWaiting(newJobSpec("a", "j", "fit", newShape(1, w)), 0, 2*time.Hour), "block gang by room; block j by reservation"},
		"short work backfills":                   {newTestSnapshot().addRunning(newJobSpec("c", "x", "fit", newShape(8, w)), time.Minute, time.Hour, 0).addWaiting(newJobSpec("a", "gang", "fit", newShape(48, dc)), time.Minute, 0).addWaiting(newJobSpec("a", "j", "fit", newShape(1, w)), 0, time.Minute), "place j on w1:1 guaranteed=false; block gang by room"},
	} {
		t.Run(name, func(t *testing.T) {
			if got := summary(New(Options{}).Plan(tc.s)); got != tc.want {
				t.Errorf("got  %s\nwant %s", got, tc.want)
			}
		})
	}
}

// TestSlotsGoToTheEmptiestExecutor guards against placing slot jobs on one executor while others have more free slots.
func TestSlotsGoToTheEmptiestExecutor(t *testing.T) {
	s := newTestSnapshot()
	for i, free := range []int{1, 3, 2} {
		s.Executors = append(s.Executors, Upstream{ID: fmt.Sprintf("e%d", i), Service: "vzornik", Units: 8, Free: free})
	}
	for i := range 7 {
		spec := newJobSpec("a", fmt.Sprint(i), "fit", model.Shape{Slots: 1})
		spec.Service = "vzornik"
		s.addWaiting(spec, time.Duration(7-i)*time.Second, 0)
	}
	want := "place 0 on e1:1 guaranteed=false; place 1 on e1:1 guaranteed=false; place 2 on e2:1 guaranteed=false; " +
		"place 3 on e0:1 guaranteed=false; place 4 on e1:1 guaranteed=false; place 5 on e2:1 guaranteed=false; block 6 by slots"
	if got := summary(New(Options{}).Plan(s)); got != want {
		t.Errorf("got  %s\nwant %s", got, want)
	}
}

// TestCheckGuarantees guards against accepting guarantees that cannot all be met at the same time.
func TestCheckGuarantees(t *testing.T) {
	workers := newTestSnapshot().Workers
	g := func(n int, a model.Adjacency, count int) model.Guarantee {
		return model.Guarantee{Team: "a", Cell: "riga", Shape: newShape(n, a), Count: count}
	}
	other := g(100, model.AdjacentDatacenter, 1)
	other.Cell = "liepaja"
	fits := []model.Guarantee{g(16, model.AdjacentRack, 2), g(8, model.AdjacentWorker, 2), other}
	if err := CheckGuarantees(workers, "riga", fits); err != nil {
		t.Error(err)
	}
	for _, bad := range [][]model.Guarantee{{g(16, model.AdjacentRack, 3)}, {g(9, model.AdjacentWorker, 1)}, append(fits, g(1, model.AdjacentWorker, 1))} {
		if err := CheckGuarantees(workers, "riga", bad); err == nil || !strings.Contains(err.Error(), "accelerators/") {
			t.Errorf("%+v: got %v, want an error that names the shape", bad, err)
		}
	}
}
