package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/uber-go/tally/v4"

	"masticcart.example/masticcart/internal/agent"
	"masticcart.example/masticcart/internal/config"
	"masticcart.example/masticcart/internal/model"
	"masticcart.example/masticcart/internal/protocol"
)

// agentsPerRack is the size of a rack of the simulated workers.
const agentsPerRack = 16

// UnitsPerAgent is the number of accelerators of a simulated worker.
const UnitsPerAgent = 8

// fleet holds real agents with drivers that only keep time. The agents dial the entries over TCP as in production.
type fleet struct {
	cell   string
	seeds  []string
	scope  tally.TestScope // shared by all agents, so that its counters are their sum
	cancel context.CancelFunc
	ctx    context.Context

	agents   []*agent.Agent
	sessions sync.WaitGroup
	messages atomic.Int64
	running  atomic.Int64
	versions []*config.Applier
}

func newFleet(cell string, seeds []string) *fleet {
	ctx, cancel := context.WithCancel(context.Background())
	return &fleet{cell: cell, seeds: seeds, scope: tally.NewTestScope("", nil), ctx: ctx, cancel: cancel}
}

// grow starts agents until there are n.
func (f *fleet) grow(n int) {
	for i := len(f.agents); i < n; i++ {
		id := protocol.Identity{
			Agent: fmt.Sprintf("worker-%s-%04d", f.cell, i), Incarnation: uuid.NewString(), Kind: protocol.KindWorker,
			Region: "north", Cell: f.cell, Rack: fmt.Sprintf("%s-rack-%03d", f.cell, i/agentsPerRack), Units: UnitsPerAgent,
		}
		applier := config.NewApplier()
		a := agent.New(id, timedDriver{&f.running}, nil, countingHolder{applier, &f.messages}, f.scope)
		f.agents, f.versions = append(f.agents, a), append(f.versions, applier)
		go a.Run()
		f.sessions.Go(func() { agent.NewSessions(a, nil, f.seeds).Run(f.ctx) })
	}
}

// close ends all sessions and tasks.
func (f *fleet) close() {
	f.cancel()
	f.sessions.Wait()
	for _, a := range f.agents {
		a.Close()
	}
}

// behind counts the agents that do not have a configuration version yet.
func (f *fleet) behind(version int64) int {
	n := 0
	for _, v := range f.versions {
		if v.Version() < version {
			n++
		}
	}
	return n
}

// fleetTraffic is the state of the fleet's counters.
type fleetTraffic struct {
	at                       time.Time
	received, sent, messages float64
}

func (f *fleet) traffic() fleetTraffic {
	t := fleetTraffic{at: time.Now(), messages: float64(f.messages.Load())}
	for _, c := range f.scope.Snapshot().Counters() {
		switch c.Name() {
		case "rpc_received_bytes":
			t.received += float64(c.Value())
		case "rpc_sent_bytes":
			t.sent += float64(c.Value())
		}
	}
	return t
}

// countingHolder counts the messages of the agents: each announcement and each heartbeat reads the version once.
type countingHolder struct {
	*config.Applier
	messages *atomic.Int64
}

// Version implements agent.ConfigHolder.
func (h countingHolder) Version() int64 {
	h.messages.Add(1)
	return h.Applier.Version()
}

// Apply implements agent.ConfigHolder.
func (h countingHolder) Apply(c *model.Config) bool { return h.Applier.Apply(c) }

// taskPayload is the payload of the jobs that the load submits. Zero means that a task runs until it is stopped.
type taskPayload struct {
	RunMS int64 `json:"run_ms"`
}

// timedDriver runs tasks that do nothing.
type timedDriver struct{ running *atomic.Int64 }

// Reset implements agent.Driver.
func (timedDriver) Reset(context.Context) error { return nil }

// Run implements agent.Driver.
func (d timedDriver) Run(ctx context.Context, l agent.Launch, halted <-chan agent.Halt) agent.End {
	d.running.Add(1)
	defer d.running.Add(-1)
	var p taskPayload
	if err := json.Unmarshal(l.Spec.Payload, &p); err != nil {
		return agent.End{Phase: protocol.TaskFailed, Reason: err.Error()}
	}
	var over <-chan time.Time
	if p.RunMS > 0 {
		over = time.After(time.Duration(p.RunMS) * time.Millisecond)
	}
	select {
	case <-over:
		return agent.End{Phase: protocol.TaskDone}
	case h := <-halted:
		return agent.End{Phase: protocol.TaskStopped, Reason: h.Reason}
	case <-ctx.Done():
		return agent.End{Phase: protocol.TaskStopped, Reason: "the load ended"}
	}
}
