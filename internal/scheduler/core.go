// Package scheduler places the tasks of multi-step jobs on the workers of all regions. It runs in one entry, the
// leader.
//
// Core is a state machine without I/O: its inputs are accepted jobs, reports of workers and clock readings, its outputs
// are records to write and orders to send. An assignment is recorded before its order is sent, and the end of a run is
// recorded before it is acknowledged to the worker, so that the next leader knows where each task may run. Service
// connects the core to the store and the agents.
package scheduler

import (
	"slices"
	"time"

	"k8s.io/klog/v2"

	"masticcart.example/masticcart/internal/batch"
	"masticcart.example/masticcart/internal/evacuation"
	"masticcart.example/masticcart/internal/kvstore"
	"masticcart.example/masticcart/internal/scheduler/jobmemory"
	"masticcart.example/masticcart/internal/scheduler/speed"
)

// Config holds the timing limits of the workers and the retention of jobs.
type Config struct {
	// Lease is the time, on the worker's own clock, after which a worker stops its tasks if the lease is not extended.
	Lease time.Duration
	// MaxLease is the longest lease that a worker accepts.
	MaxLease time.Duration
	// TakeoverWait is how long a new leader waits for a worker that it has not reached before it takes the worker's
	// tasks as lost. It covers the time in which the previous leader may still have extended the lease, and the lease.
	TakeoverWait time.Duration
	// StopTimeout is the longest time that a worker takes to stop a task.
	StopTimeout time.Duration
	// GangWait is how long the members of a gang wait for the others to start.
	GangWait time.Duration
	// RemoteFactor is the factor by which tasks take longer away from their data or spread over several racks.
	RemoteFactor float64
	// FinalStateRetention is how long the state of a finished job is kept.
	FinalStateRetention time.Duration
	// RestoreTime is how long a task takes to resume from a checkpoint.
	RestoreTime time.Duration
	// EvacuationBound is the time from the acknowledgement of a request to evacuate a data centre after which nothing may
	// start there. Zero means that the deployment does not use such requests.
	EvacuationBound time.Duration
	// ColdOverage and ColdSlack limit the runs on a worker that is still slow after its start: to ColdOverage times the mean
	// number of runs on the warm workers of its service, plus ColdSlack. Both zero means no limit.
	ColdOverage, ColdSlack float64
	// JobMemory is the memory in bytes that accepted jobs may take. Zero means no limit.
	JobMemory int64
}

// clockDriftFactor allows for a worker's clock that runs 2% slow.
const clockDriftFactor = 1.02

// Limits and delays of the core.
const (
	// killMargin is added to the end of a lease for the time that killing the tasks takes.
	killMargin = 300 * time.Millisecond
	// maxReportAge is the age of the last report above which a worker gets no new tasks.
	maxReportAge = 2500 * time.Millisecond
	// startRetryDelay is the delay before a task that a worker refused is placed again, and before an unanswered start
	// is sent again.
	startRetryDelay = 150 * time.Millisecond
	// stopResendInterval is the time after which a stop order without effect is sent again.
	stopResendInterval = 500 * time.Millisecond
	// maxMissedReports is the number of consecutive reports that do not list a confirmed run after which the run is
	// stopped.
	maxMissedReports = 2
)

// Core is the state of the scheduler. It is not safe for concurrent use.
type Core struct {
	config        Config
	catalog       *batch.Catalog
	jobs          map[string]*job
	openJobs      []*job // the jobs of allJobs that are not in a final state
	allJobs       []*job // in the order in which the leader learned of them
	workers       map[string]*worker
	sortedWorkers []*worker // by node, so that equal states lead to equal decisions
	// earlyCancels holds the cancellations of jobs that the core does not have, with the time when it learned of them: they
	// came before their jobs, or the jobs were never stored.
	earlyCancels  map[string]time.Duration
	unusedCancels []string                  // those of earlyCancels that are to be deleted
	startedAt     time.Duration             // when this leader took over
	inherited     *handover                 // by the previous leader; nil if it did not resign
	outbox        []Order                   // orders that need no record
	durations     map[string]*durationStats // by queue
	claims        map[*stepInstance]*claim
	predictions   map[string]*prediction // by queue
	urgentDemand  accelDemand
	inFlight      []*WriteBatch // uncommitted batches, and later ones that wait for them; oldest first
	planNeeded    bool          // something has changed that may allow a new placement
	plannedAt     time.Duration
	// earliestPlan delays the next plan according to planPauseFactor.
	earliestPlan       time.Duration
	checkpointsSavedAt time.Duration // when jobs with new checkpoints were last marked for writing
	stats              Stats
	lostWork           map[LossCause]float64 // core-seconds
	suspects           map[*task]struct{}    // tasks with crashes or unresolved losses
	rules              rules
	yielded            map[string]float64 // core-seconds lost by preemption for other teams, by team
	evacuations        evacuation.View
	startsHeld         bool                      // nothing may start, see mayStart
	speedTrackers      map[string]*speed.Tracker // by service
	lastColdUntil      time.Duration             // when all workers that were announced as cold are warm
	missingGuarantees  int                       // see noteMissingGuarantees
	evacuationStatus   evacuationStatus
	memory             *jobmemory.Account
}

