package cell

import (
	"time"

	"k8s.io/klog/v2"

	"masticcart.example/masticcart/internal/model"
	"masticcart.example/masticcart/internal/protocol"
)

// Announce takes an agent's full state. It returns the ended tasks that the agent can forget.
func (c *Coordinator) Announce(now time.Time, a protocol.AnnounceArgs) []protocol.TaskRef {
	id := a.Identity.Agent
	u := c.upstreams[id]
	if u == nil {
		u = &upstream{}
		c.upstreams[id] = u
		c.grownAt = now
	}
	if u.identity.Incarnation != a.Identity.Incarnation {
		u.health = health{}
	}
	u.identity, u.free, u.leaving, u.config = a.Identity, a.Free, a.Leaving, a.ConfigVersion
	known := u.tasks
	u.tasks = make(map[model.JobKey]*taskView)
	c.reported(now, u, a.Tasks)
	c.reportMissing(now, u, known)
	return c.seen(now, u)
}

// Heartbeat takes an agent's report. It returns false for an agent that must announce itself first.
func (c *Coordinator) Heartbeat(now time.Time, h protocol.HeartbeatArgs) ([]protocol.TaskRef, bool) {
	u := c.upstreams[h.Agent]
	if u == nil || u.identity.Incarnation != h.Incarnation {
		return nil, false
	}
	if u.free != h.Free || u.leaving != h.Leaving || len(h.Tasks) > 0 {
		c.dirty = true
	}
	u.free, u.leaving, u.config = h.Free, h.Leaving, h.ConfigVersion
	c.reported(now, u, h.Tasks)
	return c.seen(now, u), true
}

// seen notes that the agent is alive. Its lease is extended by the acknowledgement if this entry is owner.
func (c *Coordinator) seen(now time.Time, u *upstream) []protocol.TaskRef {
	u.lastSeen = now
	if !c.owner {
		return nil
	}
	u.lastOwned = now
	var forget []protocol.TaskRef
	for _, t := range u.tasks {
		ref := t.status.Ref()
		if t.status.Phase.Terminal() && c.recorded(t, ref) {
			forget = append(forget, ref)
		}
	}
	return forget
}

// recorded reports whether the job's record has moved past the attempt, so that its result is not needed.
func (c *Coordinator) recorded(t *taskView, ref protocol.TaskRef) bool {
	j := c.jobs[ref.Job]
	if j == nil {
		return t.orphan
	}
	return j.loaded && superseded(j.record.Job, ref)
}

func (c *Coordinator) reported(now time.Time, u *upstream, tasks []protocol.TaskStatus) {
	for _, s := range tasks {
		t := u.tasks[s.Job]
		if t == nil {
			t = &taskView{seen: now}
			u.tasks[s.Job] = t
		}
		if t.status.Ref() != s.Ref() {
			t.orphan = false
		}
		t.status = s
		if s.Phase == protocol.TaskRemoved {
			delete(u.tasks, s.Job)
		}
		c.dirty = true
		if !c.owner {
			continue
		}
		if j := c.current(s.Ref()); j != nil {
			if m := j.attempt.member(u.identity.Agent); m != nil && m.Incarnation == u.identity.Incarnation {
				c.observe(now, j, m, s)
			}
			continue
		}
		c.replaced(now, u, s)
		c.adoptTask(now, u, t)
	}
}

// replaced notes that an agent which reports a later attempt no longer has the one that is supervised here.
func (c *Coordinator) replaced(now time.Time, u *upstream, s protocol.TaskStatus) {
	j := c.jobs[s.Job]
	if j == nil || j.attempt == nil || s.Attempt <= j.attempt.number {
		return
	}
	if m := j.attempt.member(u.identity.Agent); m != nil && m.Incarnation == u.identity.Incarnation {
		c.observe(now, j, m, protocol.TaskStatus{Job: s.Job, Attempt: j.attempt.number, Phase: protocol.TaskRemoved})
	}
}

// reportMissing treats tasks that a new announcement no longer contains as removed.
func (c *Coordinator) reportMissing(now time.Time, u *upstream, known map[model.JobKey]*taskView) {
	for key, t := range known {
		if u.tasks[key] != nil {
			continue
		}
		j := c.current(t.status.Ref())
		if j == nil || (j.phase != phaseStarting && j.phase != phaseRunning) {
			continue
		}
		if m := j.attempt.member(u.identity.Agent); m != nil && m.Incarnation == u.identity.Incarnation {
			c.observe(now, j, m, protocol.TaskStatus{Job: key, Attempt: t.status.Attempt, Claim: t.status.Claim, Phase: protocol.TaskRemoved})
		}
	}
}

// LargestBlocks returns the largest blocks of accelerators that the known workers form.
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

// tickTasks reads the records of tasks that no known job calls for, stops them once that is certain, and forgets upstreams that are long gone.
func (c *Coordinator) tickTasks(now time.Time) {
	for id, u := range c.upstreams {
		if now.Sub(u.lastSeen) > forgetUpstream {
			delete(c.upstreams, id)
			continue
		}
		for _, t := range u.tasks {
			s := t.status
			if !c.listed || s.Phase == protocol.TaskHeld || now.Sub(t.seen) <= orphanDelay {
				continue
			}
			t.seen = now // at most one read or stop in each delay
			if c.jobs[s.Job] == nil && !t.orphan {
				c.emit(LoadRecordAction{Job: s.Job})
				continue
			}
			if !s.Phase.Terminal() && c.orphan(t) {
				klog.InfoS("Stopping orphaned task", "cell", c.cell, "job", s.Job, "attempt", s.Attempt, "agent", id)
				c.emit(StopAction{Agent: id, Args: protocol.StopArgs{Incarnation: u.identity.Incarnation,
					Task: s.Ref(), Reason: "no record calls for this attempt"}})
			}
		}
	}
}

// orphan reports whether a record that was read does not call for the task, and nothing here stops it already.
func (c *Coordinator) orphan(t *taskView) bool {
	j := c.jobs[t.status.Job]
	if j == nil {
		return t.orphan
	}
	return j.loaded && superseded(j.record.Job, t.status.Ref()) && (j.attempt == nil || j.ref() != t.status.Ref())
}

// forgetUpstream is how long a silent upstream still counts in the inventory that guarantees are checked
// against. An ordinary restart takes less.
const forgetUpstream = 10 * time.Minute
