package scheduler

import (
	"encoding/json"
	"fmt"
	"time"

	"masticcart.example/masticcart/internal/batch"
	"masticcart.example/masticcart/internal/kvstore"
)

// Keys of the store. Entries write below IntakePrefix, the leader below RecordsPrefix.
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

// CancelKey returns the key that cancels a job.
func CancelKey(id string) string { return CancelsPrefix + id }

// AgentKey returns the key under which an agent registers.
func AgentKey(node string) string { return AgentsPrefix + node }

// EntryKey returns the key under which an entry registers.
func EntryKey(node string) string { return EntriesPrefix + node }

// RecordKey returns the key of a job's progress.
func RecordKey(id string) string { return RecordsPrefix + id }

// Registration is the entry of an agent or of an entry host.
type Registration struct {
	Node    string `json:"node"`
	Address string `json:"address"` // of its RPC listener
}

// Record is the progress of a job as it is kept in the store.
type Record struct {
	State   batch.State `json:"state"`
	Started bool        `json:"started,omitempty"`
	// FinishedMS is the time of day in Unix milliseconds at which the state became final.
	FinishedMS int64 `json:"finished,omitempty"`
	// Next is the first occurrence that has not been due, Ended the number of those that are done.
	Next        int                `json:"next,omitempty"`
	Ended       int                `json:"ended,omitempty"`
	Occurrences []recordOccurrence `json:"occ,omitempty"`
}

type recordOccurrence struct {
	Number int          `json:"k"`
	Steps  []recordStep `json:"steps"`
}

// recordStep leaves out tasks that have not run. Done holds a bit for each task, the first in the lowest bit of the first
// byte.
type recordStep struct {
	GangFails int          `json:"gf,omitempty"`
	FailedRun int          `json:"fr,omitempty"`
	Done      []byte       `json:"d,omitempty"`
	Tasks     []recordTask `json:"t,omitempty"`
}

type recordTask struct {
	Index      int    `json:"x"`
	Run        int    `json:"r,omitempty"`
	Fails      int    `json:"f,omitempty"`
	Checkpoint string `json:"c,omitempty"`
	// Node, ID and Born name the worker to which the run was assigned.
	Node string `json:"n,omitempty"`
	ID   string `json:"i,omitempty"`
	Born int64  `json:"b,omitempty"`
}

// record returns the progress of a job as bytes.
func (j *job) record() ([]byte, error) {
	r := Record{State: j.state, Started: j.started, Next: j.nextOccurrence, Ended: j.endedOccurrences}
	if j.state.Final() {
		r.FinishedMS = j.finishedAt.UnixMilli()
	}
	for number := range j.nextOccurrence {
		o := j.occurrences[number]
		if o == nil {
			continue
		}
		ro := recordOccurrence{Number: number}
		for _, s := range o.steps {
			rs := recordStep{GangFails: s.gangFailures, FailedRun: s.lastFailedRun}
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
				rt := recordTask{Index: i, Run: t.run, Fails: t.failures, Checkpoint: t.checkpoint}
				if t.active() {
					rt.Node, rt.ID, rt.Born = t.node, t.incarnation.ID, t.incarnation.StartedMS
				}
				rs.Tasks = append(rs.Tasks, rt)
			}
			ro.Steps = append(ro.Steps, rs)
		}
		r.Occurrences = append(r.Occurrences, ro)
	}
	return json.Marshal(r)
}

// restore sets the progress of a job from its record.
func (j *job) restore(data []byte, revision kvstore.Revision, now time.Duration) error {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return fmt.Errorf("record of job %s: %w", j.ID, err)
	}
	j.revision, j.state, j.started, j.nextOccurrence, j.endedOccurrences = revision, r.State, r.Started, r.Next, r.Ended
	j.recordedState = r.State
	if r.FinishedMS != 0 {
		j.finishedAt = time.UnixMilli(r.FinishedMS)
	}
	for _, ro := range r.Occurrences {
		o := j.openOccurrence(ro.Number)
		if len(ro.Steps) != len(o.steps) {
			return fmt.Errorf("record of job %s: %d steps, the job has %d", j.ID, len(ro.Steps), len(o.steps))
		}
		for i, rs := range ro.Steps {
			s := o.steps[i]
			s.gangFailures, s.lastFailedRun = rs.GangFails, rs.FailedRun
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
		}
	}
	return nil
}

func (t *task) restore(r recordTask, now time.Duration) {
	t.run, t.failures, t.checkpoint = r.Run, r.Fails, r.Checkpoint
	if r.Node != "" {
		t.phase, t.node, t.incarnation = assigned, r.Node, batch.Incarnation{ID: r.ID, StartedMS: r.Born}
		t.assignedAt, t.startedAt, t.progressAt = now, now, now
	}
}
