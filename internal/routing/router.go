// Package routing routes short requests from an entry to upstreams. It has a bounded priority queue, an adaptive
// concurrency limit for each upstream, the selection of an upstream or of an entry to forward to, and retries and
// hedged requests within a budget.
//
// The state machine makes all decisions from its view of the cluster, its queue and the time, and does no I/O. Router
// runs it: one goroutine owns that state, and each in-flight request has a goroutine of its own that only makes the
// call.
//
// Whether a reply ends a request depends on what it proves. An outcome "done" or "failed" ends the request. A refusal
// proves that the attempt did not start: the request returns to the queue, at its place by arrival, and is sent again
// to an upstream with a slot that was reported free, or else as a retry. After any error the attempt may have run:
// the request is retried elsewhere, since short requests are idempotent. Retries and hedges take tokens from the
// retry budget. The outcome "refused" is given only if no attempt may have run; otherwise a request without a
// complete reply gets the outcome "unknown".
//
// Agents keep no queue, so an entry learns of free slots only from replies to its own requests and from reports. Two
// rules follow: non-urgent requests leave the last slot of an upstream that others use too, and an upstream without a
// known free slot is probed at intervals.
package routing

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/uber-go/tally/v4"
	"k8s.io/klog/v2"

	"masticcart.example/masticcart/internal/model"
	"masticcart.example/masticcart/internal/protocol"
)

// eventBufferSize bounds the events that wait for the router's goroutine. While it is full, new requests are refused.
const eventBufferSize = 1024

// Dispatcher sends requests and waits for the reply. After an error the request may have run, unless the error wraps
// ErrNotSent. Both methods must return soon after ctx ends.
type Dispatcher interface {
	// Dispatch sends a request to an agent.
	Dispatch(ctx context.Context, agentID string, args protocol.DispatchArgs) (protocol.DispatchReply, error)
	// Forward sends a request to another entry.
	Forward(ctx context.Context, entryID string, args protocol.ForwardArgs) (protocol.ForwardReply, error)
}

// Options configures a Router.
type Options struct {
	Entry  string // id of this entry
	Region string
	Cell   string
	// MaxQueue bounds the queued requests.
	MaxQueue int
	// RuleFor returns the current rule of a kind. The router's goroutine calls it.
	RuleFor    func(kind string) model.Rule
	Dispatcher Dispatcher
	// Scope receives the metrics. Nil disables them.
	Scope tally.Scope
	// CrossCellRTT and CrossRegionRTT are the round-trip times to another data centre of the region and to another
	// region. Forwarding must save more wait than that. Zero means the default.
	CrossCellRTT   time.Duration
	CrossRegionRTT time.Duration
	// HedgeUrgent has an urgent request that takes longer than 95% of its kind sent to a second upstream too.
	HedgeUrgent bool
}

// Router queues and sends the short requests of one entry. It is safe for concurrent use.
type Router struct {
	opts         Options
	state        *stateMachine                 // owned by run, like the next two
	cancelFuncs  map[string]context.CancelFunc // of in-flight attempts, by id
	drainWaiters []chan struct{}               // closed once every call has its outcome

	events    chan func(now time.Time)
	quit      chan struct{} // closed by Close
	stopped   chan struct{} // closed when run has returned
	closeOnce sync.Once
	sendGroup sync.WaitGroup  // goroutines of sendAttempt
	ctx       context.Context // of all attempts
	cancel    context.CancelFunc
}

// New returns a running router. Close stops it.
func New(opts Options) *Router {
	if opts.Scope == nil {
		opts.Scope = tally.NoopScope
	}
	// The random part distinguishes attempt ids from those of an earlier process of the same name.
	prefix := opts.Entry + "-" + uuid.NewString()[:8]
	view := NewClusterView(opts.Region, opts.Cell)
	if opts.CrossCellRTT > 0 {
		view.CrossCellRTT = opts.CrossCellRTT
	}
	if opts.CrossRegionRTT > 0 {
		view.CrossRegionRTT = opts.CrossRegionRTT
	}
	r := &Router{
		opts:        opts,
		state:       newStateMachine(prefix, view, opts.MaxQueue, newMetrics(opts.Scope), opts.HedgeUrgent),
		cancelFuncs: map[string]context.CancelFunc{},
		events:      make(chan func(time.Time), eventBufferSize),
		quit:        make(chan struct{}),
		stopped:     make(chan struct{}),
	}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	go r.run()
	return r
}

