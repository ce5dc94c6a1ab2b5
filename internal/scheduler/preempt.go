package scheduler

import (
	"cmp"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"masticcart.example/masticcart/internal/batch"
)

// claim is room that is being freed for a step by preemption.
type claim struct {
	expires time.Duration
	nodes   []string // one entry a task
	need    batch.Resources
}

// claimTimeout bounds a claim: stopping takes less, and a claim that did not succeed is tried anew.
const claimTimeout = 1500 * time.Millisecond

func (c *Core) expireClaims(now time.Duration) {
	for s, cl := range c.claims {
		if now > cl.expires || s.job().state.Final() {
			delete(c.claims, s)
		}
	}
}

// addClaim adds to the room that is being freed for a step.
func (c *Core) addClaim(s *stepInstance, more *claim) {
	if cl := c.claims[s]; cl != nil {
		cl.nodes = append(cl.nodes, more.nodes...)
		cl.expires = more.expires
		return
	}
	c.claims[s] = more
}

// consumeClaim takes tasks that were assigned from the claim of their step.
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

// withholdClaim takes the room of a claim from what others may use.
func (p *planner) withholdClaim(cl *claim) {
	for _, node := range cl.nodes {
		p.consume(node, cl.need, 1)
	}
}

// returnClaim lets the owner of a claim use its room.
func (p *planner) returnClaim(cl *claim) {
	for _, node := range cl.nodes {
		p.consume(node, cl.need, -1)
	}
}

// preempt stops less important tasks so that n tasks of the unit fit, or as many as possible if they start
// independently. It chooses the workers on which the least work is lost.
func (p *planner) preempt(u unit, n int) *claim {
	s := u.step
	need := s.spec.Reserved()
	var best *eviction
	for _, group := range p.workerGroups(u, n) {
		if e := p.cheapestEviction(u, group, need, n); e != nil && (best == nil || e.cost < best.cost) {
			best = e
		}
	}
	if best == nil || best.cost > p.maxLoss(u, len(best.nodes)) && !u.guaranteed {
		return nil
	}
	cl := &claim{expires: p.now + claimTimeout, nodes: best.nodes, need: need}
	klog.InfoS("Preempting", "job", s.job().ID, "step", s.index, "tasks", n, "nodes", best.nodes,
		"victims", len(best.victims), "cost", best.cost)
	for _, v := range best.victims {
		if v.phase == assigned {
			p.core.stats.Preempted++
			v.preemptions++
			p.core.stopRun(v, "preempted by "+s.job().ID, p.now)
			p.core.stopGang(v, "member preempted", p.now)
		}
	}
	return cl
}

// maxLoss returns the loss, in core-seconds, up to which stopping other work for n tasks of the unit pays.
func (p *planner) maxLoss(u unit, n int) float64 {
	takes := max(p.core.expectedDuration(u.step), p.core.durationStats(u.queue.Name).mean) // estimates may be far too low
	return maxLossRatio * float64(n) * u.step.spec.Need.CoreEquivalents() * takes.Seconds()
}

// maxLossRatio is the loss that preemption may cause, as a multiple of the work that it serves in time. A late urgent
// job loses most of its worth.
const maxLossRatio = 2.0

// withinGuarantee reports whether the accelerators of all open urgent jobs of the job's team are within its guarantee, so that
// the job has to start whatever it costs.
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

// workerGroups returns the sets of workers of which one has to hold the unit.
func (p *planner) workerGroups(u unit, n int) [][]candidate {
	s := u.step.spec
	all := map[string]batch.Resources{}
	for node := range p.free {
		all[node] = p.core.workers[node].info.Capacity
	}
	cs := p.candidates(u, all, false)
	far := p.mayRunRemote(u, n)
	if s.DataRack != "" && !far {
		cs = slices.DeleteFunc(cs, func(c candidate) bool { return c.rack != s.DataRack })
	}
	if s.Gang && s.OneRack && !far {
		return groupByRack(cs)
	}
	return [][]candidate{cs}
}

// eviction is a way to make room.
type eviction struct {
	nodes   []string
	victims []*task
	cost    float64
}

// cheapestEviction finds the cheapest victims on the workers of a group so that n tasks fit.
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

// slot is room for one task on a worker, and what has to be stopped for it beyond the slots before.
type slot struct {
	node    string
	victims []*task
	cost    float64
}

// slots returns the slots that a worker can give, the cheapest first. Costs rise within a worker, so that taking the
// cheapest slots of all workers never skips one of them.
func (p *planner) slots(u unit, c candidate, need batch.Resources, n int) []slot {
	w := p.core.workers[c.node]
	free := p.free[c.node]
	var victims []*task
	for _, t := range w.sortedTasks() {
		if p.core.queue(t.step.job()).Priority <= u.queue.Priority {
			continue
		}
		if t.phase == stopping {
			free = free.Plus(t.step.spec.Reserved()) // is being freed already
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

// trimVictims returns the victims without those whose room is not needed after all, the dearest first, and puts these back
// before the rest.
func trimVictims(chosen, rest []*task, free, need batch.Resources) (victims, others []*task, remaining batch.Resources) {
	for i := len(chosen) - 1; i >= 0; i-- {
		if without := free.Minus(chosen[i].step.spec.Reserved()); need.FitsIn(without) {
			rest = append([]*task{chosen[i]}, rest...)
			chosen = slices.Delete(slices.Clone(chosen), i, i+1)
			free = without
		}
	}
	return chosen, rest, free
}

// loss returns the work in core-seconds that is thrown away when a task is stopped, its gang included.
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
		if m.step.spec.Checkpoints { // a stop saves the progress; resuming takes time
			ran = min(ran, p.core.config.RestoreTime)
		}
		sum += (ran.Seconds()*m.step.spec.Need.CoreEquivalents() + restartLossCoreSeconds) * (1 + repeatLossFactor*float64(m.preemptions))
	}
	return sum
}

// restartLossCoreSeconds is the price of a restart by itself, in core-seconds.
const restartLossCoreSeconds = 1

// repeatLossFactor is added to the loss for each time that the task was preempted before, as a share: it spreads preemption
// over tasks, so that each gets done.
const repeatLossFactor = 0.5
