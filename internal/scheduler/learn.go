package scheduler

import (
	"time"

	"k8s.io/klog/v2"

	"masticcart.example/masticcart/internal/batch"
)

// durations holds, for each queue, how long tasks take compared with their estimates.
type durations map[string]float64

const (
	// learnWeight is the weight of one observation in the running mean; about the last ten count.
	learnWeight = 0.1
	// learnMin and learnMax bound one observation, so that a slow worker does not spoil the mean.
	learnMin = 0.2
	learnMax = 4.0
)

func (d durations) of(queue string) float64 {
	if f, ok := d[queue]; ok {
		return f
	}
	return 1
}

// observe learns from a run that ended well and had not been resumed from a checkpoint.
func (c *Core) observe(t *task, now time.Duration) {
	estimate := t.step.spec.Estimate
	if estimate <= 0 || !t.confirmed || t.startPct > maxStartPercent {
		return
	}
	ratio := float64(now-t.startedAt) / float64(estimate)
	ratio = min(max(ratio, learnMin), learnMax)
	queue := t.step.job().Queue.Name
	c.learned[queue] = c.learned.of(queue)*(1-learnWeight) + ratio*learnWeight
}

// maxStartPercent tells a run from the start from a resumed one.
const maxStartPercent = 10

// expected returns how long a task takes on a sound worker near its data.
func (c *Core) expected(s *stepRun) time.Duration {
	return c.estimate(s.job(), s.spec)
}

// estimate is expected for a step of a job.
func (c *Core) estimate(j *job, s *batch.Step) time.Duration {
	return time.Duration(float64(s.Estimate) * c.learned.of(j.Queue.Name))
}

// remaining returns how long a running task still takes.
func (c *Core) remaining(t *task, now time.Duration) time.Duration {
	whole := c.expected(t.step)
	ran := now - t.startedAt
	if t.confirmed && t.startPct >= 0 && t.percent > t.startPct {
		whole = time.Duration(float64(t.percentAt-t.startedAt) * 100 / float64(t.percent-t.startPct))
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
	out := 0
	for _, o := range c.workers {
		if now < o.avoidUntil {
			out++
		}
	}
	if float64(out+1) > suspectShare*float64(len(c.workers)) {
		return
	}
	w.avoidUntil = now + suspectFor
	klog.InfoS("Worker quarantined", "node", w.node, "worker", w.life(), "failures", w.failures, "out", out,
		"forMs", suspectFor.Milliseconds())
}
