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

// agentsPerRack is the number of simulated workers in a rack.
const agentsPerRack = 16

// UnitsPerAgent is the number of accelerators of a simulated worker.
const UnitsPerAgent = 8

// fleet runs simulated workers: production agents in this process, with drivers that only wait for the run time of a
// task. The agents dial the entries over TCP as in production.
type fleet struct {
	cell           string
	entryAddresses []string
	scope          tally.TestScope // shared by all agents, so that its counters are sums over them
	cancel         context.CancelFunc
	ctx            context.Context

	agents       []*agent.Agent
	sessions     sync.WaitGroup
	messages     atomic.Int64
	runningTasks atomic.Int64
	startedTasks atomic.Int64
}

func newFleet(cell string, entryAddresses []string) *fleet {
	ctx, cancel := context.WithCancel(context.Background())
	return &fleet{cell: cell, entryAddresses: entryAddresses, scope: tally.NewTestScope("", nil), ctx: ctx, cancel: cancel}
}

// growTo starts agents until there are n. The starts are spread over one heartbeat interval, so that the agents do not
// all send their heartbeats at the same moment.
func (f *fleet) growTo(n int) {
	started, alreadyStarted := time.Now(), len(f.agents)
	for i := len(f.agents); i < n; i++ {
		time.Sleep(time.Until(started.Add(
			protocol.HeartbeatInterval * time.Duration(i-alreadyStarted) / time.Duration(n-alreadyStarted))))
		id := protocol.Identity{
			Agent: fmt.Sprintf("worker-%s-%04d", f.cell, i), Incarnation: uuid.NewString(), Kind: protocol.KindWorker,
			Region: "north", Cell: f.cell, Rack: fmt.Sprintf("%s-rack-%03d", f.cell, i/agentsPerRack), Units: UnitsPerAgent,
		}
		a := agent.New(id, timedDriver{&f.runningTasks, &f.startedTasks}, nil,
			countingApplier{config.NewApplier(), &f.messages}, f.scope)
		f.agents = append(f.agents, a)
		go a.Run()
		f.sessions.Go(func() { agent.NewSessions(a, nil, f.entryAddresses).Run(f.ctx) })
	}
}

// close ends the sessions and then closes the agents, which ends their tasks.
func (f *fleet) close() {
	f.cancel()
	f.sessions.Wait()
	for _, a := range f.agents {
		a.Close()
	}
}

// fleetSample is a reading of the fleet's counters, summed over its agents.
type fleetSample struct {
	at                                 time.Time
	receivedBytes, sentBytes, messages float64
}

func (f *fleet) sample() fleetSample {
	s := fleetSample{at: time.Now(), messages: float64(f.messages.Load())}
	for _, c := range f.scope.Snapshot().Counters() {
		switch c.Name() {
		case "rpc_received_bytes":
			s.receivedBytes += float64(c.Value())
		case "rpc_sent_bytes":
			s.sentBytes += float64(c.Value())
		}
	}
	return s
}

// countingApplier counts the messages that the agents send, since each announcement and each heartbeat reads the
// configuration version exactly once.
type countingApplier struct {
	*config.Applier
	messages *atomic.Int64
}

// Version implements agent.ConfigApplier.
func (a countingApplier) Version() int64 {
	a.messages.Add(1)
	return a.Applier.Version()
}

// taskPayload is the payload of the submitted jobs. Both run times are in milliseconds.
type taskPayload struct {
	RunMS  int64 `json:"run_ms"`  // for timedDriver; zero runs until a stop request
	WorkMS int64 `json:"work_ms"` // for the stand-in worker
}

// newTaskPayload returns the payload of a task that runs for runMS milliseconds, or without end if runMS is zero.
func newTaskPayload(runMS int64) taskPayload {
	if runMS == 0 {
		return taskPayload{WorkMS: time.Hour.Milliseconds()}
	}
	return taskPayload{RunMS: runMS, WorkMS: runMS}
}

// timedDriver runs tasks that only wait until their run time is over or they are stopped, and counts them.
type timedDriver struct{ runningTasks, startedTasks *atomic.Int64 }

// StopOrphans implements agent.Driver.
func (timedDriver) StopOrphans(context.Context) error { return nil }

// Run implements agent.Driver.
func (d timedDriver) Run(ctx context.Context, l agent.Launch, stopRequests <-chan agent.StopRequest) agent.TaskResult {
	d.startedTasks.Add(1)
	d.runningTasks.Add(1)
	defer d.runningTasks.Add(-1)
	var p taskPayload
	if err := json.Unmarshal(l.Spec.Payload, &p); err != nil {
		return agent.TaskResult{Phase: protocol.TaskFailed, Reason: err.Error()}
	}
	var runEnded <-chan time.Time
	if p.RunMS > 0 {
		runEnded = time.After(time.Duration(p.RunMS) * time.Millisecond)
	}
	select {
	case <-runEnded:
		return agent.TaskResult{Phase: protocol.TaskDone}
	case req := <-stopRequests:
		return agent.TaskResult{Phase: protocol.TaskStopped, Reason: req.Reason}
	case <-ctx.Done():
		return agent.TaskResult{Phase: protocol.TaskStopped, Reason: "the load ended"}
	}
}
