package scheduler

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"masticcart.example/masticcart/internal/batch"
	"masticcart.example/masticcart/internal/boottime"
	"masticcart.example/masticcart/internal/election"
	"masticcart.example/masticcart/internal/evacuation"
	"masticcart.example/masticcart/internal/kvstore"
	"masticcart.example/masticcart/internal/kvstore/memstore"
)

// Guards against a finished job that runs a second time: a notification of its acceptance, or a page of a listing, arrives
// after the job was deleted, and the leader takes it for a new job.
func TestLateEntryOfADeletedJobIsIgnored(t *testing.T) {
	ctx := context.Background()
	store := memstore.New(time.Now)
	put := func(id string) kvstore.Entry {
		t.Helper()
		value, err := json.Marshal(batch.Job{ID: id, Queue: simQueue(1), AcceptedAt: time.Now(), Steps: []batch.Step{{Count: 1}}})
		if err != nil {
			t.Fatal(err)
		}
		revision, err := store.Put(ctx, JobKey(id), value, 0, 0)
		if err != nil {
			t.Fatal(err)
		}
		return kvstore.Entry{Key: JobKey(id), Value: value, Revision: revision}
	}
	const before, deleted, next = "00000000000000a1", "00000000000000a2", "00000000000000a3"
	put(before)
	late := put(deleted)
	if err := store.Delete(ctx, JobKey(deleted), late.Revision); err != nil {
		t.Fatal(err)
	}
	term := &leaderTerm{service: &Service{store: store, operator: noOperator{}},
		term: election.NewTerm(kvstore.Condition{Revision: 1}, nil, boottime.Now()), core: NewCore(simConfig, boottime.Now()),
		wake: make(chan struct{}, 1), sessions: map[string]*session{}}
	if _, err := term.load(ctx); err != nil {
		t.Fatal(err)
	}
	term.applyEvents([]kvstore.Event{{Entry: late}, {Entry: put(next)}})
	for id, want := range map[string]bool{before: true, deleted: false, next: true} {
		if got := term.core.HasJob(id); got != want {
			t.Errorf("job %s is known: %v, want %v", id, got, want)
		}
	}
}

// noOperator is the state of operators who have written nothing.
type noOperator struct{}

func (noOperator) Catalog() *batch.Catalog { return &batch.Catalog{} }

func (noOperator) Evacuations() evacuation.View { return evacuation.View{} }
