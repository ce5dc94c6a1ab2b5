package cell

import (
	"context"
	"errors"
	"slices"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"k8s.io/klog/v2"

	"masticcart.example/masticcart/internal/jobs"
	"masticcart.example/masticcart/internal/kvstore"
	"masticcart.example/masticcart/internal/model"
	"masticcart.example/masticcart/internal/placement"
	"masticcart.example/masticcart/internal/protocol"
)

const (
	serviceTick = 100 * time.Millisecond
	// eventQueue bounds the answers and reports that wait for the coordinator.
	eventQueue = 4096
	// callTimeout bounds a call to an agent; a stop may include a checkpoint.
	callTimeout = 2 * time.Second
	stopTimeout = protocol.CheckpointTimeout + callTimeout
	// storeTimeout bounds one operation on a job record.
	storeTimeout = 5 * time.Second
	// storeConcurrency bounds the calls to the platform that one owner has in progress.
	storeConcurrency = 64
	watchWait        = 10 * time.Second
	// resyncInterval repeats the listing of the open index, for touches that were lost.
	resyncInterval = 30 * time.Second
	listRetry      = time.Second
	blocksInterval = time.Second
	viewAge        = time.Second
	// maxRecent bounds the finished jobs that queries still show. Older ones are read by their key.
	maxRecent = 1000
)

// ErrBusy means that the coordinator's queue is full.
var ErrBusy = errors.New("cell: event queue is full")

// Agents sends commands to agents. An error means that the agent may or may not have acted.
type Agents interface {
	Hold(ctx context.Context, agent string, a protocol.HoldArgs) (protocol.HoldReply, error)
	Start(ctx context.Context, agent string, a protocol.StartArgs) (protocol.StartReply, error)
	Stop(ctx context.Context, agent string, a protocol.StopArgs) (protocol.StopReply, error)
}

// Service runs the coordinator of one cell at one entry.
type Service struct {
	cell   string
	coord  *Coordinator
	store  *jobs.Store
	agents Agents
	isOwn  func(now time.Time) bool
	scope  tally.Scope

	events     chan func(now time.Time)
	storeSlots chan struct{}
	owner      ownerSignal
	waiters    waiters
	recent     []protocol.JobView // finished jobs, without their outputs; for queries
	blocks     atomic.Pointer[protocol.LargestBlocks]
	view       protocol.CellView // of the time viewed
	viewed     time.Time
}

// ownerSignal tells the index loop about changes of ownership.
type ownerSignal struct {
	mu      sync.Mutex
	owner   bool
	changed chan struct{}
}

func (o *ownerSignal) set(owner bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.owner != owner {
		o.owner = owner
		close(o.changed)
		o.changed = make(chan struct{})
	}
}

func (o *ownerSignal) get() (bool, <-chan struct{}) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.owner, o.changed
}

// NewService returns a service that has not been started. isOwner tells whether this entry owns the cell.
func NewService(cell string, p placement.Planner, config func() *model.Config, store *jobs.Store, agents Agents,
	isOwner func(now time.Time) bool, scope tally.Scope) *Service {
	s := &Service{
		cell: cell, store: store, agents: agents, isOwn: isOwner, scope: scope,
		events: make(chan func(time.Time), eventQueue), storeSlots: make(chan struct{}, storeConcurrency),
		owner:   ownerSignal{changed: make(chan struct{})},
		waiters: waiters{byJob: make(map[model.JobKey][]chan model.Job)},
	}
	s.coord = NewCoordinator(cell, p, config, s.jobFinished)
	return s
}

// Run is the coordinator's goroutine; it ends with ctx.
func (s *Service) Run(ctx context.Context) {
	ticker := time.NewTicker(serviceTick)
	defer ticker.Stop()
	var summed time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-s.events:
			f(time.Now())
		case now := <-ticker.C:
			own := s.isOwn(now)
			s.coord.SetOwner(now, own)
			s.owner.set(own)
			started := time.Now()
			s.coord.Tick(now)
			s.scope.Timer("tick").Record(time.Since(started))
			if now.Sub(summed) >= blocksInterval {
				summed = now
				b := s.coord.LargestBlocks()
				s.blocks.Store(&b)
			}
		}
		for _, a := range s.coord.DrainActions() {
			s.perform(ctx, a)
		}
	}
}

// LargestBlocks returns the largest blocks of the cell, as of at most blocksInterval ago.
func (s *Service) LargestBlocks() protocol.LargestBlocks {
	if b := s.blocks.Load(); b != nil {
		return *b
	}
	return protocol.LargestBlocks{}
}

// post hands an answer to the coordinator. It waits for room, since an answer must not be lost; the senders
// are goroutines of single calls.
func (s *Service) post(ctx context.Context, f func(now time.Time)) {
	select {
	case s.events <- f:
	case <-ctx.Done():
	}
}

