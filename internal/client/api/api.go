// Package api defines the bodies of the HTTP API that entries offer to callers and operators. Servers and
// clients share it.
package api

import (
	"encoding/json"
	"time"

	"masticcart.example/masticcart/internal/model"
)

// Paths of the API. The job paths are templates for gorilla/mux; JobPath, WaitPath and CancelPath fill them in.
const (
	PathRequests     = "/v1/requests"
	PathJobs         = "/v1/jobs"
	PathJob          = "/v1/jobs/{team}/{id}"
	PathJobWait      = "/v1/jobs/{team}/{id}/wait"
	PathJobCancel    = "/v1/jobs/{team}/{id}/cancel"
	PathQuery        = "/v1/query"
	PathChanges      = "/v1/changes"
	PathConfig       = "/v1/config"
	PathConfigStatus = "/v1/config/status"
)

// ParamTimeout is the query parameter of PathJobWait that bounds the wait, in milliseconds.
const ParamTimeout = "timeout_ms"

// MaxBodyBytes is the largest request body that an entry accepts: a payload of 1 MiB and the fields around it.
const MaxBodyBytes = 1<<20 + 64<<10

// Codes of error replies that clients react to. Servers may send others.
const (
	CodeBadRequest    = "bad_request"
	CodeUnauthorized  = "unauthorized"
	CodeForbidden     = "forbidden"
	CodeNotFound      = "not_found"
	CodeIDConflict    = "id_conflict"
	CodeStaleBase     = "stale_base"
	CodeInvalidChange = "invalid_change"
	CodeTooLarge      = "too_large"
	CodeOverloaded    = "overloaded"
	// CodeUnavailable means that the call certainly took no effect.
	CodeUnavailable = "unavailable"
	// CodeUnknownOutcome means that the call may have taken effect. Repeating it under the same id is safe for
	// jobs and requests, but not for changes.
	CodeUnknownOutcome = "unknown_outcome"
	CodeInternal       = "internal"
)

// RequestBody is the body of POST /v1/requests.
type RequestBody struct {
	ID        string          `json:"id"`
	Team      string          `json:"team"`
	Kind      string          `json:"kind"`
	Service   string          `json:"service"`
	Payload   json.RawMessage `json:"payload,omitempty"`
	TimeoutMS int64           `json:"timeout_ms"`
	// Idempotent defaults to true when absent.
	Idempotent *bool `json:"idempotent,omitempty"`
}

// IsIdempotent resolves the default of Idempotent.
func (b *RequestBody) IsIdempotent() bool { return b.Idempotent == nil || *b.Idempotent }

// Request converts the body to the shared model. The caller validates the result.
func (b *RequestBody) Request() model.Request {
	return model.Request{
		Key: model.JobKey{Team: b.Team, ID: b.ID}, Kind: b.Kind, Service: b.Service, Payload: b.Payload,
		Timeout: milliseconds(b.TimeoutMS),
	}
}

// JobBody is the body of POST /v1/jobs.
type JobBody struct {
	ID          string      `json:"id"`
	Team        string      `json:"team"`
	Kind        string      `json:"kind"`
	Service     string      `json:"service,omitempty"`
	Shape       model.Shape `json:"shape"`
	Idempotent  bool        `json:"idempotent"`
	Preemptible bool        `json:"preemptible"`
	RunTimeMS   int64       `json:"run_time_ms,omitempty"`
	// DeadlineMS is the last moment at which the job may start, counted from now. Zero means none.
	DeadlineMS int64           `json:"deadline_ms,omitempty"`
	Payload    json.RawMessage `json:"payload,omitempty"`
}

// Spec converts the body to the shared model. The caller validates the result.
func (b *JobBody) Spec(now time.Time) model.JobSpec {
	s := model.JobSpec{
		Key: model.JobKey{Team: b.Team, ID: b.ID}, Kind: b.Kind, Service: b.Service, Shape: b.Shape,
		Idempotent: b.Idempotent, Preemptible: b.Preemptible, RunTime: milliseconds(b.RunTimeMS), Payload: b.Payload,
	}
	if b.DeadlineMS != 0 {
		s.Deadline = now.Add(milliseconds(b.DeadlineMS))
	}
	return s
}

// JobReply is the reply of all job calls.
type JobReply struct {
	Job model.Job `json:"job"`
}

// QueryBody is the body of POST /v1/query.
type QueryBody struct {
	Query string `json:"query"`
}

// QueryReply is the reply of POST /v1/query. A cell is a string, a number, a boolean, a list of strings or null.
type QueryReply struct {
	Columns []string `json:"columns"`
	Rows    [][]any  `json:"rows"`
	// Incomplete lists the cells whose owner did not answer. Their jobs and workers are missing.
	Incomplete []string `json:"incomplete,omitempty"`
}

// ChangeBody is the body of POST /v1/changes. Base is the configuration version that the commands are based on;
// -1 stands for the version at the time of the write.
type ChangeBody struct {
	Base     int64  `json:"base"`
	DryRun   bool   `json:"dry_run,omitempty"`
	Commands string `json:"commands"`
}

// ChangeReply is the reply of POST /v1/changes. With DryRun, Version is the version that the change would get.
type ChangeReply struct {
	Version int64  `json:"version"`
	Summary string `json:"summary"`
}

// ConfigStatusReply is the reply of GET /v1/config/status.
type ConfigStatusReply struct {
	Rows []ConfigStatusRow `json:"rows"`
}

// ConfigStatusRow tells which configuration version one process has in force.
type ConfigStatusRow struct {
	Process string `json:"process"`
	Role    string `json:"role"`
	Region  string `json:"region"`
	Cell    string `json:"cell"`
	Version int64  `json:"version"`
}

// ErrorReply is the body of every reply with a 4xx or 5xx status. Head and Changes are set for CodeStaleBase.
type ErrorReply struct {
	Error   string   `json:"error"`
	Code    string   `json:"code"`
	Head    int64    `json:"head,omitempty"`
	Changes []string `json:"changes,omitempty"`
}

// JobPath returns the path of a job.
func JobPath(k model.JobKey) string { return PathJobs + "/" + k.Team + "/" + k.ID }

// WaitPath returns the path that waits for a job.
func WaitPath(k model.JobKey) string { return JobPath(k) + "/wait" }

// CancelPath returns the path that cancels a job.
func CancelPath(k model.JobKey) string { return JobPath(k) + "/cancel" }

// maxMilliseconds keeps the conversion to time.Duration from overflowing.
const maxMilliseconds = int64(1<<63-1) / int64(time.Millisecond)

func milliseconds(ms int64) time.Duration {
	return time.Duration(max(-maxMilliseconds, min(ms, maxMilliseconds))) * time.Millisecond
}
