package cell

import (
	"sort"
	"time"

	"k8s.io/klog/v2"

	"masticcart.example/masticcart/internal/jobs"
	"masticcart.example/masticcart/internal/model"
	"masticcart.example/masticcart/internal/placement"
	"masticcart.example/masticcart/internal/protocol"
)

// plan asks the policy for a decision on the present view and begins to carry it out.
func (c *Coordinator) plan(now time.Time) {
	if !c.anyWaiting(now) {
		return
	}
	s := c.Snapshot(now)
	p := c.planner.Plan(s)
	for _, r := range p.Refusals {
		c.refuse(now, r)
	}
	for _, x := range p.Preemptions {
		c.preempt(now, x)
	}
	for _, pl := range p.Placements {
		if j := c.jobs[pl.Job]; j != nil && j.phase == phaseWaiting {
			c.beginHold(now, j, pl)
		}
	}
	for _, b := range p.Blocked {
		if j := c.jobs[b.Job]; j != nil && j.phase == phaseWaiting {
			if j.reason != b.Reason {
				klog.V(1).InfoS("Job waits", "cell", c.cell, "job", j.key, "reason", b.Reason)
			}
			j.reason, j.wouldChange = b.Reason, b.WouldChange
		}
	}
}

func (c *Coordinator) anyWaiting(now time.Time) bool {
	for _, j := range c.jobs {
		if j.phase == phaseWaiting && !now.Before(j.notBefore) {
			return true
		}
	}
	return false
}

func (c *Coordinator) preempt(now time.Time, x placement.Preemption) {
	j := c.jobs[x.Victim]
	if j == nil || j.phase != phaseRunning || !j.record.Job.Spec.Preemptible {
		return
	}
	klog.InfoS("Preempting job", "cell", c.cell, "job", x.Victim, "for", x.Preemptor, "lost_work", x.LostWork)
	c.stopAttempt(now, j, ending{requeue: true, checkpoint: true, reason: "preempted for " + x.Preemptor.String()})
}

// refuse ends a job that can never run. A job that ran before it was preempted cannot be refused any more.
func (c *Coordinator) refuse(now time.Time, x placement.Refusal) {
	j := c.jobs[x.Job]
	if j == nil || j.phase != phaseWaiting {
		return
	}
	late := !j.record.Job.Spec.Deadline.IsZero() && now.After(j.record.Job.Spec.Deadline)
	if now.Sub(c.grownAt) < settleTime && !late {
		j.reason, j.wouldChange = x.Reason, "upstreams are still announcing themselves to the owner of the cell"
		return
	}
	o := model.Outcome{Result: model.ResultRefused, Reason: x.Reason}
	if j.record.Job.Ran {
		o = model.Outcome{Result: model.ResultFailed, Ran: true, Reason: x.Reason}
	}
	klog.InfoS("Refused job", "cell", c.cell, "job", j.key, "team", j.key.Team, "reason", x.Reason)
	w := WriteRecordAction{Purpose: WriteFinish, Attempt: protocol.TaskRef{Job: j.key}, Record: jobs.Record{Job: jobs.Finished(j.record.Job, o, now), Revision: j.record.Revision}}
	j.phase, j.pending, j.notBefore = phaseWriting, &w, now.Add(platformRetry)
	c.emit(w)
}

// Snapshot is the policy's view of the cell.
func (c *Coordinator) Snapshot(now time.Time) *placement.Snapshot {
	s := &placement.Snapshot{Now: now, Cell: c.cell, Config: c.config()}
	assigned := make(map[string]int)
	for _, j := range c.jobs {
		c.addJob(now, s, j, assigned)
	}
	for id, u := range c.upstreams {
		c.addUpstream(now, s, id, u, assigned[id])
	}
	sort.Slice(s.Workers, func(i, j int) bool { return s.Workers[i].ID < s.Workers[j].ID })
	sort.Slice(s.Executors, func(i, j int) bool { return s.Executors[i].ID < s.Executors[j].ID })
	sort.Slice(s.Running, func(i, j int) bool { return s.Running[i].Spec.Key.Less(s.Running[j].Spec.Key) })
	sort.Slice(s.Waiting, func(i, j int) bool { return s.Waiting[i].Spec.Key.Less(s.Waiting[j].Spec.Key) })
	return s
}

