package experiment

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"masticcart.example/masticcart/internal/model"
	"masticcart.example/masticcart/internal/placement"
)

// Assumptions about the system around the planner.
const (
	startDelay          = 200 * time.Millisecond // from a placement to running: hold, commit and start
	minCheckpointTime   = 500 * time.Millisecond
	maxCheckpointTime   = 3 * time.Second
	gangStopTime        = 15 * time.Second // protocol.GangStopBound: until a gang with a lost member has stopped
	failureDelay        = 20 * time.Second // longest run time of an attempt that fails
	maxFailedWorkers    = 3                // distinct workers on which a job fails before it ends as failed
	quarantineAfter     = 3                // consecutive failures of jobs on a worker before it is quarantined
	maxQuarantinedShare = 0.2              // largest share of the workers in quarantine
	maxDecisionInterval = 5 * time.Second  // between decisions while jobs wait and nothing changes
	sampleInterval      = 20 * time.Second
)

// epoch is the wall-clock time at virtual time zero.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

type eventKind int

const (
	eventArrival eventKind = iota
	eventCancel
	eventAttemptEnd
	eventStopped
	eventWorkerDown
	eventWorkerUp
)

type event struct {
	at      time.Duration
	kind    eventKind
	order   int // order of insertion, which orders events at the same time
	job     *trackedJob
	attempt int
	worker  int
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(q[i].at, q[j].at), cmp.Compare(q[i].order, q[j].order)) < 0
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	e := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return e
}

type phase int

const (
	phaseNotArrived phase = iota
	phaseWaiting
	phaseRunning
	phaseStopping
	phaseEnded
)

// trackedJob is a job with its state in the run.
type trackedJob struct {
	*Job
	phase         phase
	attempt       int
	attemptStart  time.Duration // of the current attempt
	firstStart    time.Duration
	hasStarted    bool
	endTime       time.Duration
	result        model.Result
	members       []model.Member
	guaranteed    bool
	failedOn      []string
	willFailOn    string // worker on which the current attempt will fail; empty if it will succeed
	requeueOnStop bool   // otherwise the job is cancelled when it has stopped
}

// driver runs one load with one planner.
type driver struct {
	load                 *Load
	planner              placement.Planner
	rng                  *rand.Rand
	now                  time.Duration
	events               eventQueue
	lastOrder            int
	jobs                 []*trackedJob
	byKey                map[model.JobKey]*trackedJob
	waiting              []*trackedJob
	running              []*trackedJob
	workers              []placement.Upstream
	workerIndex          map[string]int
	failingWorkers       map[int]bool
	lostWorkers          map[int]bool
	failuresSinceSuccess []int                   // by worker
	runTimes             map[string]*runTimeMean // by team/kind
	quarantined          int
	changed              bool // since the last decision
	samples              samples
}

// runTimeMean is the approximate mean of the last 20 run times of one kind of work of one team.
type runTimeMean struct {
	sum time.Duration
	n   int
}

func newDriver(l *Load, p placement.Planner) *driver {
	d := &driver{load: l, planner: p, rng: rand.New(rand.NewPCG(l.Seed, 7)), byKey: make(map[model.JobKey]*trackedJob),
		workers: slices.Clone(l.Workers), workerIndex: make(map[string]int), failingWorkers: make(map[int]bool),
		lostWorkers: make(map[int]bool), failuresSinceSuccess: make([]int, len(l.Workers)),
		runTimes: make(map[string]*runTimeMean)}
	for i := range d.workers {
		d.workerIndex[d.workers[i].ID] = i
	}
	for _, w := range l.FailingWorkers {
		d.failingWorkers[w] = true
	}
	for i := range l.Jobs {
		t := &trackedJob{Job: &l.Jobs[i]}
		d.jobs = append(d.jobs, t)
		d.byKey[t.Spec.Key] = t
		d.push(event{at: t.Arrival, kind: eventArrival, job: t})
		if t.CancelAt > 0 {
			d.push(event{at: t.CancelAt, kind: eventCancel, job: t})
		}
	}
	for _, o := range l.Outages {
		d.push(event{at: o.Start, kind: eventWorkerDown, worker: o.Worker})
		d.push(event{at: o.End, kind: eventWorkerUp, worker: o.Worker})
	}
	return d
}

