package scheduler

import (
	"cmp"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"masticcart.example/masticcart/internal/batch"
	"masticcart.example/masticcart/internal/scheduler/policy"
)

// claim is capacity that is being freed for a step by preemption.
type claim struct {
	expires time.Duration
	nodes   []string // one element per task
	need    batch.Resources
	exact   bool // the tasks are placed on these very workers if they fit
}

// claimTimeout limits the life of a claim. Stopping takes less time, and after the timeout the unit may claim again.
const claimTimeout = 1500 * time.Millisecond

// expireClaims removes claims that have timed out and those of finished jobs. Capacity on workers that take no new
// tasks any more is removed from the others, so that their units claim elsewhere at once.
func (c *Core) expireClaims(now time.Duration) {
	for s, cl := range c.claims {
		cl.nodes = slices.DeleteFunc(cl.nodes, func(node string) bool {
			return !c.workers[node].usable(now) || c.evacuated(c.workers[node])
		})
		if now > cl.expires || s.job().state.Final() || len(cl.nodes) == 0 {
			delete(c.claims, s)
		}
	}
}

// addClaim adds to the capacity that is claimed for a step.
func (c *Core) addClaim(s *stepInstance, more *claim) {
	if cl := c.claims[s]; cl != nil {
		cl.nodes = append(cl.nodes, more.nodes...)
		cl.expires = more.expires
		return
	}
	c.claims[s] = more
}

// consumeClaim removes assigned tasks from the claim of their step.
func (c *Core) consumeClaim(s *stepInstance, nodes []string) {
	cl := c.claims[s]
	if cl == nil {
		return
	}
	for _, node := range nodes {
		if i := slices.Index(cl.nodes, node); i >= 0 {
			cl.nodes = slices.Delete(cl.nodes, i, i+1)
		} else if len(cl.nodes) > 0 {
			cl.nodes = cl.nodes[:len(cl.nodes)-1]
		}
	}
	if len(cl.nodes) == 0 {
		delete(c.claims, s)
	}
}

// withholdClaim removes the capacity of a claim from what other units may use.
func (p *planner) withholdClaim(cl *claim) {
	for _, node := range cl.nodes {
		p.consume(node, cl.need, 1)
	}
}

// returnClaim makes the capacity of a claim available to its owner.
func (p *planner) returnClaim(cl *claim) {
	for _, node := range cl.nodes {
		p.consume(node, cl.need, -1)
	}
}

// preempt stops less urgent tasks so that n tasks of the unit fit, or as many as possible if they start independently.
// It chooses the workers with the least loss of work, among those on which the unit makes its aim if possible. It
// returns nil if it stops nothing.
func (p *planner) preempt(u unit, n int) *claim {
	s := u.step
	need := s.spec.Reserved()
	freeAt := p.now + p.core.config.StopTimeout + stopOverhead
	u.demand.Work = p.core.unitWork(&u, n)
	if !p.core.rules.mayPreempt(&u.demand, 0, freeAt, p.now) {
		return nil
	}
	groups := p.workerGroups(u, n)
	var best *eviction
	if faster, differ := fastEnough(groups); differ {
		best = p.bestEviction(u, faster, need, n)
	}
	if best == nil || len(best.nodes) < n || !p.mayEvict(&u, best, freeAt) {
		best = p.bestEviction(u, groups, need, n)
	}
	if best == nil || !p.mayEvict(&u, best, freeAt) {
		return nil
	}
	cl := &claim{expires: p.now + claimTimeout, nodes: best.nodes, need: need}
	klog.InfoS("Preempting", "job", s.job().ID, "step", s.index, "tasks", n, "nodes", best.nodes,
		"victims", len(best.victims), "cost", best.cost, "limit", policy.AcceptableLoss(&u.demand, freeAt, p.now),
		"work", u.demand.Work, "class", policy.ClassOf(&u.demand, p.now), "aimInMs", (u.demand.Aim - p.now).Milliseconds(),
		"remainingMs", u.demand.Remaining.Milliseconds(), "releaseInMs", max(0, u.demand.ReleaseAt-p.now).Milliseconds())
	p.stopVictims(best.victims, s.job())
	return cl
}

// mayEvict reports whether the loss of an eviction is acceptable for the work that fits into it.
func (p *planner) mayEvict(u *unit, e *eviction, freeAt time.Duration) bool {
	u.demand.Work = p.core.unitWork(u, len(e.nodes))
	return p.core.rules.mayPreempt(&u.demand, e.cost, freeAt, p.now)
}

// stopVictims stops tasks, and their gangs, in favor of a job.
func (p *planner) stopVictims(victims []*task, by *job) {
	for _, v := range victims {
		if v.phase == assigned {
			p.core.stopPreempted(v, by, p.now)
		}
	}
}

