package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"

	"masticcart.example/masticcart/internal/model"
	"masticcart.example/masticcart/internal/protocol"
)

// TaskResult describes how a task or a short request ended at the upstream. Rejected proves that it did not start.
type TaskResult struct {
	Phase    protocol.TaskPhase
	Rejected bool
	Output   json.RawMessage
	Reason   string
}

// Driver runs tasks on one upstream.
type Driver interface {
	// StopOrphans stops the tasks that an earlier incarnation of the agent left running on the upstream.
	StopOrphans(ctx context.Context) error
	// Run starts a task and returns when it has ended. A request on stopRequests stops the task, after a checkpoint if
	// the request asks for one.
	Run(ctx context.Context, l Launch, stopRequests <-chan StopRequest) TaskResult
}

// ErrUpstream is the error of a failed call to the upstream, and of a stop whose result is not recorded.
var ErrUpstream = merry.New("agent: upstream")

// upstreamClient is the JSON-over-HTTP client that both drivers use.
type upstreamClient struct {
	base string
	http *http.Client
}

// maxUpstreamConnections is the number of connections that an executor accepts.
const maxUpstreamConnections = 64

func newUpstreamClient(base string) *upstreamClient {
	transport := &http.Transport{MaxConnsPerHost: maxUpstreamConnections, MaxIdleConnsPerHost: maxUpstreamConnections,
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	return &upstreamClient{base: base, http: &http.Client{Transport: transport}}
}

// call sends body as JSON and decodes the response, which may be nil. The status is zero if no response arrived. The
// result maybeSent is false if the upstream has certainly not received the request.
func (c *upstreamClient) call(ctx context.Context, method, path string, body, response any) (
	status int, maybeSent bool, err error) {
	data, err := json.Marshal(body)
	if err != nil {
		return 0, false, merry.Wrap(ErrUpstream, merry.AppendMessagef("encode: %v", err))
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(data))
	if err != nil {
		return 0, false, merry.Wrap(ErrUpstream, merry.AppendMessagef("%v", err))
	}
	// Without GetBody net/http cannot resend the request on a new connection, so each call is sent at most once.
	req.GetBody = nil
	resp, err := c.http.Do(req)
	if err != nil {
		var op *net.OpError
		dialFailed := errors.As(err, &op) && op.Op == "dial"
		return 0, !dialFailed, merry.Wrap(ErrUpstream, merry.AppendMessagef("%v", err))
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, protocol.MaxPayloadBytes+1))
	if err == nil && len(raw) > protocol.MaxPayloadBytes {
		err = fmt.Errorf("answer exceeds %d bytes", protocol.MaxPayloadBytes)
	}
	if err == nil && response != nil && len(raw) > 0 {
		err = json.Unmarshal(raw, response)
	}
	if err != nil {
		return resp.StatusCode, true, merry.Wrap(ErrUpstream, merry.AppendMessagef("answer: %v", err))
	}
	return resp.StatusCode, true, nil
}

// launchNotPermitted is the result of a launch that MayStart refused.
func launchNotPermitted() TaskResult {
	return TaskResult{Phase: protocol.TaskStopped, Rejected: true,
		Reason: "stopped, or past the agent's lease, before the upstream was called"}
}

// taskID returns the ID by which the upstream knows an attempt.
func taskID(ref protocol.TaskRef) string {
	return fmt.Sprintf("%s:%s:%d", ref.Job.Team, ref.Job.ID, ref.Attempt)
}

// ExecutorDriver runs short requests and tasks on the slots of an executor.
type ExecutorDriver struct{ client *upstreamClient }

// NewExecutorDriver returns a driver for the executor at the base URL.
func NewExecutorDriver(base string) *ExecutorDriver {
	return &ExecutorDriver{client: newUpstreamClient(base)}
}

type runRequest struct {
	ID      string          `json:"id"`
	Kind    string          `json:"kind"`
	Payload json.RawMessage `json:"payload,omitempty"`
}

type runResponse struct {
	ID     string          `json:"id"`
	OK     bool            `json:"ok"`
	Output json.RawMessage `json:"output,omitempty"`
	Reason string          `json:"reason,omitempty"`
}

// StopOrphans implements Driver. It does nothing, since an executor cannot list or stop requests. The requests of an
// earlier incarnation free their slots as they end; until then the executor refuses new ones that find no free slot.
func (d *ExecutorDriver) StopOrphans(context.Context) error { return nil }

// Run implements Driver. It ignores stop requests, since an executor cannot stop a request.
func (d *ExecutorDriver) Run(ctx context.Context, l Launch, _ <-chan StopRequest) TaskResult {
	if !l.MayStart() {
		return launchNotPermitted()
	}
	return d.Execute(ctx, taskID(l.Ref), l.Spec.Kind, l.Spec.Payload)
}