// ask runs f in the coordinator's goroutine and waits for its result. A full queue refuses at once.
func ask[T any](ctx context.Context, s *Service, f func(now time.Time) T) (T, error) {
	var zero T
	result := make(chan T, 1)
	select {
	case s.events <- func(now time.Time) { result <- f(now) }:
	default:
		return zero, ErrBusy
	}
	select {
	case r := <-result:
		return r, nil
	case <-ctx.Done():
		return zero, ctx.Err()
	}
}

func (s *Service) perform(ctx context.Context, a Action) {
	s.scope.Tagged(map[string]string{"action": actionName(a)}).Counter("actions").Inc(1)
	switch a := a.(type) {
	case HoldAction:
		go s.hold(ctx, a)
	case StartAction:
		go s.start(ctx, a)
	case StopAction:
		go s.stop(ctx, a)
	case WriteRecordAction:
		go s.withStore(ctx, func(ctx context.Context) { s.write(ctx, a) })
	case LoadRecordAction:
		go s.withStore(ctx, func(ctx context.Context) { s.load(ctx, a) })
	case TouchIndexAction:
		go s.withStore(ctx, func(callCtx context.Context) {
			err := s.store.Touch(callCtx, s.cell, a.Attempt.Job)
			s.post(ctx, func(now time.Time) { s.coord.TouchAnswered(now, a, err) })
		})
	case RemoveIndexAction:
		go s.withStore(ctx, func(ctx context.Context) {
			if err := s.store.RemoveOpen(ctx, s.cell, a.Job); err != nil {
				klog.V(1).InfoS("Index entry not removed", "job", a.Job, "err", err)
			}
		})
	}
}

func actionName(a Action) string {
	switch a.(type) {
	case HoldAction:
		return "hold"
	case StartAction:
		return "start"
	case StopAction:
		return "stop"
	case WriteRecordAction:
		return "write"
	case LoadRecordAction:
		return "load"
	case TouchIndexAction:
		return "touch"
	}
	return "close"
}

func (s *Service) hold(ctx context.Context, a HoldAction) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := s.agents.Hold(callCtx, a.Agent, a.Args)
	s.post(ctx, func(now time.Time) { s.coord.HoldAnswered(now, a, reply, err) })
}

func (s *Service) start(ctx context.Context, a StartAction) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := s.agents.Start(callCtx, a.Agent, a.Args)
	s.post(ctx, func(now time.Time) { s.coord.StartAnswered(now, a, reply, err) })
}

func (s *Service) stop(ctx context.Context, a StopAction) {
	callCtx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	reply, err := s.agents.Stop(callCtx, a.Agent, a.Args)
	s.post(ctx, func(now time.Time) { s.coord.StopAnswered(now, a, reply, err) })
}

func (s *Service) withStore(ctx context.Context, f func(ctx context.Context)) {
	select {
	case s.storeSlots <- struct{}{}:
	case <-ctx.Done():
		return
	}
	defer func() { <-s.storeSlots }()
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	f(callCtx)
}

func (s *Service) write(ctx context.Context, a WriteRecordAction) {
	r, err := s.store.Write(ctx, a.Record.Job, a.Record.Revision)
	s.post(context.WithoutCancel(ctx), func(now time.Time) { s.coord.RecordWritten(now, a, r, err) })
}

func (s *Service) load(ctx context.Context, a LoadRecordAction) {
	r, err := s.store.Get(ctx, a.Job)
	switch {
	case err == nil:
		s.post(ctx, func(now time.Time) { s.coord.RecordLoaded(now, r) })
	case errors.Is(err, jobs.ErrNotFound):
		s.post(ctx, func(now time.Time) { s.coord.RecordMissing(now, a.Job) })
	default:
		klog.V(1).InfoS("Job record not read", "job", a.Job, "err", err)
	}
}

// FollowIndex keeps the coordinator informed of the open index while this entry is owner.
func (s *Service) FollowIndex(ctx context.Context) {
	for ctx.Err() == nil {
		owner, changed := s.owner.get()
		if !owner {
			select {
			case <-changed:
			case <-ctx.Done():
			}
			continue
		}
		ownCtx, cancel := context.WithCancel(ctx)
		go func() {
			select {
			case <-changed:
				cancel()
			case <-ownCtx.Done():
			}
		}()
		if err := s.followOnce(ownCtx); err != nil && ownCtx.Err() == nil {
			klog.InfoS("Open index not followed", "cell", s.cell, "err", err)
		}
		cancel()
		select {
		case <-time.After(listRetry):
		case <-ctx.Done():
		}
	}
}