// Submit routes a request and returns its outcome. If ctx ends first, the result is "cancelled".
func (r *Router) Submit(ctx context.Context, req model.Request) model.Outcome {
	return r.submit(ctx, req, false)
}

// SubmitForwarded routes a request that another entry forwarded. It is not forwarded again.
func (r *Router) SubmitForwarded(ctx context.Context, req model.Request) model.Outcome {
	return r.submit(ctx, req, true)
}

func (r *Router) submit(ctx context.Context, req model.Request, forwarded bool) model.Outcome {
	start := time.Now()
	o := r.submitAndWait(ctx, req, forwarded)
	// Completed requests are logged by sendAttempt only.
	if o.Result != model.ResultDone && o.Result != model.ResultFailed {
		klog.InfoS("Request not completed", "request", req.Key.ID, "team", req.Key.Team, "kind", req.Kind,
			"service", req.Service, "result", o.Result, "ran", o.Ran, "reason", o.Reason, "waited", time.Since(start),
			"timeout", req.Timeout, "forwarded", forwarded)
	}
	return o
}

// submitAndWait submits the request to the state machine and waits for its outcome.
func (r *Router) submitAndWait(ctx context.Context, req model.Request, forwarded bool) model.Outcome {
	if err := req.Validate(); err != nil {
		return refusedOutcome(err.Error())
	}
	result := make(chan model.Outcome, 1)
	var id uint64 // accessed by the router's goroutine only
	submit := func(now time.Time) {
		id = r.state.submit(now, req, r.opts.RuleFor(req.Kind), forwarded, func(o model.Outcome) { result <- o })
	}
	select {
	case r.events <- submit:
	default:
		return refusedOutcome("the entry is overloaded")
	}
	select {
	case o := <-result:
		return o
	case <-r.stopped:
		return outcomeAfterStop(result)
	case <-ctx.Done():
	}
	r.post(func(now time.Time) { r.state.cancel(now, id) })
	select {
	case o := <-result:
		return o
	case <-r.stopped:
		return outcomeAfterStop(result)
	}
}

// outcomeAfterStop returns the outcome that was delivered before the router stopped. Without one the request was never
// submitted to the state machine, so it did not run.
func outcomeAfterStop(result <-chan model.Outcome) model.Outcome {
	select {
	case o := <-result:
		return o
	default:
		return refusedOutcome("the entry stopped")
	}
}

// UpdateUpstream records a report of an agent. Reports of agents that are not executors are ignored.
func (r *Router) UpdateUpstream(id protocol.Identity, free int, delay time.Duration, leaving bool) {
	r.post(func(now time.Time) {
		r.state.view.updateUpstream(now, id, free, delay, leaving)
		r.state.sendQueued(now)
	})
}

// RemoveUpstream removes an agent from the candidates. In-flight requests still wait for their replies.
func (r *Router) RemoveUpstream(id string) {
	r.post(func(now time.Time) {
		r.state.view.removeUpstream(id)
		r.state.sendQueued(now)
	})
}

// UpdatePeer records a gossip message of another entry. Messages of this entry are ignored.
func (r *Router) UpdatePeer(g protocol.EntryState) {
	if g.Entry == r.opts.Entry {
		return
	}
	r.post(func(now time.Time) {
		r.state.view.updatePeer(now, g)
		r.state.sendQueued(now)
	})
}

// RemovePeer removes another entry from the candidates.
func (r *Router) RemovePeer(id string) {
	r.post(func(time.Time) { r.state.view.removePeer(id) })
}

// Loads summarizes the local executors by service, for gossip. It returns nil after Close.
func (r *Router) Loads() []protocol.ServiceLoad {
	loads := make(chan []protocol.ServiceLoad, 1)
	r.post(func(now time.Time) { loads <- r.state.serviceLoads(now) })
	select {
	case l := <-loads:
		return l
	case <-r.stopped:
		return nil
	}
}

