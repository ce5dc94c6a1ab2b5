package scheduler

import (
	"cmp"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"masticcart.example/masticcart/internal/batch"
)

// worker is a worker as its agent reports it.
type worker struct {
	node  string
	info  *batch.Worker // nil until the agent has described it
	tasks map[*task]struct{}
	// leaseExpiresBy is when every lease that may have been granted to the present life has ended.
	leaseExpiresBy time.Duration
	workerClockMS  int64         // the worker's clock in the last report
	reportedAt     time.Duration // when that report came
	reached        bool          // by this leader
	hasLeft        bool
	lastEnd        int64 // the last end that was processed
	// recordedEnd is the last end that is recorded, so that the worker may forget it.
	recordedEnd  int64
	ackedEnd     int64         // the last end that the present life was told to forget
	reportSentAt time.Duration // when the question of the last report was sent
	// epoch counts the lives that this leader has seen. It is part of the fence, since a worker may start again under its
	// id: an order that was meant for the life before would be carried out by the new one.
	epoch       int64
	describedAt time.Duration // when the present life was described
	// orphanStops bounds the orders to stop runs that nobody wants.
	orphanStops      map[string]time.Duration
	failedJobs       int           // failed ends in a row, over different jobs
	lastFailedJob    string        // the job of the last of them
	quarantinedUntil time.Duration // quarantine
}

func (c *Core) worker(node string, now time.Duration) *worker {
	w := c.workers[node]
	if w == nil {
		w = &worker{node: node, tasks: map[*task]struct{}{}, leaseExpiresBy: c.startedAt + c.config.TakeoverWait,
			orphanStops: map[string]time.Duration{}}
		w.leaseExpiresBy = max(w.leaseExpiresBy, now)
		c.workers[node] = w
		at, _ := slices.BinarySearchFunc(c.sortedWorkers, node, func(o *worker, node string) int {
			return cmp.Compare(o.node, node)
		})
		c.sortedWorkers = slices.Insert(c.sortedWorkers, at, w)
	}
	return w
}

func (w *worker) incarnation() batch.Incarnation {
	if w.info == nil {
		return batch.Incarnation{}
	}
	return w.info.Incarnation
}

// sortedTasks returns the tasks of the worker in the order of their ids.
func (w *worker) sortedTasks() []*task {
	tasks := make([]*task, 0, len(w.tasks))
	for t := range w.tasks {
		tasks = append(tasks, t)
	}
	slices.SortFunc(tasks, func(a, b *task) int { return a.id.Compare(b.id) })
	return tasks
}

// reserved returns what the tasks of the worker take, those that are being stopped included.
func (w *worker) reserved() batch.Resources {
	var r batch.Resources
	for t := range w.tasks {
		r = r.Plus(t.step.spec.Reserved())
	}
	return r
}

// usable reports whether new tasks may be placed on the worker.
func (w *worker) usable(now time.Duration) bool {
	return w.info != nil && !w.info.Leaving && !w.hasLeft && w.reached && now-w.reportedAt <= maxReportAge && now >= w.quarantinedUntil
}

// GrantLease returns until when, on the clock of the worker's life, its lease may be extended, and takes note of it. It
// returns false if the worker's clock is not known.
func (c *Core) GrantLease(node string, incarnation batch.Incarnation) (int64, bool) {
	w := c.workers[node]
	if w == nil || !w.reached || w.info == nil || w.incarnation() != incarnation {
		return 0, false
	}
	w.leaseExpiresBy = max(w.leaseExpiresBy, w.reportedAt+maxLeaseTime(c.config.Lease))
	return w.workerClockMS + c.config.Lease.Milliseconds(), true
}

// maxLeaseTime returns how long a lease that is granted now may keep tasks running.
func maxLeaseTime(lease time.Duration) time.Duration {
	return time.Duration(float64(lease)*clockDriftFactor) + killMargin
}

