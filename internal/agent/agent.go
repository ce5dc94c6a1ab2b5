package agent

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"k8s.io/klog/v2"

	"masticcart.example/masticcart/internal/model"
	"masticcart.example/masticcart/internal/protocol"
	"masticcart.example/masticcart/internal/rpc"
)

const (
	tickInterval = 200 * time.Millisecond
	// changeDelay gathers changes that happen together into one heartbeat.
	changeDelay = 20 * time.Millisecond
)

// ConfigApplier keeps the newest configuration that the agent has seen.
type ConfigApplier interface {
	Apply(c *model.Config) bool
	Current() *model.Config
	Version() int64
}

// Executor answers short requests; only executors have one.
type Executor interface {
	Execute(ctx context.Context, id, kind string, payload json.RawMessage) TaskResult
}

// Agent joins the ledger, the driver and the sessions with entries.
type Agent struct {
	identity protocol.Identity
	driver   Driver
	executor Executor // nil beside a worker
	config   ConfigApplier
	scope    tally.Scope

	mu      sync.Mutex
	ledger  *Ledger
	halts   map[protocol.TaskRef]chan StopRequest
	ended   map[protocol.TaskRef]chan struct{} // closed when the running task has ended
	waiters []chan struct{}                    // sessions to wake on a change

	running sync.WaitGroup
	stop    context.CancelFunc
	ctx     context.Context
}

// New returns an agent that has not been started.
func New(id protocol.Identity, d Driver, x Executor, c ConfigApplier, scope tally.Scope) *Agent {
	ctx, cancel := context.WithCancel(context.Background())
	return &Agent{
		identity: id, driver: d, executor: x, config: c, scope: scope,
		ledger: NewLedger(id),
		halts:  make(map[protocol.TaskRef]chan StopRequest),
		ended:  make(map[protocol.TaskRef]chan struct{}),
		ctx:    ctx, stop: cancel,
	}
}

// Handlers are the methods that entries call.
func (a *Agent) Handlers() rpc.Handlers {
	return rpc.Handlers{
		protocol.MethodHold:     rpc.Method(a.hold),
		protocol.MethodStart:    rpc.Method(a.start),
		protocol.MethodStop:     rpc.Method(a.stopTask),
		protocol.MethodDispatch: rpc.Method(a.dispatch),
		protocol.MethodConfig:   rpc.Method(a.peerConfig),
	}
}

// Run ticks the ledger until the agent is closed.
func (a *Agent) Run() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-a.ctx.Done():
			return
		case now := <-ticker.C:
			a.tick(now)
		}
	}
}

func (a *Agent) tick(now time.Time) {
	a.mu.Lock()
	before := a.ledger.LastChange()
	halts := a.ledger.Tick(now)
	for _, h := range halts {
		klog.InfoS("Stopping task", "job", h.Ref.Job, "attempt", h.Ref.Attempt, "reason", h.Reason)
		a.sendHalt(h)
	}
	changed := a.ledger.LastChange() != before
	a.scope.Gauge("free_units").Update(float64(a.ledger.Free()))
	a.mu.Unlock()
	if changed {
		a.wakeSessions()
	}
}

// sendHalt hands a halt to the goroutine that runs the task. The channel has room for the one halt of a task.
func (a *Agent) sendHalt(h StopRequest) {
	if ch := a.halts[h.Ref]; ch != nil {
		ch <- h
	}
}

func (a *Agent) hold(_ context.Context, _ *rpc.Conn, args protocol.HoldArgs) (protocol.HoldReply, error) {
	a.mu.Lock()
	reply := a.ledger.Hold(time.Now(), args)
	a.mu.Unlock()
	klog.InfoS("Answered hold", "job", args.Spec.Key, "attempt", args.Attempt, "units", args.Units,
		"ok", reply.OK, "free", reply.Free, "reason", reply.Reason)
	a.scope.Tagged(map[string]string{"ok": boolTag(reply.OK)}).Counter("holds").Inc(1)
	a.wakeSessions()
	return reply, nil
}

func (a *Agent) start(_ context.Context, _ *rpc.Conn, args protocol.StartArgs) (protocol.StartReply, error) {
	a.mu.Lock()
	reply, launch := a.ledger.Start(time.Now(), args)
	if launch != nil {
		a.launch(*launch)
	}
	a.mu.Unlock()
	klog.InfoS("Answered start", "job", args.Task.Job, "attempt", args.Task.Attempt, "ok", reply.OK, "reason", reply.Reason)
	a.wakeSessions()
	return reply, nil
}

// launch starts the goroutine of one task. The caller holds the lock.
func (a *Agent) launch(l Launch) {
	halted := make(chan StopRequest, 1)
	ended := make(chan struct{})
	a.halts[l.Ref], a.ended[l.Ref] = halted, ended
	l.MayStart = func() bool {
		a.mu.Lock()
		defer a.mu.Unlock()
		return a.ledger.MayLaunch(time.Now(), l.Ref)
	}
	a.running.Add(1)
	go func() {
		defer a.running.Done()
		end := a.driver.Run(a.ctx, l, halted)
		a.mu.Lock()
		if end.Rejected {
			a.ledger.RecordRejection(l.Ref, end.Reason)
		} else {
			a.ledger.RecordResult(l.Ref, end.Phase, end.Output, end.Reason)
		}
		delete(a.halts, l.Ref)
		delete(a.ended, l.Ref)
		close(ended)
		a.mu.Unlock()
		klog.InfoS("Task ended", "job", l.Ref.Job, "attempt", l.Ref.Attempt, "phase", end.Phase, "rejected", end.Rejected, "reason", end.Reason)
		a.scope.Tagged(map[string]string{"phase": string(end.Phase)}).Counter("tasks_ended").Inc(1)
		a.wakeSessions()
	}()
}

