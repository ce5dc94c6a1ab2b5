package scheduler

import (
	"time"

	"masticcart.example/masticcart/internal/batch"
	"masticcart.example/masticcart/internal/scheduler/policy"
)

// rules are the decisions that the core leaves to package policy. Tests compare them with others.
type rules struct {
	// compare orders demands for placement.
	compare func(a, b *policy.Demand, now time.Duration) int
	// mayPreempt reports whether work may be stopped for a demand with a loss in core-seconds.
	mayPreempt func(d *policy.Demand, loss float64, freeAt, now time.Duration) bool
}

var policyRules = rules{policy.Compare, policy.MayPreempt}

// fillDemand describes a unit to the policy. shares are those of the teams.
func (c *Core) fillDemand(u *unit, shares map[string]float64, now time.Duration) {
	s := u.step
	j := s.job()
	accepted := now - s.occurrence.age(now)
	aim := c.objective(j)
	remaining := accepted + aim - u.latestStart
	u.demand = policy.Demand{Priority: u.queue.Priority, Guaranteed: u.guaranteed, AcceptedAt: accepted,
		Aim: accepted + aim, LateLimit: accepted + batch.LateFactor*aim, Remaining: remaining,
		Work: c.unitWork(u, len(u.tasks)), JobWork: c.occurrenceWork(s.occurrence), Team: j.Team,
		TeamShare: shares[j.Team], WasLate: s.late}
	if s.spec.LongRunning { // has no end that could be late
		u.demand.Aim = max(u.demand.Aim, now+remaining)
		u.demand.LateLimit = max(u.demand.LateLimit, u.demand.Aim)
	}
	s.late = policy.ClassOf(&u.demand, now) >= policy.Late
}

// unitWork returns the expected work of n tasks of a unit in core-seconds.
func (c *Core) unitWork(u *unit, n int) float64 {
	// Estimates may be far too low.
	runTime := max(c.expectedDuration(u.step), c.durationStats(u.queue.Name).mean)
	return float64(n) * u.step.spec.Need.CoreEquivalents() * runTime.Seconds()
}

// occurrenceWork returns the expected work of all tasks of an occurrence in core-seconds, including those that are
// done.
func (c *Core) occurrenceWork(o *occurrence) float64 {
	sum := 0.0
	mean := c.durationStats(o.job.Queue.Name).mean
	for _, s := range o.steps {
		runTime := max(c.expectedDuration(s), mean)
		sum += float64(s.spec.Count) * s.spec.Need.CoreEquivalents() * runTime.Seconds()
	}
	return sum
}

// teamShares returns the accelerators in use by each team relative to its fair share: its guarantee and an equal part
// of what no guarantee covers. Only teams with open jobs count. If the guarantees exceed the fleet they are scaled
// down.
func (c *Core) teamShares(now time.Duration) map[string]float64 {
	shares := map[string]float64{}
	for _, j := range c.openJobs {
		if j.Team != "" {
			shares[j.Team] = 0
		}
	}
	if len(shares) == 0 {
		return shares
	}
	total := 0
	for _, w := range c.sortedWorkers {
		if c.expectsTasks(w, now) {
			total += w.info.Capacity.Accelerators
		}
		for t := range w.tasks {
			if team := t.step.job().Team; team != "" {
				shares[team] += float64(t.step.spec.Need.Accelerators)
			}
		}
	}
	guaranteed := 0
	for team := range shares {
		if t := c.catalog.Team(team); t != nil {
			guaranteed += t.GuaranteedAccelerators
		}
	}
	scale := 1.0
	if guaranteed > total {
		scale = float64(total) / float64(guaranteed)
	}
	rest := float64(max(0, total-guaranteed)) / float64(len(shares))
	for team, used := range shares {
		fair := rest
		if t := c.catalog.Team(team); t != nil {
			fair += float64(t.GuaranteedAccelerators) * scale
		}
		shares[team] = used / max(fair, 1)
	}
	return shares
}
