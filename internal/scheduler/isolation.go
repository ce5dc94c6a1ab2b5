package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"masticcart.example/masticcart/internal/batch"
)

// Suspects are tasks that were starting when a worker crashed. They start apart from other runs, one at a time on a
// worker, so that another crash tells which task causes it. After isolateAfterCrashes crashes of whatever cause, a task
// has its worker for itself, and a gang its workers.

// maxSeparationWait is how long a suspect waits for a worker on which no other run is starting. It is shorter than the
// time after which the platform's rules count a job as stuck.
const maxSeparationWait = 2 * time.Second

// suspect reports whether a task was starting when a worker crashed, and has not outlived its start since.
func (t *task) suspect() bool { return t.crash.Suspected || len(t.crash.SuspectedCrashes) > 0 }

// isolated reports whether a task does not share its worker.
func (t *task) isolated() bool { return t.crashes() >= isolateAfterCrashes }

// starting reports whether the present run of a task has not lasted for startupTime yet.
func (t *task) starting(now time.Duration) bool {
	return t.phase == assigned && (!t.confirmed || now-t.startedAt <= startupTime)
}

// noteStarts records whether runs are starting on a worker, or isolated tasks in progress, and withholds the worker while
// a suspect is starting there, or while a worker that refuses starts has not answered one.
func (p *planner) noteStarts(w *worker) {
	for t := range w.tasks {
		if t.starting(p.now) {
			p.startingOn[w.node] = true
			if t.suspect() || !t.confirmed && w.refusals.Refusing(p.now) {
				p.withhold(w.node)
			}
		}
		p.isolatedOn[w.node] = p.isolatedOn[w.node] || t.isolated()
	}
}

// withhold keeps units from a worker that do not have to start now.
func (p *planner) withhold(node string) {
	if free, ok := p.free[node]; ok {
		p.withheld[node] = free
		delete(p.free, node)
	}
}

// allFree returns the free capacity of all usable workers, including those that are withheld.
func (p *planner) allFree() map[string]batch.Resources {
	if len(p.withheld) == 0 {
		return p.free
	}
	all := maps.Clone(p.free)
	maps.Copy(all, p.withheld)
	return all
}

// keepsApart reports whether a unit must not start on a worker for now: an isolated task is in progress there and the
// unit is not within a guarantee, the unit is suspect and other runs are starting there, or it is isolated and other runs
// are in progress.
func (p *planner) keepsApart(u unit, w *worker) bool {
	return !u.anywhere && !u.guaranteed && p.isolatedOn[w.node] ||
		u.suspect && p.now < u.apartUntil && p.startingOn[w.node] ||
		u.isolated && (len(w.tasks) > 0 || p.startingOn[w.node])
}

// relaxed returns the unit without the conditions on the other runs of its workers and on former failures there.
func (u unit) relaxed(now time.Duration) unit {
	u.anywhere, u.isolated, u.apartUntil, u.lastAttempt = true, false, now, false
	return u
}

// noteAssignment records that tasks of the unit were placed on workers in this plan.
func (p *planner) noteAssignment(u unit, nodes []string) {
	for _, node := range nodes {
		p.startingOn[node] = true
		if u.suspect || u.isolated || p.core.workers[node].refusals.Refusing(p.now) {
			p.withhold(node)
		}
	}
}

// workAtRisk returns the work in core-seconds that a crash of a worker would lose.
func (p *planner) workAtRisk(w *worker) float64 {
	sum := 0.0
	for _, t := range w.sortedTasks() {
		if t.phase == assigned {
			sum += p.loss(t)
		}
	}
	return sum
}

// emptyWorkersFor withholds the workers that are idle first and together hold n tasks of an isolated unit.
func (p *planner) emptyWorkersFor(u unit, n int) {
	need := u.step.spec.Reserved()
	u.suspect, u.isolated, u.anywhere = false, false, true
	cs := p.eligible(u, p.free, false, true)
	idleAfter := map[string]time.Duration{}
	for _, c := range cs {
		for t := range p.core.workers[c.node].tasks {
			idleAfter[c.node] = max(idleAfter[c.node], p.core.remainingTime(t, p.now))
		}
	}
	slices.SortStableFunc(cs, func(a, b candidate) int { return cmp.Compare(idleAfter[a.node], idleAfter[b.node]) })
	for _, c := range cs {
		if n <= 0 {
			return
		}
		n -= need.FitCount(p.core.workers[c.node].info.Capacity)
		p.withhold(c.node)
	}
}
