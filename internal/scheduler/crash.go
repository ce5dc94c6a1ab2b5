package scheduler

import (
	"fmt"
	"strings"
	"time"

	"k8s.io/klog/v2"

	"masticcart.example/masticcart/internal/batch"
)

// startupTime is how long after its start a run counts as starting. A worker that crashes within it may have crashed
// because of the run.
const startupTime = time.Second

// endedIncarnation is an incarnation of a worker after which another one was announced.
type endedIncarnation struct {
	incarnation batch.Incarnation
	// downSince is when the worker stopped answering its agent, or never if this leader has not observed it.
	downSince time.Duration
	announced bool // the worker had announced that it leaves
}

// crash is the unannounced end of an incarnation of a worker.
type crash struct {
	endedIncarnation
	node     string
	victims  []*task // tasks with a run on the incarnation, by id
	starting []*task // victims whose run had been started within startupTime
}

// newCrash returns the crash of an incarnation with the tasks of its lost runs that may have started.
func newCrash(node string, ended endedIncarnation, lost []*task) *crash {
	cr := &crash{endedIncarnation: ended, node: node}
	for _, t := range lost {
		if t.incarnation != ended.incarnation || !t.mayHaveRun() {
			continue
		}
		cr.victims = append(cr.victims, t)
		if cr.downSince != never && t.confirmed && t.startSent && cr.downSince-t.startedAt <= startupTime {
			cr.starting = append(cr.starting, t)
		}
	}
	return cr
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
	newCrash(w.node, *ended, lost).log(now)
}

// mayHaveRun reports whether the present run of an active task may have started on its worker.
func (t *task) mayHaveRun() bool { return t.confirmed || t.startUncertain || t.inherited }

// log writes the facts by which a crash is attributed.
func (cr *crash) log(now time.Duration) {
	downMS := never.Milliseconds()
	if cr.downSince != never {
		downMS = (now - cr.downSince).Milliseconds()
	}
	klog.InfoS("Worker crashed", "node", cr.node, "worker", cr.incarnation, "downMs", downMS,
		"runs", cr.describe(cr.victims, now), "starting", cr.describe(cr.starting, now))
}

// describe lists runs with the time in milliseconds that each had run before the worker went down.
func (cr *crash) describe(tasks []*task, now time.Duration) string {
	end := now
	if cr.downSince != never {
		end = cr.downSince
	}
	runs := make([]string, len(tasks))
	for i, t := range tasks {
		runs[i] = fmt.Sprintf("%v:%d/%dms", t.id, t.run, (end - t.startedAt).Milliseconds())
	}
	return strings.Join(runs, " ")
}