// Epoch returns the number of lives of the worker that this leader has seen, less one.
func (c *Core) Epoch(node string) int64 {
	if w := c.workers[node]; w != nil {
		return w.epoch
	}
	return 0
}

// SyncParameters returns what the leader asks an agent next: the life that it knows, the last announcement, and the end up to
// which the worker may forget, or zero if it was told before: a worker that starts again under its id would take it for
// its own ends.
func (c *Core) SyncParameters(node string, now time.Duration) (incarnation batch.Incarnation, sequence, ack int64) {
	w := c.worker(node, now)
	if w.info != nil {
		if w.recordedEnd > w.ackedEnd {
			ack = w.recordedEnd
		}
		return w.info.Incarnation, w.info.Sequence, ack
	}
	for _, t := range w.sortedTasks() { // recorded by a leader before
		return t.incarnation, 0, 0
	}
	return batch.Incarnation{}, 0, 0
}

const (
	// minReportWait is how long an agent waits for an end before it reports what runs. Leases are extended as often.
	minReportWait = 400 * time.Millisecond
	// maxReportWait is that of a worker without tasks, or with long ones only. It is below freshFor by more than an answer
	// takes, and leaves several tries within a lease.
	maxReportWait = 1500 * time.Millisecond
	// reportWaitShare is the pause as a share of the shortest expected duration of the tasks on the worker.
	reportWaitShare = 0.05
)

// ReportWait returns how long an agent may wait for an end before it reports.
func (c *Core) ReportWait(node string) time.Duration {
	w := c.workers[node]
	if w == nil || w.lastEnd > w.ackedEnd {
		return minReportWait
	}
	wait := maxReportWait
	for t := range w.tasks {
		if t.phase != assigned || !t.confirmed {
			return minReportWait
		}
		wait = min(wait, time.Duration(float64(c.expectedDuration(t.step))*reportWaitShare))
	}
	return max(wait, minReportWait)
}

// ApplyReport takes the answer of an agent.
func (c *Core) ApplyReport(r Report, wall time.Time) {
	w := c.worker(r.Node, r.ReceivedAt)
	if r.Worker != nil {
		c.updateWorker(w, r.Worker, r.ReceivedAt)
	}
	if r.HasLeft && !w.hasLeft && w.info != nil {
		w.hasLeft = true
		c.planNeeded = true
		klog.InfoS("Worker has left", "node", w.node, "worker", w.info.Incarnation, "tasks", len(w.tasks))
		c.markTasksLost(w, "worker left", r.ReceivedAt)
	}
	if r.Runs == nil {
		return
	}
	if w.info == nil || r.Runs.Incarnation.StartedMS != w.info.Incarnation.StartedMS {
		return // of another life than the one described
	}
	if r.SentAt < w.reportSentAt || w.epoch > 0 && r.SentAt < w.describedAt {
		return // overtaken, or asked before the fence of this life
	}
	if r.Ack > 0 {
		w.ackedEnd = max(w.ackedEnd, r.Ack)
	}
	if !w.reached {
		c.reconcileIncarnation(w, r.Runs, r.ReceivedAt)
		klog.InfoS("Worker reached", "node", w.node, "worker", w.info.Incarnation, "running", len(r.Runs.Running),
			"ended", len(r.Runs.Ended))
		c.planNeeded = true
		// The agent obeys this leader now, so the one before can extend no lease any more. A grant that was meant for the
		// clock of a life before may have given this one the longest lease.
		w.leaseExpiresBy = r.ReceivedAt + maxLeaseTime(c.config.MaxLease)
	}
	w.reached, w.reportSentAt, w.workerClockMS, w.reportedAt = true, r.SentAt, r.Runs.ClockMS, r.ReceivedAt
	c.applyEnds(w, r.Runs.Ended, r.ReceivedAt, wall)
	c.reconcileRuns(w, r)
}