func (d *driver) push(e event) {
	d.lastOrder++
	e.order = d.lastOrder
	heap.Push(&d.events, e)
}

// Run runs the planner on the load and returns the metrics. It returns an error if a plan breaks a rule that agents
// enforce.
func Run(l *Load, p placement.Planner) (*Metrics, error) {
	d := newDriver(l, p)
	nextPeriodic, nextSample := time.Duration(0), sampleInterval
	for d.now < l.Duration {
		next := min(l.Duration, nextSample)
		if len(d.waiting) > 0 {
			next = min(next, nextPeriodic)
		}
		if len(d.events) > 0 {
			next = min(next, d.events[0].at)
		}
		d.now = max(d.now, d.roundUpToDecision(next))
		for len(d.events) > 0 && d.events[0].at <= d.now {
			d.applyEvent(d.popEvent())
		}
		if d.changed || len(d.waiting) > 0 && d.now >= nextPeriodic {
			if err := d.decide(); err != nil {
				return nil, fmt.Errorf("load %s, seed %d, at %s: %w", l.Name, l.Seed, d.now, err)
			}
			nextPeriodic = d.now + maxDecisionInterval
		}
		if d.now >= nextSample {
			d.takeSample()
			nextSample = d.now + sampleInterval
		}
	}
	return d.metrics(), nil
}

// roundUpToDecision rounds a time up to a multiple of the load's decision interval.
func (d *driver) roundUpToDecision(at time.Duration) time.Duration {
	if d.load.DecisionInterval == 0 {
		return at
	}
	return (at + d.load.DecisionInterval - 1) / d.load.DecisionInterval * d.load.DecisionInterval
}

func (d *driver) applyEvent(e event) {
	d.changed = true
	switch e.kind {
	case eventArrival:
		e.job.phase = phaseWaiting
		d.waiting = append(d.waiting, e.job)
	case eventCancel:
		d.cancel(e.job)
	case eventAttemptEnd:
		if e.job.phase == phaseRunning && e.job.attempt == e.attempt {
			d.endAttempt(e.job)
		}
	case eventStopped:
		if e.job.attempt == e.attempt {
			d.finishStop(e.job)
		}
	case eventWorkerDown:
		d.loseWorker(e.worker)
	case eventWorkerUp:
		d.lostWorkers[e.worker] = false
		d.updateUnschedulable(e.worker)
	}
}

func (d *driver) updateUnschedulable(w int) {
	d.workers[w].Unschedulable = d.lostWorkers[w] || d.failuresSinceSuccess[w] >= quarantineAfter
}

func (d *driver) cancel(t *trackedJob) {
	switch t.phase {
	case phaseWaiting:
		d.waiting = without(d.waiting, t)
		d.endJob(t, model.ResultCancelled)
	case phaseRunning:
		t.requeueOnStop = false
		d.beginStop(t, d.checkpointTime())
	case phaseStopping:
		t.requeueOnStop = false
	}
}

// checkpointTime draws the time that a checkpoint takes.
func (d *driver) checkpointTime() time.Duration {
	return minCheckpointTime + time.Duration(d.rng.Int64N(int64(maxCheckpointTime-minCheckpointTime)))
}

// beginStop starts to stop an attempt. Its units are released when it has stopped, after the given duration.
func (d *driver) beginStop(t *trackedJob, duration time.Duration) {
	t.phase = phaseStopping
	d.push(event{at: d.now + duration, kind: eventStopped, job: t, attempt: t.attempt})
}

// finishStop releases the units of a stopped attempt and queues its job again or ends it as cancelled.
func (d *driver) finishStop(t *trackedJob) {
	d.samples.lostSeconds += acceleratorSeconds(t, d.now-t.attemptStart)
	d.releaseUnits(t)
	if t.requeueOnStop {
		t.phase = phaseWaiting
		d.waiting = append(d.waiting, t)
		return
	}
	d.endJob(t, model.ResultCancelled)
}

