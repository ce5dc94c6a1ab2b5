package jobmemory

import (
	"slices"
	"strings"
	"testing"

	"masticcart.example/masticcart/internal/batch"
)

// limit has room for a few more than 10,000 open tasks.
const limit = 10_000*taskBytes*10/6 + 10*taskBytes

// open opens an occurrence of a job if it may be opened.
func open(a *Account, o Occurrence) bool {
	if !a.MayOpen(o) {
		return false
	}
	a.Resize(o.Team, o.OpenTasks, o.OpenTasks+o.Tasks)
	return true
}

// Load: jobs of many tasks from one team, then from another. Guards against open tasks beyond the limit, and against small or
// urgent jobs and large jobs of other teams that are not opened because of them.
func TestLargeJobsLeaveRoom(t *testing.T) {
	a := New(limit)
	opened := 0
	for open(a, Occurrence{Team: "a", Tasks: 500}) {
		opened++
	}
	if opened != 9 {
		t.Errorf("%d large jobs of one team are open, want 9 in three quarters of 6,000", opened)
	}
	opened = 0
	for open(a, Occurrence{Team: "b", Tasks: 500}) {
		opened++
	}
	if opened != 3 {
		t.Errorf("%d large jobs of another team are open, want 3 in the rest of 6,000", opened)
	}
	if !open(a, Occurrence{Team: "a", Tasks: smallJobTasks}) {
		t.Error("a small job of the same team is not opened")
	}
	if !open(a, Occurrence{Team: "b", Urgent: true, Tasks: 3000}) {
		t.Error("an urgent job is not opened")
	}
	for range 1000 {
		open(a, Occurrence{Team: "b", Urgent: true, Tasks: smallJobTasks})
	}
	if a.all.tasks > a.maxTasks || a.all.tasks <= a.maxTasks-smallJobTasks {
		t.Errorf("%d tasks are open, the limit is %d", a.all.tasks, a.maxTasks)
	}
}

// Load: small jobs of one team. Guards against a team that takes all tasks.
func TestOneTeamLeavesRoom(t *testing.T) {
	a := New(limit)
	for open(a, Occurrence{Team: "a", Tasks: 50}) {
	}
	if !open(a, Occurrence{Team: "b", Tasks: 2000}) {
		t.Error("a job of another team is not opened")
	}
}

// Load: a recurring job with many occurrences due. Guards against a record of a size that the store does not take.
func TestOccurrencesOfOneJobAreBounded(t *testing.T) {
	a := New(100 * limit)
	for _, tasks := range []int{1, 128} {
		j := Occurrence{Team: "a", Tasks: tasks}
		for open(a, j) {
			j.OpenTasks, j.OpenOccurrences = j.OpenTasks+j.Tasks, j.OpenOccurrences+1
		}
		if want := min(maxOpenOccurrences, batch.MaxJobTasks/tasks); j.OpenOccurrences != want {
			t.Errorf("%d occurrences of %d tasks are open, want %d", j.OpenOccurrences, tasks, want)
		}
	}
}

// Load: more small jobs than fit. Guards against jobs that are accepted beyond the limit, and a team that takes all of it.
func TestJobsAreAcceptedWithinTheLimit(t *testing.T) {
	a := New(limit)
	job := func(team string) *batch.Job {
		return &batch.Job{Team: team, Payload: strings.Repeat("x", 2000), Steps: make([]batch.Step, 1)}
	}
	for len(a.FullTeams()) == 0 {
		a.Add(job("a"))
	}
	if a.Full() || !slices.Equal(a.FullTeams(), []string{"a"}) {
		t.Errorf("full %v, teams %v, want only a", a.Full(), a.FullTeams())
	}
	for !a.Full() {
		a.Add(job("b"))
	}
	if over := a.all.jobs - a.maxJobBytes; over > sizeOf(job("b")) {
		t.Errorf("%d bytes over the limit", over)
	}
	for a.all.jobs > 0 {
		team := "a"
		if a.teams["a"] == nil {
			team = "b"
		}
		a.Remove(job(team))
	}
	if a.Full() || len(a.FullTeams()) > 0 || len(a.teams) > 0 {
		t.Errorf("full %v, teams %v without jobs", a.Full(), a.teams)
	}
}

// Guards against an occurrence that is never opened, because it exceeds a share on its own.
func TestOccurrenceLargerThanAShareIsOpenedAlone(t *testing.T) {
	a := New(limit)
	o := Occurrence{Team: "a", Tasks: 9000} // of a job that an earlier release accepted
	if !open(a, o) {
		t.Error("not opened")
	}
	if open(a, o) {
		t.Error("opened twice")
	}
}