// Stats counts events of runs and tasks since the leader took over.
type Stats struct {
	Started, Refused, Preempted, Lost, Failed, Done, Moved int64
	Crashed                                                int64 // workers
	GivenUp                                                int64 // tasks that crash their workers
	RestartedLate                                          int64 // runs, or those of a gang, see restartLateRuns
	Relocated                                              int64 // runs stopped to leave an evacuated data centre
	// PermissionsExpired counts how often starts were held because requests to evacuate were not confirmed in time.
	PermissionsExpired int64
}

// NewCore returns a core without jobs and workers.
func NewCore(config Config, now time.Duration) *Core {
	return &Core{config: config, jobs: map[string]*job{}, workers: map[string]*worker{},
		earlyCancels: map[string]time.Duration{}, claims: map[*stepInstance]*claim{}, startedAt: now, catalog: &batch.Catalog{},
		durations: map[string]*durationStats{}, lostWork: map[LossCause]float64{},
		suspects: map[*task]struct{}{}, speedTrackers: map[string]*speed.Tracker{}, rules: policyRules,
		predictions: map[string]*prediction{}, yielded: map[string]float64{},
		memory: jobmemory.New(config.JobMemory)}
}

// Stats returns the number of events of runs and tasks by kind.
func (c *Core) Stats() Stats { return c.stats }

// SetCatalog replaces the configuration. An older version is ignored.
func (c *Core) SetCatalog(catalog *batch.Catalog) {
	if catalog.Version >= c.catalog.Version {
		c.catalog = catalog
		c.planNeeded = true
	}
}

// queue returns the present configuration of a job's queue, or the one at acceptance if the queue was removed.
func (c *Core) queue(j *job) *batch.Queue {
	if q := c.catalog.Queue(j.Queue.Name); q != nil {
		return q
	}
	return &j.Queue
}

// HasJob reports whether the core has a job.
func (c *Core) HasJob(id string) bool { return c.jobs[id] != nil }

// AddJob adds an accepted job with its record, nil if there is none. It does nothing if the core has the job. It
// returns an error if the record does not match the job.
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
	c.memory.Add(&j.Job)
	c.memory.Resize(j.Team, 0, j.openTasks)
	if !j.state.Final() {
		c.openJobs = append(c.openJobs, j)
		if c.queue(j).Priority == 0 {
			c.urgentDemand.addJob(j)
		}
		c.openDueOccurrences(j, now, wall)
	}
	if _, ok := c.earlyCancels[b.ID]; ok {
		c.Cancel(b.ID, now, wall)
	}
	j.forEachTask(func(t *task) {
		if t.active() {
			c.worker(t.node, now).tasks[t] = struct{}{}
		}
		if t.crashes() > 0 || len(t.crash.Unresolved) > 0 {
			c.suspects[t] = struct{}{}
		}
	})
	c.planNeeded = true
	return nil
}

// Cancel cancels a job on behalf of its caller. It returns false if the job is in a final state or the cancellation is
// already known.
func (c *Core) Cancel(id string, now time.Duration, wall time.Time) bool {
	j := c.jobs[id]
	if j == nil {
		_, known := c.earlyCancels[id]
		if !known {
			c.earlyCancels[id] = now
		}
		return !known
	}
	if j.state.Final() || j.state == stateDeleted {
		return false
	}
	c.finish(j, batch.Cancelled, now, wall)
	return true
}

// finish moves a job to a final state and stops its runs.
func (c *Core) finish(j *job, state batch.State, now time.Duration, wall time.Time) {
	klog.InfoS("Job finished", "job", j.ID, "state", state, "before", j.state, "queue", j.Queue.Name,
		"waitedMs", j.age(now).Milliseconds(), "objectiveMs", c.objective(j).Milliseconds(),
		"priority", c.queue(j).Priority)
	j.state, j.finishedAt, j.dirty = state, wall, true
	j.forEachTask(func(t *task) {
		switch t.phase {
		case assigned:
			c.stopRun(t, finalLossCause(state), "job "+string(state), now)
		case waiting:
			t.phase = done
		}
	})
	c.openJobs = slices.DeleteFunc(c.openJobs, func(o *job) bool { return o == j })
	c.planNeeded = true
}

