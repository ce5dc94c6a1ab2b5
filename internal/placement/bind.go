package placement

import (
	"fmt"

	"masticcart.example/masticcart/internal/model"
)

// placeBorrower places one job outside its team's guarantee, preempts other jobs or reserves units for it, or records
// why it waits.
func (st *planState) placeBorrower(c *candidate) {
	if !c.Spec.Shape.UsesAccelerators() {
		return
	}
	if reason := st.quotaViolation(c); reason != "" {
		st.addBlocked(c, reason, "jobs of the team end, or an operator raises the quota")
		return
	}
	st.avoidFailedWorkers(c)
	defer st.resetAvoidedWorkers()
	u := usePreemptible
	if !c.Spec.Preemptible {
		u = useNonPreemptible
	}
	found, reason, ok := st.findBlock(c, u)
	switch {
	case ok:
		st.bind(c, found, u)
	case st.preemptForUrgent(c, u):
	case st.reserve(c, u):
		if st.preemptForGang(c, u) {
			return
		}
		st.addBlocked(c, fmt.Sprintf("room: %s; %s", st.describeRoom(c), st.reservation),
			"the running jobs in the reserved block end")
	case reason != "":
		st.addBlocked(c, reason, "the gang starts, or the job becomes shorter than the gang's wait")
	default:
		st.addBlockedByRoom(c, u)
	}
}

// findBlock looks for units outside the reservation, then by packing the guarantees differently, then by backfill. The
// reason is set if the job fits and only the reservation blocks it.
func (st *planState) findBlock(c *candidate, u usage) (scoredBlock, string, bool) {
	found, ok := st.chooseBlock(u, c.Spec.Shape)
	if !ok && u == useNonPreemptible {
		found, ok = st.chooseByRepacking(c, u)
	}
	if ok && !st.permitBackfill(c) {
		return scoredBlock{}, "reservation: " + st.reservation.String(), false
	}
	if ok {
		return found, "", true
	}
	found, ok = st.chooseBackfill(c, u)
	return found, "", ok
}

// preemptForUrgent preempts jobs of lower classes for an urgent job. It returns false if the job is not urgent or no
// domain can be freed.
func (st *planState) preemptForUrgent(c *candidate, u usage) bool {
	if st.opts.NoUrgentPreemption || c.class != model.ClassUrgent {
		return false
	}
	got, _ := st.preemptFor(c, u, &c.class, true, "urgent work")
	return got != allocNone
}

// bind is the last stage. It adds the placement to the plan and allocates its units.
func (st *planState) bind(c *candidate, found scoredBlock, u usage) {
	members := make([]model.Member, 0, len(found.allocs))
	for _, a := range found.allocs {
		w := &st.fleet.workers[a.worker]
		members = append(members, model.Member{Agent: w.ID, Incarnation: w.Incarnation, Units: a.units})
	}
	freeBefore := st.freeIndex.total
	st.allocate(found.allocs, u)
	st.usedByTeam[c.Spec.Key.Team] += c.Spec.Shape.Accelerators
	st.plan.Placements = append(st.plan.Placements, Placement{
		Job: c.Spec.Key, Members: members, Guaranteed: u == useGuaranteed, Score: found.score,
		Reason: fmt.Sprintf("%s: %s on %d workers, score %.3f, %d accelerators were free",
			placementRule(u), c.Spec.Shape, len(members), found.score, freeBefore)})
}

func placementRule(u usage) string {
	if u == useGuaranteed {
		return "guaranteed"
	}
	return "borrowed"
}

func (st *planState) addBlocked(c *candidate, reason, wouldChange string) {
	st.plan.Blocked = append(st.plan.Blocked, BlockedJob{Job: c.Spec.Key, Reason: reason, WouldChange: wouldChange})
}

// describeRoom compares the free accelerators with what a job needs, for the reason of a blocked job.
func (st *planState) describeRoom(c *candidate) string {
	a := c.Spec.Shape.Adjacency
	return fmt.Sprintf("the job needs %s, the largest free %s has %d and %d are free in all",
		c.Spec.Shape, a, st.freeIndex.largest(a), st.freeIndex.total)
}

// addBlockedByRoom records a job that does not fit. The reason says whether too few units are free, or whether
// guarantees need the free ones.
func (st *planState) addBlockedByRoom(c *candidate, u usage) {
	if u == useNonPreemptible && st.freeIndex.largest(c.Spec.Shape.Adjacency) >= c.Spec.Shape.Accelerators {
		st.addBlocked(c, fmt.Sprintf(
			"guarantees: %s, but at most %d in one %s are outside the room that %d unmet guaranteed blocks need",
			st.describeRoom(c), st.spareIndex.largest(c.Spec.Shape.Adjacency), c.Spec.Shape.Adjacency,
			len(unmetBlocks(st.blocks))),
			"other work that cannot be preempted ends, or the job is submitted as preemptible")
		return
	}
	reason := "room: " + st.describeRoom(c)
	if len(st.avoidedWorkers) > 0 {
		reason += fmt.Sprintf(", without the %d workers on which the job failed", len(st.avoidedWorkers))
	}
	st.addBlocked(c, reason,
		fmt.Sprintf("%d accelerators become free in one %s", c.Spec.Shape.Accelerators, c.Spec.Shape.Adjacency))
}
