package scheduler

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"k8s.io/klog/v2"

	"masticcart.example/masticcart/internal/batch"
)

// Attribution of crashes, see "Crashes of workers" in docs/platform.md.
const (
	// startupTime is how long after its start a run counts as starting. A worker that crashes within it may have crashed
	// because of the run; a run that outlives it clears its task of the crashes that were attributed to it.
	startupTime = 500 * time.Millisecond
	// maxAttributedCrashes is the number of crashes attributed to a task, on different or on healthy workers, after which it
	// is given up. maxAttributedOnOneWorker applies otherwise.
	maxAttributedCrashes     = 2
	maxAttributedOnOneWorker = 3
	// repeatedCrashes is the number of crashes under a task from which on it is not taken for a mere bystander.
	repeatedCrashes = 2
	// isolateAfterCrashes is the number of crashes under a task, whatever their cause, after which it gets its workers
	// for itself, so that another crash is conclusive.
	isolateAfterCrashes = 3
	// maxIsolatedRuns is the number of runs that an isolated task gets. The platform's rules allow two starts after the
	// third crash. maxCrashes is the same limit with losses of which it is not known yet whether they were crashes.
	maxIsolatedRuns = 2
	maxCrashes      = isolateAfterCrashes + maxIsolatedRuns
	// crashMemory is how long a crash speaks against a worker, and how long a run must last to clear its task of all
	// crashes.
	crashMemory = time.Minute
	// massCrashWindow and massCrashShare define a mass crash: more than this share of the workers, and at least
	// minMassCrash of them, stop answering within the window. It does not speak against any of the workers.
	massCrashWindow = time.Second
	massCrashShare  = 1.0 / 3
	minMassCrash    = 3
)

// endedIncarnation is an incarnation of a worker after which another one was announced.
type endedIncarnation struct {
	incarnation batch.Incarnation
	// downSince is when the worker stopped answering its agent, or never if this leader has not observed it.
	downSince time.Duration
	announced bool // the worker had announced that it leaves
	healthy   bool // a run had outlived its start on the incarnation
}

// crash is the unannounced end of an incarnation of a worker.
type crash struct {
	endedIncarnation
	worker  *worker
	victims []*task // tasks with a run on the incarnation, by id
	// suspects are the victims whose run was starting, or whose start was not answered.
	suspects []*task
	mass     bool
}

// crashHistory is what a task has to do with crashes of workers. It is part of the job's record.
type crashHistory struct {
	// Crashed lists the incarnations that crashed with a run of the task, whatever the cause.
	Crashed          []batch.Incarnation `json:"n,omitempty"`
	SuspectedCrashes []suspectedCrash    `json:"a,omitempty"` // crashes since the last run that has outlived its start
	// Suspected means that a run was starting, or may have been, when a worker crashed, and none has outlived its start
	// since.
	Suspected    bool             `json:"s,omitempty"`
	Unresolved   []unresolvedLoss `json:"u,omitempty"` // runs lost with workers that are still silent
	IsolatedRuns int              `json:"r,omitempty"` // runs that have ended since the task is isolated
}

// suspectedCrash is a crash that a task may have caused, since its run was starting.
type suspectedCrash struct {
	Node string `json:"n"`
	// Others are the tasks of other jobs that may have caused the crash instead. The crash is attributed to the task if
	// there are none, or once all of them are cleared.
	Others []batch.TaskID `json:"o,omitempty"`
	// Healthy means that runs of other tasks had outlived their start on the same incarnation of the worker.
	Healthy bool `json:"s,omitempty"`
}

// attribution is what a crash says of a task with a run on the crashed worker.
type attribution struct {
	Incarnation    batch.Incarnation `json:"i"`
	Suspected      bool              `json:"s,omitempty"` // the run was starting, or its start was not answered
	SuspectedCrash *suspectedCrash   `json:"a,omitempty"` // nil unless the run was certainly starting
}

// unresolvedLoss is a run that was lost with a silent worker, of which it is not known whether it has crashed. That is
// known when the worker is reached again.
type unresolvedLoss struct {
	Node        string      `json:"n"`
	Attribution attribution `json:"v"` // if the worker has crashed
}

// unexplainedCrash is a crash of a worker on which no run was starting.
type unexplainedCrash struct {
	at      time.Duration
	victims []*task
}