// Execute implements Executor. It sends one request to the executor and waits for the response.
func (d *ExecutorDriver) Execute(ctx context.Context, id, kind string, payload json.RawMessage) TaskResult {
	var response runResponse
	status, maybeSent, err := d.client.call(ctx, http.MethodPost, "/run",
		runRequest{ID: id, Kind: kind, Payload: payload}, &response)
	switch {
	case err != nil && !maybeSent:
		return TaskResult{Phase: protocol.TaskStopped, Rejected: true, Reason: err.Error()}
	case err != nil:
		return TaskResult{Phase: protocol.TaskLost, Reason: err.Error()}
	case status == http.StatusServiceUnavailable:
		return TaskResult{Phase: protocol.TaskStopped, Rejected: true, Reason: "executor: " + response.Reason}
	case status != http.StatusOK:
		return TaskResult{Phase: protocol.TaskFailed,
			Reason: fmt.Sprintf("executor answered %d: %s", status, response.Reason)}
	case response.ID != id:
		return TaskResult{Phase: protocol.TaskLost, Reason: fmt.Sprintf("executor answered for %q", response.ID)}
	case !response.OK:
		return TaskResult{Phase: protocol.TaskFailed, Output: response.Output, Reason: response.Reason}
	}
	return TaskResult{Phase: protocol.TaskDone, Output: response.Output}
}

// WorkerDriver runs tasks on a worker, which ends a task whose lease is not renewed.
type WorkerDriver struct{ client *upstreamClient }

// NewWorkerDriver returns a driver for the worker at the base URL.
func NewWorkerDriver(base string) *WorkerDriver {
	return &WorkerDriver{client: newUpstreamClient(base)}
}

const (
	renewInterval     = protocol.TaskLease / 4
	pollInterval      = 250 * time.Millisecond
	workerCallTimeout = 1 * time.Second
	stopRetryInterval = 200 * time.Millisecond
	stateRunning      = "running"
	stateDone         = "done"
	stateFailed       = "failed"
	stateStopped      = "stopped"
	stateLeaseExpired = "lease_expired"
)

type taskRequest struct {
	ID           string          `json:"id"`
	Accelerators int             `json:"accelerators"`
	LeaseMS      int64           `json:"lease_ms"`
	Payload      json.RawMessage `json:"payload,omitempty"`
}

type taskResponse struct {
	ID         string          `json:"id"`
	State      string          `json:"state"`
	ProgressMS int64           `json:"progress_ms"`
	Output     json.RawMessage `json:"output,omitempty"`
	Reason     string          `json:"reason,omitempty"`
}

type checkpointData struct {
	ProgressMS int64 `json:"progress_ms"`
}

// StopOrphans implements Driver. It stops every task on the worker and returns once none is running.
func (d *WorkerDriver) StopOrphans(ctx context.Context) error {
	for {
		var tasks []taskResponse
		if _, _, err := d.client.call(ctx, http.MethodGet, "/tasks", nil, &tasks); err != nil {
			return err
		}
		running := 0
		for _, t := range tasks {
			if t.State == stateRunning {
				running++
				if _, _, err := d.client.call(ctx, http.MethodPost, "/tasks/"+t.ID+"/stop", nil, nil); err != nil {
					return err
				}
			}
		}
		if running == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(stopRetryInterval):
		}
	}
}

// Run implements Driver.
func (d *WorkerDriver) Run(ctx context.Context, l Launch, stopRequests <-chan StopRequest) TaskResult {
	id := taskID(l.Ref)
	body := taskRequest{ID: id, Accelerators: l.Units, LeaseMS: protocol.TaskLease.Milliseconds(),
		Payload: resumePayload(l.Spec, l.Checkpoint)}
	if !l.MayStart() {
		return launchNotPermitted()
	}
	callCtx, cancel := context.WithTimeout(ctx, workerCallTimeout)
	var response taskResponse
	status, maybeSent, err := d.client.call(callCtx, http.MethodPost, "/tasks", body, &response)
	cancel()
	switch {
	case err != nil && !maybeSent, err == nil && status >= http.StatusBadRequest:
		return TaskResult{Phase: protocol.TaskStopped, Rejected: true,
			Reason: fmt.Sprintf("worker refused: status %d %s %v", status, response.Reason, err)}
	case err != nil:
		// The task may have started. Its lease is not renewed, so it ends even if the worker cannot be reached.
		return d.stopUncertainTask(ctx, id, err)
	}
	return d.supervise(ctx, id, stopRequests)
}

// stopUncertainTask stops a task whose state is unknown. If the worker does not answer, it retries for TaskLease, after
// which the task's lease has expired. The phase is TaskLost, with cause as the reason, unless the task is known to be
// done.
func (d *WorkerDriver) stopUncertainTask(ctx context.Context, id string, cause error) TaskResult {
	deadline := time.Now().Add(protocol.TaskLease)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		if result, ok := d.checkpointAndStop(ctx, StopRequest{}, id); ok {
			if result.Phase == protocol.TaskDone {
				return result
			}
			break
		}
		time.Sleep(stopRetryInterval)
	}
	return TaskResult{Phase: protocol.TaskLost, Reason: cause.Error()}
}

