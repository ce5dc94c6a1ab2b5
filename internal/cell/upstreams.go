package cell

import (
	"time"

	"k8s.io/klog/v2"

	"masticcart.example/masticcart/internal/model"
	"masticcart.example/masticcart/internal/protocol"
)

// Announce applies an agent's full state and returns the ended tasks that the agent can forget.
func (c *Coordinator) Announce(now time.Time, a protocol.AnnounceArgs) []protocol.TaskRef {
	id := a.Identity.Agent
	u := c.upstreams[id]
	if u == nil {
		u = &upstream{}
		c.upstreams[id] = u
		c.upstreamAddedAt = now
	}
	if u.identity.Incarnation != a.Identity.Incarnation {
		u.health = health{}
	}
	u.identity, u.free, u.leaving, u.configVersion = a.Identity, a.Free, a.Leaving, a.ConfigVersion
	previous := u.tasks
	u.tasks = make(map[model.JobKey]*taskView)
	c.applyReports(now, u, a.Tasks)
	c.markUnlistedTasksRemoved(now, u, previous)
	return c.markAlive(now, u)
}

// Heartbeat applies an agent's report of changes and returns the ended tasks that the agent can forget. It returns
// false if the agent must announce itself first.
func (c *Coordinator) Heartbeat(now time.Time, h protocol.HeartbeatArgs) ([]protocol.TaskRef, bool) {
	u := c.upstreams[h.Agent]
	if u == nil || u.identity.Incarnation != h.Incarnation {
		return nil, false
	}
	if u.free != h.Free || u.leaving != h.Leaving || len(h.Tasks) > 0 {
		c.planNeeded = true
	}
	u.free, u.leaving, u.configVersion = h.Free, h.Leaving, h.ConfigVersion
	c.applyReports(now, u, h.Tasks)
	return c.markAlive(now, u), true
}

// markAlive records that an agent is alive and returns the ended tasks that the agent can forget. If this entry is
// the owner, the acknowledgement extends the agent's lease.
func (c *Coordinator) markAlive(now time.Time, u *upstream) []protocol.TaskRef {
	u.lastSeen = now
	if !c.owner {
		return nil
	}
	u.lastAckAsOwner = now
	var forget []protocol.TaskRef
	for _, t := range u.tasks {
		ref := t.status.Ref()
		if t.status.Phase.Terminal() && c.canForget(t, ref) {
			forget = append(forget, ref)
		}
	}
	return forget
}

// canForget reports whether the job's record has moved past the attempt, so that the task's result is not needed.
func (c *Coordinator) canForget(t *taskView, ref protocol.TaskRef) bool {
	j := c.jobs[ref.Job]
	if j == nil {
		return t.orphan
	}
	return j.loaded && superseded(j.record.Job, ref)
}

// applyReports applies an agent's reports on its tasks.
func (c *Coordinator) applyReports(now time.Time, u *upstream, tasks []protocol.TaskStatus) {
	for _, s := range tasks {
		t := u.tasks[s.Job]
		if t == nil {
			t = &taskView{checkedAt: now}
			u.tasks[s.Job] = t
		}
		if t.status.Ref() != s.Ref() {
			t.orphan = false
		}
		t.status = s
		if s.Phase == protocol.TaskRemoved {
			delete(u.tasks, s.Job)
		}
		c.planNeeded = true
		if !c.owner {
			continue
		}
		if j := c.jobByAttempt(s.Ref()); j != nil {
			if m := j.attempt.member(u.identity.Agent); m != nil && m.Incarnation == u.identity.Incarnation {
				c.applyTaskStatus(now, j, m, s)
			}
			continue
		}
		c.markReplacedAttemptRemoved(now, u, s)
		c.superviseReportedAttempt(now, u, t)
	}
}

// markReplacedAttemptRemoved treats the supervised attempt of a job as removed at an agent that reports a later
// attempt.
func (c *Coordinator) markReplacedAttemptRemoved(now time.Time, u *upstream, s protocol.TaskStatus) {
	j := c.jobs[s.Job]
	if j == nil || j.attempt == nil || s.Attempt <= j.attempt.number {
		return
	}
	if m := j.attempt.member(u.identity.Agent); m != nil && m.Incarnation == u.identity.Incarnation {
		c.applyTaskStatus(now, j, m, protocol.TaskStatus{Job: s.Job, Attempt: j.attempt.number, Phase: protocol.TaskRemoved})
	}
}

// markUnlistedTasksRemoved treats supervised tasks that a new announcement no longer lists as removed.
func (c *Coordinator) markUnlistedTasksRemoved(now time.Time, u *upstream, previous map[model.JobKey]*taskView) {
	for key, t := range previous {
		if u.tasks[key] != nil {
			continue
		}
		j := c.jobByAttempt(t.status.Ref())
		if j == nil || (j.phase != phaseStarting && j.phase != phaseRunning) {
			continue
		}
		if m := j.attempt.member(u.identity.Agent); m != nil && m.Incarnation == u.identity.Incarnation {
			c.applyTaskStatus(now, j, m, protocol.TaskStatus{
				Job: key, Attempt: t.status.Attempt, Claim: t.status.Claim, Phase: protocol.TaskRemoved,
			})
		}
	}
}

// LargestBlocks returns the number of accelerators of the largest known worker, of the largest rack and of the whole
// cell.
func (c *Coordinator) LargestBlocks() protocol.LargestBlocks {
	var b protocol.LargestBlocks
	racks := make(map[string]int)
	for _, u := range c.upstreams {
		if u.identity.Kind != protocol.KindWorker {
			continue
		}
		b.Worker = max(b.Worker, u.identity.Units)
		racks[u.identity.Rack] += u.identity.Units
		b.Rack = max(b.Rack, racks[u.identity.Rack])
		b.Datacenter += u.identity.Units
	}
	return b
}

// tickTasks reads the records of tasks without a known job, stops tasks that are certainly orphans, and removes
// upstreams that have been silent for upstreamRetention.
func (c *Coordinator) tickTasks(now time.Time) {
	for id, u := range c.upstreams {
		if now.Sub(u.lastSeen) > upstreamRetention {
			delete(c.upstreams, id)
			continue
		}
		for _, t := range u.tasks {
			s := t.status
			if !c.indexListed || s.Phase == protocol.TaskHeld || now.Sub(t.checkedAt) <= orphanCheckDelay {
				continue
			}
			t.checkedAt = now // at most one read or stop in each delay
			if c.jobs[s.Job] == nil && !t.orphan {
				c.emit(LoadRecordAction{Job: s.Job})
				continue
			}
			if !s.Phase.Terminal() && c.isOrphan(t) {
				klog.InfoS("Stopping orphaned task", "cell", c.cell, "job", s.Job, "attempt", s.Attempt, "agent", id)
				c.emit(StopAction{Agent: id, Args: protocol.StopArgs{Incarnation: u.identity.Incarnation,
					Task: s.Ref(), Reason: "no record calls for this attempt"}})
			}
		}
	}
}

// isOrphan reports whether a record that was read does not call for the task, and no attempt here already stops it.
func (c *Coordinator) isOrphan(t *taskView) bool {
	j := c.jobs[t.status.Job]
	if j == nil {
		return t.orphan
	}
	return j.loaded && superseded(j.record.Job, t.status.Ref()) && (j.attempt == nil || j.ref() != t.status.Ref())
}

// upstreamRetention is how long a silent upstream still counts in the inventory against which guarantees are checked.
// An ordinary restart takes less.
const upstreamRetention = 10 * time.Minute