// bestEviction returns the eviction with the least loss in one of the groups, or nil.
func (p *planner) bestEviction(u unit, groups [][]candidate, need batch.Resources, n int) *eviction {
	var best *eviction
	for _, group := range groups {
		if e := p.cheapestEviction(u, group, need, n); e != nil && (best == nil || e.cost < best.cost) {
			best = e
		}
	}
	return best
}

// maxLoss returns the loss of work, in core-seconds, that is acceptable to start n tasks of the unit on faster workers.
func (p *planner) maxLoss(u unit, n int) float64 { return maxLossRatio * p.core.unitWork(&u, n) }

// maxLossRatio is the acceptable loss of work by preemption on faster workers as a multiple of the preempting unit's
// work. An urgent job that is late loses most of its value.
const maxLossRatio = 2.0

// stopOverhead is the time that messages and records take in addition to a stop before the capacity is used again.
const stopOverhead = 100 * time.Millisecond

// stopPreempted stops a task and its gang in favour of a job. All members of the gang count as preempted, so that the
// gang is spared whichever member the next choice would begin with.
func (c *Core) stopPreempted(v *task, by *job, now time.Duration) {
	of := v.step.job()
	if of.Team != by.Team {
		klog.InfoS("Team yields accelerators", "team", of.Team, "to", by.Team, "job", of.ID, "for", by.ID,
			"accelerators", v.step.spec.Need.Accelerators*len(v.stoppedTogether()), "priority", c.queue(of).Priority,
			"forPriority", c.queue(by).Priority)
	}
	c.stats.Preempted++
	for _, m := range v.stoppedTogether() {
		m.preemptions++
		m.preemptedFor = by.Team
	}
	c.stopRun(v, LossPreempted, "preempted by "+by.ID, now)
	c.stopGang(v, LossMemberPreempted, "member preempted", now)
}

// stoppedTogether returns the running tasks that stop if the task is stopped: itself, or the members of its gang.
func (t *task) stoppedTogether() []*task {
	if !t.step.spec.Gang {
		return []*task{t}
	}
	var members []*task
	for _, m := range t.step.tasks {
		if m.phase == assigned {
			members = append(members, m)
		}
	}
	return members
}

// withinGuarantee reports whether the accelerators of all open urgent jobs of the job's team are within the team's
// guarantee. Such a job has to start whatever the loss of work.
func (c *Core) withinGuarantee(of *job) bool {
	team := c.catalog.Team(of.Team)
	if team == nil {
		return false
	}
	accelerators := 0
	for _, j := range c.openJobs {
		if j.Team != team.Name || c.queue(j).Priority != 0 {
			continue
		}
		for i := range j.Steps {
			accelerators += j.Steps[i].Count * j.Steps[i].Need.Accelerators
		}
	}
	return accelerators <= team.GuaranteedAccelerators
}

// workerGroups returns alternative sets of workers on which runs may be stopped for a unit. The unit has to run within one of
// them. Workers that refuse starts are left out.
func (p *planner) workerGroups(u unit, n int) [][]candidate {
	s := u.step.spec
	all := map[string]batch.Resources{}
	for node := range p.free {
		all[node] = p.core.workers[node].info.Capacity
	}
	cs := slices.DeleteFunc(p.candidates(u, all, false), func(c candidate) bool { return c.refusing })
	remote := p.mayRunRemote(u, n)
	if s.DataRack != "" && !remote {
		cs = slices.DeleteFunc(cs, func(c candidate) bool { return c.rack != s.DataRack })
	}
	if s.Gang && s.OneRack && !remote {
		return groupByRack(cs)
	}
	return [][]candidate{cs}
}

// eviction is a choice of workers and of the tasks to stop there.
type eviction struct {
	nodes   []string
	victims []*task
	cost    float64
}

// cheapestEviction returns the eviction on the workers of a group that frees capacity for n tasks with the least loss,
// or nil. It chooses one slot after the other: the members of a gang that is stopped for one slot are free for the
// next.
func (p *planner) cheapestEviction(u unit, group []candidate, need batch.Resources, n int) *eviction {
	e := &eviction{}
	stopped := map[*task]bool{}
	taken := map[string]int{} // slots chosen on each worker
	slots := make([]*slot, len(group))
	for i, c := range group {
		slots[i] = p.nextSlot(u, c.node, need, stopped, 0)
	}
	for len(e.nodes) < n {
		best := -1
		for i, sl := range slots {
			if sl != nil && (best < 0 || sl.cost < slots[best].cost) {
				best = i
			}
		}
		if best < 0 {
			break
		}
		node := group[best].node
		changed := map[string]bool{node: true}
		for _, v := range slots[best].victims {
			for _, m := range v.stoppedTogether() {
				stopped[m] = true
				changed[m.node] = true
			}
		}
		e.nodes = append(e.nodes, node)
		e.victims = append(e.victims, slots[best].victims...)
		e.cost += slots[best].cost
		taken[node]++
		for i, c := range group {
			if changed[c.node] {
				slots[i] = p.nextSlot(u, c.node, need, stopped, taken[c.node])
			}
		}
	}
	if u.step.spec.Gang && len(e.nodes) < n || len(e.nodes) == 0 {
		return nil
	}
	return e
}

