package scheduler

import (
	"time"

	"k8s.io/klog/v2"

	"masticcart.example/masticcart/internal/batch"
)

// ends processes the ends that a worker lists, in their order.
func (c *Core) ends(w *worker, ended []batch.EndedTask, now time.Duration, wall time.Time) {
	for _, e := range ended {
		if e.Number <= w.seenEnd {
			continue
		}
		w.seenEnd = e.Number
		j := c.jobs[e.Task.Job]
		if j == nil {
			continue
		}
		t := j.find(e.Task)
		if t == nil || t.run != e.Run || !t.active() || t.node != w.node || t.life != w.info.Incarnation {
			klog.V(1).InfoS("Ignored end of an old run", "task", e.Task, "run", e.Run, "node", w.node, "how", e.Outcome)
			continue
		}
		klog.InfoS("Run ended", "task", e.Task, "run", e.Run, "node", w.node, "worker", w.info.Incarnation, "how", e.Outcome,
			"number", e.Number, "cores", t.step.spec.Need.CoreEquivalents(), "tookMs", (now - t.startedAt).Milliseconds(), "checkpoint", e.Checkpoint,
			"reason", t.reason)
		c.end(w, t, e, now, wall)
	}
}

func (c *Core) end(w *worker, t *task, e batch.EndedTask, now time.Duration, wall time.Time) {
	j := t.step.job()
	if e.Checkpoint != "" {
		t.checkpoint = e.Checkpoint
	}
	final := j.state.Final()
	switch {
	case final:
		c.release(t, now)
	case e.Outcome == batch.OutcomeDone:
		w.failures = 0
		c.observe(t, now)
		c.complete(t, now, wall)
	case e.Outcome == batch.OutcomeFailed:
		c.fail(w, t, now, wall)
	default:
		c.release(t, now)
		c.breakGang(t, "member ended "+string(e.Outcome), now)
	}
}

// complete takes a task, or all members of its gang, as done.
func (c *Core) complete(t *task, now time.Duration, wall time.Time) {
	members := []*task{t}
	if t.step.spec.Gang {
		members = nil
		for _, m := range t.step.tasks {
			if m.phase != done && m.run == t.run {
				members = append(members, m)
			}
		}
	}
	for _, m := range members {
		if m.active() {
			c.detach(m)
		}
		m.phase = done
		t.step.open--
		c.stats.Done++
	}
	j := t.step.job()
	j.dirty = true
	c.changed = true
	o := t.step.occurrence
	if t.step.open > 0 {
		return
	}
	if o.open--; o.open > 0 {
		return
	}
	delete(j.occurrences, o.number)
	if j.ended++; j.ended == j.Occurrences() {
		c.finish(j, batch.Completed, now, wall)
	}
}

// fail counts a failed run. The job fails when a task, or a gang as one, has used up its attempts.
func (c *Core) fail(w *worker, t *task, now time.Duration, wall time.Time) {
	c.stats.Failed++
	j, s := t.step.job(), t.step
	t.fails++
	fails := t.fails
	if s.spec.Gang {
		if s.failedRun != t.run {
			s.failedRun = t.run
			s.gangFails++
		}
		fails = max(s.gangFails, fails)
	}
	t.avoid(w.node)
	c.suspect(w, t, now)
	c.release(t, now)
	limit := c.queue(j).MaxAttempts
	if !s.spec.LongRunning && limit > 0 && fails >= limit {
		klog.InfoS("Attempts used up", "task", t.id, "run", t.run, "fails", fails, "limit", limit)
		c.finish(j, batch.Failed, now, wall)
		return
	}
	c.breakGang(t, "member failed", now)
}

// breakGang stops the other members of the run of a gang of which one has ended.
func (c *Core) breakGang(t *task, reason string, now time.Duration) {
	if !t.step.spec.Gang {
		return
	}
	for _, m := range t.step.tasks {
		if m.phase == assigned && m.run == t.run {
			c.stop(m, reason, now)
		}
	}
}

// release takes a run as ended without success. The task waits again unless its job is over.
func (c *Core) release(t *task, now time.Duration) {
	c.detach(t)
	t.phase = waiting
	if t.step.job().state.Final() {
		t.phase = done
	}
	t.retryAt = now
	t.step.job().dirty = true
	c.changed = true
}

// detach removes a task from its worker.
func (c *Core) detach(t *task) {
	if w := c.workers[t.node]; w != nil {
		delete(w.tasks, t)
	}
	t.node, t.life, t.confirmed, t.missing, t.reason = "", batch.Incarnation{}, false, 0, ""
	t.percent, t.stopAt, t.stopSettled = 0, 0, 0
}

// stop orders a run to stop. The room of the task is free when its end is certain.
func (c *Core) stop(t *task, reason string, now time.Duration) {
	klog.InfoS("Stopping run", "task", t.id, "run", t.run, "node", t.node, "worker", t.life, "reason", reason,
		"percent", t.percent)
	t.phase, t.reason = stopping, reason
	c.sendStop(t, now)
}

func (c *Core) sendStop(t *task, now time.Duration) {
	t.stopAt = now
	c.outbox = append(c.outbox, Order{Kind: OrderStop, Node: t.node, Incarnation: t.life, Task: t.id, Run: t.run})
}

