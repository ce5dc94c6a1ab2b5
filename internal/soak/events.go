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

// eventKind names what a stand-in process tells.
type eventKind string

const (
	eventExtended   eventKind = "extended"
	eventStarted    eventKind = "started"
	eventEnded      eventKind = "ended"
	eventNoted      eventKind = "noted"
	eventLapsed     eventKind = "lapsed"
	eventKeyRemoved eventKind = "key-removed"
	eventKeyAdded   eventKind = "key-added"
)

// event is one line that a stand-in process writes to its standard output.
type event struct {
	At      int64         `json:"at"` // Unix microseconds
	Kind    eventKind     `json:"kind"`
	Until   int64         `json:"until,omitempty"` // Unix microseconds
	Task    string        `json:"task,omitempty"`
	Run     int           `json:"run,omitempty"`
	Payload string        `json:"payload,omitempty"`
	How     batch.Outcome `json:"how,omitempty"`
	Number  int64         `json:"number,omitempty"`
	Key     string        `json:"key,omitempty"`
}

// emit writes an event before what it tells of can have an effect outside the process.
func emit(e event) {
	e.At = time.Now().UnixMicro()
	data, err := json.Marshal(e)
	if err == nil {
		_, err = os.Stdout.Write(append(data, '\n'))
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "soak: event not written:", err)
		os.Exit(1)
	}
}

// recorder brings the events of all processes into the order of their times and hands them to the checker.
type recorder struct {
	began time.Time

	mu      sync.Mutex
	checker *rulecheck.Checker
	pending []observation
}

type observation struct {
	at  time.Duration // since the run began
	say func(*rulecheck.Checker)
}

// eventLag is how long events wait for earlier ones of other processes.
const eventLag = time.Second

func newRecorder(b rulecheck.Limits) *recorder {
	return &recorder{began: time.Now(), checker: rulecheck.New(b)}
}

// since returns a time as a span from the beginning of the run.
func (r *recorder) since(at time.Time) time.Duration { return at.Sub(r.began) }

// add takes an observation made at a time.
func (r *recorder) add(at time.Time, say func(*rulecheck.Checker)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pending = append(r.pending, observation{r.since(at), say})
}

// judge hands over what is older than the lag, or all.
func (r *recorder) judge(all bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	slices.SortStableFunc(r.pending, func(a, b observation) int { return int(a.at - b.at) })
	limit := r.since(time.Now()) - eventLag
	for len(r.pending) > 0 && (all || r.pending[0].at <= limit) {
		r.pending[0].say(r.checker)
		r.pending = r.pending[1:]
	}
}

// broken returns the broken rules after everything was judged.
func (r *recorder) broken() []string {
	r.judge(true)
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.checker.Violations()...)
}

// read takes the events of a process until its output ends. name is the worker of a worker process.
func (r *recorder) read(name string, output io.Reader) {
	lines := bufio.NewScanner(output)
	for lines.Scan() {
		var e event
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
			continue // the last line of a process that was killed may be cut
		}
		at := time.UnixMicro(e.At)
		r.add(at, func(c *rulecheck.Checker) { r.apply(c, name, e, r.since(at)) })
	}
}

// apply hands one event to the checker.
func (r *recorder) apply(c *rulecheck.Checker, name string, e event, at time.Duration) {
	var task batch.TaskID
	if e.Task != "" {
		var err error
		if task, err = batch.ParseTaskID(e.Task); err != nil {
			c.AddViolation(at, "UNASKED: %v", err)
			return
		}
	}
	switch e.Kind {
	case eventExtended:
		c.LeaseExtended(name, r.since(time.UnixMicro(e.Until)))
	case eventStarted:
		c.RunStarted(name, task, e.Run, e.Payload, at)
	case eventEnded:
		c.RunEnded(name, e.Number, task, e.Run, e.How, at)
	case eventNoted:
		c.EndsAcknowledged(name, e.Number)
	case eventLapsed:
		c.LeaseExpired(name)
	case eventKeyRemoved:
		c.KeyRemoved(e.Key, at)
	case eventKeyAdded:
		c.KeyAdded(e.Key)
	}
}
