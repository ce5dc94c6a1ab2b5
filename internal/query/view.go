package query

import (
	"regexp"
	"slices"
	"time"

	"masticcart.example/masticcart/internal/model"
	"masticcart.example/masticcart/internal/protocol"
)

// View is the state of the deployment on which a query is evaluated. Evaluation does not modify it.
type View struct {
	Now          time.Time
	OpenJobs     []protocol.JobView
	FinishedJobs []model.Job
	Upstreams    []protocol.UpstreamView // workers and executors
	Entries      []protocol.CellView
	Config       *model.Config
	// UnmetGuarantees lists the guarantees that the workers of their cells cannot hold in full at the moment.
	UnmetGuarantees []UnmetGuarantee
}

// UnmetGuarantee is a guarantee that the workers of its cell cannot hold in full.
type UnmetGuarantee struct {
	Guarantee     model.Guarantee
	MissingBlocks int // how many of the guarantee's Count blocks do not fit
}

// Viewer identifies the caller that a query is evaluated for. The zero value is an operator, who sees everything. A
// team's caller sees the team's own jobs, guarantees and quota, and all rules.
type Viewer struct {
	Team string
}

// IsOperator reports whether the viewer is an operator.
func (v Viewer) IsOperator() bool { return v.Team == "" }

func (v Viewer) canSee(team string) bool { return v.IsOperator() || v.Team == team }

// NewView builds a view from the views that entries report. For a short time after a failure a cell can have two
// owners, which may report the same job or upstream. Of a job the more advanced report is kept, of an upstream the one
// that is alive.
func NewView(now time.Time, c *model.Config, entries []protocol.CellView, finished []model.Job) *View {
	v := &View{Now: now, Config: c, Entries: entries, FinishedJobs: finished}
	jobIndex := make(map[model.JobKey]int)
	upstreamIndex := make(map[string]int)
	for _, e := range entries {
		for _, j := range e.Jobs {
			i, known := jobIndex[j.Job.Spec.Key]
			if !known {
				jobIndex[j.Job.Spec.Key] = len(v.OpenJobs)
				v.OpenJobs = append(v.OpenJobs, j)
			} else if moreAdvanced(j, v.OpenJobs[i]) {
				v.OpenJobs[i] = j
			}
		}
		for _, u := range e.Upstreams {
			i, known := upstreamIndex[u.Identity.Agent]
			if !known {
				upstreamIndex[u.Identity.Agent] = len(v.Upstreams)
				v.Upstreams = append(v.Upstreams, u)
			} else if u.Alive && !v.Upstreams[i].Alive {
				v.Upstreams[i] = u
			}
		}
	}
	return v
}

// States of an open job, in the order in which an attempt passes through them.
const (
	stateWaiting  = "waiting"
	stateHolding  = "holding"
	stateRunning  = "running"
	stateStopping = "stopping"
)

var openJobStates = []string{stateWaiting, stateHolding, stateRunning, stateStopping}

// jobStates are all states of a job: those of an open job and the results of a finished one.
var jobStates = slices.Concat(openJobStates, []string{
	string(model.ResultDone), string(model.ResultFailed), string(model.ResultRefused), string(model.ResultCancelled),
	string(model.ResultUnknown),
})

// moreAdvanced reports whether a has a later attempt than b, or a later state of the same attempt.
func moreAdvanced(a, b protocol.JobView) bool {
	if a.Job.Attempt != b.Job.Attempt {
		return a.Job.Attempt > b.Job.Attempt
	}
	return slices.Index(openJobStates, a.Phase) > slices.Index(openJobStates, b.Phase)
}

// queryScope is a view with its viewer and the jobs that the viewer may see.
type queryScope struct {
	*View
	viewer Viewer
	config *model.Config // never nil
	jobs   []jobRow      // the jobs that the viewer may see, sorted by key
}

// jobRow is one open or finished job. Its reason and wouldChange are redacted for the viewer.
type jobRow struct {
	job         model.Job
	state       string
	reason      string
	wouldChange string
}

// newQueryScope collects the jobs. The record of a finished job takes precedence over an owner's report of the same
// job.
func newQueryScope(v *View, viewer Viewer) *queryScope {
	s := &queryScope{View: v, viewer: viewer, config: v.Config}
	if s.config == nil {
		s.config = &model.Config{}
	}
	redact := s.redactor()
	seen := make(map[model.JobKey]bool)
	for _, j := range v.FinishedJobs {
		if viewer.canSee(j.Spec.Key.Team) && !seen[j.Spec.Key] {
			seen[j.Spec.Key] = true
			s.jobs = append(s.jobs, newRecordRow(j, redact))
		}
	}
	for _, j := range v.OpenJobs {
		if viewer.canSee(j.Job.Spec.Key.Team) && !seen[j.Job.Spec.Key] {
			seen[j.Job.Spec.Key] = true
			s.jobs = append(s.jobs, jobRow{j.Job, openJobState(j.Phase, &j.Job), redact(j.Reason), redact(j.WouldChange)})
		}
	}
	slices.SortFunc(s.jobs, func(a, b jobRow) int {
		switch {
		case a.job.Spec.Key.Less(b.job.Spec.Key):
			return -1
		case b.job.Spec.Key.Less(a.job.Spec.Key):
			return 1
		}
		return 0
	})
	return s
}

// newRecordRow returns the row of a job record that no owner reports: a finished job, or an open job whose owner does
// not answer.
func newRecordRow(j model.Job, redact func(string) string) jobRow {
	if j.Outcome == nil {
		return jobRow{job: j, state: openJobState("", &j), reason: "the owner of the cell has not reported this job"}
	}
	return jobRow{job: j, state: string(j.Outcome.Result), reason: redact(j.Outcome.Reason)}
}

// openJobState returns the state of a job that an owner reports in the given phase. If the phase is empty or unknown,
// the state is derived from the job's record. The state of a job with an outcome is its result.
func openJobState(phase string, j *model.Job) string {
	switch {
	case j.Outcome != nil:
		return string(j.Outcome.Result)
	case slices.Contains(openJobStates, phase):
		return phase
	case j.State == model.JobClaimed:
		return stateRunning
	}
	return stateWaiting
}

// holdsUnits reports whether the job occupies the accelerators or slots of its shape.
func (r *jobRow) holdsUnits() bool {
	return r.state == stateHolding || r.state == stateRunning || r.state == stateStopping
}

// teamReference matches a job key, whose team is the first group, or a team name after the word team, the second group.
var teamReference = regexp.MustCompile(
	`([A-Za-z0-9][A-Za-z0-9._-]*)/[A-Za-z0-9][A-Za-z0-9._-]*|\bteam "?([A-Za-z0-9][A-Za-z0-9._-]*)"?`,
)

// redactor returns a function that removes the jobs and names of other teams from a text of the scheduler. For
// operators it returns the text unchanged.
func (s *queryScope) redactor() func(string) string {
	if s.viewer.IsOperator() {
		return func(text string) string { return text }
	}
	hidden := make(map[string]bool)
	for _, t := range s.config.Teams {
		hidden[t.Name] = true
	}
	for _, j := range s.OpenJobs {
		hidden[j.Job.Spec.Key.Team] = true
	}
	for _, j := range s.FinishedJobs {
		hidden[j.Spec.Key.Team] = true
	}
	delete(hidden, s.viewer.Team)
	return func(text string) string {
		return teamReference.ReplaceAllStringFunc(text, func(match string) string {
			m := teamReference.FindStringSubmatch(match)
			switch {
			case hidden[m[1]]:
				return "(a job of another team)"
			case hidden[m[2]]:
				return "another team"
			}
			return match
		})
	}
}
