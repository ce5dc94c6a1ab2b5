// Package batch defines the types of batch jobs: a job of dependent steps, the queue that accepts it, the tasks of its
// steps, and the workers that run them.
package batch

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Resources is the demand of a task or the capacity of a worker.
type Resources struct {
	MilliCPU     int `json:"cpu,omitempty"` // thousandths of a core
	MemoryMB     int `json:"mem,omitempty"`
	Accelerators int `json:"acc,omitempty"`
}

// FitsIn reports whether free covers r.
func (r Resources) FitsIn(free Resources) bool {
	return r.MilliCPU <= free.MilliCPU && r.MemoryMB <= free.MemoryMB && r.Accelerators <= free.Accelerators
}

// Plus returns the sum of r and o.
func (r Resources) Plus(o Resources) Resources {
	return Resources{r.MilliCPU + o.MilliCPU, r.MemoryMB + o.MemoryMB, r.Accelerators + o.Accelerators}
}

// Minus returns r reduced by o. Fields may become negative.
func (r Resources) Minus(o Resources) Resources {
	return Resources{r.MilliCPU - o.MilliCPU, r.MemoryMB - o.MemoryMB, r.Accelerators - o.Accelerators}
}

// Times returns n times r.
func (r Resources) Times(n int) Resources {
	return Resources{r.MilliCPU * n, r.MemoryMB * n, r.Accelerators * n}
}

// FitCount returns how many tasks that need r fit into free, at most maxFitCount. None fits if a field of free is
// negative.
func (r Resources) FitCount(free Resources) int {
	n := maxFitCount
	for _, x := range [...][2]int{
		{r.MilliCPU, free.MilliCPU}, {r.MemoryMB, free.MemoryMB}, {r.Accelerators, free.Accelerators},
	} {
		switch {
		case x[1] < 0:
			return 0
		case x[0] > 0:
			n = min(n, x[1]/x[0])
		}
	}
	return n
}

// Max returns the larger value of each field of r and o.
func (r Resources) Max(o Resources) Resources {
	return Resources{max(r.MilliCPU, o.MilliCPU), max(r.MemoryMB, o.MemoryMB), max(r.Accelerators, o.Accelerators)}
}

// Min returns the smaller value of each field of r and o.
func (r Resources) Min(o Resources) Resources {
	return Resources{min(r.MilliCPU, o.MilliCPU), min(r.MemoryMB, o.MemoryMB), min(r.Accelerators, o.Accelerators)}
}

// Valid reports whether each field is within the range in which sums over a fleet do not overflow.
func (r Resources) Valid() bool {
	for _, n := range [...]int{r.MilliCPU, r.MemoryMB, r.Accelerators} {
		if n < 0 || n > maxAmount {
			return false
		}
	}
	return true
}

// maxAmount is the largest amount of a resource, in its own unit, that a task may need or a worker may have.
const maxAmount = 1 << 40

// maxFitCount limits the result of FitCount for tasks that need nothing.
const maxFitCount = 1024

// acceleratorCores is the value of an accelerator in cores, as the platform's users price it.
const acceleratorCores = 8

// CoreEquivalents returns the resources in cores, with acceleratorCores for each accelerator. Memory does not count.
func (r Resources) CoreEquivalents() float64 {
	return float64(r.MilliCPU)/1000 + acceleratorCores*float64(r.Accelerators)
}

// Step is a set of identical tasks of a job.
type Step struct {
	Count    int           `json:"n"`
	Need     Resources     `json:"need"`
	Estimate time.Duration `json:"est,omitempty"`   // of one task, approximate
	After    []int         `json:"after,omitempty"` // indexes of the steps that must be done before
	// Checkpoints means that a stopped task can resume from its last checkpoint.
	Checkpoints bool `json:"ckpt,omitempty"`
	// Gang means that the tasks start and end together.
	Gang bool `json:"gang,omitempty"`
	// OneRack means that the tasks run slower when they are spread over several racks.
	OneRack bool `json:"one_rack,omitempty"`
	// RequiredLabel is a label that the worker must have. Empty means any worker.
	RequiredLabel string `json:"label,omitempty"`
	// DataRack is the rack of the input data. The tasks run slower in any other.
	DataRack string `json:"data,omitempty"`
	// MaxPerWorker limits the tasks of one occurrence of the step on one worker. Zero means no limit.
	MaxPerWorker int `json:"max_per,omitempty"`
	// AllowDuplicates means that concurrent runs of the same task do no harm.
	AllowDuplicates bool `json:"dup,omitempty"`
	// LongRunning tasks run until the job is cancelled and are restarted whenever they end.
	LongRunning bool `json:"lasting,omitempty"`
	// MaxUnavailable limits the long-running tasks that the scheduler itself may stop at the same time.
	MaxUnavailable int `json:"may_miss,omitempty"`
	// BestEffortCPU means that no CPU time is reserved for the tasks.
	BestEffortCPU bool `json:"fill,omitempty"`
}