// slot is capacity for one task on a worker, and the victims to stop for it in addition to those of the slots before.
type slot struct {
	victims []*task
	cost    float64
}

// victim is a running task that may be stopped, with the loss of its gang in total and per core of the task.
type victim struct {
	*task
	loss, perCore float64
}

// nextSlot returns the cheapest slot of a worker beside the number of slots that are taken already, or nil if there is
// none. stopped holds the tasks that are stopped for other slots.
func (p *planner) nextSlot(u unit, node string, need batch.Resources, stopped map[*task]bool, taken int) *slot {
	if s := u.step.spec; s.MaxPerWorker > 0 && taken >= s.MaxPerWorker {
		return nil
	}
	if w := p.core.workers[node]; p.coldLimits != nil && w.cold(p.now) && taken >= p.maxAdded(u, w) {
		return nil
	}
	free := p.free[node].Minus(need.Times(taken))
	var victims []victim
	for t := range p.core.workers[node].tasks {
		if t.phase == stopping || stopped[t] {
			free = free.Plus(t.step.spec.Reserved()) // already being freed
			continue
		}
		if p.mayStop(u, t) {
			loss := p.loss(t)
			victims = append(victims, victim{t, loss, loss / max(t.step.spec.Reserved().CoreEquivalents(), 1)})
		}
	}
	if need.FitsIn(free) {
		return &slot{}
	}
	slices.SortFunc(victims, func(a, b victim) int {
		return cmp.Or(cmp.Compare(a.perCore, b.perCore), a.id.Compare(b.id))
	})
	chosen := 0
	for ; chosen < len(victims) && !need.FitsIn(free); chosen++ {
		free = free.Plus(victims[chosen].step.spec.Reserved())
	}
	if !need.FitsIn(free) {
		return nil
	}
	sl := &slot{}
	counted := map[*stepInstance]bool{}
	for _, v := range trimVictims(victims[:chosen], free, need) {
		sl.victims = append(sl.victims, v.task)
		if !v.step.spec.Gang || !counted[v.step] {
			sl.cost += v.loss
		}
		counted[v.step] = true
	}
	return sl
}

// mayStop reports whether a running task may be stopped for the unit. Units that are not of priority 0 stop only work
// that has checkpoints and was not stopped before, so that nothing but the time to restore it is lost.
func (p *planner) mayStop(u unit, t *task) bool {
	if p.core.queue(t.step.job()).Priority <= u.queue.Priority {
		return false
	}
	return u.queue.Priority == 0 || t.step.spec.Checkpoints && t.preemptions == 0 && !t.isolated()
}

// trimVictims returns the victims without those whose capacity is not needed, starting with the most expensive.
func trimVictims(chosen []victim, free, need batch.Resources) []victim {
	for i := len(chosen) - 1; i >= 0; i-- {
		if without := free.Minus(chosen[i].step.spec.Reserved()); need.FitsIn(without) {
			chosen = slices.Delete(chosen, i, i+1)
			free = without
		}
	}
	return chosen
}

// loss returns the work in core-seconds at which a stop of a task and its gang is valued.
func (p *planner) loss(t *task) float64 {
	v := policy.Victim{Gang: t.step.spec.Gang, TeamShare: p.shares[t.step.job().Team]}
	isolated := 0.0
	for _, m := range t.stoppedTogether() {
		ran := p.now - m.startedAt
		if m.step.spec.Checkpoints { // a stop saves the progress; resuming costs RestoreTime
			ran = min(ran, p.core.config.RestoreTime)
		}
		v.Lost += ran.Seconds()*m.step.spec.Need.CoreEquivalents() + restartLossCoreSeconds
		v.Remaining = max(v.Remaining, p.core.remainingTime(m, p.now))
		v.Preemptions = max(v.Preemptions, m.preemptions)
		if m.isolated() {
			isolated += isolatedLossCoreSeconds
		}
	}
	return policy.Loss(&v) + isolated
}

// isolatedLossCoreSeconds is the cost of a stop of an isolated task, which has few runs left. It is above what any unit
// may cost that is not within a guarantee.
const isolatedLossCoreSeconds = 1e6

// restartLossCoreSeconds is the fixed cost of a restart.
const restartLossCoreSeconds = 1
