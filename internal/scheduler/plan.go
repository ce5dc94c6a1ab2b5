package scheduler

import (
	"slices"
	"time"

	"k8s.io/klog/v2"

	"masticcart.example/masticcart/internal/batch"
)

const (
	// planInterval is the longest time between two plans, since estimates and claims change with time alone.
	planInterval = 250 * time.Millisecond
	// remoteWaitFactor is how long a unit waits beyond its latest start for capacity near its data or within one rack
	// before it runs elsewhere, as a multiple of its expected duration.
	remoteWaitFactor = 1.0
	// maxReservations is the number of units per plan for which capacity is reserved ahead of its release.
	maxReservations = 3
)

// plan places waiting tasks in order of urgency. Less urgent units backfill capacity that more urgent ones cannot use.
func (c *Core) plan(now time.Duration) {
	if !c.mayStart(now) {
		return
	}
	p := c.newPlanner(now)
	p.headroom = c.urgentDemand.headroom()
	c.expireClaims(now)
	for _, cl := range c.claims {
		p.withholdClaim(cl) // others must not use capacity that is being freed for a step
	}
	for _, u := range p.units() {
		p.place(u)
	}
	p.restartLateRuns()
	c.noteMissingGuarantees(now)
	if len(c.evacuations.Requests.Requests()) > 0 {
		p.relocate()
	}
}

// newPlanner returns a planner with the free capacity of all usable workers.
func (c *Core) newPlanner(now time.Duration) *planner {
	p := &planner{core: c, now: now, free: map[string]batch.Resources{}, capacities: map[string]*serviceCapacity{},
		reservedFrom: map[string]time.Duration{}, noFit: map[shape]time.Duration{}, fitsNear: map[shape]bool{},
		withheld: map[string]batch.Resources{}, startingOn: map[string]bool{}, isolatedOn: map[string]bool{},
		coldLimits: c.coldLimits(now), shares: c.teamShares(now)}
	for _, w := range c.sortedWorkers {
		if w.usable(now) && !c.evacuated(w) {
			p.addWorker(w)
			p.noteStarts(w)
		}
	}
	return p
}

// planner is the state of one plan.
type planner struct {
	core         *Core
	now          time.Duration
	free         map[string]batch.Resources
	capacities   map[string]*serviceCapacity // by service
	reservedFrom map[string]time.Duration    // from when on a worker is reserved for a more urgent unit
	// noFit maps shapes that no longer fit to the shortest task duration for which that was found. Capacity only
	// shrinks during a plan, so the result stays valid.
	noFit            map[shape]time.Duration
	fitsNear         map[shape]bool // whether empty workers near the data, or in one rack, could hold a shape
	reservationCount int
	releases         []capacityRelease          // nil until upcomingReleases is called
	withheld         map[string]batch.Resources // free capacity of workers that are kept for suspects
	startingOn       map[string]bool            // workers on which runs are starting
	isolatedOn       map[string]bool            // workers on which isolated tasks are in progress
	// headroom is the number of accelerators that less urgent units leave free while they can wait.
	headroom float64
	// coldLimits holds by service the most runs that a cold worker may have; nil for no limit.
	coldLimits map[string]int
	shares     map[string]float64 // of the teams, at the start of the plan
}

// place assigns a unit, or claims or reserves capacity for it.
func (p *planner) place(u unit) {
	cl := p.core.claims[u.step]
	if cl != nil {
		p.returnClaim(cl)
	}
	if u.step.spec.Gang {
		if nodes := p.chooseNodes(u, len(u.tasks)); nodes != nil && !p.waitsForFaster(u, nodes) {
			p.assign(u, u.tasks, nodes)
			u.tasks = nil
		}
	} else {
		for len(u.tasks) > 0 {
			nodes := p.chooseNodes(u, 1)
			if nodes == nil || p.waitsForFaster(u, nodes) {
				break // the tasks of a step are identical
			}
			p.assign(u, u.tasks[:1], nodes)
			u.tasks = u.tasks[1:]
		}
	}
	if cl := p.core.claims[u.step]; cl != nil {
		p.withholdClaim(cl)
	}
	if len(u.tasks) > 0 {
		p.claimOrReserve(u, len(u.tasks))
	}
}

// candidates returns the workers with free capacity for tasks of the unit. With backfill, it leaves out workers whose
// reservation begins before the tasks are expected to end.
func (p *planner) candidates(u unit, free map[string]batch.Resources, backfill bool) []candidate {
	return p.eligible(u, free, backfill, false)
}

