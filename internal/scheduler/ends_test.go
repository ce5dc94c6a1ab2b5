package scheduler

import (
	"testing"
	"time"

	"masticcart.example/masticcart/internal/batch"
	"masticcart.example/masticcart/internal/relay"
)

// Guards against work that is done again because its worker listed the end and left, restarted, or was taken over by the
// next leader before the leader saw the list (review/7). The ends are acknowledged once they are recorded.
func TestRetainedEndsAreNotDoneAgain(t *testing.T) {
	const job = "00000000000000f2"
	for name, c := range map[string]struct {
		takeOver bool
		gone     func(old, next batch.Incarnation) Report
	}{
		"left": {false, func(old, _ batch.Incarnation) Report {
			return Report{Deregistered: old, NotListening: true, WorkerDown: true}
		}},
		"restarted": {false, func(_, next batch.Incarnation) Report {
			return Report{Worker: &batch.Worker{Incarnation: next, Service: "s", Sequence: 1},
				Runs: &batch.Runs{Incarnation: next, ClockMS: 1}}
		}},
		"left, next leader": {true, func(old, _ batch.Incarnation) Report {
			return Report{Deregistered: old, NotListening: true, WorkerDown: true,
				Worker: &batch.Worker{Incarnation: old, Service: "s", Sequence: 9, Leaving: true}}
		}},
		"restarted, next leader": {true, func(_, next batch.Incarnation) Report {
			return Report{Worker: &batch.Worker{Incarnation: next, Service: "s", Sequence: 1},
				Runs: &batch.Runs{Incarnation: next, ClockMS: 1}}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, "a", "b")
			f.submit(job, 1, 0, batch.Step{Count: 2, Estimate: time.Minute, Need: batch.Resources{Accelerators: 8}})
			f.planAndCommit(0)
			ended, lost := f.c.jobs[job].findTask(batch.TaskID{Job: job}), f.c.jobs[job].findTask(batch.TaskID{Job: job, Index: 1})
			node, old := ended.node, ended.incarnation
			at := time.Second
			f.reportEverywhere(at)
			if c.takeOver {
				f.takeOver(at, nil)
			}
			at += 100 * time.Millisecond
			r := c.gone(old, batch.Incarnation{ID: node, StartedMS: old.StartedMS + 1})
			r.Node, r.SentAt, r.ReceivedAt = node, at, at
			r.RetainedEnds = []relay.IncarnationEnds{{Incarnation: old,
				Ended: []batch.EndedTask{{Number: 3, Task: ended.id, Run: 1, Outcome: batch.OutcomeDone}}}}
			acked := func() bool {
				for _, a := range f.c.EarlierAcks(node) {
					if a == (relay.EndAck{Incarnation: old, Through: 3}) {
						return true
					}
				}
				incarnation, _, ack := f.c.SyncParameters(node, at)
				return incarnation == old && ack == 3
			}
			f.c.ApplyReport(r, f.wall)
			if acked() {
				t.Error("the end is acknowledged before it is recorded")
			}
			for range 3 { // the agent repeats it until it is acknowledged
				for _, o := range f.planAndCommit(at) {
					if o.Kind == OrderStart && o.Task == ended.id {
						t.Errorf("order %+v for a task whose end was listed", o)
					}
				}
				at += 100 * time.Millisecond
				r.SentAt, r.ReceivedAt = at, at
				f.c.ApplyReport(r, f.wall)
			}
			if !acked() {
				t.Error("the recorded end is not acknowledged")
			}
			if x := f.c.jobs[job].findTask(ended.id); x.phase != done {
				t.Errorf("the task is in phase %d", x.phase)
			}
			if x := f.c.jobs[job].findTask(lost.id); x.phase == done {
				t.Error("the other task counts as done")
			}
			r.RetainedEnds = nil
			f.c.ApplyReport(r, f.wall)
			if acks := f.c.EarlierAcks(node); len(acks) != 0 {
				t.Errorf("acknowledgements %+v of ends that the agent does not have any more", acks)
			}
		})
	}
}
