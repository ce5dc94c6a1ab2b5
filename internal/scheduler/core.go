// Package scheduler places the tasks of multi-step jobs on the workers of all regions. One entry, the leader, runs it.
//
// Core is a state machine without I/O: it is told what was accepted, what workers report and how the clock moves, and
// returns records to write and orders to send. An assignment is recorded before its order is sent, and an end is
// recorded before the worker forgets it, so that the next leader knows where each task may run. Service connects the
// core to the store and the agents.
package scheduler

import (
	"slices"
	"time"

	"k8s.io/klog/v2"

	"masticcart.example/masticcart/internal/batch"
	"masticcart.example/masticcart/internal/kvstore"
)

// Config holds the bounds of a deployment that the core has to keep.
type Config struct {
	// Lease is how long a worker keeps what it runs without a new grant, on its own clock.
	Lease time.Duration
	// MaxLease is the longest lease that a worker accepts.
	MaxLease time.Duration
	// TakeoverWait is how long a new leader waits for a worker that it has not reached before it takes the worker's
	// tasks as ended: the time for which a leader before it may still have extended the lease, and the lease.
	TakeoverWait time.Duration
	// StopTimeout is the longest that a worker takes to stop a task.
	StopTimeout time.Duration
	// GangWait is how long members of a gang wait for the others.
	GangWait time.Duration
	// RemoteFactor is how many times as long tasks take away from their data or spread over racks.
	RemoteFactor float64
	// FinalStateRetention is how long the state of a finished job is kept.
	FinalStateRetention time.Duration
	// RestoreTime is how long a task takes to resume from a checkpoint.
	RestoreTime time.Duration
}

// clockTolerance allows for a worker's clock that is 2% slow.
const clockTolerance = 1.02

// Limits and pauses of the core.
const (
	// leaseMargin is added to the computed end of a lease, for the time that a kill takes.
	leaseMargin = 300 * time.Millisecond
	// freshFor is the age up to which a report makes its worker eligible for new tasks.
	freshFor = 2500 * time.Millisecond
	// retryPause keeps a task that a worker refused from being offered again at once.
	retryPause = 150 * time.Millisecond
	// stopRepeat is the time after which an order to stop that has had no effect is sent again.
	stopRepeat = 500 * time.Millisecond
	// missingReports is the number of reports in a row without a confirmed run after which it is taken as lost.
	missingReports = 2
)

// Core is the state of the scheduler. It is not safe for concurrent use.
type Core struct {
	config  Config
	catalog *batch.Catalog
	jobs    map[string]*job
	order   []*job // those of all that are open
	all     []*job // jobs in the order in which they were learned of
	workers map[string]*worker
	fleet   []*worker            // workers in the order of their nodes, so that equal states lead to equal decisions
	cancels map[string]bool      // cancellations that came before their jobs
	started time.Duration        // when this leader took over
	outbox  []Order              // orders that need no record
	learned map[string]*duration // by queue
	claims  map[*stepRun]*claim
	urgent  demand
	batches []*WriteBatch // taken and not committed, in the order in which they were taken
	changed bool          // something may be placed that could not before
	planned time.Duration
	// planAfter is the earliest time of the next plan.
	planAfter time.Duration
	saved     time.Duration // when checkpoints were recorded last
	stats     Stats
}

// Stats counts decisions since the leader took over.
type Stats struct {
	Started, Refused, Preempted, Lost, Failed, Done, Moved int64
}

// NewCore returns a core that knows no jobs and no workers.
func NewCore(config Config, now time.Duration) *Core {
	return &Core{config: config, jobs: map[string]*job{}, workers: map[string]*worker{}, cancels: map[string]bool{},
		claims: map[*stepRun]*claim{}, started: now, catalog: &batch.Catalog{}, learned: map[string]*duration{}}
}

// Stats returns the counts of decisions.
func (c *Core) Stats() Stats { return c.stats }

// SetCatalog replaces the configuration. An older version is ignored.
func (c *Core) SetCatalog(catalog *batch.Catalog) {
	if catalog.Version >= c.catalog.Version {
		c.catalog = catalog
		c.changed = true
	}
}

// queue returns the queue of a job as it is configured now, or as it was when the job was accepted.
func (c *Core) queue(j *job) *batch.Queue {
	if q := c.catalog.Queue(j.Queue.Name); q != nil {
		return q
	}
	return &j.Queue
}