// newCrash returns the crash of an incarnation with the tasks of its lost runs that may have started. Runs of earlier
// incarnations, which crashed unseen, are among them.
func (c *Core) newCrash(w *worker, ended endedIncarnation, lost []*task) *crash {
	cr := &crash{endedIncarnation: ended, worker: w, mass: c.isMassCrash(ended.downSince)}
	for _, t := range lost {
		if !t.mayHaveRun() {
			continue
		}
		cr.victims = append(cr.victims, t)
		seen := t.incarnation == ended.incarnation && ended.downSince != never
		if !t.confirmed || seen && t.startSent && ended.downSince-t.startedAt <= startupTime {
			cr.suspects = append(cr.suspects, t)
		}
	}
	return cr
}

// mayHaveRun reports whether the present run of an active task may have started on its worker.
func (t *task) mayHaveRun() bool { return t.confirmed || t.startUncertain || t.inherited }

// isMassCrash reports whether many workers stopped answering at about the same time.
func (c *Core) isMassCrash(downSince time.Duration) bool {
	if downSince == never {
		return false
	}
	n := 0
	for _, w := range c.sortedWorkers {
		if w.lastDownAt != never && (w.lastDownAt-downSince).Abs() <= massCrashWindow {
			n++
		}
	}
	return n >= minMassCrash && float64(n) > massCrashShare*float64(c.expectedWorkers(downSince))
}

// crashes returns the number of workers that crashed with a run of the task, whatever the cause.
func (t *task) crashes() int { return len(t.crash.Crashed) }

// sharesCrash reports whether a worker has crashed with runs of both tasks.
func (t *task) sharesCrash(o *task) bool {
	return slices.ContainsFunc(t.crash.Crashed, func(i batch.Incarnation) bool { return slices.Contains(o.crash.Crashed, i) })
}

// attributionOf returns what the crash says of one of its victims. Others that may have caused it are those that were
// starting as well, and, since a task may also crash its worker later, those that have lost several workers or were
// there at an earlier crash under the task.
func (c *Core) attributionOf(t *task, cr *crash) attribution {
	a := attribution{Incarnation: t.incarnation, Suspected: slices.Contains(cr.suspects, t)}
	if !a.Suspected || !t.confirmed {
		return a
	}
	a.SuspectedCrash = &suspectedCrash{Node: cr.worker.node, Healthy: cr.healthy}
	for _, o := range cr.victims {
		if o.id.Job != t.id.Job &&
			(o.crashes() >= repeatedCrashes || t.sharesCrash(o) || slices.Contains(cr.suspects, o)) {
			a.SuspectedCrash.Others = append(a.SuspectedCrash.Others, o.id)
		}
	}
	return a
}

// attributed returns the crashes that are attributed to a task.
func (c *Core) attributed(t *task) []suspectedCrash {
	return slices.DeleteFunc(slices.Clone(t.crash.SuspectedCrashes), func(a suspectedCrash) bool {
		return slices.ContainsFunc(a.Others, func(id batch.TaskID) bool { return !c.isCleared(id) })
	})
}

// isCleared reports whether a task that was starting when a worker crashed has outlived a later start.
func (c *Core) isCleared(id batch.TaskID) bool {
	j := c.jobs[id.Job]
	if j == nil || j.state == batch.Failed {
		return false
	}
	if j.state == batch.Completed {
		return true
	}
	t := j.findTask(id)
	return t != nil && (t.phase == done && !j.state.Final() || !t.suspect() && t.crashes() < repeatedCrashes)
}

// conclusiveFor reports whether nothing but the task or the worker itself can have caused the crash, and the worker has
// not crashed without the task.
func (cr *crash) conclusiveFor(t *task, now time.Duration) bool {
	ofOtherJob := func(o *task) bool { return o.id.Job != t.id.Job }
	return !slices.ContainsFunc(cr.victims, ofOtherJob) &&
		!slices.ContainsFunc(cr.worker.unexplained, func(u unexplainedCrash) bool {
			return now-u.at < crashMemory && !slices.ContainsFunc(u.victims, func(o *task) bool { return !ofOtherJob(o) })
		})
}

