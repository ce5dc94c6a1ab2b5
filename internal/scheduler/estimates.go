package scheduler

import (
	"time"

	"k8s.io/klog/v2"

	"masticcart.example/masticcart/internal/batch"
)

// durationStats holds the observed durations of the tasks of a queue.
type durationStats struct {
	ratio float64       // moving average of actual to estimated duration
	mean  time.Duration // moving average of actual duration
}

const (
	// durationWeight is the weight of one observation in the moving averages; about the last ten count.
	durationWeight = 0.1
	// minDurationRatio and maxDurationRatio limit one observed ratio, so that a slow worker does not distort the
	// average.
	minDurationRatio = 0.2
	maxDurationRatio = 4.0
)

// durationStats returns the statistics of a queue and creates them if necessary.
func (c *Core) durationStats(queue string) *durationStats {
	d := c.durations[queue]
	if d == nil {
		d = &durationStats{ratio: 1}
		c.durations[queue] = d
	}
	return d
}

// recordDuration adds the duration of a successful run, scaled to typical workers, to the statistics. Runs away from their
// data, on cold workers, runs that resumed from a checkpoint, and runs that this leader has not seen running do not count.
func (c *Core) recordDuration(t *task, now time.Duration) {
	if !t.confirmed || t.basePercent < 0 || t.basePercent > maxFreshPercent || c.coldSince(t, t.startedAt) {
		return
	}
	took := time.Duration(float64(now-t.startedAt) / c.runFactor(t))
	t.runTime = took
	estimate := t.step.spec.Estimate
	if estimate <= 0 || t.remote {
		return
	}
	d := c.durationStats(t.step.job().Queue.Name)
	ratio := min(max(float64(took)/float64(estimate), minDurationRatio), maxDurationRatio)
	d.ratio = d.ratio*(1-durationWeight) + ratio*durationWeight
	if d.mean == 0 {
		d.mean = took
	}
	d.mean = time.Duration(float64(d.mean)*(1-durationWeight) + float64(took)*durationWeight)
}

// runFactor returns how long the workers of a task's run take relative to typical ones. A gang is as slow as its slowest
// worker.
func (c *Core) runFactor(t *task) float64 {
	if t.step.spec.Gang && t.step.slowestFactor > 0 {
		return t.step.slowestFactor
	}
	return c.workerFactor(t.node)
}

// maxFreshPercent is the highest first reported percentage of a run that counts as started from the beginning.
const maxFreshPercent = 10

// expectedDuration returns the expected duration of a task of the step on a healthy worker near its data.
func (c *Core) expectedDuration(s *stepInstance) time.Duration {
	return c.scaledEstimate(s.job(), s.spec)
}

// scaledEstimate returns the estimate of a step, scaled by the observed ratio of its queue.
func (c *Core) scaledEstimate(j *job, s *batch.Step) time.Duration {
	return time.Duration(float64(s.Estimate) * c.durationStats(j.Queue.Name).ratio)
}

// remainingTime returns the expected remaining time of a running task, at least minRemaining.
func (c *Core) remainingTime(t *task, now time.Duration) time.Duration {
	total := time.Duration(float64(c.expectedDuration(t.step)) * c.runFactor(t))
	ran := now - t.startedAt
	if t.confirmed && t.basePercent >= 0 && t.percent > t.basePercent {
		total = time.Duration(float64(t.progressAt-t.paceSince) * 100 / float64(t.percent-t.basePercent))
		if t.step.spec.Gang { // the member waits for the slowest one
			total = time.Duration(float64(total) * max(1, c.runFactor(t)/c.workerFactor(t.node)))
		}
		rest := time.Duration(float64(total) * float64(100-t.percent) / 100)
		return max(rest-(now-t.progressAt), minRemaining)
	}
	return max(total-ran, minRemaining)
}

// minRemaining is the assumed remaining time of tasks that exceed their expected duration.
const minRemaining = 200 * time.Millisecond

// Quarantine of workers on which runs fail, stall or are slow.
const (
	// quarantineAfter is the number of consecutive failed runs, of different jobs, after which a worker is quarantined.
	// A successful run resets the count. A stalled or slow run outside a gang quarantines its worker at once.
	quarantineAfter = 2
	// quarantineTime is how long a quarantined worker gets no new tasks. Workers recover by themselves; the first task
	// after the quarantine probes the worker.
	quarantineTime = 4 * time.Second
	// maxQuarantinedShare limits the share of workers in quarantine at the same time.
	maxQuarantinedShare = 0.3
)

// countWorkerFailure counts a failed run against its worker and quarantines the worker if runs of other jobs fail there
// as well.
func (c *Core) countWorkerFailure(w *worker, t *task, now time.Duration) {
	if w.lastFailedJob == t.id.Job {
		return
	}
	w.lastFailedJob = t.id.Job
	if w.failedJobs++; w.failedJobs < quarantineAfter {
		return
	}
	c.quarantine(w, "runs fail", now)
}

// provenTime is how long a run that has outlived its start speaks for its worker. Workers that begin to fail do so with
// each start, while runs in progress go on.
const provenTime = 5 * time.Second

// proven reports whether starts have recently succeeded on the worker, and no run has failed there since.
func (w *worker) proven(now time.Duration) bool {
	return w.failedJobs == 0 && w.healthy && now-w.provenAt <= provenTime
}

// quarantine excludes a worker from new tasks for quarantineTime, unless too many workers are quarantined already.
func (c *Core) quarantine(w *worker, reason string, now time.Duration) {
	quarantined := 0
	for _, o := range c.sortedWorkers {
		if o != w && now < o.quarantinedUntil && c.expectsTasks(o, now) {
			quarantined++
		}
	}
	if float64(quarantined+1) > maxQuarantinedShare*float64(c.expectedWorkers(now)) {
		klog.InfoS("Worker not quarantined", "node", w.node, "worker", w.incarnation(), "reason", reason,
			"out", quarantined)
		return
	}
	w.quarantinedUntil = now + quarantineTime
	klog.InfoS("Worker quarantined", "node", w.node, "worker", w.incarnation(), "reason", reason,
		"failures", w.failedJobs, "out", quarantined, "forMs", quarantineTime.Milliseconds())
}
