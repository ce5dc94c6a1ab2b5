// Package rulecheck checks the events that callers, workers and operators see against the rules of the platform. The
// scheduler's simulation tests and the soak test share it. It does no I/O; all times are offsets from one arbitrary
// origin.
//
// The text of a violation begins with the name of its rule:
//
//	TWICE    a task starts while another worker runs it under a valid lease, or after it has completed
//	UNASKED  a task starts that was not submitted or is cancelled, or a cancelled one runs on
//	ORDER    a task starts before the steps that it depends on have completed
//	BUDGET   a task starts after it has used up its attempts, or for the third time after three workers have crashed
//	         because of it
//	LIMIT    a start brings a worker over its capacity
//	EVAC     a task starts in a data centre although its evacuation was requested long enough before
//	GANG     a member of a gang completes before all members have started
//	CONFIG   a submission is accepted with a removed key
//	REFUSED  a job runs although each submission was rejected
//	MIXED    a job is reported as completed although a task has not completed
//	LOST     an accepted job is neither completed nor cancelled after the recovery from faults, or has failed although
//	         it could have run
package rulecheck

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"masticcart.example/masticcart/internal/batch"
)

// Limits parameterizes the rules.
type Limits struct {
	// MaxAttempts is the number of failed runs of a task after which it must not start again. Zero disables the check.
	MaxAttempts int
	// MaxStartAfterCancel is how long after a cancellation was acknowledged a task may still start, because a start
	// request was in flight.
	MaxStartAfterCancel time.Duration
	// MaxRunAfterCancel is how long after a cancellation was acknowledged a task may still run if no fault delays its stop.
	MaxRunAfterCancel time.Duration
	// MaxKeyUseAfterRemoval is how long after its removal a key may still be accepted.
	MaxKeyUseAfterRemoval time.Duration
	// MaxStartAfterShrink is how long a capacity that has shrunk still counts.
	MaxStartAfterShrink time.Duration
	// MaxStartAfterEvacuation is how long after a request to evacuate a data centre was acknowledged a task may still start
	// there.
	MaxStartAfterEvacuation time.Duration
}

const (
	// crashesBeforeLimit is the number of workers that a task may crash before its further starts are limited to
	// maxStartsAfterCrashes.
	crashesBeforeLimit    = 3
	maxStartsAfterCrashes = 2
	// minCrashesToGiveUp is the number of workers that must have crashed with a run of a task before its job may fail for
	// that.
	minCrashesToGiveUp = 2
)

// Checker takes events, which must come in the order of their times, and collects violations of the rules. It is not
// safe for concurrent use.
type Checker struct {
	limits     Limits
	jobs       map[string]batch.Job
	workers    map[string]*worker
	startCount map[string]int // started runs by job
	// startedMembers holds the started members of each run of a gang, by gangRunID.
	startedMembers       map[batch.TaskID]map[int]struct{}
	completed            map[batch.TaskID]bool // ended as done at least once, even if the end was lost later
	acknowledged         map[batch.TaskID]bool // completed, and the worker was told to forget the end
	acknowledgedFailures map[batch.TaskID]int  // failed runs that the worker was told to forget
	failures             map[batch.TaskID]int  // failed runs, whether or not their ends were lost later
	crashes              map[batch.TaskID]int  // workers that crashed because of the task
	crashesUnder         map[batch.TaskID]int  // workers that crashed with a run of the task
	startsAfterCrashes   map[batch.TaskID]int  // starts after crashesBeforeLimit crashes
	cancelledAt          map[string]time.Duration
	keyRemovedAt         map[string]time.Duration
	cells                map[string]string        // data centres of the workers
	evacuatedAt          map[string]time.Duration // by data centre, while the request is in force
	partialGangs         bool                     // members of a gang may complete although others have not started
	completedGangRuns    map[batch.TaskID]bool    // by gangRunID
	violations           []string
}

// worker is the state of a worker in its current incarnation.
type worker struct {
	leaseUntil time.Duration
	running    map[batch.TaskID]int // run number by task
	ended      []runEnd             // ends that are not acknowledged
	// expiredUpTo is the number of the last end before the lease expired. Acknowledging ends up to it does not make
	// them final.
	expiredUpTo int64
	capacities  []capacity // oldest first; none if the capacity is not known
}

