package scheduler

import (
	"fmt"
	"time"

	"k8s.io/klog/v2"

	"masticcart.example/masticcart/internal/batch"
)

// applyEnds applies the ended runs that an incarnation of a worker has listed, in their order. Runs that were applied before
// are skipped.
func (c *Core) applyEnds(w *worker, incarnation batch.Incarnation, ended []batch.EndedTask, now time.Duration,
	wall time.Time) {
	for _, e := range ended {
		if e.Number <= w.ends.Applied(incarnation) {
			continue
		}
		w.ends.NoteApplied(incarnation, e.Number)
		j := c.jobs[e.Task.Job]
		if j == nil {
			continue
		}
		t := j.findTask(e.Task)
		if t == nil || t.run != e.Run || !t.active() || t.node != w.node || t.incarnation != incarnation {
			klog.V(1).InfoS("Ignored end of a superseded run", "task", e.Task, "run", e.Run, "node", w.node,
				"how", e.Outcome)
			continue
		}
		klog.InfoS("Run ended", "task", e.Task, "run", e.Run, "node", w.node, "worker", incarnation,
			"how", e.Outcome, "number", e.Number, "cores", t.step.spec.Need.CoreEquivalents(),
			"tookMs", (now - t.startedAt).Milliseconds(), "checkpoint", e.Checkpoint, "reason", t.reason)
		c.applyEnd(w, t, e, now, wall)
	}
}

func (c *Core) applyEnd(w *worker, t *task, e batch.EndedTask, now time.Duration, wall time.Time) {
	j := t.step.job()
	if e.Checkpoint != "" && e.Checkpoint != t.checkpoint {
		t.checkpoint, t.checkpointAt = e.Checkpoint, now
	}
	final := j.state.Final()
	switch {
	case final:
		c.requeue(t, finalLossCause(j.state), now)
	case e.Outcome == batch.OutcomeDone && t.step.spec.LongRunning:
		w.failedJobs = 0
		t.crash = crashHistory{} // a task that can end as done does not crash its workers
		delete(c.suspects, t)
		c.requeue(t, LossRestarted, now)
		t.delayRestart(now)
		c.stopGang(t, LossRestarted, "member ended", now)
	case e.Outcome == batch.OutcomeDone:
		w.failedJobs = 0
		// A member of a gang waits for the others. The speed of an earlier incarnation says nothing of the present one.
		if !t.step.spec.Gang && t.incarnation == w.incarnation() {
			c.observeSpeed(w, t, completePercent, now)
		}
		c.recordDuration(t, now)
		c.recordPrediction(t)
		c.completeTask(t, now, wall)
	case e.Outcome == batch.OutcomeFailed:
		c.countFailure(w, t, now, wall)
	default:
		c.requeue(t, LossEnded, now)
		c.stopGang(t, LossMemberLost, "member ended "+string(e.Outcome), now)
	}
}

// completeTask marks a task, or all members of its gang, as done.
func (c *Core) completeTask(t *task, now time.Duration, wall time.Time) {
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
			c.unassign(m)
		}
		m.phase = done
		t.step.openTasks--
		c.stats.Done++
	}
	j := t.step.job()
	j.dirty = true
	c.planNeeded = true
	o := t.step.occurrence
	if t.step.openTasks > 0 {
		return
	}
	if o.openSteps--; o.openSteps > 0 {
		return
	}
	c.closeOccurrence(o)
	if j.endedOccurrences++; j.endedOccurrences == j.Occurrences() {
		c.finish(j, batch.Completed, now, wall)
	}
}

// countFailure counts a failed run. The job fails when the task, or the gang as a whole, has used up its attempts.
func (c *Core) countFailure(w *worker, t *task, now time.Duration, wall time.Time) {
	c.stats.Failed++
	j, s := t.step.job(), t.step
	t.failures++
	failures := t.failures
	if s.spec.Gang {
		if s.lastFailedRun != t.run {
			s.lastFailedRun = t.run
			s.gangFailures++
		}
		failures = max(s.gangFailures, failures)
	}
	t.avoid(w.node)
	c.countWorkerFailure(w, t, now)
	c.requeue(t, LossFailed, now)
	if s.spec.LongRunning {
		t.delayRestart(now)
	}
	limit := c.queue(j).MaxAttempts
	if !s.spec.LongRunning && limit > 0 && failures >= limit {
		klog.InfoS("Attempts used up", "task", t.id, "run", t.run, "fails", failures, "limit", limit)
		j.failure = fmt.Sprintf("task %v has failed %d times, the limit of the queue is %d", t.id, failures, limit)
		c.finish(j, batch.Failed, now, wall)
		return
	}
	c.stopGang(t, LossMemberFailed, "member failed", now)
}

