package scheduler

import (
	"slices"
	"time"

	"k8s.io/klog/v2"

	"masticcart.example/masticcart/internal/scheduler/speed"
)

// Restart of late runs. It addresses urgent work that was placed on slow workers because no others were free, or before
// they were known to be slow.

const (
	// minJudgedPercent is the progress of all members from which on the end of a run is projected. Percentages are
	// whole numbers, so the error is then at most an eighth.
	minJudgedPercent = 8
	// lateMargin is by how much a run has to miss its aim, and a restarted one to meet it.
	lateMargin = 100 * time.Millisecond
	// restartOverhead is the time from the end of the stopped run to the start of the next one: a write and an order.
	restartOverhead = 150 * time.Millisecond
	// maxRestartsPerPlan limits the restarts in one plan, since each uses up capacity that the next counts on.
	maxRestartsPerPlan = 2
)

// lateRun holds the times by which it is decided whether a run is restarted on faster workers.
type lateRun struct {
	aim          time.Duration // when the run has to end so that its job meets the objective
	projectedEnd time.Duration
	typical      time.Duration // expected duration of a run from now on on typical workers, without overhead
	lost         time.Duration // time of the run that a restart throws away
}

// isLate reports whether the run is projected to miss its aim.
func (r lateRun) isLate() bool { return r.projectedEnd > r.aim+lateMargin }

// restartEnd returns when the run would end if it was stopped now and started again on workers with a relative
// duration.
func (r lateRun) restartEnd(factor float64, stopTimeout, now time.Duration) time.Duration {
	return now + stopTimeout + restartOverhead + time.Duration(float64(r.typical)*factor*durationMargin)
}

// worthRestart reports whether a restart that ends at a time meets the aim and gains more time than it throws away.
func (r lateRun) worthRestart(end time.Duration) bool {
	return r.isLate() && end+lateMargin <= r.aim && r.projectedEnd-end > r.lost
}

// restartLateRuns stops runs that are projected to miss their aim because their workers are slow, and claims capacity
// for them on faster workers.
func (p *planner) restartLateRuns() {
	restarts := 0
	for _, j := range p.core.openJobs {
		if !p.core.speeds(p.core.queue(j).Service).HasSlow() {
			continue
		}
		for n := range j.nextOccurrence {
			o := j.occurrences[n]
			if o == nil {
				continue
			}
			for _, s := range o.steps {
				for _, members := range s.runs() {
					if restarts == maxRestartsPerPlan {
						return
					}
					if p.restartIfLate(s, members) {
						restarts++
					}
				}
			}
		}
	}
}

// runs returns the tasks of the step that run together: all that are not done of a gang, otherwise each alone.
func (s *stepInstance) runs() [][]*task {
	if s.openTasks == 0 || s.spec.LongRunning {
		return nil
	}
	var runs [][]*task
	var members []*task
	for _, t := range s.tasks {
		switch {
		case t.phase == done:
		case s.spec.Gang:
			members = append(members, t)
		case t.phase == assigned:
			runs = append(runs, []*task{t})
		}
	}
	if members != nil {
		runs = append(runs, members)
	}
	return runs
}