// Reserved returns the capacity that a task reserves on its worker.
func (s *Step) Reserved() Resources {
	r := s.Need
	if s.BestEffortCPU {
		r.MilliCPU = 0
	}
	return r
}

// Job is an accepted job.
type Job struct {
	ID      string `json:"id"`
	Queue   Queue  `json:"queue"` // as it was when the job was accepted
	Team    string `json:"team,omitempty"`
	Payload string `json:"payload,omitempty"`
	Steps   []Step `json:"steps"`
	// RepeatCount is the number of occurrences of a recurring job. Zero means that the job does not recur.
	RepeatCount int `json:"repeat,omitempty"`
	// FirstDue is when the first occurrence is due, Interval the time from each occurrence to the next.
	FirstDue time.Time     `json:"first,omitzero"`
	Interval time.Duration `json:"every,omitempty"`
	// AcceptedAt is the wall-clock time at which an entry accepted the job.
	AcceptedAt time.Time `json:"at"`
}

// Tasks returns the number of tasks of one occurrence.
func (j *Job) Tasks() int {
	n := 0
	for i := range j.Steps {
		n += j.Steps[i].Count
	}
	return n
}

// Occurrences returns how often the job runs.
func (j *Job) Occurrences() int { return max(j.RepeatCount, 1) }

// LongestChain returns the estimated duration of the longest chain of steps, at most MaxDuration, and zero without steps.
func (j *Job) LongestChain() time.Duration {
	return slices.Max(append(j.Chains(func(s *Step) time.Duration { return s.Estimate }), 0))
}

// Chains returns, for each step, the duration of the longest chain of steps that begins with it, at most MaxDuration, given
// the duration of a task of each step. The job must be valid: a step depends on earlier ones only, so each dependency is
// looked at once.
func (j *Job) Chains(duration func(*Step) time.Duration) []time.Duration {
	chains := make([]time.Duration, len(j.Steps))
	for i := len(j.Steps) - 1; i >= 0; i-- {
		chains[i] = min(chains[i]+duration(&j.Steps[i]), MaxDuration)
		for _, before := range j.Steps[i].After {
			chains[before] = max(chains[before], chains[i])
		}
	}
	return chains
}

// LeastNeed returns the least that a task of the steps without a predecessor needs, for each resource on its own.
func (j *Job) LeastNeed() Resources {
	least := Resources{MilliCPU: math.MaxInt, MemoryMB: math.MaxInt, Accelerators: math.MaxInt}
	for i := range j.Steps {
		if len(j.Steps[i].After) == 0 {
			least = least.Min(j.Steps[i].Reserved())
		}
	}
	return least
}

// Due returns the earliest start of an occurrence. The zero time means that it may start at once.
func (j *Job) Due(occurrence int) time.Time {
	if j.RepeatCount == 0 {
		return time.Time{}
	}
	return j.FirstDue.Add(time.Duration(occurrence) * j.Interval)
}

// Limits of a job's specification.
const (
	MaxSteps        = 64
	MaxStepTasks    = 4096
	MaxOccurrences  = 10_000
	MaxPayloadBytes = 4000
	// MaxDuration bounds the estimate of a task and the interval between two occurrences.
	MaxDuration = 10 * 365 * 24 * time.Hour
)

// Limits of a new job, which jobs of earlier releases may exceed.
const (
	// MaxJobTasks bounds the tasks of one occurrence. The record of their progress has to fit into one value of the store.
	MaxJobTasks = 4096
	// MaxLabelBytes bounds the label and the data rack of a step.
	MaxLabelBytes = 256
)

