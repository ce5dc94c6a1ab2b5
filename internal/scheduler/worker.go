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
	// expires is when every lease that may have been granted to the present life has ended.
	expires time.Duration
	clockMS int64         // the worker's clock in the last report
	clockAt time.Duration // when that report came
	heard   bool          // by this leader
	left    bool
	seenEnd int64 // the last end that was processed
	// forgetEnd is the last end that is recorded, so that the worker may forget it.
	forgetEnd int64
	told      int64         // the last end that the present life was told to forget
	asked     time.Duration // when the question of the last report was sent
	// epoch counts the lives that this leader has seen. It is part of the fence, since a worker may start again under its
	// id: an order that was meant for the life before would be carried out by the new one.
	epoch       int64
	describedAt time.Duration // when the present life was described
	// strayStops bounds the orders to stop runs that nobody wants.
	strayStops map[string]time.Duration
	failures   int           // failed ends in a row, over different jobs
	failedJob  string        // the job of the last of them
	avoidUntil time.Duration // quarantine
}

func (c *Core) worker(node string, now time.Duration) *worker {
	w := c.workers[node]
	if w == nil {
		w = &worker{node: node, tasks: map[*task]struct{}{}, expires: c.started + c.config.TakeoverWait,
			strayStops: map[string]time.Duration{}}
		w.expires = max(w.expires, now)
		c.workers[node] = w
		at, _ := slices.BinarySearchFunc(c.fleet, node, func(o *worker, node string) int {
			return cmp.Compare(o.node, node)
		})
		c.fleet = slices.Insert(c.fleet, at, w)
	}
	return w
}

func (w *worker) life() batch.Incarnation {
	if w.info == nil {
		return batch.Incarnation{}
	}
	return w.info.Incarnation
}

// sorted returns the tasks of the worker in the order of their ids.
func (w *worker) sorted() []*task {
	tasks := make([]*task, 0, len(w.tasks))
	for t := range w.tasks {
		tasks = append(tasks, t)
	}
	slices.SortFunc(tasks, func(a, b *task) int { return a.id.Compare(b.id) })
	return tasks
}

// used returns what the tasks of the worker take, those that are being stopped included.
func (w *worker) used() batch.Resources {
	var r batch.Resources
	for t := range w.tasks {
		r = r.Plus(t.step.spec.Reserved())
	}
	return r
}

// usable reports whether new tasks may be placed on the worker.
func (w *worker) usable(now time.Duration) bool {
	return w.info != nil && !w.info.Leaving && !w.left && w.heard && now-w.clockAt <= freshFor && now >= w.avoidUntil
}

// GrantLease returns until when, on the clock of the worker's life, its lease may be extended, and takes note of it. It
// returns false if the worker's clock is not known.
func (c *Core) GrantLease(node string, life batch.Incarnation) (int64, bool) {
	w := c.workers[node]
	if w == nil || !w.heard || w.info == nil || w.life() != life {
		return 0, false
	}
	w.expires = max(w.expires, w.clockAt+leaseSpan(c.config.Lease))
	return w.clockMS + c.config.Lease.Milliseconds(), true
}