// eligible returns candidates. With includeFull it also returns workers without enough free capacity.
func (p *planner) eligible(u unit, free map[string]batch.Resources, backfill, includeFull bool) []candidate {
	s := u.step
	need := s.spec.Reserved()
	duration := p.core.expectedDuration(s)
	preference := p.speedPreference(u)
	avoidFailed := u.lastAttempt && p.fitsElsewhere(u)
	var cs []candidate
	for _, w := range p.core.sortedWorkers {
		available, ok := free[w.node]
		if avoidFailed && u.failedOn[w.node] {
			continue // a faulty worker would fail the last attempt, and with it the job
		}
		if !ok || p.keepsApart(u, w) || w.info.Service != u.queue.Service || !w.info.HasLabel(s.spec.RequiredLabel) {
			continue
		}
		if from, ok := p.reservedFrom[w.node]; ok && backfill &&
			p.now+time.Duration(float64(duration)*p.core.workerFactor(w.node)) > from {
			continue
		}
		cand := candidate{node: w.node, rack: w.info.Rack, free: available, fitCount: need.FitCount(available)}
		cand.fitCount = min(cand.fitCount, p.maxAdded(u, w))
		if cand.fitCount <= 0 && !includeFull {
			continue
		}
		// One more failure ends the job, so the last attempt goes to a worker on which starts are known to succeed.
		cand.refusing = w.refusals.Refusing(p.now)
		cand.avoided = u.failedOn[w.node] || u.lastAttempt && !w.proven(p.now) || cand.refusing
		if u.suspect {
			cand.workAtRisk = p.workAtRisk(w)
		}
		if preference != nil {
			cand.tier = preference.tier(w.node)
		}
		cs = append(cs, cand)
	}
	return cs
}

// fitsElsewhere reports whether the unit would fit on workers without a failure of its tasks once all runs there have
// ended, except those that have no end.
func (p *planner) fitsElsewhere(u unit) bool {
	s := u.step.spec
	need, n := s.Reserved(), 1
	if s.Gang {
		n = s.Count
	}
	var cs []candidate
	for _, w := range p.core.sortedWorkers {
		if !p.core.expectsTasks(w, p.now) || u.failedOn[w.node] || w.info.Service != u.queue.Service ||
			!w.info.HasLabel(s.RequiredLabel) {
			continue
		}
		fitCount := need.FitCount(w.info.Capacity.Minus(w.longRunning()))
		if s.MaxPerWorker > 0 {
			fitCount = min(fitCount, s.MaxPerWorker)
		}
		cs = append(cs, candidate{node: w.node, fitCount: fitCount})
	}
	return pack(cs, need, n) != nil
}

// countOn returns the number of tasks of the step that occupy a worker.
func (s *stepInstance) countOn(node string) int {
	n := 0
	for _, t := range s.tasks {
		if t.active() && t.node == node {
			n++
		}
	}
	return n
}

// chooseNodes returns workers for n tasks of the unit within the free capacity, or nil.
func (p *planner) chooseNodes(u unit, n int) []string {
	if nodes := p.claimedNodes(u, n); nodes != nil {
		return nodes
	}
	if p.mustStartNow(u, n) {
		u.lastAttempt = false
		return p.chooseNow(u, n)
	}
	if p.core.claims[u.step] == nil && p.mustKeepHeadroom(u, n) {
		return nil
	}
	sh, cacheable := shapeOf(u, n)
	sh.remote = p.mayRunRemote(u, n)
	duration := p.core.expectedDuration(u.step)
	noFitDuration, known := p.noFit[sh]
	if cacheable && known && duration >= noFitDuration && p.core.claims[u.step] == nil {
		return nil
	}
	nodes := p.chooseFrom(u, n, p.candidates(u, p.free, true))
	if nodes == nil && cacheable && (!known || duration < noFitDuration) {
		p.noFit[sh] = duration
	}
	return nodes
}

// chooseNow returns workers for n tasks of a unit that must start now, or nil. It keeps suspects apart if it can, and comes to
// workers that refuse starts last.
func (p *planner) chooseNow(u unit, n int) []string {
	relaxed := u.relaxed(p.now)
	sets := [][]candidate{
		p.candidates(u, p.free, false), p.candidates(relaxed, p.free, false), p.candidates(relaxed, p.allFree(), false),
	}
	for _, cs := range append(takingStarts(sets), sets...) {
		if nodes := p.chooseFrom(u, n, cs); nodes != nil {
			return nodes
		}
		if nodes := pack(cs, u.step.spec.Reserved(), n); nodes != nil {
			return nodes
		}
	}
	return nil
}

// takingStarts returns the sets without the workers that refuse starts.
func takingStarts(sets [][]candidate) [][]candidate {
	var taking [][]candidate
	for _, cs := range sets {
		taking = append(taking, slices.DeleteFunc(slices.Clone(cs), func(c candidate) bool { return c.refusing }))
	}
	return taking
}