// updateWorker takes what a worker says of itself. What ran on a life before is settled by the first list of the new one.
func (c *Core) updateWorker(w *worker, info *batch.Worker, now time.Duration) {
	before := w.info
	if before != nil && (info.Incarnation.StartedMS < before.Incarnation.StartedMS ||
		info.Incarnation == before.Incarnation && info.Sequence < before.Sequence) {
		return
	}
	w.info = info
	if before != nil && before.Incarnation != info.Incarnation {
		w.epoch++
	}
	if before == nil || before.Incarnation != info.Incarnation {
		klog.InfoS("Worker described", "node", w.node, "worker", info.Incarnation, "service", info.Service, "rack", info.Rack,
			"capacity", info.Capacity, "leaving", info.Leaving)
		w.reached, w.hasLeft, w.lastEnd, w.recordedEnd, w.ackedEnd, w.workerClockMS, w.reportedAt = false, false, 0, 0, 0, 0, 0
		w.failedJobs, w.quarantinedUntil, w.describedAt = 0, 0, now
		c.planNeeded = true
	} else if before.Leaving != info.Leaving {
		klog.InfoS("Worker leaving", "node", w.node, "worker", info.Incarnation, "leaving", info.Leaving,
			"leavingInMs", info.LeavingInMS, "tasks", len(w.tasks))
		c.planNeeded = true
	}
}

// checkWorker ends the tasks of a worker whose leases have all expired, and repeats orders without effect.
func (c *Core) checkWorker(w *worker, now time.Duration) {
	if now > w.leaseExpiresBy && len(w.tasks) > 0 {
		klog.InfoS("Worker lost", "node", w.node, "worker", w.incarnation(), "tasks", len(w.tasks),
			"silentMs", (now - w.reportedAt).Milliseconds(), "heard", w.reached)
		c.markTasksLost(w, "lease expired", now)
	}
	for _, t := range w.sortedTasks() {
		switch {
		case t.phase == stopping && now-t.stopSentAt >= stopResendInterval && now-w.reportedAt <= maxReportAge:
			c.queueStop(t, now)
		case t.phase == assigned && !t.confirmed && t.resendAt != 0 && now >= t.resendAt:
			t.resendAt = 0
			c.outbox = append(c.outbox, c.startOrder(t)) // a repeated start of the same run does nothing
		}
	}
}

// markTasksLost takes all tasks of a worker as ended without an outcome.
func (c *Core) markTasksLost(w *worker, reason string, now time.Duration) {
	for _, t := range w.sortedTasks() {
		c.markLost(t, reason, now)
	}
}

// reconcileIncarnation settles the tasks of lives before the present one: their runs have ended, unless an order that came late was
// carried out by the present life.
func (c *Core) reconcileIncarnation(w *worker, runs *batch.Runs, now time.Duration) {
	type key struct {
		task batch.TaskID
		run  int
	}
	reported := map[key]bool{}
	for _, r := range runs.Running {
		reported[key{r.Task, r.Run}] = true
	}
	for _, e := range runs.Ended {
		reported[key{e.Task, e.Run}] = true
	}
	for _, t := range w.sortedTasks() {
		switch {
		case t.incarnation == w.info.Incarnation:
		case reported[key{t.id, t.run}]:
			klog.InfoS("Run adopted", "task", t.id, "run", t.run, "node", w.node, "worker", w.info.Incarnation, "before", t.incarnation)
			t.incarnation = w.info.Incarnation
		default:
			c.markLost(t, "worker started again", now)
		}
	}
}

func (c *Core) markLost(t *task, reason string, now time.Duration) {
	c.stats.Lost++
	klog.InfoS("Run lost", "task", t.id, "run", t.run, "node", t.node, "worker", t.incarnation, "reason", reason,
		"percent", t.percent, "checkpoint", t.checkpoint)
	c.requeue(t, now)
	c.stopGang(t, "member lost", now)
}
