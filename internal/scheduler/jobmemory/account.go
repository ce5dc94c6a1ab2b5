// Package jobmemory accounts for the memory that accepted jobs take in the leader. It decides which occurrences of jobs may be
// opened, that is, get their tasks, and from which teams further jobs are accepted.
//
// The load that it answers: callers submit jobs that stand for very many tasks, or very many jobs. A job of 2 kB can stand
// for millions of tasks, and the next leader reads it from the store again. So tasks are created only while there is room
// for them, and the others wait in the form in which the job was submitted.
package jobmemory

import (
	"maps"
	"slices"

	"masticcart.example/masticcart/internal/batch"
)

const (
	// jobBytes, stepBytes and taskBytes are the memory of a job without its payload, of a step, and of an open task with
	// what plans need for it.
	jobBytes  = 1000
	stepBytes = 300
	taskBytes = 700
	// taskFraction is the share of the limit that open tasks may take. Jobs may take the rest.
	taskFraction = 0.6
	// largeFraction is the share of the tasks that jobs with more than smallJobTasks open tasks may take, unless they are
	// urgent, so that small jobs are opened in any case.
	largeFraction = 0.6
	// teamFraction is the share of each of these, and of the memory for jobs, that one team may take.
	teamFraction = 0.75
	// smallJobTasks is the number of open tasks up to which a job counts as small.
	smallJobTasks = 64
	// maxOpenOccurrences bounds the open occurrences of a job, and with batch.MaxJobTasks the size of its record.
	maxOpenOccurrences = 1024
)

// Account is the memory that jobs take. It is not safe for concurrent use.
type Account struct {
	maxJobBytes int64 // negative for no limit
	maxTasks    int
	all         usage
	teams       map[string]*usage
}

// usage is what jobs take.
type usage struct {
	jobs       int64 // bytes
	tasks      int
	largeTasks int // those of jobs that are not small
}

// New returns an account with a limit in bytes. Zero means no limit.
func New(limit int64) *Account {
	a := &Account{maxJobBytes: -1, teams: map[string]*usage{}}
	if limit > 0 {
		taskShare := int64(float64(limit) * taskFraction)
		a.maxJobBytes, a.maxTasks = limit-taskShare, int(taskShare/taskBytes)
	}
	return a
}

// sizeOf returns the memory of a job without its tasks.
func sizeOf(j *batch.Job) int64 {
	n := jobBytes + len(j.Payload) + len(j.Steps)*stepBytes
	for i := range j.Steps {
		n += len(j.Steps[i].RequiredLabel) + len(j.Steps[i].DataRack)
	}
	return int64(n)
}

// Add adds a job without open tasks.
func (a *Account) Add(j *batch.Job) { a.addJobs(j.Team, sizeOf(j)) }

// Remove removes a job without open tasks.
func (a *Account) Remove(j *batch.Job) { a.addJobs(j.Team, -sizeOf(j)) }

func (a *Account) addJobs(team string, bytes int64) {
	a.all.jobs += bytes
	a.team(team).jobs += bytes
	a.forgetUnused(team)
}

func (a *Account) team(name string) *usage {
	u := a.teams[name]
	if u == nil {
		u = &usage{}
		a.teams[name] = u
	}
	return u
}

func (a *Account) forgetUnused(team string) {
	if *a.teams[team] == (usage{}) {
		delete(a.teams, team)
	}
}

// Resize records that the number of open tasks of a job has changed.
func (a *Account) Resize(team string, before, after int) {
	for _, u := range [...]*usage{&a.all, a.team(team)} {
		u.tasks += after - before
		u.largeTasks += large(after) - large(before)
	}
	a.forgetUnused(team)
}

// large returns the number of open tasks of a job if it is not small.
func large(tasks int) int {
	if tasks <= smallJobTasks {
		return 0
	}
	return tasks
}

// Occurrence describes an occurrence that is due.
type Occurrence struct {
	Team   string
	Urgent bool // the queue has priority 0
	Tasks  int
	// OpenTasks and OpenOccurrences are those of the same job.
	OpenTasks, OpenOccurrences int
}

// MayOpen reports whether the tasks of an occurrence may be created now. An occurrence that exceeds a share on its own is
// opened when nothing else takes that share.
func (a *Account) MayOpen(o Occurrence) bool {
	if a.maxJobBytes < 0 {
		return true
	}
	total := o.OpenTasks + o.Tasks
	if o.OpenTasks > 0 && (total > batch.MaxJobTasks || o.OpenOccurrences >= maxOpenOccurrences) {
		return false
	}
	var team usage
	if u := a.teams[o.Team]; u != nil {
		team = *u
	}
	fits := func(inUse, added int, share float64) bool {
		return inUse+added <= int(float64(a.maxTasks)*share) || inUse == 0 && added <= a.maxTasks
	}
	if !fits(a.all.tasks, o.Tasks, 1) || !fits(team.tasks, o.Tasks, teamFraction) {
		return false
	}
	added := large(total) - large(o.OpenTasks)
	return o.Urgent || added == 0 ||
		fits(a.all.largeTasks, added, largeFraction) && fits(team.largeTasks, added, largeFraction*teamFraction)
}

// Full reports whether no further jobs are to be accepted, from any team.
func (a *Account) Full() bool { return a.maxJobBytes >= 0 && a.all.jobs > a.maxJobBytes }

// FullTeams returns the teams from which no further jobs are to be accepted, in alphabetical order.
func (a *Account) FullTeams() []string {
	if a.maxJobBytes < 0 {
		return nil
	}
	limit := int64(float64(a.maxJobBytes) * teamFraction)
	var full []string
	for _, name := range slices.Sorted(maps.Keys(a.teams)) {
		if a.teams[name].jobs > limit {
			full = append(full, name)
		}
	}
	return full
}

// Tasks returns the number of open tasks, and of those of jobs that are not small.
func (a *Account) Tasks() (all, large int) { return a.all.tasks, a.all.largeTasks }
