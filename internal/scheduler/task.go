package scheduler

import (
	"slices"
	"time"

	"masticcart.example/masticcart/internal/batch"
	"masticcart.example/masticcart/internal/kvstore"
)

// phase is the scheduling state of a task.
type phase uint8

const (
	waiting  phase = iota
	assigned       // to a worker; the start order is sent once the assignment is recorded
	stopping       // a stop was ordered; the capacity stays reserved until the end of the run is certain
	done
)

// task is one task of a job. The fields from startSent on are not recorded.
type task struct {
	id          batch.TaskID
	step        *stepInstance
	phase       phase
	run         int    // number of the latest run, from 1; 0 before the first
	node        string // the node of the worker's agent
	incarnation batch.Incarnation
	failures    int
	checkpoint  string
	crash       crashHistory

	startSent      bool // this leader has sent the start order
	inherited      bool // a previous leader recorded the assignment, and may have sent the order
	startUncertain bool // a start order was not answered and may still be carried out
	confirmed      bool // the worker has reported or accepted the run
	confirmedAt    time.Duration
	assignedAt     time.Duration
	startedAt      time.Duration // of the run, also if a previous leader started it
	retryAt        time.Duration // earliest time of the next placement
	restartDelay   time.Duration // after the last short run of a long-running task
	idleSince      time.Duration // since when a long-running task could run and does not; zero if it runs
	resendAt       time.Duration // when to send the start order again; zero for never
	percent        int
	progressAt     time.Duration // when percent last changed
	basePercent    int           // the percentage at paceSince; negative if unknown
	paceSince      time.Duration // start of the period over which the speed is judged
	// observedPercent and observedAt are the progress up to which the run has contributed to the speed of its worker.
	// observedAt is zero before the first contribution.
	observedPercent float64
	observedAt      time.Duration
	resumed         bool          // the run resumed from a checkpoint
	stopSentAt      time.Duration // when the last stop order was sent
	stopAckedAt     time.Duration // when the worker acknowledged it; zero before
	missedReports   int           // consecutive reports that do not list the confirmed run
	failedOn        map[string]bool
	// crashConclusive means that only the task or the worker itself can have caused the last crash under the task.
	crashConclusive bool
	runTime         time.Duration // of the successful run
	preemptions     int           // number of stops in favor of a more urgent task
	preemptedFor    string        // team for which the run is being stopped; empty for none
	moves           int           // number of moves away from workers on which the run was slow or stalled
	remote          bool          // away from its data, or spread over several racks
	reason          string        // why the run is being stopped
	stopCause       LossCause     // the same for the account of lost work
	checkpointAt    time.Duration // when the last checkpoint of the run was reported; zero before
}

// avoid marks a worker as one on which the task failed or straggled, so that others are preferred.
func (t *task) avoid(node string) {
	if t.failedOn == nil {
		t.failedOn = map[string]bool{}
	}
	t.failedOn[node] = true
}

// active reports whether the task occupies its worker.
func (t *task) active() bool { return t.phase == assigned || t.phase == stopping }

// nodes returns the nodes of the task, or of all active members of its gang.
func (t *task) nodes() []string {
	if !t.step.spec.Gang {
		return []string{t.node}
	}
	var nodes []string
	for _, m := range t.step.tasks {
		if m.active() {
			nodes = append(nodes, m.node)
		}
	}
	return nodes
}

// stepInstance is a step of one occurrence.
type stepInstance struct {
	occurrence    *occurrence
	index         int
	spec          *batch.Step
	tasks         []*task
	openTasks     int // tasks that are not done
	gangFailures  int
	lastFailedRun int // the last run of the gang that was counted in gangFailures
	// incomplete means that a member of the gang has no run, so that the runs of the others must not go on. It is cleared
	// when the gang is placed.
	incomplete bool
	// slowestFactor is the highest relative duration of the workers of the gang's present run, zero if it is not known.
	slowestFactor float64
	fasterUntil   time.Duration // until when it waits for faster workers, see waitsForFaster; zero if it has not
	late          bool          // the last plan judged the waiting tasks as unable to meet the aim
}

func (s *stepInstance) job() *job { return s.occurrence.job }

// ready reports whether all steps that this one depends on are done.
func (s *stepInstance) ready() bool {
	for _, a := range s.spec.After {
		if s.occurrence.steps[a].openTasks > 0 {
			return false
		}
	}
	return true
}

