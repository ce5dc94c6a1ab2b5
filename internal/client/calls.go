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
	// longPollTimeout is the duration of one long poll on a job. It is below the usual idle timeouts of load balancers.
	longPollTimeout = 20 * time.Second
	// longPollMargin ends the last poll before the caller's deadline, so that its reply arrives in time.
	longPollMargin = 200 * time.Millisecond
)

// Request sends a short request and waits for its outcome. If it fails, HadNoEffect tells whether the error proves that
// the request did not run. A refusal after a lost reply is returned as an unknown outcome.
func (c *Client) Request(ctx context.Context, b api.RequestBody) (model.Outcome, error) {
	var o model.Outcome
	_, replyLost, err := c.do(ctx, apiCall{
		method: http.MethodPost, path: api.PathRequests, body: b, retryable: true,
		timeout: time.Duration(b.TimeoutMS)*time.Millisecond + replyGrace,
	}, &o)
	if err == nil && replyLost && (!o.Ran || o.Result == model.ResultRefused) {
		// The refusal covers only the last attempt; the one whose reply was lost may have run.
		return model.Outcome{
			Result: model.ResultUnknown, Ran: true,
			Reason: "the answer to an earlier attempt was lost; the last attempt: " + o.Reason,
		}, nil
	}
	return o, err
}

// Submit submits a job. created is false if the job had already been accepted under this id.
func (c *Client) Submit(ctx context.Context, b api.JobBody) (job model.Job, created bool, err error) {
	var r api.JobReply
	status, _, err := c.do(ctx, apiCall{method: http.MethodPost, path: api.PathJobs, body: b, retryable: true}, &r)
	return r.Job, status == http.StatusAccepted, err
}

// Job returns the record of a job.
func (c *Client) Job(ctx context.Context, k model.JobKey) (model.Job, error) {
	var r api.JobReply
	err := c.get(ctx, api.JobPath(k), &r)
	return r.Job, err
}

// Wait makes one long poll: it returns the record of a job when the job has finished or the timeout has passed.
func (c *Client) Wait(ctx context.Context, k model.JobKey, timeout time.Duration) (model.Job, error) {
	var r api.JobReply
	path := fmt.Sprintf("%s?%s=%d", api.WaitPath(k), api.ParamTimeout, timeout.Milliseconds())
	_, _, err := c.do(ctx, apiCall{
		method: http.MethodGet, path: path, readOnly: true, retryable: true, timeout: timeout + replyGrace,
	}, &r)
	return r.Job, err
}

// WaitFinished waits until a job has finished or ctx ends. It retries while entries cannot be reached or fail. Together
// with an error it returns the last record received, if any.
func (c *Client) WaitFinished(ctx context.Context, k model.JobKey) (model.Job, error) {
	pollBackoff := backoff.NewExponentialBackOff()
	pollBackoff.InitialInterval, pollBackoff.MaxInterval = initialRoundBackoff, maxRoundBackoff
	var lastSeen model.Job
	for {
		job, err := c.Wait(ctx, k, nextPollTimeout(ctx))
		var replyErr *ReplyError
		switch {
		case err == nil && job.State == model.JobFinished:
			return job, nil
		case err == nil:
			lastSeen = job
			pollBackoff.Reset()
		case errors.As(err, &replyErr) && replyErr.Status < http.StatusInternalServerError:
			return lastSeen, err
		}
		// The back-off also prevents a busy loop when an entry replies without waiting.
		if sleep(ctx, pollBackoff.NextBackOff()) != nil {
			return lastSeen, errors.Join(ctx.Err(), err)
		}
	}
}

// nextPollTimeout returns the timeout of the next long poll, which ends before the deadline of ctx.
func nextPollTimeout(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return longPollTimeout
	}
	return max(0, min(longPollTimeout, time.Until(deadline)-longPollMargin))
}

// Cancel requests the cancellation of a job and returns its record.
func (c *Client) Cancel(ctx context.Context, k model.JobKey) (model.Job, error) {
	var r api.JobReply
	_, _, err := c.do(ctx, apiCall{method: http.MethodPost, path: api.CancelPath(k), retryable: true}, &r)
	return r.Job, err
}

// Query evaluates a query.
func (c *Client) Query(ctx context.Context, text string) (api.QueryReply, error) {
	var r api.QueryReply
	_, _, err := c.do(ctx, apiCall{
		method: http.MethodPost, path: api.PathQuery, body: api.QueryBody{Query: text}, readOnly: true, retryable: true,
	}, &r)
	return r, err
}

// Change changes the configuration. Since a change has no id, repeating it is not safe: except for a dry run, it is
// sent to another entry only if there was no connection to the previous one.
func (c *Client) Change(ctx context.Context, b api.ChangeBody) (api.ChangeReply, error) {
	var r api.ChangeReply
	_, _, err := c.do(ctx, apiCall{
		method: http.MethodPost, path: api.PathChanges, body: b, readOnly: b.DryRun, retryable: b.DryRun,
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
	_, _, err := c.do(ctx, apiCall{method: http.MethodGet, path: path, readOnly: true, retryable: true}, reply)
	return err
}
