package scheduler

import (
	"cmp"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"masticcart.example/masticcart/internal/batch"
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

// expireClaims removes claims that have timed out and those of finished jobs.
func (c *Core) expireClaims(now time.Duration) {
	for s, cl := range c.claims {
		if now > cl.expires || s.job().state.Final() {
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
// It chooses the workers with the least loss of work, among those on which the unit makes its aim if possible. It returns nil if it stops nothing.
func (p *planner) preempt(u unit, n int) *claim {
	s := u.step
	need := s.spec.Reserved()
	groups := p.workerGroups(u, n)
	var best *eviction
	if faster, differ := fastEnough(groups); differ {
		best = p.bestEviction(u, faster, need, n)
	}
	if best == nil || len(best.nodes) < n || best.cost > p.maxLoss(u, n) {
		best = p.bestEviction(u, groups, need, n)
	}
	if best == nil || best.cost > p.maxLoss(u, len(best.nodes)) && !u.guaranteed {
		return nil
	}
	cl := &claim{expires: p.now + claimTimeout, nodes: best.nodes, need: need}
	klog.InfoS("Preempting", "job", s.job().ID, "step", s.index, "tasks", n, "nodes", best.nodes,
		"victims", len(best.victims), "cost", best.cost)
	p.stopVictims(best.victims, s.job().ID)
	return cl
}

// stopVictims stops tasks, and their gangs, in favor of a job.
func (p *planner) stopVictims(victims []*task, job string) {
	for _, v := range victims {
		if v.phase == assigned {
			p.core.stats.Preempted++
			v.preemptions++
			p.core.stopRun(v, LossPreempted, "preempted by "+job, p.now)
			p.core.stopGang(v, LossMemberPreempted, "member preempted", p.now)
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

// maxLoss returns the loss of work, in core-seconds, that is acceptable to start n tasks of the unit.
func (p *planner) maxLoss(u unit, n int) float64 {
	// Estimates may be far too low.
	runTime := max(p.core.expectedDuration(u.step), p.core.durationStats(u.queue.Name).mean)
	return maxLossRatio * float64(n) * u.step.spec.Need.CoreEquivalents() * runTime.Seconds()
}

// maxLossRatio is the acceptable loss of work by preemption as a multiple of the preempting unit's work. An urgent job
// that is late loses most of its value.
const maxLossRatio = 2.0

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

// workerGroups returns alternative sets of workers. The unit has to run within one of them.
func (p *planner) workerGroups(u unit, n int) [][]candidate {
	s := u.step.spec
	all := map[string]batch.Resources{}
	for node := range p.free {
		all[node] = p.core.workers[node].info.Capacity
	}
	cs := p.candidates(u, all, false)
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
// or nil.
func (p *planner) cheapestEviction(u unit, group []candidate, need batch.Resources, n int) *eviction {
	var slots []slot
	for _, c := range group {
		slots = append(slots, p.slots(u, c, need, n)...)
	}
	if u.step.spec.Gang && len(slots) < n || len(slots) == 0 {
		return nil
	}
	slices.SortStableFunc(slots, func(a, b slot) int { return cmp.Compare(a.cost, b.cost) })
	e := &eviction{}
	for _, sl := range slots[:min(n, len(slots))] {
		e.nodes = append(e.nodes, sl.node)
		e.victims = append(e.victims, sl.victims...)
		e.cost += sl.cost
	}
	return e
}

// slot is capacity for one task on a worker, and the victims to stop for it in addition to those of the slots before.
type slot struct {
	node    string
	victims []*task
	cost    float64
}

// slots returns up to n slots of a worker, the cheapest first. Costs do not decrease within a worker, so that choosing
// the cheapest slots of all workers never skips a slot that a later one depends on.
func (p *planner) slots(u unit, c candidate, need batch.Resources, n int) []slot {
	w := p.core.workers[c.node]
	free := p.free[c.node]
	var victims []*task
	for _, t := range w.sortedTasks() {
		if p.core.queue(t.step.job()).Priority <= u.queue.Priority {
			continue
		}
		if t.phase == stopping {
			free = free.Plus(t.step.spec.Reserved()) // already being freed
			continue
		}
		victims = append(victims, t)
	}
	cost := func(t *task) float64 { return p.loss(t) / max(t.step.spec.Reserved().CoreEquivalents(), 1) }
	slices.SortFunc(victims, func(a, b *task) int {
		return cmp.Or(cmp.Compare(cost(a), cost(b)), a.id.Compare(b.id))
	})
	var slots []slot
	limit := n
	if s := u.step.spec; s.MaxPerWorker > 0 {
		limit = min(limit, s.MaxPerWorker)
	}
	if p.coldLimits != nil && w.cold(p.now) {
		limit = min(limit, p.maxAdded(u, w))
	}
	floor := 0.0
	for len(slots) < limit {
		sl := slot{node: c.node}
		for !need.FitsIn(free) && len(victims) > 0 {
			v := victims[0]
			victims = victims[1:]
			free = free.Plus(v.step.spec.Reserved())
			sl.victims = append(sl.victims, v)
		}
		if !need.FitsIn(free) {
			break
		}
		sl.victims, victims, free = trimVictims(sl.victims, victims, free, need)
		sl.cost = 0
		for _, v := range sl.victims {
			sl.cost += p.loss(v)
		}
		free = free.Minus(need)
		sl.cost = max(sl.cost, floor)
		floor = sl.cost
		slots = append(slots, sl)
	}
	return slots
}

// trimVictims returns the victims without those whose capacity is not needed, starting with the most expensive. It puts
// the removed ones back in front of the rest.
func trimVictims(
	chosen, rest []*task, free, need batch.Resources,
) (victims, others []*task, remaining batch.Resources) {
	for i := len(chosen) - 1; i >= 0; i-- {
		if without := free.Minus(chosen[i].step.spec.Reserved()); need.FitsIn(without) {
			rest = append([]*task{chosen[i]}, rest...)
			chosen = slices.Delete(slices.Clone(chosen), i, i+1)
			free = without
		}
	}
	return chosen, rest, free
}

// loss returns the work in core-seconds that is lost when a task and its gang are stopped.
func (p *planner) loss(t *task) float64 {
	members := []*task{t}
	if t.step.spec.Gang {
		members = t.step.tasks
	}
	sum := 0.0
	for _, m := range members {
		if m.phase != assigned {
			continue
		}
		ran := p.now - m.startedAt
		if m.step.spec.Checkpoints { // a stop saves the progress; resuming costs RestoreTime
			ran = min(ran, p.core.config.RestoreTime)
		}
		sum += (ran.Seconds()*m.step.spec.Need.CoreEquivalents() + restartLossCoreSeconds) *
			(1 + repeatLossFactor*float64(m.preemptions))
		if m.isolated() {
			sum += isolatedLossCoreSeconds
		}
	}
	return sum
}

// isolatedLossCoreSeconds is the cost of a stop of an isolated task, which has few runs left. It is above what any unit
// may cost that is not within a guarantee.
const isolatedLossCoreSeconds = 1e6

// restartLossCoreSeconds is the fixed cost of a restart.
const restartLossCoreSeconds = 1

// repeatLossFactor increases the loss by this share for each earlier preemption of the task. It spreads preemption over
// tasks, so that each of them completes.
const repeatLossFactor = 0.5
