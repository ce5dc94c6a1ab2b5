package processtest

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"masticcart.example/masticcart/internal/client"
	"masticcart.example/masticcart/internal/client/api"
	"masticcart.example/masticcart/internal/model"
	"masticcart.example/masticcart/internal/protocol"
)

const (
	unitsPerWorker = 8
	gangSize       = 2 * unitsPerWorker
	jobOutput      = 20_000
	requestOutput  = 300_000
	requestTimeout = 25 * time.Second
	// outcomeTime is how long a job may take to its outcome: a lost attempt, the restart of it and the work itself.
	outcomeTime = 2*protocol.GangStopBound + 15*time.Second
)

// work is one job or short request and what its caller was told.
type work struct {
	idempotent   bool
	accelerators int
	outputBytes  int
	want         model.Result // empty for any typed result
	acknowledged bool         // a job was accepted
	outcome      *model.Outcome
	err          error
	notRun       bool // the error says that it did not run
	typed        bool
	lost         bool // the platform lost its memory, so that there can be no outcome
}

func (d *deployment) record(key string, change func(*work)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	w := d.works[key]
	change(&w)
	d.works[key] = w
}

func (w *work) fail(err error) {
	w.err, w.notRun, w.typed = err, client.HadNoEffect(err), typed(err)
}

// typed reports whether an error is one that the client documents.
func typed(err error) bool {
	var answer *client.ReplyError
	return errors.As(err, &answer) || errors.Is(err, client.ErrUnknownOutcome) || errors.Is(err, client.ErrUnreachable)
}

func payload(workTime time.Duration, outputBytes int) json.RawMessage {
	return json.RawMessage(fmt.Sprintf(`{"work_ms":%d,"output_bytes":%d}`, workTime.Milliseconds(), outputBytes))
}

// request sends a short request, waits for the answer and records it.
func (d *deployment) request(c *client.Client, id string, workTime time.Duration, want model.Result) {
	key := teamA + "/" + id
	d.record(key, func(w *work) { *w = work{idempotent: true, outputBytes: requestOutput, want: want} })
	ctx, cancel := context.WithTimeout(context.Background(), outcomeTime)
	defer cancel()
	o, err := c.Request(ctx, api.RequestBody{ID: id, Team: teamA, Kind: "check", Service: service,
		TimeoutMS: requestTimeout.Milliseconds(), Payload: payload(workTime, requestOutput)})
	d.record(key, func(w *work) {
		if err != nil {
			w.fail(err)
			if want != "" {
				d.Errorf("%s: %v, want %s", key, err, want)
			}
			return
		}
		w.outcome = &o
	})
}

func (d *deployment) submit(c *client.Client, body api.JobBody, want model.Result) error {
	key := body.Team + ":" + body.ID
	d.record(key, func(w *work) {
		*w = work{idempotent: body.Idempotent, accelerators: body.Shape.Accelerators, outputBytes: jobOutput, want: want}
	})
	ctx, cancel := context.WithTimeout(context.Background(), outcomeTime)
	defer cancel()
	_, _, err := c.Submit(ctx, body)
	d.record(key, func(w *work) {
		w.acknowledged = err == nil
		if err != nil {
			w.fail(err)
		}
	})
	return err
}

// retrace submits a job on a slot that is not idempotent.
func (d *deployment) retrace(c *client.Client, id string, workTime time.Duration, want model.Result) error {
	return d.submit(c, api.JobBody{ID: id, Team: teamB, Kind: "retrace", Service: service, Shape: model.Shape{Slots: 1},
		Payload: payload(workTime, jobOutput)}, want)
}

// gang submits an idempotent job on accelerators of one rack, which must be done in the end.
func (d *deployment) gang(c *client.Client, id string, accelerators int, workTime time.Duration) error {
	return d.submit(c, api.JobBody{ID: id, Team: teamA, Kind: "training", Idempotent: true,
		Shape: model.Shape{Accelerators: accelerators, Adjacency: model.AdjacentRack}, Payload: payload(workTime, 0)}, model.ResultDone)
}

// finish waits for the outcomes of all acknowledged jobs.
func (d *deployment) finish() {
	d.Helper()
	var waits sync.WaitGroup
	d.mu.Lock()
	open := map[string]model.JobKey{}
	for key, w := range d.works {
		if w.acknowledged && w.outcome == nil {
			team, id, _ := strings.Cut(key, ":")
			open[key] = model.JobKey{Team: team, ID: id}
		}
	}
	d.mu.Unlock()
	for key, job := range open {
		waits.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), outcomeTime)
			defer cancel()
			record, err := d.operator.WaitFinished(ctx, job)
			d.record(key, func(w *work) {
				w.outcome = record.Outcome
				if err != nil {
					w.fail(fmt.Errorf("state %s, attempt %d: %w", record.State, record.Attempt, err))
				}
			})
		})
	}
	waits.Wait()
}

const (
	mixSize      = 4 // of retraces and of long answers
	firstRetrace = teamB + ":retrace-0"
)

// startMix starts retraces and long answers, waits until all of them run and returns what waits for the answers.
// Answers through the entry at the address paused may be unknown, since the agents end their sessions with an entry
// that does not answer.
func (d *deployment) startMix(workTime time.Duration, want model.Result, paused string) *sync.WaitGroup {
	d.Helper()
	answers := &sync.WaitGroup{}
	before := len(d.history())
	a, b := d.layout.APIs["riga"][0], d.layout.APIs["riga"][1]
	clients := []*client.Client{d.client(tokenOf(teamA), a, b), d.client(tokenOf(teamA), b, a)}
	wants := []model.Result{want, want}
	for i, address := range []string{a, b} {
		if address == paused {
			wants[i] = ""
		}
	}
	for i := range mixSize {
		answers.Go(func() { d.request(clients[i%2], fmt.Sprintf("answer-%d", i), workTime, wants[i%2]) })
		if err := d.retrace(d.b, fmt.Sprintf("retrace-%d", i), workTime, want); err != nil {
			d.Fatalf("retrace %d: %v", i, err)
		}
	}
	d.poll("retraces and answers run", callTime, func() bool { return len(d.history())-before >= 2*mixSize })
	return answers
}

// startGang submits a gang and waits until all of it runs.
func (d *deployment) startGang(id string, workTime time.Duration) string {
	d.Helper()
	if err := d.gang(d.a, id, gangSize, workTime); err != nil {
		d.Fatalf("gang %s: %v", id, err)
	}
	key := teamA + ":" + id
	d.poll(key+" runs", outcomeTime, func() bool { return d.units(key) == gangSize })
	return key
}
