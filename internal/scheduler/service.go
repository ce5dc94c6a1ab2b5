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
	"masticcart.example/masticcart/internal/evacuation"
	"masticcart.example/masticcart/internal/kvstore"
	"masticcart.example/masticcart/internal/protocol"
	"masticcart.example/masticcart/internal/rpc"
)

const (
	// tickInterval is the longest interval between two rounds of the main loop.
	tickInterval = 100 * time.Millisecond
	// maxChangesPerTxn keeps a transaction within kvstore.MaxTxnOps: deleting a job takes four operations.
	maxChangesPerTxn = 7
	// writerCount is the number of concurrent transactions, so that a slow write does not delay the start of other
	// jobs.
	writerCount = 4
)

// Service runs the core while this process is the leader.
type Service struct {
	store    kvstore.Store
	config   Config
	operator OperatorState
	meter    *rpc.Meter
	metrics  *Metrics

	mu   sync.Mutex
	term *leaderTerm // nil while another process is the leader
	// handover is what the leader of the term handoverOf, the last one of this process, hands over.
	handover   []byte
	handoverOf *election.Term
	// entries holds the addresses of the entries by node name, as learned in this process's terms as leader.
	entries map[string]string
}

// OperatorState is what operators have written into the store, as this process knows it.
type OperatorState interface {
	// Catalog returns the newest known configuration.
	Catalog() *batch.Catalog
	// Evacuations returns the known requests to evacuate data centres.
	Evacuations() evacuation.View
}

// NewService returns the scheduler of an entry.
func NewService(
	store kvstore.Store, config Config, operator OperatorState, meter *rpc.Meter, m *Metrics,
) *Service {
	return &Service{store: store, config: config, operator: operator, meter: meter, metrics: m,
		entries: map[string]string{}}
}

// leaderTerm is the scheduler during one term as leader.
type leaderTerm struct {
	service     *Service
	term        *election.Term
	wake        chan struct{}
	termEnded   chan error // the reason to give up the leadership
	batches     chan *WriteBatch
	idleWriters chan struct{} // holds one element per idle writer

	mu       sync.Mutex // protects the fields below
	core     *Core
	sessions map[string]*session
	// appliedThrough is the revision up to which all changes of the intake are applied. An entry of a job up to it that the
	// core does not have has arrived late: the job was deleted, or cannot be used.
	appliedThrough kvstore.Revision
	recordsWritten chan struct{}        // closed and replaced after each write
	waits          map[string]QueueWait // as forecast last; nil before
	waitsAt        time.Duration        // boottime of the forecast
}

// Lead runs the scheduler until ctx ends or the term is lost.
func (s *Service) Lead(ctx context.Context, term *election.Term) error {
	t := &leaderTerm{service: s, term: term, wake: make(chan struct{}, 1), termEnded: make(chan error, 1),
		batches: make(chan *WriteBatch, writerCount), idleWriters: make(chan struct{}, writerCount),
		recordsWritten: make(chan struct{}), sessions: map[string]*session{}, core: NewCore(s.config, boottime.Now())}
	s.metrics.startTerm()
	t.core.inherit(decodeHandover(term.Handover))
	revision, err := t.load(ctx)
	if err != nil {
		return err
	}
	s.setTerm(t)
	defer s.endTerm(t)
	ctx, cancel := context.WithCancel(ctx)
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()
	group.Go(func() { t.watch(ctx, revision) })
	for range writerCount {
		t.idleWriters <- struct{}{}
		group.Go(func() { t.writeBatches(ctx) })
	}
	return t.loop(ctx, &group)
}

// ApplyIntakeEntry applies an entry of the intake as passed on by the process that wrote it, before the watch delivers
// it. It returns false unless this process is the leader.
func (s *Service) ApplyIntakeEntry(e kvstore.Entry) (full, isLeader bool) {
	t := s.currentTerm()
	if t == nil {
		return false, false
	}
	t.applyEvents([]kvstore.Event{{Entry: e}})
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.core.memory.Full() || len(t.core.memory.FullTeams()) > 0, true
}

func (s *Service) setEntryAddress(r Registration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries[r.Node] = r.Address
}

// EntryAddresses returns the addresses of the entries by node name, as learned in this process's terms as leader.
func (s *Service) EntryAddresses() map[string]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.entries)
}

// WaitState returns the recorded state of a job. It waits for a final state until ctx ends, at most for wait. known is
// false unless this process is the leader and has the job.
func (s *Service) WaitState(ctx context.Context, id string, wait time.Duration) (state batch.State, known bool) {
	t := s.currentTerm()
	if t == nil {
		return "", false
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		t.mu.Lock()
		state, known = t.core.RecordedState(id)
		written := t.recordsWritten
		t.mu.Unlock()
		if !known || state.Final() {
			return state, known
		}
		select {
		case <-written:
		case <-timer.C:
			return state, true
		case <-ctx.Done():
			return state, true
		}
	}
}