func acceleratorSeconds(t *trackedJob, d time.Duration) float64 {
	return d.Seconds() * float64(t.Spec.Shape.Accelerators)
}

func (d *driver) releaseUnits(t *trackedJob) {
	for _, m := range t.members {
		d.workers[d.workerIndex[m.Agent]].Free += m.Units
	}
	t.members = nil
	d.running = without(d.running, t)
}

func (d *driver) endJob(t *trackedJob, r model.Result) {
	t.phase, t.result, t.endTime = phaseEnded, r, d.now
}

// without removes t from list in place and keeps the order.
func without(list []*trackedJob, t *trackedJob) []*trackedJob {
	if i := slices.Index(list, t); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}

// loseWorker makes a worker unavailable. Jobs with members on it stop after gangStopTime and are queued again.
func (d *driver) loseWorker(w int) {
	d.lostWorkers[w] = true
	d.updateUnschedulable(w)
	for _, t := range d.running {
		uses := slices.ContainsFunc(t.members, func(m model.Member) bool { return m.Agent == d.workers[w].ID })
		if uses && t.phase == phaseRunning {
			t.requeueOnStop = true
			d.beginStop(t, gangStopTime)
		}
	}
}

// endAttempt ends an attempt that was not stopped: the job is done, or the attempt has failed. After a failure the job
// is queued again until it has failed on maxFailedWorkers workers.
func (d *driver) endAttempt(t *trackedJob) {
	members := t.members
	d.releaseUnits(t)
	if t.willFailOn == "" {
		d.samples.usefulSeconds += acceleratorSeconds(t, t.ActualRunTime)
		for _, m := range members {
			d.failuresSinceSuccess[d.workerIndex[m.Agent]] = 0
		}
		d.recordRunTime(t)
		d.endJob(t, model.ResultDone)
		return
	}
	d.samples.lostSeconds += acceleratorSeconds(t, d.now-t.attemptStart)
	d.recordFailure(d.workerIndex[t.willFailOn])
	if !slices.Contains(t.failedOn, t.willFailOn) {
		t.failedOn = append(t.failedOn, t.willFailOn)
	}
	if len(t.failedOn) >= maxFailedWorkers {
		d.endJob(t, model.ResultFailed)
		return
	}
	t.phase = phaseWaiting
	d.waiting = append(d.waiting, t)
}

// recordFailure counts a failure on a worker. The worker is quarantined after quarantineAfter failures unless the share
// of quarantined workers would exceed maxQuarantinedShare.
func (d *driver) recordFailure(w int) {
	if d.failuresSinceSuccess[w] == quarantineAfter-1 {
		if float64(d.quarantined+1) > maxQuarantinedShare*float64(len(d.workers)) {
			return
		}
		d.quarantined++
	}
	d.failuresSinceSuccess[w]++
	d.updateUnschedulable(w)
}

// recordRunTime adds the run time of a finished job to the mean of its team and kind.
func (d *driver) recordRunTime(t *trackedJob) {
	key := t.Spec.Key.Team + "/" + t.Spec.Kind
	a := d.runTimes[key]
	if a == nil {
		a = &runTimeMean{}
		d.runTimes[key] = a
	}
	if a.n == 20 {
		a.sum -= a.sum / 20
		a.n--
	}
	a.sum += t.ActualRunTime
	a.n++
}

// expectedRunTime returns the mean run time of the job's team and kind, or the declared run time while fewer than 3
// jobs have finished.
func (d *driver) expectedRunTime(t *trackedJob) time.Duration {
	if a := d.runTimes[t.Spec.Key.Team+"/"+t.Spec.Kind]; a != nil && a.n >= 3 {
		return a.sum / time.Duration(a.n)
	}
	return t.Spec.RunTime
}

func (d *driver) popEvent() event { return heap.Pop(&d.events).(event) }
