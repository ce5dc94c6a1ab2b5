package scheduler

import (
	"cmp"
	"slices"
	"time"

	"masticcart.example/masticcart/internal/batch"
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

// units returns what can be placed, in the order of urgency.
func (c *Core) units(now time.Duration) []unit {
	var us []unit
	for _, j := range c.order {
		before := len(us)
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
		j.noteIdle(len(us) > before, now)
	}
	slices.SortStableFunc(us, func(a, b unit) int {
		return cmp.Or(cmp.Compare(a.queue.Priority, b.queue.Priority), -compareBool(a.sure, b.sure),
			cmp.Compare(a.latest, b.latest))
	})
	return us
}

// noteIdle keeps the time from which the job could run and has nothing on any worker.
func (j *job) noteIdle(ready bool, now time.Duration) {
	switch {
	case !ready || !j.idle():
		j.idleSince = never
	case j.idleSince == never:
		j.idleSince = now
	}
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
