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
	// changeDelay is how long a heartbeat is delayed after a change, so that concurrent changes share one heartbeat.
	changeDelay = 20 * time.Millisecond
)

// ConfigApplier keeps the configuration in force. Apply ignores a configuration that is not newer and reports
// whether it was applied.
type ConfigApplier interface {
	Apply(c *model.Config) bool
	Current() *model.Config
	Version() int64
}

// Executor runs short requests on an upstream of kind executor.
type Executor interface {
	Execute(ctx context.Context, id, kind string, payload json.RawMessage) TaskResult
}

// Agent serves the entries' calls for one upstream: the ledger decides, the driver carries out the decision, and the
// sessions report the outcome to the entries.
type Agent struct {
	identity protocol.Identity
	driver   Driver
	executor Executor // nil if the upstream is a worker
	config   ConfigApplier
	scope    tally.Scope

	mu           sync.Mutex
	ledger       *Ledger
	stopRequests map[protocol.TaskRef]chan StopRequest // to the goroutine that runs the task
	taskEnded    map[protocol.TaskRef]chan struct{}    // closed when the task has ended
	waiters      []chan struct{}                       // signaled when there is something to report, one channel per session

	inFlight sync.WaitGroup
	stop     context.CancelFunc
	ctx      context.Context
}

// New returns an agent; Run starts it. The executor is nil if the upstream is a worker.
func New(id protocol.Identity, driver Driver, executor Executor, c ConfigApplier, scope tally.Scope) *Agent {
	ctx, cancel := context.WithCancel(context.Background())
	return &Agent{
		identity: id, driver: driver, executor: executor, config: c, scope: scope,
		ledger:       NewLedger(id),
		stopRequests: make(map[protocol.TaskRef]chan StopRequest),
		taskEnded:    make(map[protocol.TaskRef]chan struct{}),
		ctx:          ctx, stop: cancel,
	}
}

// Handlers returns the RPC methods that entries call.
func (a *Agent) Handlers() rpc.Handlers {
	return rpc.Handlers{
		protocol.MethodHold:     rpc.Method(a.hold),
		protocol.MethodStart:    rpc.Method(a.start),
		protocol.MethodStop:     rpc.Method(a.stopTask),
		protocol.MethodDispatch: rpc.Method(a.dispatch),
		protocol.MethodConfig:   rpc.Method(a.serveConfig),
	}
}

// Run removes expired holds and, once the agent's lease has expired, stops the tasks on accelerators. It checks every
// tickInterval until the agent is closed.
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
	requests := a.ledger.Tick(now)
	for _, r := range requests {
		klog.InfoS("Stopping task", "job", r.Ref.Job, "attempt", r.Ref.Attempt, "reason", r.Reason)
		a.sendStopRequest(r)
	}
	changed := a.ledger.LastChange() != before
	a.scope.Gauge("free_units").Update(float64(a.ledger.Free()))
	a.mu.Unlock()
	if changed {
		a.wakeSessions()
	}
}

// applyEvacuation refuses new work while the configuration in force evacuates the agent's cell.
func (a *Agent) applyEvacuation() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ledger.SetEvacuated(a.config.Current().Evacuations.Contains(a.identity.Cell))
}

