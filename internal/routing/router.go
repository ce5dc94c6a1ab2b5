// Package routing serves short requests at an entry: a bounded priority queue, a concurrency limit for each
// upstream, the choice of the upstream or of another data centre, and retries within a budget.
//
// The decisions are pure functions of a view, a queue and the time. Router is the running part: one goroutine
// owns that state, and each request in flight has a goroutine of its own that only makes the call.
//
// What an answer proves decides what follows. A complete answer, done or failed, ends the request. A refusal
// proves that the attempt did not start: the request returns to the front of its class and priority, and is sent
// again to an upstream with a slot that was reported free, or else as a retry. Any error means that the attempt
// may have run: the request is retried elsewhere, since short requests are idempotent. Retries take tokens from
// the budget, as do second attempts. The outcome "refused" is given only to requests of which no attempt may
// have run; otherwise the outcome without an answer is "unknown".
//
// Agents keep no queue, so an entry learns of a free slot only from its own answers and from reports. Two rules
// follow: work that is not urgent leaves the last slot of an upstream that others use too, and an upstream
// without a known free slot is probed now and then.
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

// eventBuffer bounds the events that wait for the router's goroutine. Arrivals beyond it are refused.
const eventBuffer = 1024

// Dispatcher makes the calls. An error means that the request may have run, unless it wraps ErrNotSent. Both
// methods must return soon after ctx ends.
type Dispatcher interface {
	Dispatch(ctx context.Context, agentID string, args protocol.DispatchArgs) (protocol.DispatchReply, error)
	Forward(ctx context.Context, entryID string, args protocol.ForwardArgs) (protocol.ForwardReply, error)
}

// Options configures a Router.
type Options struct {
	Entry  string // id of this entry
	Region string
	Cell   string
	// MaxQueue bounds the waiting requests.
	MaxQueue int
	// RuleFor returns the rule in force for a kind.
	RuleFor    func(kind string) model.Rule
	Dispatcher Dispatcher
	// Scope receives the metrics, under their own names. Nil means none.
	Scope tally.Scope
	// CrossCellRTT and RegionDelay are the round trips to another data centre of the region and to another region,
	// which a forwarded request has to make up for. Zero stands for the defaults.
	CrossCellRTT   time.Duration
	CrossRegionRTT time.Duration
	// HedgeUrgent sends an urgent request that takes longer than 95% of its kind to a second upstream too.
	HedgeUrgent bool
}

// Router queues and sends the short requests of one entry.
type Router struct {
	opts    Options
	core    *core // owned by run
	cancels map[string]context.CancelFunc
	drained []chan struct{}

	events  chan func(now time.Time)
	quit    chan struct{}
	stopped chan struct{}
	once    sync.Once
	calls   sync.WaitGroup
	ctx     context.Context
	cancel  context.CancelFunc
}

// New starts a router. Close stops it.
func New(opts Options) *Router {
	if opts.Scope == nil {
		opts.Scope = tally.NoopScope
	}
	// The random part keeps attempt ids apart from those of an earlier process of the same name.
	prefix := opts.Entry + "-" + uuid.NewString()[:8]
	view := NewClusterView(opts.Region, opts.Cell)
	if opts.CrossCellRTT > 0 {
		view.CrossCellRTT = opts.CrossCellRTT
	}
	if opts.CrossRegionRTT > 0 {
		view.CrossRegionRTT = opts.CrossRegionRTT
	}
	r := &Router{
		opts:    opts,
		core:    newCore(prefix, view, opts.MaxQueue, newMetrics(opts.Scope), opts.HedgeUrgent),
		cancels: map[string]context.CancelFunc{},
		events:  make(chan func(time.Time), eventBuffer),
		quit:    make(chan struct{}),
		stopped: make(chan struct{}),
	}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	go r.run()
	return r
}

// Submit serves a request and returns its outcome. When ctx ends first the outcome is cancelled.
func (r *Router) Submit(ctx context.Context, req model.Request) model.Outcome {
	return r.submit(ctx, req, false)
}

// SubmitForwarded serves a request that another entry forwarded. It is never forwarded again.
func (r *Router) SubmitForwarded(ctx context.Context, req model.Request) model.Outcome {
	return r.submit(ctx, req, true)
}

func (r *Router) submit(ctx context.Context, req model.Request, forwarded bool) model.Outcome {
	start := time.Now()
	o := r.wait(ctx, req, forwarded)
	// Requests with an answer have the line of their routing.
	if o.Result != model.ResultDone && o.Result != model.ResultFailed {
		klog.InfoS("Ended request without an answer", "request", req.Key.ID, "team", req.Key.Team, "kind", req.Kind,
			"service", req.Service, "result", o.Result, "ran", o.Ran, "reason", o.Reason, "waited", time.Since(start),
			"timeout", req.Timeout, "forwarded", forwarded)
	}
	return o
}

// wait hands the request to the router's goroutine and waits for its outcome.
func (r *Router) wait(ctx context.Context, req model.Request, forwarded bool) model.Outcome {
	if err := req.Validate(); err != nil {
		return refused(err.Error())
	}
	result := make(chan model.Outcome, 1)
	var id uint64 // used by the router's goroutine only
	arrive := func(now time.Time) {
		id = r.core.submit(now, req, r.opts.RuleFor(req.Kind), forwarded, func(o model.Outcome) { result <- o })
	}
	select {
	case r.events <- arrive:
	default:
		return refused("the entry is overloaded")
	}
	select {
	case o := <-result:
		return o
	case <-r.stopped:
		return afterStop(result)
	case <-ctx.Done():
	}
	r.post(func(now time.Time) { r.core.cancel(now, id) })
	select {
	case o := <-result:
		return o
	case <-r.stopped:
		return afterStop(result)
	}
}

