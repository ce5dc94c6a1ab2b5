package scheduler

import (
	"fmt"
	"testing"
	"time"

	"masticcart.example/masticcart/internal/batch"
)

func describe(j *job) string {
	text := ""
	j.each(func(t *task) {
		if t.phase != done {
			text += fmt.Sprintf("%v phase %d run %d on %s fails %d; ", t.id, t.phase, t.run, t.node, t.fails)
		}
	})
	return text
}

// stateOf returns the state of a job, or nothing.
func stateOf(c *Core, id string) batch.State {
	if e, ok := c.Explain(id, 0); ok {
		return e.State
	}
	return ""
}

// fixture is a core with workers that report what the test says.
type fixture struct {
	t    *testing.T
	c    *Core
	wall time.Time
}

func newFixture(t *testing.T, nodes ...string) *fixture {
	f := &fixture{t: t, c: NewCore(simConfig, 0), wall: time.Unix(1_800_000_000, 0)}
	f.c.SetCatalog(&batch.Catalog{Version: 1, Queues: []batch.Queue{simQueue(0), simQueue(1), simQueue(2)}})
	for _, n := range nodes {
		f.report(n, 0)
	}
	return f
}

func (f *fixture) report(node string, at time.Duration, running ...batch.RunningTask) {
	life := batch.Incarnation{ID: node, StartedMS: 1}
	f.c.ApplyReport(Report{Node: node, SentAt: at, ReceivedAt: at, Worker: &batch.Worker{Incarnation: life, Service: "s", Rack: "r",
		Capacity: batch.Resources{MilliCPU: 32000, MemoryMB: 64000, Accelerators: 8}, Sequence: at.Milliseconds() + 1},
		Runs: &batch.Runs{Incarnation: life, ClockMS: at.Milliseconds(), Running: running}}, f.wall)
	f.c.GrantLease(node, life) // as with the next question
}

func (f *fixture) submit(id string, priority int, at time.Duration, steps ...batch.Step) {
	f.t.Helper()
	if err := f.c.AddJob(batch.Job{ID: id, Queue: simQueue(priority), AcceptedAt: f.wall, Steps: steps}, nil, 0, at, f.wall); err != nil {
		f.t.Fatal(err)
	}
}

// settle plans, writes at once, and takes all starts as accepted. It returns the orders that were sent.
func (f *fixture) settle(at time.Duration) []Order {
	f.t.Helper()
	f.c.Tick(at, f.wall)
	orders := f.c.DrainOrders()
	for {
		b, err := f.c.NextBatch(changesPerWrite)
		if err != nil {
			f.t.Fatal(err)
		}
		if b == nil {
			break
		}
		for _, o := range f.c.ApplyCommit(b, 1, at) {
			f.c.ApplyVerdict(o, batch.VerdictAccepted, "", at)
			orders = append(orders, o)
		}
	}
	return orders
}

// end reports the end of the present run of a task.
func (f *fixture) end(id batch.TaskID, number int64, at time.Duration, how batch.Outcome) {
	x := f.c.jobs[id.Job].find(id)
	life := x.life
	f.c.ApplyReport(Report{Node: x.node, SentAt: at, ReceivedAt: at, Runs: &batch.Runs{Incarnation: life, ClockMS: at.Milliseconds(),
		Ended: []batch.EndedTask{{Number: number, Task: id, Run: x.run, Outcome: how}}}}, f.wall)
}
