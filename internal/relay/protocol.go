// Package relay is the scheduler-facing part of the agent beside a worker. It forwards the leader's orders to the
// worker and reports the worker's runs to the leader. It makes no decisions, keeps no durable state, and accepts only
// calls of the newest term.
package relay

import (
	"errors"

	"github.com/sourcegraph/jsonrpc2"

	"masticcart.example/masticcart/internal/batch"
	"masticcart.example/masticcart/internal/refusal"
)

// Methods that an agent serves to the leader.
const (
	MethodSync  = "relay.sync"
	MethodStart = "relay.start"
	MethodStop  = "relay.stop"
)

// codeStaleTerm is the JSON-RPC error code of a rejected call of an earlier term.
const codeStaleTerm = -32010

// IsStaleTerm reports whether an agent rejected a call because it has seen a later term.
func IsStaleTerm(err error) bool {
	var remote *jsonrpc2.Error
	return errors.As(err, &remote) && remote.Code == codeStaleTerm
}

// SyncRequest asks for the worker's runs and extends the lease of the running ones.
type SyncRequest struct {
	Term int64 `json:"term"`
	// Fence is the fencing token with which the worker rejects calls of earlier leaders.
	Fence int64 `json:"fence"`
	// Incarnation is the one that LeaseUntilMS and AckedThrough apply to. They are not passed to any other.
	Incarnation batch.Incarnation `json:"life"`
	// LeaseUntilMS is the end of the extended lease in milliseconds on the worker's clock. Zero extends nothing.
	LeaseUntilMS int64 `json:"lease,omitempty"`
	// AckedThrough is the number of the last ended run that the leader has recorded. Ended runs up to it need not be
	// returned again.
	AckedThrough int64 `json:"forget"`
	// AckedEnds acknowledges the ended runs of earlier incarnations, which the agent has retained.
	AckedEnds []EndAck `json:"forget_retained,omitempty"`
	// WaitMS is how long the response may wait for a run to end.
	WaitMS int64 `json:"wait,omitempty"`
	// Sequence is that of the last announcement that the leader has received. The response omits the announcement if it
	// is not newer.
	Sequence int64 `json:"seq"`
	// Speed is the leader's estimate of the worker's speed, which the agent keeps for the next leader. It is nil if the
	// leader has none.
	Speed *Speed `json:"speed,omitempty"`
}

// EndAck acknowledges the ended runs of one incarnation of a worker up to a number.
type EndAck struct {
	Incarnation batch.Incarnation `json:"life"`
	Through     int64             `json:"through"`
}

// IncarnationEnds lists ended runs of one incarnation of a worker in the order of their numbers.
type IncarnationEnds struct {
	Incarnation batch.Incarnation `json:"life"`
	Ended       []batch.EndedTask `json:"ended"`
}

// Speed is the estimated speed of one incarnation of a worker.
type Speed struct {
	Incarnation batch.Incarnation `json:"life"`
	// Factor is the worker's duration relative to that of a typical worker of its service.
	Factor     float64 `json:"factor"`
	Confidence float64 `json:"confidence"` // 0 to 1
}

// SyncResponse answers a SyncRequest.
type SyncResponse struct {
	// Worker is the worker's last announcement. It is nil if there is none or the leader has it.
	Worker *batch.Worker `json:"worker,omitempty"`
	// Deregistered is the incarnation that has announced its end, zero for none. Its runs may still be in progress.
	Deregistered batch.Incarnation `json:"left_life,omitzero"`
	// Runs is nil if the worker did not answer; Error then has the reason.
	Runs  *batch.Runs `json:"runs,omitempty"`
	Error string      `json:"problem,omitempty"`
	// RetainedEnds lists the unacknowledged ended runs that incarnations of the worker have listed before and that are not
	// in Runs. They apply before anything else in the response: without them the runs would be taken as lost.
	RetainedEnds []IncarnationEnds `json:"retained,omitempty"`
	// NotListening means that the worker's address refuses connections: no worker process is there, and all calls to it
	// are answered or have failed.
	NotListening bool `json:"no_listener,omitempty"`
	// Speed is the last estimate that a leader has sent for the incarnation that the agent serves, nil for none.
	Speed *Speed `json:"speed,omitempty"`
	// Refusals says which starts the worker has refused, for a leader that has not seen it. It is nil if the worker has
	// accepted the last one.
	Refusals *refusal.Summary `json:"refusals,omitempty"`
}

// StartRequest starts one run of a task. LeaseUntilMS is the end of its lease in milliseconds on the worker's clock.
type StartRequest struct {
	Term         int64             `json:"term"`
	Fence        int64             `json:"fence"`
	Incarnation  batch.Incarnation `json:"life"`
	Task         batch.TaskID      `json:"task"`
	Run          int               `json:"run"`
	Payload      string            `json:"payload,omitempty"`
	Checkpoint   string            `json:"ckpt,omitempty"`
	LeaseUntilMS int64             `json:"lease"`
}

// StopRequest stops one run of a task, or prevents its start if it has not started.
type StopRequest struct {
	Term        int64             `json:"term"`
	Fence       int64             `json:"fence"`
	Incarnation batch.Incarnation `json:"life"`
	Task        batch.TaskID      `json:"task"`
	Run         int               `json:"run"`
}

// OrderResponse answers a StartRequest or StopRequest.
type OrderResponse struct {
	Verdict batch.Verdict `json:"verdict"`
	Error   string        `json:"problem,omitempty"`
}
