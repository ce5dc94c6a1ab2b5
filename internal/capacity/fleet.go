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
	started  atomic.Int64
}

func newFleet(cell string, seeds []string) *fleet {
	ctx, cancel := context.WithCancel(context.Background())
	return &fleet{cell: cell, seeds: seeds, scope: tally.NewTestScope("", nil), ctx: ctx, cancel: cancel}
}

// grow starts agents until there are n. The starts are spread over one heartbeat interval, so that the agents do not
// all report at the same moment.
func (f *fleet) grow(n int) {
	started, first := time.Now(), len(f.agents)
	for i := len(f.agents); i < n; i++ {
		time.Sleep(time.Until(started.Add(protocol.HeartbeatInterval * time.Duration(i-first) / time.Duration(n-first))))
		id := protocol.Identity{
			Agent: fmt.Sprintf("worker-%s-%04d", f.cell, i), Incarnation: uuid.NewString(), Kind: protocol.KindWorker,
			Region: "north", Cell: f.cell, Rack: fmt.Sprintf("%s-rack-%03d", f.cell, i/agentsPerRack), Units: UnitsPerAgent,
		}
		a := agent.New(id, timedDriver{&f.running, &f.started}, nil, countingHolder{config.NewApplier(), &f.messages}, f.scope)
		f.agents = append(f.agents, a)
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

// Version implements agent.ConfigApplier.
func (h countingHolder) Version() int64 {
	h.messages.Add(1)
	return h.Applier.Version()
}

// taskPayload is the payload of the jobs that the load submits.
type taskPayload struct {
	RunMS  int64 `json:"run_ms"`  // for timedDriver; zero means until it is stopped
	WorkMS int64 `json:"work_ms"` // for the stand-in worker
}

func newPayload(runMS int64) taskPayload {
	if runMS == 0 {
		return taskPayload{WorkMS: time.Hour.Milliseconds()}
	}
	return taskPayload{RunMS: runMS, WorkMS: runMS}
}

// timedDriver runs tasks that do nothing.
type timedDriver struct{ running, started *atomic.Int64 }

// StopOrphans implements agent.Driver.
func (timedDriver) StopOrphans(context.Context) error { return nil }

// Run implements agent.Driver.
func (d timedDriver) Run(ctx context.Context, l agent.Launch, halted <-chan agent.StopRequest) agent.TaskResult {
	d.started.Add(1)
	d.running.Add(1)
	defer d.running.Add(-1)
	var p taskPayload
	if err := json.Unmarshal(l.Spec.Payload, &p); err != nil {
		return agent.TaskResult{Phase: protocol.TaskFailed, Reason: err.Error()}
	}
	var over <-chan time.Time
	if p.RunMS > 0 {
		over = time.After(time.Duration(p.RunMS) * time.Millisecond)
	}
	select {
	case <-over:
		return agent.TaskResult{Phase: protocol.TaskDone}
	case h := <-halted:
		return agent.TaskResult{Phase: protocol.TaskStopped, Reason: h.Reason}
	case <-ctx.Done():
		return agent.TaskResult{Phase: protocol.TaskStopped, Reason: "the load ended"}
	}
}
