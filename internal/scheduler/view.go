package scheduler

import (
	"cmp"
	"slices"
	"time"

	"masticcart.example/masticcart/internal/batch"
	"masticcart.example/masticcart/internal/model"
	"masticcart.example/masticcart/internal/protocol"
)

// Phases of a job in a view, as the query language names them.
const (
	phaseWaiting  = "waiting"
	phaseRunning  = "running"
	phaseStopping = "stopping"
)

// View returns the jobs that are known and the workers, in the terms of the query language.
func (c *Core) View(now time.Duration, wall time.Time) ([]protocol.JobView, []protocol.UpstreamView) {
	jobs := make([]protocol.JobView, 0, len(c.all))
	for _, j := range c.all {
		if j.state != forgotten {
			jobs = append(jobs, c.jobView(j, now, wall))
		}
	}
	workers := make([]protocol.UpstreamView, 0, len(c.fleet))
	for _, w := range c.fleet {
		workers = append(workers, c.workerView(w, now))
	}
	return jobs, workers
}

// jobView describes a job. Its shape is what it has on workers, or needs to begin.
func (c *Core) jobView(j *job, now time.Duration, wall time.Time) protocol.JobView {
	held, needed := 0, 0
	units := map[string]int{}
	v := protocol.JobView{Phase: phaseWaiting}
	attempt := 0
	j.each(func(t *task) {
		attempt = max(attempt, t.run)
		n := t.step.spec.Need.Accelerators
		switch {
		case t.active():
			held += n
			units[t.node] += n
			if t.phase == assigned {
				v.Phase = phaseRunning
			} else if v.Phase == phaseWaiting {
				v.Phase = phaseStopping
			}
		case t.phase == waiting && t.step.ready():
			needed += n
			if v.Reason == "" {
				v.Reason = c.whyWaiting(t.step, now)
			}
		}
	})
	q := c.queue(j)
	v.Job = model.Job{Spec: model.JobSpec{Key: model.JobKey{Team: j.Team, ID: j.ID}, Kind: j.Queue.Name, Service: q.Service,
		Shape: model.Shape{Accelerators: cmp.Or(held, needed)}}, State: model.JobAccepted, Attempt: attempt,
		Submitted: wall.Add(-j.waited(now)), Guaranteed: q.Priority == 0 && c.guaranteed(j)}
	if held > 0 {
		v.Job.State = model.JobClaimed
	}
	for node, n := range units {
		v.Job.Members = append(v.Job.Members, model.Member{Agent: node, Incarnation: c.workers[node].life().String(), Units: n})
	}
	slices.SortFunc(v.Job.Members, func(a, b model.Member) int { return cmp.Compare(a.Agent, b.Agent) })
	if result, over := results[j.state]; over {
		v.Job.State, v.Job.Finished = model.JobFinished, j.finishedAt
		v.Job.Outcome = &model.Outcome{Result: result, Ran: j.started}
	}
	return v
}

// results are the final states in the words of the query language.
var results = map[batch.State]model.Result{
	batch.Completed: model.ResultDone, batch.Failed: model.ResultFailed, batch.Cancelled: model.ResultCancelled,
}

func (c *Core) workerView(w *worker, now time.Duration) protocol.UpstreamView {
	v := protocol.UpstreamView{Identity: protocol.Identity{Agent: w.node, Kind: protocol.KindWorker}, Quarantined: now < w.avoidUntil,
		ConfigVersion: c.catalog.Version}
	if w.info == nil {
		return v
	}
	v.Identity.Incarnation, v.Identity.Service, v.Identity.Cell = w.life().String(), w.info.Service, w.info.Cell
	v.Identity.Rack, v.Identity.Units = w.info.Rack, w.info.Capacity.Accelerators
	v.Free = w.info.Capacity.Minus(w.used()).Accelerators
	v.Alive, v.Leaving = !w.left && now-w.clockAt <= freshFor, w.info.Leaving
	for _, t := range w.sorted() {
		phase := protocol.TaskRunning
		if t.phase == stopping {
			phase = protocol.TaskStopping
		}
		v.Tasks = append(v.Tasks, protocol.TaskStatus{Job: model.JobKey{Team: t.step.job().Team, ID: t.id.Job}, Attempt: t.run,
			Phase: phase, Started: t.confirmed})
	}
	return v
}

// ConfigView returns the configuration in the terms of the query language: queues are rules, and the guarantee of a team is
// so many single accelerators anywhere.
func ConfigView(catalog *batch.Catalog) *model.Config {
	config := &model.Config{Version: catalog.Version}
	for i := range catalog.Teams {
		t := &catalog.Teams[i]
		config.Teams = append(config.Teams, model.Team{Name: t.Name})
		if t.GuaranteedAccelerators > 0 {
			config.Guarantees = append(config.Guarantees, model.Guarantee{Team: t.Name, Shape: model.Shape{Accelerators: 1},
				Count: t.GuaranteedAccelerators})
		}
	}
	classes := [...]model.Class{model.ClassUrgent, model.ClassNormal, model.ClassDeferrable}
	for i := range catalog.Queues {
		q := &catalog.Queues[i]
		config.Rules = append(config.Rules, model.Rule{Kind: q.Name, Class: classes[min(max(q.Priority, 0), len(classes)-1)],
			Priority: q.Priority})
	}
	return config
}
