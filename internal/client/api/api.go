// Package api defines the paths, bodies and error codes of the HTTP API that entries offer to callers and operators.
// Servers and clients share it.
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

// ParamTimeout is the query parameter of PathJobWait that limits the wait, in milliseconds.
const ParamTimeout = "timeout_ms"

// MaxBodyBytes is the largest request body that an entry accepts: a payload of 1 MiB and 64 KiB for the other fields.
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
	// CodeUnavailable means that the call had no effect.
	CodeUnavailable = "unavailable"
	// CodeUnknownOutcome means that the call may have had an effect. Repeating it under the same id is safe for jobs
	// and requests, but not for changes, which have no id.
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

// IsIdempotent returns the value of Idempotent, or true if it is absent.
func (b *RequestBody) IsIdempotent() bool { return b.Idempotent == nil || *b.Idempotent }

// Request converts the body to a model.Request. It does not validate it.
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
	// DeadlineMS is the time within which the job must start, counted from its receipt. Zero means no deadline.
	DeadlineMS int64           `json:"deadline_ms,omitempty"`
	Payload    json.RawMessage `json:"payload,omitempty"`
}

// Spec converts the body, received at now, to a model.JobSpec. It does not validate it.
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

// JobReply is the reply to every call on a job.
type JobReply struct {
	Job model.Job `json:"job"`
}

// QueryBody is the body of POST /v1/query.
type QueryBody struct {
	Query string `json:"query"`
}

// QueryReply is the reply to POST /v1/query. A value in Rows is a string, a number, a boolean, a list of strings or
// null.
type QueryReply struct {
	Columns []string `json:"columns"`
	Rows    [][]any  `json:"rows"`
	// Incomplete lists the cells whose owner did not reply. Their jobs and workers are missing from Rows.
	Incomplete []string `json:"incomplete,omitempty"`
}

// ChangeBody is the body of POST /v1/changes. Base is the configuration version that the commands are based on;
// -1 means whichever version is current when the change is written.
type ChangeBody struct {
	Base     int64  `json:"base"`
	DryRun   bool   `json:"dry_run,omitempty"`
	Commands string `json:"commands"`
}

// ChangeReply is the reply to POST /v1/changes. For a dry run, Version is the version that the change would get.
type ChangeReply struct {
	Version int64  `json:"version"`
	Summary string `json:"summary"`
}

// ConfigStatusReply is the reply to GET /v1/config/status.
type ConfigStatusReply struct {
	Rows []ConfigStatusRow `json:"rows"`
}

// ConfigStatusRow is the configuration version that one process applies.
type ConfigStatusRow struct {
	Process string `json:"process"`
	Role    string `json:"role"`
	Region  string `json:"region"`
	Cell    string `json:"cell"`
	Version int64  `json:"version"`
}

// ErrorReply is the body of every reply with a 4xx or 5xx status. With CodeStaleBase, Head is the current configuration
// version and Changes describes what has changed since the base.
type ErrorReply struct {
	Error   string   `json:"error"`
	Code    string   `json:"code"`
	Head    int64    `json:"head,omitempty"`
	Changes []string `json:"changes,omitempty"`
}

// JobPath returns the path of the record of a job.
func JobPath(k model.JobKey) string { return PathJobs + "/" + k.Team + "/" + k.ID }

// WaitPath returns the path of a long poll on a job.
func WaitPath(k model.JobKey) string { return JobPath(k) + "/wait" }

// CancelPath returns the path for cancelling a job.
func CancelPath(k model.JobKey) string { return JobPath(k) + "/cancel" }

// maxMilliseconds is the largest number of milliseconds that a time.Duration can hold.
const maxMilliseconds = int64(1<<63-1) / int64(time.Millisecond)

// milliseconds converts ms to a time.Duration, limited to the range that does not overflow.
func milliseconds(ms int64) time.Duration {
	return time.Duration(max(-maxMilliseconds, min(ms, maxMilliseconds))) * time.Millisecond
}