// capacity is a capacity of a worker from a time on.
type capacity struct {
	since     time.Duration
	resources batch.Resources
}

type runEnd struct {
	number  int64 // consecutive within an incarnation of the worker
	task    batch.TaskID
	outcome batch.Outcome
}

// New returns a checker.
func New(limits Limits) *Checker {
	return &Checker{limits: limits, jobs: map[string]batch.Job{}, workers: map[string]*worker{},
		startCount: map[string]int{}, startedMembers: map[batch.TaskID]map[int]struct{}{}, completed: map[batch.TaskID]bool{},
		acknowledged: map[batch.TaskID]bool{}, acknowledgedFailures: map[batch.TaskID]int{},
		failures: map[batch.TaskID]int{}, crashes: map[batch.TaskID]int{}, crashesUnder: map[batch.TaskID]int{}, startsAfterCrashes: map[batch.TaskID]int{},
		cancelledAt: map[string]time.Duration{}, keyRemovedAt: map[string]time.Duration{}, cells: map[string]string{},
		evacuatedAt: map[string]time.Duration{}, completedGangRuns: map[batch.TaskID]bool{}}
}

// Violations returns a line for each violation, with its time and the rule's name.
func (c *Checker) Violations() []string { return c.violations }

// AddViolation records a violation. The formatted text begins with the name of the rule.
func (c *Checker) AddViolation(at time.Duration, format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf("%8.3fs %s", at.Seconds(), fmt.Sprintf(format, args...)))
}

func (c *Checker) workerNamed(name string) *worker {
	w := c.workers[name]
	if w == nil {
		w = &worker{running: map[batch.TaskID]int{}}
		c.workers[name] = w
	}
	return w
}

// JobSubmitted records a job that a caller is about to submit.
func (c *Checker) JobSubmitted(j batch.Job) { c.jobs[j.ID] = j }

// JobCancelled records that a cancellation was acknowledged.
func (c *Checker) JobCancelled(job string, at time.Duration) {
	if _, known := c.cancelledAt[job]; !known {
		c.cancelledAt[job] = at
	}
}

// KeyRemoved records that the removal of an API key from the configuration was acknowledged.
func (c *Checker) KeyRemoved(key string, at time.Duration) { c.keyRemovedAt[key] = at }

// KeyAdded records that a removed key is valid again. It is called when the change is sent, not when it is
// acknowledged.
func (c *Checker) KeyAdded(key string) { delete(c.keyRemovedAt, key) }

// JobAccepted records that a submission that was sent with a key at the given time was acknowledged.
func (c *Checker) JobAccepted(job, key string, sent time.Duration) {
	if at, removed := c.keyRemovedAt[key]; removed && sent > at+c.limits.MaxKeyUseAfterRemoval {
		c.AddViolation(sent, "CONFIG: %s was accepted with a key that was removed %v earlier", job, sent-at)
	}
}

// AllowPartialGangs disables the GANG rule from now on. Injected faults may keep some members of a gang from starting,
// and the workers of the tests do not hold back the others until all have started, so the end of a single member is no
// violation.
func (c *Checker) AllowPartialGangs() { c.partialGangs = true }

// LeaseExtended records the time at which a worker's lease expires.
func (c *Checker) LeaseExtended(name string, until time.Duration) {
	w := c.workerNamed(name)
	w.leaseUntil = max(w.leaseUntil, until)
}

// CapacityChanged records the capacity of a worker from a time on.
func (c *Checker) CapacityChanged(name string, resources batch.Resources, at time.Duration) {
	w := c.workerNamed(name)
	w.capacities = append(w.capacities, capacity{at, resources})
}

// WorkerPlaced records the data centre of a worker, which all its incarnations share.
func (c *Checker) WorkerPlaced(name, cell string) { c.cells[name] = cell }

// EvacuationRequested records that a request to evacuate a data centre was acknowledged.
func (c *Checker) EvacuationRequested(cell string, at time.Duration) {
	if _, known := c.evacuatedAt[cell]; !known {
		c.evacuatedAt[cell] = at
	}
}

