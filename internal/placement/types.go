// Package placement decides which waiting jobs start where. It is a pure function from a snapshot of one
// cell to a plan. The owner of the cell applies the plan, and the agents validate every step of it again.
//
// Placement works on topology domains: a worker, a rack or the data centre. A block is a set of units within one
// domain. A guaranteed block is capacity that a team can claim at any time; until then other teams may borrow it. A
// claim is a job that its team's guarantee covers; all other jobs are borrowers.
package placement

import (
	"time"

	"masticcart.example/masticcart/internal/model"
)

// Upstream is a worker or an executor on which jobs can be placed.
type Upstream struct {
	ID          string
	Incarnation string
	Rack        string // workers only
	Service     string // executors only
	Units       int    // total accelerators or slots
	Free        int
	// Unschedulable upstreams (leaving, quarantined or silent) receive no new jobs. Jobs that run there still count
	// towards quotas and guarantees.
	Unschedulable bool
}

// RunningJob is a job that holds units.
type RunningJob struct {
	Spec       model.JobSpec
	Members    []model.Member
	Started    time.Time
	Guaranteed bool // placed as a claim on the team's guarantee
	Stopping   bool // asked to stop, but still holds its units
	// ExpectedRunTime is estimated from earlier runs, or declared by the caller if there are too few. Zero means unknown.
	ExpectedRunTime time.Duration
}

// WaitingJob is a job in the queue.
type WaitingJob struct {
	Spec            model.JobSpec
	Submitted       time.Time
	FailedOn        []string      // workers or executors on which an attempt failed
	ExpectedRunTime time.Duration // see RunningJob
}

// Snapshot is the complete input of a placement decision.
type Snapshot struct {
	Now       time.Time
	Cell      string
	Workers   []Upstream
	Executors []Upstream
	Running   []RunningJob
	Waiting   []WaitingJob
	Config    *model.Config
}

// Placement starts a job on members that have enough free units in the snapshot.
type Placement struct {
	Job        model.JobKey
	Members    []model.Member
	Guaranteed bool
	Score      float64
	Reason     string // the rule and the figures behind the decision, for the log
}

// Preemption stops a running job, the victim, to free its units for a waiting job, the preemptor.
type Preemption struct {
	Victim    model.JobKey
	Preemptor model.JobKey
	// LostWork is the accelerator time that the victim has used since it started.
	LostWork time.Duration
}

// Refusal rejects a job that can never run, with the reason.
type Refusal struct {
	Job    model.JobKey
	Reason string
}

// BlockedJob is a job that stays in the queue, with the reason and the event that would let it start.
type BlockedJob struct {
	Job         model.JobKey
	Reason      string
	WouldChange string
}

// Plan is the result of a placement decision on one snapshot.
type Plan struct {
	Placements  []Placement
	Preemptions []Preemption
	Refusals    []Refusal
	Blocked     []BlockedJob
}

// Planner computes a plan from a snapshot. Implementations are pure: they keep no state between calls and do not
// modify the snapshot.
type Planner interface {
	Plan(s *Snapshot) *Plan
}
