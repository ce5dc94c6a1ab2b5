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

// TaskResult is how a task ended at the upstream. A rejected result is proof that it did not start.
type TaskResult struct {
	Phase    protocol.TaskPhase
	Rejected bool
	Output   json.RawMessage
	Reason   string
}

// Driver runs tasks on one upstream.
type Driver interface {
	// StopOrphans stops whatever an earlier incarnation of the agent left behind.
	StopOrphans(ctx context.Context) error
	// Run starts a task and returns when it has ended. When halted is closed the task is stopped, after a
	// checkpoint if halt asks for one.
	Run(ctx context.Context, l Launch, halted <-chan StopRequest) TaskResult
}

// ErrUpstream is the error of calls to the upstream beside the agent.
var ErrUpstream = merry.New("agent: upstream")

// upstreamClient is the JSON-over-HTTP client that both drivers share.
type upstreamClient struct {
	base string
	http *http.Client
}

// upstreamConnections is the number of connections that an executor accepts.
const upstreamConnections = 64

func newUpstreamClient(base string) *upstreamClient {
	transport := &http.Transport{MaxConnsPerHost: upstreamConnections, MaxIdleConnsPerHost: upstreamConnections,
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	return &upstreamClient{base: base, http: &http.Client{Transport: transport}}
}

// call posts body and decodes the answer. The status is zero when no answer came; sent tells whether the
// upstream may have seen the call.
func (c *upstreamClient) call(ctx context.Context, method, path string, body, answer any) (status int, sent bool, err error) {
	data, err := json.Marshal(body)
	if err != nil {
		return 0, false, merry.Wrap(ErrUpstream, merry.AppendMessagef("encode: %v", err))
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(data))
	if err != nil {
		return 0, false, merry.Wrap(ErrUpstream, merry.AppendMessagef("%v", err))
	}
	// Without GetBody net/http cannot send a request a second time on a fresh connection.
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
	if err == nil && answer != nil && len(raw) > 0 {
		err = json.Unmarshal(raw, answer)
	}
	if err != nil {
		return resp.StatusCode, true, merry.Wrap(ErrUpstream, merry.AppendMessagef("answer: %v", err))
	}
	return resp.StatusCode, true, nil
}

// notPermitted ends a launch that came too late.
func notPermitted() TaskResult {
	return TaskResult{Phase: protocol.TaskStopped, Rejected: true, Reason: "stopped, or past the agent's lease, before the upstream was called"}
}

// taskID names an attempt at the upstream.
func taskID(ref protocol.TaskRef) string {
	return fmt.Sprintf("%s:%s:%d", ref.Job.Team, ref.Job.ID, ref.Attempt)
}

// ExecutorDriver runs requests and slot tasks on an executor.
type ExecutorDriver struct{ client *upstreamClient }

// NewExecutorDriver returns the driver for the executor at an HTTP address.
func NewExecutorDriver(base string) *ExecutorDriver {
	return &ExecutorDriver{client: newUpstreamClient(base)}
}

type runBody struct {
	ID      string          `json:"id"`
	Kind    string          `json:"kind"`
	Payload json.RawMessage `json:"payload,omitempty"`
}

type runAnswer struct {
	ID     string          `json:"id"`
	OK     bool            `json:"ok"`
	Output json.RawMessage `json:"output,omitempty"`
	Reason string          `json:"reason,omitempty"`
}

// StopOrphans implements Driver. An executor cannot list or stop requests; the slots of an earlier incarnation's
// requests come back as they end, and until then the executor answers that it has no free slot.
func (d *ExecutorDriver) StopOrphans(context.Context) error { return nil }

// Run implements Driver. A request cannot be halted; it runs to its end.
func (d *ExecutorDriver) Run(ctx context.Context, l Launch, _ <-chan StopRequest) TaskResult {
	if !l.MayStart() {
		return notPermitted()
	}
	return d.Execute(ctx, taskID(l.Ref), l.Spec.Kind, l.Spec.Payload)
}

// Execute runs one request and waits for its answer.
func (d *ExecutorDriver) Execute(ctx context.Context, id, kind string, payload json.RawMessage) TaskResult {
	var answer runAnswer
	status, sent, err := d.client.call(ctx, http.MethodPost, "/run", runBody{ID: id, Kind: kind, Payload: payload}, &answer)
	switch {
	case err != nil && !sent:
		return TaskResult{Phase: protocol.TaskStopped, Rejected: true, Reason: err.Error()}
	case err != nil:
		return TaskResult{Phase: protocol.TaskLost, Reason: err.Error()}
	case status == http.StatusServiceUnavailable:
		return TaskResult{Phase: protocol.TaskStopped, Rejected: true, Reason: "executor: " + answer.Reason}
	case status != http.StatusOK:
		return TaskResult{Phase: protocol.TaskFailed, Reason: fmt.Sprintf("executor answered %d: %s", status, answer.Reason)}
	case answer.ID != id:
		return TaskResult{Phase: protocol.TaskLost, Reason: fmt.Sprintf("executor answered for %q", answer.ID)}
	case !answer.OK:
		return TaskResult{Phase: protocol.TaskFailed, Output: answer.Output, Reason: answer.Reason}
	}
	return TaskResult{Phase: protocol.TaskDone, Output: answer.Output}
}

// WorkerDriver runs tasks under leases on a worker.
type WorkerDriver struct{ client *upstreamClient }

// NewWorkerDriver returns the driver for the worker at an HTTP address.
func NewWorkerDriver(base string) *WorkerDriver {
	return &WorkerDriver{client: newUpstreamClient(base)}
}

const (
	renewInterval  = protocol.TaskLease / 4
	pollInterval   = 250 * time.Millisecond
	workerTimeout  = 1 * time.Second
	resetInterval  = 200 * time.Millisecond
	stateRunning   = "running"
	stateDone      = "done"
	stateFailed    = "failed"
	stateStopped   = "stopped"
	stateLeaseOver = "lease_expired"
)

type taskBody struct {
	ID           string          `json:"id"`
	Accelerators int             `json:"accelerators"`
	LeaseMS      int64           `json:"lease_ms"`
	Payload      json.RawMessage `json:"payload,omitempty"`
}

type taskAnswer struct {
	ID         string          `json:"id"`
	State      string          `json:"state"`
	ProgressMS int64           `json:"progress_ms"`
	Output     json.RawMessage `json:"output,omitempty"`
	Reason     string          `json:"reason,omitempty"`
}

type checkpointState struct {
	ProgressMS int64 `json:"progress_ms"`
}

// StopOrphans implements Driver. It returns once nothing runs on the worker.
func (d *WorkerDriver) StopOrphans(ctx context.Context) error {
	for {
		var tasks []taskAnswer
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
		case <-time.After(resetInterval):
		}
	}
}

