// Package rulecheck judges what callers, workers and operators see against the rules of the users' platform. The model of
// the scheduler's tests and the soak share it. It does no I/O; times are spans since any origin.
package rulecheck

import (
	"fmt"
	"time"

	"masticcart.example/masticcart/internal/batch"
)

// Bounds are the figures that the rules need.
type Bounds struct {
	// MaxAttempts is the number of failed runs of a task after which it must not start again. Zero: not checked.
	MaxAttempts int
	// LateStart is how long after the acknowledgement of a cancellation a task may still start: an order under way.
	LateStart time.Duration
	// Revocation is how long after its removal a key may still be honoured.
	Revocation time.Duration
}

// Checker collects events, in the order of their times, and the rules that are broken. It is not safe for concurrent use.
type Checker struct {
	bounds    Bounds
	jobs      map[string]batch.Job
	workers   map[string]*worker
	starts    map[string]int                    // by job
	members   map[batch.TaskID]map[int]struct{} // members of a run of a gang that have started; the id has the run as its index
	ever      map[batch.TaskID]bool             // has ended well once
	noted     map[batch.TaskID]bool             // ended well, and the worker was told to forget it
	failed    map[batch.TaskID]int              // noted failures
	cancelled map[string]time.Duration
	removed   map[string]time.Duration // keys
	loose     bool                     // members of gangs may end without the others
	broken    []string
}

// worker is the present life of a worker.
type worker struct {
	leaseUntil time.Duration
	running    map[batch.TaskID]int
	ended      []end
	void       int64 // ends up to this number came before a lapse of the lease: noting them binds nobody
}

type end struct {
	number int64
	task   batch.TaskID
	how    batch.Outcome
}

// New returns a checker.
func New(b Bounds) *Checker {
	return &Checker{bounds: b, jobs: map[string]batch.Job{}, workers: map[string]*worker{}, starts: map[string]int{},
		members: map[batch.TaskID]map[int]struct{}{}, ever: map[batch.TaskID]bool{}, noted: map[batch.TaskID]bool{},
		failed: map[batch.TaskID]int{}, cancelled: map[string]time.Duration{}, removed: map[string]time.Duration{}}
}

// Broken returns the broken rules.
func (c *Checker) Broken() []string { return c.broken }

// Violation records a broken rule.
func (c *Checker) Violation(at time.Duration, format string, args ...any) {
	c.broken = append(c.broken, fmt.Sprintf("%8.3fs %s", at.Seconds(), fmt.Sprintf(format, args...)))
}

func (c *Checker) worker(name string) *worker {
	w := c.workers[name]
	if w == nil {
		w = &worker{running: map[batch.TaskID]int{}}
		c.workers[name] = w
	}
	return w
}

// Submitted takes a job that a caller is about to hand in.
func (c *Checker) Submitted(j batch.Job) { c.jobs[j.ID] = j }

// Cancelled takes an acknowledged cancellation.
func (c *Checker) Cancelled(job string, at time.Duration) {
	if _, known := c.cancelled[job]; !known {
		c.cancelled[job] = at
	}
}

// KeyRemoved and KeyAdded take acknowledged changes of the configuration.
func (c *Checker) KeyRemoved(key string, at time.Duration) { c.removed[key] = at }

// KeyAdded takes the return of a key, from the time at which the change was sent.
func (c *Checker) KeyAdded(key string) { delete(c.removed, key) }

// Accepted takes a submission that was sent with a key and acknowledged.
func (c *Checker) Accepted(job, key string, sent time.Duration) {
	if at, gone := c.removed[key]; gone && sent > at+c.bounds.Revocation {
		c.Violation(sent, "CONFIG: %s was accepted with a key that was removed %v before", job, sent-at)
	}
}

// GangsAreLoose tells that from now on faults may keep some members of a gang from starting, on workers that do not hold
// the others back until all are there, as stand-ins do not. The end of a lone member then proves nothing.
func (c *Checker) GangsAreLoose() { c.loose = true }

// Extended takes the end of a worker's lease.
func (c *Checker) Extended(name string, until time.Duration) {
	w := c.worker(name)
	w.leaseUntil = max(w.leaseUntil, until)
}

// Started takes a run that begins on a worker.
func (c *Checker) Started(name string, task batch.TaskID, run int, payload string, at time.Duration) {
	step := c.step(task)
	if step == nil || task.Index >= step.Count {
		c.Violation(at, "UNASKED: %v was not handed in", task)
		return
	}
	j := c.jobs[task.Job]
	if payload != j.Payload {
		c.Violation(at, "UNASKED: %v starts with another payload", task)
	}
	for other, w := range c.workers {
		if held, ok := w.running[task]; ok && other != name && w.leaseUntil > at {
			c.Violation(at, "TWICE: %v run %d starts on %s while run %d is on %s", task, run, name, held, other)
		}
	}
	if c.Done(task, at) {
		c.Violation(at, "TWICE: %v run %d starts on %s after it was done", task, run, name)
	}
	if n := c.failures(task); c.bounds.MaxAttempts > 0 && n >= c.bounds.MaxAttempts {
		c.Violation(at, "BUDGET: %v run %d starts after %d failures", task, run, n)
	}
	if ended, ok := c.cancelled[task.Job]; ok && at > ended+c.bounds.LateStart {
		c.Violation(at, "UNASKED: %v starts %v after its cancellation", task, at-ended)
	}
	for _, before := range step.After {
		for n := range j.Steps[before].Count {
			if !c.ever[batch.TaskID{Job: j.ID, Occurrence: task.Occurrence, Step: before, Index: n}] {
				c.Violation(at, "ORDER: %v starts before step %d has ended", task, before)
				break
			}
		}
	}
	c.starts[task.Job]++
	c.worker(name).running[task] = run
	gang := gangRun(task, run)
	if c.members[gang] == nil {
		c.members[gang] = map[int]struct{}{}
	}
	c.members[gang][task.Index] = struct{}{}
}

