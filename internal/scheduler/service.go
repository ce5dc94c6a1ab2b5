package scheduler

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"masticcart.example/masticcart/internal/batch"
	"masticcart.example/masticcart/internal/boottime"
	"masticcart.example/masticcart/internal/election"
	"masticcart.example/masticcart/internal/kvstore"
	"masticcart.example/masticcart/internal/rpc"
)

const (
	// tickInterval is the pace of the main loop without news.
	tickInterval = 100 * time.Millisecond
	// changesPerWrite keeps a transaction within kvstore.MaxTxnEntries: a job that is forgotten takes four entries.
	changesPerWrite = 7
)

// Service runs the core while this process leads.
type Service struct {
	store   kvstore.Store
	config  Config
	catalog func() *batch.Catalog
	meter   *rpc.Meter
	metrics *metrics

	mu   sync.Mutex
	term *termRun // nil while another process leads
}

// NewService returns the scheduler of an entry. catalog returns the newest configuration that is known.
func NewService(store kvstore.Store, config Config, catalog func() *batch.Catalog, meter *rpc.Meter, m *metrics) *Service {
	return &Service{store: store, config: config, catalog: catalog, meter: meter, metrics: m}
}

// termRun is the scheduler during one term.
type termRun struct {
	service *Service
	term    *election.Term
	wake    chan struct{}
	failed  chan error // the reason to give the leadership up

	mu       sync.Mutex // protects what follows
	core     *Core
	sessions map[string]*session
}

// Lead runs the scheduler until ctx ends or the term is lost.
func (s *Service) Lead(ctx context.Context, term *election.Term) error {
	t := &termRun{service: s, term: term, wake: make(chan struct{}, 1), failed: make(chan error, 1),
		sessions: map[string]*session{},
		core:     NewCore(s.config, boottime.Now())}
	revision, err := t.load(ctx)
	if err != nil {
		return err
	}
	s.setTerm(t)
	defer s.setTerm(nil)
	ctx, cancel := context.WithCancel(ctx)
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()
	group.Go(func() { t.watch(ctx, revision) })
	writes := make(chan *Batch)
	group.Go(func() { t.write(ctx, writes) })
	t.startSessions(ctx, &group)
	return t.loop(ctx, &group, writes)
}

func (s *Service) setTerm(t *termRun) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.term = t
}

// Pending returns the number of jobs of each queue of which no task has started. It returns false unless this process
// leads.
func (s *Service) Pending() (map[string]int, bool) {
	s.mu.Lock()
	t := s.term
	s.mu.Unlock()
	if t == nil {
		return nil, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.core.Pending(), true
}

// State returns the state of a job. It returns false unless this process leads and knows the job.
func (s *Service) State(id string) (batch.State, bool) {
	s.mu.Lock()
	t := s.term
	s.mu.Unlock()
	if t == nil {
		return "", false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.core.StateOf(id)
}

// depose ends the term for a reason.
func (t *termRun) depose(err error) {
	select {
	case t.failed <- err:
	default:
	}
}

// poke makes the main loop look at once.
func (t *termRun) poke() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// loop plans, hands batches to the writer and orders to the sessions.
func (t *termRun) loop(ctx context.Context, group *sync.WaitGroup, writes chan<- *Batch) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		batch, err := t.step()
		if err != nil {
			return err
		}
		t.startSessions(ctx, group)
		if batch != nil {
			select {
			case writes <- batch:
			case err := <-t.failed:
				return err
			case <-ctx.Done():
				return nil
			}
		}
		select {
		case <-t.wake:
		case <-ticker.C:
		case err := <-t.failed:
			return err
		case <-ctx.Done():
			return nil
		}
	}
}

// step moves the core on and returns the next batch to write, if the writer is free.
func (t *termRun) step() (*Batch, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.core.SetCatalog(t.service.catalog())
	t.core.Tick(boottime.Now(), time.Now())
	t.dispatch(t.core.Orders())
	t.service.metrics.observe(t.core)
	return t.core.Take(changesPerWrite)
}

// dispatch hands orders to the sessions of their agents. The mutex is held.
func (t *termRun) dispatch(orders []Order) {
	for _, o := range orders {
		s := t.sessions[o.Node]
		if s == nil || !s.offer(o) {
			klog.InfoS("Order not sent", "order", o.Kind, "task", o.Task, "run", o.Run, "node", o.Node,
				"reason", "no session, or too many orders waiting")
			t.core.Answered(o, batch.Refused, "not sent", boottime.Now(), time.Now())
		}
	}
}

// answered passes the outcome of an order to the core.
func (t *termRun) answered(o Order, v batch.Verdict, problem string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.core.Answered(o, v, problem, boottime.Now(), time.Now())
	t.poke()
}

// committed passes a finished write to the core and sends the orders that waited for it.
func (t *termRun) committed(b *Batch, revision kvstore.Revision) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dispatch(t.core.Committed(b, revision, boottime.Now()))
	t.poke()
}
