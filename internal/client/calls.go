package client

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/cenkalti/backoff/v5"

	"masticcart.example/masticcart/internal/client/api"
	"masticcart.example/masticcart/internal/model"
)

const (
	// waitPoll is the length of one long poll on a job. It stays below common idle limits of load balancers.
	waitPoll = 20 * time.Second
	// waitMargin ends the last poll before the caller's deadline, so that its answer arrives.
	waitMargin = 200 * time.Millisecond
)

// Request sends a short request and waits for its outcome. HadNoEffect tells whether an error proves that the
// request did not run.
func (c *Client) Request(ctx context.Context, b api.RequestBody) (model.Outcome, error) {
	var o model.Outcome
	_, lost, err := c.do(ctx, call{
		method: http.MethodPost, path: api.PathRequests, body: b, repeatable: true,
		timeout: time.Duration(b.TimeoutMS)*time.Millisecond + answerGrace,
	}, &o)
	if err == nil && lost && (!o.Ran || o.Result == model.ResultRefused) {
		// The refusal is about the last attempt only.
		return model.Outcome{
			Result: model.ResultUnknown, Ran: true,
			Reason: "the answer to an earlier attempt was lost; the last attempt: " + o.Reason,
		}, nil
	}
	return o, err
}

// Submit submits a job and reports whether it is new, rather than accepted under this id before.
func (c *Client) Submit(ctx context.Context, b api.JobBody) (job model.Job, created bool, err error) {
	var r api.JobReply
	status, _, err := c.do(ctx, call{method: http.MethodPost, path: api.PathJobs, body: b, repeatable: true}, &r)
	return r.Job, status == http.StatusAccepted, err
}

// Job returns the record of a job.
func (c *Client) Job(ctx context.Context, k model.JobKey) (model.Job, error) {
	var r api.JobReply
	err := c.get(ctx, api.JobPath(k), &r)
	return r.Job, err
}

// Wait returns the record of a job when it has finished or the timeout has passed.
func (c *Client) Wait(ctx context.Context, k model.JobKey, timeout time.Duration) (model.Job, error) {
	var r api.JobReply
	path := fmt.Sprintf("%s?%s=%d", api.WaitPath(k), api.ParamTimeout, timeout.Milliseconds())
	_, _, err := c.do(ctx, call{
		method: http.MethodGet, path: path, reads: true, repeatable: true, timeout: timeout + answerGrace,
	}, &r)
	return r.Job, err
}

// WaitFinished waits until a job has finished or ctx ends. It keeps trying while entries cannot be reached. With an
// error it returns the last record that it has seen, if any.
func (c *Client) WaitFinished(ctx context.Context, k model.JobKey) (model.Job, error) {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = roundPause, roundPauseMax
	var last model.Job
	for {
		job, err := c.Wait(ctx, k, pollLength(ctx))
		var answer *ReplyError
		switch {
		case err == nil && job.State == model.JobFinished:
			return job, nil
		case err == nil:
			last = job
			pause.Reset()
		case errors.As(err, &answer) && answer.Status < http.StatusInternalServerError:
			return last, err
		}
		// The pause also keeps an entry that answers at once from being called in a loop.
		if sleep(ctx, pause.NextBackOff()) != nil {
			return last, errors.Join(ctx.Err(), err)
		}
	}
}

func pollLength(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return waitPoll
	}
	return max(0, min(waitPoll, time.Until(deadline)-waitMargin))
}

// Cancel asks for a job to be cancelled and returns its record.
func (c *Client) Cancel(ctx context.Context, k model.JobKey) (model.Job, error) {
	var r api.JobReply
	_, _, err := c.do(ctx, call{method: http.MethodPost, path: api.CancelPath(k), repeatable: true}, &r)
	return r.Job, err
}

// Query evaluates a query.
func (c *Client) Query(ctx context.Context, text string) (api.QueryReply, error) {
	var r api.QueryReply
	_, _, err := c.do(ctx, call{
		method: http.MethodPost, path: api.PathQuery, body: api.QueryBody{Query: text}, reads: true, repeatable: true,
	}, &r)
	return r, err
}

// Change changes the configuration. Since a change has no id, it is sent to another entry only if no connection
// to the one before could be made.
func (c *Client) Change(ctx context.Context, b api.ChangeBody) (api.ChangeReply, error) {
	var r api.ChangeReply
	_, _, err := c.do(ctx, call{
		method: http.MethodPost, path: api.PathChanges, body: b, reads: b.DryRun, repeatable: b.DryRun,
	}, &r)
	return r, err
}

// Config returns the configuration in force, without token hashes.
func (c *Client) Config(ctx context.Context) (model.Config, error) {
	var r model.Config
	err := c.get(ctx, api.PathConfig, &r)
	return r, err
}

// ConfigStatus returns the configuration version of each process.
func (c *Client) ConfigStatus(ctx context.Context) (api.ConfigStatusReply, error) {
	var r api.ConfigStatusReply
	err := c.get(ctx, api.PathConfigStatus, &r)
	return r, err
}

func (c *Client) get(ctx context.Context, path string, reply any) error {
	_, _, err := c.do(ctx, call{method: http.MethodGet, path: path, reads: true, repeatable: true}, reply)
	return err
}
