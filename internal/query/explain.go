package query

import (
	"fmt"
	"strings"
	"time"

	"masticcart.example/masticcart/internal/model"
	"masticcart.example/masticcart/internal/protocol"
)

// explanation collects the rows that explain a job, each an item and its value.
type explanation struct{ rows [][]Value }

func (e *explanation) add(item, format string, args ...any) {
	e.rows = append(e.rows, []Value{textValue(item), textValue(fmt.Sprintf(format, args...))})
}

var explainTable = &table{columns: []column{textColumn("item"), textColumn("value")}}

// explainJob returns a job's state, the rule that applies to it, the capacity figures behind the state and the event
// that would change the state. It returns ErrJobNotFound if the viewer sees no such job.
func (s *queryScope) explainJob(k model.JobKey) (*Result, error) {
	var r *jobRow
	for i := range s.jobs {
		if s.jobs[i].job.Spec.Key == k {
			r = &s.jobs[i]
		}
	}
	if r == nil {
		return nil, fmt.Errorf("%w: %s", ErrJobNotFound, k)
	}
	e := &explanation{}
	s.addJobItems(e, r)
	e.add("rule", "%s", describeRule(s.config, r.job.Spec.Kind))
	s.addCapacityItems(e, r)
	e.add("would change", "%s", s.describeStateChange(r))
	return explainTable.newResult(e.rows), nil
}

func (s *queryScope) addJobItems(e *explanation, r *jobRow) {
	j := &r.job
	e.add("job", "%s", j.Spec.Key)
	e.add("state", "%s", r.state)
	if r.reason != "" {
		e.add("reason", "%s", r.reason)
	}
	e.add("shape", "%s", j.Spec.Shape)
	e.add("cell", "%s", j.Cell)
	e.add("age", "%s", s.age(r))
	e.add("attempt", "%d", j.Attempt)
	if len(j.Members) > 0 {
		members := make([]string, len(j.Members))
		for i, m := range j.Members {
			members[i] = fmt.Sprintf("%s (%d)", m.Agent, m.Units)
		}
		e.add("members", "%s", strings.Join(members, ", "))
	}
	if len(j.FailedOn) > 0 {
		e.add("failed on", "%s", strings.Join(j.FailedOn, ", "))
	}
	if !j.Spec.Deadline.IsZero() {
		e.add("must start by", "%s", j.Spec.Deadline.UTC().Format(time.RFC3339))
	}
	if j.Outcome != nil {
		e.add("may have run", "%t", j.Outcome.Ran)
	}
	e.add("capacity", "%s", describeCapacity(r))
}

// describeCapacity describes whether the job's capacity is guaranteed or can be reclaimed for a guarantee.
func describeCapacity(r *jobRow) string {
	switch {
	case !r.job.Spec.Shape.UsesAccelerators():
		return "slots of executors, which are not guaranteed"
	case r.job.Guaranteed:
		return "the team's guarantee"
	case r.holdsUnits() && (r.job.Spec.Preemptible || r.job.Spec.Idempotent):
		return "borrowed, so a guarantee may claim it back"
	case r.holdsUnits():
		return "not needed by any guarantee"
	}
	return "none"
}

// describeRule describes the rule of the kind, or the defaults if the kind has no rule.
func describeRule(c *model.Config, kind string) string {
	for _, r := range c.Rules {
		if r.Kind != kind {
			continue
		}
		wait, price := neverText, neverText
		if r.MaxWait > 0 {
			wait = r.MaxWait.String()
		}
		if r.CrossRegionPrice >= 0 {
			price = r.CrossRegionPrice.String()
		}
		return fmt.Sprintf("kind %s: class %s, priority %d, moves up a class after %s, price of another region %s",
			kind, r.Class, r.Priority, wait, price)
	}
	return fmt.Sprintf("no rule for kind %s: class %s, priority %d, stays in its region",
		kind, model.ClassNormal, model.DefaultPriority)
}

// addCapacityItems adds the quota and guarantees of the job's team. Operators also get the figures of the cell, which
// depend on the jobs of other teams.
func (s *queryScope) addCapacityItems(e *explanation, r *jobRow) {
	if !r.job.Spec.Shape.UsesAccelerators() {
		return
	}
	team, cell := r.job.Spec.Key.Team, r.job.Cell
	e.add("team's quota", "%s", s.describeQuota(team, cell))
	for _, g := range s.config.Guarantees {
		if g.Team == team && g.Cell == cell {
			e.add("guarantee", "%d x %s, %d of them without room now", g.Count, g.Shape, s.missingBlocks(g))
		}
	}
	e.add("guarantees in use", "%d accelerators", s.acceleratorsInUse(team, cell, true))
	if !s.viewer.IsOperator() {
		return
	}
	c := s.cellCapacity(cell)
	e.add("cell", "%d of %d accelerators free, at most %d on one worker and %d in one rack", c.free, c.total,
		c.maxFreeOnWorker, c.maxFreeInRack)
	e.add("queue", "%d other jobs wait in the cell", max(0, s.countWaiting(cell)-boolToInt(r.state == stateWaiting)))
}

func (s *queryScope) describeQuota(team, cell string) string {
	used := s.acceleratorsInUse(team, cell, false)
	if t := s.config.Team(team); t != nil && t.MaxAccelerators > 0 {
		return fmt.Sprintf("%d of %d accelerators in use in the cell", used, t.MaxAccelerators)
	}
	return fmt.Sprintf("none, %d accelerators in use in the cell", used)
}

func (s *queryScope) countWaiting(cell string) int {
	n := 0
	for i := range s.jobs {
		if s.jobs[i].job.Cell == cell && s.jobs[i].state == stateWaiting {
			n++
		}
	}
	return n
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// cellCapacity counts the accelerators of the workers of a cell that accept new work.
type cellCapacity struct{ total, free, maxFreeOnWorker, maxFreeInRack int }

func (s *queryScope) cellCapacity(cell string) cellCapacity {
	var c cellCapacity
	racks := make(map[string]int)
	for i := range s.Upstreams {
		w := &s.Upstreams[i]
		if w.Identity.Kind != protocol.KindWorker || w.Identity.Cell != cell || s.upstreamState(w) != upstreamAlive {
			continue
		}
		c.total += w.Identity.Units
		c.free += w.Free
		c.maxFreeOnWorker = max(c.maxFreeOnWorker, w.Free)
		racks[w.Identity.Rack] += w.Free
		c.maxFreeInRack = max(c.maxFreeInRack, racks[w.Identity.Rack])
	}
	return c
}

// describeStateChange describes the event that would change the job's state. If the owner of the cell reports one, it
// is returned; otherwise it is derived from the view.
func (s *queryScope) describeStateChange(r *jobRow) string {
	spec := &r.job.Spec
	t := s.config.Team(spec.Key.Team)
	switch {
	case r.wouldChange != "":
		return r.wouldChange
	case r.job.Outcome != nil:
		return "nothing: the job has finished; submit it under a new id to run it again"
	case r.holdsUnits():
		return "the job ends, is cancelled or loses a member"
	case t != nil && t.MaxAccelerators > 0 &&
		s.acceleratorsInUse(t.Name, r.job.Cell, false)+spec.Shape.Accelerators > t.MaxAccelerators:
		return fmt.Sprintf("a running job of the team ends, or max-accelerators of the team is raised above %d",
			t.MaxAccelerators)
	case spec.Shape.UsesAccelerators():
		return fmt.Sprintf("%s become free for the team", spec.Shape)
	}
	return fmt.Sprintf("a slot of service %s becomes free", spec.Service)
}
