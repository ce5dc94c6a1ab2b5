package jobs

import (
	"context"
	"fmt"
	"testing"
	"time"

	"masticcart.example/masticcart/internal/kvstore/memstore"
	"masticcart.example/masticcart/internal/model"
)

// TestSweep guards against removing the records of open jobs or of outcomes that callers can still query, and against
// stopping after the first page.
func TestSweep(t *testing.T) {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	clock := func() time.Time { return now }
	store := NewStore(memstore.New(clock), clock).WithSleep(func(context.Context, time.Duration) error { return nil })
	ctx := context.Background()
	const old = rangePageSize + 7
	submit := func(id string) Record {
		spec := model.JobSpec{Key: model.JobKey{Team: "coating", ID: id}, Kind: "fit", Service: "s", Shape: model.Shape{Slots: 1}}
		r, _, err := store.Submit(ctx, spec, "riga")
		if err != nil {
			t.Fatal(err)
		}
		return r
	}
	finish := func(r Record) {
		if _, err := store.Write(ctx, Finished(r.Job, model.Outcome{Result: model.ResultDone, Ran: true}, now), r.Revision); err != nil {
			t.Fatal(err)
		}
	}
	for i := range old {
		finish(submit(fmt.Sprintf("old-%d", i)))
	}
	open := submit("open")
	now = now.Add(Retention)
	recent := submit("recent")
	finish(recent)
	removed, err := store.Sweep(ctx)
	if err != nil || removed != old {
		t.Fatalf("removed %d records, %v; want %d", removed, err, old)
	}
	for _, r := range []Record{open, recent} {
		if _, err := store.Get(ctx, r.Job.Spec.Key); err != nil {
			t.Errorf("%s: %v", r.Job.Spec.Key, err)
		}
	}
}