// openDueOccurrences creates the tasks of the occurrences that are due, as far as there is memory for them.
func (c *Core) openDueOccurrences(j *job, now time.Duration, wall time.Time) {
	j.waitsForMemory = false
	for j.nextOccurrence < j.Occurrences() && !wall.Before(j.Due(j.nextOccurrence)) {
		if !c.memory.MayOpen(jobmemory.Occurrence{Team: j.Team, Urgent: c.queue(j).Priority == 0, Tasks: j.Tasks(),
			OpenTasks: j.openTasks, OpenOccurrences: len(j.occurrences)}) {
			j.waitsForMemory = true
			return
		}
		before := j.openTasks
		o := j.openOccurrence(j.nextOccurrence)
		c.memory.Resize(j.Team, before, j.openTasks)
		j.nextOccurrence++
		j.dirty = true
		c.planNeeded = true
		klog.V(1).InfoS("Occurrence due", "job", j.ID, "occurrence", o.number, "steps", len(o.steps), "now", now)
	}
}

// Tick advances the clock: it opens due occurrences, handles expired leases, resends orders without effect and plans.
func (c *Core) Tick(now time.Duration, wall time.Time) {
	for _, j := range c.openJobs {
		c.openDueOccurrences(j, now, wall)
	}
	for _, w := range c.sortedWorkers {
		c.checkWorker(w, now)
	}
	c.giveUpCrashingTasks(now, wall)
	c.expireJobs(wall)
	c.expireCancels(now)
	c.markCheckpointsDirty(now)
	c.updateEvacuationStatus(now)
	if c.planNeeded && now >= c.earliestPlan || now-c.plannedAt >= planInterval {
		c.planNeeded = false
		c.plannedAt = now
		planStart := time.Now()
		c.plan(now)
		c.earliestPlan = now + min(time.Duration(float64(time.Since(planStart))*planPauseFactor), planInterval/2)
	}
}

// planPauseFactor is the least time between two plans as a multiple of the time that the last one took, limited to half
// of planInterval. It leaves CPU time to reports and orders.
const planPauseFactor = 4

// PlanDue returns the delay until the next plan may run, and whether one is needed.
func (c *Core) PlanDue(now time.Duration) (time.Duration, bool) {
	return c.earliestPlan - now, c.planNeeded
}

// checkpointInterval is the interval at which new checkpoints are recorded, so that they survive the loss of the worker
// and of this process.
const checkpointInterval = time.Second

// markCheckpointsDirty marks the jobs with new checkpoints for writing.
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

// closeOccurrence removes the tasks of an occurrence, none of which occupies a worker any more.
func (c *Core) closeOccurrence(o *occurrence) {
	j := o.job
	delete(j.occurrences, o.number)
	before := j.openTasks
	j.openTasks -= j.Tasks()
	c.memory.Resize(j.Team, before, j.openTasks)
}

// expireJobs removes the tasks of finished jobs, and marks the jobs for deletion once their retention time has passed.
func (c *Core) expireJobs(wall time.Time) {
	for _, j := range c.allJobs {
		if !j.state.Final() || j.dirty || j.writing {
			continue
		}
		for _, o := range j.occurrences {
			if !o.active() {
				c.closeOccurrence(o)
			}
		}
		if len(j.occurrences) == 0 && wall.Sub(j.finishedAt) > c.config.FinalStateRetention {
			j.dirty = true
			j.state = stateDeleted
		}
	}
}

// stateDeleted is the state of a job whose keys are being deleted.
const stateDeleted batch.State = "forgotten"

// running reports whether a run of the job is in progress, or is being stopped after it was. A gang runs once all of its
// members have started.
func (j *job) running() bool {
	running := false
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			running = running || s.running()
		}
	}
	return running
}

// idle reports whether no task of the job occupies a worker.
func (j *job) idle() bool {
	idle := true
	j.forEachTask(func(t *task) { idle = idle && !t.active() })
	return idle
}

// DrainOrders removes and returns the orders that can be sent at once.
func (c *Core) DrainOrders() []Order {
	o := c.outbox
	c.outbox = nil
	return o
}

