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
	tickInterval = 100 * time.Millisecond
	// eventQueueSize limits the answers and reports that wait for the coordinator.
	eventQueueSize = 4096
	// callTimeout limits a call to an agent; stopCallTimeout allows for a checkpoint before the stop.
	callTimeout     = 2 * time.Second
	stopCallTimeout = protocol.CheckpointTimeout + callTimeout
	// storeTimeout limits one operation on a job record or an index entry.
	storeTimeout = 5 * time.Second
	// storeConcurrency limits the calls to the platform that one owner has in flight.
	storeConcurrency = 64
	watchPollTimeout = 10 * time.Second
	// resyncInterval is how often the open index is listed in full, in case touches were lost.
	resyncInterval    = 30 * time.Second
	listRetryInterval = time.Second
	blocksInterval    = time.Second
	maxViewAge        = time.Second
	// maxRecentJobs limits the finished jobs that queries still show. Older ones are read by their key.
	maxRecentJobs = 1000
)

// ErrBusy means that the coordinator's event queue is full; the call had no effect.
var ErrBusy = errors.New("cell: event queue is full")

// Agents sends commands to agents. After an error, the agent may or may not have executed the command.
type Agents interface {
	Hold(ctx context.Context, agent string, a protocol.HoldArgs) (protocol.HoldReply, error)
	Start(ctx context.Context, agent string, a protocol.StartArgs) (protocol.StartReply, error)
	Stop(ctx context.Context, agent string, a protocol.StopArgs) (protocol.StopReply, error)
}

// Service runs the coordinator of one cell in one entry.
type Service struct {
	cell    string
	coord   *Coordinator
	store   *jobs.Store
	agents  Agents
	isOwner func(now time.Time) bool
	scope   tally.Scope

	events      chan func(now time.Time)
	storeSlots  chan struct{}
	ownership   ownershipSignal
	waiters     waiters
	recentJobs  []protocol.JobView // finished jobs without payloads and outputs, for queries
	blocks      atomic.Pointer[protocol.LargestBlocks]
	cachedView  protocol.CellView // as of viewBuiltAt
	viewBuiltAt time.Time
}

// ownershipSignal notifies FollowIndex of changes of ownership.
type ownershipSignal struct {
	mu      sync.Mutex
	owner   bool
	changed chan struct{}
}

func (o *ownershipSignal) set(owner bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.owner != owner {
		o.owner = owner
		close(o.changed)
		o.changed = make(chan struct{})
	}
}

func (o *ownershipSignal) get() (bool, <-chan struct{}) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.owner, o.changed
}

// NewService returns a service that is not running yet. isOwner reports whether this entry owns the cell.
func NewService(cell string, p placement.Planner, config func() *model.Config, store *jobs.Store, agents Agents,
	isOwner func(now time.Time) bool, scope tally.Scope) *Service {
	s := &Service{
		cell: cell, store: store, agents: agents, isOwner: isOwner, scope: scope,
		events: make(chan func(time.Time), eventQueueSize), storeSlots: make(chan struct{}, storeConcurrency),
		ownership: ownershipSignal{changed: make(chan struct{})},
		waiters:   waiters{byJob: make(map[model.JobKey][]chan model.Job)},
	}
	s.coord = NewCoordinator(cell, p, config, s.jobFinished)
	return s
}

// Run runs the coordinator until ctx ends: it applies queued events, ticks, and performs the requested actions.
func (s *Service) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	var blocksComputedAt time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-s.events:
			f(time.Now())
		case now := <-ticker.C:
			owner := s.isOwner(now)
			s.coord.SetOwner(now, owner)
			s.ownership.set(owner)
			started := time.Now()
			s.coord.Tick(now)
			s.scope.Timer("tick").Record(time.Since(started))
			if now.Sub(blocksComputedAt) >= blocksInterval {
				blocksComputedAt = now
				b := s.coord.LargestBlocks()
				s.blocks.Store(&b)
			}
		}
		for _, a := range s.coord.DrainActions() {
			s.execute(ctx, a)
		}
	}
}

// LargestBlocks returns the cell's largest blocks of accelerators, as of at most blocksInterval ago.
func (s *Service) LargestBlocks() protocol.LargestBlocks {
	if b := s.blocks.Load(); b != nil {
		return *b
	}
	return protocol.LargestBlocks{}
}

