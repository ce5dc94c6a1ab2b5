package intake

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"k8s.io/klog/v2"

	"masticcart.example/masticcart/internal/batch"
	"masticcart.example/masticcart/internal/kvstore"
	"masticcart.example/masticcart/internal/scheduler"
	"masticcart.example/masticcart/internal/wait"
)

// State returns the state of a job, or the number of pending jobs of a queue if the path has no job id.
func (s *Service) State(ctx context.Context, r Request) Response {
	started := time.Now()
	a, refusal := s.admit(r)
	if refusal != nil {
		return s.logResponse("State refused", r, a, started, *refusal)
	}
	if a.jobID == "" {
		return s.countPending(ctx, r, a, started)
	}
	ctx, cancel := context.WithDeadline(ctx, r.deadline())
	defer cancel()
	state, err := s.readState(ctx, a.jobID)
	switch {
	case errors.Is(err, kvstore.ErrNotFound):
		return s.logResponse("State answered", r, a, started, Response{Outcome: Gone, Reason: "no such job"})
	case err != nil:
		return s.logResponse("State answered", r, a, started,
			Response{Outcome: Unavailable, Reason: err.Error(), RetryAfter: retryAfter})
	}
	return s.logResponse("State answered", r, a, started, Response{Outcome: OK, State: state})
}

// stateWait is how long a response about an unfinished job waits for a change. Callers often ask when the last task has
// just ended, before its end is recorded.
const stateWait = 250 * time.Millisecond

// readState returns the recorded state of a job from the leader if it knows the job, and from the store otherwise. Both
// are asked in turn until one answers or ctx ends: in an outage of the store, the leader may be reachable a moment later.
func (s *Service) readState(ctx context.Context, id string) (batch.State, error) {
	for {
		state, known, err := s.leader.State(ctx, id, stateWait)
		if err == nil && known {
			return state, nil
		}
		if err != nil {
			klog.V(1).InfoS("Failed to ask the leader for the state of a job", "job", id, "err", err)
		}
		state, err = s.tryReadState(ctx, id)
		if err == nil || errors.Is(err, kvstore.ErrNotFound) || ctx.Err() != nil {
			return state, err
		}
		wait.For(ctx, retryDelay)
	}
}

// tryReadState reads the state of a job from the store once. A job without a record is queued.
func (s *Service) tryReadState(ctx context.Context, id string) (batch.State, error) {
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

// countPending returns the number of pending jobs of a queue.
func (s *Service) countPending(ctx context.Context, r Request, a *admitted, started time.Time) Response {
	ctx, cancel := context.WithDeadline(ctx, r.deadline())
	defer cancel()
	pending, err := s.pendingByQueue(ctx)
	if err != nil {
		return s.logResponse("Count answered", r, a, started,
			Response{Outcome: Unavailable, Reason: err.Error(), RetryAfter: retryAfter})
	}
	return s.logResponse("Count answered", r, a, started, Response{Outcome: OK, Pending: pending[a.queue.Name]})
}

// pendingByQueue returns the number of pending jobs by queue, at most MaxPendingAge old. Failed calls to the leader are
// retried until ctx ends.
func (s *Service) pendingByQueue(ctx context.Context) (map[string]int, error) {
	if load, age := s.knownLoad(); load.Pending != nil && age < s.settings.MaxPendingAge {
		return load.Pending, nil
	}
	for {
		load, err := s.refreshLoad(ctx)
		if err == nil {
			return load.Pending, nil
		}
		if ctx.Err() != nil {
			return nil, err
		}
		wait.For(ctx, retryDelay)
	}
}

// Cancel stores the cancellation of a job and acknowledges it.
func (s *Service) Cancel(ctx context.Context, r Request) Response {
	started := time.Now()
	a, refusal := s.admit(r)
	if refusal != nil {
		return s.logResponse("Cancellation refused", r, a, started, *refusal)
	}
	ctx, cancel := context.WithDeadline(ctx, r.deadline())
	defer cancel()
	return s.logResponse("Cancellation answered", r, a, started, s.storeCancellation(ctx, a))
}

// storeCancellation writes the cancellation of a job, and retries until ctx ends.
func (s *Service) storeCancellation(ctx context.Context, a *admitted) Response {
	if !isJobID(a.jobID) {
		return Response{Outcome: Gone, Reason: "no such job"}
	}
	for {
		stored, err := s.tryStoreCancellation(ctx, a.jobID)
		switch {
		case err == nil && stored:
			return Response{Outcome: OK}
		case err == nil:
			return Response{Outcome: Gone, Reason: "no such job"}
		case ctx.Err() != nil:
			return Response{Outcome: OutcomeUnknown, Reason: err.Error()}
		}
		wait.For(ctx, retryDelay)
	}
}

// tryStoreCancellation makes one attempt to write the cancellation of a job, and returns whether the job is stored. The
// cancellation of a job that is not stored keeps a submission that is under way from storing it later.
func (s *Service) tryStoreCancellation(ctx context.Context, id string) (stored bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	job, err := s.store.Get(ctx, scheduler.JobKey(id))
	if err != nil && !errors.Is(err, kvstore.ErrNotFound) {
		return false, err
	}
	value := []byte("{}")
	revision, err := s.store.Txn(ctx, kvstore.Txn{
		Expect: []kvstore.Condition{{Key: scheduler.JobKey(id), Revision: job.Revision}, {Key: scheduler.CancelKey(id)}},
		Puts:   []kvstore.Write{{Key: scheduler.CancelKey(id), Value: value}},
	})
	if err == nil {
		s.notifyLeader(kvstore.Entry{Key: scheduler.CancelKey(id), Value: value, Revision: revision})
	}
	var conflict *kvstore.ConflictError
	if errors.As(err, &conflict) && conflict.Find(scheduler.CancelKey(id)).Revision != 0 { // already cancelled
		return conflict.Find(scheduler.JobKey(id)).Revision != 0, nil
	}
	return job.Revision != 0, err
}