// EvacuationWithdrawn records that a data centre is taken back. It is called when the change is sent.
func (c *Checker) EvacuationWithdrawn(cell string) { delete(c.evacuatedAt, cell) }

// checkEvacuation checks that a start is not too late for the evacuation of the worker's data centre.
func (c *Checker) checkEvacuation(name string, task batch.TaskID, run int, at time.Duration) {
	cell := c.cells[name]
	if requested, ok := c.evacuatedAt[cell]; ok && at > requested+c.limits.MaxStartAfterEvacuation {
		c.AddViolation(at, "EVAC: %v run %d starts on %s in %s, %v after the request to evacuate it", task, run, name, cell,
			at-requested)
	}
}

// TaskCrashedWorker records that a run of a task crashed its worker. WorkerTerminated follows.
func (c *Checker) TaskCrashedWorker(task batch.TaskID) { c.crashes[task]++ }

// RunStarted records that a run starts on a worker.
func (c *Checker) RunStarted(name string, task batch.TaskID, run int, payload string, at time.Duration) {
	if step := c.step(task); step != nil {
		c.checkCapacity(name, task, step, at)
	}
	if c.crashes[task] >= crashesBeforeLimit {
		if c.startsAfterCrashes[task]++; c.startsAfterCrashes[task] > maxStartsAfterCrashes {
			c.AddViolation(at, "BUDGET: %v run %d is start %d after %d workers crashed because of it", task, run,
				c.startsAfterCrashes[task], crashesBeforeLimit)
		}
	}
	c.RunStartedLate(name, task, run, payload, at)
}

// checkCapacity checks that a run fits beside the others, by the largest capacity within the last MaxStartAfterShrink.
func (c *Checker) checkCapacity(name string, task batch.TaskID, step *batch.Step, at time.Duration) {
	w := c.workerNamed(name)
	if len(w.capacities) == 0 {
		return
	}
	used := step.Reserved()
	for other := range w.running {
		if other != task {
			used = used.Plus(c.step(other).Reserved())
		}
	}
	var allowed batch.Resources
	for i, known := range w.capacities {
		if last := i == len(w.capacities)-1; last || w.capacities[i+1].since >= at-c.limits.MaxStartAfterShrink {
			allowed = allowed.Max(known.resources)
		}
	}
	if !used.FitsIn(allowed) {
		c.AddViolation(at, "LIMIT: %v starts on %s, which then needs %+v of %+v", task, name, used, allowed)
	}
}

// RunStartedLate is RunStarted for an order that the worker carried out long after it was sent. Rules on crashes and
// capacities do not apply to it.
func (c *Checker) RunStartedLate(name string, task batch.TaskID, run int, payload string, at time.Duration) {
	c.checkEvacuation(name, task, run, at)
	step := c.step(task)
	if step == nil || task.Index >= step.Count {
		c.AddViolation(at, "UNASKED: %v was never submitted", task)
		return
	}
	j := c.jobs[task.Job]
	if payload != j.Payload {
		c.AddViolation(at, "UNASKED: %v starts with a payload that was not submitted", task)
	}
	for other, w := range c.workers {
		if running, ok := w.running[task]; ok && other != name && w.leaseUntil > at {
			c.AddViolation(at, "TWICE: %v run %d starts on %s while run %d is running on %s", task, run, name, running, other)
		}
	}
	if c.IsTaskCompleted(task, at) && !c.isDelayedMember(task, run) {
		c.AddViolation(at, "TWICE: %v run %d starts on %s after the task has completed", task, run, name)
	}
	if n := c.failureCount(task); !step.LongRunning && c.limits.MaxAttempts > 0 && n >= c.limits.MaxAttempts {
		c.AddViolation(at, "BUDGET: %v run %d starts after %d failed runs", task, run, n)
	}
	if cancelled, ok := c.cancelledAt[task.Job]; ok && at > cancelled+c.limits.MaxStartAfterCancel {
		c.AddViolation(at, "UNASKED: %v starts %v after its cancellation", task, at-cancelled)
	}
	for _, before := range step.After {
		for n := range j.Steps[before].Count {
			if !c.completed[batch.TaskID{Job: j.ID, Occurrence: task.Occurrence, Step: before, Index: n}] {
				c.AddViolation(at, "ORDER: %v starts before step %d has completed", task, before)
				break
			}
		}
	}
	c.startCount[task.Job]++
	c.workerNamed(name).running[task] = run
	id := gangRunID(task, run)
	if c.startedMembers[id] == nil {
		c.startedMembers[id] = map[int]struct{}{}
	}
	c.startedMembers[id][task.Index] = struct{}{}
}