// Run implements Driver.
func (d *WorkerDriver) Run(ctx context.Context, l Launch, halted <-chan StopRequest) TaskResult {
	id := taskID(l.Ref)
	body := taskBody{ID: id, Accelerators: l.Units, LeaseMS: protocol.TaskLease.Milliseconds(),
		Payload: resumePayload(l.Spec, l.Checkpoint)}
	if !l.MayStart() {
		return notPermitted()
	}
	callCtx, cancel := context.WithTimeout(ctx, workerTimeout)
	var answer taskAnswer
	status, sent, err := d.client.call(callCtx, http.MethodPost, "/tasks", body, &answer)
	cancel()
	switch {
	case err != nil && !sent, err == nil && status >= http.StatusBadRequest:
		return TaskResult{Phase: protocol.TaskStopped, Rejected: true, Reason: fmt.Sprintf("worker refused: status %d %s %v", status, answer.Reason, err)}
	case err != nil:
		// The task may run; without renewal its lease ends it.
		return d.abandon(ctx, id, err)
	}
	return d.supervise(ctx, id, halted)
}

// abandon stops a task whose state is unclear, or waits until its lease has certainly ended it.
func (d *WorkerDriver) abandon(ctx context.Context, id string, cause error) TaskResult {
	deadline := time.Now().Add(protocol.TaskLease)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		if end, ok := d.stop(ctx, StopRequest{}, id); ok {
			if end.Phase == protocol.TaskDone {
				return end
			}
			break
		}
		time.Sleep(resetInterval)
	}
	return TaskResult{Phase: protocol.TaskLost, Reason: cause.Error()}
}

