package experiment

import (
	"fmt"
	"time"

	"masticcart.example/masticcart/internal/model"
	"masticcart.example/masticcart/internal/placement"
)

// snapshot returns the state of the cell as the planner's input.
func (d *driver) snapshot() *placement.Snapshot {
	s := &placement.Snapshot{Now: epoch.Add(d.now), Cell: "cell", Workers: d.workers, Config: d.load.Config,
		Running: make([]placement.RunningJob, 0, len(d.running)), Waiting: make([]placement.WaitingJob, 0, len(d.waiting))}
	for _, t := range d.running {
		s.Running = append(s.Running, placement.RunningJob{Spec: t.Spec, Members: t.members,
			Started: epoch.Add(t.attemptStart), Guaranteed: t.guaranteed, Stopping: t.phase == phaseStopping,
			ExpectedRunTime: d.expectedRunTime(t)})
	}
	for _, t := range d.waiting {
		s.Waiting = append(s.Waiting, placement.WaitingJob{Spec: t.Spec, Submitted: epoch.Add(t.Arrival),
			FailedOn: t.failedOn, ExpectedRunTime: d.expectedRunTime(t)})
	}
	return s
}

// decide calls the planner and applies its plan. It returns an error if the plan is not valid in the state of the cell.
func (d *driver) decide() error {
	d.changed = false
	s := d.snapshot()
	began := time.Now()
	plan := d.planner.Plan(s)
	d.samples.decisionTimes = append(d.samples.decisionTimes, time.Since(began))
	for _, r := range plan.Refusals {
		t := d.byKey[r.Job]
		d.waiting = without(d.waiting, t)
		d.endJob(t, model.ResultRefused)
	}
	for _, p := range plan.Placements {
		if err := d.startJob(p); err != nil {
			return err
		}
	}
	for _, p := range plan.Preemptions {
		t := d.byKey[p.Victim]
		if t == nil || t.phase != phaseRunning || t.guaranteed || !t.Spec.Preemptible {
			return fmt.Errorf("preemption of %s, which cannot be preempted", p.Victim)
		}
		t.requeueOnStop = true
		d.samples.preemptions++
		d.beginStop(t, d.checkpointTime())
	}
	return nil
}

// startJob starts a placed job after the checks that agents make.
func (d *driver) startJob(p placement.Placement) error {
	t := d.byKey[p.Job]
	if t == nil || t.phase != phaseWaiting {
		return fmt.Errorf("placement of %s, which is not waiting", p.Job)
	}
	units := 0
	for _, m := range p.Members {
		w := &d.workers[d.workerIndex[m.Agent]]
		if w.Unschedulable || m.Units > w.Free {
			return fmt.Errorf("placement of %s: %d units on %s, which has %d free", p.Job, m.Units, w.ID, w.Free)
		}
		w.Free -= m.Units
		units += m.Units
	}
	if units != t.Spec.Shape.Accelerators {
		return fmt.Errorf("placement of %s: %d units for shape %s", p.Job, units, t.Spec.Shape)
	}
	d.waiting = without(d.waiting, t)
	d.running = append(d.running, t)
	t.phase, t.members, t.guaranteed, t.attemptStart, t.requeueOnStop =
		phaseRunning, p.Members, p.Guaranteed, d.now, false
	t.attempt++
	if !t.hasStarted {
		t.hasStarted, t.firstStart = true, d.now+startDelay
	}
	t.willFailOn = d.chooseFailingWorker(t)
	duration := t.ActualRunTime
	if t.willFailOn != "" {
		duration = min(duration, failureDelay)
	}
	d.push(event{at: d.now + startDelay + duration, kind: eventAttemptEnd, job: t, attempt: t.attempt})
	return nil
}

// chooseFailingWorker returns the worker on which the attempt will fail, or an empty string if it will succeed.
func (d *driver) chooseFailingWorker(t *trackedJob) string {
	for _, m := range t.members {
		if d.failingWorkers[d.workerIndex[m.Agent]] {
			return m.Agent
		}
	}
	if t.AlwaysFails {
		return t.members[d.rng.IntN(len(t.members))].Agent
	}
	return ""
}
