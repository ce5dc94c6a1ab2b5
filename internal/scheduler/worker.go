package scheduler

import (
	"cmp"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"masticcart.example/masticcart/internal/batch"
	"masticcart.example/masticcart/internal/refusal"
	"masticcart.example/masticcart/internal/relay"
	"masticcart.example/masticcart/internal/scheduler/ends"
	"masticcart.example/masticcart/internal/scheduler/speed"
)

// worker is the state of a worker as reported by its agent.
type worker struct {
	node  string
	info  *batch.Worker // nil until the agent has announced the worker
	tasks map[*task]struct{}
	// leaseExpiresBy is when every lease that may have been granted to the current incarnation has expired.
	leaseExpiresBy time.Duration
	workerClockMS  int64         // the worker's clock in the last report
	reportedAt     time.Duration // when the last report was received
	downSince      time.Duration // since when the worker does not answer its agent, or never
	lastDownAt     time.Duration // the last time that downSince was set, or never
	healthy        bool          // a run has outlived its start on the current incarnation
	provenAt       time.Duration // start of the latest run that has outlived its start on the current incarnation
	agentFollows   bool          // the agent has answered this leader, and rejects calls of previous ones
	reached        bool          // this leader has received a report of the current incarnation
	deregistered   bool          // the current incarnation has announced its end
	ends           *ends.Tracker
	ackedEnd       int64         // number of the last ended run that was acknowledged to the current incarnation
	reportSentAt   time.Duration // when the request of the last report was sent
	// epoch counts the restarts of the worker that this leader has seen. It is part of the fencing token, since a
	// worker may restart under the same id: it would carry out an order that was meant for the previous incarnation.
	epoch       int64
	announcedAt time.Duration // when the current incarnation was announced
	// orphanStops holds the time of the last stop order for each orphaned run, to limit their rate.
	orphanStops      map[string]time.Duration
	orphaned         batch.Resources // needed by runs of the last report that are not assigned to the worker
	largest          batch.Resources // the largest capacity that the worker has announced
	failedJobs       int             // consecutive failed runs of different jobs
	lastFailedJob    string          // job of the last of them
	quarantinedUntil time.Duration
	refusals         refusal.History // of starts, by the current incarnation
	// replaced is the incarnation before the current one until the first report of the current one.
	replaced    *endedIncarnation
	unexplained []unexplainedCrash // of the last crashMemory
	// hasUnresolved means that runs of the worker were lost of which it is not known whether it has crashed.
	hasUnresolved bool
	speedClass    speed.Class   // as last logged
	speedRestored bool          // the estimate of a previous leader was taken over, or rejected
	coldUntil     time.Duration // when the current incarnation is, or was, no longer slow after its start
}

