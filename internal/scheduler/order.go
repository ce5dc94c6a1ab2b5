package scheduler

import (
	"time"

	"masticcart.example/masticcart/internal/batch"
	"masticcart.example/masticcart/internal/kvstore"
	"masticcart.example/masticcart/internal/refusal"
	"masticcart.example/masticcart/internal/relay"
)

// OrderKind is the action that an order requests.
type OrderKind string

// Kinds of orders.
const (
	OrderStart OrderKind = "start"
	OrderStop  OrderKind = "stop"
)

// Order is a command to a worker for one run of a task.
type Order struct {
	Kind        OrderKind
	Node        string
	Incarnation batch.Incarnation
	Task        batch.TaskID
	Run         int
	Payload     string
	Checkpoint  string
}

// RecordChange is an update of the record of one job.
type RecordChange struct {
	Job    string
	Expect kvstore.Revision
	Record []byte
	State  batch.State
	// Delete deletes all keys of the job.
	Delete bool
	// DeleteCancel deletes the cancellation of a job that is not stored, and changes nothing else.
	DeleteCancel bool
}

// WriteBatch is a set of record changes that are written in one transaction, with the messages that may be sent once
// they are committed.
type WriteBatch struct {
	Changes []RecordChange
	// orders and acks are for the workers.
	orders    []Order
	acks      []endAck
	committed bool
}

// endAck acknowledges recorded ends of the worker on a node.
type endAck struct {
	node string
	ack  relay.EndAck
}

// Report is an agent's answer to a poll.
type Report struct {
	Node string
	// SentAt is when the leader sent the request, ReceivedAt when it received the answer.
	SentAt, ReceivedAt time.Duration
	// AckedThrough is the number in the request up to which ended runs were acknowledged, zero for none.
	AckedThrough int64
	Worker       *batch.Worker     // nil if there is no new announcement
	Deregistered batch.Incarnation // has announced its end; zero for none
	Runs         *batch.Runs       // nil if the agent did not get them
	// RetainedEnds are ends that the agent has retained and that are not in Runs.
	RetainedEnds []relay.IncarnationEnds
	WorkerDown   bool // the worker did not answer the agent
	// NotListening means that no worker process listens at the worker's address.
	NotListening bool
	Speed        *relay.Speed     // that the agent keeps for the worker; nil for none
	Refusals     *refusal.Summary // of starts by the incarnation that answers; nil for none
}
