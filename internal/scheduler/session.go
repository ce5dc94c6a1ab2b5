package scheduler

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"k8s.io/klog/v2"

	"masticcart.example/masticcart/internal/batch"
	"masticcart.example/masticcart/internal/boottime"
	"masticcart.example/masticcart/internal/relay"
	"masticcart.example/masticcart/internal/rpc"
	"masticcart.example/masticcart/internal/wait"
)

const (
	// dialTimeout bounds a connection to an agent in another region.
	dialTimeout = 700 * time.Millisecond
	// redialPause follows a failed connection; it doubles up to redialPauseMax.
	redialPause    = 100 * time.Millisecond
	redialPauseMax = time.Second
	// syncSlack is what the answer may take beyond the wait before the connection is taken as dead.
	syncSlack = 1200 * time.Millisecond
	// orderTimeout bounds one order, between regions included.
	orderTimeout = 700 * time.Millisecond
	// orderQueue bounds the orders that wait for one agent.
	orderQueue = 4096
	// ordersAtOnce bounds the orders in progress with one agent.
	ordersAtOnce = 16
)

// session is the connection of the leader to one agent.
type session struct {
	run     *termRun
	node    string
	running bool
	wake    chan struct{} // an order waits
	slots   chan struct{} // held by orders in progress

	mu      sync.Mutex
	address string
	conn    *rpc.Conn
	orders  []Order // at most orderQueue
}

// register takes the address of an agent. The mutex of the run is held.
func (t *termRun) register(a Registration) {
	s := t.sessions[a.Node]
	if s == nil {
		s = &session{run: t, node: a.Node, wake: make(chan struct{}, 1), slots: make(chan struct{}, ordersAtOnce)}
		t.sessions[a.Node] = s
		t.core.worker(a.Node, boottime.Now())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.address != a.Address {
		klog.InfoS("Agent registered", "node", a.Node, "address", a.Address, "before", s.address)
		s.address = a.Address
		if s.conn != nil {
			s.conn.Close()
		}
	}
}

// startSessions starts the sessions of agents that have registered since.
func (t *termRun) startSessions(ctx context.Context, group *sync.WaitGroup) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.sessions {
		if !s.running {
			s.running = true
			group.Go(func() { s.serve(ctx) })
			group.Go(func() { s.send(ctx, group) })
		}
	}
}

// offer queues an order. It returns false if too many wait.
func (s *session) offer(o Order) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.orders) >= orderQueue {
		return false
	}
	s.orders = append(s.orders, o)
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return true
}

// take returns the orders that wait.
func (s *session) take() []Order {
	s.mu.Lock()
	defer s.mu.Unlock()
	orders := s.orders
	s.orders = nil
	return orders
}

// serve keeps a connection and asks for reports on it.
func (s *session) serve(ctx context.Context) {
	pause := redialPause
	for ctx.Err() == nil {
		conn, err := s.dial(ctx)
		if err != nil {
			klog.V(1).InfoS("Agent not reached", "node", s.node, "err", err)
			wait.For(ctx, pause)
			pause = min(2*pause, redialPauseMax)
			continue
		}
		pause = redialPause
		klog.InfoS("Agent connected", "node", s.node, "address", conn.RemoteAddress())
		err = s.follow(ctx, conn)
		s.mu.Lock()
		s.conn = nil
		s.mu.Unlock()
		conn.Close()
		if relay.IsStaleTerm(err) {
			s.run.depose(merry.Wrap(errDeposed, merry.AppendMessagef("agent %s: %v", s.node, err)))
			return
		}
		if ctx.Err() == nil {
			klog.InfoS("Agent disconnected", "node", s.node, "err", err)
		}
	}
}

func (s *session) dial(ctx context.Context) (*rpc.Conn, error) {
	s.mu.Lock()
	address := s.address
	s.mu.Unlock()
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := rpc.Dial(dialCtx, address, nil, nil, s.run.service.meter)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conn = conn
	return conn, nil
}

