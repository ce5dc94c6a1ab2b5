package model

import (
	"encoding/json"
	"fmt"
	"regexp"
	"time"
)

// JobKey identifies a job by its team and by the id that the caller chose.
type JobKey struct {
	Team string `json:"team"`
	ID   string `json:"id"`
}

// String returns team/id.
func (k JobKey) String() string { return k.Team + "/" + k.ID }

// Less orders keys by team, then by id.
func (k JobKey) Less(o JobKey) bool {
	if k.Team != o.Team {
		return k.Team < o.Team
	}
	return k.ID < o.ID
}

// JobSpec is a job as submitted by a caller.
type JobSpec struct {
	Key     JobKey `json:"key"`
	Kind    string `json:"kind"`
	Service string `json:"service,omitempty"` // of the executors; required for shapes with slots
	Shape   Shape  `json:"shape"`
	// Idempotent work may be started again after an attempt was lost. Other work starts at most once.
	Idempotent bool `json:"idempotent"`
	// Preemptible work can be checkpointed and stopped when its capacity is reclaimed.
	Preemptible bool            `json:"preemptible"`
	RunTime     time.Duration   `json:"run_time,omitempty"` // as declared by the caller, in nanoseconds; 0 if not declared
	Payload     json.RawMessage `json:"payload,omitempty"`
	// Deadline is the latest time at which the job may start. Zero means none.
	Deadline time.Time `json:"deadline,omitzero"`
}

var namePattern = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9._-]{0,127}$`)

// ValidName reports whether s is valid as the name of a team, kind or service or as the id of a request or job.
func ValidName(s string) bool { return namePattern.MatchString(s) }

// MaxRunTime is the longest run time that a job may declare.
const MaxRunTime = 90 * 24 * time.Hour

// Validate returns an error that describes the first invalid field, or nil.
func (s JobSpec) Validate() error {
	switch {
	case !ValidName(s.Key.Team):
		return fmt.Errorf("team %q: want 1 to 128 letters, digits, '.', '_' or '-'", s.Key.Team)
	case !ValidName(s.Key.ID):
		return fmt.Errorf("id %q: want 1 to 128 letters, digits, '.', '_' or '-'", s.Key.ID)
	case !ValidName(s.Kind):
		return fmt.Errorf("kind %q: want 1 to 128 letters, digits, '.', '_' or '-'", s.Kind)
	case s.RunTime < 0 || s.RunTime > MaxRunTime:
		return fmt.Errorf("run time %s: want 0 to %s", s.RunTime, MaxRunTime)
	case s.Preemptible && !s.Idempotent:
		return fmt.Errorf("preemptible: work that is not idempotent cannot be stopped and started again")
	case s.Shape.Slots > 0 && !ValidName(s.Service):
		return fmt.Errorf("service %q: a job on slots needs the name of its service", s.Service)
	}
	return s.Shape.Validate()
}

// JobState is the durable state of a job record.
type JobState string

// The states of a job record. In the state claimed, an attempt may have started.
const (
	JobAccepted JobState = "accepted"
	JobClaimed  JobState = "claimed"
	JobFinished JobState = "finished"
)

// Result classifies the outcome of a request or job.
type Result string

// The results that are reported to callers. Refused means that the work did not run.
const (
	ResultDone      Result = "done"
	ResultFailed    Result = "failed"
	ResultRefused   Result = "refused"
	ResultCancelled Result = "cancelled"
	ResultUnknown   Result = "unknown"
)

// Outcome is the final answer for a request or a job.
type Outcome struct {
	Result Result `json:"result"`
	// Ran is true if any attempt may have started. It is false for refused work.
	Ran    bool            `json:"ran"`
	Reason string          `json:"reason,omitempty"`
	Output json.RawMessage `json:"output,omitempty"`
}

// Member is the share of a job that runs on one agent.
type Member struct {
	Agent       string `json:"agent"`
	Incarnation string `json:"incarnation"`
	Units       int    `json:"units"`
}

// Job is the durable record of a job.
type Job struct {
	Spec  JobSpec  `json:"spec"`
	Cell  string   `json:"cell"`
	State JobState `json:"state"`
	// Attempt is the number of the last claimed attempt, or 0 if none was claimed. Numbers may have gaps, since an
	// attempt that ends before its claim uses a number too.
	Attempt int      `json:"attempt"`
	Members []Member `json:"members,omitempty"`
	// Claim identifies the claim of the attempt. The attempt number is not unique: two entries that both consider
	// themselves the owner of the cell may use the same one.
	Claim string `json:"claim,omitempty"`
	// Revoked tells every entry that supervises the attempt to stop it and not to renew its leases.
	Revoked bool `json:"revoked,omitempty"`
	// Ran is true if an earlier attempt may have run. It does not cover the current attempt: in the state claimed, that
	// one may have run too.
	Ran             bool     `json:"ran"`
	CancelRequested bool     `json:"cancel_requested,omitempty"`
	FailedOn        []string `json:"failed_on,omitempty"` // upstreams on which an attempt failed
	Failures        int      `json:"failures,omitempty"`  // attempts that failed
	// Checkpoint is the state that the last preempted attempt saved.
	Checkpoint json.RawMessage `json:"checkpoint,omitempty"`
	Outcome    *Outcome        `json:"outcome,omitempty"`
	// Nonce identifies the write of this version. After a lost answer the writer compares it with the stored record.
	Nonce     string    `json:"nonce"`
	Submitted time.Time `json:"submitted"`
	Claimed   time.Time `json:"claimed,omitzero"`
	Finished  time.Time `json:"finished,omitzero"`
	// Guaranteed is true if the attempt uses the team's guarantee.
	Guaranteed bool `json:"guaranteed,omitempty"`
}

// Request is a short request, which is answered on the caller's connection. All short requests are idempotent.
type Request struct {
	Key     JobKey          `json:"key"`
	Kind    string          `json:"kind"`
	Service string          `json:"service"`
	Payload json.RawMessage `json:"payload,omitempty"`
	// Timeout is the time until the caller's deadline. It is relative, so that clocks need not be synchronized.
	Timeout time.Duration `json:"timeout"`
}

// MaxRequestTimeout is the longest timeout of a short request.
const MaxRequestTimeout = 10 * time.Minute

// Validate returns an error that describes the first invalid field, or nil.
func (r Request) Validate() error {
	switch {
	case !ValidName(r.Key.Team):
		return fmt.Errorf("team %q: want 1 to 128 letters, digits, '.', '_' or '-'", r.Key.Team)
	case !ValidName(r.Key.ID):
		return fmt.Errorf("id %q: want 1 to 128 letters, digits, '.', '_' or '-'", r.Key.ID)
	case !ValidName(r.Kind):
		return fmt.Errorf("kind %q: want 1 to 128 letters, digits, '.', '_' or '-'", r.Kind)
	case !ValidName(r.Service):
		return fmt.Errorf("service %q: want 1 to 128 letters, digits, '.', '_' or '-'", r.Service)
	case r.Timeout <= 0 || r.Timeout > MaxRequestTimeout:
		return fmt.Errorf("timeout %s: want more than 0 and at most %s", r.Timeout, MaxRequestTimeout)
	}
	return nil
}