// ValidateNew is Validate for a job that has not been accepted yet. It also checks the limits of a new job.
func (j *Job) ValidateNew() error {
	if err := j.Validate(); err != nil {
		return err
	}
	for i := range j.Steps {
		if s := &j.Steps[i]; max(len(s.RequiredLabel), len(s.DataRack)) > MaxLabelBytes {
			return fmt.Errorf("step %d: label or data rack of more than %d bytes", i, MaxLabelBytes)
		}
	}
	if n := j.Tasks(); n > MaxJobTasks {
		return fmt.Errorf("steps: %d tasks in all, at most %d", n, MaxJobTasks)
	}
	return nil
}

// Validate returns an error that names the first invalid field.
func (j *Job) Validate() error {
	switch {
	case len(j.Payload) > MaxPayloadBytes:
		return fmt.Errorf("payload: %d bytes, at most %d", len(j.Payload), MaxPayloadBytes)
	case len(j.Steps) == 0 || len(j.Steps) > MaxSteps:
		return fmt.Errorf("steps: %d, from 1 to %d", len(j.Steps), MaxSteps)
	case j.RepeatCount < 0 || j.RepeatCount > MaxOccurrences:
		return fmt.Errorf("occurrences: %d, at most %d", j.RepeatCount, MaxOccurrences)
	case j.Interval < 0 || j.Interval > MaxDuration:
		return fmt.Errorf("interval: %v", j.Interval)
	}
	for i := range j.Steps {
		if err := j.Steps[i].validate(i); err != nil {
			return fmt.Errorf("step %d: %w", i, err)
		}
	}
	return nil
}

func (s *Step) validate(index int) error {
	if s.Count < 1 || s.Count > MaxStepTasks {
		return fmt.Errorf("count: %d, from 1 to %d", s.Count, MaxStepTasks)
	}
	if !s.Need.Valid() || s.Estimate < 0 || s.Estimate > MaxDuration || s.MaxPerWorker < 0 {
		return fmt.Errorf("need, estimate or bound per worker out of range")
	}
	for _, a := range s.After {
		if a < 0 || a >= index {
			return fmt.Errorf("after: %d is not an earlier step", a)
		}
	}
	return nil
}

// State is the state of a job as reported to callers.
type State string

// States of a job.
const (
	Queued    State = "queued"
	Running   State = "running"
	Completed State = "completed"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Final reports whether the state is terminal.
func (s State) Final() bool { return s == Completed || s == Failed || s == Cancelled }

// TaskID identifies a task of a job.
type TaskID struct {
	Job                     string
	Occurrence, Step, Index int
}

// String returns the name under which workers know the task. ParseTaskID parses it.
func (t TaskID) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", t.Job, t.Occurrence, t.Step, t.Index)
}

// Compare orders task ids by job, occurrence, step and index.
func (t TaskID) Compare(o TaskID) int {
	return cmp.Or(cmp.Compare(t.Job, o.Job), cmp.Compare(t.Occurrence, o.Occurrence), cmp.Compare(t.Step, o.Step),
		cmp.Compare(t.Index, o.Index))
}

// MarshalText implements encoding.TextMarshaler.
func (t TaskID) MarshalText() ([]byte, error) { return []byte(t.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (t *TaskID) UnmarshalText(text []byte) error {
	id, err := ParseTaskID(string(text))
	if err == nil {
		*t = id
	}
	return err
}

// ParseTaskID parses the result of TaskID.String.
func ParseTaskID(s string) (TaskID, error) {
	parts := strings.Split(s, ".")
	if len(parts) != 4 {
		return TaskID{}, fmt.Errorf("task name %q: %d parts, want 4", s, len(parts))
	}
	id := TaskID{Job: parts[0]}
	for i, field := range []*int{&id.Occurrence, &id.Step, &id.Index} {
		n, err := strconv.Atoi(parts[i+1])
		if err != nil || n < 0 {
			return TaskID{}, fmt.Errorf("task name %q: part %d is not a number", s, i+1)
		}
		*field = n
	}
	return id, nil
}
