package cell

import (
	"fmt"
	"sort"
	"time"

	"k8s.io/klog/v2"

	"masticcart.example/masticcart/internal/evacuation"
	"masticcart.example/masticcart/internal/jobs"
	"masticcart.example/masticcart/internal/model"
	"masticcart.example/masticcart/internal/placement"
	"masticcart.example/masticcart/internal/protocol"
)

// plan asks the placement policy for a plan for the current state and starts to carry it out.
func (c *Coordinator) plan(now time.Time) {
	if !c.anyPlannable(now) {
		return
	}
	s := c.Snapshot(now)
	p := c.planner.Plan(s)
	for _, r := range p.Refusals {
		c.refuse(now, r)
	}
	for _, preemption := range p.Preemptions {
		c.preempt(now, preemption)
	}
	for _, pl := range p.Placements {
		if j := c.jobs[pl.Job]; j != nil && j.phase == phaseWaiting {
			c.beginHold(now, j, pl)
		}
	}
	request, evacuated := c.evacuation()
	for _, b := range p.Blocked {
		if evacuated {
			b.Reason = fmt.Sprintf("evacuation: cell %s is evacuated since version %d", c.cell, request.Revision)
			b.WouldChange = "the operators restore the cell"
		}
		if j := c.jobs[b.Job]; j != nil && j.phase == phaseWaiting {
			if j.reason != b.Reason {
				klog.V(1).InfoS("Job waiting", "cell", c.cell, "job", j.key, "reason", b.Reason)
			}
			j.reason, j.wouldChange = b.Reason, b.WouldChange
		}
	}
}

// evacuation returns the request to evacuate the cell. It returns false if there is none.
func (c *Coordinator) evacuation() (evacuation.Request, bool) {
	return c.config().Evacuations.Find(c.cell)
}

func (c *Coordinator) anyPlannable(now time.Time) bool {
	for _, j := range c.jobs {
		if j.phase == phaseWaiting && !now.Before(j.notBefore) {
			return true
		}
	}
	return false
}

func (c *Coordinator) preempt(now time.Time, p placement.Preemption) {
	j := c.jobs[p.Victim]
	if j == nil || j.phase != phaseRunning || !j.record.Job.Spec.Preemptible {
		return
	}
	klog.InfoS("Preempting job", "cell", c.cell, "job", p.Victim, "for", p.Preemptor, "lost_work", p.LostWork)
	c.stopAttempt(now, j, disposition{requeue: true, checkpoint: true, reason: "preempted for " + p.Preemptor.String()})
}

// refuse finishes a job that can never run. A job that ran before it was preempted counts as failed, since a refusal
// states that the job did not run.
func (c *Coordinator) refuse(now time.Time, refusal placement.Refusal) {
	j := c.jobs[refusal.Job]
	if j == nil || j.phase != phaseWaiting {
		return
	}
	pastDeadline := !j.record.Job.Spec.Deadline.IsZero() && now.After(j.record.Job.Spec.Deadline)
	if now.Sub(c.upstreamAddedAt) < upstreamDiscoveryTime && !pastDeadline {
		j.reason, j.wouldChange = refusal.Reason, "upstreams are still announcing themselves to the owner of the cell"
		return
	}
	outcome := model.Outcome{Result: model.ResultRefused, Reason: refusal.Reason}
	if j.record.Job.Ran {
		outcome = model.Outcome{Result: model.ResultFailed, Ran: true, Reason: refusal.Reason}
	}
	klog.InfoS("Refused job", "cell", c.cell, "job", j.key, "team", j.key.Team, "reason", refusal.Reason)
	w := WriteRecordAction{
		Purpose: WriteFinish, Attempt: protocol.TaskRef{Job: j.key},
		Record: jobs.Record{Job: jobs.Finished(j.record.Job, outcome, now), Revision: j.record.Revision},
	}
	j.phase, j.pendingWrite, j.notBefore = phaseWriting, &w, now.Add(platformRetryInterval)
	c.emit(w)
}

