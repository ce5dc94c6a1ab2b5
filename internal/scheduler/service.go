package scheduler

import (
	"context"
	"maps"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"masticcart.example/masticcart/internal/batch"
	"masticcart.example/masticcart/internal/boottime"
	"masticcart.example/masticcart/internal/election"
	"masticcart.example/masticcart/internal/kvstore"
	"masticcart.example/masticcart/internal/protocol"
	"masticcart.example/masticcart/internal/rpc"
)

const (
	// tickInterval is the pace of the main loop without news.
	tickInterval = 100 * time.Millisecond
	// changesPerWrite keeps a transaction within kvstore.MaxTxnOps: a job that is forgotten takes four entries.
	changesPerWrite = 7
	// writers bounds the transactions under way, so that a slow store does not queue one job's start behind another's.
	writers = 4
)

// Service runs the core while this process leads.
type Service struct {
	store   kvstore.Store
	config  Config
	catalog func() *batch.Catalog
	meter   *rpc.Meter
	metrics *Metrics

	mu   sync.Mutex
	term *termRun // nil while another process leads
	// entries are the addresses of the entry hosts by name, as this process learned them while it led.
	entries map[string]string
}

// NewService returns the scheduler of an entry. catalog returns the newest configuration that is known.
func NewService(store kvstore.Store, config Config, catalog func() *batch.Catalog, meter *rpc.Meter, m *Metrics) *Service {
	return &Service{store: store, config: config, catalog: catalog, meter: meter, metrics: m,
		entries: map[string]string{}}
}

// termRun is the scheduler during one term.
type termRun struct {
	service *Service
	term    *election.Term
	wake    chan struct{}
	failed  chan error // the reason to give the leadership up
	batches chan *WriteBatch
	idle    chan struct{} // holds an entry for each writer that is free

	mu       sync.Mutex // protects what follows
	core     *Core
	sessions map[string]*session
	news     chan struct{} // closed and replaced after each write
}

// Lead runs the scheduler until ctx ends or the term is lost.
func (s *Service) Lead(ctx context.Context, term *election.Term) error {
	t := &termRun{service: s, term: term, wake: make(chan struct{}, 1), failed: make(chan error, 1),
		batches: make(chan *WriteBatch, writers), idle: make(chan struct{}, writers), news: make(chan struct{}), sessions: map[string]*session{},
		core: NewCore(s.config, boottime.Now())}
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
	for range writers {
		t.idle <- struct{}{}
		group.Go(func() { t.write(ctx) })
	}
	return t.loop(ctx, &group)
}

// ApplyIntakeEntry takes an entry of the intake from the process that wrote it, before the watch brings it. It returns false unless
// this process leads.
func (s *Service) ApplyIntakeEntry(e kvstore.Entry) bool {
	t := s.current()
	if t == nil {
		return false
	}
	t.take([]kvstore.Event{{Entry: e}})
	return true
}

// setEntry takes the registration of an entry host.
func (s *Service) setEntry(r Registration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries[r.Node] = r.Address
}

// EntryAddresses returns the addresses of the entry hosts by name, as far as this process has learned them while it led.
func (s *Service) EntryAddresses() map[string]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.entries)
}

// WaitState returns the recorded state of a job. While the job is not over it waits for a change until ctx ends, at most for
// wait. known is false unless this process leads and knows the job.
func (s *Service) WaitState(ctx context.Context, id string, wait time.Duration) (state batch.State, known bool) {
	t := s.current()
	if t == nil {
		return "", false
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		t.mu.Lock()
		state, known = t.core.RecordedState(id)
		news := t.news
		t.mu.Unlock()
		if !known || state.Final() {
			return state, known
		}
		select {
		case <-news:
		case <-timer.C:
			return state, true
		case <-ctx.Done():
			return state, true
		}
	}
}

// current returns the present term of this process, or nil.
func (s *Service) current() *termRun {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.term
}

func (s *Service) setTerm(t *termRun) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.term = t
}

// PendingByQueue returns the number of jobs of each queue of which no task has started. It returns false unless this process
// leads.
func (s *Service) PendingByQueue() (map[string]int, bool) {
	t := s.current()
	if t == nil {
		return nil, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.core.PendingByQueue(), true
}

// Explain describes a job. leads is false unless this process leads, known is false if it does not know the job.
func (s *Service) Explain(id string) (e *Explanation, known, leads bool) {
	t := s.current()
	if t == nil {
		return nil, false, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e, known = t.core.Explain(id, boottime.Now())
	return e, known, true
}

// View describes all jobs and workers, and returns the configuration in force. leads is false unless this process leads.
func (s *Service) View() (jobs []protocol.JobView, workers []protocol.UpstreamView, catalog *batch.Catalog, leads bool) {
	t := s.current()
	if t == nil {
		return nil, nil, nil, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	jobs, workers = t.core.View(boottime.Now(), time.Now())
	return jobs, workers, t.core.catalog, true
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

// loop plans, hands batches to the writers and orders to the sessions.
func (t *termRun) loop(ctx context.Context, group *sync.WaitGroup) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		t.startSessions(ctx, group)
		if err := t.step(); err != nil {
			return err
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

// step moves the core on and hands out what is to be written, as far as writers are free.
func (t *termRun) step() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.core.SetCatalog(t.service.catalog())
	t.core.Tick(boottime.Now(), time.Now())
	t.dispatch(t.core.DrainOrders())
	if in, due := t.core.PlanDue(boottime.Now()); due && in > 0 {
		time.AfterFunc(in, t.poke)
	}
	t.service.metrics.observe(t.core)
	for {
		select {
		case <-t.idle:
		default:
			return nil
		}
		b, err := t.core.NextBatch(changesPerWrite)
		if err != nil {
			return err
		}
		if b == nil {
			t.idle <- struct{}{}
			return nil
		}
		t.batches <- b // has room for all writers
	}
}

// dispatch hands orders to the sessions of their agents. The mutex is held.
func (t *termRun) dispatch(orders []Order) {
	for _, o := range orders {
		s := t.sessions[o.Node]
		if s == nil || !s.offer(o) {
			klog.InfoS("Order not sent", "order", o.Kind, "task", o.Task, "run", o.Run, "node", o.Node,
				"reason", "no session, or too many orders waiting")
			t.core.ApplyVerdict(o, batch.VerdictRefused, "not sent", boottime.Now())
		}
	}
}

// answered passes the outcome of an order to the core.
func (t *termRun) answered(o Order, v batch.Verdict, problem string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.core.ApplyVerdict(o, v, problem, boottime.Now())
	t.poke()
}

// committed passes a finished write to the core and sends the orders that waited for it.
func (t *termRun) committed(b *WriteBatch, revision kvstore.Revision) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dispatch(t.core.ApplyCommit(b, revision, boottime.Now()))
	close(t.news)
	t.news = make(chan struct{})
	t.poke()
}
