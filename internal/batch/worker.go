package batch

import "fmt"

// Incarnation identifies one incarnation of a worker: the period between a start and the next restart of its process. A
// process that restarts under the same id has a later start time.
type Incarnation struct {
	ID        string `json:"id"`
	StartedMS int64  `json:"born"` // start of the process in Unix milliseconds
}

// String returns the form that is used in records and logs.
func (i Incarnation) String() string { return fmt.Sprintf("%s@%d", i.ID, i.StartedMS) }

// Worker is a worker's announcement of itself.
type Worker struct {
	Incarnation Incarnation `json:"life"`
	Service     string      `json:"service"`
	Cell        string      `json:"cell"` // data centre
	Labels      []string    `json:"labels"`
	Rack        string      `json:"rack"`
	Capacity    Resources   `json:"capacity"`
	// Leaving means that the worker accepts no new tasks because it is about to stop. LeavingInMS is the least time
	// until then.
	Leaving     bool  `json:"leaving,omitempty"`
	LeavingInMS int64 `json:"leaving_in_ms,omitempty"`
	// ColdForMS is how much longer, from the announcement on, the worker is slow after its start.
	ColdForMS int64 `json:"cold_for_ms,omitempty"`
	// Sequence orders the announcements of one incarnation.
	Sequence int64 `json:"seq"`
}

// HasLabel reports whether the worker has a label. The empty label matches every worker.
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

// RunningTask is a run that is in progress on a worker.
type RunningTask struct {
	Task       TaskID `json:"task"`
	Run        int    `json:"run"`
	Checkpoint string `json:"ckpt,omitempty"`
	Percent    int    `json:"pct"` // of the task's work that is done
}

// Outcome tells how a run ended.
type Outcome string

// Outcomes of a run.
const (
	OutcomeDone           Outcome = "done"
	OutcomeFailed         Outcome = "failed"
	OutcomeStopped        Outcome = "stopped"
	OutcomeLeaseExpired   Outcome = "lapsed" // the worker's lease expired
	OutcomeGangBroken     Outcome = "broken" // another member of the gang ended
	OutcomeGangIncomplete Outcome = "alone"  // the other members of the gang did not start in time
)

// EndedTask is the end of a run. Number counts the ended runs of one incarnation of the worker.
type EndedTask struct {
	Number     int64   `json:"n"`
	Task       TaskID  `json:"task"`
	Run        int     `json:"run"`
	Outcome    Outcome `json:"how"`
	Checkpoint string  `json:"ckpt,omitempty"`
}

// Runs lists the runs in progress on a worker, and the ended runs that the leader has not acknowledged.
type Runs struct {
	Incarnation Incarnation   `json:"life"`
	ClockMS     int64         `json:"clock"` // the worker's monotonic clock
	Running     []RunningTask `json:"running"`
	Ended       []EndedTask   `json:"ended"`
}

// Verdict is a worker's answer to an order.
type Verdict string

// Verdicts of a worker. After any but VerdictAccepted and VerdictUnknown the worker has not carried out the order.
const (
	VerdictAccepted       Verdict = "accepted"
	VerdictUnknown        Verdict = "unknown" // no answer: the order may be carried out now or later
	VerdictFenced         Verdict = "fenced"  // the fencing token is lower than one seen before
	VerdictStale          Verdict = "stale"   // a run with this number or a higher one was stopped or has ended
	VerdictLeaseExpired   Verdict = "late"    // the lease in the order has already expired
	VerdictNoCapacity     Verdict = "no-room"
	VerdictRefused        Verdict = "refused" // for example by an unhealthy worker
	VerdictOldIncarnation Verdict = "old-life"
	VerdictNotSent        Verdict = "not-sent" // the leader may not send the order; that says nothing of the worker
)