// postEvent queues an event for the coordinator. It blocks while the queue is full, since an answer must not be lost;
// the callers run in goroutines of their own.
func (s *Service) postEvent(ctx context.Context, f func(now time.Time)) {
	select {
	case s.events <- f:
	case <-ctx.Done():
	}
}

// callCoordinator runs f in the coordinator's goroutine and returns its result, or ErrBusy at once if the event queue
// is full.
func callCoordinator[T any](ctx context.Context, s *Service, f func(now time.Time) T) (T, error) {
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

// execute performs an action without blocking; its answer, if any, is queued as an event.
func (s *Service) execute(ctx context.Context, a Action) {
	s.scope.Tagged(map[string]string{"action": actionName(a)}).Counter("actions").Inc(1)
	switch a := a.(type) {
	case HoldAction:
		go s.hold(ctx, a)
	case StartAction:
		go s.start(ctx, a)
	case StopAction:
		go s.stop(ctx, a)
	case WriteRecordAction:
		go s.withStoreSlot(ctx, func(ctx context.Context) { s.write(ctx, a) })
	case LoadRecordAction:
		go s.withStoreSlot(ctx, func(ctx context.Context) { s.load(ctx, a) })
	case TouchIndexAction:
		go s.withStoreSlot(ctx, func(callCtx context.Context) {
			err := s.store.Touch(callCtx, s.cell, a.Attempt.Job)
			s.postEvent(ctx, func(now time.Time) { s.coord.TouchAnswered(now, a, err) })
		})
	case RemoveIndexAction:
		go s.withStoreSlot(ctx, func(ctx context.Context) {
			if err := s.store.RemoveOpen(ctx, s.cell, a.Job); err != nil {
				klog.V(1).InfoS("Failed to remove index entry", "job", a.Job, "err", err)
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
	s.postEvent(ctx, func(now time.Time) { s.coord.HoldAnswered(now, a, reply, err) })
}

func (s *Service) start(ctx context.Context, a StartAction) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := s.agents.Start(callCtx, a.Agent, a.Args)
	s.postEvent(ctx, func(now time.Time) { s.coord.StartAnswered(now, a, reply, err) })
}

func (s *Service) stop(ctx context.Context, a StopAction) {
	callCtx, cancel := context.WithTimeout(ctx, stopCallTimeout)
	defer cancel()
	reply, err := s.agents.Stop(callCtx, a.Agent, a.Args)
	s.postEvent(ctx, func(now time.Time) { s.coord.StopAnswered(now, a, reply, err) })
}

// withStoreSlot runs f under storeTimeout once fewer than storeConcurrency platform calls are in flight.
func (s *Service) withStoreSlot(ctx context.Context, f func(ctx context.Context)) {
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
	s.postEvent(context.WithoutCancel(ctx), func(now time.Time) { s.coord.RecordWritten(now, a, r, err) })
}

func (s *Service) load(ctx context.Context, a LoadRecordAction) {
	r, err := s.store.Get(ctx, a.Job)
	switch {
	case err == nil:
		s.postEvent(ctx, func(now time.Time) { s.coord.RecordLoaded(now, r) })
	case errors.Is(err, jobs.ErrNotFound):
		s.postEvent(ctx, func(now time.Time) { s.coord.RecordMissing(now, a.Job) })
	default:
		klog.V(1).InfoS("Failed to read job record", "job", a.Job, "err", err)
	}
}

// FollowIndex reports the open index and its changes to the coordinator while this entry is the owner. It returns when
// ctx ends.
func (s *Service) FollowIndex(ctx context.Context) {
	for ctx.Err() == nil {
		owner, changed := s.ownership.get()
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
		if err := s.listAndWatch(ownCtx); err != nil && ownCtx.Err() == nil {
			klog.InfoS("Open index not followed", "cell", s.cell, "err", err)
		}
		cancel()
		select {
		case <-time.After(listRetryInterval):
		case <-ctx.Done():
		}
	}
}

// listAndWatch lists the open index and then watches it until the next resync or an error.
func (s *Service) listAndWatch(ctx context.Context) error {
	open, rev, err := s.store.ListOpen(ctx, s.cell)
	if err != nil {
		return err
	}
	s.postEvent(ctx, func(now time.Time) { s.coord.IndexListed(now, open) })
	resync := time.Now().Add(resyncInterval)
	for time.Now().Before(resync) {
		changes, next, err := s.store.WatchOpen(ctx, s.cell, rev, watchPollTimeout)
		if errors.Is(err, kvstore.ErrCompacted) {
			return nil
		}
		if err != nil {
			return err
		}
		rev = next
		for _, o := range changes {
			if !o.Removed {
				s.postEvent(ctx, func(now time.Time) { s.coord.IndexEntryChanged(now, o) })
			}
		}
	}
	return nil
}

// Announce passes an agent's announcement to the coordinator.
func (s *Service) Announce(ctx context.Context, a protocol.AnnounceArgs) (protocol.HeartbeatReply, error) {
	return callCoordinator(ctx, s, func(now time.Time) protocol.HeartbeatReply {
		return protocol.HeartbeatReply{Forget: s.coord.Announce(now, a), Owner: s.coord.IsOwner()}
	})
}

// Heartbeat passes an agent's heartbeat to the coordinator.
func (s *Service) Heartbeat(ctx context.Context, h protocol.HeartbeatArgs) (protocol.HeartbeatReply, error) {
	return callCoordinator(ctx, s, func(now time.Time) protocol.HeartbeatReply {
		forget, known := s.coord.Heartbeat(now, h)
		return protocol.HeartbeatReply{Forget: forget, Reannounce: !known, Owner: known && s.coord.IsOwner()}
	})
}

// View returns this entry's state of the cell, at most maxViewAge old, so that the pages of one query do not each sort
// it again. Only the owner fills in jobs and upstreams. The caller must not modify the rows.
func (s *Service) View(ctx context.Context) (protocol.CellView, error) {
	return callCoordinator(ctx, s, func(now time.Time) protocol.CellView {
		if now.Sub(s.viewBuiltAt) > maxViewAge || s.cachedView.Owner != s.coord.IsOwner() {
			s.cachedView, s.viewBuiltAt = s.buildView(now), now
		}
		return s.cachedView
	})
}

func (s *Service) buildView(now time.Time) protocol.CellView {
	reply := protocol.CellView{Cell: s.cell, Owner: s.coord.IsOwner()}
	if reply.Owner {
		reply.Jobs, reply.Upstreams = s.coord.QueryViews(now)
		reply.Jobs = append(reply.Jobs, s.recentJobs...)
		sort.SliceStable(reply.Jobs, func(i, k int) bool {
			return reply.Jobs[i].Job.Spec.Key.Less(reply.Jobs[k].Job.Spec.Key)
		})
	}
	return reply
}

// Wait returns the record of an open job once it has finished, or the record at the time of the call when ctx ends. It
// returns false for a job that this entry does not own.
func (s *Service) Wait(ctx context.Context, key model.JobKey) (model.Job, bool, error) {
	done := s.waiters.add(key)
	defer s.waiters.remove(key, done)
	open, err := callCoordinator(ctx, s, func(time.Time) *model.Job { return s.coord.Job(key) })
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

// jobFinished wakes the callers that wait for the job and keeps the job for queries. It runs in the coordinator's
// goroutine.
func (s *Service) jobFinished(j model.Job) {
	s.scope.Tagged(map[string]string{"result": string(j.Outcome.Result)}).Counter("jobs_finished").Inc(1)
	s.waiters.notify(j)
	shown := j
	shown.Spec.Payload, shown.Outcome = nil, &model.Outcome{
		Result: j.Outcome.Result, Ran: j.Outcome.Ran, Reason: j.Outcome.Reason,
	}
	s.recentJobs = append(s.recentJobs, protocol.JobView{Job: shown})
	if len(s.recentJobs) > maxRecentJobs {
		s.recentJobs = slices.Delete(s.recentJobs, 0, len(s.recentJobs)-maxRecentJobs)
	}
}

// waiters holds the channels of the calls that wait for a job to finish.
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

func (w *waiters) notify(j model.Job) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, ch := range w.byJob[j.Spec.Key] {
		select {
		case ch <- j:
		default:
		}
	}
}
