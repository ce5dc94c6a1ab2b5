package scheduler

import (
	"time"

	"masticcart.example/masticcart/internal/batch"
	"masticcart.example/masticcart/internal/kvstore"
)

// OrderKind tells what a worker is to do.
type OrderKind string

// The kinds of orders.
const (
	OrderStart OrderKind = "start"
	OrderStop  OrderKind = "stop"
)

// Order is one command to a worker.
type Order struct {
	Kind        OrderKind
	Node        string
	Incarnation batch.Incarnation
	Task        batch.TaskID
	Run         int
	Payload     string
	Checkpoint  string
}

// RecordChange is the new record of one job.
type RecordChange struct {
	Job    string
	Expect kvstore.Revision
	Record []byte
	State  batch.State
	// Delete removes the job with all its keys.
	Delete bool
}

// WriteBatch is what is written to the store in one transaction, and what follows from it.
type WriteBatch struct {
	Changes []RecordChange
	// orders are sent and forget is told to the workers after the write.
	orders    []Order
	acks      map[string]endAck
	committed bool
}

// endAck is the last end of a worker's life that is recorded.
type endAck struct {
	incarnation batch.Incarnation
	end         int64
}

// Report is what an agent said of its worker.
type Report struct {
	Node string
	// SentAt is when the leader sent the question, ReceivedAt when it had the answer.
	SentAt, ReceivedAt time.Duration
	// Ack is what the worker was told in the question.
	Ack     int64
	Worker  *batch.Worker
	HasLeft bool
	Runs    *batch.Runs
}