// HasJob reports whether a job was added and not forgotten since.
func (c *Core) HasJob(id string) bool { return c.jobs[id] != nil }

// AddJob takes an accepted job. A nil record means that it has none. A job that is known already is left as it is.
func (c *Core) AddJob(b batch.Job, record []byte, revision kvstore.Revision, now time.Duration, wall time.Time) error {
	if c.jobs[b.ID] != nil {
		return nil
	}
	j := newJob(b, now, wall)
	if record != nil {
		if err := j.restore(record, revision, now); err != nil {
			return err
		}
	}
	c.jobs[b.ID] = j
	c.all = append(c.all, j)
	if !j.state.Final() {
		c.order = append(c.order, j)
		if c.queue(j).Priority == 0 {
			c.urgent.observe(j)
		}
		c.openDue(j, now, wall)
	}
	if c.cancels[b.ID] {
		c.Cancel(b.ID, now, wall)
	}
	j.each(func(t *task) {
		if t.active() {
			c.worker(t.node, now).tasks[t] = struct{}{}
		}
	})
	c.changed = true
	return nil
}

// Cancel ends a job at its caller's wish. It returns false if the job was over or its cancellation known.
func (c *Core) Cancel(id string, now time.Duration, wall time.Time) bool {
	j := c.jobs[id]
	if j == nil {
		news := !c.cancels[id]
		c.cancels[id] = true
		return news
	}
	if j.state.Final() || j.state == forgotten {
		return false
	}
	c.finish(j, batch.Cancelled, now, wall)
	return true
}

// finish moves a job to a final state and stops what runs.
func (c *Core) finish(j *job, state batch.State, now time.Duration, wall time.Time) {
	klog.InfoS("Job finished", "job", j.ID, "state", state, "before", j.state, "queue", j.Queue.Name,
		"waitedMs", j.waited(now).Milliseconds(), "objectiveMs", c.objective(j).Milliseconds(), "priority", c.queue(j).Priority)
	j.state, j.finishedAt, j.dirty = state, wall, true
	j.each(func(t *task) {
		switch t.phase {
		case assigned:
			c.stop(t, "job "+string(state), now)
		case waiting:
			t.phase = done
		}
	})
	c.order = slices.DeleteFunc(c.order, func(o *job) bool { return o == j })
	c.changed = true
}

// openDue makes the tasks of the occurrences that are due.
func (c *Core) openDue(j *job, now time.Duration, wall time.Time) {
	for j.next < j.Occurrences() && !wall.Before(j.Due(j.next)) {
		o := j.open(j.next)
		j.next++
		j.dirty = true
		c.changed = true
		klog.V(1).InfoS("Occurrence due", "job", j.ID, "occurrence", o.number, "steps", len(o.steps), "now", now)
	}
}

// Tick moves the clock: it ends what has expired, repeats orders without effect and plans.
func (c *Core) Tick(now time.Duration, wall time.Time) {
	for _, j := range c.order {
		c.openDue(j, now, wall)
	}
	for _, w := range c.fleet {
		c.check(w, now)
	}
	c.forget(wall)
	c.save(now)
	if c.changed && now >= c.planAfter || now-c.planned >= planInterval {
		c.changed = false
		c.planned = now
		began := time.Now()
		c.plan(now)
		c.planAfter = now + min(time.Duration(float64(time.Since(began))*planPause), planInterval/2)
	}
}

// planPause is the least time between two plans as a multiple of the time that the last one took, so that planning leaves
// the processor to reports and orders.
const planPause = 4

// PlanDue returns how long a plan that is called for has to wait, and whether one is.
func (c *Core) PlanDue(now time.Duration) (time.Duration, bool) {
	return c.planAfter - now, c.changed
}

// saveInterval is the pace at which checkpoints are recorded, so that they outlive their worker and this process.
const saveInterval = time.Second

// save marks the jobs with new checkpoints to be written.
func (c *Core) save(now time.Duration) {
	if now-c.saved < saveInterval {
		return
	}
	c.saved = now
	for _, j := range c.order {
		j.dirty = j.dirty || j.unsaved
		j.unsaved = false
	}
}

