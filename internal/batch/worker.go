package batch

import "fmt"

// Incarnation identifies one life of a worker process. A process that starts again under the same id has a later birth.
type Incarnation struct {
	ID        string `json:"id"`
	StartedMS int64  `json:"born"` // Unix milliseconds
}

// String returns the life as it stands in records and logs.
func (l Incarnation) String() string { return fmt.Sprintf("%s@%d", l.ID, l.StartedMS) }

// Worker is what a worker says of itself.
type Worker struct {
	Incarnation Incarnation `json:"life"`
	Service     string      `json:"service"`
	Cell        string      `json:"cell"` // data centre
	Labels      []string    `json:"labels"`
	Rack        string      `json:"rack"`
	Capacity    Resources   `json:"capacity"`
	// Leaving workers take no new tasks. LeavingInMS is the least time that they stay.
	Leaving     bool  `json:"leaving,omitempty"`
	LeavingInMS int64 `json:"leaving_in_ms,omitempty"`
	// Sequence orders the announcements of one life.
	Sequence int64 `json:"seq"`
}

// HasLabel reports whether the worker has a label. Every worker has the empty one.
func (w *Worker) HasLabel(label string) bool {
	if label == "" {
		return true
	}
	for _, l := range w.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// RunningTask is one run on a worker.
type RunningTask struct {
	Task       TaskID `json:"task"`
	Run        int    `json:"run"`
	Checkpoint string `json:"ckpt,omitempty"`
	Percent    int    `json:"pct"` // of the task's work
}

// Outcome tells how a run ended.
type Outcome string

// The ends of a run.
const (
	OutcomeDone           Outcome = "done"
	OutcomeFailed         Outcome = "failed"
	OutcomeStopped        Outcome = "stopped"
	OutcomeLeaseExpired   Outcome = "lapsed" // the worker's lease expired
	OutcomeGangBroken     Outcome = "broken" // another member of the gang ended
	OutcomeGangIncomplete Outcome = "alone"  // the rest of the gang did not come in time
)

// EndedTask is the end of a run, numbered in the order of the worker's life.
type EndedTask struct {
	Number     int64   `json:"n"`
	Task       TaskID  `json:"task"`
	Run        int     `json:"run"`
	Outcome    Outcome `json:"how"`
	Checkpoint string  `json:"ckpt,omitempty"`
}

// Runs is what runs on a worker and what has ended there and was not forgotten yet.
type Runs struct {
	Incarnation Incarnation   `json:"life"`
	ClockMS     int64         `json:"clock"` // the worker's steady clock
	Running     []RunningTask `json:"running"`
	Ended       []EndedTask   `json:"ended"`
}

// Verdict is a worker's answer to an order.
type Verdict string

// The verdicts. All but VerdictAccepted and VerdictUnknown mean that the worker did nothing.
const (
	VerdictAccepted       Verdict = "accepted"
	VerdictUnknown        Verdict = "unknown" // no answer: the order may have been carried out, or may be later
	VerdictFenced         Verdict = "fenced"  // the token was lower than one seen before
	VerdictStale          Verdict = "stale"   // the run is not higher than one that was stopped or ended there
	VerdictLeaseExpired   Verdict = "late"    // the lease in the order has expired already
	VerdictNoCapacity     Verdict = "no-room"
	VerdictRefused        Verdict = "refused" // for example an unhealthy worker
	VerdictOldIncarnation Verdict = "old-life"
)
