package scheduler

import (
	"slices"
	"time"

	"masticcart.example/masticcart/internal/batch"
	"masticcart.example/masticcart/internal/scheduler/policy"
)

// unit is what a plan handles together: all tasks of a gang, which are placed as a whole, or waiting tasks of a step
// that are placed one by one.
type unit struct {
	step        *stepInstance
	tasks       []*task
	queue       *batch.Queue
	latestStart time.Duration   // latest start that meets the latency objective
	demand      policy.Demand   // what the policy knows of the unit
	guaranteed  bool            // within the guarantee of its team, so that it has to start in time
	failedOn    map[string]bool // workers on which a task of the unit failed; nil if none
	lastAttempt bool            // one more failure ends the job
	suspect     bool            // one of the tasks was starting when a worker crashed
	apartUntil  time.Duration   // until when a suspect unit waits for workers on which no other run is starting
	isolated    bool            // the tasks do not share their workers with others
	anywhere    bool            // the unit may start beside isolated tasks
	overdue     bool            // long-running tasks that have waited for maxIdleWait
	// onEmptyWorkers means that the unit is compared with what workers could hold apart from their runs and their state.
	onEmptyWorkers bool
}

// units returns the units that can be placed, in the order in which package policy places them.
func (p *planner) units() []unit {
	c, now := p.core, p.now
	var us []unit
	for _, j := range c.openJobs {
		startable := false
		for n := range j.nextOccurrence {
			o := j.occurrences[n]
			if o == nil {
				continue
			}
			for _, s := range o.steps {
				if s.openTasks > 0 && s.ready() {
					us = c.appendUnit(us, s, now)
					startable = true
				}
			}
		}
		j.updateIdleSince(startable, now)
	}
	for i := range us {
		c.fillDemand(&us[i], p.shares, now)
	}
	slices.SortStableFunc(us, func(a, b unit) int { return c.rules.compare(&a.demand, &b.demand, now) })
	return us
}

// updateIdleSince tracks since when the job could run and nothing of it does. Attempts to start a task do not interrupt that,
// so that a job whose starts are refused counts as idle all the while.
func (j *job) updateIdleSince(startable bool, now time.Duration) {
	switch {
	case !startable || j.running():
		j.idleSince = never
	case j.idleSince == never:
		j.idleSince = now
	}
}

// appendUnit appends what can be placed of a step. A gang is one unit. Other tasks form separate units if they are on
// their last attempt, since they avoid workers on which they have failed, or are suspect, isolated or overdue.
func (c *Core) appendUnit(us []unit, s *stepInstance, now time.Duration) []unit {
	if !slices.ContainsFunc(s.tasks, func(t *task) bool { return t.phase == waiting && t.retryAt <= now }) {
		return us
	}
	q := c.queue(s.job())
	base := unit{step: s, queue: q, latestStart: c.deadline(s, now) - c.longestChain(s),
		guaranteed: q.Priority == 0 && c.withinGuarantee(s.job())}
	hasLimit := !s.spec.LongRunning
	if s.spec.Gang {
		base.lastAttempt = hasLimit && isLastAttempt(q, s.gangFailures)
	}
	var groups []unit
	for _, t := range s.tasks {
		if t.phase != waiting || t.retryAt > now {
			continue
		}
		u := base
		if s.spec.LongRunning {
			if t.idleSince == 0 {
				t.idleSince = now
			}
			u.overdue = now-t.idleSince >= maxIdleWait
		}
		u.suspect, u.isolated, u.apartUntil = t.suspect(), t.isolated(), t.retryAt+maxSeparationWait
		u.lastAttempt = u.lastAttempt || hasLimit && !s.spec.Gang && isLastAttempt(q, t.failures)
		i := slices.IndexFunc(groups, func(g unit) bool {
			return s.spec.Gang || g.lastAttempt == u.lastAttempt && g.suspect == u.suspect && g.isolated == u.isolated &&
				g.overdue == u.overdue
		})
		if i < 0 {
			i = len(groups)
			groups = append(groups, u)
		}
		g := &groups[i]
		g.tasks, g.apartUntil = append(g.tasks, t), max(g.apartUntil, u.apartUntil)
		g.suspect, g.isolated, g.overdue = g.suspect || u.suspect, g.isolated || u.isolated, g.overdue || u.overdue
	}
	if s.spec.Gang && (len(groups) == 0 || len(groups[0].tasks) < s.spec.Count) {
		return us
	}
	slices.SortStableFunc(groups, func(a, b unit) int { return -policy.CompareBool(a.lastAttempt, b.lastAttempt) })
	for _, g := range groups {
		g.failedOn = failedOn(g.tasks)
		us = append(us, g)
	}
	return us
}

// isLastAttempt reports whether one more failure uses up the attempts of a queue.
func isLastAttempt(q *batch.Queue, failures int) bool {
	return q.MaxAttempts > 0 && failures > 0 && failures+1 >= q.MaxAttempts
}

// failedOn returns the workers on which any of the tasks failed, or nil if there are none.
func failedOn(tasks []*task) map[string]bool {
	var nodes map[string]bool
	for _, t := range tasks {
		for node := range t.failedOn {
			if nodes == nil {
				nodes = map[string]bool{}
			}
			nodes[node] = true
		}
	}
	return nodes
}

// deadline returns when the occurrence of a step has to be done to meet the latency objective.
func (c *Core) deadline(s *stepInstance, now time.Duration) time.Duration {
	return now - s.occurrence.age(now) + c.objective(s.job())
}

// objective returns the latency objective of a job, or of each occurrence of it.
func (c *Core) objective(j *job) time.Duration {
	longest := slices.Max(append(c.chains(j), 0))
	return time.Duration(float64(longest)*c.queue(j).SlackFactor) + c.queue(j).TargetLatency
}

// longestChain returns the expected duration of the longest chain of steps that begins with s.
func (c *Core) longestChain(s *stepInstance) time.Duration { return c.chains(s.job())[s.index] }

// chains returns the expected duration of the longest chain of steps that begins with each step of a job.
func (c *Core) chains(j *job) []time.Duration {
	return j.Chains(func(s *batch.Step) time.Duration { return c.likelyDuration(j, s) })
}
