package placement

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"masticcart.example/masticcart/internal/model"
)

func shape(n int, a model.Adjacency) model.Shape { return model.Shape{Accelerators: n, Adjacency: a} }

func job(team, id, kind string, s model.Shape) model.JobSpec {
	return model.JobSpec{Key: model.JobKey{Team: team, ID: id}, Kind: kind, Shape: s, Preemptible: true}
}

// sixWorkers is a cell of two racks of three workers with 8 accelerators.
func sixWorkers() *Snapshot {
	s := &Snapshot{Now: testNow, Cell: "riga", Config: &model.Config{Rules: testKinds,
		Teams: []model.Team{{Name: "a"}, {Name: "b", MaxAccelerators: 8}, {Name: "c"}}}}
	for i := range 6 {
		s.Workers = append(s.Workers, Upstream{ID: fmt.Sprintf("w%d", i), Incarnation: "1", Rack: fmt.Sprintf("r%d", i/3), Units: 8, Free: 8})
	}
	return s
}

func (s *Snapshot) run(spec model.JobSpec, age, expected time.Duration, workers ...int) *Snapshot {
	r := RunningJob{Spec: spec, Started: testNow.Add(-age), ExpectedRunTime: expected}
	for _, w := range workers {
		n := spec.Shape.Accelerators / len(workers)
		s.Workers[w].Free -= n
		r.Members = append(r.Members, model.Member{Agent: s.Workers[w].ID, Incarnation: "1", Units: n})
	}
	s.Running = append(s.Running, r)
	return s
}

func (s *Snapshot) wait(spec model.JobSpec, waited, expected time.Duration) *Snapshot {
	s.Waiting = append(s.Waiting, WaitingJob{Spec: spec, Submitted: testNow.Add(-waited), ExpectedRunTime: expected})
	return s
}

func (s *Snapshot) fill(kind string, age func(worker int) time.Duration) *Snapshot {
	for w := range s.Workers {
		s.run(job("c", fmt.Sprintf("fill%d", w), kind, shape(8, model.AdjacentWorker)), age(w), time.Hour, w)
	}
	return s
}

// summary lists the decisions of a plan in a compact form.
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

