package scheduler

import (
	"fmt"
	"testing"
	"time"

	"masticcart.example/masticcart/internal/batch"
)

const (
	movedJob = "00000000000000d1"
	otherJob = "00000000000000d2"
)

var longStep = batch.Step{Count: 1, Checkpoints: true, Estimate: time.Minute, Need: batch.Resources{Accelerators: 8}}

// cellOf returns the data centre in which a task runs.
func (f *fixture) cellOf(id batch.TaskID) string { return f.cells[f.c.jobs[id.Job].findTask(id).node] }

// TestRunMovesIntoTheCapacityThatWasCountedOn guards against a run that is stopped and then waits, because other work took the
// capacity meanwhile, and against runs that are moved again and again.
func TestRunMovesIntoTheCapacityThatWasCountedOn(t *testing.T) {
	t.Parallel()
	f := evacuationFixture(t)
	f.submit(movedJob, 2, 0, longStep)
	f.planAndCommit(0)
	id := batch.TaskID{Job: movedJob}
	from := f.cellOf(id)
	at := 2 * time.Second
	f.reportEverywhere(at)
	f.confirm(at, from)
	orders := f.planAndCommit(at)
	if len(orders) != 1 || orders[0].Kind != OrderStop || orders[0].Task != id {
		t.Fatalf("orders %+v, want a stop of %v", orders, id)
	}
	f.submit(otherJob, 1, at, longStep) // more important than the moved one
	if orders = f.planAndCommit(at + 100*time.Millisecond); len(orders) != 0 {
		t.Fatalf("orders %+v while the run is being stopped, want none", orders)
	}
	f.endRun(id, 1, at+200*time.Millisecond, batch.OutcomeStopped)
	orders = f.planAndCommit(at + 300*time.Millisecond)
	if len(orders) != 1 || orders[0].Kind != OrderStart || orders[0].Task != id || f.cellOf(id) == from {
		t.Fatalf("orders %+v, want a start of %v outside of %s", orders, id, from)
	}
	if lost := f.c.LostWork(); lost[LossEvacuated] <= 0 {
		t.Errorf("lost work %v, want some by the cause %s", lost, LossEvacuated)
	}
	for at += time.Second; at < 20*time.Second; at += time.Second {
		f.reportEverywhere(at)
		f.confirm(at, from)
		if orders = f.planAndCommit(at); len(orders) != 0 {
			t.Fatalf("orders %+v at %v, want none after the move", orders, at)
		}
	}
}

// TestRunsStayInAnEvacuatedCell guards against stops that lose work: of runs near their end, without checkpoints, without
// free capacity elsewhere, or in deployments without such requests in force.
func TestRunsStayInAnEvacuatedCell(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		change  func(*batch.Step)
		percent int
		filled  bool
		request bool
	}{
		"near its end":        {func(*batch.Step) {}, 90, false, true},
		"without checkpoints": {func(s *batch.Step) { s.Checkpoints = false }, 5, false, true},
		"full fleet":          {func(*batch.Step) {}, 5, true, true},
		"no request":          {func(*batch.Step) {}, 5, false, false},
	} {
		f := evacuationFixture(t)
		step := longStep
		c.change(&step)
		f.submit(movedJob, 2, 0, step)
		f.planAndCommit(0)
		if c.filled {
			f.submit(otherJob, 2, 0, step)
			f.planAndCommit(planInterval)
		}
		f.reportAll(time.Second, 0, f.nodes...)
		f.reportAll(10*time.Second, c.percent, f.nodes...)
		f.confirm(10 * time.Second)
		if c.request {
			f.confirm(10*time.Second, f.cellOf(batch.TaskID{Job: movedJob}))
		}
		if orders := f.planAndCommit(10 * time.Second); len(orders) != 0 {
			t.Errorf("%s: orders %+v, want none", name, orders)
		}
	}
}

// TestRelocationSurvivesTakeoverAtEveryStep guards against tasks that are lost, run twice, stay down or go round in circles
// when the leader changes between the decision to move them and their next start. Long-running tasks must not be down in
// larger numbers than their step allows, whichever leader stops them.
func TestRelocationSurvivesTakeoverAtEveryStep(t *testing.T) {
	const (
		lasting = "00000000000000d3"
		gang    = "00000000000000d4"
		count   = 4
	)
	for offset := -50 * time.Millisecond; offset < 1500*time.Millisecond; offset += 50 * time.Millisecond {
		s := newSim(t, uint64(2*time.Second+offset), 12)
		s.longWork = 40 * time.Second
		s.useEvacuation()
		s.advance(time.Second)
		need := batch.Resources{Accelerators: 2}
		s.submit(batch.Job{ID: movedJob, Queue: simQueue(2), Steps: []batch.Step{{Count: 8, Checkpoints: true,
			Estimate: s.longWork, Need: need}}})
		s.submit(batch.Job{ID: lasting, Queue: simQueue(1), Steps: []batch.Step{{Count: count, LongRunning: true,
			MaxUnavailable: 1, MaxPerWorker: 1, Estimate: time.Hour, Need: need}}})
		s.submit(batch.Job{ID: gang, Queue: simQueue(1), Steps: []batch.Step{{Count: 6, Gang: true, Checkpoints: true,
			MaxPerWorker: 1, Estimate: s.longWork, Need: need}}})
		s.advance(3 * time.Second)
		cell := s.workers[0].cell
		for _, w := range s.workers { // the data centre with most long-running tasks
			if w.runs[batch.TaskID{Job: lasting}] != nil {
				cell = w.cell
			}
		}
		s.request(cell, true)
		if offset >= 0 {
			s.after(offset, s.replaceLeader)
		}
		running := func(job string) (n int) {
			for _, w := range s.workers {
				for id := range w.runs {
					if id.Job == job {
						n++
					}
				}
			}
			return n
		}
		for end := s.now + 10*time.Second; s.now < end; {
			s.advance(simStep)
			if n := running(lasting); n < count-1 {
				t.Fatalf("takeover after %v: %d of %d long-running tasks are up, 1 may be down", offset, n, count)
			}
		}
		for _, w := range s.workers {
			for id, r := range w.runs {
				if w.cell == cell || r.run > 3 { // a leader that does not know of the request yet may start it there again
					t.Errorf("takeover after %v: %v run %d on %s in %s, %s is evacuated", offset, id, r.run, w.node, w.cell, cell)
				}
			}
		}
		if n := fmt.Sprint(running(movedJob), running(gang)); n != "8 6" {
			t.Errorf("takeover after %v: %s tasks run, want 8 6", offset, n)
		}
		for _, v := range s.checker.Violations() {
			t.Errorf("takeover after %v: %s", offset, v)
		}
	}
}
