package scheduler

import (
	"slices"
	"time"

	"k8s.io/klog/v2"
)

// Detection of tasks that stand still or crawl on their worker.
const (
	// stallTimeout is the time without progress after which a task is taken as standing still; longer for tasks that
	// take long for a percent.
	stallTimeout = 1500 * time.Millisecond
	// stallPercents is the progress that a task should have made meanwhile.
	stallPercents = 8
	// slowFactor is how many times as long as the other tasks of its step a task has to take to be moved. Tasks of a
	// step differ by a factor of two and more. Estimates do not tell: they are off for all tasks of a job alike.
	slowFactor = 3.5
	// minPeers is the least number of tasks to compare with.
	minPeers = 2
	// minJudgedTime is the least time of a run before its pace is judged.
	minJudgedTime = 900 * time.Millisecond
	// minTimeSaved is what a move has to save.
	minTimeSaved = 500 * time.Millisecond
	// completePercent is the percentage of a member of a gang that waits for the others to end.
	completePercent = 100
	// maxMoves bounds the moves of one task, in case it is the task that is slow.
	maxMoves = 1
)

// straggleReason returns why a run should be stopped and started elsewhere, or an empty string.
func (c *Core) straggleReason(t *task, now time.Duration) string {
	if t.phase != assigned || !t.confirmed || t.basePercent < 0 || t.moves >= maxMoves || t.step.spec.LongRunning ||
		t.percent >= completePercent {
		return ""
	}
	usual := max(c.expectedDuration(t.step), c.durationStats(t.step.job().Queue.Name).mean)
	if t.remote {
		usual = time.Duration(float64(usual) * c.config.RemoteFactor)
	}
	if usual <= 0 {
		return ""
	}
	if now-t.progressAt > max(stallTimeout, usual*stallPercents/100) {
		return "stands still"
	}
	if now-t.paceSince < minJudgedTime || t.step.spec.Gang {
		return ""
	}
	peers := t.peerTimes(now)
	if len(peers) < minPeers {
		return ""
	}
	slices.Sort(peers)
	usual = peers[len(peers)/2]
	total := t.projectedTime(now)
	rest := time.Duration(float64(total) * float64(100-t.percent) / 100)
	if float64(total) > slowFactor*float64(usual) && rest > usual+minTimeSaved {
		return "crawls"
	}
	return ""
}

// projectedTime projects the time of a run from its progress. The percentage is rounded down, so it may have done nearly one
// more.
func (t *task) projectedTime(now time.Duration) time.Duration {
	return time.Duration(float64(now-t.paceSince) * 100 / float64(t.percent-t.basePercent+1))
}

// peerTimes returns the times that the other tasks of the step took, or will take at their pace.
func (t *task) peerTimes(now time.Duration) []time.Duration {
	var times []time.Duration
	for _, o := range t.step.tasks {
		switch {
		case o == t || o.node != "" && o.node == t.node:
		case o.phase == done && o.runTime > 0:
			times = append(times, o.runTime)
		case o.phase == assigned && o.confirmed && o.basePercent >= 0 && now-o.paceSince >= minJudgedTime:
			times = append(times, o.projectedTime(now))
		}
	}
	return times
}

// moveStraggler stops a straggling run, so that the task starts on another worker.
func (c *Core) moveStraggler(w *worker, t *task, reason string, now time.Duration) {
	c.stats.Moved++
	klog.InfoS("Run straggles", "task", t.id, "run", t.run, "node", w.node, "worker", t.incarnation, "reason", reason,
		"percent", t.percent, "ranMs", (now - t.startedAt).Milliseconds(),
		"expectedMs", c.expectedDuration(t.step).Milliseconds(), "moves", t.moves)
	t.avoid(w.node)
	t.moves++
	if t.step.spec.Gang {
		for _, m := range t.step.tasks {
			m.moves = t.moves
		}
	} else {
		c.quarantine(w, "a run "+reason, now)
	}
	c.stopRun(t, reason, now)
	c.stopGang(t, "member "+reason, now)
}
