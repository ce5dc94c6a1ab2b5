package scheduler

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"masticcart.example/masticcart/internal/batch"
	"masticcart.example/masticcart/internal/kvstore"
)

// Keys of the store. Entries and agents write under IntakePrefix, the leader under RecordsPrefix.
const (
	LeaderKey     = "masticcart/leader"
	IntakePrefix  = "masticcart/in/"
	JobsPrefix    = IntakePrefix + "jobs/"
	CancelsPrefix = IntakePrefix + "cancels/"
	AgentsPrefix  = IntakePrefix + "agents/"
	EntriesPrefix = IntakePrefix + "entries/"
	RecordsPrefix = "masticcart/records/"
)

// JobKey returns the key of an accepted job.
func JobKey(id string) string { return JobsPrefix + id }

// CancelKey returns the key of a job's cancellation.
func CancelKey(id string) string { return CancelsPrefix + id }

// AgentKey returns the key of an agent's registration.
func AgentKey(node string) string { return AgentsPrefix + node }

// EntryKey returns the key of an entry's registration.
func EntryKey(node string) string { return EntriesPrefix + node }

// RecordKey returns the key of a job's record.
func RecordKey(id string) string { return RecordsPrefix + id }

// Registration is the stored address of an agent or an entry.
type Registration struct {
	Node    string `json:"node"`
	Address string `json:"address"` // of the RPC listener
}

// Record is the stored progress of a job.
type Record struct {
	State   batch.State `json:"state"`
	Started bool        `json:"started,omitempty"`
	// FinishedMS is the wall-clock time in Unix milliseconds at which the job reached its final state.
	FinishedMS int64 `json:"finished,omitempty"`
	// Next is the first occurrence from which on none has progressed, Ended the number of completed occurrences.
	Next        int                `json:"next,omitempty"`
	Ended       int                `json:"ended,omitempty"`
	Occurrences []recordOccurrence `json:"occ,omitempty"`
	Failure     string             `json:"why,omitempty"` // why the job has failed
}

// recordOccurrence is the progress of an occurrence before Record.Next that is not completed. A finished job has only those
// with tasks on workers.
type recordOccurrence struct {
	Number int          `json:"k"`
	Steps  []recordStep `json:"steps"`
}

// recordStep is the progress of a step. Tasks without a run are left out. Done is a bit set of the completed tasks, the
// first task in the lowest bit of the first byte.
type recordStep struct {
	GangFailures  int          `json:"gf,omitempty"`
	LastFailedRun int          `json:"fr,omitempty"`
	Done          []byte       `json:"d,omitempty"`
	Tasks         []recordTask `json:"t,omitempty"`
}

// recordTask is the progress of a task that has run and is not done.
type recordTask struct {
	Index      int    `json:"x"`
	Run        int    `json:"r,omitempty"`
	Failures   int    `json:"f,omitempty"`
	Checkpoint string `json:"c,omitempty"`
	// StartMS is the time from the acceptance of the job to the start of the run, in milliseconds.
	StartMS int64 `json:"s,omitempty"`
	// Avoided lists the nodes on which the task failed or straggled.
	Avoided []string     `json:"a,omitempty"`
	Crash   crashHistory `json:"k,omitzero"`
	// Preempted is the number of stops in favour of other work, after which the task is spared.
	Preempted int `json:"p,omitempty"`
	// Node, ID and StartedMS identify the incarnation of the worker that the run is assigned to.
	Node      string `json:"n,omitempty"`
	ID        string `json:"i,omitempty"`
	StartedMS int64  `json:"b,omitempty"`
}

// progressed reports whether any task has run or failed.
func (o recordOccurrence) progressed() bool {
	return slices.ContainsFunc(o.Steps, func(s recordStep) bool {
		return s.GangFailures > 0 || len(s.Done) > 0 || len(s.Tasks) > 0
	})
}

// active reports whether a task occupies a worker.
func (o recordOccurrence) active() bool {
	return slices.ContainsFunc(o.Steps, func(s recordStep) bool {
		return slices.ContainsFunc(s.Tasks, func(t recordTask) bool { return t.Node != "" })
	})
}

// active reports whether a task occupies a worker.
func (o *occurrence) active() bool {
	return slices.ContainsFunc(o.steps, func(s *stepInstance) bool { return slices.ContainsFunc(s.tasks, (*task).active) })
}