// Snapshot returns the state of the cell that the placement policy plans with.
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
			s.Waiting = append(s.Waiting, placement.WaitingJob{
				Spec: r.Spec, Submitted: r.Submitted, FailedOn: r.FailedOn,
				ExpectedRunTime: c.estimates.expectedRunTime(r.Spec),
			})
		}
		return
	}
	if j.attempt == nil || j.phase == phaseWriting {
		return
	}
	for _, m := range j.attempt.members {
		if !m.ended {
			assigned[m.Agent] += m.Units
		}
	}
	since := j.attempt.phaseSince
	if r.State == model.JobClaimed {
		since = r.Claimed // phaseSince is later after a takeover
	}
	s.Running = append(s.Running, placement.RunningJob{
		Spec: r.Spec, Members: j.attempt.modelMembers(), Started: since, Guaranteed: j.attempt.guaranteed,
		Stopping: j.phase == phaseStopping, ExpectedRunTime: c.estimates.expectedRunTime(r.Spec),
	})
}

// addUpstream adds an upstream to the snapshot. Its free units are the smaller of what the agent reports and what is
// not assigned here: the report lags behind holds in flight, and the assignments do not include short requests.
func (c *Coordinator) addUpstream(now time.Time, s *placement.Snapshot, id string, u *upstream, assigned int) {
	_, evacuated := c.evacuation()
	x := placement.Upstream{
		ID: id, Incarnation: u.identity.Incarnation, Rack: u.identity.Rack, Service: u.identity.Service,
		Units: u.identity.Units, Free: max(0, min(u.free, u.identity.Units-assigned)),
		Unschedulable: u.leaving || u.isSilent(now) || u.health.isQuarantined(now) || evacuated,
	}
	if u.identity.Kind == protocol.KindWorker {
		s.Workers = append(s.Workers, x)
		return
	}
	s.Executors = append(s.Executors, x)
}

// QueryViews returns the jobs and the upstreams for operators' queries, sorted by job key and agent.
func (c *Coordinator) QueryViews(now time.Time) ([]protocol.JobView, []protocol.UpstreamView) {
	jobViews := make([]protocol.JobView, 0, len(c.jobs))
	for _, j := range c.jobs {
		v := protocol.JobView{Job: j.record.Job, Phase: j.phase.publicName(), Reason: j.reason, WouldChange: j.wouldChange}
		v.Job.Spec.Key, v.Job.Spec.Payload = j.key, nil
		if a := j.attempt; a != nil {
			v.Job.Members, v.Job.Attempt, v.Job.Guaranteed = a.modelMembers(), a.number, a.guaranteed
		}
		jobViews = append(jobViews, v)
	}
	sort.Slice(jobViews, func(i, j int) bool { return jobViews[i].Job.Spec.Key.Less(jobViews[j].Job.Spec.Key) })
	upstreams := make([]protocol.UpstreamView, 0, len(c.upstreams))
	for _, u := range c.upstreams {
		v := protocol.UpstreamView{Identity: u.identity, Free: u.free, Alive: !u.isSilent(now), Leaving: u.leaving,
			Quarantined: u.health.isQuarantined(now), ConfigVersion: u.configVersion}
		for _, t := range u.tasks {
			s := t.status
			s.Spec, s.Members, s.Output = nil, nil, nil
			v.Tasks = append(v.Tasks, s)
		}
		sort.Slice(v.Tasks, func(i, j int) bool { return v.Tasks[i].Job.Less(v.Tasks[j].Job) })
		upstreams = append(upstreams, v)
	}
	sort.Slice(upstreams, func(i, j int) bool { return upstreams[i].Identity.Agent < upstreams[j].Identity.Agent })
	return jobViews, upstreams
}

// publicName maps a phase to one of the four names that operators filter on.
func (p phase) publicName() string {
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

// Job returns a copy of the owner's record of an open job, or nil if the record is not known.
func (c *Coordinator) Job(key model.JobKey) *model.Job {
	j := c.jobs[key]
	if j == nil || !j.loaded {
		return nil
	}
	record := j.record.Job
	return &record
}