// supervise renews the task's lease until it ends.
func (d *WorkerDriver) supervise(ctx context.Context, id string, halted <-chan StopRequest) TaskResult {
	poll := time.NewTicker(pollInterval)
	defer poll.Stop()
	lastRenewed := time.Now()
	for {
		select {
		case h := <-halted:
			if end, ok := d.stop(ctx, h, id); ok {
				return end
			}
			return d.abandon(ctx, id, errors.New("worker did not answer the stop"))
		case <-poll.C:
		}
		if time.Since(lastRenewed) > protocol.TaskLease {
			return d.abandon(ctx, id, fmt.Errorf("lease not renewed for %s", protocol.TaskLease))
		}
		var answer taskAnswer
		if time.Since(lastRenewed) >= renewInterval {
			sentAt := time.Now()
			if status, err := d.timed(ctx, http.MethodPost, "/tasks/"+id+"/renew", taskBody{LeaseMS: protocol.TaskLease.Milliseconds()}, nil); err == nil && status < http.StatusBadRequest {
				lastRenewed = sentAt
			}
		}
		if _, err := d.timed(ctx, http.MethodGet, "/tasks/"+id, nil, &answer); err != nil {
			continue
		}
		if answer.State != stateRunning {
			return endOf(answer)
		}
	}
}

func (d *WorkerDriver) timed(ctx context.Context, method, path string, body, answer any) (int, error) {
	callCtx, cancel := context.WithTimeout(ctx, workerTimeout)
	defer cancel()
	status, _, err := d.client.call(callCtx, method, path, body, answer)
	return status, err
}

// stop checkpoints if asked, stops the task and returns its end; false means that the worker did not answer.
func (d *WorkerDriver) stop(ctx context.Context, h StopRequest, id string) (TaskResult, bool) {
	var saved taskAnswer
	if h.Checkpoint {
		callCtx, cancel := context.WithTimeout(ctx, protocol.CheckpointTimeout)
		if status, _, err := d.client.call(callCtx, http.MethodPost, "/tasks/"+id+"/checkpoint", nil, &saved); err != nil || status >= http.StatusBadRequest {
			saved = taskAnswer{}
		}
		cancel()
	}
	if _, err := d.timed(ctx, http.MethodPost, "/tasks/"+id+"/stop", nil, nil); err != nil {
		return TaskResult{}, false
	}
	var last taskAnswer
	if _, err := d.timed(ctx, http.MethodGet, "/tasks/"+id, nil, &last); err != nil || last.State == stateRunning {
		return TaskResult{}, false
	}
	end := endOf(last)
	if end.Phase == protocol.TaskStopped && saved.ProgressMS > 0 {
		end.Output, _ = json.Marshal(checkpointState{ProgressMS: saved.ProgressMS})
	}
	return end, true
}

func endOf(a taskAnswer) TaskResult {
	switch a.State {
	case stateDone:
		return TaskResult{Phase: protocol.TaskDone, Output: a.Output}
	case stateFailed:
		return TaskResult{Phase: protocol.TaskFailed, Reason: "task failed on the worker " + a.Reason}
	case stateLeaseOver:
		return TaskResult{Phase: protocol.TaskLost, Reason: "the task's lease expired"}
	case stateStopped:
		return TaskResult{Phase: protocol.TaskStopped, Reason: "stopped"}
	}
	return TaskResult{Phase: protocol.TaskLost, Reason: fmt.Sprintf("worker reports state %q", a.State)}
}

// resumePayload adds the progress of a checkpoint to the payload, if the payload is a JSON object.
func resumePayload(spec model.JobSpec, checkpoint json.RawMessage) json.RawMessage {
	var state checkpointState
	if len(checkpoint) == 0 || json.Unmarshal(checkpoint, &state) != nil || state.ProgressMS == 0 {
		return spec.Payload
	}
	fields := map[string]json.RawMessage{}
	if len(spec.Payload) > 0 && json.Unmarshal(spec.Payload, &fields) != nil {
		return spec.Payload
	}
	fields["resume_ms"], _ = json.Marshal(state.ProgressMS)
	merged, err := json.Marshal(fields)
	if err != nil {
		return spec.Payload
	}
	return merged
}