// record returns the job's progress as an encoded Record.
func (j *job) record() ([]byte, error) {
	r := Record{State: j.state, Started: j.started, Next: j.nextOccurrence, Ended: j.endedOccurrences,
		Failure: j.failure}
	if j.state.Final() {
		r.FinishedMS = j.finishedAt.UnixMilli()
	}
	for ; r.Next > 0; r.Next-- {
		if o := j.occurrences[r.Next-1]; o == nil || o.progressed() {
			break
		}
	}
	for number := range r.Next {
		o := j.occurrences[number]
		if o == nil || j.state.Final() && !o.active() {
			continue
		}
		ro := recordOccurrence{Number: number}
		for _, s := range o.steps {
			rs := recordStep{GangFailures: s.gangFailures, LastFailedRun: s.lastFailedRun}
			for i, t := range s.tasks {
				if t.phase == done {
					if rs.Done == nil {
						rs.Done = make([]byte, (len(s.tasks)+7)/8)
					}
					rs.Done[i/8] |= 1 << (i % 8)
					continue
				}
				if t.run == 0 {
					continue
				}
				rt := recordTask{Index: i, Run: t.run, Failures: t.failures, Checkpoint: t.checkpoint,
					Avoided: slices.Sorted(maps.Keys(t.failedOn)), Crash: t.crash, Preempted: t.preemptions}
				if t.active() {
					rt.Node, rt.ID, rt.StartedMS = t.node, t.incarnation.ID, t.incarnation.StartedMS
					rt.StartMS = j.age(t.startedAt).Milliseconds()
				}
				rs.Tasks = append(rs.Tasks, rt)
			}
			ro.Steps = append(ro.Steps, rs)
		}
		r.Occurrences = append(r.Occurrences, ro)
	}
	return json.Marshal(r)
}

// restore sets the job's progress from an encoded Record. It returns an error if the record does not match the steps of
// the job.
func (j *job) restore(data []byte, revision kvstore.Revision, now time.Duration) error {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return fmt.Errorf("record of job %s: %w", j.ID, err)
	}
	if r.Next < 0 || r.Next > j.Occurrences() {
		return fmt.Errorf("record of job %s: %d occurrences are due, the job has %d", j.ID, r.Next, j.Occurrences())
	}
	for len(r.Occurrences) > 0 { // records of earlier releases have all that were due
		last := r.Occurrences[len(r.Occurrences)-1]
		if last.Number != r.Next-1 || last.progressed() {
			break
		}
		r.Occurrences, r.Next = r.Occurrences[:len(r.Occurrences)-1], r.Next-1
	}
	j.revision, j.state, j.started, j.nextOccurrence, j.endedOccurrences = revision, r.State, r.Started, r.Next, r.Ended
	j.recordedState, j.failure = r.State, r.Failure
	if r.FinishedMS != 0 {
		j.finishedAt = time.UnixMilli(r.FinishedMS)
	}
	for _, ro := range r.Occurrences {
		if ro.Number < 0 || ro.Number >= r.Next {
			return fmt.Errorf("record of job %s: occurrence %d is not due", j.ID, ro.Number)
		}
		if r.State.Final() && !ro.active() {
			continue
		}
		o := j.openOccurrence(ro.Number)
		if len(ro.Steps) != len(o.steps) {
			return fmt.Errorf("record of job %s: %d steps, the job has %d", j.ID, len(ro.Steps), len(o.steps))
		}
		for i, rs := range ro.Steps {
			s := o.steps[i]
			s.gangFailures, s.lastFailedRun = rs.GangFailures, rs.LastFailedRun
			for n, t := range s.tasks {
				if n/8 < len(rs.Done) && rs.Done[n/8]&(1<<(n%8)) != 0 {
					t.phase = done
					s.openTasks--
				}
			}
			for _, rt := range rs.Tasks {
				if rt.Index < 0 || rt.Index >= len(s.tasks) {
					return fmt.Errorf("record of job %s: step %d has no task %d", j.ID, i, rt.Index)
				}
				s.tasks[rt.Index].restore(rt, now)
			}
			if s.openTasks == 0 {
				o.openSteps--
			}
			run := s.maxRun()
			s.incomplete = s.spec.Gang && slices.ContainsFunc(s.tasks, func(m *task) bool {
				return m.phase == waiting || m.active() && m.run != run
			})
		}
	}
	return nil
}

func (t *task) restore(r recordTask, now time.Duration) {
	t.run, t.failures, t.checkpoint, t.preemptions = r.Run, r.Failures, r.Checkpoint, r.Preempted
	for _, node := range r.Avoided {
		t.avoid(node)
	}
	t.crash = r.Crash
	t.retryAt = now
	if r.Node != "" {
		t.phase, t.node, t.incarnation = assigned, r.Node, batch.Incarnation{ID: r.ID, StartedMS: r.StartedMS}
		j := t.step.job()
		accepted := j.learnedAt - j.initialAge
		t.startedAt = min(now, accepted+time.Duration(r.StartMS)*time.Millisecond)
		t.assignedAt, t.progressAt, t.basePercent, t.inherited = now, now, -1, true
	}
}