// worker returns the state of a worker and creates it if necessary. A new one may still hold a lease of the previous
// leader.
func (c *Core) worker(node string, now time.Duration) *worker {
	w := c.workers[node]
	if w == nil {
		w = &worker{node: node, tasks: map[*task]struct{}{}, leaseExpiresBy: c.startedAt + c.inheritedLease(node),
			orphanStops: map[string]time.Duration{}, ends: ends.NewTracker(), downSince: never,
			lastDownAt: never, speedClass: speed.Unknown}
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

// reserved returns the capacity that the tasks of the worker reserve, including those that are being stopped, and runs
// that it lists although they are not assigned to it.
func (w *worker) reserved() batch.Resources {
	r := w.orphaned
	for t := range w.tasks {
		r = r.Plus(t.step.spec.Reserved())
	}
	return r
}

// longRunning returns the part of reserved that long-running tasks occupy.
func (w *worker) longRunning() batch.Resources {
	var r batch.Resources
	for t := range w.tasks {
		if t.step.spec.LongRunning {
			r = r.Plus(t.step.spec.Reserved())
		}
	}
	return r
}

// usable reports whether new tasks may be placed on the worker.
func (w *worker) usable(now time.Duration) bool {
	return w.info != nil && !w.info.Leaving && !w.deregistered && w.reached && w.downSince == never &&
		now-w.reportedAt <= maxReportAge && now >= w.quarantinedUntil && !w.refusals.Paused(now)
}

// maxSilence is how long the capacity of a worker that does not answer still counts for the future: most restart sooner.
const maxSilence = 5 * time.Second

// expectsTasks reports whether a worker takes new tasks now or is expected to soon. One that has been silent for longer is
// taken as gone: its machine may never come back, and nothing may wait for it. The same holds for one that has refused all
// starts for as long.
func (c *Core) expectsTasks(w *worker, now time.Duration) bool {
	heardAt := max(w.reportedAt, w.announcedAt, c.startedAt)
	return w.info != nil && !w.info.Leaving && !w.deregistered && !c.evacuated(w) && now-heardAt <= maxSilence &&
		(w.downSince == never || now-w.downSince <= maxSilence) && w.refusals.RefusingFor(now) <= maxSilence
}

// expectedWorkers returns the number of workers for which expectsTasks holds.
func (c *Core) expectedWorkers(now time.Duration) int {
	n := 0
	for _, w := range c.sortedWorkers {
		if c.expectsTasks(w, now) {
			n++
		}
	}
	return n
}

// rejectReason returns why a worker cannot take the run of a task that is assigned to it, or an empty string. Its capacity
// may have shrunk, or an evacuation may have been requested, since the task was placed.
func (c *Core) rejectReason(w *worker, t *task, now time.Duration) string {
	switch {
	case c.evacuated(w):
		return "data centre is evacuated"
	case !c.mayStart(now):
		return "requests to evacuate are not confirmed"
	case t.incarnation != w.incarnation():
		return "" // the answer to the order tells
	case w.downSince != never || now-w.reportedAt > maxReportAge:
		return "worker does not answer"
	case !w.reserved().FitsIn(w.info.Capacity):
		return "capacity has shrunk"
	}
	return ""
}

// GrantLease extends the lease of a worker's incarnation and returns its end in milliseconds on the worker's clock. It
// returns false if the incarnation is not the current one or its clock is unknown.
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

// Epoch returns the number of restarts of the worker that this leader has seen.
func (c *Core) Epoch(node string) int64 {
	if w := c.workers[node]; w != nil {
		return w.epoch
	}
	return 0
}

// SyncParameters returns the parameters of the next poll of an agent: the incarnation that the leader knows, the
// sequence of its last announcement, and the number up to which ended runs are acknowledged. ack is zero if that was
// acknowledged before, since a worker that restarts under the same id would apply it to its own ended runs.
func (c *Core) SyncParameters(node string, now time.Duration) (incarnation batch.Incarnation, sequence, ack int64) {
	w := c.worker(node, now)
	if w.info != nil {
		if recorded := w.ends.Recorded(w.info.Incarnation); recorded > w.ackedEnd {
			ack = recorded
		}
		return w.info.Incarnation, w.info.Sequence, ack
	}
	for _, t := range w.sortedTasks() { // assigned by a previous leader
		return t.incarnation, 0, 0
	}
	return batch.Incarnation{}, 0, 0
}

// EarlierAcks returns the acknowledgements for the agent of a node that concern earlier incarnations of its worker, or ones
// that the leader has no announcement of.
func (c *Core) EarlierAcks(node string) []relay.EndAck {
	if w := c.workers[node]; w != nil {
		return w.ends.Acks(w.incarnation())
	}
	return nil
}

const (
	// minReportWait is how long an agent normally waits for a run to end before it reports. Leases are extended at the
	// same rate.
	minReportWait = 400 * time.Millisecond
	// maxReportWait applies to workers without tasks or with long ones only. It is shorter than maxReportAge by more
	// than an answer takes, and leaves several attempts within a lease.
	maxReportWait = 1500 * time.Millisecond
	// reportWaitShare is the wait as a share of the shortest expected duration of the worker's tasks.
	reportWaitShare = 0.05
)

// ReportWait returns how long an agent may wait for a run to end before it reports.
func (c *Core) ReportWait(node string) time.Duration {
	w := c.workers[node]
	if w == nil || w.ends.Applied(w.incarnation()) > w.ackedEnd {
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

// ApplyReport applies an agent's report.
func (c *Core) ApplyReport(r Report, wall time.Time) {
	w := c.worker(r.Node, r.ReceivedAt)
	if !w.agentFollows { // no previous leader can extend leases any more
		w.agentFollows = true
		w.leaseExpiresBy = min(w.leaseExpiresBy, r.ReceivedAt+maxLeaseTime(c.config.MaxLease))
	}
	c.applyRetainedEnds(w, r, wall)
	if r.Worker != nil {
		c.updateWorker(w, r.Worker, r.ReceivedAt)
	}
	c.noteDeregistration(w, r)
	answered := r.Runs != nil && w.info != nil && r.Runs.Incarnation == w.info.Incarnation
	if r.WorkerDown || r.Runs != nil && !answered { // no answer, or one of another incarnation than the announced one
		c.noteWorkerDown(w, r)
	}
	if !answered {
		return
	}
	if r.SentAt < w.reportSentAt || w.epoch > 0 && r.SentAt < w.announcedAt {
		return // overtaken by a later report, or requested before the fence of this incarnation
	}
	if r.AckedThrough > 0 {
		w.ackedEnd = max(w.ackedEnd, r.AckedThrough)
	}
	if !w.reached {
		c.reconcileIncarnation(w, r.Runs, r.ReceivedAt)
		if r.Refusals != nil && !w.refusals.Refusing(r.ReceivedAt) {
			w.refusals = refusal.Restore(*r.Refusals, r.ReceivedAt)
		}
		klog.InfoS("Worker reached", "node", w.node, "worker", w.info.Incarnation, "running", len(r.Runs.Running),
			"ended", len(r.Runs.Ended))
		c.planNeeded = true
		// The agent now follows this leader, so the previous leader cannot extend leases any more. A grant computed for
		// the clock of the previous incarnation may have given this one the longest lease.
		w.leaseExpiresBy = r.ReceivedAt + maxLeaseTime(c.config.MaxLease)
	}
	c.resolveLosses(w)
	c.planNeeded = c.planNeeded || w.downSince != never
	w.reached, w.downSince, w.replaced = true, never, nil
	w.reportSentAt, w.workerClockMS, w.reportedAt = r.SentAt, r.Runs.ClockMS, r.ReceivedAt
	c.restoreSpeed(w, r.Speed, r.ReceivedAt)
	c.applyEnds(w, r.Runs.Incarnation, r.Runs.Ended, r.ReceivedAt, wall)
	c.reconcileRuns(w, r)
}

// applyRetainedEnds applies ended runs that incarnations of a worker have listed before their end, and that the agent
// retains until they are acknowledged. It comes before anything by which these runs could be taken as lost.
func (c *Core) applyRetainedEnds(w *worker, r Report, wall time.Time) {
	tracked := []batch.Incarnation{w.incarnation()}
	for _, e := range r.RetainedEnds {
		klog.V(1).InfoS("Agent has retained ended runs", "node", w.node, "worker", e.Incarnation, "ended", len(e.Ended))
		c.applyEnds(w, e.Incarnation, e.Ended, r.ReceivedAt, wall)
		tracked = append(tracked, e.Incarnation)
	}
	w.ends.Keep(tracked)
}

// noteDeregistration applies what a report says of the deregistration of the current incarnation. Its runs are lost once
// no process listens any more: a deregistration may be a delayed one of an earlier incarnation, and a worker whose
// deregistration was not confirmed goes on for some time.
func (c *Core) noteDeregistration(w *worker, r Report) {
	deregistered := w.info != nil && r.Deregistered == w.info.Incarnation
	if deregistered != w.deregistered {
		klog.InfoS("Worker's deregistration changed", "node", w.node, "worker", w.incarnation(), "deregistered", deregistered,
			"tasks", len(w.tasks))
		w.deregistered = deregistered
		c.planNeeded = true
	}
	if deregistered && r.NotListening && len(w.tasks) > 0 {
		klog.InfoS("Worker has left", "node", w.node, "worker", w.incarnation(), "tasks", len(w.tasks))
		c.markTasksLost(w, "worker left", r.ReceivedAt)
		c.planNeeded = true
	}
}

// noteWorkerDown notes since when a worker does not answer its agent.
func (c *Core) noteWorkerDown(w *worker, r Report) {
	if !w.reached || w.downSince != never || r.SentAt < w.reportSentAt {
		return
	}
	klog.InfoS("Worker does not answer its agent", "node", w.node, "worker", w.incarnation(), "tasks", len(w.tasks))
	w.downSince, w.lastDownAt = r.ReceivedAt, r.ReceivedAt
	c.planNeeded = true
}

// updateWorker applies a worker's announcement. The agent reports only incarnations that have answered it, so another one
// is the next, whatever its start time says. Runs of a previous incarnation are resolved by the first report of the new
// one.
func (c *Core) updateWorker(w *worker, info *batch.Worker, now time.Duration) {
	before := w.info
	if before != nil && info.Incarnation == before.Incarnation && info.Sequence < before.Sequence {
		return
	}
	w.info = info
	w.largest = w.largest.Max(info.Capacity)
	if before != nil && before.Incarnation != info.Incarnation {
		w.coldUntil = 0
	}
	if before == nil || before.Incarnation != info.Incarnation || before.Sequence != info.Sequence {
		c.updateCold(w, info, now)
	}
	if before != nil && before.Incarnation != info.Incarnation {
		w.epoch++
		if w.replaced == nil {
			w.replaced = &endedIncarnation{before.Incarnation, w.downSince, before.Leaving || w.deregistered, w.healthy}
		}
	}
	if before == nil || before.Incarnation != info.Incarnation {
		klog.InfoS("Worker described", "node", w.node, "worker", info.Incarnation, "service", info.Service,
			"rack", info.Rack, "capacity", info.Capacity, "leaving", info.Leaving)
		w.reached, w.deregistered, w.ackedEnd, w.workerClockMS, w.reportedAt = false, false, 0, 0, 0
		w.failedJobs, w.quarantinedUntil, w.refusals, w.announcedAt = 0, 0, refusal.History{}, now
		w.orphaned, w.largest, w.healthy, w.provenAt = batch.Resources{}, info.Capacity, false, 0
		c.forgetSpeed(w)
		c.planNeeded = true
		return
	}
	if before.Capacity != info.Capacity {
		klog.InfoS("Worker's capacity changed", "node", w.node, "worker", info.Incarnation, "capacity", info.Capacity,
			"before", before.Capacity, "reserved", w.reserved())
		c.planNeeded = true
	}
	if before.Leaving != info.Leaving {
		klog.InfoS("Worker leaving", "node", w.node, "worker", info.Incarnation, "leaving", info.Leaving,
			"leavingInMs", info.LeavingInMS, "tasks", len(w.tasks))
		c.planNeeded = true
	}
}

// checkWorker handles the expiry of a worker's leases and resends orders without effect.
func (c *Core) checkWorker(w *worker, now time.Duration) {
	if now > w.leaseExpiresBy && len(w.tasks) > 0 {
		klog.InfoS("Worker lost", "node", w.node, "worker", w.incarnation(), "tasks", len(w.tasks),
			"silentMs", (now - w.reportedAt).Milliseconds(), "heard", w.reached)
		if w.replaced != nil { // the next incarnation has announced itself, and has not answered yet
			c.recordCrash(w, w.sortedTasks(), now)
			w.replaced = nil
		} else {
			c.deferCrash(w)
		}
		c.markTasksLost(w, "lease expired", now)
	}
	c.stopWaitingGangs(w, now)
	for _, t := range w.sortedTasks() {
		switch {
		case t.phase == stopping && now-t.stopSentAt >= stopResendInterval && now-w.reportedAt <= maxReportAge:
			c.queueStop(t, now)
		case t.phase == assigned && !t.confirmed && t.resendAt != 0 && now >= t.resendAt && w.downSince == never &&
			now-w.reportedAt <= maxReportAge && c.mayStart(now):
			t.resendAt = 0
			c.repeatStart(w, t, now) // starting the same run twice is idempotent
		}
	}
}

// markTasksLost ends the runs of all tasks of a worker as lost.
func (c *Core) markTasksLost(w *worker, reason string, now time.Duration) {
	for _, t := range w.sortedTasks() {
		c.markLost(t, reason, now)
	}
}

// reconcileIncarnation resolves runs that were assigned to previous incarnations: they are lost, unless a delayed order
// was carried out by the current incarnation, which then keeps the run.
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
	var lost []*task
	for _, t := range w.sortedTasks() {
		switch {
		case t.incarnation == w.info.Incarnation:
		case reported[key{t.id, t.run}]:
			klog.InfoS("Run is on the new incarnation of its worker", "task", t.id, "run", t.run, "node", w.node,
				"worker", w.info.Incarnation, "before", t.incarnation)
			t.incarnation = w.info.Incarnation
		default:
			lost = append(lost, t)
		}
	}
	c.recordCrash(w, lost, now)
	for _, t := range lost {
		c.markLost(t, "worker started again", now)
	}
}

// markLost ends a run whose outcome is unknown, and the run of its gang.
func (c *Core) markLost(t *task, reason string, now time.Duration) {
	c.stats.Lost++
	klog.InfoS("Run lost", "task", t.id, "run", t.run, "node", t.node, "worker", t.incarnation, "reason", reason,
		"percent", t.percent, "checkpoint", t.checkpoint)
	c.requeue(t, LossWorker, now)
	c.stopGang(t, LossMemberLost, "member lost", now)
}