// NextBatch returns the next batch of at most limit changes, or nil if there is nothing to write. Several batches may
// be in flight: a job in one of them is not part of another.
func (c *Core) NextBatch(limit int) (*WriteBatch, error) {
	b := &WriteBatch{}
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
	if complete { // ended runs of jobs that are left out must not be acknowledged yet
		for _, w := range c.sortedWorkers {
			for _, a := range w.ends.Unrecorded() {
				b.acks = append(b.acks, endAck{w.node, a})
			}
		}
	}
	c.deleteUnusedCancels(b, limit)
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

// deleteUnusedCancels adds the deletion of cancellations whose jobs were not stored within the retention time of a finished
// job. Until then they keep the jobs from being stored by a delayed or repeated submission.
func (c *Core) deleteUnusedCancels(b *WriteBatch, limit int) {
	for len(c.unusedCancels) > 0 && len(b.Changes) < limit {
		id := c.unusedCancels[0]
		c.unusedCancels = c.unusedCancels[1:]
		if c.jobs[id] != nil {
			continue
		}
		klog.InfoS("Deleting cancellation of a job that was not stored", "job", id)
		b.Changes = append(b.Changes, RecordChange{Job: id, DeleteCancel: true})
		delete(c.earlyCancels, id) // a job that is stored from now on is not cancelled
	}
}

// expireCancels finds the cancellations that deleteUnusedCancels deletes.
func (c *Core) expireCancels(now time.Duration) {
	if len(c.unusedCancels) > 0 {
		return
	}
	for id, learnedAt := range c.earlyCancels {
		if c.jobs[id] == nil && now-learnedAt > c.config.FinalStateRetention {
			c.unusedCancels = append(c.unusedCancels, id)
		}
	}
	slices.Sort(c.unusedCancels)
}

// ApplyCommit applies the commit of a batch at a revision and returns the orders that may be sent now.
func (c *Core) ApplyCommit(b *WriteBatch, revision kvstore.Revision, now time.Duration) []Order {
	for _, change := range b.Changes {
		j := c.jobs[change.Job]
		if j == nil {
			continue
		}
		j.writing = false
		if change.Delete {
			delete(c.jobs, j.ID)
			c.memory.Remove(&j.Job)
			c.allJobs = slices.DeleteFunc(c.allJobs, func(o *job) bool { return o == j })
			delete(c.earlyCancels, j.ID)
			continue
		}
		j.revision, j.recordedState = revision, change.State
	}
	b.committed = true
	c.ackRecordedEnds()
	return c.sendableOrders(b.orders, now)
}

// sendableOrders returns the start orders that may be sent now that their assignments are recorded. Starts that their
// workers cannot take any more are withdrawn.
func (c *Core) sendableOrders(recorded []Order, now time.Duration) []Order {
	for _, o := range recorded {
		if t := c.currentTask(o); t != nil && t.phase == assigned {
			if reason := c.rejectReason(c.workers[t.node], t, now); reason != "" {
				c.withdrawStart(t, reason, now)
			}
		}
	}
	orders := recorded[:0]
	for _, o := range recorded {
		if t := c.currentTask(o); t != nil && t.phase == assigned {
			t.assignedAt, t.startSent = now, true
			orders = append(orders, o)
		}
	}
	return orders
}

// ackRecordedEnds acknowledges the ended runs of committed batches to the workers. It stops at the first uncommitted
// batch, since acknowledgements are cumulative.
func (c *Core) ackRecordedEnds() {
	for len(c.inFlight) > 0 && c.inFlight[0].committed {
		for _, a := range c.inFlight[0].acks {
			if w := c.workers[a.node]; w != nil {
				w.ends.NoteRecorded(a.ack)
			}
		}
		c.inFlight = c.inFlight[1:]
	}
}

// currentTask returns the task of an order, or nil if the order is not for the present run and worker of the task.
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

// isCurrentStart reports whether a start order is for a run that is still to be started.
func (c *Core) isCurrentStart(o Order) bool {
	t := c.currentTask(o)
	return t != nil && t.phase == assigned
}

// RecordedState returns the recorded state of a job. It returns false if the core does not have the job.
func (c *Core) RecordedState(id string) (batch.State, bool) {
	j := c.jobs[id]
	if j == nil || j.recordedState == stateDeleted || j.state == stateDeleted {
		return "", false
	}
	return j.recordedState, true
}

// PendingByQueue returns for each queue the number of jobs without a started task.
func (c *Core) PendingByQueue() map[string]int {
	n := map[string]int{}
	for _, j := range c.openJobs {
		if !j.started {
			n[j.Queue.Name]++
		}
	}
	return n
}
