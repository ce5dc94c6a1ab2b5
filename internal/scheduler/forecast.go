package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"masticcart.example/masticcart/internal/batch"
)

// claimOrReserve frees capacity for n tasks by preemption if the unit may preempt and cannot wait. Otherwise it
// reserves capacity that running tasks will release.
func (p *planner) claimOrReserve(u unit, n int) {
	if cl := p.core.claims[u.step]; cl != nil {
		n -= len(cl.nodes)
	}
	if n <= 0 {
		return
	}
	if u.isolated {
		p.emptyWorkersFor(u, n)
		return
	}
	if p.mayClaim(u, n) {
		at, nodes := p.earliestFit(u, n, max(u.demand.Aim-u.demand.Remaining, p.now+maxWaitForRelease))
		if nodes != nil && at <= p.now+maxWaitForRelease {
			return
		}
		// The fit of one task says nothing of the others, and what another unit waits for must not be counted twice.
		if nodes != nil && (u.step.spec.Gang || n == 1) && p.reservationCount < maxReservations &&
			!slices.ContainsFunc(nodes, func(node string) bool { _, ok := p.reservedFrom[node]; return ok }) {
			u.demand.ReleaseAt = at
		}
		if more := p.preempt(u, n); more != nil {
			p.withholdClaim(more)
			p.core.addClaim(u.step, more)
			return
		}
	}
	if p.reservationCount < maxReservations {
		if at, nodes := p.earliestFit(u, n, forever); nodes != nil {
			p.reserve(at, nodes)
		}
	}
}

// mayClaim reports whether other work may be stopped for n tasks of the unit. Priority 0 may preempt; for other work
// only tasks are stopped that lose nothing but their restore time, see mayStop.
func (p *planner) mayClaim(u unit, n int) bool {
	return u.queue.Priority == 0 || u.step.spec.Gang && !u.suspect && !p.mustKeepHeadroom(u, n)
}

const (
	// maxWaitForRelease is how long an urgent unit waits for running tasks to end before it preempts others at any
	// acceptable loss. It is about the time that stopping tasks takes: longer waits rely on estimates, and a late start of
	// urgent work costs more than a restart of other work. Package policy accepts a smaller loss for a longer wait.
	maxWaitForRelease = 150 * time.Millisecond
	// forever is later than the end of any task.
	forever = time.Duration(math.MaxInt64)
)

// capacityRelease is the capacity that a running task is expected to release.
type capacityRelease struct {
	at       time.Duration
	node     string
	capacity batch.Resources
}

// upcomingReleases returns the expected releases of all running tasks, the earliest first. They are computed once per
// plan.
func (p *planner) upcomingReleases() []capacityRelease {
	if p.releases != nil {
		return p.releases
	}
	p.releases = []capacityRelease{}
	for _, w := range p.core.sortedWorkers {
		if _, ok := p.free[w.node]; !ok {
			continue
		}
		for _, t := range w.sortedTasks() {
			remaining := p.core.remainingTime(t, p.now)
			if t.phase == stopping {
				remaining = min(remaining, p.core.config.StopTimeout)
			}
			p.releases = append(p.releases, capacityRelease{p.now + remaining, w.node, t.step.spec.Reserved()})
		}
	}
	slices.SortStableFunc(p.releases, func(a, b capacityRelease) int { return cmp.Compare(a.at, b.at) })
	return p.releases
}

// earliestFit returns the earliest time, up to limit, at which n tasks of a gang, or one task of any other step, fit as
// running tasks end, and the workers. The workers are nil if there is no such time.
func (p *planner) earliestFit(u unit, n int, limit time.Duration) (time.Duration, []string) {
	if !u.step.spec.Gang {
		n = 1
	}
	need := u.step.spec.Reserved()
	cs := p.eligible(u, p.free, false, true)
	index := make(map[string]int, len(cs))
	totalFit := 0
	for i, c := range cs {
		index[c.node] = i
		totalFit += max(c.fitCount, 0)
	}
	for _, r := range p.upcomingReleases() {
		if r.at > limit {
			break
		}
		i, ok := index[r.node]
		if !ok {
			continue
		}
		c := &cs[i]
		totalFit -= max(c.fitCount, 0)
		c.free = c.free.Plus(r.capacity)
		c.fitCount = need.FitCount(c.free)
		c.fitCount = min(c.fitCount, p.maxAdded(u, p.core.workers[c.node]))
		totalFit += max(c.fitCount, 0)
		if totalFit < n {
			continue
		}
		fitting := slices.DeleteFunc(slices.Clone(cs), func(c candidate) bool { return c.fitCount <= 0 })
		if nodes := p.chooseFrom(u, n, fitting); nodes != nil {
			return r.at, nodes
		}
	}
	return 0, nil
}

// reserve reserves workers for a unit from a time on.
func (p *planner) reserve(from time.Duration, nodes []string) {
	p.reservationCount++
	for _, node := range nodes {
		if at, ok := p.reservedFrom[node]; !ok || from < at {
			p.reservedFrom[node] = from
		}
	}
}
