package scheduler

import (
	"math"
	"testing"
	"time"

	"masticcart.example/masticcart/internal/batch"
)

// Guards against an account of lost work that names the wrong cause, counts the same work twice, or counts work that a
// checkpoint has saved.
func TestLostWorkIsCountedByCause(t *testing.T) {
	const jobID = "00000000000000f1"
	whole := batch.Resources{Accelerators: 8}
	ran := 4 * time.Second
	run := ran.Seconds() * whole.CoreEquivalents() // of one worker, in core-seconds
	first := batch.TaskID{Job: jobID}
	for _, c := range []struct {
		name string
		step batch.Step
		end  func(f *fixture)
		want map[LossCause]float64
	}{
		{"preempted", batch.Step{Count: 1, Need: whole}, func(f *fixture) {
			f.submit("00000000000000f2", 0, ran, batch.Step{Count: 2, Estimate: time.Minute, Need: whole})
			f.reportAll(ran, 5, "a", "b")
			f.planAndCommit(ran)
		}, map[LossCause]float64{LossPreempted: run}},
		{"cancelled", batch.Step{Count: 2, Need: whole}, func(f *fixture) {
			f.c.Cancel(jobID, ran, f.wall)
		}, map[LossCause]float64{LossCancelled: 2 * run}},
		{"gang with a failed member", batch.Step{Count: 2, Gang: true, Need: whole}, func(f *fixture) {
			f.endRun(first, 1, ran, batch.OutcomeFailed)
		}, map[LossCause]float64{LossFailed: run, LossMemberFailed: run}},
		{"cancelled after a checkpoint at half of the time", batch.Step{Count: 1, Checkpoints: true, Need: whole},
			func(f *fixture) {
				node := f.c.jobs[jobID].findTask(first).node
				f.report(node, ran/2, batch.RunningTask{Task: first, Run: 1, Percent: 5, Checkpoint: "0001"})
				f.c.Cancel(jobID, ran, f.wall)
			}, map[LossCause]float64{LossCancelled: run / 2}},
		{"lost with its worker", batch.Step{Count: 1, Need: whole}, func(f *fixture) {
			f.c.markTasksLost(f.c.workers[f.c.jobs[jobID].findTask(first).node], "lease expired", ran)
		}, map[LossCause]float64{LossWorker: run}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, "a", "b")
			c.step.Estimate = time.Minute
			f.submit(jobID, 1, 0, c.step)
			f.planAndCommit(0)
			c.end(f)
			for number, node := range []string{"a", "b"} { // stopped runs end as they are reported
				for _, x := range f.c.workers[node].sortedTasks() {
					if x.id.Job == jobID && x.phase == stopping {
						f.endRun(x.id, int64(number+10), ran, batch.OutcomeStopped)
					}
				}
			}
			if len(f.c.LostWork()) != len(c.want) {
				t.Errorf("lost %v core-seconds, want %v", f.c.LostWork(), c.want)
			}
			for cause, want := range c.want {
				if got := f.c.LostWork()[cause]; math.Abs(got-want) > 1 {
					t.Errorf("%s: lost %.1f core-seconds, want %.1f", cause, got, want)
				}
			}
		})
	}
}
