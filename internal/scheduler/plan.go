package scheduler

import (
	"cmp"
	"math"
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

// unit is what is placed at once: all tasks of a gang, or the waiting tasks of a step that start independently.
type unit struct {
	step   *stepRun
	tasks  []*task
	queue  *batch.Queue
	latest time.Duration   // start by then to meet the latency objective
	sure   bool            // within the guarantee of its team, so that it has to start in time
	avoid  map[string]bool // workers on which a task of the unit failed; nil if none
}

// plan places waiting tasks: the most urgent first, others into the room that those cannot use.
func (c *Core) plan(now time.Duration) {
	free := map[string]batch.Resources{}
	for _, w := range c.fleet {
		if w.usable(now) {
			free[w.node] = w.info.Capacity.Minus(w.used())
		}
	}
	p := &planner{core: c, now: now, free: free, reserved: map[string]time.Duration{}}
	p.spareRoom = c.urgent.headroom()
	c.dropClaims(now)
	for _, cl := range c.claims {
		p.keepClaim(cl) // others must not use what is being freed for a step
	}
	for _, u := range c.units(now) {
		p.place(u)
	}
}

// units returns what can be placed, in the order of urgency.
func (c *Core) units(now time.Duration) []unit {
	var us []unit
	for _, j := range c.order {
		for n := range j.next {
			o := j.occurrences[n]
			if o == nil {
				continue
			}
			for _, s := range o.steps {
				if s.open > 0 && s.ready() {
					us = c.appendUnit(us, s, now)
				}
			}
		}
	}
	slices.SortStableFunc(us, func(a, b unit) int {
		return cmp.Or(cmp.Compare(a.queue.Priority, b.queue.Priority), -compareBool(a.sure, b.sure),
			cmp.Compare(a.latest, b.latest))
	})
	return us
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

func (c *Core) appendUnit(us []unit, s *stepRun, now time.Duration) []unit {
	u := unit{step: s, queue: c.queue(s.job())}
	for _, t := range s.tasks {
		if t.phase == waiting && t.retryAt <= now {
			u.tasks = append(u.tasks, t)
		}
	}
	if len(u.tasks) == 0 || s.spec.Gang && len(u.tasks) < s.spec.Count {
		return us
	}
	for _, t := range u.tasks {
		for node := range t.failedOn {
			if u.avoid == nil {
				u.avoid = map[string]bool{}
			}
			u.avoid[node] = true
		}
	}
	u.latest = c.deadline(s, now) - c.chain(s)
	u.sure = u.queue.Priority == 0 && c.guaranteed(s.job())
	return append(us, u)
}

// deadline returns when an occurrence has to be done to meet the objective of its job.
func (c *Core) deadline(s *stepRun, now time.Duration) time.Duration {
	return now - s.occurrence.waited(now) + c.objective(s.job())
}

// objective returns the time in which a job, or each occurrence of it, should be done.
func (c *Core) objective(j *job) time.Duration {
	q := c.queue(j)
	longest := time.Duration(0)
	ends := make([]time.Duration, len(j.Steps))
	for i := range j.Steps {
		start := time.Duration(0)
		for _, a := range j.Steps[i].After {
			start = max(start, ends[a])
		}
		ends[i] = start + c.estimate(j, &j.Steps[i])
		longest = max(longest, ends[i])
	}
	return time.Duration(float64(longest)*q.Slack) + q.Target
}

// chain returns the time of the longest chain of steps that begins with a step.
func (c *Core) chain(s *stepRun) time.Duration {
	after := time.Duration(0)
	for _, next := range s.occurrence.steps[s.index+1:] {
		if slices.Contains(next.spec.After, s.index) {
			after = max(after, c.chain(next))
		}
	}
	return c.expected(s) + after
}

// planner is one pass over the units.
type planner struct {
	core     *Core
	now      time.Duration
	free     map[string]batch.Resources
	reserved map[string]time.Duration // from when a worker's room is kept for a more urgent unit
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
		if nodes := p.choose(u, len(u.tasks), true); nodes != nil {
			p.assign(u, u.tasks, nodes)
			u.tasks = nil
		}
	} else {
		for len(u.tasks) > 0 {
			nodes := p.choose(u, 1, true)
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
	var cs []candidate
	for _, w := range p.core.fleet {
		room, ok := free[w.node]
		if !ok || w.info.Service != u.queue.Service || !w.info.HasLabel(s.spec.RequiredLabel) {
			continue
		}
		if from, ok := p.reserved[w.node]; ok && backfill && end > from {
			continue
		}
		cand := candidate{node: w.node, rack: w.info.Rack, free: room, copies: need.Copies(room)}
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
func (p *planner) choose(u unit, n int, backfill bool) []string {
	if p.mustLeaveRoom(u, n) {
		return nil
	}
	return p.chooseFrom(u, n, p.candidates(u, p.free, backfill))
}

// mustLeaveRoom reports whether a unit that can wait would take the accelerators that urgent jobs will need soon.
func (p *planner) mustLeaveRoom(u unit, n int) bool {
	if u.queue.Priority == 0 || p.spareRoom == 0 {
		return false
	}
	slack := u.latest - p.now
	if waited := u.step.occurrence.waited(p.now); slack < time.Duration(float64(slack+waited)*headroomSlack) {
		return false
	}
	room := 0
	for node, r := range p.free {
		if p.core.workers[node].info.Service == u.queue.Service {
			room += max(r.Accelerators, 0)
		}
	}
	return float64(room-n*u.step.spec.Need.Accelerators) < p.spareRoom
}

// headroomSlack is the part of its slack that a unit must have left to leave room to more urgent ones.
const headroomSlack = 0.6

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
	s := u.step.spec
	empty := map[string]batch.Resources{}
	for _, w := range p.core.fleet {
		if w.info != nil && !w.left && (s.DataRack == "" || w.info.Rack == s.DataRack) && !w.info.Leaving {
			empty[w.node] = w.info.Capacity
		}
	}
	cs := p.candidates(u, empty, false)
	if s.Gang && s.OneRack {
		return packInRack(cs, s.Reserved(), n) != nil
	}
	return pack(cs, s.Reserved(), n) != nil
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
		t.phase, t.node, t.life = assigned, w.node, w.info.Life
		t.assignedAt, t.startedAt, t.percentAt, t.startPct = p.now, p.now, p.now, -1
		t.ordered, t.doubtful = false, false
		t.confirmed, t.missing, t.stopAt, t.stopSettled, t.percent = false, 0, 0, 0, 0
		w.tasks[t] = struct{}{}
		p.free[w.node] = p.free[w.node].Minus(s.spec.Reserved())
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

// await claims room for n tasks by preemption if the unit may do so and cannot wait, or keeps room that becomes free.
func (p *planner) await(u unit, n int) {
	if cl := p.core.claims[u.step]; cl != nil {
		n -= len(cl.nodes)
	}
	if n <= 0 {
		return
	}
	if u.queue.Priority == 0 {
		if _, nodes := p.forecast(u, n, p.now+preemptPatience); nodes != nil {
			return
		}
		if more := p.preempt(u, n); more != nil {
			p.keepClaim(more)
			p.core.addClaim(u.step, more)
			return
		}
	}
	if p.kept < reservations {
		if at, nodes := p.forecast(u, n, forever); nodes != nil {
			p.reserve(at, nodes)
		}
	}
}

const (
	// preemptPatience is the wait for room that becomes free by itself: about the time that stopping takes. Longer
	// waits would have to trust estimates, and work that starts too late costs more than work that starts again.
	preemptPatience = 150 * time.Millisecond
	// forever is later than any task ends.
	forever = time.Duration(math.MaxInt64)
)

// release is room that becomes free when a task ends.
type release struct {
	at   time.Duration
	node string
	room batch.Resources
}

// upcoming returns the releases of all running tasks, the earliest first. They are the same for all units of a plan.
func (p *planner) upcoming() []release {
	if p.releases != nil {
		return p.releases
	}
	p.releases = []release{}
	for _, w := range p.core.fleet {
		if _, ok := p.free[w.node]; !ok {
			continue
		}
		for _, t := range w.sorted() {
			p.releases = append(p.releases, release{p.now + p.core.remaining(t, p.now), w.node, t.step.spec.Reserved()})
		}
	}
	slices.SortStableFunc(p.releases, func(a, b release) int { return cmp.Compare(a.at, b.at) })
	return p.releases
}

// forecast returns the earliest time, up to a limit, at which n tasks of the unit, or one task of a step without a gang,
// fit as running tasks end, and the workers.
func (p *planner) forecast(u unit, n int, limit time.Duration) (time.Duration, []string) {
	if !u.step.spec.Gang {
		n = 1
	}
	need := u.step.spec.Reserved()
	cs := p.eligible(u, p.free, false, true)
	index := make(map[string]int, len(cs))
	copies := 0
	for i, c := range cs {
		index[c.node] = i
		copies += max(c.copies, 0)
	}
	for _, r := range p.upcoming() {
		if r.at > limit {
			break
		}
		i, ok := index[r.node]
		if !ok {
			continue
		}
		c := &cs[i]
		copies -= max(c.copies, 0)
		c.free = c.free.Plus(r.room)
		c.copies = need.Copies(c.free)
		if m := u.step.spec.MaxPerWorker; m > 0 {
			c.copies = min(c.copies, m-u.step.on(c.node))
		}
		copies += max(c.copies, 0)
		if copies < n {
			continue
		}
		fitting := slices.DeleteFunc(slices.Clone(cs), func(c candidate) bool { return c.copies <= 0 })
		if nodes := p.chooseFrom(u, n, fitting); nodes != nil {
			return r.at, nodes
		}
	}
	return 0, nil
}

// reserve keeps workers for a unit from a time on.
func (p *planner) reserve(from time.Duration, nodes []string) {
	p.kept++
	for _, node := range nodes {
		if at, ok := p.reserved[node]; !ok || from < at {
			p.reserved[node] = from
		}
	}
}