// Drain has new requests refused from now on and waits until every accepted one has its outcome. It returns the error
// of ctx if that ends first.
func (r *Router) Drain(ctx context.Context) error {
	drained := make(chan struct{})
	r.post(func(time.Time) {
		r.state.draining = true
		r.drainWaiters = append(r.drainWaiters, drained)
	})
	select {
	case <-drained:
		return nil
	case <-r.stopped:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Close stops the router and waits for its goroutines. Remaining requests end as "unknown" if an attempt may have run,
// else as "refused".
func (r *Router) Close() {
	r.closeOnce.Do(func() { close(r.quit) })
	<-r.stopped
	r.sendGroup.Wait()
}

// post queues an event for the router's goroutine. It blocks while the buffer is full, but only briefly, since that
// goroutine never blocks on anything else.
func (r *Router) post(f func(now time.Time)) {
	select {
	case r.events <- f:
	case <-r.stopped:
	}
}

// run is the event loop. It owns the state machine.
func (r *Router) run() {
	defer close(r.stopped)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		select {
		case f := <-r.events:
			f(time.Now())
		case <-timer.C:
		case <-r.quit:
			r.state.finishAll()
			r.cancel()
			return
		}
		now := time.Now()
		if next := r.state.nextTick(); !next.IsZero() && !next.After(now) {
			r.state.tick(now)
		}
		r.startPendingCalls()
		r.resetTimer(timer, now)
	}
}

func (r *Router) resetTimer(timer *time.Timer, now time.Time) {
	wait := time.Hour
	if next := r.state.nextTick(); !next.IsZero() {
		wait = next.Sub(now)
	}
	timer.Reset(wait)
}

// startPendingCalls executes the cancellations and starts the sends that the state machine collected. It releases the
// waiters of Drain once no request is left.
func (r *Router) startPendingCalls() {
	for _, id := range r.state.pendingCancels {
		if cancel := r.cancelFuncs[id]; cancel != nil {
			cancel()
		}
	}
	for _, s := range r.state.pendingSends {
		ctx, cancel := context.WithCancel(r.ctx)
		r.cancelFuncs[s.attempt.id] = cancel
		if s.attempt.abandoned {
			cancel()
		}
		id, target, forward := s.attempt.id, s.attempt.target(), s.attempt.peer != nil
		r.sendGroup.Go(func() { r.sendAttempt(ctx, s, id, target, forward) })
	}
	r.state.pendingCancels, r.state.pendingSends = r.state.pendingCancels[:0], r.state.pendingSends[:0]
	if len(r.state.calls) == 0 {
		for _, d := range r.drainWaiters {
			close(d)
		}
		r.drainWaiters = nil
	}
}

// sendAttempt sends a request and posts the reply to the state machine.
func (r *Router) sendAttempt(ctx context.Context, s outboundAttempt, id, target string, forward bool) {
	d := s.decision
	klog.InfoS("Routed request", "request", s.request.Key.ID, "team", s.request.Key.Team, "upstream", target,
		"attempt", id, "action", d.Action, "second", s.isHedge, "reason", d.Reason, "waited", s.waited,
		"candidates", d.Candidates, "inFlight", d.InFlight, "limit", d.Limit, "free", d.Free,
		"answerTime", d.ResponseTime, "localWait", d.LocalWait, "remoteWait", d.RemoteWait, "price", d.Price,
		"kilobytes", d.Kilobytes)
	if forward {
		reply, err := r.opts.Dispatcher.Forward(ctx, target, protocol.ForwardArgs{Request: s.request, From: r.opts.Entry})
		r.deliverReply(id, func(now time.Time) { r.state.onForwardReply(now, id, reply, err) })
		return
	}
	reply, err := r.opts.Dispatcher.Dispatch(ctx, target, protocol.DispatchArgs{Request: s.request, DispatchID: id})
	r.deliverReply(id, func(now time.Time) { r.state.onDispatchReply(now, id, reply, err) })
}

// deliverReply releases the context of an attempt and runs f, which records its reply, on the router's goroutine.
func (r *Router) deliverReply(id string, f func(now time.Time)) {
	r.post(func(now time.Time) {
		if cancel := r.cancelFuncs[id]; cancel != nil {
			cancel()
			delete(r.cancelFuncs, id)
		}
		f(now)
	})
}