// followOnce lists the index and then watches it until the next resync or an error.
func (s *Service) followOnce(ctx context.Context) error {
	open, rev, err := s.store.ListOpen(ctx, s.cell)
	if err != nil {
		return err
	}
	s.post(ctx, func(now time.Time) { s.coord.IndexListed(now, open) })
	resync := time.Now().Add(resyncInterval)
	for time.Now().Before(resync) {
		changes, next, err := s.store.WatchOpen(ctx, s.cell, rev, watchWait)
		if errors.Is(err, kvstore.ErrCompacted) {
			return nil
		}
		if err != nil {
			return err
		}
		rev = next
		for _, o := range changes {
			if !o.Removed {
				s.post(ctx, func(now time.Time) { s.coord.IndexEntryChanged(now, o) })
			}
		}
	}
	return nil
}

// Announce handles an agent's announcement.
func (s *Service) Announce(ctx context.Context, a protocol.AnnounceArgs) (protocol.HeartbeatReply, error) {
	return ask(ctx, s, func(now time.Time) protocol.HeartbeatReply {
		return protocol.HeartbeatReply{Forget: s.coord.Announce(now, a), Owner: s.coord.IsOwner()}
	})
}

// Heartbeat handles an agent's heartbeat.
func (s *Service) Heartbeat(ctx context.Context, h protocol.HeartbeatArgs) (protocol.HeartbeatReply, error) {
	return ask(ctx, s, func(now time.Time) protocol.HeartbeatReply {
		forget, known := s.coord.Heartbeat(now, h)
		return protocol.HeartbeatReply{Forget: forget, Reannounce: !known, Owner: known && s.coord.IsOwner()}
	})
}

// View returns the cell as this entry sees it, at most viewAge old, so that the pages of one query do not sort it
// again and again. Jobs and upstreams are filled in by the owner only. The caller must not modify the rows.
func (s *Service) View(ctx context.Context) (protocol.CellView, error) {
	return ask(ctx, s, func(now time.Time) protocol.CellView {
		if now.Sub(s.viewed) > viewAge || s.view.Owner != s.coord.IsOwner() {
			s.view, s.viewed = s.buildView(now), now
		}
		return s.view
	})
}

func (s *Service) buildView(now time.Time) protocol.CellView {
	reply := protocol.CellView{Cell: s.cell, Owner: s.coord.IsOwner()}
	if reply.Owner {
		reply.Jobs, reply.Upstreams = s.coord.QueryViews(now)
		reply.Jobs = append(reply.Jobs, s.recent...)
		sort.SliceStable(reply.Jobs, func(i, k int) bool { return reply.Jobs[i].Job.Spec.Key.Less(reply.Jobs[k].Job.Spec.Key) })
	}
	return reply
}

// Wait returns the record of an open job once it has finished, or its present state when ctx ends. It
// returns false for a job that this entry does not own.
func (s *Service) Wait(ctx context.Context, key model.JobKey) (model.Job, bool, error) {
	done := s.waiters.add(key)
	defer s.waiters.remove(key, done)
	open, err := ask(ctx, s, func(time.Time) *model.Job { return s.coord.Job(key) })
	if err != nil || open == nil {
		return model.Job{}, false, err
	}
	if open.State == model.JobFinished {
		return *open, true, nil
	}
	select {
	case j := <-done:
		return j, true, nil
	case <-ctx.Done():
		return *open, true, nil
	}
}

// jobFinished runs in the coordinator's goroutine.
func (s *Service) jobFinished(j model.Job) {
	s.scope.Tagged(map[string]string{"result": string(j.Outcome.Result)}).Counter("jobs_finished").Inc(1)
	s.waiters.wake(j)
	shown := j
	shown.Spec.Payload, shown.Outcome = nil, &model.Outcome{Result: j.Outcome.Result, Ran: j.Outcome.Ran, Reason: j.Outcome.Reason}
	s.recent = append(s.recent, protocol.JobView{Job: shown})
	if len(s.recent) > maxRecent {
		s.recent = slices.Delete(s.recent, 0, len(s.recent)-maxRecent)
	}
}

// waiters are the calls that wait for a job to finish.
type waiters struct {
	mu    sync.Mutex
	byJob map[model.JobKey][]chan model.Job
}

func (w *waiters) add(key model.JobKey) chan model.Job {
	w.mu.Lock()
	defer w.mu.Unlock()
	ch := make(chan model.Job, 1)
	w.byJob[key] = append(w.byJob[key], ch)
	return ch
}

func (w *waiters) remove(key model.JobKey, ch chan model.Job) {
	w.mu.Lock()
	defer w.mu.Unlock()
	list := w.byJob[key]
	for i, x := range list {
		if x == ch {
			list = append(list[:i], list[i+1:]...)
			break
		}
	}
	if len(list) == 0 {
		delete(w.byJob, key)
		return
	}
	w.byJob[key] = list
}

func (w *waiters) wake(j model.Job) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, ch := range w.byJob[j.Spec.Key] {
		select {
		case ch <- j:
		default:
		}
	}
}
