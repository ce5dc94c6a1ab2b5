package batch

import "fmt"

// Life identifies one life of a worker process. A process that starts again under the same id has a later birth.
type Life struct {
	ID   string `json:"id"`
	Born int64  `json:"born"` // Unix milliseconds
}

// String returns the life as it stands in records and logs.
func (l Life) String() string { return fmt.Sprintf("%s@%d", l.ID, l.Born) }

// Worker is what a worker says of itself.
type Worker struct {
	Life     Life      `json:"life"`
	Service  string    `json:"service"`
	Cell     string    `json:"cell"` // data centre
	Labels   []string  `json:"labels"`
	Rack     string    `json:"rack"`
	Capacity Resources `json:"capacity"`
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

// How tells how a run ended.
type How string

// The ends of a run.
const (
	EndDone    How = "done"
	EndFailed  How = "failed"
	EndStopped How = "stopped"
	EndLapsed  How = "lapsed" // the worker's lease expired
	EndBroken  How = "broken" // another member of the gang ended
	EndAlone   How = "alone"  // the rest of the gang did not come in time
)

// EndedTask is the end of a run, numbered in the order of the worker's life.
type EndedTask struct {
	Number     int64  `json:"n"`
	Task       TaskID `json:"task"`
	Run        int    `json:"run"`
	How        How    `json:"how"`
	Checkpoint string `json:"ckpt,omitempty"`
}

// Runs is what runs on a worker and what has ended there and was not forgotten yet.
type Runs struct {
	Life    Life          `json:"life"`
	ClockMS int64         `json:"clock"` // the worker's steady clock
	Running []RunningTask `json:"running"`
	Ended   []EndedTask   `json:"ended"`
}

// Verdict is a worker's answer to an order.
type Verdict string

// The verdicts. All but Accepted and Unknown mean that the worker did nothing.
const (
	Accepted Verdict = "accepted"
	Unknown  Verdict = "unknown" // no answer: the order may have been carried out, or may be later
	Fenced   Verdict = "fenced"  // the token was lower than one seen before
	Stale    Verdict = "stale"   // the run is not higher than one that was stopped or ended there
	Late     Verdict = "late"    // the lease in the order has expired already
	NoRoom   Verdict = "no-room"
	Refused  Verdict = "refused" // for example an unhealthy worker
	OldLife  Verdict = "old-life"
)