// gangRun names a run of all members of a task's step.
func gangRun(task batch.TaskID, run int) batch.TaskID {
	task.Index = run
	return task
}

// Ended takes the end of a run, with its number in the worker's life.
func (c *Checker) Ended(name string, number int64, task batch.TaskID, run int, how batch.Outcome, at time.Duration) {
	w := c.worker(name)
	delete(w.running, task)
	w.ended = append(w.ended, end{number, task, how})
	step := c.step(task)
	if how != batch.OutcomeDone || step == nil {
		return
	}
	if n := len(c.members[gangRun(task, run)]); step.Gang && n < step.Count && !c.loose {
		c.Violation(at, "GANG: %v run %d is done with %d of %d members started", task, run, n, step.Count)
	}
	for _, m := range c.gang(task) {
		c.ever[m] = true
	}
}

// Noted takes the order to forget the ends up to a number. Those that ended well stand for good.
func (c *Checker) Noted(name string, upTo int64) {
	w := c.worker(name)
	for len(w.ended) > 0 && w.ended[0].number <= upTo {
		e := w.ended[0]
		w.ended = w.ended[1:]
		switch {
		case e.how == batch.OutcomeFailed:
			c.failed[e.task]++
		case e.how == batch.OutcomeDone && e.number > w.void:
			for _, m := range c.gang(e.task) {
				c.noted[m] = true
			}
		}
	}
}

// Lapsed takes the end of a worker's lease without an extension.
func (c *Checker) Lapsed(name string) {
	w := c.worker(name)
	if n := len(w.ended); n > 0 {
		w.void = w.ended[n-1].number
	}
}

// Died takes the end of a worker's life, with all that it had not been told to forget.
func (c *Checker) Died(name string) { delete(c.workers, name) }

// Refused takes a job whose submission was rejected each time.
func (c *Checker) Refused(job string, at time.Duration) {
	if n := c.starts[job]; n > 0 {
		c.Violation(at, "REFUSED: %s was refused and %d tasks have started", job, n)
	}
}

// Settled takes the state of an accepted job that callers are shown after the recovery. unsure means that a cancellation
// was not answered.
func (c *Checker) Settled(job string, state batch.State, unsure bool, at time.Duration) {
	_, cancelled := c.cancelled[job]
	switch {
	case state == batch.Completed:
		for _, task := range c.tasks(job) {
			if !c.ever[task] {
				c.Violation(at, "MIXED: %s is shown as completed, and %v has not ended so", job, task)
				return
			}
		}
	case state == batch.Cancelled && (cancelled || unsure):
	default:
		c.Violation(at, "LOST: %s is %q after the recovery", job, state)
	}
}

// Done reports whether a task has ended well for good: the end was noted, or is listed by a worker whose lease has not
// lapsed since.
func (c *Checker) Done(task batch.TaskID, at time.Duration) bool {
	if c.noted[task] {
		return true
	}
	for _, m := range c.gang(task) {
		for _, w := range c.workers {
			for _, e := range w.ended {
				if e.task == m && e.how == batch.OutcomeDone && e.number > w.void && w.leaseUntil > at {
					return true
				}
			}
		}
	}
	return false
}

// failures counts the failed ends of a task that were noted, or are listed.
func (c *Checker) failures(task batch.TaskID) int {
	n := c.failed[task]
	for _, w := range c.workers {
		for _, e := range w.ended {
			if e.task == task && e.how == batch.OutcomeFailed {
				n++
			}
		}
	}
	return n
}

// step returns the step of a task, or nil if no job has it.
func (c *Checker) step(task batch.TaskID) *batch.Step {
	j, known := c.jobs[task.Job]
	if !known || task.Step >= len(j.Steps) || task.Occurrence >= j.Occurrences() {
		return nil
	}
	return &j.Steps[task.Step]
}

// gang returns a task, or all tasks of its gang: one end represents them all.
func (c *Checker) gang(task batch.TaskID) []batch.TaskID {
	step := c.step(task)
	if step == nil || !step.Gang {
		return []batch.TaskID{task}
	}
	return stepTasks(task, step.Count)
}

func stepTasks(task batch.TaskID, count int) []batch.TaskID {
	all := make([]batch.TaskID, count)
	for n := range all {
		all[n] = task
		all[n].Index = n
	}
	return all
}

// tasks returns all tasks of a job.
func (c *Checker) tasks(job string) []batch.TaskID {
	var all []batch.TaskID
	j := c.jobs[job]
	for o := range j.Occurrences() {
		for s := range j.Steps {
			all = append(all, stepTasks(batch.TaskID{Job: job, Occurrence: o, Step: s}, j.Steps[s].Count)...)
		}
	}
	return all
}
