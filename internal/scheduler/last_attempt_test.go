package scheduler

import (
	"testing"
	"time"

	"masticcart.example/masticcart/internal/batch"
)

// Guards against a task on its last attempt that waits for ever for a worker that is gone, or that never has room, although
// the worker on which it has failed is free (review/10).
func TestLastAttemptWaitsOnlyForWorkersThatMayTakeIt(t *testing.T) {
	const job = "00000000000000f3"
	id := batch.TaskID{Job: job}
	accelerators := func(n int) batch.Resources { return batch.Resources{Accelerators: n} }
	for name, c := range map[string]struct {
		other    func(f *fixture, at time.Duration) // what is heard of the other worker
		takeOver bool
		need     int
		within   time.Duration // from the failure to the second run
	}{
		"the machine is gone":        {func(*fixture, time.Duration) {}, false, 8, maxSilence},
		"the machine is gone, small": {func(*fixture, time.Duration) {}, false, 2, maxIdleWait},
		"the other is in quarantine": {func(f *fixture, at time.Duration) {
			f.report("b", at)
			f.c.workers["b"].quarantinedUntil = at + time.Minute
		}, false, 2, maxIdleWait},
		"the process is gone": {func(f *fixture, at time.Duration) {
			f.c.ApplyReport(Report{Node: "b", SentAt: at, ReceivedAt: at, WorkerDown: true}, f.wall)
		}, false, 8, maxSilence},
		"the process is gone, next leader": {func(f *fixture, at time.Duration) {
			f.c.ApplyReport(Report{Node: "b", SentAt: at, ReceivedAt: at, WorkerDown: true, Worker: &batch.Worker{
				Incarnation: batch.Incarnation{ID: "b", StartedMS: 1}, Service: "s", Rack: "r", Capacity: accelerators(8)}}, f.wall)
		}, true, 8, maxSilence},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, "a", "b")
			at := 100 * time.Millisecond
			f.c.SetCatalog(&batch.Catalog{Version: 2, Queues: []batch.Queue{{Name: "q1", Service: "s", Priority: 1, MaxAttempts: 2,
				SlackFactor: 3, TargetLatency: time.Minute}}})
			f.submit(job, 1, at, batch.Step{Count: 1, Estimate: time.Second, Need: accelerators(c.need)})
			f.nodes = []string{"a"} // the other worker does not report from now on
			f.report("a", at)
			f.c.workers["b"].quarantinedUntil = at + 50*time.Millisecond // so that the task starts on the first one
			f.planAndCommit(at)
			for range 30 { // until the other worker gets no tasks because of its silence
				at += 100 * time.Millisecond
				f.reportAll(at, 10, "a")
				c.other(f, at)
				f.planAndCommit(at)
			}
			f.endRun(id, 1, at, batch.OutcomeFailed)
			failedAt := at
			f.planAndCommit(at)
			if c.takeOver {
				f.takeOver(at, nil)
			}
			for ; at <= failedAt+c.within+2*planInterval; at += 100 * time.Millisecond {
				f.report("a", at)
				c.other(f, at)
				for _, o := range f.planAndCommit(at) {
					if o.Kind == OrderStart && o.Task == id && o.Node == "a" {
						return
					}
				}
			}
			t.Errorf("no second run within %v of the failure: %s", at-failedAt, describeTasks(f.c.jobs[job]))
		})
	}
}

// Guards against a last attempt that waits for a worker whose capacity long-running tasks occupy (the cause of review/10).
func TestLastAttemptDoesNotWaitForLongRunningTasks(t *testing.T) {
	const job, service = "00000000000000f4", "00000000000000f5"
	id := batch.TaskID{Job: job}
	f := newFixture(t, "a", "b")
	f.c.SetCatalog(&batch.Catalog{Version: 2, Queues: []batch.Queue{{Name: "q1", Service: "s", Priority: 1, MaxAttempts: 2,
		SlackFactor: 3, TargetLatency: time.Minute}}})
	f.submit(service, 1, 0, batch.Step{Count: 1, Estimate: time.Second, LongRunning: true, Need: batch.Resources{Accelerators: 8}})
	f.planAndCommit(0)
	f.submit(job, 1, 0, batch.Step{Count: 2, Estimate: time.Second, Need: batch.Resources{Accelerators: 4}})
	at := 100 * time.Millisecond
	f.reportEverywhere(at)
	f.planAndCommit(at)
	at += 100 * time.Millisecond
	f.reportEverywhere(at)
	f.endRun(id, 1, at, batch.OutcomeFailed)
	for failedAt := at; at < failedAt+maxIdleWait; at += 100 * time.Millisecond {
		f.reportEverywhere(at)
		for _, o := range f.planAndCommit(at) {
			if o.Kind == OrderStart && o.Task == id && o.Run == 2 {
				return
			}
		}
	}
	t.Errorf("no second run: %s", describeTasks(f.c.jobs[job]))
}