// forget removes finished jobs whose state has been kept for long enough.
func (c *Core) forget(wall time.Time) {
	for _, j := range c.all {
		if j.state.Final() && !j.dirty && !j.writing && wall.Sub(j.finishedAt) > c.config.FinalStateRetention && j.idle() {
			j.dirty = true
			j.state = forgotten
		}
	}
}

// forgotten marks a job whose keys are being removed.
const forgotten batch.State = "forgotten"

// idle reports whether no task of the job occupies a worker.
func (j *job) idle() bool {
	idle := true
	j.each(func(t *task) { idle = idle && !t.active() })
	return idle
}

// DrainOrders returns the orders that can be sent at once.
func (c *Core) DrainOrders() []Order {
	o := c.outbox
	c.outbox = nil
	return o
}

// NextBatch returns the changes to write next, at most limit, or nil. Several batches may be under way: the jobs of one are
// left out of the others.
func (c *Core) NextBatch(limit int) (*WriteBatch, error) {
	b := &WriteBatch{forget: map[string]mark{}}
	all := true
	for _, j := range c.all {
		if !j.dirty {
			continue
		}
		if j.writing || len(b.Changes) == limit {
			all = false
			continue
		}
		change := RecordChange{Job: j.ID, Expect: j.revision, State: j.state, Delete: j.state == forgotten}
		if !change.Delete {
			record, err := j.record()
			if err != nil {
				return nil, err
			}
			change.Record = record
		}
		b.Changes = append(b.Changes, change)
		b.orders = append(b.orders, j.orders...)
		j.orders, j.dirty, j.writing = nil, false, true
	}
	if all { // ends of jobs that are left out must not be forgotten yet
		for _, w := range c.fleet {
			if w.seenEnd > w.forgetEnd {
				b.forget[w.node] = mark{w.life(), w.seenEnd}
			}
		}
	}
	if len(b.Changes) == 0 && len(b.forget) == 0 {
		return nil, nil
	}
	c.batches = append(c.batches, b)
	if len(b.Changes) == 0 {
		b.committed = true
		c.remember()
		return nil, nil
	}
	return b, nil
}

// ApplyCommit takes note that a batch was written at a revision and returns the orders that may be sent now.
func (c *Core) ApplyCommit(b *WriteBatch, revision kvstore.Revision, now time.Duration) []Order {
	for _, change := range b.Changes {
		j := c.jobs[change.Job]
		if j == nil {
			continue
		}
		j.writing = false
		if change.Delete {
			delete(c.jobs, j.ID)
			c.all = slices.DeleteFunc(c.all, func(o *job) bool { return o == j })
			delete(c.cancels, j.ID)
			continue
		}
		j.revision, j.recorded = revision, change.State
	}
	b.committed = true
	c.remember()
	orders := b.orders[:0]
	for _, o := range b.orders {
		if t := c.current(o); t != nil && t.phase == assigned {
			t.assignedAt, t.ordered = now, true
			orders = append(orders, o)
		}
	}
	return orders
}

// remember lets workers forget the ends that are recorded: those of a batch that is committed, with all before it.
func (c *Core) remember() {
	for len(c.batches) > 0 && c.batches[0].committed {
		for node, m := range c.batches[0].forget {
			if w := c.workers[node]; w != nil && m.life == w.life() {
				w.forgetEnd = max(w.forgetEnd, m.end)
			}
		}
		c.batches = c.batches[1:]
	}
}

// current returns the task of an order if the order is for its present run and worker.
func (c *Core) current(o Order) *task {
	j := c.jobs[o.Task.Job]
	if j == nil {
		return nil
	}
	t := j.find(o.Task)
	if t == nil || t.run != o.Run || t.node != o.Node || t.life != o.Incarnation || !t.active() {
		return nil
	}
	return t
}

// RecordedState returns the recorded state of a job, and whether the core knows it.
func (c *Core) RecordedState(id string) (batch.State, bool) {
	j := c.jobs[id]
	if j == nil || j.recorded == forgotten || j.state == forgotten {
		return "", false
	}
	return j.recorded, true
}

// PendingByQueue returns, for each queue, the number of jobs of which no task has started.
func (c *Core) PendingByQueue() map[string]int {
	n := map[string]int{}
	for _, j := range c.order {
		if !j.started {
			n[j.Queue.Name]++
		}
	}
	return n
}
