package soak

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"sync"
	"time"

	"masticcart.example/masticcart/internal/batch"
	"masticcart.example/masticcart/internal/rulecheck"
)

// eventKind is the kind of an event that a stand-in process reports.
type eventKind string

const (
	eventLeaseExtended    eventKind = "extended"
	eventCapacityChanged  eventKind = "capacity"
	eventTaskCrashed      eventKind = "crashed"
	eventRunStarted       eventKind = "started"
	eventRunEnded         eventKind = "ended"
	eventEndsAcknowledged eventKind = "noted"
	eventLeaseExpired     eventKind = "lapsed"
	eventKeyRemoved       eventKind = "key-removed"
	eventKeyAdded         eventKind = "key-added"
)

// event is one line that a stand-in process writes to its standard output.
type event struct {
	At      int64         `json:"at"` // Unix microseconds
	Kind    eventKind     `json:"kind"`
	Until   int64         `json:"until,omitempty"` // Unix microseconds
	Task    string        `json:"task,omitempty"`
	Run     int           `json:"run,omitempty"`
	Payload string        `json:"payload,omitempty"`
	Outcome batch.Outcome `json:"how,omitempty"`
	Number  int64         `json:"number,omitempty"` // of the end of a run, as in standin.Observer
	Key     string        `json:"key,omitempty"`
	// Accelerators is the new capacity of a worker.
	Accelerators int `json:"acc,omitempty"`
}

// writeEvent writes an event to standard output. Callers call it before the action that it reports has an effect
// outside the process. The process exits with status 1 if the write fails.
func writeEvent(e event) {
	e.At = time.Now().UnixMicro()
	data, err := json.Marshal(e)
	if err == nil {
		_, err = os.Stdout.Write(append(data, '\n'))
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "soak: failed to write event:", err)
		os.Exit(1)
	}
}

// recorder sorts the events of all processes by time and delivers them to the checker.
type recorder struct {
	started time.Time

	mu      sync.Mutex
	checker *rulecheck.Checker
	pending []observation
	lapsed  int // runs whose lease has expired
}

// observation is an event of a process, or a result that a caller saw, to be reported to the checker.
type observation struct {
	at     time.Duration // since the start of the run
	report func(*rulecheck.Checker)
}

// reorderWindow is how long an event is kept back, so that earlier events of other processes can arrive first.
const reorderWindow = time.Second

func newRecorder(limits rulecheck.Limits) *recorder {
	return &recorder{started: time.Now(), checker: rulecheck.New(limits)}
}

// sinceStart returns the duration from the start of the run to a time.
func (r *recorder) sinceStart(at time.Time) time.Duration { return at.Sub(r.started) }

// add queues an observation made at a time for delivery to the checker.
func (r *recorder) add(at time.Time, report func(*rulecheck.Checker)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pending = append(r.pending, observation{r.sinceStart(at), report})
}

// deliver reports pending observations to the checker, ordered by time: those older than reorderWindow, or all.
func (r *recorder) deliver(all bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	slices.SortStableFunc(r.pending, func(a, b observation) int { return int(a.at - b.at) })
	limit := r.sinceStart(time.Now()) - reorderWindow
	for len(r.pending) > 0 && (all || r.pending[0].at <= limit) {
		r.pending[0].report(r.checker)
		r.pending = r.pending[1:]
	}
}

// violations delivers all pending observations and returns the violations that the checker found.
func (r *recorder) violations() []string {
	r.deliver(true)
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.checker.Violations()...)
}

// readEvents reads the events of a process until its output ends. name is the id of the worker, or empty for a process
// that is no worker.
func (r *recorder) readEvents(name string, output io.Reader) {
	lines := bufio.NewScanner(output)
	for lines.Scan() {
		var e event
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
			continue // the last line of a killed process may be incomplete
		}
		at := time.UnixMicro(e.At)
		r.add(at, func(c *rulecheck.Checker) { r.applyEvent(c, name, e, r.sinceStart(at)) })
	}
}

// applyEvent reports one event to the checker.
func (r *recorder) applyEvent(c *rulecheck.Checker, name string, e event, at time.Duration) {
	var task batch.TaskID
	if e.Task != "" {
		var err error
		if task, err = batch.ParseTaskID(e.Task); err != nil {
			c.AddViolation(at, "UNASKED: %v", err)
			return
		}
	}
	switch e.Kind {
	case eventLeaseExtended:
		c.LeaseExtended(name, r.sinceStart(time.UnixMicro(e.Until)))
	case eventCapacityChanged:
		c.CapacityChanged(name, batch.Resources{Accelerators: e.Accelerators}, at)
	case eventTaskCrashed:
		c.TaskCrashedWorker(task)
	case eventRunStarted:
		c.RunStarted(name, task, e.Run, e.Payload, at)
	case eventRunEnded:
		if e.Outcome == batch.OutcomeLeaseExpired {
			r.lapsed++ // with the mutex held, by deliver
		}
		c.RunEnded(name, e.Number, task, e.Run, e.Outcome, at)
	case eventEndsAcknowledged:
		c.EndsAcknowledged(name, e.Number)
	case eventLeaseExpired:
		c.LeaseExpired(name)
	case eventKeyRemoved:
		c.KeyRemoved(e.Key, at)
	case eventKeyAdded:
		c.KeyAdded(e.Key)
	}
}
