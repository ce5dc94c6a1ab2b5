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
	// dialTimeout limits the connection setup to an agent, which may be in another region.
	dialTimeout = 700 * time.Millisecond
	// redialDelay is the delay after a failed connection attempt. It doubles with each attempt up to maxRedialDelay.
	redialDelay    = 100 * time.Millisecond
	maxRedialDelay = time.Second
	// syncTimeoutMargin is added to the wait time of a poll. A connection without an answer by then is taken as dead.
	syncTimeoutMargin = 1200 * time.Millisecond
	// orderTimeout limits one order, which may go to another region.
	orderTimeout = 700 * time.Millisecond
	// maxQueuedOrders limits the orders that are queued for one agent.
	maxQueuedOrders = 4096
	// maxOrdersInFlight limits the concurrent orders to one agent.
	maxOrdersInFlight = 16
)

// session is the leader's connection to one agent.
type session struct {
	term     *leaderTerm
	node     string
	started  bool
	wake     chan struct{} // signals that orders is not empty
	inFlight chan struct{} // one element per order in flight

	mu      sync.Mutex
	address string
	conn    *rpc.Conn
	orders  []Order // at most maxQueuedOrders
}

// registerAgent sets the address of an agent and creates its session. The caller holds t.mu.
func (t *leaderTerm) registerAgent(a Registration) {
	s := t.sessions[a.Node]
	if s == nil {
		s = &session{term: t, node: a.Node, wake: make(chan struct{}, 1),
			inFlight: make(chan struct{}, maxOrdersInFlight)}
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

// startSessions starts the sessions of newly registered agents.
func (t *leaderTerm) startSessions(ctx context.Context, group *sync.WaitGroup) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.sessions {
		if !s.started {
			s.started = true
			group.Go(func() { s.keepConnected(ctx) })
			group.Go(func() { s.sendOrders(ctx, group) })
		}
	}
}

// enqueue queues an order. It returns false if the queue is full.
func (s *session) enqueue(o Order) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.orders) >= maxQueuedOrders {
		return false
	}
	s.orders = append(s.orders, o)
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return true
}

// drain removes and returns the queued orders.
func (s *session) drain() []Order {
	s.mu.Lock()
	defer s.mu.Unlock()
	orders := s.orders
	s.orders = nil
	return orders
}

