package scheduler

import (
	"math"
	"time"

	"k8s.io/klog/v2"

	"masticcart.example/masticcart/internal/batch"
)

// updateCold notes until when a worker is slow after its start, from its last announcement.
func (c *Core) updateCold(w *worker, info *batch.Worker, now time.Duration) {
	until := now + time.Duration(info.ColdForMS)*time.Millisecond
	if info.ColdForMS <= 0 {
		until = min(w.coldUntil, now) // keeps how long it was cold, by which its runs are judged
	}
	if w.cold(now) != (until > now) {
		klog.InfoS("Worker's cold state changed", "node", w.node, "worker", info.Incarnation, "cold", until > now,
			"coldForMs", info.ColdForMS, "tasks", len(w.tasks))
	}
	w.coldUntil = until
	c.lastColdUntil = max(c.lastColdUntil, until)
}

// cold reports whether the worker is still slow after its start.
func (w *worker) cold(now time.Duration) bool { return now < w.coldUntil }

// coldSince reports whether the worker of a task, or of a member of its gang, has been cold at some time since then.
func (c *Core) coldSince(t *task, since time.Duration) bool {
	if c.lastColdUntil <= since {
		return false
	}
	for _, node := range t.nodes() {
		if w := c.workers[node]; w != nil && w.coldUntil > since {
			return true
		}
	}
	return false
}

// restartPace begins the measurement of a run's progress anew once the workers are no longer cold.
func (c *Core) restartPace(t *task, percent int, now time.Duration) {
	if t.basePercent >= 0 && c.coldSince(t, t.paceSince) && !c.coldSince(t, now) {
		t.basePercent, t.paceSince, t.progressAt = percent, now, now
	}
}

// limitsCold reports whether the number of runs on cold workers is limited.
func (c *Config) limitsCold() bool { return c.ColdOverage > 0 || c.ColdSlack > 0 }

// coldLimits returns by service the most runs that a cold worker may have: ColdOverage times the mean number of runs on the
// warm workers, plus ColdSlack. Only runs that are known to be in progress count on the warm ones, since others may not
// start.
func (c *Core) coldLimits(now time.Duration) map[string]int {
	if !c.config.limitsCold() || now >= c.lastColdUntil {
		return nil
	}
	runs, warm := map[string]int{}, map[string]int{}
	for _, w := range c.sortedWorkers {
		if w.info == nil || w.deregistered || w.downSince != never || w.cold(now) {
			continue
		}
		warm[w.info.Service]++
		for t := range w.tasks {
			if t.phase == assigned && t.confirmed {
				runs[w.info.Service]++
			}
		}
	}
	limits := map[string]int{}
	for _, w := range c.sortedWorkers {
		if w.info == nil || !w.cold(now) {
			continue
		}
		mean := float64(runs[w.info.Service]) / float64(max(warm[w.info.Service], 1))
		limits[w.info.Service] = int(math.Floor(c.config.ColdOverage*mean + c.config.ColdSlack))
	}
	return limits
}

// maxAdded returns how many more tasks of a unit a worker may get apart from its capacity: by the limit of the step and,
// while the worker is cold, by that of cold workers.
func (p *planner) maxAdded(u unit, w *worker) int {
	n := math.MaxInt
	if most := u.step.spec.MaxPerWorker; most > 0 {
		n = most - u.step.countOn(w.node)
	}
	if p.coldLimits != nil && w.cold(p.now) && !u.onEmptyWorkers {
		n = min(n, p.coldLimits[w.info.Service]-len(w.tasks))
	}
	return n
}