// chooseFrom returns workers for n tasks of the unit among the candidates, or nil. It prefers workers near the data and
// within one rack, and uses others only if the unit may run remote.
func (p *planner) chooseFrom(u unit, n int, cs []candidate) []string {
	s := u.step.spec
	need := s.Reserved()
	near := cs
	if s.DataRack != "" {
		near = slices.DeleteFunc(slices.Clone(cs), func(c candidate) bool { return c.rack != s.DataRack })
	}
	nodes := packPreferred(near, need, n, s.Gang && s.OneRack)
	if nodes != nil || !p.mayRunRemote(u, n) {
		return nodes
	}
	if s.Gang && s.OneRack {
		if nodes = packPreferred(cs, need, n, true); nodes != nil {
			return nodes
		}
	}
	return packPreferred(cs, need, n, false)
}

// mayRunRemote reports whether the unit may run slower, away from its data or spread over racks: it has waited for long
// enough, or would not fit otherwise even on empty workers.
func (p *planner) mayRunRemote(u unit, n int) bool {
	s := u.step.spec
	if s.DataRack == "" && (!s.Gang || !s.OneRack) {
		return false
	}
	if !p.fitsNearWhenEmpty(u, n) {
		return true
	}
	return p.now-u.latestStart > time.Duration(float64(p.core.expectedDuration(u.step))*remoteWaitFactor)
}

// fitsNearWhenEmpty reports whether the workers near the data, or those of a single rack, could hold the unit if they
// were empty and had their largest capacity.
func (p *planner) fitsNearWhenEmpty(u unit, n int) bool {
	sh, cacheable := shapeOf(u, n)
	if cached, known := p.fitsNear[sh]; cacheable && known {
		return cached
	}
	s := u.step.spec
	empty := map[string]batch.Resources{}
	for _, w := range p.core.sortedWorkers {
		if p.core.expectsTasks(w, p.now) && (s.DataRack == "" || w.info.Rack == s.DataRack) {
			empty[w.node] = w.largest
		}
	}
	u.suspect, u.isolated, u.anywhere, u.onEmptyWorkers = false, false, true, true
	cs := p.candidates(u, empty, false)
	fits := false
	if s.Gang && s.OneRack {
		fits = packInRack(cs, s.Reserved(), n) != nil
	} else {
		fits = pack(cs, s.Reserved(), n) != nil
	}
	if cacheable {
		p.fitsNear[sh] = fits
	}
	return fits
}

// assign assigns tasks to workers. The orders are sent once the assignment is recorded.
func (p *planner) assign(u unit, tasks []*task, nodes []string) {
	c, s := p.core, u.step
	j := s.job()
	run := 0
	if s.spec.Gang {
		run, s.incomplete = s.maxRun()+1, false
		s.slowestFactor = c.slowestFactor(nodes)
	}
	checkpoint := ""
	if s.spec.Gang {
		checkpoint = s.gangCheckpoint()
	}
	klog.InfoS("Placed", "job", j.ID, "step", s.index, "occurrence", s.occurrence.number, "tasks", len(tasks),
		"first", tasks[0].id.Index, "nodes", nodes, "priority", u.queue.Priority,
		"waitedMs", j.age(p.now).Milliseconds(), "slackMs", (u.latestStart - p.now).Milliseconds(),
		"catalog", c.catalog.Version)
	remote := c.isRemote(s, nodes)
	for i, t := range tasks {
		w := c.workers[nodes[i]]
		t.remote = remote
		t.run = max(t.run+1, run)
		t.phase, t.node, t.incarnation = assigned, w.node, w.info.Incarnation
		t.assignedAt, t.startedAt, t.progressAt, t.basePercent = p.now, p.now, p.now, -1
		t.startSent, t.startUncertain, t.inherited = false, false, false
		t.observedAt = 0
		t.confirmed, t.missedReports, t.stopSentAt, t.stopAckedAt, t.percent, t.resendAt = false, 0, 0, 0, 0, 0
		w.tasks[t] = struct{}{}
		p.consume(w.node, s.spec.Reserved(), 1)
		if s.spec.Gang {
			t.checkpoint = checkpoint
		}
		j.pendingOrders = append(j.pendingOrders, c.startOrder(t))
	}
	j.dirty = true
	c.consumeClaim(s, nodes)
	p.noteAssignment(u, nodes)
}

// isRemote reports whether tasks of a step run slower on these workers than near their data or within one rack. Workers
// that have not been announced do not count.
func (c *Core) isRemote(s *stepInstance, nodes []string) bool {
	rack := s.spec.DataRack
	for _, node := range nodes {
		w := c.workers[node]
		if w == nil || w.info == nil {
			continue
		}
		if rack == "" && s.spec.OneRack {
			rack = w.info.Rack
		}
		if rack != "" && w.info.Rack != rack {
			return true
		}
	}
	return false
}

// gangCheckpoint returns the latest checkpoint of all members. Checkpoints of a step are strings of equal length that
// increase over time.
func (s *stepInstance) gangCheckpoint() string {
	best := ""
	for _, t := range s.tasks {
		if t.checkpoint > best {
			best = t.checkpoint
		}
	}
	return best
}