// restartIfLate restarts a run if that is worthwhile, and reports whether it did.
func (p *planner) restartIfLate(s *stepInstance, members []*task) bool {
	c := p.core
	onSlow := slices.ContainsFunc(members, func(t *task) bool { return c.speedClass(c.workers[t.node]) == speed.Slow })
	if !onSlow || c.claims[s] != nil ||
		slices.ContainsFunc(members, func(t *task) bool { return !t.mayRestartLate(s) }) {
		return false
	}
	r := p.projectRun(s, members)
	fastest := c.speeds(c.queue(s.job()).Service).Fastest()
	if !r.worthRestart(r.restartEnd(fastest, c.config.StopTimeout, p.now)) {
		return false
	}
	u := unit{step: s, tasks: members, queue: c.queue(s.job()), latestStart: c.deadline(s, p.now) - c.longestChain(s)}
	nodes, victims := p.fasterCapacity(u)
	if nodes == nil {
		return false
	}
	end := r.restartEnd(c.slowestFactor(nodes), c.config.StopTimeout, p.now)
	if !r.worthRestart(end) {
		return false
	}
	klog.InfoS("Restarting late run", "job", s.job().ID, "step", s.index, "tasks", len(members),
		"first", members[0].id.Index, "nodes", nodes, "victims", len(victims), "aimInMs", (r.aim - p.now).Milliseconds(),
		"endInMs", (r.projectedEnd - p.now).Milliseconds(), "restartEndInMs", (end - p.now).Milliseconds(),
		"lostMs", r.lost.Milliseconds())
	c.stats.RestartedLate++
	for _, t := range members {
		if c.speedClass(c.workers[t.node]) == speed.Slow {
			t.avoid(t.node) // recorded, so that the next leader does not restart the task again
		}
		t.moves++
		c.stopRun(t, LossLate, "late on slow workers", p.now)
	}
	s.job().dirty = true
	p.stopVictims(victims, s.job())
	cl := &claim{expires: p.now + claimTimeout, nodes: nodes, need: s.spec.Reserved()}
	p.withholdClaim(cl)
	c.addClaim(s, cl)
	return true
}

// mayRestartLate reports whether the present run of a task may be stopped because it is late.
func (t *task) mayRestartLate(s *stepInstance) bool {
	return t.phase == assigned && t.confirmed && t.basePercent >= 0 && t.percent < completePercent &&
		t.percent-t.basePercent >= minJudgedPercent && t.moves < maxMoves && len(t.failedOn) == 0 &&
		!t.suspect() && !t.isolated() && !s.spec.LongRunning
}

// projectRun projects the end of a run from the progress of its members.
func (p *planner) projectRun(s *stepInstance, members []*task) lateRun {
	c := p.core
	r := lateRun{aim: c.deadline(s, p.now) - c.longestChain(s) + c.likelyDuration(s.job(), s.spec)}
	for _, t := range members {
		total := float64(t.progressAt-t.paceSince) * 100 / float64(t.percent-t.basePercent)
		rest := total * float64(100-t.percent) / 100
		r.projectedEnd = max(r.projectedEnd, t.progressAt+time.Duration(rest))
		typical, lost := total/c.workerFactor(t.node), p.now-t.startedAt
		if s.spec.Checkpoints { // a stop saves the progress
			lost = c.config.RestoreTime
			typical = typical*float64(100-t.percent)/100 + float64(c.config.RestoreTime)
		}
		r.typical, r.lost = max(r.typical, time.Duration(typical)), max(r.lost, lost)
	}
	return r
}

// fasterCapacity returns workers for all tasks of a unit that are known not to be slow, and the tasks to stop for that.
// It returns nil if there are none. Only urgent units stop others.
func (p *planner) fasterCapacity(u unit) ([]string, []*task) {
	n, need := len(u.tasks), u.step.spec.Reserved()
	if p.mustKeepHeadroom(u, n) {
		return nil, nil
	}
	unsuitable := func(cand candidate) bool {
		class := p.core.speedClass(p.core.workers[cand.node])
		return cand.refusing || class != speed.Fast && class != speed.Typical
	}
	nodes := p.chooseFrom(u, n, slices.DeleteFunc(p.candidates(u, p.free, true), unsuitable))
	if nodes != nil && !p.core.isRemote(u.step, nodes) {
		return nodes, nil
	}
	if u.queue.Priority != 0 {
		return nil, nil
	}
	var groups [][]candidate
	for _, g := range p.workerGroups(u, n) {
		groups = append(groups, slices.DeleteFunc(g, unsuitable))
	}
	e := p.bestEviction(u, groups, need, n)
	if e == nil || len(e.nodes) < n || e.cost > p.maxLoss(u, n) || p.core.isRemote(u.step, e.nodes) {
		return nil, nil
	}
	return e.nodes, e.victims
}