// ApplyVerdict takes a worker's answer to an order.
func (c *Core) ApplyVerdict(o Order, v batch.Verdict, problem string, now time.Duration) {
	t := c.current(o)
	if t == nil {
		return
	}
	if o.Kind == OrderStop {
		if t.stopSettled == 0 && (v == batch.VerdictAccepted || v == batch.VerdictStale) {
			t.stopSettled = now // a run that was seen is listed as ended; of any other the next report tells
		}
		return
	}
	klog.InfoS("Start answered", "task", o.Task, "run", o.Run, "node", o.Node, "worker", o.Incarnation, "verdict", v,
		"problem", problem, "phase", t.phase, "sinceAssignedMs", (now - t.assignedAt).Milliseconds())
	switch v {
	case batch.VerdictAccepted:
		c.confirm(t, now)
	case batch.VerdictUnknown:
		t.doubtful = true
		if t.phase == assigned && now-t.assignedAt < c.config.GangWait/2 {
			t.repeatAt = now + retryPause
		} else if t.phase == assigned {
			c.stop(t, "no answer to the start", now)
			c.breakGang(t, "member did not answer", now)
		}
	case batch.VerdictOldIncarnation:
		// The life that the order was for has ended; the report of the new one releases the task.
	default:
		c.stats.Refused++
		if t.phase == stopping {
			return // the answer to the stop tells for certain
		}
		switch {
		case v == batch.VerdictStale:
			// The run has been stopped or has ended there, perhaps well: the next report tells.
			t.phase, t.reason, t.stopAt, t.stopSettled = stopping, "start was stale", now, now
		case t.doubtful:
			c.stop(t, "refused after an order without an answer", now)
		default:
			c.release(t, now)
			t.retryAt = now + retryPause
		}
		c.breakGang(t, "member was refused: "+string(v), now)
	}
}

func (c *Core) confirm(t *task, now time.Duration) {
	if t.confirmed {
		return
	}
	c.stats.Started++
	t.confirmed, t.confirmedAt, t.startedAt, t.percentAt = true, now, now, now
	t.startPct, t.paceFrom = 0, now
	if t.checkpoint != "" || !t.ordered || t.doubtful {
		t.startPct = -1
	}
	if j := t.step.job(); !j.started {
		j.started, j.dirty = true, true
		if j.state == batch.Queued {
			j.state = batch.Running
		}
	}
}

// running compares what runs on a worker with what should.
func (c *Core) running(w *worker, r Report) {
	now := r.ReceivedAt
	present := make(map[*task]bool, len(w.tasks))
	for _, run := range r.Runs.Running {
		var t *task
		if j := c.jobs[run.Task.Job]; j != nil {
			t = j.find(run.Task)
		}
		if t == nil || !t.active() || t.run != run.Run || t.node != w.node || t.life != w.info.Incarnation {
			c.stray(w, run, now)
			continue
		}
		present[t] = true
		c.confirm(t, now)
		t.missing = 0
		if run.Checkpoint != "" && run.Checkpoint != t.checkpoint {
			t.checkpoint = run.Checkpoint
			t.step.job().unsaved = true
		}
		if t.startPct < 0 { // resumed from a checkpoint, or adopted from the leader before
			t.startPct, t.paceFrom = run.Percent, now
		}
		if run.Percent != t.percent {
			t.percent, t.percentAt = run.Percent, now
		}
		if reason := c.straggling(t, now); reason != "" {
			c.move(w, t, reason, now)
		}
	}
	for _, t := range w.sorted() {
		if present[t] || t.life != w.info.Incarnation {
			continue
		}
		switch {
		case t.phase == stopping && t.stopSettled != 0 && r.SentAt > t.stopSettled+c.config.StopTimeout:
			klog.InfoS("Run is gone", "task", t.id, "run", t.run, "node", w.node, "reason", t.reason)
			c.release(t, now)
		case t.phase == assigned && t.step.job().state.Final():
			c.stop(t, "job "+string(t.step.job().state), now)
		case t.phase == assigned && !t.ordered && !t.step.job().dirty && !t.step.job().writing:
			// Recorded by the leader before, which may not have sent the order.
			t.ordered, t.doubtful, t.assignedAt = true, true, now
			c.outbox = append(c.outbox, c.startOrder(t))
		case t.phase == assigned && t.confirmed && r.SentAt > t.confirmedAt && len(r.Runs.Ended) < endsPerAnswer:
			if t.missing++; t.missing >= missingReports {
				c.stop(t, "missing from the worker's list", now)
			}
		}
	}
}

// startOrder returns the order to start the present run of a task.
func (c *Core) startOrder(t *task) Order {
	return Order{Kind: OrderStart, Node: t.node, Incarnation: t.life, Task: t.id, Run: t.run, Payload: t.step.job().Payload,
		Checkpoint: t.checkpoint}
}

// endsPerAnswer is the most ends that a worker lists at a time; with as many, others may follow.
const endsPerAnswer = 500

// stray stops a run that no record calls for.
func (c *Core) stray(w *worker, run batch.RunningTask, now time.Duration) {
	name := run.Task.String()
	if last, ok := w.strayStops[name]; ok && now-last < stopRepeat {
		return
	}
	if j := c.jobs[run.Task.Job]; j == nil && now-c.started < strayGrace {
		return // the watch may not have brought the job yet
	}
	klog.InfoS("Stopping stray run", "task", run.Task, "run", run.Run, "node", w.node, "worker", w.info.Incarnation)
	w.strayStops[name] = now
	c.outbox = append(c.outbox, Order{Kind: OrderStop, Node: w.node, Incarnation: w.info.Incarnation, Task: run.Task, Run: run.Run})
}

// strayGrace is the time after a takeover in which a run of an unknown job is left alone.
const strayGrace = time.Second