// recordCrash records the crash of the incarnation before the current one, which took the lost runs with it. An
// incarnation that had announced its end has not crashed.
func (c *Core) recordCrash(w *worker, lost []*task, now time.Duration) {
	ended := w.replaced
	if ended == nil && len(lost) > 0 { // the incarnation was known to the previous leader only
		ended = &endedIncarnation{incarnation: lost[0].incarnation, downSince: never}
	}
	if ended == nil || ended.announced {
		return
	}
	c.stats.Crashed++
	cr := c.newCrash(w, *ended, lost)
	attributions := make([]attribution, len(cr.victims))
	for i, t := range cr.victims {
		attributions[i] = c.attributionOf(t, cr)
	}
	for i, t := range cr.victims {
		c.countCrash(t, attributions[i])
		if t.crashes() == isolateAfterCrashes {
			t.crash.IsolatedRuns = -1 // the run that has crashed is counted when it ends
		}
		t.crashConclusive = cr.conclusiveFor(t, now)
	}
	cr.log(now)
	c.countWorkerCrash(cr, now)
}

// countCrash counts a crash of a worker under a task.
func (c *Core) countCrash(t *task, a attribution) {
	if a.SuspectedCrash != nil {
		t.crash.SuspectedCrashes = append(t.crash.SuspectedCrashes, *a.SuspectedCrash)
		t.avoid(a.SuspectedCrash.Node)
	}
	t.crash.Crashed = append(t.crash.Crashed, a.Incarnation)
	t.crash.Suspected = t.crash.Suspected || a.Suspected
	t.step.job().dirty = true
	c.suspects[t] = struct{}{}
}

// countWorkerCrash counts a crash against its worker if no run was starting there, and quarantines the worker if it has
// crashed before under other jobs. Crashes under a task that has lost several workers do not count.
func (c *Core) countWorkerCrash(cr *crash, now time.Duration) {
	w := cr.worker
	w.unexplained = slices.DeleteFunc(w.unexplained, func(u unexplainedCrash) bool { return now-u.at >= crashMemory })
	if len(cr.suspects) > 0 || cr.mass || cr.downSince == never || w.hasUnresolved {
		return
	}
	w.unexplained = append(w.unexplained, unexplainedCrash{now, cr.victims})
	jobs := map[string]bool{}
	separate := 0
	for _, u := range w.unexplained {
		if slices.ContainsFunc(u.victims, func(t *task) bool { return t.crashes() > 1 || jobs[t.id.Job] }) {
			continue
		}
		for _, t := range u.victims {
			jobs[t.id.Job] = true
		}
		separate++
	}
	if separate >= quarantineAfter {
		c.quarantine(w, "crashes", now)
	}
}

// deferCrash remembers the runs that are lost with a silent worker until it is known whether it has crashed.
func (c *Core) deferCrash(w *worker) {
	ended := endedIncarnation{incarnation: w.incarnation(), downSince: w.downSince, healthy: w.healthy}
	cr := c.newCrash(w, ended, w.sortedTasks())
	for _, t := range cr.victims {
		t.crash.Unresolved = append(t.crash.Unresolved, unresolvedLoss{w.node, c.attributionOf(t, cr)})
		c.suspects[t] = struct{}{}
		w.hasUnresolved = true
	}
}

// resolveLosses decides the unresolved losses on a worker that is reached: a new incarnation means that the one before
// has crashed, unless it had announced its end.
func (c *Core) resolveLosses(w *worker) {
	if w.reached && !w.hasUnresolved {
		return
	}
	w.hasUnresolved = false
	announced := w.replaced != nil && w.replaced.announced
	for t := range c.suspects {
		t.crash.Unresolved = slices.DeleteFunc(t.crash.Unresolved, func(u unresolvedLoss) bool {
			if u.Node != w.node {
				return false
			}
			if u.Attribution.Incarnation != w.info.Incarnation && !announced {
				klog.InfoS("Worker had crashed", "node", w.node, "worker", u.Attribution.Incarnation, "task", t.id,
					"starting", u.Attribution.Suspected)
				c.countCrash(t, u.Attribution)
			}
			t.step.job().dirty = true
			return true
		})
	}
}

