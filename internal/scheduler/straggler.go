package scheduler

import (
	"slices"
	"time"

	"k8s.io/klog/v2"
)

// Detection of stalled and slow runs.
const (
	// stallTimeout is the least time without progress after which a run counts as stalled.
	stallTimeout = 1500 * time.Millisecond
	// stallPercents extends stallTimeout for long tasks, of which one percent takes long: a run counts as stalled only
	// if it should have advanced by this many percent since its last progress.
	stallPercents = 8
	// slowFactor is the factor by which a run has to be slower than the other tasks of its step to be moved. Tasks of a
	// step differ by a factor of two and more. Estimates are no measure here: they are off for all tasks of a job
	// alike.
	slowFactor = 3.5
	// minPeers is the least number of other tasks to compare a run with.
	minPeers = 2
	// minJudgedTime is the least time over which the progress of a run is measured before its speed is compared.
	minJudgedTime = 900 * time.Millisecond
	// minTimeSaved is the least time that moving a run has to save.
	minTimeSaved = 500 * time.Millisecond
	// completePercent is the percentage of a gang member that is done and waits for the others.
	completePercent = 100
	// maxMoves limits the moves of one task, since the task itself may be slow.
	maxMoves = 1
)

// Reasons why a run is moved to another worker.
const (
	reasonStalled = "stands still"
	reasonSlow    = "crawls"
)

var stragglerLossCauses = map[string]LossCause{reasonStalled: LossStalled, reasonSlow: LossSlow}

// straggleReason returns why a run should be stopped and started on another worker, or an empty string.
func (c *Core) straggleReason(t *task, now time.Duration) string {
	if t.phase != assigned || !t.confirmed || t.basePercent < 0 || t.moves >= maxMoves || t.step.spec.LongRunning ||
		t.percent >= completePercent || c.coldSince(t, t.paceSince) {
		return ""
	}
	usual := max(c.expectedDuration(t.step), c.durationStats(t.step.job().Queue.Name).mean)
	if t.remote {
		usual = time.Duration(float64(usual) * c.config.RemoteFactor)
	}
	healthy := c.healthyFactor(t.node)
	usual = time.Duration(float64(usual) * healthy)
	if usual <= 0 {
		return ""
	}
	if now-t.progressAt > max(stallTimeout, usual*stallPercents/100) {
		return reasonStalled
	}
	if now-t.paceSince < minJudgedTime || t.step.spec.Gang {
		return ""
	}
	peers := c.peerTimes(t, now)
	if len(peers) < minPeers {
		return ""
	}
	slices.Sort(peers)
	usual = peers[len(peers)/2]
	total := t.projectedTime(now)
	rest := time.Duration(float64(total) * float64(100-t.percent) / 100)
	if float64(total) > slowFactor*float64(usual)*healthy && rest > usual+minTimeSaved {
		return reasonSlow
	}
	return ""
}

// projectedTime extrapolates the total time of a run from its progress. The reported percentage is rounded down, so the
// run may have done nearly one percent more.
func (t *task) projectedTime(now time.Duration) time.Duration {
	return time.Duration(float64(now-t.paceSince) * 100 / float64(t.percent-t.basePercent+1))
}

// peerTimes returns the actual or projected total times of the other tasks of the step, scaled to typical workers. Tasks
// on the same worker are left out, and so are those on cold workers.
func (c *Core) peerTimes(t *task, now time.Duration) []time.Duration {
	var times []time.Duration
	for _, o := range t.step.tasks {
		switch {
		case o == t || o.node != "" && o.node == t.node:
		case o.phase == done && o.runTime > 0:
			times = append(times, o.runTime)
		case o.phase == assigned && o.confirmed && o.basePercent >= 0 && now-o.paceSince >= minJudgedTime &&
			!c.coldSince(o, o.paceSince):
			times = append(times, time.Duration(float64(o.projectedTime(now))/c.workerFactor(o.node)))
		}
	}
	return times
}

// moveStraggler stops a straggling run, so that the task is placed on another worker.
func (c *Core) moveStraggler(w *worker, t *task, reason string, now time.Duration) {
	c.stats.Moved++
	klog.InfoS("Run straggles", "task", t.id, "run", t.run, "node", w.node, "worker", t.incarnation, "reason", reason,
		"percent", t.percent, "ranMs", (now - t.startedAt).Milliseconds(),
		"expectedMs", c.expectedDuration(t.step).Milliseconds(), "moves", t.moves)
	t.avoid(w.node)
	t.step.job().dirty = true // the next leader has to avoid the worker as well
	t.moves++
	if t.step.spec.Gang {
		for _, m := range t.step.tasks {
			m.moves = t.moves
		}
	} else {
		c.quarantine(w, "a run "+reason, now)
	}
	c.stopRun(t, stragglerLossCauses[reason], reason, now)
	c.stopGang(t, LossMemberStalled, "member "+reason, now)
}