// isDelayedMember reports whether a start is that of a gang's member whose order was delayed until another member of the
// same run had completed. It happens only where workers do not hold back members until all have started.
func (c *Checker) isDelayedMember(task batch.TaskID, run int) bool {
	id := gangRunID(task, run)
	_, started := c.startedMembers[id][task.Index]
	return c.partialGangs && c.completedGangRuns[id] && !started
}

// gangRunID identifies a run of a whole gang: the id of a member with the run number in place of its index.
func gangRunID(task batch.TaskID, run int) batch.TaskID {
	task.Index = run
	return task
}

// RunEnded records the end of a run. Ends are numbered consecutively within an incarnation of the worker.
func (c *Checker) RunEnded(name string, number int64, task batch.TaskID, run int, outcome batch.Outcome,
	at time.Duration) {
	w := c.workerNamed(name)
	delete(w.running, task)
	w.ended = append(w.ended, runEnd{number, task, outcome})
	step := c.step(task)
	if outcome == batch.OutcomeFailed {
		c.failures[task]++
	}
	if outcome != batch.OutcomeDone || step == nil {
		return
	}
	if n := len(c.startedMembers[gangRunID(task, run)]); step.Gang && n < step.Count && !c.partialGangs {
		c.AddViolation(at, "GANG: %v run %d completed with %d of %d members started", task, run, n, step.Count)
	}
	if step.LongRunning {
		return // it is started again however it ends
	}
	c.completedGangRuns[gangRunID(task, run)] = step.Gang
	for _, m := range c.gangTasks(task) {
		c.completed[m] = true
	}
}

// EndsAcknowledged records that the worker was told to forget the ends up to a number. The completed tasks among them
// are final, unless the lease has expired since they ended.
func (c *Checker) EndsAcknowledged(name string, upTo int64) {
	w := c.workerNamed(name)
	for len(w.ended) > 0 && w.ended[0].number <= upTo {
		e := w.ended[0]
		w.ended = w.ended[1:]
		switch {
		case e.outcome == batch.OutcomeFailed:
			c.acknowledgedFailures[e.task]++
		case e.outcome == batch.OutcomeDone && e.number > w.expiredUpTo && !c.isLongRunning(e.task):
			for _, m := range c.gangTasks(e.task) {
				c.acknowledged[m] = true
			}
		}
	}
}

// LeaseExpired records that a worker's lease expired.
func (c *Checker) LeaseExpired(name string) {
	w := c.workerNamed(name)
	if n := len(w.ended); n > 0 {
		w.expiredUpTo = w.ended[n-1].number
	}
}

// WorkerTerminated records that a worker's process ended. Its runs and the ends that were not acknowledged are lost.
func (c *Checker) WorkerTerminated(name string) {
	for task := range c.workerNamed(name).running {
		c.crashesUnder[task]++
	}
	delete(c.workers, name)
}

// CheckCancelledRuns records a violation for each run of a cancelled job that should have been stopped. The caller calls it
// once no fault has had an effect for MaxRunAfterCancel.
func (c *Checker) CheckCancelledRuns(at time.Duration) {
	for _, name := range slices.Sorted(maps.Keys(c.workers)) {
		w := c.workers[name]
		if w.leaseUntil <= at {
			continue
		}
		for _, task := range slices.SortedFunc(maps.Keys(w.running), batch.TaskID.Compare) {
			if cancelled, ok := c.cancelledAt[task.Job]; ok && at > cancelled+c.limits.MaxRunAfterCancel {
				c.AddViolation(at, "UNASKED: %v run %d runs on %s, %v after its cancellation", task, w.running[task], name,
					at-cancelled)
			}
		}
	}
}

