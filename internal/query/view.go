package query

import (
	"regexp"
	"slices"
	"time"

	"masticcart.example/masticcart/internal/model"
	"masticcart.example/masticcart/internal/protocol"
)

// View is what a query is evaluated on. The evaluation does not modify it.
type View struct {
	Now          time.Time
	OpenJobs     []protocol.JobView
	FinishedJobs []model.Job
	Upstreams    []protocol.UpstreamView // workers and executors
	Entries      []protocol.CellView
	Config       *model.Config
	// UnmetGuarantees lists the guarantees that the workers of their cells cannot hold at the moment.
	UnmetGuarantees []UnmetGuarantee
}

// UnmetGuarantee is a guarantee that lacks MissingBlocks blocks of its count.
type UnmetGuarantee struct {
	Guarantee     model.Guarantee
	MissingBlocks int
}

// Viewer says whose question it is. The zero value is an operator, who sees everything; a team's caller sees the
// team's own jobs, guarantees and quota, and the rules.
type Viewer struct {
	Team string
}

// IsOperator reports whether the viewer sees everything.
func (w Viewer) IsOperator() bool { return w.Team == "" }

func (w Viewer) sees(team string) bool { return w.IsOperator() || w.Team == team }

// NewView builds a view from the replies of entries. Two owners of one cell, which exist for a short time after a
// failure, may report the same job or upstream; the further one is kept.
func NewView(now time.Time, c *model.Config, entries []protocol.CellView, finished []model.Job) *View {
	v := &View{Now: now, Config: c, Entries: entries, FinishedJobs: finished}
	jobs := make(map[model.JobKey]int)
	agents := make(map[string]int)
	for _, e := range entries {
		for _, j := range e.Jobs {
			i, known := jobs[j.Job.Spec.Key]
			if !known {
				jobs[j.Job.Spec.Key] = len(v.OpenJobs)
				v.OpenJobs = append(v.OpenJobs, j)
			} else if further(j, v.OpenJobs[i]) {
				v.OpenJobs[i] = j
			}
		}
		for _, w := range e.Upstreams {
			i, known := agents[w.Identity.Agent]
			if !known {
				agents[w.Identity.Agent] = len(v.Upstreams)
				v.Upstreams = append(v.Upstreams, w)
			} else if w.Alive && !v.Upstreams[i].Alive {
				v.Upstreams[i] = w
			}
		}
	}
	return v
}

// The states of a job that a user can filter on. Open jobs have one of the first four.
const (
	stateWaiting  = "waiting"
	stateHolding  = "holding"
	stateRunning  = "running"
	stateStopping = "stopping"
)

var openStates = []string{stateWaiting, stateHolding, stateRunning, stateStopping}

var jobStates = slices.Concat(openStates, []string{
	string(model.ResultDone), string(model.ResultFailed), string(model.ResultRefused), string(model.ResultCancelled),
	string(model.ResultUnknown),
})

func further(a, b protocol.JobView) bool {
	if a.Job.Attempt != b.Job.Attempt {
		return a.Job.Attempt > b.Job.Attempt
	}
	return slices.Index(openStates, a.Phase) > slices.Index(openStates, b.Phase)
}

// scope is a view as one viewer sees it.
type scope struct {
	*View
	viewer Viewer
	config *model.Config
	jobs   []jobRow // the jobs that the viewer sees, by key
}

// jobRow is one job, open or finished.
type jobRow struct {
	job         model.Job
	state       string
	reason      string
	wouldChange string
}

func newScope(v *View, viewer Viewer) *scope {
	s := &scope{View: v, viewer: viewer, config: v.Config}
	if s.config == nil {
		s.config = &model.Config{}
	}
	redact := s.redactor()
	seen := make(map[model.JobKey]bool)
	for _, j := range v.FinishedJobs {
		if viewer.sees(j.Spec.Key.Team) && !seen[j.Spec.Key] {
			seen[j.Spec.Key] = true
			s.jobs = append(s.jobs, recordRow(j, redact))
		}
	}
	for _, j := range v.OpenJobs {
		if viewer.sees(j.Job.Spec.Key.Team) && !seen[j.Job.Spec.Key] {
			seen[j.Job.Spec.Key] = true
			s.jobs = append(s.jobs, jobRow{j.Job, openState(j.Phase, &j.Job), redact(j.Reason), redact(j.WouldChange)})
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

// recordRow shows a record that no owner reports: a finished job, or an open one whose owner does not answer.
func recordRow(j model.Job, redact func(string) string) jobRow {
	if j.Outcome == nil {
		return jobRow{job: j, state: openState("", &j), reason: "the owner of the cell has not reported this job"}
	}
	return jobRow{job: j, state: string(j.Outcome.Result), reason: redact(j.Outcome.Reason)}
}

// openState returns the phase that the owner reports, or derives one from the record.
func openState(phase string, j *model.Job) string {
	switch {
	case j.Outcome != nil:
		return string(j.Outcome.Result)
	case slices.Contains(openStates, phase):
		return phase
	case j.State == model.JobClaimed:
		return stateRunning
	}
	return stateWaiting
}

// holdsUnits reports whether the job occupies its shape.
func (r *jobRow) holdsUnits() bool {
	return r.state == stateHolding || r.state == stateRunning || r.state == stateStopping
}

var reference = regexp.MustCompile(`([A-Za-z0-9][A-Za-z0-9._-]*)/[A-Za-z0-9][A-Za-z0-9._-]*|\bteam "?([A-Za-z0-9][A-Za-z0-9._-]*)"?`)

// redactor hides the jobs and names of other teams in the reasons that the scheduler gives.
func (s *scope) redactor() func(string) string {
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
		return reference.ReplaceAllStringFunc(text, func(match string) string {
			m := reference.FindStringSubmatch(match)
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