// running reports whether a run of the step is in progress, or is being stopped after it was. A gang runs once all of its
// members have started.
func (s *stepInstance) running() bool {
	started := func(t *task) bool { return t.active() && t.confirmed }
	if s.spec.Gang {
		return s.openTasks > 0 && !slices.ContainsFunc(s.tasks, func(t *task) bool { return t.phase != done && !started(t) })
	}
	return slices.ContainsFunc(s.tasks, started)
}

// maxRun returns the highest run number of all tasks of the step.
func (s *stepInstance) maxRun() int {
	n := 0
	for _, t := range s.tasks {
		n = max(n, t.run)
	}
	return n
}

// occurrence is one execution of a job's steps. A job that does not recur has one.
type occurrence struct {
	job       *job
	number    int
	dueAt     time.Duration // when it became due, or when the job was accepted
	steps     []*stepInstance
	openSteps int // steps that are not done
}

// job is an accepted job and its progress.
type job struct {
	batch.Job
	state            batch.State
	started          bool                // a task of it has started
	occurrences      map[int]*occurrence // the open ones
	openTasks        int                 // tasks of the open occurrences
	nextOccurrence   int                 // the first occurrence that has not been opened
	waitsForMemory   bool                // an occurrence is due and cannot be opened yet
	endedOccurrences int                 // number of completed occurrences
	finishedAt       time.Time
	failure          string        // why the job has failed
	learnedAt        time.Duration // when this leader learned of the job
	initialAge       time.Duration // time from the acceptance to learnedAt, by the wall clock
	idleSince        time.Duration // since when the job could run but nothing of it does, or never

	revision          kvstore.Revision // of the record; zero if there is none
	recordedState     batch.State      // state in the record, which is what callers are told
	dirty             bool
	writing           bool
	checkpointUnsaved bool    // a checkpoint was reported that is not recorded
	pendingOrders     []Order // to be sent once the record is written
}

func newJob(b batch.Job, now time.Duration, wall time.Time) *job {
	return &job{Job: b, state: batch.Queued, recordedState: batch.Queued, occurrences: map[int]*occurrence{},
		learnedAt: now, idleSince: never, initialAge: max(0, wall.Sub(b.AcceptedAt))}
}

// never stands for the time of an event that has not happened.
const never time.Duration = -1

// age returns the time since the job was accepted.
func (j *job) age(now time.Duration) time.Duration { return j.initialAge + now - j.learnedAt }

// age returns the time since the occurrence became due.
func (o *occurrence) age(now time.Duration) time.Duration { return now - o.dueAt }

// openOccurrence creates the tasks of an occurrence.
func (j *job) openOccurrence(number int) *occurrence {
	o := &occurrence{job: j, number: number, dueAt: j.learnedAt - j.initialAge + j.Due(number).Sub(j.AcceptedAt),
		openSteps: len(j.Steps)}
	if j.RepeatCount == 0 {
		o.dueAt = j.learnedAt - j.initialAge
	}
	for i := range j.Steps {
		s := &stepInstance{occurrence: o, index: i, spec: &j.Steps[i], openTasks: j.Steps[i].Count}
		for n := range j.Steps[i].Count {
			s.tasks = append(s.tasks,
				&task{id: batch.TaskID{Job: j.ID, Occurrence: number, Step: i, Index: n}, step: s})
		}
		o.steps = append(o.steps, s)
	}
	j.occurrences[number] = o
	j.openTasks += j.Tasks()
	return o
}

// progressed reports whether any task of the occurrence has run or failed.
func (o *occurrence) progressed() bool {
	return slices.ContainsFunc(o.steps, func(s *stepInstance) bool {
		return s.gangFailures > 0 ||
			slices.ContainsFunc(s.tasks, func(t *task) bool { return t.phase != waiting || t.run > 0 })
	})
}

// findTask returns the task with an id, or nil.
func (j *job) findTask(id batch.TaskID) *task {
	o := j.occurrences[id.Occurrence]
	if o == nil || id.Step >= len(o.steps) || id.Index >= len(o.steps[id.Step].tasks) {
		return nil
	}
	return o.steps[id.Step].tasks[id.Index]
}

// forEachTask calls f for all tasks of the open occurrences.
func (j *job) forEachTask(f func(*task)) {
	for number := range j.nextOccurrence {
		o := j.occurrences[number]
		if o == nil {
			continue
		}
		for _, s := range o.steps {
			for _, t := range s.tasks {
				f(t)
			}
		}
	}
}
