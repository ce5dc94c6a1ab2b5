package scheduler

import (
	"slices"
	"time"

	"k8s.io/klog/v2"

	"masticcart.example/masticcart/internal/batch"
)

const (
	// planInterval is the longest time between two plans: estimates and claims change with time alone.
	planInterval = 250 * time.Millisecond
	// farPatience is how long a step waits for room near its data or within one rack, as a multiple of its expected
	// duration, before it goes elsewhere.
	farPatience = 1.0
	// reservations is the number of steps for which room that becomes free is kept.
	reservations = 3
)

// plan places waiting tasks: the most urgent first, others into the room that those cannot use.
func (c *Core) plan(now time.Duration) {
	p := c.newPlanner(now)
	p.spareRoom = c.urgent.headroom()
	c.dropClaims(now)
	for _, cl := range c.claims {
		p.keepClaim(cl) // others must not use what is being freed for a step
	}
	for _, u := range c.units(now) {
		p.place(u)
	}
}

// newPlanner returns a pass over the workers as they are.
func (c *Core) newPlanner(now time.Duration) *planner {
	p := &planner{core: c, now: now, free: map[string]batch.Resources{}, rooms: map[string]*room{},
		reserved: map[string]time.Duration{}, full: map[shape]time.Duration{}, near: map[shape]bool{}}
	for _, w := range c.fleet {
		if w.usable(now) {
			p.add(w)
		}
	}
	return p
}

// planner is one pass over the units.
type planner struct {
	core     *Core
	now      time.Duration
	free     map[string]batch.Resources
	rooms    map[string]*room         // by service
	reserved map[string]time.Duration // from when a worker's room is kept for a more urgent unit
	// full holds the shapes that do not fit any more, with the least duration for which that was found: room only shrinks
	// during a plan.
	full     map[shape]time.Duration
	near     map[shape]bool // whether a shape could be held near its data, or in one rack, by empty workers
	kept     int
	releases []release // nil until they are asked for
	// spareRoom is the number of accelerators that less urgent units leave free while they can wait.
	spareRoom float64
}

// place assigns a unit, claims room for it, or keeps room that becomes free for it.
func (p *planner) place(u unit) {
	cl := p.core.claims[u.step]
	if cl != nil {
		p.giveBack(cl)
	}
	if u.step.spec.Gang {
		if nodes := p.choose(u, len(u.tasks)); nodes != nil {
			p.assign(u, u.tasks, nodes)
			u.tasks = nil
		}
	} else {
		for len(u.tasks) > 0 {
			nodes := p.choose(u, 1)
			if nodes == nil {
				break // the tasks of a step are alike
			}
			p.assign(u, u.tasks[:1], nodes)
			u.tasks = u.tasks[1:]
		}
	}
	if cl := p.core.claims[u.step]; cl != nil {
		p.keepClaim(cl)
	}
	if len(u.tasks) > 0 {
		p.await(u, len(u.tasks))
	}
}

// candidates returns the workers that may run tasks of the step, with what is free on them.
func (p *planner) candidates(u unit, free map[string]batch.Resources, backfill bool) []candidate {
	return p.eligible(u, free, backfill, false)
}

// eligible is candidates; with all it includes workers on which nothing fits now.
func (p *planner) eligible(u unit, free map[string]batch.Resources, backfill, all bool) []candidate {
	s := u.step
	need := s.spec.Reserved()
	end := p.now + p.core.expected(s)
	elsewhere := u.last && p.otherWorkers(u)
	var cs []candidate
	for _, w := range p.core.fleet {
		room, ok := free[w.node]
		if elsewhere && u.avoid[w.node] {
			continue // the worker may be at fault, and the job would be lost
		}
		if !ok || w.info.Service != u.queue.Service || !w.info.HasLabel(s.spec.RequiredLabel) {
			continue
		}
		if from, ok := p.reserved[w.node]; ok && backfill && end > from {
			continue
		}
		cand := candidate{node: w.node, rack: w.info.Rack, free: room, copies: need.FitCount(room)}
		if s.spec.MaxPerWorker > 0 {
			cand.copies = min(cand.copies, s.spec.MaxPerWorker-s.on(w.node))
		}
		if cand.copies <= 0 && !all {
			continue
		}
		cand.avoided = u.avoid[w.node]
		cs = append(cs, cand)
	}
	return cs
}

// otherWorkers reports whether workers on which no task of the unit has failed could hold it if they were empty.
func (p *planner) otherWorkers(u unit) bool {
	s := u.step.spec
	need, n := s.Reserved(), 1
	if s.Gang {
		n = s.Count
	}
	var cs []candidate
	for _, w := range p.core.fleet {
		if w.info == nil || w.left || w.info.Leaving || u.avoid[w.node] || w.info.Service != u.queue.Service ||
			!w.info.HasLabel(s.RequiredLabel) {
			continue
		}
		copies := need.FitCount(w.info.Capacity)
		if s.MaxPerWorker > 0 {
			copies = min(copies, s.MaxPerWorker)
		}
		cs = append(cs, candidate{node: w.node, copies: copies})
	}
	return pack(cs, need, n) != nil
}

// on returns how many tasks of the step occupy a worker.
func (s *stepRun) on(node string) int {
	n := 0
	for _, t := range s.tasks {
		if t.active() && t.node == node {
			n++
		}
	}
	return n
}

