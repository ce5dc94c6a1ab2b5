package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"masticcart.example/masticcart/internal/batch"
)

// claimOrReserve claims room for n tasks by preemption if the unit may do so and cannot wait, or keeps room that becomes free.
func (p *planner) claimOrReserve(u unit, n int) {
	if cl := p.core.claims[u.step]; cl != nil {
		n -= len(cl.nodes)
	}
	if n <= 0 {
		return
	}
	if u.queue.Priority == 0 {
		if _, nodes := p.earliestFit(u, n, p.now+maxWaitForRelease); nodes != nil {
			return
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

const (
	// maxWaitForRelease is the wait for room that becomes free by itself: about the time that stopping takes. Longer
	// waits would have to trust estimates, and work that starts too late costs more than work that starts again.
	maxWaitForRelease = 150 * time.Millisecond
	// forever is later than any task ends.
	forever = time.Duration(math.MaxInt64)
)

// capacityRelease is room that becomes free when a task ends.
type capacityRelease struct {
	at       time.Duration
	node     string
	capacity batch.Resources
}

// upcomingReleases returns the releases of all running tasks, the earliest first. They are the same for all units of a plan.
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
			p.releases = append(p.releases, capacityRelease{p.now + p.core.remainingTime(t, p.now), w.node, t.step.spec.Reserved()})
		}
	}
	slices.SortStableFunc(p.releases, func(a, b capacityRelease) int { return cmp.Compare(a.at, b.at) })
	return p.releases
}

// earliestFit returns the earliest time, up to a limit, at which n tasks of the unit, or one task of a step without a gang,
// fit as running tasks end, and the workers.
func (p *planner) earliestFit(u unit, n int, limit time.Duration) (time.Duration, []string) {
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
	for _, r := range p.upcomingReleases() {
		if r.at > limit {
			break
		}
		i, ok := index[r.node]
		if !ok {
			continue
		}
		c := &cs[i]
		copies -= max(c.copies, 0)
		c.free = c.free.Plus(r.capacity)
		c.copies = need.FitCount(c.free)
		if m := u.step.spec.MaxPerWorker; m > 0 {
			c.copies = min(c.copies, m-u.step.countOn(c.node))
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
	p.reservationCount++
	for _, node := range nodes {
		if at, ok := p.reservedFrom[node]; !ok || from < at {
			p.reservedFrom[node] = from
		}
	}
}
