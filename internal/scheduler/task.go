package scheduler

import (
	"time"

	"masticcart.example/masticcart/internal/batch"
	"masticcart.example/masticcart/internal/kvstore"
)

// phase is where a task stands.
type phase uint8

const (
	waiting  phase = iota
	assigned       // to a worker; the order to start follows the record of the assignment
	stopping       // ordered to stop; its room is taken until the end is certain
	done
)

// task is one task of a job. The fields from ordered on are not recorded.
type task struct {
	id          batch.TaskID
	step        *stepInstance
	phase       phase
	run         int    // number of the latest run; runs start at 1
	node        string // the worker's agent
	incarnation batch.Incarnation
	failures    int
	checkpoint  string

	startSent      bool // this leader has sent the order to start
	startUncertain bool // an order to start was not answered and may still be carried out
	confirmed      bool // the worker has said that it has the run
	confirmedAt    time.Duration
	assignedAt     time.Duration
	startedAt      time.Duration
	retryAt        time.Duration // no start before
	resendAt       time.Duration // when the order to start is sent again; zero: it is not
	percent        int
	progressAt     time.Duration // when percent changed last
	basePercent    int           // the percentage at paceFrom; negative if not known
	paceSince      time.Duration // from when on the pace of this run is judged
	stopSentAt     time.Duration // when the last order to stop was sent
	stopAckedAt    time.Duration // when the worker answered it; zero before
	missedReports  int           // reports in a row that lack a confirmed run
	failedOn       map[string]bool
	runTime        time.Duration // of the run that ended well
	preemptions    int           // times that it was stopped for a more urgent task
	moves          int           // from workers on which it made no progress
	remote         bool          // away from its data, or over several racks
	reason         string        // why it is being stopped
}

// avoid makes workers other than the node preferred.
func (t *task) avoid(node string) {
	if t.failedOn == nil {
		t.failedOn = map[string]bool{}
	}
	t.failedOn[node] = true
}

// active reports whether the task occupies its worker.
func (t *task) active() bool { return t.phase == assigned || t.phase == stopping }

// stepInstance is a step of one occurrence.
type stepInstance struct {
	occurrence    *occurrence
	index         int
	spec          *batch.Step
	tasks         []*task
	openTasks     int // tasks that are not done
	gangFailures  int
	lastFailedRun int // the last run of a gang that was counted as failed
}

func (s *stepInstance) job() *job { return s.occurrence.job }

// ready reports whether all steps before have ended.
func (s *stepInstance) ready() bool {
	for _, a := range s.spec.After {
		if s.occurrence.steps[a].openTasks > 0 {
			return false
		}
	}
	return true
}

// maxRun returns the highest run number in the step.
func (s *stepInstance) maxRun() int {
	n := 0
	for _, t := range s.tasks {
		n = max(n, t.run)
	}
	return n
}

// occurrence is one run through the steps of a job.
type occurrence struct {
	job       *job
	number    int
	dueAt     time.Duration // when it became due, or the job was accepted
	steps     []*stepInstance
	openSteps int // steps with tasks that are not done
}

// job is an accepted job that has not been forgotten.
type job struct {
	batch.Job
	state            batch.State
	started          bool // some task has been started
	occurrences      map[int]*occurrence
	nextOccurrence   int // the first occurrence that has not been due
	endedOccurrences int // occurrences that are done
	finishedAt       time.Time
	learnedAt        time.Duration // when this leader learned of the job
	initialAge       time.Duration // how old it was then, by the time of day
	idleSince        time.Duration // from when on it could run and had no task on a worker; never if it has one

	revision          kvstore.Revision // of the record; zero: not recorded yet
	recordedState     batch.State      // the state in the record; what callers are told
	dirty             bool
	writing           bool
	checkpointUnsaved bool    // a checkpoint has come that is not recorded
	pendingOrders     []Order // to be sent once the record is written
}

func newJob(b batch.Job, now time.Duration, wall time.Time) *job {
	return &job{Job: b, state: batch.Queued, recordedState: batch.Queued, occurrences: map[int]*occurrence{}, learnedAt: now, idleSince: never,
		initialAge: max(0, wall.Sub(b.AcceptedAt))}
}

// never is the time of what has not happened.
const never time.Duration = -1

// age returns how long ago the job was accepted.
func (j *job) age(now time.Duration) time.Duration { return j.initialAge + now - j.learnedAt }

// age returns how long ago the occurrence became due.
func (o *occurrence) age(now time.Duration) time.Duration { return now - o.dueAt }

// openOccurrence makes the tasks of an occurrence.
func (j *job) openOccurrence(number int) *occurrence {
	o := &occurrence{job: j, number: number, dueAt: j.learnedAt - j.initialAge + j.Due(number).Sub(j.AcceptedAt), openSteps: len(j.Steps)}
	if j.RepeatCount == 0 {
		o.dueAt = j.learnedAt - j.initialAge
	}
	for i := range j.Steps {
		s := &stepInstance{occurrence: o, index: i, spec: &j.Steps[i], openTasks: j.Steps[i].Count}
		for n := range j.Steps[i].Count {
			s.tasks = append(s.tasks, &task{id: batch.TaskID{Job: j.ID, Occurrence: number, Step: i, Index: n}, step: s})
		}
		o.steps = append(o.steps, s)
	}
	j.occurrences[number] = o
	return o
}

// findTask returns the task of a name, or nil.
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
