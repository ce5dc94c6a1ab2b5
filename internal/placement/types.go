// Package placement decides which waiting jobs start where. It is a pure function from a snapshot of one
// cell to a plan; the cell's owner applies the plan and the agents re-check every step of it.
package placement

import (
	"time"

	"masticcart.example/masticcart/internal/model"
)

// Upstream is one worker or executor that can be placed on.
type Upstream struct {
	ID          string
	Incarnation string
	Rack        string // workers only
	Service     string // executors only
	Units       int    // accelerators or slots in all
	Free        int
	// Unschedulable upstreams (leaving, quarantined, silent) get nothing new, but what runs there still counts.
	Unschedulable bool
}

// RunningJob is a job that holds units. Stopping jobs will free theirs soon.
type RunningJob struct {
	Spec       model.JobSpec
	Members    []model.Member
	Started    time.Time
	Guaranteed bool
	Stopping   bool
	// ExpectedRunTime is the learned run time, or the declared one where nothing was learned.
	ExpectedRunTime time.Duration
}

// WaitingJob is a job in the queue.
type WaitingJob struct {
	Spec            model.JobSpec
	Submitted       time.Time
	FailedOn        []string
	ExpectedRunTime time.Duration
}

// Snapshot is everything a decision depends on.
type Snapshot struct {
	Now       time.Time
	Cell      string
	Workers   []Upstream
	Executors []Upstream
	Running   []RunningJob
	Waiting   []WaitingJob
	Config    *model.Config
}

// Placement starts a job on members that all have room in the snapshot.
type Placement struct {
	Job        model.JobKey
	Members    []model.Member
	Guaranteed bool
	Score      float64
	Reason     string // the deciding figures, for the log
}

// Preemption stops a running job to make room for another.
type Preemption struct {
	Victim    model.JobKey
	Preemptor model.JobKey
	// LostWork is the accelerator time that is thrown away.
	LostWork time.Duration
}

// Refusal ends a job that can never run, with the reason.
type Refusal struct {
	Job    model.JobKey
	Reason string
}

// BlockedJob says why a job keeps waiting and what would change that.
type BlockedJob struct {
	Job         model.JobKey
	Reason      string
	WouldChange string
}

// Plan is the decision on one snapshot.
type Plan struct {
	Placements  []Placement
	Preemptions []Preemption
	Refusals    []Refusal
	Blocked     []BlockedJob
}

// Planner turns a snapshot into a plan. Implementations are pure: they keep no state between calls and do not
// modify the snapshot.
type Planner interface {
	Plan(s *Snapshot) *Plan
}
