package scheduler

import (
	"slices"
	"time"

	"k8s.io/klog/v2"
)

// Detection of tasks that stand still or crawl on their worker.
const (
	// stallAfter is the time without progress after which a task is taken as standing still; longer for tasks that
	// take long for a percent.
	stallAfter = 1500 * time.Millisecond
	// stallPercents is the progress that a task should have made meanwhile.
	stallPercents = 8
	// crawlFactor is how many times as long as the other tasks of its step a task has to take to be moved. Tasks of a
	// step differ by a factor of two and more. Estimates do not tell: they are off for all tasks of a job alike.
	crawlFactor = 3.5
	// crawlPeers is the least number of tasks to compare with.
	crawlPeers = 2
	// crawlAfter is the least time of a run before its pace is judged.
	crawlAfter = 900 * time.Millisecond
	// crawlSlack is what a move has to save.
	crawlSlack = 500 * time.Millisecond
	// wholeWork is the percentage of a member of a gang that waits for the others to end.
	wholeWork = 100
	// maxMoves bounds the moves of one task, in case it is the task that is slow.
	maxMoves = 1
)

// straggling returns why a run should be stopped and started elsewhere, or an empty string.
func (c *Core) straggling(t *task, now time.Duration) string {
	if t.phase != assigned || !t.confirmed || t.startPct < 0 || t.moves >= maxMoves || t.step.spec.LongRunning ||
		t.percent >= wholeWork {
		return ""
	}
	usual := max(c.expected(t.step), c.duration(t.step.job().Queue.Name).mean)
	if t.far {
		usual = time.Duration(float64(usual) * c.config.RemoteFactor)
	}
	if usual <= 0 {
		return ""
	}
	if now-t.percentAt > max(stallAfter, usual*stallPercents/100) {
		return "stands still"
	}
	if now-t.paceFrom < crawlAfter || t.step.spec.Gang {
		return ""
	}
	peers := t.peers(now)
	if len(peers) < crawlPeers {
		return ""
	}
	slices.Sort(peers)
	usual = peers[len(peers)/2]
	whole := t.whole(now)
	rest := time.Duration(float64(whole) * float64(100-t.percent) / 100)
	if float64(whole) > crawlFactor*float64(usual) && rest > usual+crawlSlack {
		return "crawls"
	}
	return ""
}

// whole projects the time of a run from its progress. The percentage is rounded down, so it may have done nearly one
// more.
func (t *task) whole(now time.Duration) time.Duration {
	return time.Duration(float64(now-t.paceFrom) * 100 / float64(t.percent-t.startPct+1))
}

// peers returns the times that the other tasks of the step took, or will take at their pace.
func (t *task) peers(now time.Duration) []time.Duration {
	var times []time.Duration
	for _, o := range t.step.tasks {
		switch {
		case o == t || o.node != "" && o.node == t.node:
		case o.phase == done && o.took > 0:
			times = append(times, o.took)
		case o.phase == assigned && o.confirmed && o.startPct >= 0 && now-o.paceFrom >= crawlAfter:
			times = append(times, o.whole(now))
		}
	}
	return times
}

// move stops a straggling run, so that the task starts on another worker.
func (c *Core) move(w *worker, t *task, reason string, now time.Duration) {
	c.stats.Moved++
	klog.InfoS("Run straggles", "task", t.id, "run", t.run, "node", w.node, "worker", t.life, "reason", reason,
		"percent", t.percent, "ranMs", (now - t.startedAt).Milliseconds(),
		"expectedMs", c.expected(t.step).Milliseconds(), "moves", t.moves)
	t.avoid(w.node)
	t.moves++
	if t.step.spec.Gang {
		for _, m := range t.step.tasks {
			m.moves = t.moves
		}
	} else {
		c.quarantine(w, "a run "+reason, now)
	}
	c.stop(t, reason, now)
	c.breakGang(t, "member "+reason, now)
}
