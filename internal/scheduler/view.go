package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"masticcart.example/masticcart/internal/batch"
	"masticcart.example/masticcart/internal/model"
	"masticcart.example/masticcart/internal/protocol"
)

// Phases of a job in the terms of the query language.
const (
	phaseWaiting  = "waiting"
	phaseRunning  = "running"
	phaseStopping = "stopping"
)

// View returns all jobs and workers in the terms of the query language.
func (c *Core) View(now time.Duration, wall time.Time) ([]protocol.JobView, []protocol.UpstreamView) {
	jobs := make([]protocol.JobView, 0, len(c.allJobs))
	for _, j := range c.allJobs {
		if j.state != stateDeleted {
			jobs = append(jobs, c.jobView(j, now, wall))
		}
	}
	workers := make([]protocol.UpstreamView, 0, len(c.sortedWorkers))
	for _, w := range c.sortedWorkers {
		workers = append(workers, c.workerView(w, now))
	}
	return jobs, workers
}

// jobView describes a job. The accelerators in its shape are those it occupies, or those its waiting tasks need.
func (c *Core) jobView(j *job, now time.Duration, wall time.Time) protocol.JobView {
	assignedAccelerators, waitingAccelerators := 0, 0
	acceleratorsByNode := map[string]int{}
	v := protocol.JobView{Phase: phaseWaiting}
	attempt := 0
	j.forEachTask(func(t *task) {
		attempt = max(attempt, t.run)
		n := t.step.spec.Need.Accelerators
		switch {
		case t.active():
			assignedAccelerators += n
			acceleratorsByNode[t.node] += n
			if t.phase == assigned {
				v.Phase = phaseRunning
			} else if v.Phase == phaseWaiting {
				v.Phase = phaseStopping
			}
		case t.phase == waiting && t.step.ready():
			waitingAccelerators += n
			if v.Reason == "" {
				v.Reason = c.waitReason(t.step, now)
			}
		}
	})
	q := c.queue(j)
	v.Job = model.Job{Spec: model.JobSpec{Key: model.JobKey{Team: j.Team, ID: j.ID}, Kind: j.Queue.Name,
		Service: q.Service, Shape: model.Shape{Accelerators: cmp.Or(assignedAccelerators, waitingAccelerators)}},
		State: model.JobAccepted, Attempt: attempt,
		Submitted: wall.Add(-j.age(now)), Guaranteed: q.Priority == 0 && c.withinGuarantee(j)}
	if assignedAccelerators > 0 {
		v.Job.State = model.JobClaimed
	}
	for node, n := range acceleratorsByNode {
		v.Job.Members = append(v.Job.Members,
			model.Member{Agent: node, Incarnation: c.workers[node].incarnation().String(), Units: n})
	}
	slices.SortFunc(v.Job.Members, func(a, b model.Member) int { return cmp.Compare(a.Agent, b.Agent) })
	if result, final := results[j.state]; final {
		v.Job.State, v.Job.Finished = model.JobFinished, j.finishedAt
		v.Job.Outcome = &model.Outcome{Result: result, Ran: j.started}
	}
	return v
}

// results maps the final states to the terms of the query language.
var results = map[batch.State]model.Result{
	batch.Completed: model.ResultDone, batch.Failed: model.ResultFailed, batch.Cancelled: model.ResultCancelled,
}

func (c *Core) workerView(w *worker, now time.Duration) protocol.UpstreamView {
	v := protocol.UpstreamView{Identity: protocol.Identity{Agent: w.node, Kind: protocol.KindWorker},
		Quarantined: now < w.quarantinedUntil, ConfigVersion: c.catalog.Version}
	if w.info == nil {
		return v
	}
	v.Identity.Incarnation, v.Identity.Service, v.Identity.Cell = w.incarnation().String(), w.info.Service, w.info.Cell
	v.Identity.Rack, v.Identity.Units = w.info.Rack, w.info.Capacity.Accelerators
	v.Free = w.info.Capacity.Minus(w.reserved()).Accelerators
	v.Alive, v.Leaving = !w.deregistered && now-w.reportedAt <= maxReportAge, w.info.Leaving
	if e := c.speeds(w.info.Service).Estimate(w.node); e.Confidence > 0 {
		v.Speed = int(math.Round(100 * e.Factor))
	}
	for _, t := range w.sortedTasks() {
		phase := protocol.TaskRunning
		if t.phase == stopping {
			phase = protocol.TaskStopping
		}
		v.Tasks = append(v.Tasks, protocol.TaskStatus{Job: model.JobKey{Team: t.step.job().Team, ID: t.id.Job},
			Attempt: t.run, Phase: phase, Started: t.confirmed})
	}
	return v
}

// ConfigView returns the configuration in the terms of the query language: each queue is a rule, and the guarantee of a
// team is a number of single accelerators anywhere.
func ConfigView(catalog *batch.Catalog) *model.Config {
	config := &model.Config{Version: catalog.Version}
	for i := range catalog.Teams {
		t := &catalog.Teams[i]
		config.Teams = append(config.Teams, model.Team{Name: t.Name})
		if t.GuaranteedAccelerators > 0 {
			config.Guarantees = append(config.Guarantees, model.Guarantee{Team: t.Name,
				Shape: model.Shape{Accelerators: 1}, Count: t.GuaranteedAccelerators})
		}
	}
	classes := [...]model.Class{model.ClassUrgent, model.ClassNormal, model.ClassDeferrable}
	for i := range catalog.Queues {
		q := &catalog.Queues[i]
		config.Rules = append(config.Rules, model.Rule{Kind: q.Name,
			Class: classes[min(max(q.Priority, 0), len(classes)-1)], Priority: q.Priority})
	}
	return config
}