func (a *Agent) stopTask(ctx context.Context, _ *rpc.Conn, args protocol.StopArgs) (protocol.StopReply, error) {
	a.mu.Lock()
	reply, halt := a.ledger.Stop(time.Now(), args)
	if halt != nil {
		a.sendHalt(*halt)
	}
	ended := a.ended[args.Task]
	a.mu.Unlock()
	klog.InfoS("Received stop", "job", args.Task.Job, "attempt", args.Task.Attempt, "reason", args.Reason, "stopped", reply != nil)
	a.wakeSessions()
	if reply != nil {
		return *reply, nil
	}
	if ended != nil {
		select {
		case <-ended:
		case <-ctx.Done():
			return protocol.StopReply{}, ctx.Err()
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if reply := a.ledger.StopResult(args.Task); reply != nil {
		return *reply, nil
	}
	return protocol.StopReply{}, ErrUpstream
}

// dispatch runs a short request. A refusal is proof that it did not start.
func (a *Agent) dispatch(ctx context.Context, _ *rpc.Conn, args protocol.DispatchArgs) (protocol.DispatchReply, error) {
	refused := func(reason string) protocol.DispatchReply {
		a.mu.Lock()
		defer a.mu.Unlock()
		return protocol.DispatchReply{DispatchID: args.DispatchID, Refused: true, Free: a.ledger.Free(), Leaving: a.ledger.Leaving(),
			Outcome: model.Outcome{Result: model.ResultRefused, Reason: reason}}
	}
	if a.executor == nil {
		return refused("this upstream serves no short requests"), nil
	}
	a.mu.Lock()
	ok := a.ledger.AcquireSlot(time.Now())
	a.mu.Unlock()
	if !ok {
		return refused("no free slot at " + a.identity.Agent), nil
	}
	a.running.Add(1)
	defer a.running.Done()
	ctx, cancel := context.WithTimeout(ctx, args.Request.Timeout)
	defer cancel()
	end := a.executor.Execute(ctx, args.Request.Key.String()+":"+args.DispatchID, args.Request.Kind, args.Request.Payload)
	a.mu.Lock()
	a.ledger.ReleaseSlot()
	free, leaving := a.ledger.Free(), a.ledger.Leaving()
	a.mu.Unlock()
	reply := protocol.DispatchReply{DispatchID: args.DispatchID, Free: free, Leaving: leaving, Outcome: outcomeOf(end)}
	reply.Refused = end.Rejected
	klog.V(1).InfoS("Served request", "request", args.Request.Key, "dispatch", args.DispatchID, "result", reply.Outcome.Result, "free", free)
	a.scope.Tagged(map[string]string{"result": string(reply.Outcome.Result)}).Counter("requests").Inc(1)
	return reply, nil
}

func outcomeOf(e TaskResult) model.Outcome {
	switch {
	case e.Rejected:
		return model.Outcome{Result: model.ResultRefused, Reason: e.Reason}
	case e.Phase == protocol.TaskDone:
		return model.Outcome{Result: model.ResultDone, Ran: true, Output: e.Output}
	case e.Phase == protocol.TaskFailed:
		return model.Outcome{Result: model.ResultFailed, Ran: true, Reason: e.Reason, Output: e.Output}
	}
	return model.Outcome{Result: model.ResultUnknown, Ran: true, Reason: e.Reason}
}

// peerConfig serves the configuration to an entry that restarted during an outage of the platform.
func (a *Agent) peerConfig(_ context.Context, _ *rpc.Conn, args protocol.ConfigArgs) (protocol.ConfigReply, error) {
	if c := a.config.Current(); c != nil && c.Version > args.KnownVersion {
		return protocol.ConfigReply{Config: c}, nil
	}
	return protocol.ConfigReply{}, nil
}

// Drain makes the agent leave: it tells its entries, refuses new work after LeaveGrace and returns when
// nothing runs any more or ctx ends. Whatever still runs on accelerators then is stopped.
func (a *Agent) Drain(ctx context.Context) {
	a.mu.Lock()
	a.ledger.StartLeaving(time.Now())
	a.mu.Unlock()
	a.wakeSessions()
	klog.InfoS("Leaving", "agent", a.identity.Agent)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	grace := time.After(protocol.LeaveGrace)
	select {
	case <-grace:
	case <-ctx.Done():
	}
	for ctx.Err() == nil {
		if a.drained() {
			return
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

// drained reports whether nothing runs and every result is recorded.
func (a *Agent) drained() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ledger.Idle() && a.ledger.results() == 0
}

// Close ends all goroutines of the agent. Tasks that still run end when their lease expires.
func (a *Agent) Close() {
	a.stop()
	a.running.Wait()
}

func (a *Agent) wakeSessions() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, ch := range a.waiters {
		select {
		case ch <- struct{}{}:
		default:
		}
	}
}

func boolTag(b bool) string {
	if b {
		return "true"
	}
	return "false"
}