// stopGang stops the remaining members of a gang's run after one of them has ended.
func (c *Core) stopGang(t *task, cause LossCause, reason string, now time.Duration) {
	if !t.step.spec.Gang {
		return
	}
	for _, m := range t.step.tasks {
		if m.phase == assigned && m.run == t.run {
			c.stopRun(m, cause, reason, now)
		}
	}
}

// withdrawStart requeues a task, or all members of its gang, whose assignment is recorded and whose start orders have
// not been sent.
func (c *Core) withdrawStart(t *task, reason string, now time.Duration) {
	klog.InfoS("Start withdrawn", "task", t.id, "run", t.run, "node", t.node, "reason", reason)
	members := []*task{t}
	if t.step.spec.Gang {
		members = t.step.tasks
	}
	run := t.run
	for _, m := range members {
		if m.phase == assigned && m.run == run && !m.startSent {
			c.requeue(m, LossOrder, now)
		}
	}
}

// requeue handles the end of a run without success: the task waits to be placed again unless its job is in a final
// state. cause is why its work is lost, unless the run was being stopped for another reason.
func (c *Core) requeue(t *task, cause LossCause, now time.Duration) {
	c.recordLoss(t, cause, now)
	if t.isolated() && t.mayHaveRun() {
		t.crash.IsolatedRuns++
	}
	c.unassign(t)
	t.phase, t.step.incomplete = waiting, t.step.spec.Gang
	if t.step.job().state.Final() {
		t.phase = done
	}
	t.retryAt = now
	t.step.job().dirty = true
	c.planNeeded = true
}

const (
	// minRestartDelay is the delay after the first short run of a long-running task. It doubles with each further one up
	// to maxRestartDelay, which is well within the 6 s that the platform's rules allow between two runs.
	minRestartDelay = 250 * time.Millisecond
	maxRestartDelay = 2 * time.Second
	// longRunTime is the duration from which on a run of a long-running task does not count as short.
	longRunTime = 10 * time.Second
)

// delayRestart lets a long-running task whose run has ended by itself wait, so that one that cannot stay up does not keep the
// store and its worker busy.
func (t *task) delayRestart(now time.Duration) {
	if now-t.startedAt >= longRunTime {
		t.restartDelay = 0
		return
	}
	t.restartDelay = min(max(2*t.restartDelay, minRestartDelay), maxRestartDelay)
	t.retryAt = now + t.restartDelay
}

// unassign removes a task from its worker.
func (c *Core) unassign(t *task) {
	if w := c.workers[t.node]; w != nil {
		delete(w.tasks, t)
	}
	t.node, t.incarnation, t.confirmed, t.missedReports, t.reason = "", batch.Incarnation{}, false, 0, ""
	t.percent, t.stopSentAt, t.stopAckedAt, t.stopCause, t.checkpointAt = 0, 0, 0, "", 0
	t.preemptedFor = ""
}

// stopRun orders a worker to stop a run. The capacity stays reserved until the end of the run is certain. cause is for
// the account of lost work, reason for operators.
func (c *Core) stopRun(t *task, cause LossCause, reason string, now time.Duration) {
	klog.InfoS("Stopping run", "task", t.id, "run", t.run, "node", t.node, "worker", t.incarnation, "reason", reason,
		"percent", t.percent)
	t.phase, t.stopCause, t.reason = stopping, cause, reason
	c.queueStop(t, now)
}

func (c *Core) queueStop(t *task, now time.Duration) {
	t.stopSentAt = now
	c.outbox = append(c.outbox,
		Order{Kind: OrderStop, Node: t.node, Incarnation: t.incarnation, Task: t.id, Run: t.run})
}

