package scheduler

import (
	"context"
	"encoding/json"
	"errors"
	"testing"
	"time"

	"masticcart.example/masticcart/internal/batch"
	"masticcart.example/masticcart/internal/boottime"
	"masticcart.example/masticcart/internal/election"
	"masticcart.example/masticcart/internal/kvstore"
	"masticcart.example/masticcart/internal/kvstore/memstore"
)

// Guards against cancellations without a job that stay in the store for ever, and against ones that are deleted while a
// delayed submission may still arrive, also after a change of leader (review/9).
func TestUnusedCancellationsAreDeletedAfterTheRetentionTime(t *testing.T) {
	f := newFixture(t, "a")
	f.c.Cancel(cancelledJob, 0, f.wall)
	deleted := func(at time.Duration) bool {
		t.Helper()
		f.c.Tick(at, f.wall)
		b, err := f.c.NextBatch(maxChangesPerTxn)
		if err != nil {
			t.Fatal(err)
		}
		if b == nil {
			return false
		}
		if len(b.Changes) != 1 || !b.Changes[0].DeleteCancel || b.Changes[0].Job != cancelledJob || b.Changes[0].Delete {
			t.Fatalf("changes %+v", b.Changes)
		}
		f.c.ApplyCommit(b, 1, at)
		return true
	}
	at := simConfig.FinalStateRetention
	if deleted(at) {
		t.Errorf("deleted after %v", at)
	}
	f.takeOver(at, nil)
	f.c.Cancel(cancelledJob, at, f.wall) // the next leader reads it from the store
	if at += simConfig.FinalStateRetention; deleted(at) {
		t.Error("deleted before the next leader has known it for the retention time")
	}
	if at += planInterval; !deleted(at) {
		t.Error("not deleted after the retention time")
	}
	if at += simConfig.FinalStateRetention + planInterval; deleted(at) {
		t.Error("deleted twice")
	}
	at += planInterval
	f.submit(cancelledJob, 1, at, batch.Step{Count: 1, Estimate: time.Second, Need: batch.Resources{Accelerators: 1}})
	f.report("a", at)
	if orders := f.planAndCommit(at); len(orders) != 1 {
		t.Errorf("orders %+v, want the start of the job that was stored after the deletion", orders)
	}
}

// Guards against a job that starts although its cancellation was learned first.
func TestCancellationThatComesBeforeItsJobHolds(t *testing.T) {
	f := newFixture(t, "a")
	f.c.Cancel(cancelledJob, 0, f.wall)
	at := simConfig.FinalStateRetention + planInterval
	f.c.Tick(at, f.wall) // the cancellation is due to be deleted
	f.submit(cancelledJob, 1, at, batch.Step{Count: 1, Need: batch.Resources{Accelerators: 1}})
	f.report("a", at)
	if orders := f.planAndCommit(at); len(orders) != 0 {
		t.Errorf("orders %+v for a cancelled job", orders)
	}
	if state := jobState(f.c, cancelledJob); state != batch.Cancelled {
		t.Errorf("state %q, want %q", state, batch.Cancelled)
	}
}

// Guards against the deletion of a job that was stored since its cancellation was deleted, and against a leader that takes
// itself for deposed when the answer to such a deletion is lost.
func TestDeletionOfACancellationLeavesTheJob(t *testing.T) {
	ctx := context.Background()
	store := memstore.New(time.Now)
	revision, err := store.Put(ctx, LeaderKey, []byte("{}"), 0, 0)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := store.Put(ctx, CancelKey(cancelledJob), []byte("{}"), 0, 0); err != nil {
		t.Fatal(err)
	}
	term := &leaderTerm{service: &Service{store: store, operator: noOperator{}}, core: NewCore(simConfig, boottime.Now()),
		term: election.NewTerm(kvstore.Condition{Key: LeaderKey, Revision: revision}, nil, boottime.Now())}
	b := &WriteBatch{Changes: []RecordChange{{Job: cancelledJob, DeleteCancel: true}}}
	if _, err := term.commit(ctx, b); err != nil {
		t.Fatal(err)
	}
	if _, err := store.Get(ctx, CancelKey(cancelledJob)); !errors.Is(err, kvstore.ErrNotFound) {
		t.Errorf("cancellation: %v, want that it is deleted", err)
	}
	value, err := json.Marshal(batch.Job{ID: cancelledJob})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := store.Put(ctx, JobKey(cancelledJob), value, 0, 0); err != nil {
		t.Fatal(err)
	}
	if _, err := term.commit(ctx, b); err != nil { // the answer to the first attempt was lost
		t.Errorf("second attempt: %v", err)
	}
	if _, err := store.Get(ctx, JobKey(cancelledJob)); err != nil {
		t.Errorf("job: %v", err)
	}
}
