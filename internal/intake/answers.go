package intake

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"k8s.io/klog/v2"

	"masticcart.example/masticcart/internal/batch"
	"masticcart.example/masticcart/internal/boottime"
	"masticcart.example/masticcart/internal/kvstore"
	"masticcart.example/masticcart/internal/scheduler"
	"masticcart.example/masticcart/internal/wait"
)

// State returns the state of a job.
func (s *Service) State(ctx context.Context, r Request) Response {
	started := time.Now()
	a, refusal := s.admit(r)
	if refusal != nil {
		return s.log("State refused", r, a, started, *refusal)
	}
	if a.rest == "" {
		return s.count(ctx, r, a, started)
	}
	ctx, cancel := context.WithDeadline(ctx, r.deadline())
	defer cancel()
	state, err := s.read(ctx, a.rest)
	switch {
	case errors.Is(err, kvstore.ErrNotFound):
		return s.log("State answered", r, a, started, Response{Outcome: Gone, Reason: "no such job"})
	case err != nil:
		return s.log("State answered", r, a, started, Response{Outcome: Unavailable, Reason: err.Error(), RetryAfter: comeBack})
	}
	return s.log("State answered", r, a, started, Response{Outcome: OK, State: state})
}

// stateWait is how long an answer about a job that is not over waits for a change. Callers often ask when the last task
// has just ended, before its end is recorded.
const stateWait = 250 * time.Millisecond

// read returns the recorded state of a job from the scheduler, or else from the store, again and again while it fails.
func (s *Service) read(ctx context.Context, id string) (batch.State, error) {
	state, known, err := s.leader.State(ctx, id, stateWait)
	if err == nil && known {
		return state, nil
	}
	if err != nil {
		klog.V(1).InfoS("State not told by the leader", "job", id, "err", err)
	}
	for {
		state, err := s.readOnce(ctx, id)
		if err == nil || errors.Is(err, kvstore.ErrNotFound) || ctx.Err() != nil {
			return state, err
		}
		wait.For(ctx, storeRetry)
	}
}

func (s *Service) readOnce(ctx context.Context, id string) (batch.State, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	e, err := s.store.Get(ctx, scheduler.RecordKey(id))
	if errors.Is(err, kvstore.ErrNotFound) {
		if _, err := s.store.Get(ctx, scheduler.JobKey(id)); err != nil {
			return "", err
		}
		return batch.Queued, nil
	}
	if err != nil {
		return "", err
	}
	var record scheduler.Record
	if err := json.Unmarshal(e.Value, &record); err != nil {
		return "", err
	}
	return record.State, nil
}

// count answers with the number of waiting jobs of a queue.
func (s *Service) count(ctx context.Context, r Request, a *admission, started time.Time) Response {
	ctx, cancel := context.WithDeadline(ctx, r.deadline())
	defer cancel()
	pending, err := s.counts(ctx)
	if err != nil {
		return s.log("Count answered", r, a, started, Response{Outcome: Unavailable, Reason: err.Error(), RetryAfter: comeBack})
	}
	return s.log("Count answered", r, a, started, Response{Outcome: OK, Pending: pending[a.queue.Name]})
}

func (s *Service) counts(ctx context.Context) (map[string]int, error) {
	s.mu.Lock()
	if s.pending != nil && boottime.Now()-s.pendingAt < s.settings.MaxPendingAge {
		defer s.mu.Unlock()
		return s.pending, nil
	}
	s.mu.Unlock()
	for {
		asked := boottime.Now()
		pending, err := s.leader.Pending(ctx)
		if err == nil {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.pending, s.pendingAt = pending, asked
			return pending, nil
		}
		if ctx.Err() != nil {
			return nil, err
		}
		wait.For(ctx, storeRetry)
	}
}

// Cancel ends a job.
func (s *Service) Cancel(ctx context.Context, r Request) Response {
	started := time.Now()
	a, refusal := s.admit(r)
	if refusal != nil {
		return s.log("Cancellation refused", r, a, started, *refusal)
	}
	ctx, cancel := context.WithDeadline(ctx, r.deadline())
	defer cancel()
	return s.log("Cancellation answered", r, a, started, s.cancel(ctx, a))
}

func (s *Service) cancel(ctx context.Context, a *admission) Response {
	for {
		err := s.cancelOnce(ctx, a.rest)
		switch {
		case err == nil:
			return Response{Outcome: OK}
		case errors.Is(err, kvstore.ErrNotFound):
			return Response{Outcome: Gone, Reason: "no such job"}
		case ctx.Err() != nil:
			return Response{Outcome: OutcomeUnknown, Reason: err.Error()}
		}
		wait.For(ctx, storeRetry)
	}
}

// cancelOnce writes the cancellation of a job that exists.
func (s *Service) cancelOnce(ctx context.Context, id string) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if !validID(id) {
		return kvstore.ErrNotFound
	}
	e, err := s.store.Get(ctx, scheduler.JobKey(id))
	if err != nil {
		return err
	}
	value := []byte("{}")
	revision, err := s.store.Txn(ctx, kvstore.Txn{
		Expect: []kvstore.Condition{{Key: e.Key, Revision: e.Revision}, {Key: scheduler.CancelKey(id)}},
		Puts:   []kvstore.Write{{Key: scheduler.CancelKey(id), Value: value}},
	})
	if err == nil {
		s.tell(kvstore.Entry{Key: scheduler.CancelKey(id), Value: value, Revision: revision})
	}
	var conflict *kvstore.ConflictError
	if errors.As(err, &conflict) && conflict.Find(scheduler.CancelKey(id)).Revision != 0 {
		return nil // cancelled before
	}
	return err
}
