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

// Assumptions of the driver about what is outside the planner.
const (
	startDelay      = 200 * time.Millisecond // hold, commit and start
	checkpointLow   = 500 * time.Millisecond
	checkpointHigh  = 3 * time.Second
	lossDetection   = 15 * time.Second // GangStopBound: until a gang with a lost member has stopped
	crashAfter      = 20 * time.Second
	failuresAllowed = 3   // distinct workers on which a job may fail
	quarantineAfter = 3   // jobs that fail on a worker with no success in between
	quarantineShare = 0.2 // of the workers at most
	idleDecision    = 5 * time.Second
	sampleInterval  = 20 * time.Second
)

// epoch is the wall time of virtual time zero.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

type eventKind int

const (
	evArrive eventKind = iota
	evCancel
	evEnd
	evStopped
	evDown
	evUp
)

type event struct {
	at      time.Duration
	kind    eventKind
	order   int
	job     *task
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
	phaseNone phase = iota
	phaseWaiting
	phaseRunning
	phaseStopping
	phaseEnded
)

// task is a job as the driver tracks it.
type task struct {
	*Job
	phase      phase
	attempt    int
	placed     time.Duration // of the present attempt
	firstStart time.Duration
	started    bool
	ended      time.Duration
	result     model.Result
	members    []model.Member
	guaranteed bool
	failedOn   []string
	failing    string // worker on which the present attempt will fail
	requeue    bool   // after stopping
}

// driver runs one load with one planner.
type driver struct {
	load     *Load
	planner  placement.Planner
	rng      *rand.Rand
	now      time.Duration
	events   eventQueue
	order    int
	tasks    []*task
	byKey    map[model.JobKey]*task
	waiting  []*task
	running  []*task
	workers  []placement.Upstream
	position map[string]int
	bad      map[int]bool
	down     map[int]bool
	failures []int // per worker, since its last success
	learned  map[string]*average
	quarant  int
	changed  bool
	m        measure
}

// average is the mean of the last run times of one kind of work of one team.
type average struct {
	sum time.Duration
	n   int
}

func newDriver(l *Load, p placement.Planner) *driver {
	d := &driver{load: l, planner: p, rng: rand.New(rand.NewPCG(l.Seed, 7)), byKey: make(map[model.JobKey]*task),
		workers: slices.Clone(l.Workers), position: make(map[string]int), bad: make(map[int]bool),
		down: make(map[int]bool), failures: make([]int, len(l.Workers)), learned: make(map[string]*average)}
	for i := range d.workers {
		d.position[d.workers[i].ID] = i
	}
	for _, w := range l.FailingWorkers {
		d.bad[w] = true
	}
	for i := range l.Jobs {
		t := &task{Job: &l.Jobs[i]}
		d.tasks = append(d.tasks, t)
		d.byKey[t.Spec.Key] = t
		d.push(event{at: t.Arrival, kind: evArrive, job: t})
		if t.CancelAt > 0 {
			d.push(event{at: t.CancelAt, kind: evCancel, job: t})
		}
	}
	for _, o := range l.Outages {
		d.push(event{at: o.Start, kind: evDown, worker: o.Worker})
		d.push(event{at: o.End, kind: evUp, worker: o.Worker})
	}
	return d
}

func (d *driver) push(e event) {
	d.order++
	e.order = d.order
	heap.Push(&d.events, e)
}

// Run drives the planner through the load and returns the figures. It returns an error if a plan breaks a rule
// that agents enforce.
func Run(l *Load, p placement.Planner) (*Metrics, error) {
	d := newDriver(l, p)
	nextIdle, nextSample := time.Duration(0), sampleInterval
	for d.now < l.Duration {
		next := min(l.Duration, nextSample)
		if len(d.waiting) > 0 {
			next = min(next, nextIdle)
		}
		if len(d.events) > 0 {
			next = min(next, d.events[0].at)
		}
		d.now = max(d.now, d.tick(next))
		for len(d.events) > 0 && d.events[0].at <= d.now {
			d.handle(d.popEvent())
		}
		if d.changed || len(d.waiting) > 0 && d.now >= nextIdle {
			if err := d.decide(); err != nil {
				return nil, fmt.Errorf("load %s, seed %d, at %s: %w", l.Name, l.Seed, d.now, err)
			}
			nextIdle = d.now + idleDecision
		}
		if d.now >= nextSample {
			d.sample()
			nextSample = d.now + sampleInterval
		}
	}
	return d.figures(), nil
}

// tick rounds a time up to the next decision of the load.
func (d *driver) tick(at time.Duration) time.Duration {
	if d.load.DecisionInterval == 0 {
		return at
	}
	return (at + d.load.DecisionInterval - 1) / d.load.DecisionInterval * d.load.DecisionInterval
}