// follow asks for one report after the other until the connection fails.
func (s *session) follow(ctx context.Context, conn *rpc.Conn) error {
	problem := ""
	for ctx.Err() == nil {
		r, err := s.sync(ctx, conn)
		if err != nil {
			return err
		}
		if r.Error != problem {
			klog.InfoS("Worker's answer changed", "node", s.node, "problem", r.Error, "before", problem)
			problem = r.Error
		}
		if r.Error != "" {
			wait.For(ctx, redialPause)
		}
	}
	return ctx.Err()
}

func (s *session) sync(ctx context.Context, conn *rpc.Conn) (*relay.SyncResponse, error) {
	t := s.run
	asked := boottime.Now()
	t.mu.Lock()
	life, sequence, forget := t.core.SyncParameters(s.node, asked)
	request := relay.SyncRequest{Term: t.term.Number, Fence: t.fence(s.node), Incarnation: life, Sequence: sequence, AckedThrough: forget}
	if t.term.Valid() {
		if until, ok := t.core.GrantLease(s.node, life); ok {
			request.LeaseUntilMS, request.WaitMS = until, t.core.ReportWait(s.node).Milliseconds()
		}
	}
	t.mu.Unlock()
	callCtx, cancel := context.WithTimeout(ctx, time.Duration(request.WaitMS)*time.Millisecond+syncSlack)
	defer cancel()
	var response relay.SyncResponse
	if err := conn.Call(callCtx, relay.MethodSync, request, &response); err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.core.ApplyReport(Report{Node: s.node, SentAt: asked, ReceivedAt: boottime.Now(), Ack: forget,
		Worker: response.Worker, Left: response.Deregistered, Runs: response.Runs}, time.Now())
	if t.core.changed || len(t.core.outbox) > 0 {
		t.poke()
	}
	return &response, nil
}

// fenceEpochs is the number of lives of one worker that fit between the fences of two terms.
const fenceEpochs = 1 << 10

// fence returns the fence of orders to a worker: it rises with the term, and within a term with the lives of the worker.
// The mutex is held.
func (t *termRun) fence(node string) int64 {
	return t.term.Number*fenceEpochs + min(t.core.Epoch(node), fenceEpochs-1)
}

// send carries out orders, up to ordersAtOnce at a time.
func (s *session) send(ctx context.Context, group *sync.WaitGroup) {
	for {
		select {
		case <-s.wake:
		case <-ctx.Done():
			return
		}
		for _, o := range s.take() {
			select {
			case s.slots <- struct{}{}:
			case <-ctx.Done():
				return
			}
			group.Go(func() {
				defer func() { <-s.slots }()
				started := time.Now()
				v, problem := s.carryOut(ctx, o)
				s.run.service.metrics.order(o.Kind, v, time.Since(started))
				s.run.answered(o, v, problem)
			})
		}
	}
}

func (s *session) carryOut(ctx context.Context, o Order) (batch.Verdict, string) {
	s.mu.Lock()
	conn := s.conn
	s.mu.Unlock()
	if conn == nil {
		return batch.VerdictRefused, "agent not connected"
	}
	t := s.run
	t.mu.Lock()
	fence := t.fence(s.node)
	stale := t.core.workers[s.node].life() != o.Incarnation
	until, ok := t.core.GrantLease(s.node, o.Incarnation)
	ok = ok && t.term.Valid()
	t.mu.Unlock()
	if stale {
		return batch.VerdictOldIncarnation, "the worker has started again"
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	var response relay.OrderResponse
	var err error
	if o.Kind == OrderStop {
		err = conn.Call(ctx, relay.MethodStop, relay.StopRequest{Term: t.term.Number, Fence: fence, Incarnation: o.Incarnation,
			Task: o.Task, Run: o.Run}, &response)
	} else {
		if !ok {
			return batch.VerdictRefused, "no lease to grant"
		}
		err = conn.Call(ctx, relay.MethodStart, relay.StartRequest{Term: t.term.Number, Fence: fence, Incarnation: o.Incarnation,
			Task: o.Task, Run: o.Run, Payload: o.Payload, Checkpoint: o.Checkpoint, LeaseUntilMS: until}, &response)
	}
	if errors.Is(err, rpc.ErrOverloaded) {
		return batch.VerdictRefused, err.Error()
	}
	if err != nil {
		return batch.VerdictUnknown, err.Error()
	}
	return response.Verdict, response.Error
}
