package scheduler

import (
	"cmp"
	"fmt"
	"testing"
	"time"

	"masticcart.example/masticcart/internal/batch"
)

func describeTasks(j *job) string {
	text := ""
	j.forEachTask(func(t *task) {
		if t.phase != done {
			text += fmt.Sprintf("%v phase %d run %d on %s fails %d; ", t.id, t.phase, t.run, t.node, t.failures)
		}
	})
	return text
}

// jobState returns the state of a job, or an empty one if the core does not have it.
func jobState(c *Core, id string) batch.State {
	if e, ok := c.Explain(id, 0); ok {
		return e.State
	}
	return ""
}

// fixture is a core with workers whose reports the test provides.
type fixture struct {
	t       *testing.T
	c       *Core
	nodes   []string
	wall    time.Time
	jobs    []batch.Job
	records map[string][]byte // by job
	// incarnations counts the restarts of the workers.
	incarnations map[string]int64
	// accelerators holds the capacity of workers that do not have fixtureAccelerators.
	accelerators map[string]int
	cells        map[string]string // data centres of the workers; empty for the others
	racks        map[string]string // racks of the workers; fixtureRack for the others
}

func newFixture(t *testing.T, nodes ...string) *fixture {
	f := &fixture{t: t, nodes: nodes, c: NewCore(simConfig, 0), wall: time.Unix(1_800_000_000, 0), records: map[string][]byte{},
		incarnations: map[string]int64{}, accelerators: map[string]int{}}
	f.c.SetCatalog(&batch.Catalog{Version: 1, Queues: []batch.Queue{simQueue(0), simQueue(1), simQueue(2)}})
	for _, n := range nodes {
		f.report(n, 0)
	}
	return f
}

const (
	// fixtureAccelerators is the number of accelerators of a worker, fixtureRack its rack.
	fixtureAccelerators = 8
	fixtureRack         = "r"
)

func (f *fixture) report(node string, at time.Duration, running ...batch.RunningTask) {
	accelerators := fixtureAccelerators
	if n, ok := f.accelerators[node]; ok {
		accelerators = n
	}
	incarnation := batch.Incarnation{ID: node, StartedMS: 1 + f.incarnations[node]}
	f.c.ApplyReport(Report{Node: node, SentAt: at, ReceivedAt: at, Worker: &batch.Worker{Incarnation: incarnation,
		Service: "s", Rack: cmp.Or(f.racks[node], fixtureRack), Cell: f.cells[node], Capacity: batch.Resources{MilliCPU: 32000, MemoryMB: 64000, Accelerators: accelerators},
		Sequence: at.Milliseconds() + 1},
		Runs: &batch.Runs{Incarnation: incarnation, ClockMS: at.Milliseconds(), Running: running}}, f.wall)
	f.c.GrantLease(node, incarnation) // as the next poll does
}

// reportEverywhere reports the assigned runs of all workers, which advance by one percent a second.
func (f *fixture) reportEverywhere(at time.Duration) {
	f.reportAll(at, min(int(at/time.Second), 90), f.nodes...)
}

func (f *fixture) submit(id string, priority int, at time.Duration, steps ...batch.Step) {
	f.t.Helper()
	b := batch.Job{ID: id, Queue: simQueue(priority), AcceptedAt: f.wall.Add(at), Steps: steps}
	f.jobs = append(f.jobs, b)
	if err := f.c.AddJob(b, nil, 0, at, b.AcceptedAt); err != nil {
		f.t.Fatal(err)
	}
}

// takeOver replaces the core by that of the next leader, which knows the accepted jobs, their records, and what the previous
// leader has handed over, nil for nothing.
func (f *fixture) takeOver(at time.Duration, handover []byte) {
	f.t.Helper()
	catalog := f.c.catalog
	f.c = NewCore(simConfig, at)
	f.c.inherit(decodeHandover(handover))
	f.c.SetCatalog(catalog)
	for _, b := range f.jobs {
		if err := f.c.AddJob(b, f.records[b.ID], 1, at, f.wall.Add(at)); err != nil {
			f.t.Fatal(err)
		}
	}
}

// planAndCommit plans, commits all batches at once, and accepts all start orders. It returns the orders that were sent.
func (f *fixture) planAndCommit(at time.Duration) []Order {
	f.t.Helper()
	f.c.Tick(at, f.wall)
	orders := f.c.DrainOrders()
	for {
		b, err := f.c.NextBatch(maxChangesPerTxn)
		if err != nil {
			f.t.Fatal(err)
		}
		if b == nil {
			break
		}
		for _, change := range b.Changes {
			f.records[change.Job] = change.Record
		}
		for _, o := range f.c.ApplyCommit(b, 1, at) {
			f.c.ApplyVerdict(o, batch.VerdictAccepted, "", at)
			orders = append(orders, o)
		}
	}
	return orders
}

// endRun reports the end of a task's present run.
func (f *fixture) endRun(id batch.TaskID, number int64, at time.Duration, outcome batch.Outcome) {
	x := f.c.jobs[id.Job].findTask(id)
	incarnation := x.incarnation
	f.c.ApplyReport(Report{Node: x.node, SentAt: at, ReceivedAt: at, Runs: &batch.Runs{Incarnation: incarnation,
		ClockMS: at.Milliseconds(),
		Ended:   []batch.EndedTask{{Number: number, Task: id, Run: x.run, Outcome: outcome}}}}, f.wall)
}
