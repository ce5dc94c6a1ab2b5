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
	// outcomeTimeout is how long a job may take until its outcome: a lost attempt, a restarted one and the work itself.
	outcomeTimeout = 2*protocol.GangStopBound + 15*time.Second
)

// sentWork is one job or short request that the test has sent, and the reply that its caller got.
type sentWork struct {
	idempotent   bool
	accelerators int
	outputBytes  int
	want         model.Result // empty if any result and any typed error will do
	acknowledged bool         // the job was accepted
	outcome      *model.Outcome
	err          error
	noEffect     bool // the error says that the work did not run
	typedError   bool
	recordLost   bool // the platform lost its records, so there can be no outcome
}

// updateWork applies change to the entry of d.workByKey for the key, which it creates if there is none.
func (d *deployment) updateWork(key string, change func(*sentWork)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	w := d.workByKey[key]
	change(&w)
	d.workByKey[key] = w
}

func (w *sentWork) setError(err error) {
	w.err, w.noEffect, w.typedError = err, client.HadNoEffect(err), isTypedError(err)
}

// isTypedError reports whether an error is of a type that the client documents.
func isTypedError(err error) bool {
	var answer *client.ReplyError
	return errors.As(err, &answer) || errors.Is(err, client.ErrUnknownOutcome) || errors.Is(err, client.ErrUnreachable)
}

func payload(workTime time.Duration, outputBytes int) json.RawMessage {
	return json.RawMessage(fmt.Sprintf(`{"work_ms":%d,"output_bytes":%d}`, workTime.Milliseconds(), outputBytes))
}

// sendRequest sends a short request of teamA, waits for the reply and records it in d.workByKey.
func (d *deployment) sendRequest(c *client.Client, id string, workTime time.Duration, want model.Result) {
	key := teamA + "/" + id
	d.updateWork(key, func(w *sentWork) { *w = sentWork{idempotent: true, outputBytes: requestOutput, want: want} })
	ctx, cancel := context.WithTimeout(context.Background(), outcomeTimeout)
	defer cancel()
	o, err := c.Request(ctx, api.RequestBody{ID: id, Team: teamA, Kind: "check", Service: service,
		TimeoutMS: requestTimeout.Milliseconds(), Payload: payload(workTime, requestOutput)})
	d.updateWork(key, func(w *sentWork) {
		if err != nil {
			w.setError(err)
			if want != "" {
				d.Errorf("%s: %v, want %s", key, err, want)
			}
			return
		}
		w.outcome = &o
	})
}

// submitJob submits a job and records the acknowledgement or the error in d.workByKey.
func (d *deployment) submitJob(c *client.Client, body api.JobBody, want model.Result) error {
	key := body.Team + ":" + body.ID
	d.updateWork(key, func(w *sentWork) {
		*w = sentWork{idempotent: body.Idempotent, accelerators: body.Shape.Accelerators, outputBytes: jobOutput, want: want}
	})
	ctx, cancel := context.WithTimeout(context.Background(), outcomeTimeout)
	defer cancel()
	_, _, err := c.Submit(ctx, body)
	d.updateWork(key, func(w *sentWork) {
		w.acknowledged = err == nil
		if err != nil {
			w.setError(err)
		}
	})
	return err
}

// submitRetrace submits a job of teamB that needs a slot and is not idempotent.
func (d *deployment) submitRetrace(c *client.Client, id string, workTime time.Duration, want model.Result) error {
	return d.submitJob(c, api.JobBody{ID: id, Team: teamB, Kind: "retrace", Service: service, Shape: model.Shape{Slots: 1},
		Payload: payload(workTime, jobOutput)}, want)
}

// submitGang submits an idempotent job of teamA on accelerators of one rack. Its expected result is done.
func (d *deployment) submitGang(c *client.Client, id string, accelerators int, workTime time.Duration) error {
	return d.submitJob(c, api.JobBody{ID: id, Team: teamA, Kind: "training", Idempotent: true,
		Shape:   model.Shape{Accelerators: accelerators, Adjacency: model.AdjacentRack},
		Payload: payload(workTime, 0)}, model.ResultDone)
}

// waitOutcomes waits for the outcomes of all acknowledged jobs and records them in d.workByKey.
func (d *deployment) waitOutcomes() {
	d.Helper()
	var wg sync.WaitGroup
	d.mu.Lock()
	pending := map[string]model.JobKey{}
	for key, w := range d.workByKey {
		if w.acknowledged && w.outcome == nil {
			team, id, _ := strings.Cut(key, ":")
			pending[key] = model.JobKey{Team: team, ID: id}
		}
	}
	d.mu.Unlock()
	for key, job := range pending {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), outcomeTimeout)
			defer cancel()
			record, err := d.operator.WaitFinished(ctx, job)
			d.updateWork(key, func(w *sentWork) {
				w.outcome = record.Outcome
				if err != nil {
					w.setError(fmt.Errorf("state %s, attempt %d: %w", record.State, record.Attempt, err))
				}
			})
		})
	}
	wg.Wait()
}

const (
	mixCount     = 4 // retraces, and as many long requests
	firstRetrace = teamB + ":retrace-0"
)

// startMix starts retraces and long requests, waits until all of them run and returns a group that waits for the
// replies to the requests. Outcomes of requests through the entry at the address paused may be unknown, since agents
// close their sessions with an entry that does not respond.
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
	for i := range mixCount {
		answers.Go(func() { d.sendRequest(clients[i%2], fmt.Sprintf("answer-%d", i), workTime, wants[i%2]) })
		if err := d.submitRetrace(d.clientB, fmt.Sprintf("retrace-%d", i), workTime, want); err != nil {
			d.Fatalf("retrace %d: %v", i, err)
		}
	}
	d.poll("retraces and requests run", callTimeout, func() bool { return len(d.history())-before >= 2*mixCount })
	return answers
}

// startGang submits a gang, waits until all its members run and returns its key.
func (d *deployment) startGang(id string, workTime time.Duration) string {
	d.Helper()
	if err := d.submitGang(d.clientA, id, gangSize, workTime); err != nil {
		d.Fatalf("gang %s: %v", id, err)
	}
	key := teamA + ":" + id
	d.poll(key+" runs", outcomeTimeout, func() bool { return d.unitsInUse(key) == gangSize })
	return key
}
