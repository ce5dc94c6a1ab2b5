// Package relay is the agent beside a worker as the scheduler sees it: it hands the leader's orders to the worker and
// the worker's runs to the leader. It decides nothing, keeps nothing that has to last, and obeys the newest term only.
package relay

import (
	"errors"

	"github.com/sourcegraph/jsonrpc2"

	"masticcart.example/masticcart/internal/batch"
)

// Methods that an agent serves to the leader.
const (
	MethodSync  = "relay.sync"
	MethodStart = "relay.start"
	MethodStop  = "relay.stop"
)

// codeSuperseded is the JSON-RPC error of a call of an old term.
const codeSuperseded = -32010

// IsStaleTerm reports whether an agent refused a call because it obeys a later term.
func IsStaleTerm(err error) bool {
	var remote *jsonrpc2.Error
	return errors.As(err, &remote) && remote.Code == codeSuperseded
}

// SyncRequest asks for the worker's runs and extends the lease of what runs.
type SyncRequest struct {
	Term  int64 `json:"term"`
	Fence int64 `json:"fence"`
	// Incarnation is the one that LeaseUntilMS and AckedThrough are meant for. Another life gets neither.
	Incarnation batch.Incarnation `json:"life"`
	// LeaseUntilMS is on the worker's clock. Zero extends nothing.
	LeaseUntilMS int64 `json:"lease,omitempty"`
	// AckedThrough is the number up to which ends are recorded and need not be returned again.
	AckedThrough int64 `json:"forget"`
	// WaitMS is how long the answer may wait for an end.
	WaitMS int64 `json:"wait,omitempty"`
	// Sequence is that of the last announcement that the leader knows; the answer leaves out one that it knows.
	Sequence int64 `json:"seq"`
}

// SyncResponse answers a SyncRequest.
type SyncResponse struct {
	// Worker is what the worker said last of itself. Nil: nothing yet, or nothing new.
	Worker *batch.Worker `json:"worker,omitempty"`
	// Deregistered means that the worker has announced its end.
	Deregistered bool `json:"left,omitempty"`
	// Runs is nil if the worker did not answer; Problem says why.
	Runs  *batch.Runs `json:"runs,omitempty"`
	Error string      `json:"problem,omitempty"`
}

// StartRequest starts one run of a task.
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

// StopRequest stops one run of a task, and keeps it from starting if it has not.
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