// ApplyVerdict applies a worker's answer to an order.
func (c *Core) ApplyVerdict(o Order, v batch.Verdict, problem string, now time.Duration) {
	t := c.currentTask(o)
	if t == nil {
		return
	}
	if o.Kind == OrderStop {
		if t.stopAckedAt == 0 && (v == batch.VerdictAccepted || v == batch.VerdictStale) {
			t.stopAckedAt = now // the next report tells whether the run has ended
		}
		return
	}
	klog.InfoS("Start answered", "task", o.Task, "run", o.Run, "node", o.Node, "worker", o.Incarnation, "verdict", v,
		"problem", problem, "phase", t.phase, "sinceAssignedMs", (now - t.assignedAt).Milliseconds())
	switch v {
	case batch.VerdictAccepted:
		c.confirmStart(t, now)
	case batch.VerdictUnknown:
		t.startUncertain = true
		if t.phase == assigned && now-t.assignedAt < c.config.GangWait/2 {
			t.resendAt = now + startRetryDelay
		} else if t.phase == assigned {
			c.noteRefusal(o, v, now)
			c.stopRun(t, LossOrder, "no answer to the start", now)
			c.stopGang(t, LossMemberLost, "member did not answer", now)
		}
	case batch.VerdictOldIncarnation:
		// The incarnation that the order was for has ended. The first report of the next one requeues the task.
	default:
		c.stats.Refused++
		if v != batch.VerdictStale && v != batch.VerdictNotSent {
			c.noteRefusal(o, v, now)
		}
		if t.phase == stopping {
			return // the end of the run is confirmed by the answer to the stop
		}
		switch {
		case v == batch.VerdictStale:
			// The run was stopped or has ended on the worker, possibly with success: the next report tells.
			t.phase, t.reason, t.stopSentAt, t.stopAckedAt = stopping, "start was stale", now, now
		case t.startUncertain:
			c.stopRun(t, LossOrder, "refused after an order without an answer", now)
		default:
			c.requeue(t, LossOrder, now)
			t.retryAt = now + startRetryDelay
		}
		c.stopGang(t, LossMemberLost, "member was refused: "+string(v), now)
	}
}

// noteRefusal records that a worker has not taken a start, so that the next attempt prefers other workers.
func (c *Core) noteRefusal(o Order, v batch.Verdict, now time.Duration) {
	w := c.workers[o.Node]
	if w.incarnation() != o.Incarnation {
		return
	}
	if !w.refusals.Refusing(now) {
		klog.InfoS("Worker refuses starts", "node", w.node, "worker", o.Incarnation, "task", o.Task, "verdict", v)
	}
	w.refusals.Refuse(now)
	c.planNeeded = true
}

// confirmStart marks the run of a task as started on its worker, once the worker has accepted or reported it.
func (c *Core) confirmStart(t *task, now time.Duration) {
	if t.confirmed {
		return
	}
	c.stats.Started++
	if !t.inherited { // a run that a previous leader has started may be older than the refusals
		c.workers[t.node].refusals.Accept()
	}
	t.confirmed, t.confirmedAt, t.progressAt, t.idleSince = true, now, now, 0
	t.basePercent, t.paceSince, t.observedAt, t.resumed = 0, now, 0, t.checkpoint != ""
	if t.startSent {
		t.startedAt = now
	} else { // started by a previous leader
		t.remote = c.isRemote(t.step, t.nodes())
	}
	if t.checkpoint != "" || !t.startSent || t.startUncertain {
		t.basePercent = -1
	}
	if j := t.step.job(); !j.started {
		j.started, j.dirty = true, true
		if j.state == batch.Queued {
			j.state = batch.Running
		}
	}
}

// stopReason returns why the run of an assigned task must not go on, with the cause of the lost work, or an empty reason.
// It depends on recorded state only, so that each leader comes to the same decision, whatever orders the previous one has
// sent.
func (t *task) stopReason() (LossCause, string) {
	if state := t.step.job().state; state.Final() {
		return finalLossCause(state), "job " + string(state)
	}
	if t.step.incomplete {
		return LossMemberLost, "member is not running"
	}
	return "", ""
}

// stopUnwantedRuns stops those runs of a worker's tasks that must not go on, whether the worker lists them or not.
func (c *Core) stopUnwantedRuns(w *worker, tasks []*task, now time.Duration) {
	for _, t := range tasks {
		if t.phase != assigned || t.incarnation != w.info.Incarnation {
			continue
		}
		if cause, reason := t.stopReason(); reason != "" {
			c.stopRun(t, cause, reason, now)
		}
	}
}