// keepConnected connects to the agent and polls it for reports until ctx ends. A lost connection is set up again.
func (s *session) keepConnected(ctx context.Context) {
	delay := redialDelay
	for ctx.Err() == nil {
		conn, err := s.dial(ctx)
		if err != nil {
			klog.V(1).InfoS("Cannot connect to agent", "node", s.node, "err", err)
			wait.For(ctx, delay)
			delay = min(2*delay, maxRedialDelay)
			continue
		}
		delay = redialDelay
		klog.InfoS("Agent connected", "node", s.node, "address", conn.RemoteAddress())
		err = s.pollReports(ctx, conn)
		s.mu.Lock()
		s.conn = nil
		s.mu.Unlock()
		conn.Close()
		if relay.IsStaleTerm(err) {
			s.term.endTerm(merry.Wrap(errDeposed, merry.AppendMessagef("agent %s: %v", s.node, err)))
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
	conn, err := rpc.Dial(dialCtx, address, nil, nil, s.term.service.meter)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conn = conn
	return conn, nil
}

// pollReports polls the agent for reports until the connection fails.
func (s *session) pollReports(ctx context.Context, conn *rpc.Conn) error {
	problem := ""
	for ctx.Err() == nil {
		r, err := s.pollReport(ctx, conn)
		if err != nil {
			return err
		}
		if r.Error != problem {
			klog.InfoS("Worker's error changed", "node", s.node, "problem", r.Error, "before", problem)
			problem = r.Error
		}
		if r.Error != "" {
			wait.For(ctx, redialDelay)
		}
	}
	return ctx.Err()
}

// pollReport extends the worker's lease, waits for the agent's report and applies it.
func (s *session) pollReport(ctx context.Context, conn *rpc.Conn) (*relay.SyncResponse, error) {
	t := s.term
	sentAt := boottime.Now()
	t.mu.Lock()
	incarnation, sequence, ack := t.core.SyncParameters(s.node, sentAt)
	request := relay.SyncRequest{Term: t.term.Number, Fence: t.fence(s.node), Incarnation: incarnation,
		Sequence: sequence, AckedThrough: ack, AckedEnds: t.core.EarlierAcks(s.node), Speed: t.core.SpeedForAgent(s.node)}
	if t.term.Valid() {
		if until, ok := t.core.GrantLease(s.node, incarnation); ok {
			request.LeaseUntilMS, request.WaitMS = until, t.core.ReportWait(s.node).Milliseconds()
		}
	}
	t.mu.Unlock()
	callCtx, cancel := context.WithTimeout(ctx, time.Duration(request.WaitMS)*time.Millisecond+syncTimeoutMargin)
	defer cancel()
	var response relay.SyncResponse
	if err := conn.Call(callCtx, relay.MethodSync, request, &response); err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.core.ApplyReport(Report{Node: s.node, SentAt: sentAt, ReceivedAt: boottime.Now(), AckedThrough: ack,
		Worker: response.Worker, Deregistered: response.Deregistered, Runs: response.Runs,
		RetainedEnds: response.RetainedEnds, WorkerDown: response.Error != "", NotListening: response.NotListening,
		Speed: response.Speed, Refusals: response.Refusals}, time.Now())
	if t.core.planNeeded || len(t.core.outbox) > 0 {
		t.wakeLoop()
	}
	return &response, nil
}

// epochsPerTerm is the number of fencing tokens of one worker per term, one for each incarnation.
const epochsPerTerm = 1 << 10

// fence returns the fencing token of orders to a worker. It increases with the term, and within a term with the
// incarnations of the worker. The caller holds t.mu.
func (t *leaderTerm) fence(node string) int64 {
	return t.term.Number*epochsPerTerm + min(t.core.Epoch(node), epochsPerTerm-1)
}

// sendOrders sends queued orders, up to maxOrdersInFlight at a time.
func (s *session) sendOrders(ctx context.Context, group *sync.WaitGroup) {
	for {
		select {
		case <-s.wake:
		case <-ctx.Done():
			return
		}
		for _, o := range s.drain() {
			select {
			case s.inFlight <- struct{}{}:
			case <-ctx.Done():
				return
			}
			group.Go(func() {
				defer func() { <-s.inFlight }()
				started := time.Now()
				v, problem := s.sendOrder(ctx, o)
				s.term.service.metrics.recordOrder(o.Kind, v, time.Since(started))
				s.term.orderAnswered(o, v, problem)
			})
		}
	}
}

// sendOrder sends an order and returns the worker's answer, with the reason if the order was not accepted.
func (s *session) sendOrder(ctx context.Context, o Order) (batch.Verdict, string) {
	s.mu.Lock()
	conn := s.conn
	s.mu.Unlock()
	if conn == nil {
		return batch.VerdictRefused, "agent not connected"
	}
	t := s.term
	t.mu.Lock()
	fence := t.fence(s.node)
	superseded := o.Kind == OrderStart && !t.core.isCurrentStart(o)
	oldIncarnation := t.core.workers[s.node].incarnation() != o.Incarnation
	until, ok := t.core.GrantStart(s.node, o.Incarnation)
	ok = ok && t.term.Valid()
	t.mu.Unlock()
	if superseded { // while it was queued; a new lease would let it run beside the task's next run
		return batch.VerdictRefused, "the run is not wanted any more"
	}
	if oldIncarnation {
		return batch.VerdictOldIncarnation, "the worker has started again"
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	sentAt := time.Now()
	var response relay.OrderResponse
	var err error
	if o.Kind == OrderStop {
		err = conn.Call(ctx, relay.MethodStop, relay.StopRequest{Term: t.term.Number, Fence: fence,
			Incarnation: o.Incarnation, Task: o.Task, Run: o.Run}, &response)
	} else {
		if !ok {
			return batch.VerdictNotSent, "no lease to grant, or the data centre is evacuated"
		}
		err = conn.Call(ctx, relay.MethodStart, relay.StartRequest{Term: t.term.Number, Fence: fence,
			Incarnation: o.Incarnation, Task: o.Task, Run: o.Run, Payload: o.Payload, Checkpoint: o.Checkpoint,
			LeaseUntilMS: until}, &response)
	}
	if errors.Is(err, rpc.ErrOverloaded) {
		return batch.VerdictRefused, err.Error()
	}
	if errors.Is(err, context.DeadlineExceeded) {
		conn.CloseIfSilent(sentAt) // the poll would notice a silent connection later
	}
	if err != nil {
		return batch.VerdictUnknown, err.Error()
	}
	return response.Verdict, response.Error
}
