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

// clockDriftFactor allows for a worker's clock that is 2% slow.
const clockDriftFactor = 1.02

// Limits and pauses of the core.
const (
	// killMargin is added to the computed end of a lease, for the time that a kill takes.
	killMargin = 300 * time.Millisecond
	// maxReportAge is the age up to which a report makes its worker eligible for new tasks.
	maxReportAge = 2500 * time.Millisecond
	// startRetryDelay keeps a task that a worker refused from being offered again at once.
	startRetryDelay = 150 * time.Millisecond
	// stopResendInterval is the time after which an order to stop that has had no effect is sent again.
	stopResendInterval = 500 * time.Millisecond
	// maxMissingReports is the number of reports in a row without a confirmed run after which it is taken as lost.
	maxMissingReports = 2
)

// Core is the state of the scheduler. It is not safe for concurrent use.
type Core struct {
	config        Config
	catalog       *batch.Catalog
	jobs          map[string]*job
	openJobs      []*job // those of all that are open
	allJobs       []*job // jobs in the order in which they were learned of
	workers       map[string]*worker
	sortedWorkers []*worker                 // workers in the order of their nodes, so that equal states lead to equal decisions
	earlyCancels  map[string]bool           // cancellations that came before their jobs
	startedAt     time.Duration             // when this leader took over
	outbox        []Order                   // orders that need no record
	durations     map[string]*durationStats // by queue
	claims        map[*stepInstance]*claim
	urgentDemand  accelDemand
	inFlight      []*WriteBatch // taken and not committed, in the order in which they were taken
	planNeeded    bool          // something may be placed that could not before
	plannedAt     time.Duration
	// earliestPlan is the earliest time of the next plan.
	earliestPlan       time.Duration
	checkpointsSavedAt time.Duration // when checkpoints were recorded last
	stats              Stats
}

// Stats counts decisions since the leader took over.
type Stats struct {
	Started, Refused, Preempted, Lost, Failed, Done, Moved int64
}

// NewCore returns a core that knows no jobs and no workers.
func NewCore(config Config, now time.Duration) *Core {
	return &Core{config: config, jobs: map[string]*job{}, workers: map[string]*worker{}, earlyCancels: map[string]bool{},
		claims: map[*stepInstance]*claim{}, startedAt: now, catalog: &batch.Catalog{}, durations: map[string]*durationStats{}}
}

// Stats returns the counts of decisions.
func (c *Core) Stats() Stats { return c.stats }