// choose returns workers for n tasks of the unit with what is free now, or nil.
func (p *planner) choose(u unit, n int) []string {
	if p.mustStart(u, n) {
		u.last = false
		cs := p.candidates(u, p.free, false)
		if nodes := p.chooseFrom(u, n, cs); nodes != nil {
			return nodes
		}
		return pack(cs, u.step.spec.Reserved(), n)
	}
	if p.mustLeaveRoom(u, n) {
		return nil
	}
	sh, alike := shapeOf(u, n)
	sh.far = p.mayGoFar(u, n)
	took := p.core.expected(u.step)
	least, full := p.full[sh]
	if alike && full && took >= least && p.core.claims[u.step] == nil {
		return nil
	}
	nodes := p.chooseFrom(u, n, p.candidates(u, p.free, true))
	if nodes == nil && alike && (!full || took < least) {
		p.full[sh] = took
	}
	return nodes
}

func (p *planner) chooseFrom(u unit, n int, cs []candidate) []string {
	s := u.step.spec
	need := s.Reserved()
	near := cs
	if s.DataRack != "" {
		near = slices.DeleteFunc(slices.Clone(cs), func(c candidate) bool { return c.rack != s.DataRack })
	}
	var nodes []string
	if s.Gang && s.OneRack {
		nodes = packInRack(near, need, n)
	} else {
		nodes = pack(near, need, n)
	}
	if nodes != nil || !p.mayGoFar(u, n) {
		return nodes
	}
	if s.Gang && s.OneRack {
		if nodes = packInRack(cs, need, n); nodes != nil {
			return nodes
		}
	}
	return pack(cs, need, n)
}

// mayGoFar reports whether the unit has waited for long enough to run slower, or can never run near.
func (p *planner) mayGoFar(u unit, n int) bool {
	s := u.step.spec
	if s.DataRack == "" && (!s.Gang || !s.OneRack) {
		return false
	}
	if !p.holdable(u, n) {
		return true
	}
	return p.now-u.latest > time.Duration(float64(p.core.expected(u.step))*farPatience)
}

// holdable reports whether the workers near the data, or those of some rack, could hold the unit if they were empty.
func (p *planner) holdable(u unit, n int) bool {
	sh, alike := shapeOf(u, n)
	if holds, known := p.near[sh]; alike && known {
		return holds
	}
	s := u.step.spec
	empty := map[string]batch.Resources{}
	for _, w := range p.core.fleet {
		if w.info != nil && !w.left && (s.DataRack == "" || w.info.Rack == s.DataRack) && !w.info.Leaving {
			empty[w.node] = w.info.Capacity
		}
	}
	cs := p.candidates(u, empty, false)
	holds := false
	if s.Gang && s.OneRack {
		holds = packInRack(cs, s.Reserved(), n) != nil
	} else {
		holds = pack(cs, s.Reserved(), n) != nil
	}
	if alike {
		p.near[sh] = holds
	}
	return holds
}

// assign gives tasks to workers. The orders follow the record.
func (p *planner) assign(u unit, tasks []*task, nodes []string) {
	c, s := p.core, u.step
	j := s.job()
	run := 0
	if s.spec.Gang {
		run = s.maxRun() + 1
	}
	checkpoint := ""
	if s.spec.Gang {
		checkpoint = s.gangCheckpoint()
	}
	klog.InfoS("Placed", "job", j.ID, "step", s.index, "occurrence", s.occurrence.number, "tasks", len(tasks),
		"first", tasks[0].id.Index, "nodes", nodes, "priority", u.queue.Priority, "waitedMs", j.waited(p.now).Milliseconds(),
		"slackMs", (u.latest - p.now).Milliseconds(), "catalog", c.catalog.Version)
	far := p.far(s.spec, nodes)
	for i, t := range tasks {
		w := c.workers[nodes[i]]
		t.far = far
		t.run = max(t.run+1, run)
		t.phase, t.node, t.life = assigned, w.node, w.info.Incarnation
		t.assignedAt, t.startedAt, t.percentAt, t.startPct = p.now, p.now, p.now, -1
		t.ordered, t.doubtful = false, false
		t.confirmed, t.missing, t.stopAt, t.stopSettled, t.percent, t.repeatAt = false, 0, 0, 0, 0, 0
		w.tasks[t] = struct{}{}
		p.take(w.node, s.spec.Reserved(), 1)
		if s.spec.Gang {
			t.checkpoint = checkpoint
		}
		j.orders = append(j.orders, c.startOrder(t))
	}
	j.dirty = true
	c.useClaim(s, nodes)
}

// far reports whether tasks run slower on these workers than near their data or within one rack.
func (p *planner) far(s *batch.Step, nodes []string) bool {
	first := p.core.workers[nodes[0]].info.Rack
	for _, node := range nodes {
		rack := p.core.workers[node].info.Rack
		if s.DataRack != "" && rack != s.DataRack || s.OneRack && rack != first {
			return true
		}
	}
	return false
}

// gangCheckpoint returns the checkpoint of the member that saved last. Checkpoints of one step are of equal length
// and rise.
func (s *stepRun) gangCheckpoint() string {
	best := ""
	for _, t := range s.tasks {
		if t.checkpoint > best {
			best = t.checkpoint
		}
	}
	return best
}
