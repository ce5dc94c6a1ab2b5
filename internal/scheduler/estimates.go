package scheduler

import (
	"time"

	"k8s.io/klog/v2"

	"masticcart.example/masticcart/internal/batch"
)

// durationStats is what has been learned of the tasks of a queue.
type durationStats struct {
	ratio float64       // of the time that tasks take to their estimates
	mean  time.Duration // that tasks take
}

const (
	// durationWeight is the weight of one observation in the running means; about the last ten count.
	durationWeight = 0.1
	// minDurationRatio and learnMax bound one observed ratio, so that a slow worker does not spoil the mean.
	minDurationRatio = 0.2
	maxDurationRatio = 4.0
)

// durationStats returns what is known of a queue.
func (c *Core) durationStats(queue string) *durationStats {
	d := c.durations[queue]
	if d == nil {
		d = &durationStats{ratio: 1}
		c.durations[queue] = d
	}
	return d
}

// recordDuration learns from a run that ended well, near its data, and had not been resumed from a checkpoint.
func (c *Core) recordDuration(t *task, now time.Duration) {
	if t.basePercent >= 0 && t.basePercent <= maxFreshPercent {
		t.runTime = now - t.startedAt
	}
	estimate := t.step.spec.Estimate
	if estimate <= 0 || !t.confirmed || t.basePercent > maxFreshPercent || t.remote {
		return
	}
	d := c.durationStats(t.step.job().Queue.Name)
	took := now - t.startedAt
	ratio := min(max(float64(took)/float64(estimate), minDurationRatio), maxDurationRatio)
	d.ratio = d.ratio*(1-durationWeight) + ratio*durationWeight
	if d.mean == 0 {
		d.mean = took
	}
	d.mean = time.Duration(float64(d.mean)*(1-durationWeight) + float64(took)*durationWeight)
}

// maxFreshPercent tells a run from the start from a resumed one.
const maxFreshPercent = 10

// expectedDuration returns how long a task takes on a sound worker near its data.
func (c *Core) expectedDuration(s *stepInstance) time.Duration {
	return c.scaledEstimate(s.job(), s.spec)
}

// scaledEstimate is expected for a step of a job.
func (c *Core) scaledEstimate(j *job, s *batch.Step) time.Duration {
	return time.Duration(float64(s.Estimate) * c.durationStats(j.Queue.Name).ratio)
}

// remainingTime returns how long a running task still takes.
func (c *Core) remainingTime(t *task, now time.Duration) time.Duration {
	total := c.expectedDuration(t.step)
	ran := now - t.startedAt
	if t.confirmed && t.basePercent >= 0 && t.percent > t.basePercent {
		total = time.Duration(float64(t.progressAt-t.paceSince) * 100 / float64(t.percent-t.basePercent))
		rest := time.Duration(float64(total) * float64(100-t.percent) / 100)
		return max(rest-(now-t.progressAt), minRemaining)
	}
	return max(total-ran, minRemaining)
}

// minRemaining is assumed of tasks that take longer than expected.
const minRemaining = 200 * time.Millisecond

// Quarantine of workers that fail what they start.
const (
	// quarantineAfter is the number of failed runs of different jobs in a row, with none done in between.
	quarantineAfter = 2
	// quarantineTime is the time without new tasks. Workers recover by themselves; one task then probes them.
	quarantineTime = 4 * time.Second
	// maxQuarantinedShare bounds the workers in quarantine at a time.
	maxQuarantinedShare = 0.3
)

// countWorkerFailure counts a failed run against its worker and puts it into quarantine if others fail there as well.
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

// quarantine keeps new tasks from a worker for a while, unless too many are kept out already.
func (c *Core) quarantine(w *worker, reason string, now time.Duration) {
	quarantined := 0
	for _, o := range c.sortedWorkers {
		if o != w && now < o.quarantinedUntil {
			quarantined++
		}
	}
	if float64(quarantined+1) > maxQuarantinedShare*float64(len(c.workers)) {
		klog.InfoS("Worker not quarantined", "node", w.node, "worker", w.incarnation(), "reason", reason, "out", quarantined)
		return
	}
	w.quarantinedUntil = now + quarantineTime
	klog.InfoS("Worker quarantined", "node", w.node, "worker", w.incarnation(), "reason", reason, "failures", w.failedJobs,
		"out", quarantined, "forMs", quarantineTime.Milliseconds())
}