// currentTerm returns the current term of this process, or nil.
func (s *Service) currentTerm() *leaderTerm {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.term
}

func (s *Service) setTerm(t *leaderTerm) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.term = t
}

// endTerm records that a term of this process has ended. No leases are granted any more.
func (s *Service) endTerm(t *leaderTerm) {
	handover := t.encodeHandover()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.term, s.handover, s.handoverOf = nil, handover, t.term
}

// Explain describes a job. leads is false unless this process is the leader, known is false if it does not have the
// job.
func (s *Service) Explain(id string) (e *Explanation, known, leads bool) {
	t := s.currentTerm()
	if t == nil {
		return nil, false, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e, known = t.core.Explain(id, boottime.Now())
	return e, known, true
}

// View is the leader's state in the terms of the query language.
type View struct {
	Jobs    []protocol.JobView
	Workers []protocol.UpstreamView
	Catalog *batch.Catalog
	// LostCoreSeconds is the work that was thrown away in this term, by LossCause.
	LostCoreSeconds map[string]float64
	// YieldedCoreSeconds is the part of it that each team has lost by preemption for other teams.
	YieldedCoreSeconds map[string]float64
	Evacuations        evacuation.Set
	// UnmetGuarantees is the number of guaranteed accelerators by team that have no room outside the evacuated data
	// centres.
	UnmetGuarantees map[string]int
}

// View returns the state of the scheduler, or nil unless this process is the leader.
func (s *Service) View() *View {
	t := s.currentTerm()
	if t == nil {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	v := &View{Catalog: t.core.catalog, LostCoreSeconds: map[string]float64{},
		Evacuations:     t.core.evacuations.Requests,
		UnmetGuarantees: t.core.unmetGuarantees(),

		YieldedCoreSeconds: maps.Clone(t.core.YieldedWork())}
	v.Jobs, v.Workers = t.core.View(boottime.Now(), time.Now())
	for cause, lost := range t.core.LostWork() {
		v.LostCoreSeconds[string(cause)] = lost
	}
	return v
}

// endTerm ends the term with an error.
func (t *leaderTerm) endTerm(err error) {
	select {
	case t.termEnded <- err:
	default:
	}
}

// wakeLoop starts the next round of the main loop at once.
func (t *leaderTerm) wakeLoop() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// loop plans, passes batches to the writers and orders to the sessions.
func (t *leaderTerm) loop(ctx context.Context, group *sync.WaitGroup) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		t.startSessions(ctx, group)
		if err := t.advance(); err != nil {
			return err
		}
		select {
		case <-t.wake:
		case <-ticker.C:
		case err := <-t.termEnded:
			return err
		case <-ctx.Done():
			return nil
		}
	}
}

// advance ticks the core, and passes batches to idle writers.
func (t *leaderTerm) advance() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.core.SetCatalog(t.service.operator.Catalog())
	t.core.SetEvacuations(t.service.operator.Evacuations())
	t.core.Tick(boottime.Now(), time.Now())
	t.dispatch(t.core.DrainOrders())
	if delay, due := t.core.PlanDue(boottime.Now()); due && delay > 0 {
		time.AfterFunc(delay, t.wakeLoop)
	}
	t.service.metrics.update(t.core)
	for {
		select {
		case <-t.idleWriters:
		default:
			return nil
		}
		b, err := t.core.NextBatch(maxChangesPerTxn)
		if err != nil {
			return err
		}
		if b == nil {
			t.idleWriters <- struct{}{}
			return nil
		}
		t.batches <- b // has capacity for all writers
	}
}

// dispatch passes orders to the sessions of their agents. The caller holds t.mu.
func (t *leaderTerm) dispatch(orders []Order) {
	for _, o := range orders {
		s := t.sessions[o.Node]
		if s == nil || !s.enqueue(o) {
			klog.InfoS("Order not sent", "order", o.Kind, "task", o.Task, "run", o.Run, "node", o.Node,
				"reason", "no session, or its order queue is full")
			t.core.ApplyVerdict(o, batch.VerdictRefused, "not sent", boottime.Now())
		}
	}
}

// orderAnswered passes the answer to an order to the core.
func (t *leaderTerm) orderAnswered(o Order, v batch.Verdict, problem string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.core.ApplyVerdict(o, v, problem, boottime.Now())
	t.wakeLoop()
}

// batchCommitted passes a committed batch to the core and sends the orders that waited for it.
func (t *leaderTerm) batchCommitted(b *WriteBatch, revision kvstore.Revision) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dispatch(t.core.ApplyCommit(b, revision, boottime.Now()))
	close(t.recordsWritten)
	t.recordsWritten = make(chan struct{})
	t.wakeLoop()
}
