package scheduler

import (
	"encoding/json"
	"testing"
	"time"

	"masticcart.example/masticcart/internal/batch"
)

// memoryTestConfig has room for 857 open tasks.
func memoryTestConfig() Config {
	config := simConfig
	config.JobMemory = 1_000_000
	return config
}

// recurringJob returns a job of n occurrences of five tasks, all due.
func recurringJob(f *fixture, n int) batch.Job {
	return batch.Job{ID: "0000000000000001", Queue: simQueue(1), AcceptedAt: f.wall, RepeatCount: n, FirstDue: f.wall.Add(-time.Hour),
		Interval: time.Millisecond, Steps: []batch.Step{{Count: 5, Need: batch.Resources{Accelerators: 8}, Estimate: time.Second}}}
}

// checkAccount checks that the account has the tasks that are open, and returns their number.
func (f *fixture) checkAccount(what string) int {
	f.t.Helper()
	tasks, large := 0, 0
	for _, j := range f.c.allJobs {
		n := 0
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				n += len(s.tasks)
			}
		}
		if n != j.openTasks {
			f.t.Errorf("%s: job %s has %d open tasks, counted as %d", what, j.ID, n, j.openTasks)
		}
		tasks += n
		if n > 64 {
			large += n
		}
	}
	if gotTasks, gotLarge := f.c.memory.Tasks(); gotTasks != tasks || gotLarge != large {
		f.t.Errorf("%s: %d tasks are open, %d of them of large jobs; the account has %d and %d", what, tasks, large, gotTasks, gotLarge)
	}
	return tasks
}

// Load: a job with 10,000 occurrences due. Guards against a leader, or the next one, that opens all of them, against lost
// progress, and against tasks of a finished job that stay in memory.
func TestOccurrencesAreOpenedWithinTheMemory(t *testing.T) {
	f := newFixture(t)
	f.nodes = []string{"a", "b"}
	newCore := func(at time.Duration) {
		catalog := f.c.catalog
		f.c = NewCore(memoryTestConfig(), at)
		f.c.SetCatalog(catalog)
		for _, n := range f.nodes {
			f.report(n, at)
		}
	}
	newCore(0)
	job := recurringJob(f, 10_000)
	if err := f.c.AddJob(job, nil, 0, 0, f.wall); err != nil {
		t.Fatal(err)
	}
	f.jobs = append(f.jobs, job)
	if len(f.planAndCommit(0)) != 2 {
		t.Fatal("nothing was started")
	}
	open := f.checkAccount("at first")
	if open == 0 || open > 857 {
		t.Errorf("%d tasks are open, want at most 857", open)
	}
	if e, _ := f.c.Explain(job.ID, 0); e.Reason == "" {
		t.Error("it is not explained why occurrences wait")
	}
	record := f.c.jobs[job.ID]
	data, err := record.record()
	if err != nil {
		t.Fatal(err)
	}
	var r Record
	if err := json.Unmarshal(data, &r); err != nil || r.Next > 1 {
		t.Errorf("the record has %d occurrences, only the first has progressed: %v", r.Next, err)
	}
	started := map[batch.TaskID]bool{}
	record.forEachTask(func(task *task) {
		if task.active() {
			started[task.id] = true
		}
	})

	newCore(time.Second)
	if err := f.c.AddJob(job, data, 1, time.Second, f.wall); err != nil {
		t.Fatal(err)
	}
	if n := f.checkAccount("after a takeover"); n > 857 {
		t.Errorf("%d tasks are open after a takeover, want at most 857", n)
	}
	for id := range started {
		if task := f.c.jobs[job.ID].findTask(id); task == nil || !task.active() {
			t.Errorf("the run of %v is not known after a takeover", id)
		}
	}

	f.c.Cancel(job.ID, 2*time.Second, f.wall)
	f.planAndCommit(2 * time.Second)
	f.planAndCommit(3 * time.Second)
	if n := f.checkAccount("while its runs are being stopped"); n != 5 {
		t.Errorf("%d tasks of the cancelled job are open, want those of the occurrence that runs", n)
	}
	for id := range started {
		f.endRun(id, 1, 3*time.Second, batch.OutcomeStopped)
	}
	f.planAndCommit(4 * time.Second)
	f.planAndCommit(5 * time.Second)
	if n := f.checkAccount("after the cancellation"); n != 0 {
		t.Errorf("%d tasks of the cancelled job are still open", n)
	}
}

// Guards against a record of an earlier release that makes the leader open all occurrences that were due.
func TestOccurrencesWithoutProgressAreNotRestored(t *testing.T) {
	f := newFixture(t, "a")
	f.c = NewCore(memoryTestConfig(), 0)
	job := recurringJob(f, 10_000)
	r := Record{State: batch.Running, Started: true, Next: 10_000}
	for n := range r.Next {
		r.Occurrences = append(r.Occurrences, recordOccurrence{Number: n, Steps: make([]recordStep, 1)})
	}
	r.Occurrences[3].Steps[0].Done = []byte{1}
	data, err := json.Marshal(r)
	if err != nil {
		t.Fatal(err)
	}
	if err := f.c.AddJob(job, data, 1, 0, f.wall); err != nil {
		t.Fatal(err)
	}
	if n := f.checkAccount("after the restore"); n == 0 || n > 857 {
		t.Errorf("%d tasks are open, want some, at most 857", n)
	}
	if task := f.c.jobs[job.ID].findTask(batch.TaskID{Job: job.ID, Occurrence: 3}); task == nil || task.phase != done {
		t.Error("progress is lost")
	}
}