func (c *Coordinator) addJob(now time.Time, s *placement.Snapshot, j *job, assigned map[string]int) {
	r := j.record.Job
	if j.phase == phaseWaiting {
		if !now.Before(j.notBefore) {
			s.Waiting = append(s.Waiting, placement.WaitingJob{Spec: r.Spec, Submitted: r.Submitted, FailedOn: r.FailedOn, ExpectedRunTime: c.estimates.expected(r.Spec)})
		}
		return
	}
	if j.attempt == nil || j.phase == phaseWriting {
		return
	}
	for _, m := range j.attempt.members {
		if !m.resolved {
			assigned[m.Agent] += m.Units
		}
	}
	since := j.attempt.since
	if r.State == model.JobClaimed {
		since = r.Claimed // also right after a takeover
	}
	s.Running = append(s.Running, placement.RunningJob{
		Spec: r.Spec, Members: j.attempt.modelMembers(), Started: since, Guaranteed: j.attempt.guaranteed,
		Stopping: j.phase == phaseStopping, ExpectedRunTime: c.estimates.expected(r.Spec),
	})
}

// addUpstream uses the smaller of what the agent reports as free and what is not assigned here: the report
// lags behind holds on their way, and the assignments do not know of short requests.
func (c *Coordinator) addUpstream(now time.Time, s *placement.Snapshot, id string, u *upstream, assigned int) {
	x := placement.Upstream{
		ID: id, Incarnation: u.identity.Incarnation, Rack: u.identity.Rack, Service: u.identity.Service,
		Units: u.identity.Units, Free: max(0, min(u.free, u.identity.Units-assigned)),
		Unschedulable: u.leaving || u.silent(now) || u.health.quarantined(now),
	}
	if u.identity.Kind == protocol.KindWorker {
		s.Workers = append(s.Workers, x)
		return
	}
	s.Executors = append(s.Executors, x)
}

// QueryViews returns the jobs and upstreams for operators' queries.
func (c *Coordinator) QueryViews(now time.Time) ([]protocol.JobView, []protocol.UpstreamView) {
	views := make([]protocol.JobView, 0, len(c.jobs))
	for _, j := range c.jobs {
		v := protocol.JobView{Job: j.record.Job, Phase: j.phase.public(), Reason: j.reason, WouldChange: j.wouldChange}
		v.Job.Spec.Key, v.Job.Spec.Payload = j.key, nil
		if a := j.attempt; a != nil {
			v.Job.Members, v.Job.Attempt, v.Job.Guaranteed = a.modelMembers(), a.number, a.guaranteed
		}
		views = append(views, v)
	}
	sort.Slice(views, func(i, j int) bool { return views[i].Job.Spec.Key.Less(views[j].Job.Spec.Key) })
	workers := make([]protocol.UpstreamView, 0, len(c.upstreams))
	for _, u := range c.upstreams {
		w := protocol.UpstreamView{Identity: u.identity, Free: u.free, Alive: !u.silent(now), Leaving: u.leaving,
			Quarantined: u.health.quarantined(now), ConfigVersion: u.config}
		for _, t := range u.tasks {
			s := t.status
			s.Spec, s.Members, s.Output = nil, nil, nil
			w.Tasks = append(w.Tasks, s)
		}
		sort.Slice(w.Tasks, func(i, j int) bool { return w.Tasks[i].Job.Less(w.Tasks[j].Job) })
		workers = append(workers, w)
	}
	sort.Slice(workers, func(i, j int) bool { return workers[i].Identity.Agent < workers[j].Identity.Agent })
	return views, workers
}

// public maps the internal phases to the four that operators filter on.
func (p phase) public() string {
	switch p {
	case phaseWaiting, phaseLoading:
		return "waiting"
	case phaseHolding, phaseCommitting, phaseStarting:
		return "holding"
	case phaseRunning:
		return "running"
	}
	return "stopping"
}

// Job returns a copy of the owner's record of an open job, or nil.
func (c *Coordinator) Job(key model.JobKey) *model.Job {
	j := c.jobs[key]
	if j == nil || !j.loaded {
		return nil
	}
	record := j.record.Job
	return &record
}