// TestStages guards the rule of each stage: what it decides and which rule it names.
func TestStages(t *testing.T) {
	w, r, dc := model.AdjacentWorker, model.AdjacentRack, model.AdjacentDatacenter
	older := func(i int) time.Duration { return time.Duration(6-i) * time.Hour }
	expired := job("a", "late", "fit", shape(1, w))
	expired.Deadline = testNow.Add(-time.Second)
	firm := job("c", "firm", "fit", shape(8, w))
	firm.Preemptible = false
	guarantee := func(s *Snapshot, n int, a model.Adjacency) *Snapshot {
		s.Config.Guarantees = []model.Guarantee{{Team: "a", Cell: "riga", Shape: shape(n, a), Count: 1}}
		return s
	}
	for name, tc := range map[string]struct {
		s    *Snapshot
		want string
	}{
		"refuse more than a rack has":     {sixWorkers().wait(job("a", "j", "fit", shape(25, r)), 0, 0), "refuse j by shape"},
		"refuse after the deadline":       {sixWorkers().wait(expired, 0, 0), "refuse late by deadline"},
		"refuse an unknown team":          {sixWorkers().wait(job("x", "j", "fit", shape(1, w)), 0, 0), "refuse j by team"},
		"refuse more than the quota":      {sixWorkers().wait(job("b", "j", "fit", shape(9, r)), 0, 0), "refuse j by quota"},
		"quota counts running work":       {sixWorkers().run(job("b", "x", "fit", shape(4, w)), 0, 0, 0).wait(job("b", "j", "fit", shape(5, w)), 0, 0), "block j by quota"},
		"tightest worker":                 {sixWorkers().run(job("c", "x", "fit", shape(5, w)), 0, 0, 4).wait(job("a", "j", "fit", shape(2, w)), 0, 0), "place j on w4:2 guaranteed=false"},
		"urgent before older work":        {sixWorkers().wait(job("a", "old", "fit", shape(48, dc)), time.Minute, 0).wait(job("a", "new", "check", shape(8, w)), 0, 0), "place new on w0:8 guaranteed=false; block old by room"},
		"aged work before its next class": {sixWorkers().wait(job("a", "normal", "fit", shape(48, dc)), time.Minute, 0).wait(job("a", "aged", "retrace", shape(48, dc)), 3*time.Hour, 0), "place aged on w0:8+w1:8+w2:8+w3:8+w4:8+w5:8 guaranteed=false; block normal by room"},
		"urgent preempts the least lost":  {sixWorkers().fill("retrace", older).wait(job("a", "j", "check", shape(4, w)), 0, 0), "preempt fill5 for j; block j by urgent work"},
		"urgent spares urgent":            {sixWorkers().fill("check", older).wait(job("a", "j", "check", shape(4, w)), 0, 0), "block j by room"},
		"a claim preempts a whole rack":   {guarantee(sixWorkers().fill("check", older), 24, r).wait(job("a", "j", "retrace", shape(24, r)), 0, 0), "preempt fill5 for j; preempt fill4 for j; preempt fill3 for j; block j by claim on the guarantee of team a"},
		"a claim uses free room":          {guarantee(sixWorkers(), 8, w).wait(job("a", "j", "retrace", shape(8, w)), 0, 0), "place j on w0:8 guaranteed=true"},
		"firm work leaves guarantees":     {guarantee(sixWorkers(), 48, dc).wait(firm, 0, 0), "block firm by guarantees"},
		"reservation keeps long work out": {sixWorkers().run(job("c", "x", "fit", shape(8, w)), time.Minute, time.Hour, 0).wait(job("a", "gang", "fit", shape(48, dc)), time.Minute, 0).wait(job("a", "j", "fit", shape(1, w)), 0, 2*time.Hour), "block gang by room; block j by reservation"},
		"short work backfills":            {sixWorkers().run(job("c", "x", "fit", shape(8, w)), time.Minute, time.Hour, 0).wait(job("a", "gang", "fit", shape(48, dc)), time.Minute, 0).wait(job("a", "j", "fit", shape(1, w)), 0, time.Minute), "place j on w1:1 guaranteed=false; block gang by room"},
	} {
		t.Run(name, func(t *testing.T) {
			if got := summary(New(Options{}).Plan(tc.s)); got != tc.want {
				t.Errorf("got  %s\nwant %s", got, tc.want)
			}
		})
	}
}

// TestSlotsGoToTheEmptiestExecutor guards against queueing on one executor while others are idle.
func TestSlotsGoToTheEmptiestExecutor(t *testing.T) {
	s := sixWorkers()
	for i, free := range []int{1, 3, 2} {
		s.Executors = append(s.Executors, Upstream{ID: fmt.Sprintf("e%d", i), Service: "vzornik", Units: 8, Free: free})
	}
	for i := range 7 {
		spec := job("a", fmt.Sprint(i), "fit", model.Shape{Slots: 1})
		spec.Service = "vzornik"
		s.wait(spec, time.Duration(7-i)*time.Second, 0)
	}
	want := "place 0 on e1:1 guaranteed=false; place 1 on e1:1 guaranteed=false; place 2 on e2:1 guaranteed=false; " +
		"place 3 on e0:1 guaranteed=false; place 4 on e1:1 guaranteed=false; place 5 on e2:1 guaranteed=false; block 6 by slots"
	if got := summary(New(Options{}).Plan(s)); got != want {
		t.Errorf("got  %s\nwant %s", got, want)
	}
}

// TestCheckGuarantees guards against accepting guarantees that no placement can meet at the same time.
func TestCheckGuarantees(t *testing.T) {
	workers := sixWorkers().Workers
	g := func(n int, a model.Adjacency, count int) model.Guarantee {
		return model.Guarantee{Team: "a", Cell: "riga", Shape: shape(n, a), Count: count}
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
