package intake

import (
	"context"
	"errors"
	"slices"
	"testing"
	"time"

	"masticcart.example/masticcart/internal/batch"
	"masticcart.example/masticcart/internal/kvstore"
	"masticcart.example/masticcart/internal/kvstore/memstore"
	"masticcart.example/masticcart/internal/scheduler"
)

const cancelledJobID = "0123456789abcdef" // of testJobPath

// heldStore is a store to which submissions get through only when release is called. Their callers get no answer.
type heldStore struct {
	kvstore.Store
	held chan kvstore.Txn
}

func (s heldStore) Txn(ctx context.Context, t kvstore.Txn) (kvstore.Revision, error) {
	if !slices.ContainsFunc(t.Puts, func(w kvstore.Write) bool { return w.Key == scheduler.JobKey(cancelledJobID) }) {
		return s.Store.Txn(ctx, t)
	}
	select {
	case s.held <- t:
	default:
	}
	<-ctx.Done()
	return 0, kvstore.ErrUnknownOutcome
}

func (s heldStore) release(t *testing.T, txn kvstore.Txn) {
	t.Helper()
	var conflict *kvstore.ConflictError
	if _, err := s.Store.Txn(t.Context(), txn); err != nil && !errors.As(err, &conflict) {
		t.Fatal(err)
	}
}

// hookedStore is a store that calls beforeTxn before, and loses the answers to, the first lost transactions.
type hookedStore struct {
	kvstore.Store
	beforeTxn func()
	lost      *int
}

func (s hookedStore) Txn(ctx context.Context, t kvstore.Txn) (kvstore.Revision, error) {
	s.beforeTxn()
	revision, err := s.Store.Txn(ctx, t)
	if *s.lost > 0 {
		*s.lost--
		return 0, kvstore.ErrUnknownOutcome
	}
	return revision, err
}

// Guards against a job that runs after its cancelling was acknowledged (review/9): DELETE answered that there is no such job,
// left nothing behind, and a submission that was under way stored the job seconds later. The submission takes effect at
// each step of the cancelling.
func TestCancelledJobIsNotStoredLater(t *testing.T) {
	const beforeCancel, duringCancel, afterCancel = 0, 1, 2
	for name, c := range map[string]struct {
		released, lost int
		want           Outcome
	}{
		"stored before the cancelling":           {beforeCancel, 0, OK},
		"stored during the cancelling":           {duringCancel, 0, OK},
		"arrives after the cancelling":           {afterCancel, 0, Gone},
		"before, an answer to the cancel lost":   {beforeCancel, 1, OK},
		"during, an answer to the cancel lost":   {duringCancel, 1, OK},
		"after, answers to the cancel are lost":  {afterCancel, 2, Gone},
		"during, answers to the cancel are lost": {duringCancel, 2, OK},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			store := memstore.New(time.Now)
			held := heldStore{store, make(chan kvstore.Txn, 1)}
			cutOff := startIntake(t, held, store)
			submitted := make(chan Response, 1)
			go func() {
				r, _ := submit(t, cutOff)
				submitted <- r
			}()
			submission := <-held.held
			released := false
			release := func(at int) {
				if at == c.released && !released {
					released = true
					held.release(t, submission)
				}
			}
			other := startIntake(t, hookedStore{store, func() { release(duringCancel) }, &c.lost}, memstore.New(time.Now))
			request := Request{Host: "host", Path: testJobPath, Deadline: time.Now().Add(callerTime)}
			release(beforeCancel)
			if r := other.Cancel(t.Context(), request); r.Outcome != c.want {
				t.Errorf("cancelling: %q (%s), want %q", r.Outcome, r.Reason, c.want)
			}
			release(afterCancel)
			job, err := store.Get(t.Context(), scheduler.JobKey(cancelledJobID))
			if stored := err == nil; stored != (c.want == OK) {
				t.Errorf("the job is stored: %v, after the cancelling was answered with %q", stored, c.want)
			}
			if cancel, err := store.Get(t.Context(), scheduler.CancelKey(cancelledJobID)); err != nil || cancel.Revision < job.Revision {
				t.Errorf("cancellation of revision %d (%v), job of revision %d", cancel.Revision, err, job.Revision)
			}
			if r := other.Cancel(t.Context(), request); r.Outcome != c.want {
				t.Errorf("second cancelling: %q (%s), want %q", r.Outcome, r.Reason, c.want)
			}
			if r, _ := submit(t, other); r.Outcome != c.want { // as it was answered, or not stored
				t.Errorf("submission through another entry: %q (%s), want %q", r.Outcome, r.Reason, c.want)
			}
			if r := <-submitted; r.Outcome != OutcomeUnknown {
				t.Errorf("submission without an answer: %q (%s)", r.Outcome, r.Reason)
			}
		})
	}
}

// Guards against a submission whose caller is told that its outcome is unknown although the cancellation decides it.
func TestSubmissionOfACancelledJobIsAnswered(t *testing.T) {
	t.Parallel()
	store := memstore.New(time.Now)
	s := startIntake(t, store, store)
	r := s.Cancel(t.Context(), Request{Host: "host", Path: testJobPath, Deadline: time.Now().Add(callerTime)})
	if r.Outcome != Gone {
		t.Fatalf("cancelling: %q (%s)", r.Outcome, r.Reason)
	}
	if r, took := submit(t, s); r.Outcome != Gone || took > maxRetryTime {
		t.Errorf("submission: %q (%s) after %v, want %q at once", r.Outcome, r.Reason, took, Gone)
	}
	if state := s.State(t.Context(), Request{Host: "host", Path: testJobPath, Deadline: time.Now().Add(callerTime)}); state.Outcome != Gone ||
		state.State != batch.State("") {
		t.Errorf("state: %+v, want %q", state, Gone)
	}
}