// sendStopRequest sends a stop request to the goroutine that runs the task. It does not block: the ledger stops a task
// only once, and the channel has a buffer of one. The caller holds the lock.
func (a *Agent) sendStopRequest(r StopRequest) {
	if ch := a.stopRequests[r.Ref]; ch != nil {
		ch <- r
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
	klog.InfoS("Answered start", "job", args.Task.Job, "attempt", args.Task.Attempt, "ok", reply.OK,
		"reason", reply.Reason)
	a.wakeSessions()
	return reply, nil
}

// launch starts a goroutine that runs the task and records its result. The caller holds the lock.
func (a *Agent) launch(l Launch) {
	stopRequests := make(chan StopRequest, 1)
	ended := make(chan struct{})
	a.stopRequests[l.Ref], a.taskEnded[l.Ref] = stopRequests, ended
	l.MayStart = func() bool {
		a.mu.Lock()
		defer a.mu.Unlock()
		return a.ledger.MayLaunch(time.Now(), l.Ref)
	}
	a.inFlight.Add(1)
	go func() {
		defer a.inFlight.Done()
		result := a.driver.Run(a.ctx, l, stopRequests)
		a.mu.Lock()
		if result.Rejected {
			a.ledger.RecordRejection(l.Ref, result.Reason)
		} else {
			a.ledger.RecordResult(l.Ref, result.Phase, result.Output, result.Reason)
		}
		delete(a.stopRequests, l.Ref)
		delete(a.taskEnded, l.Ref)
		close(ended)
		a.mu.Unlock()
		klog.InfoS("Task ended", "job", l.Ref.Job, "attempt", l.Ref.Attempt, "phase", result.Phase,
			"rejected", result.Rejected, "reason", result.Reason)
		a.scope.Tagged(map[string]string{"phase": string(result.Phase)}).Counter("tasks_ended").Inc(1)
		a.wakeSessions()
	}()
}

// stopTask fences an attempt and, if it runs here, returns once it has ended. An error means that it may still run.
func (a *Agent) stopTask(ctx context.Context, _ *rpc.Conn, args protocol.StopArgs) (protocol.StopReply, error) {
	a.mu.Lock()
	reply, request := a.ledger.Stop(time.Now(), args)
	if request != nil {
		a.sendStopRequest(*request)
	}
	ended := a.taskEnded[args.Task]
	a.mu.Unlock()
	klog.InfoS("Received stop request", "job", args.Task.Job, "attempt", args.Task.Attempt, "reason", args.Reason,
		"stopped", reply != nil)
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

// dispatch runs a short request. A reply with Refused set proves that the request did not start.
func (a *Agent) dispatch(ctx context.Context, _ *rpc.Conn, args protocol.DispatchArgs) (protocol.DispatchReply, error) {
	refused := func(reason string) protocol.DispatchReply {
		a.mu.Lock()
		defer a.mu.Unlock()
		return protocol.DispatchReply{DispatchID: args.DispatchID, Refused: true, Free: a.ledger.Free(),
			Leaving: a.ledger.Leaving(), Outcome: model.Outcome{Result: model.ResultRefused, Reason: reason}}
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
	a.inFlight.Add(1)
	defer a.inFlight.Done()
	ctx, cancel := context.WithTimeout(ctx, args.Request.Timeout)
	defer cancel()
	result := a.executor.Execute(ctx, args.Request.Key.String()+":"+args.DispatchID,
		args.Request.Kind, args.Request.Payload)
	a.mu.Lock()
	a.ledger.ReleaseSlot()
	free, leaving := a.ledger.Free(), a.ledger.Leaving()
	a.mu.Unlock()
	reply := protocol.DispatchReply{DispatchID: args.DispatchID, Free: free, Leaving: leaving,
		Outcome: requestOutcome(result)}
	reply.Refused = result.Rejected
	klog.V(1).InfoS("Served request", "request", args.Request.Key, "dispatch", args.DispatchID,
		"result", reply.Outcome.Result, "free", free)
	a.scope.Tagged(map[string]string{"result": string(reply.Outcome.Result)}).Counter("requests").Inc(1)
	return reply, nil
}

func requestOutcome(result TaskResult) model.Outcome {
	switch {
	case result.Rejected:
		return model.Outcome{Result: model.ResultRefused, Reason: result.Reason}
	case result.Phase == protocol.TaskDone:
		return model.Outcome{Result: model.ResultDone, Ran: true, Output: result.Output}
	case result.Phase == protocol.TaskFailed:
		return model.Outcome{Result: model.ResultFailed, Ran: true, Reason: result.Reason, Output: result.Output}
	}
	return model.Outcome{Result: model.ResultUnknown, Ran: true, Reason: result.Reason}
}

// serveConfig returns the agent's configuration if it is newer than the caller's. An entry that restarts while the
// platform is down recovers the configuration this way.
func (a *Agent) serveConfig(_ context.Context, _ *rpc.Conn, args protocol.ConfigArgs) (protocol.ConfigReply, error) {
	if c := a.config.Current(); c != nil && c.Version > args.KnownVersion {
		return protocol.ConfigReply{Config: c}, nil
	}
	return protocol.ConfigReply{}, nil
}

// Drain reports to the entries that the agent is leaving, refuses new work after LeaveGrace and returns once nothing
// runs and every result is acknowledged, or ctx ends. Tasks that still run on accelerators at that time stop when their
// lease expires.
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

// drained reports whether nothing is held or running and every result is acknowledged.
func (a *Agent) drained() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ledger.Idle() && a.ledger.unacknowledgedResults() == 0
}

// Close ends the agent's goroutines and waits for them. Tasks that still run on a worker end when their lease expires.
func (a *Agent) Close() {
	a.stop()
	a.inFlight.Wait()
}

// wakeSessions makes every session send a heartbeat without waiting for HeartbeatInterval. It does not block.
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