// JobRefused records that each submission of a job was rejected.
func (c *Checker) JobRefused(job string, at time.Duration) {
	if n := c.startCount[job]; n > 0 {
		c.AddViolation(at, "REFUSED: %s was refused but %d runs have started", job, n)
	}
}

// FinalStateReported records the state of an accepted job that callers see once the system has recovered from all
// faults. cancelUnanswered means that a cancellation was sent and not answered.
func (c *Checker) FinalStateReported(job string, state batch.State, cancelUnanswered bool, at time.Duration) {
	_, cancelled := c.cancelledAt[job]
	switch {
	case state == batch.Completed:
		for _, task := range c.jobTasks(job) {
			if !c.completed[task] {
				c.AddViolation(at, "MIXED: %s is reported as completed but %v has not completed", job, task)
				return
			}
		}
	case state == batch.Cancelled && (cancelled || cancelUnanswered):
	case state == batch.Failed && c.mayFail(job):
	default:
		c.AddViolation(at, "LOST: %s is %q after the recovery", job, state)
	}
}

// mayFail reports whether a task of a job has used up its attempts, or enough workers have crashed with a run of it.
func (c *Checker) mayFail(job string) bool {
	for _, task := range c.jobTasks(job) {
		failures := 0
		for _, m := range c.gangTasks(task) {
			failures += c.failures[m]
		}
		if c.limits.MaxAttempts > 0 && failures >= c.limits.MaxAttempts || c.crashesUnder[task] >= minCrashesToGiveUp {
			return true
		}
	}
	return false
}

// IsTaskCompleted reports whether a task has completed for good: the end was acknowledged, or is listed by a worker
// whose lease has not expired since.
func (c *Checker) IsTaskCompleted(task batch.TaskID, at time.Duration) bool {
	if c.acknowledged[task] {
		return true
	}
	if c.isLongRunning(task) {
		return false
	}
	for _, m := range c.gangTasks(task) {
		for _, w := range c.workers {
			for _, e := range w.ended {
				if e.task == m && e.outcome == batch.OutcomeDone && e.number > w.expiredUpTo && w.leaseUntil > at {
					return true
				}
			}
		}
	}
	return false
}

// failureCount returns the number of failed runs of a task, whether acknowledged or still listed by a worker.
func (c *Checker) failureCount(task batch.TaskID) int {
	n := c.acknowledgedFailures[task]
	for _, w := range c.workers {
		for _, e := range w.ended {
			if e.task == task && e.outcome == batch.OutcomeFailed {
				n++
			}
		}
	}
	return n
}

// step returns the step of a task, or nil if no submitted job has it.
func (c *Checker) step(task batch.TaskID) *batch.Step {
	j, known := c.jobs[task.Job]
	if !known || task.Step >= len(j.Steps) || task.Occurrence >= j.Occurrences() {
		return nil
	}
	return &j.Steps[task.Step]
}

// isLongRunning reports whether a task is never completed.
func (c *Checker) isLongRunning(task batch.TaskID) bool {
	step := c.step(task)
	return step != nil && step.LongRunning
}

// gangTasks returns all tasks of a task's gang, because the end of one member counts for all, or the task alone.
func (c *Checker) gangTasks(task batch.TaskID) []batch.TaskID {
	step := c.step(task)
	if step == nil || !step.Gang {
		return []batch.TaskID{task}
	}
	return stepTasks(task, step.Count)
}

// stepTasks returns count tasks of a task's step.
func stepTasks(task batch.TaskID, count int) []batch.TaskID {
	all := make([]batch.TaskID, count)
	for n := range all {
		all[n] = task
		all[n].Index = n
	}
	return all
}

// jobTasks returns the tasks of all occurrences of a job.
func (c *Checker) jobTasks(job string) []batch.TaskID {
	var all []batch.TaskID
	j := c.jobs[job]
	for o := range j.Occurrences() {
		for s := range j.Steps {
			all = append(all, stepTasks(batch.TaskID{Job: job, Occurrence: o, Step: s}, j.Steps[s].Count)...)
		}
	}
	return all
}
