package scheduler

import (
	"time"

	"k8s.io/klog/v2"

	"masticcart.example/masticcart/internal/batch"
)

// duration is what has been learned of the tasks of a queue.
type duration struct {
	ratio float64       // of the time that tasks take to their estimates
	mean  time.Duration // that tasks take
}

const (
	// learnWeight is the weight of one observation in the running means; about the last ten count.
	learnWeight = 0.1
	// learnMin and learnMax bound one observed ratio, so that a slow worker does not spoil the mean.
	learnMin = 0.2
	learnMax = 4.0
)

// duration returns what is known of a queue.
func (c *Core) duration(queue string) *duration {
	d := c.learned[queue]
	if d == nil {
		d = &duration{ratio: 1}
		c.learned[queue] = d
	}
	return d
}

// observe learns from a run that ended well, near its data, and had not been resumed from a checkpoint.
func (c *Core) observe(t *task, now time.Duration) {
	if t.startPct >= 0 && t.startPct <= maxStartPercent {
		t.took = now - t.startedAt
	}
	estimate := t.step.spec.Estimate
	if estimate <= 0 || !t.confirmed || t.startPct > maxStartPercent || t.far {
		return
	}
	d := c.duration(t.step.job().Queue.Name)
	took := now - t.startedAt
	ratio := min(max(float64(took)/float64(estimate), learnMin), learnMax)
	d.ratio = d.ratio*(1-learnWeight) + ratio*learnWeight
	if d.mean == 0 {
		d.mean = took
	}
	d.mean = time.Duration(float64(d.mean)*(1-learnWeight) + float64(took)*learnWeight)
}

// maxStartPercent tells a run from the start from a resumed one.
const maxStartPercent = 10

// expected returns how long a task takes on a sound worker near its data.
func (c *Core) expected(s *stepRun) time.Duration {
	return c.estimate(s.job(), s.spec)
}

// estimate is expected for a step of a job.
func (c *Core) estimate(j *job, s *batch.Step) time.Duration {
	return time.Duration(float64(s.Estimate) * c.duration(j.Queue.Name).ratio)
}

// remaining returns how long a running task still takes.
func (c *Core) remaining(t *task, now time.Duration) time.Duration {
	whole := c.expected(t.step)
	ran := now - t.startedAt
	if t.confirmed && t.startPct >= 0 && t.percent > t.startPct {
		whole = time.Duration(float64(t.percentAt-t.paceFrom) * 100 / float64(t.percent-t.startPct))
		left := time.Duration(float64(whole) * float64(100-t.percent) / 100)
		return max(left-(now-t.percentAt), minRemaining)
	}
	return max(whole-ran, minRemaining)
}

// minRemaining is assumed of tasks that take longer than expected.
const minRemaining = 200 * time.Millisecond

// Quarantine of workers that fail what they start.
const (
	// suspectAfter is the number of failed runs of different jobs in a row, with none done in between.
	suspectAfter = 2
	// suspectFor is the time without new tasks. Workers recover by themselves; one task then probes them.
	suspectFor = 4 * time.Second
	// suspectShare bounds the workers in quarantine at a time.
	suspectShare = 0.3
)

// suspect counts a failed run against its worker and puts it into quarantine if others fail there as well.
func (c *Core) suspect(w *worker, t *task, now time.Duration) {
	if w.failedJob == t.id.Job {
		return
	}
	w.failedJob = t.id.Job
	if w.failures++; w.failures < suspectAfter {
		return
	}
	c.quarantine(w, "runs fail", now)
}

// quarantine keeps new tasks from a worker for a while, unless too many are kept out already.
func (c *Core) quarantine(w *worker, reason string, now time.Duration) {
	out := 0
	for _, o := range c.fleet {
		if o != w && now < o.avoidUntil {
			out++
		}
	}
	if float64(out+1) > suspectShare*float64(len(c.workers)) {
		klog.InfoS("Worker not quarantined", "node", w.node, "worker", w.life(), "reason", reason, "out", out)
		return
	}
	w.avoidUntil = now + suspectFor
	klog.InfoS("Worker quarantined", "node", w.node, "worker", w.life(), "reason", reason, "failures", w.failures,
		"out", out, "forMs", suspectFor.Milliseconds())
}