// leaseSpan returns how long a lease that is granted now may keep tasks running.
func leaseSpan(lease time.Duration) time.Duration {
	return time.Duration(float64(lease)*clockTolerance) + leaseMargin
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
func (c *Core) SyncParameters(node string, now time.Duration) (life batch.Incarnation, sequence, forget int64) {
	w := c.worker(node, now)
	if w.info != nil {
		if w.forgetEnd > w.told {
			forget = w.forgetEnd
		}
		return w.info.Incarnation, w.info.Sequence, forget
	}
	for _, t := range w.sorted() { // recorded by a leader before
		return t.life, 0, 0
	}
	return batch.Incarnation{}, 0, 0
}

const (
	// reportPause is how long an agent waits for an end before it reports what runs. Leases are extended as often.
	reportPause = 400 * time.Millisecond
	// reportPauseMax is that of a worker without tasks, or with long ones only. It is below freshFor by more than an answer
	// takes, and leaves several tries within a lease.
	reportPauseMax = 1500 * time.Millisecond
	// reportShare is the pause as a share of the shortest expected duration of the tasks on the worker.
	reportShare = 0.05
)

// ReportWait returns how long an agent may wait for an end before it reports.
func (c *Core) ReportWait(node string) time.Duration {
	w := c.workers[node]
	if w == nil || w.seenEnd > w.told {
		return reportPause
	}
	pause := reportPauseMax
	for t := range w.tasks {
		if t.phase != assigned || !t.confirmed {
			return reportPause
		}
		pause = min(pause, time.Duration(float64(c.expected(t.step))*reportShare))
	}
	return max(pause, reportPause)
}

// ApplyReport takes the answer of an agent.
func (c *Core) ApplyReport(r Report, wall time.Time) {
	w := c.worker(r.Node, r.ReceivedAt)
	if r.Worker != nil {
		c.describe(w, r.Worker, r.ReceivedAt)
	}
	if r.Left && !w.left && w.info != nil {
		w.left = true
		c.changed = true
		klog.InfoS("Worker has left", "node", w.node, "worker", w.info.Incarnation, "tasks", len(w.tasks))
		c.loseTasks(w, "worker left", r.ReceivedAt)
	}
	if r.Runs == nil {
		return
	}
	if w.info == nil || r.Runs.Incarnation.StartedMS != w.info.Incarnation.StartedMS {
		return // of another life than the one described
	}
	if r.SentAt < w.asked || w.epoch > 0 && r.SentAt < w.describedAt {
		return // overtaken, or asked before the fence of this life
	}
	if r.Ack > 0 {
		w.told = max(w.told, r.Ack)
	}
	if !w.heard {
		c.adopt(w, r.Runs, r.ReceivedAt)
		klog.InfoS("Worker reached", "node", w.node, "worker", w.info.Incarnation, "running", len(r.Runs.Running),
			"ended", len(r.Runs.Ended))
		c.changed = true
		// The agent obeys this leader now, so the one before can extend no lease any more. A grant that was meant for the
		// clock of a life before may have given this one the longest lease.
		w.expires = r.ReceivedAt + leaseSpan(c.config.MaxLease)
	}
	w.heard, w.asked, w.clockMS, w.clockAt = true, r.SentAt, r.Runs.ClockMS, r.ReceivedAt
	c.ends(w, r.Runs.Ended, r.ReceivedAt, wall)
	c.running(w, r)
}

// describe takes what a worker says of itself. What ran on a life before is settled by the first list of the new one.
func (c *Core) describe(w *worker, info *batch.Worker, now time.Duration) {
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
		w.heard, w.left, w.seenEnd, w.forgetEnd, w.told, w.clockMS, w.clockAt = false, false, 0, 0, 0, 0, 0
		w.failures, w.avoidUntil, w.describedAt = 0, 0, now
		c.changed = true
	} else if before.Leaving != info.Leaving {
		klog.InfoS("Worker leaving", "node", w.node, "worker", info.Incarnation, "leaving", info.Leaving,
			"leavingInMs", info.LeavingInMS, "tasks", len(w.tasks))
		c.changed = true
	}
}

// check ends the tasks of a worker whose leases have all expired, and repeats orders without effect.
func (c *Core) check(w *worker, now time.Duration) {
	if now > w.expires && len(w.tasks) > 0 {
		klog.InfoS("Worker lost", "node", w.node, "worker", w.life(), "tasks", len(w.tasks),
			"silentMs", (now - w.clockAt).Milliseconds(), "heard", w.heard)
		c.loseTasks(w, "lease expired", now)
	}
	for _, t := range w.sorted() {
		switch {
		case t.phase == stopping && now-t.stopAt >= stopRepeat && now-w.clockAt <= freshFor:
			c.sendStop(t, now)
		case t.phase == assigned && !t.confirmed && t.repeatAt != 0 && now >= t.repeatAt:
			t.repeatAt = 0
			c.outbox = append(c.outbox, c.startOrder(t)) // a repeated start of the same run does nothing
		}
	}
}

// loseTasks takes all tasks of a worker as ended without an outcome.
func (c *Core) loseTasks(w *worker, reason string, now time.Duration) {
	for _, t := range w.sorted() {
		c.lose(t, reason, now)
	}
}

// adopt settles the tasks of lives before the present one: their runs have ended, unless an order that came late was
// carried out by the present life.
func (c *Core) adopt(w *worker, runs *batch.Runs, now time.Duration) {
	type key struct {
		task batch.TaskID
		run  int
	}
	here := map[key]bool{}
	for _, r := range runs.Running {
		here[key{r.Task, r.Run}] = true
	}
	for _, e := range runs.Ended {
		here[key{e.Task, e.Run}] = true
	}
	for _, t := range w.sorted() {
		switch {
		case t.life == w.info.Incarnation:
		case here[key{t.id, t.run}]:
			klog.InfoS("Run adopted", "task", t.id, "run", t.run, "node", w.node, "worker", w.info.Incarnation, "before", t.life)
			t.life = w.info.Incarnation
		default:
			c.lose(t, "worker started again", now)
		}
	}
}

func (c *Core) lose(t *task, reason string, now time.Duration) {
	c.stats.Lost++
	klog.InfoS("Run lost", "task", t.id, "run", t.run, "node", t.node, "worker", t.life, "reason", reason,
		"percent", t.percent, "checkpoint", t.checkpoint)
	c.release(t, now)
	c.breakGang(t, "member lost", now)
}
