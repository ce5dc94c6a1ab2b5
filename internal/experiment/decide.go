package experiment

import (
	"fmt"
	"time"

	"masticcart.example/masticcart/internal/model"
	"masticcart.example/masticcart/internal/placement"
)

func (d *driver) snapshot() *placement.Snapshot {
	s := &placement.Snapshot{Now: epoch.Add(d.now), Cell: "cell", Workers: d.workers, Config: d.load.Config,
		Running: make([]placement.RunningJob, 0, len(d.running)), Waiting: make([]placement.WaitingJob, 0, len(d.waiting))}
	for _, t := range d.running {
		s.Running = append(s.Running, placement.RunningJob{Spec: t.Spec, Members: t.members, Started: epoch.Add(t.placed),
			Guaranteed: t.guaranteed, Stopping: t.phase == phaseStopping, ExpectedRunTime: d.expected(t)})
	}
	for _, t := range d.waiting {
		s.Waiting = append(s.Waiting, placement.WaitingJob{Spec: t.Spec, Submitted: epoch.Add(t.Arrival),
			FailedOn: t.failedOn, ExpectedRunTime: d.expected(t)})
	}
	return s
}

// decide calls the planner and applies its plan.
func (d *driver) decide() error {
	d.changed = false
	s := d.snapshot()
	began := time.Now()
	plan := d.planner.Plan(s)
	d.m.decisions = append(d.m.decisions, time.Since(began))
	for _, r := range plan.Refusals {
		t := d.byKey[r.Job]
		d.waiting = remove(d.waiting, t)
		d.finish(t, model.ResultRefused)
	}
	for _, p := range plan.Placements {
		if err := d.place(p); err != nil {
			return err
		}
	}
	for _, p := range plan.Preemptions {
		t := d.byKey[p.Victim]
		if t == nil || t.phase != phaseRunning || t.guaranteed || !t.Spec.Preemptible {
			return fmt.Errorf("preemption of %s, which cannot be preempted", p.Victim)
		}
		t.requeue = true
		d.m.preempted++
		d.stop(t, d.checkpoint())
	}
	return nil
}

// place starts a job, after the checks that agents make.
func (d *driver) place(p placement.Placement) error {
	t := d.byKey[p.Job]
	if t == nil || t.phase != phaseWaiting {
		return fmt.Errorf("placement of %s, which does not wait", p.Job)
	}
	units := 0
	for _, m := range p.Members {
		w := &d.workers[d.position[m.Agent]]
		if w.Unschedulable || m.Units > w.Free {
			return fmt.Errorf("placement of %s: %d units on %s, which has %d free", p.Job, m.Units, w.ID, w.Free)
		}
		w.Free -= m.Units
		units += m.Units
	}
	if units != t.Spec.Shape.Accelerators {
		return fmt.Errorf("placement of %s: %d units for %s", p.Job, units, t.Spec.Shape)
	}
	d.waiting = remove(d.waiting, t)
	d.running = append(d.running, t)
	t.phase, t.members, t.guaranteed, t.placed, t.requeue = phaseRunning, p.Members, p.Guaranteed, d.now, false
	t.attempt++
	if !t.started {
		t.started, t.firstStart = true, d.now+startDelay
	}
	t.failing = d.failingWorker(t)
	takes := t.ActualRunTime
	if t.failing != "" {
		takes = min(takes, crashAfter)
	}
	d.push(event{at: d.now + startDelay + takes, kind: evEnd, job: t, attempt: t.attempt})
	return nil
}

// failingWorker returns the worker on which an attempt is going to fail, or an empty string.
func (d *driver) failingWorker(t *task) string {
	for _, m := range t.members {
		if d.bad[d.position[m.Agent]] {
			return m.Agent
		}
	}
	if t.AlwaysFails {
		return t.members[d.rng.IntN(len(t.members))].Agent
	}
	return ""
}