// SetCatalog replaces the configuration. An older version is ignored.
func (c *Core) SetCatalog(catalog *batch.Catalog) {
	if catalog.Version >= c.catalog.Version {
		c.catalog = catalog
		c.planNeeded = true
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
	c.allJobs = append(c.allJobs, j)
	if !j.state.Final() {
		c.openJobs = append(c.openJobs, j)
		if c.queue(j).Priority == 0 {
			c.urgentDemand.addJob(j)
		}
		c.openDueOccurrences(j, now, wall)
	}
	if c.earlyCancels[b.ID] {
		c.Cancel(b.ID, now, wall)
	}
	j.forEachTask(func(t *task) {
		if t.active() {
			c.worker(t.node, now).tasks[t] = struct{}{}
		}
	})
	c.planNeeded = true
	return nil
}

// Cancel ends a job at its caller's wish. It returns false if the job was over or its cancellation known.
func (c *Core) Cancel(id string, now time.Duration, wall time.Time) bool {
	j := c.jobs[id]
	if j == nil {
		added := !c.earlyCancels[id]
		c.earlyCancels[id] = true
		return added
	}
	if j.state.Final() || j.state == stateDeleted {
		return false
	}
	c.finish(j, batch.Cancelled, now, wall)
	return true
}

// finish moves a job to a final state and stops what runs.
func (c *Core) finish(j *job, state batch.State, now time.Duration, wall time.Time) {
	klog.InfoS("Job finished", "job", j.ID, "state", state, "before", j.state, "queue", j.Queue.Name,
		"waitedMs", j.age(now).Milliseconds(), "objectiveMs", c.objective(j).Milliseconds(), "priority", c.queue(j).Priority)
	j.state, j.finishedAt, j.dirty = state, wall, true
	j.forEachTask(func(t *task) {
		switch t.phase {
		case assigned:
			c.stopRun(t, "job "+string(state), now)
		case waiting:
			t.phase = done
		}
	})
	c.openJobs = slices.DeleteFunc(c.openJobs, func(o *job) bool { return o == j })
	c.planNeeded = true
}

// openDueOccurrences makes the tasks of the occurrences that are due.
func (c *Core) openDueOccurrences(j *job, now time.Duration, wall time.Time) {
	for j.nextOccurrence < j.Occurrences() && !wall.Before(j.Due(j.nextOccurrence)) {
		o := j.openOccurrence(j.nextOccurrence)
		j.nextOccurrence++
		j.dirty = true
		c.planNeeded = true
		klog.V(1).InfoS("Occurrence due", "job", j.ID, "occurrence", o.number, "steps", len(o.steps), "now", now)
	}
}

// Tick moves the clock: it ends what has expired, repeats orders without effect and plans.
func (c *Core) Tick(now time.Duration, wall time.Time) {
	for _, j := range c.openJobs {
		c.openDueOccurrences(j, now, wall)
	}
	for _, w := range c.sortedWorkers {
		c.checkWorker(w, now)
	}
	c.expireJobs(wall)
	c.markCheckpointsDirty(now)
	if c.planNeeded && now >= c.earliestPlan || now-c.plannedAt >= planInterval {
		c.planNeeded = false
		c.plannedAt = now
		planStart := time.Now()
		c.plan(now)
		c.earliestPlan = now + min(time.Duration(float64(time.Since(planStart))*planPauseFactor), planInterval/2)
	}
}

// planPauseFactor is the least time between two plans as a multiple of the time that the last one took, so that planning leaves
// the processor to reports and orders.
const planPauseFactor = 4

// PlanDue returns how long a plan that is called for has to wait, and whether one is.
func (c *Core) PlanDue(now time.Duration) (time.Duration, bool) {
	return c.earliestPlan - now, c.planNeeded
}

// checkpointInterval is the pace at which checkpoints are recorded, so that they outlive their worker and this process.
const checkpointInterval = time.Second

// markCheckpointsDirty marks the jobs with new checkpoints to be written.
func (c *Core) markCheckpointsDirty(now time.Duration) {
	if now-c.checkpointsSavedAt < checkpointInterval {
		return
	}
	c.checkpointsSavedAt = now
	for _, j := range c.openJobs {
		j.dirty = j.dirty || j.checkpointUnsaved
		j.checkpointUnsaved = false
	}
}

// expireJobs removes finished jobs whose state has been kept for long enough.
func (c *Core) expireJobs(wall time.Time) {
	for _, j := range c.allJobs {
		if j.state.Final() && !j.dirty && !j.writing && wall.Sub(j.finishedAt) > c.config.FinalStateRetention && j.idle() {
			j.dirty = true
			j.state = stateDeleted
		}
	}
}

// stateDeleted marks a job whose keys are being removed.
const stateDeleted batch.State = "forgotten"

// idle reports whether no task of the job occupies a worker.
func (j *job) idle() bool {
	idle := true
	j.forEachTask(func(t *task) { idle = idle && !t.active() })
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
	b := &WriteBatch{acks: map[string]endAck{}}
	complete := true
	for _, j := range c.allJobs {
		if !j.dirty {
			continue
		}
		if j.writing || len(b.Changes) == limit {
			complete = false
			continue
		}
		change := RecordChange{Job: j.ID, Expect: j.revision, State: j.state, Delete: j.state == stateDeleted}
		if !change.Delete {
			record, err := j.record()
			if err != nil {
				return nil, err
			}
			change.Record = record
		}
		b.Changes = append(b.Changes, change)
		b.orders = append(b.orders, j.pendingOrders...)
		j.pendingOrders, j.dirty, j.writing = nil, false, true
	}
	if complete { // ends of jobs that are left out must not be forgotten yet
		for _, w := range c.sortedWorkers {
			if w.lastEnd > w.recordedEnd {
				b.acks[w.node] = endAck{w.incarnation(), w.lastEnd}
			}
		}
	}
	if len(b.Changes) == 0 && len(b.acks) == 0 {
		return nil, nil
	}
	c.inFlight = append(c.inFlight, b)
	if len(b.Changes) == 0 {
		b.committed = true
		c.ackRecordedEnds()
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
			c.allJobs = slices.DeleteFunc(c.allJobs, func(o *job) bool { return o == j })
			delete(c.earlyCancels, j.ID)
			continue
		}
		j.revision, j.recordedState = revision, change.State
	}
	b.committed = true
	c.ackRecordedEnds()
	orders := b.orders[:0]
	for _, o := range b.orders {
		if t := c.currentTask(o); t != nil && t.phase == assigned {
			t.assignedAt, t.startSent = now, true
			orders = append(orders, o)
		}
	}
	return orders
}

// ackRecordedEnds lets workers forget the ends that are recorded: those of a batch that is committed, with all before it.
func (c *Core) ackRecordedEnds() {
	for len(c.inFlight) > 0 && c.inFlight[0].committed {
		for node, m := range c.inFlight[0].acks {
			if w := c.workers[node]; w != nil && m.incarnation == w.incarnation() {
				w.recordedEnd = max(w.recordedEnd, m.end)
			}
		}
		c.inFlight = c.inFlight[1:]
	}
}

// currentTask returns the task of an order if the order is for its present run and worker.
func (c *Core) currentTask(o Order) *task {
	j := c.jobs[o.Task.Job]
	if j == nil {
		return nil
	}
	t := j.findTask(o.Task)
	if t == nil || t.run != o.Run || t.node != o.Node || t.incarnation != o.Incarnation || !t.active() {
		return nil
	}
	return t
}

// RecordedState returns the recorded state of a job, and whether the core knows it.
func (c *Core) RecordedState(id string) (batch.State, bool) {
	j := c.jobs[id]
	if j == nil || j.recordedState == stateDeleted || j.state == stateDeleted {
		return "", false
	}
	return j.recordedState, true
}

// PendingByQueue returns, for each queue, the number of jobs of which no task has started.
func (c *Core) PendingByQueue() map[string]int {
	n := map[string]int{}
	for _, j := range c.openJobs {
		if !j.started {
			n[j.Queue.Name]++
		}
	}
	return n
}
