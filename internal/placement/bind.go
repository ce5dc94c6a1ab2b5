package placement

import (
	"fmt"

	"masticcart.example/masticcart/internal/model"
)

// placeBorrower places one job outside its team's guarantee, makes room for it or records why it waits.
func (st *state) placeBorrower(c *candidate) {
	if !c.Spec.Shape.UsesAccelerators() {
		return
	}
	if reason := st.permitQuota(c); reason != "" {
		st.block(c, reason, "jobs of the team end, or an operator raises the quota")
		return
	}
	st.beginAvoiding(c)
	defer st.endAvoiding()
	u := usePreemptible
	if !c.Spec.Preemptible {
		u = useFirm
	}
	found, reason, ok := st.findRoom(c, u)
	switch {
	case ok:
		st.bind(c, found, u)
	case st.preemptsUrgently(c, u):
	case st.reserve(c, u):
		if st.preemptForGang(c, u) {
			return
		}
		st.block(c, fmt.Sprintf("room: %s; %s", st.roomFigures(c), st.reserved), "the running jobs in the reserved block end")
	case reason != "":
		st.block(c, reason, "the gang starts, or the job becomes shorter than the gang's wait")
	default:
		st.blockNoRoom(c, u)
	}
}

// findRoom looks for room outside the reservation, then by packing the guarantees differently, then by
// backfill. The reason is set when only the reservation forbids the job.
func (st *state) findRoom(c *candidate, u usage) (choice, string, bool) {
	found, ok := st.choose(u, c.Spec.Shape)
	if !ok && u == useFirm {
		found, ok = st.permitByRepacking(c, u)
	}
	if ok && !st.permitBackfill(c) {
		return choice{}, "reservation: " + st.reserved.String(), false
	}
	if ok {
		return found, "", true
	}
	found, ok = st.chooseBackfill(c, u)
	return found, "", ok
}

func (st *state) preemptsUrgently(c *candidate, u usage) bool {
	if st.opts.NoUrgentPreemption || c.class != model.ClassUrgent {
		return false
	}
	got, _ := st.preemptFor(c, u, &c.class, true, "urgent work")
	return got != roomNone
}

// bind is the last stage: it writes the placement and books its units.
func (st *state) bind(c *candidate, found choice, u usage) {
	members := make([]model.Member, 0, len(found.allocs))
	for _, a := range found.allocs {
		w := &st.f.workers[a.worker]
		members = append(members, model.Member{Agent: w.ID, Incarnation: w.Incarnation, Units: a.units})
	}
	before := st.loose.total
	st.take(found.allocs, u)
	st.used[c.Spec.Key.Team] += c.Spec.Shape.Accelerators
	st.plan.Placements = append(st.plan.Placements, Placement{
		Job: c.Spec.Key, Members: members, Guaranteed: u == useClaim, Score: found.score,
		Reason: fmt.Sprintf("%s: %s on %d workers, score %.3f, %d accelerators were free",
			placeRule(u), c.Spec.Shape, len(members), found.score, before)})
}

func placeRule(u usage) string {
	if u == useClaim {
		return "guaranteed"
	}
	return "borrowed"
}

func (st *state) block(c *candidate, reason, wouldChange string) {
	st.plan.Blocked = append(st.plan.Blocked, BlockedJob{Job: c.Spec.Key, Reason: reason, WouldChange: wouldChange})
}

// roomFigures describes the free accelerators against what a job needs.
func (st *state) roomFigures(c *candidate) string {
	a := c.Spec.Shape.Adjacency
	return fmt.Sprintf("the job needs %s, the largest free %s has %d and %d are free in all",
		c.Spec.Shape, a, st.loose.largest(a), st.loose.total)
}

// blockNoRoom records a job that does not fit, by the rule that keeps it out.
func (st *state) blockNoRoom(c *candidate, u usage) {
	if u == useFirm && st.loose.largest(c.Spec.Shape.Adjacency) >= c.Spec.Shape.Accelerators {
		st.block(c, fmt.Sprintf("guarantees: %s, but at most %d in one %s are outside the room that %d unmet guaranteed blocks need",
			st.roomFigures(c), st.firm.largest(c.Spec.Shape.Adjacency), c.Spec.Shape.Adjacency, len(unmetBlocks(st.blocks))),
			"other work that cannot be preempted ends, or the job is submitted as preemptible")
		return
	}
	reason := "room: " + st.roomFigures(c)
	if len(st.avoid) > 0 {
		reason += fmt.Sprintf(", without the %d workers on which the job failed", len(st.avoid))
	}
	st.block(c, reason, fmt.Sprintf("%d accelerators become free in one %s", c.Spec.Shape.Accelerators, c.Spec.Shape.Adjacency))
}