// supervise renews the lease of a task and polls its state until the task ends or is stopped. If no renewal succeeds
// for TaskLease, the lease may have expired, and the task is stopped and reported lost.
func (d *WorkerDriver) supervise(ctx context.Context, id string, stopRequests <-chan StopRequest) TaskResult {
	poll := time.NewTicker(pollInterval)
	defer poll.Stop()
	lastRenewed := time.Now()
	for {
		select {
		case request := <-stopRequests:
			if result, ok := d.checkpointAndStop(ctx, request, id); ok {
				return result
			}
			return d.stopUncertainTask(ctx, id, errors.New("worker did not answer the stop"))
		case <-poll.C:
		}
		if time.Since(lastRenewed) > protocol.TaskLease {
			return d.stopUncertainTask(ctx, id, fmt.Errorf("lease not renewed for %s", protocol.TaskLease))
		}
		var response taskResponse
		if time.Since(lastRenewed) >= renewInterval {
			sentAt := time.Now()
			if status, err := d.callWithTimeout(ctx, http.MethodPost, "/tasks/"+id+"/renew",
				taskRequest{LeaseMS: protocol.TaskLease.Milliseconds()}, nil); err == nil && status < http.StatusBadRequest {
				lastRenewed = sentAt
			}
		}
		if _, err := d.callWithTimeout(ctx, http.MethodGet, "/tasks/"+id, nil, &response); err != nil {
			continue
		}
		if response.State != stateRunning {
			return taskResult(response)
		}
	}
}

// callWithTimeout makes a call that must end within workerCallTimeout and returns the HTTP status.
func (d *WorkerDriver) callWithTimeout(ctx context.Context, method, path string, body, response any) (int, error) {
	callCtx, cancel := context.WithTimeout(ctx, workerCallTimeout)
	defer cancel()
	status, _, err := d.client.call(callCtx, method, path, body, response)
	return status, err
}

// checkpointAndStop saves a checkpoint if the request asks for one, stops the task and returns its result. A failed
// checkpoint does not prevent the stop. It returns false if the worker did not confirm that the task has ended.
func (d *WorkerDriver) checkpointAndStop(ctx context.Context, request StopRequest, id string) (TaskResult, bool) {
	var saved taskResponse
	if request.Checkpoint {
		callCtx, cancel := context.WithTimeout(ctx, protocol.CheckpointTimeout)
		if status, _, err := d.client.call(callCtx, http.MethodPost, "/tasks/"+id+"/checkpoint", nil, &saved); err != nil ||
			status >= http.StatusBadRequest {
			saved = taskResponse{}
		}
		cancel()
	}
	if _, err := d.callWithTimeout(ctx, http.MethodPost, "/tasks/"+id+"/stop", nil, nil); err != nil {
		return TaskResult{}, false
	}
	var last taskResponse
	if _, err := d.callWithTimeout(ctx, http.MethodGet, "/tasks/"+id, nil, &last); err != nil ||
		last.State == stateRunning {
		return TaskResult{}, false
	}
	result := taskResult(last)
	if result.Phase == protocol.TaskStopped && saved.ProgressMS > 0 {
		result.Output, _ = json.Marshal(checkpointData{ProgressMS: saved.ProgressMS})
	}
	return result, true
}

// taskResult converts the worker's report of a task that no longer runs.
func taskResult(r taskResponse) TaskResult {
	switch r.State {
	case stateDone:
		return TaskResult{Phase: protocol.TaskDone, Output: r.Output}
	case stateFailed:
		return TaskResult{Phase: protocol.TaskFailed, Reason: "task failed on the worker " + r.Reason}
	case stateLeaseExpired:
		return TaskResult{Phase: protocol.TaskLost, Reason: "the task's lease expired"}
	case stateStopped:
		return TaskResult{Phase: protocol.TaskStopped, Reason: "stopped"}
	}
	return TaskResult{Phase: protocol.TaskLost, Reason: fmt.Sprintf("worker reports state %q", r.State)}
}

// resumePayload returns the job's payload with the progress of the checkpoint added as resume_ms. The payload stays
// unchanged if there is no progress or it is not a JSON object.
func resumePayload(spec model.JobSpec, checkpoint json.RawMessage) json.RawMessage {
	var saved checkpointData
	if len(checkpoint) == 0 || json.Unmarshal(checkpoint, &saved) != nil || saved.ProgressMS == 0 {
		return spec.Payload
	}
	fields := map[string]json.RawMessage{}
	if len(spec.Payload) > 0 && json.Unmarshal(spec.Payload, &fields) != nil {
		return spec.Payload
	}
	fields["resume_ms"], _ = json.Marshal(saved.ProgressMS)
	merged, err := json.Marshal(fields)
	if err != nil {
		return spec.Payload
	}
	return merged
}