// reconcileRuns compares the runs in progress on a worker with those that the core has assigned to it.
func (c *Core) reconcileRuns(w *worker, r Report) {
	now := r.ReceivedAt
	tasks := w.sortedTasks()
	c.stopUnwantedRuns(w, tasks, now)
	reported := make(map[*task]bool, len(w.tasks))
	w.orphaned = batch.Resources{}
	for _, run := range r.Runs.Running {
		var t *task
		if j := c.jobs[run.Task.Job]; j != nil {
			t = j.findTask(run.Task)
		}
		if t == nil || !t.active() || t.run != run.Run || t.node != w.node || t.incarnation != w.info.Incarnation {
			w.orphaned = w.orphaned.Plus(c.reservedBy(run.Task))
			c.stopOrphan(w, run, now)
			continue
		}
		reported[t] = true
		c.confirmStart(t, now)
		t.missedReports = 0
		c.noteSurvivor(w, t, r)
		if run.Checkpoint != "" && run.Checkpoint != t.checkpoint {
			t.checkpoint, t.checkpointAt = run.Checkpoint, now
			t.step.job().checkpointUnsaved = true
		}
		if t.basePercent < 0 { // resumed from a checkpoint, or started by a previous leader
			t.basePercent, t.paceSince = run.Percent, now
		}
		c.observeReportedSpeed(w, t, run.Percent, now)
		if run.Percent != t.percent {
			t.percent, t.progressAt = run.Percent, now
		}
		c.restartPace(t, run.Percent, now)
		if reason := c.straggleReason(t, now); reason != "" {
			c.moveStraggler(w, t, reason, now)
		}
	}
	for _, t := range tasks {
		if reported[t] || t.incarnation != w.info.Incarnation {
			continue
		}
		switch {
		case t.phase == stopping && t.stopAckedAt != 0 && r.SentAt > t.stopAckedAt+c.config.StopTimeout:
			klog.InfoS("Stopped run is no longer reported", "task", t.id, "run", t.run, "node", w.node,
				"reason", t.reason)
			c.requeue(t, LossOrder, now)
		case t.phase == assigned && !t.startSent && !t.step.job().dirty && !t.step.job().writing && c.mayStart(now):
			// A previous leader recorded the assignment, and may not have sent the order.
			t.startSent, t.startUncertain, t.assignedAt = true, true, now
			c.repeatStart(w, t, now)
		case t.phase == assigned && t.confirmed && r.SentAt > t.confirmedAt && len(r.Runs.Ended) < maxEndsPerReport:
			if t.missedReports++; t.missedReports >= maxMissedReports {
				c.stopRun(t, LossOrder, "missing from the worker's list", now)
			}
		}
	}
}

// repeatStart sends a start order that may have been sent before, or a stop if the worker cannot take the run any more.
func (c *Core) repeatStart(w *worker, t *task, now time.Duration) {
	if reason := c.rejectReason(w, t, now); reason != "" {
		c.stopRun(t, LossOrder, reason, now)
		c.stopGang(t, LossMemberLost, "member not started: "+reason, now)
		return
	}
	c.outbox = append(c.outbox, c.startOrder(t))
}

// startOrder returns the order to start the present run of a task.
func (c *Core) startOrder(t *task) Order {
	return Order{Kind: OrderStart, Node: t.node, Incarnation: t.incarnation, Task: t.id, Run: t.run,
		Payload: t.step.job().Payload, Checkpoint: t.checkpoint}
}

// maxEndsPerReport is the limit of ended runs in a worker's report. A report with as many may be incomplete.
const maxEndsPerReport = 500

// reservedBy returns the capacity that a task of a known job reserves, whether or not the task is open.
func (c *Core) reservedBy(id batch.TaskID) batch.Resources {
	j := c.jobs[id.Job]
	if j == nil || id.Step >= len(j.Steps) {
		return batch.Resources{}
	}
	return j.Steps[id.Step].Reserved()
}

// stopOrphan stops a run that is not assigned to the worker.
func (c *Core) stopOrphan(w *worker, run batch.RunningTask, now time.Duration) {
	name := run.Task.String()
	if last, ok := w.orphanStops[name]; ok && now-last < stopResendInterval {
		return
	}
	if j := c.jobs[run.Task.Job]; j == nil && now-c.startedAt < orphanGrace {
		return // the watch may not have delivered the job yet
	}
	klog.InfoS("Stopping orphaned run", "task", run.Task, "run", run.Run, "node", w.node, "worker", w.info.Incarnation)
	w.orphanStops[name] = now
	c.outbox = append(c.outbox,
		Order{Kind: OrderStop, Node: w.node, Incarnation: w.info.Incarnation, Task: run.Task, Run: run.Run})
}

// orphanGrace is the time after a takeover in which runs of unknown jobs are not stopped.
const orphanGrace = time.Second