// afterStop returns the outcome given before the stop. Without one the arrival was never looked at.
func afterStop(result <-chan model.Outcome) model.Outcome {
	select {
	case o := <-result:
		return o
	default:
		return refused("the entry stopped")
	}
}

// UpdateUpstream records a report of an agent. Agents of workers are ignored.
func (r *Router) UpdateUpstream(id protocol.Identity, free int, delay time.Duration, leaving bool) {
	r.post(func(now time.Time) {
		r.core.view.updateUpstream(now, id, free, delay, leaving)
		r.core.pump(now)
	})
}

// RemoveUpstream forgets an agent. Requests in flight there keep waiting for their answers.
func (r *Router) RemoveUpstream(id string) {
	r.post(func(now time.Time) {
		r.core.view.removeUpstream(id)
		r.core.pump(now)
	})
}

// UpdatePeer records the gossip of another entry.
func (r *Router) UpdatePeer(g protocol.GossipArgs) {
	if g.Entry == r.opts.Entry {
		return
	}
	r.post(func(now time.Time) {
		r.core.view.updatePeer(now, g)
		r.core.pump(now)
	})
}

// RemovePeer forgets another entry.
func (r *Router) RemovePeer(id string) {
	r.post(func(time.Time) { r.core.view.removePeer(id) })
}

// Loads summarizes the local executors by service, for gossip.
func (r *Router) Loads() []protocol.ServiceLoad {
	loads := make(chan []protocol.ServiceLoad, 1)
	r.post(func(now time.Time) { loads <- r.core.loads(now) })
	select {
	case l := <-loads:
		return l
	case <-r.stopped:
		return nil
	}
}

// Drain refuses new requests and returns when every accepted one has its outcome, or with the error of ctx.
func (r *Router) Drain(ctx context.Context) error {
	drained := make(chan struct{})
	r.post(func(time.Time) {
		r.core.draining = true
		r.drained = append(r.drained, drained)
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

// Close ends the requests that are left, with an outcome that tells what is known, and waits for the goroutines.
func (r *Router) Close() {
	r.once.Do(func() { close(r.quit) })
	<-r.stopped
	r.calls.Wait()
}

// post hands an event to the router's goroutine. It waits when the buffer is full, which the goroutine empties
// without waiting for anything itself.
func (r *Router) post(f func(now time.Time)) {
	select {
	case r.events <- f:
	case <-r.stopped:
	}
}

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
			r.core.abort()
			r.cancel()
			return
		}
		now := time.Now()
		if next := r.core.next(); !next.IsZero() && !next.After(now) {
			r.core.tick(now)
		}
		r.carryOut()
		r.setTimer(timer, now)
	}
}

func (r *Router) setTimer(timer *time.Timer, now time.Time) {
	wait := time.Hour
	if next := r.core.next(); !next.IsZero() {
		wait = next.Sub(now)
	}
	timer.Reset(wait)
}

// carryOut starts the sends and cancellations that the core ordered.
func (r *Router) carryOut() {
	for _, id := range r.core.cancels {
		if cancel := r.cancels[id]; cancel != nil {
			cancel()
		}
	}
	for _, s := range r.core.sends {
		ctx, cancel := context.WithCancel(r.ctx)
		r.cancels[s.attempt.id] = cancel
		if s.attempt.abandoned {
			cancel()
		}
		id, target, forward := s.attempt.id, s.attempt.target(), s.attempt.peer != nil
		r.calls.Go(func() { r.send(ctx, s, id, target, forward) })
	}
	r.core.cancels, r.core.sends = r.core.cancels[:0], r.core.sends[:0]
	if len(r.core.calls) == 0 {
		for _, d := range r.drained {
			close(d)
		}
		r.drained = nil
	}
}

// send makes the call and brings back its answer.
func (r *Router) send(ctx context.Context, s send, id, target string, forward bool) {
	d := s.decision
	klog.InfoS("Routed request", "request", s.request.Key.ID, "team", s.request.Key.Team, "upstream", target,
		"attempt", id, "action", d.Action, "second", s.second, "reason", d.Reason, "waited", s.waited,
		"candidates", d.Candidates, "inFlight", d.InFlight, "limit", d.Limit, "free", d.Free,
		"answerTime", d.ResponseTime, "localWait", d.LocalWait, "remoteWait", d.RemoteWait, "price", d.Price,
		"kilobytes", d.Kilobytes)
	if forward {
		reply, err := r.opts.Dispatcher.Forward(ctx, target, protocol.ForwardArgs{Request: s.request, From: r.opts.Entry})
		r.answered(id, func(now time.Time) { r.core.onForwardReply(now, id, reply, err) })
		return
	}
	reply, err := r.opts.Dispatcher.Dispatch(ctx, target, protocol.DispatchArgs{Request: s.request, Dispatch: id})
	r.answered(id, func(now time.Time) { r.core.onDispatchReply(now, id, reply, err) })
}

func (r *Router) answered(id string, f func(now time.Time)) {
	r.post(func(now time.Time) {
		if cancel := r.cancels[id]; cancel != nil {
			cancel()
			delete(r.cancels, id)
		}
		f(now)
	})
}