// noteSurvivor clears a task of crashes, and its worker of doubt, after its run has been seen to last.
func (c *Core) noteSurvivor(w *worker, t *task, r Report) {
	lasted := r.SentAt - t.startedAt
	if lasted > startupTime {
		w.healthy, w.provenAt = true, max(w.provenAt, t.startedAt)
	}
	if lasted > startupTime && t.suspect() {
		t.crash.SuspectedCrashes, t.crash.Suspected, t.step.job().dirty = nil, false, true
	}
	if lasted > crashMemory && (t.crashes() > 0 || len(t.crash.Unresolved) > 0) {
		t.crash, t.step.job().dirty = crashHistory{}, true
		delete(c.suspects, t)
	}
}

// stopWaitingGangs stops gangs with a member on a worker that is probably lost: the others would wait for it in vain and
// end alone. A gang that has been at work may still be, so it gets more time.
func (c *Core) stopWaitingGangs(w *worker, now time.Duration) {
	if w.downSince == never || now-w.downSince < c.config.GangWait/3 {
		return
	}
	for _, t := range w.sortedTasks() {
		if !t.step.spec.Gang || t.phase != assigned {
			continue
		}
		hasBegun := slices.ContainsFunc(t.step.tasks, func(m *task) bool { return m.active() && m.percent > 0 })
		advances := slices.ContainsFunc(t.step.tasks, func(m *task) bool {
			return m.active() && now-m.progressAt < c.config.GangWait/3
		})
		if !hasBegun || !advances && now-w.downSince >= c.config.GangWait*2/3 {
			c.stopGang(t, LossMemberLost, "worker of a member does not answer", now)
		}
	}
}

// giveUpCrashingTasks fails the jobs of waiting tasks that have crashed too many workers.
func (c *Core) giveUpCrashingTasks(now time.Duration, wall time.Time) {
	var responsible []*task
	for t := range c.suspects {
		switch {
		case t.phase == done || t.step.job().state.Final():
			delete(c.suspects, t)
		case t.phase == waiting && c.crashesWorkers(t):
			responsible = append(responsible, t)
		}
	}
	slices.SortFunc(responsible, func(a, b *task) int { return a.id.Compare(b.id) })
	for _, t := range responsible {
		j := t.step.job()
		if j.state.Final() {
			continue
		}
		c.stats.GivenUp++
		attributed := c.attributed(t)
		j.failure = fmt.Sprintf("task %v was given up: %d workers crashed while they ran it, %d of them because of it",
			t.id, t.crashes(), len(attributed))
		klog.InfoS("Task given up", "task", t.id, "run", t.run, "crashes", t.crashes(), "attributed", attributed,
			"isolatedRuns", t.crash.IsolatedRuns)
		c.finish(j, batch.Failed, now, wall)
	}
}

// crashesWorkers reports whether a task is held responsible for the crashes under it.
func (c *Core) crashesWorkers(t *task) bool {
	attributed := c.attributed(t)
	nodes := map[string]bool{}
	onHealthy := 0
	for _, a := range attributed {
		nodes[a.Node] = true
		if a.Healthy {
			onHealthy++
		}
	}
	return len(nodes) >= maxAttributedCrashes || onHealthy >= maxAttributedCrashes ||
		len(attributed) >= maxAttributedOnOneWorker ||
		t.crashes() > isolateAfterCrashes && t.crashConclusive || t.crash.IsolatedRuns >= maxIsolatedRuns ||
		t.crashes() >= repeatedCrashes && t.crashes()+len(t.crash.Unresolved) >= maxCrashes
}

// log writes the facts by which a crash is attributed.
func (cr *crash) log(now time.Duration) {
	downMS := never.Milliseconds()
	if cr.downSince != never {
		downMS = (now - cr.downSince).Milliseconds()
	}
	klog.InfoS("Worker crashed", "node", cr.worker.node, "worker", cr.incarnation, "downMs", downMS, "mass", cr.mass,
		"runs", cr.describe(cr.victims, now), "starting", cr.describe(cr.suspects, now))
}

// describe lists runs with the time in milliseconds that each had run before the worker went down, and the number of
// crashes under its task.
func (cr *crash) describe(tasks []*task, now time.Duration) string {
	end := now
	if cr.downSince != never {
		end = cr.downSince
	}
	runs := make([]string, len(tasks))
	for i, t := range tasks {
		runs[i] = fmt.Sprintf("%v:%d/%dms/%d", t.id, t.run, (end - t.startedAt).Milliseconds(), t.crashes())
	}
	return strings.Join(runs, " ")
}