func (d *driver) handle(e event) {
	d.changed = true
	switch e.kind {
	case evArrive:
		e.job.phase = phaseWaiting
		d.waiting = append(d.waiting, e.job)
	case evCancel:
		d.cancel(e.job)
	case evEnd:
		if e.job.phase == phaseRunning && e.job.attempt == e.attempt {
			d.endAttempt(e.job)
		}
	case evStopped:
		if e.job.attempt == e.attempt {
			d.stopped(e.job)
		}
	case evDown:
		d.lose(e.worker)
	case evUp:
		d.down[e.worker] = false
		d.setUsable(e.worker)
	}
}

func (d *driver) setUsable(w int) {
	d.workers[w].Unschedulable = d.down[w] || d.failures[w] >= quarantineAfter
}

func (d *driver) cancel(t *task) {
	switch t.phase {
	case phaseWaiting:
		d.waiting = remove(d.waiting, t)
		d.finish(t, model.ResultCancelled)
	case phaseRunning:
		t.requeue = false
		d.stop(t, d.checkpoint())
	case phaseStopping:
		t.requeue = false
	}
}

func (d *driver) checkpoint() time.Duration {
	return checkpointLow + time.Duration(d.rng.Int64N(int64(checkpointHigh-checkpointLow)))
}

// stop begins to stop an attempt; its units are free when it has stopped.
func (d *driver) stop(t *task, takes time.Duration) {
	t.phase = phaseStopping
	d.push(event{at: d.now + takes, kind: evStopped, job: t, attempt: t.attempt})
}

func (d *driver) stopped(t *task) {
	d.m.lost += accelTime(t, d.now-t.placed)
	d.free(t)
	if t.requeue {
		t.phase = phaseWaiting
		d.waiting = append(d.waiting, t)
		return
	}
	d.finish(t, model.ResultCancelled)
}

func accelTime(t *task, d time.Duration) float64 {
	return d.Seconds() * float64(t.Spec.Shape.Accelerators)
}

func (d *driver) free(t *task) {
	for _, m := range t.members {
		d.workers[d.position[m.Agent]].Free += m.Units
	}
	t.members = nil
	d.running = remove(d.running, t)
}

func (d *driver) finish(t *task, r model.Result) {
	t.phase, t.result, t.ended = phaseEnded, r, d.now
}

func remove(list []*task, t *task) []*task {
	if i := slices.Index(list, t); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}

// lose takes a worker away: its gangs stop within the detection time and are queued again.
func (d *driver) lose(w int) {
	d.down[w] = true
	d.setUsable(w)
	for _, t := range d.running {
		uses := slices.ContainsFunc(t.members, func(m model.Member) bool { return m.Agent == d.workers[w].ID })
		if uses && t.phase == phaseRunning {
			t.requeue = true
			d.stop(t, lossDetection)
		}
	}
}

// endAttempt ends an attempt that was not stopped: done, or failed on a worker.
func (d *driver) endAttempt(t *task) {
	members := t.members
	d.free(t)
	if t.failing == "" {
		d.m.useful += accelTime(t, t.ActualRunTime)
		for _, m := range members {
			d.failures[d.position[m.Agent]] = 0
		}
		d.learn(t)
		d.finish(t, model.ResultDone)
		return
	}
	d.m.lost += accelTime(t, d.now-t.placed)
	d.blame(d.position[t.failing])
	if !slices.Contains(t.failedOn, t.failing) {
		t.failedOn = append(t.failedOn, t.failing)
	}
	if len(t.failedOn) >= failuresAllowed {
		d.finish(t, model.ResultFailed)
		return
	}
	t.phase = phaseWaiting
	d.waiting = append(d.waiting, t)
}

// blame counts a failure of a worker and quarantines it, within the limit.
func (d *driver) blame(w int) {
	if d.failures[w] == quarantineAfter-1 {
		if float64(d.quarant+1) > quarantineShare*float64(len(d.workers)) {
			return
		}
		d.quarant++
	}
	d.failures[w]++
	d.setUsable(w)
}

func (d *driver) learn(t *task) {
	key := t.Spec.Key.Team + "/" + t.Spec.Kind
	a := d.learned[key]
	if a == nil {
		a = &average{}
		d.learned[key] = a
	}
	if a.n == 20 {
		a.sum -= a.sum / 20
		a.n--
	}
	a.sum += t.ActualRunTime
	a.n++
}

func (d *driver) expected(t *task) time.Duration {
	if a := d.learned[t.Spec.Key.Team+"/"+t.Spec.Kind]; a != nil && a.n >= 3 {
		return a.sum / time.Duration(a.n)
	}
	return t.Spec.RunTime
}

func (d *driver) popEvent() event { return heap.Pop(&d.events).(event) }
