package jobs

import (
	"errors"
	"testing"
	"time"

	"masticcart.example/masticcart/internal/kvstore/memstore"
	"masticcart.example/masticcart/internal/model"
)

func newSpec(id string) model.JobSpec {
	return model.JobSpec{Key: model.JobKey{Team: "t", ID: id}, Kind: "k", Shape: model.Shape{Slots: 1}, Service: "s"}
}

// TestSubmitIsOneTransaction checks that a job and its entry in the open index are written together in one call. With
// two writes, an entry host that crashed between them left an index entry without a record, and each job took four
// calls.
func TestSubmitIsOneTransaction(t *testing.T) {
	mem := memstore.New(time.Now)
	s := NewStore(mem, time.Now)
	before := mem.Stats()
	r, created, err := s.Submit(t.Context(), newSpec("a"), "c")
	if err != nil || !created || r.Job.State != model.JobAccepted {
		t.Fatalf("%+v, %t, %v", r, created, err)
	}
	after := mem.Stats()
	if calls := after.Reads + after.Writes - before.Reads - before.Writes; calls != 1 {
		t.Errorf("%d calls, want 1", calls)
	}
	open, _, err := s.ListOpen(t.Context(), "c")
	if err != nil || len(open) != 1 || open[0].Revision != r.Revision {
		t.Errorf("open index %+v, %v, want the job at revision %d", open, err, r.Revision)
	}
	again, created, err := s.Submit(t.Context(), newSpec("a"), "c")
	if err != nil || created || again.Revision != r.Revision {
		t.Errorf("the same id again: %+v, %t, %v, want the first record", again, created, err)
	}
	other := newSpec("a")
	other.Kind = "other"
	if _, _, err := s.Submit(t.Context(), other, "c"); !errors.Is(err, ErrDifferentBody) {
		t.Errorf("another body under the id: %v", err)
	}
}

// TestLostAnswerToASubmission checks that a lost answer is resolved by reading the record: the caller learns that the
// job was accepted, and not that it already exists or that the outcome is unknown.
func TestLostAnswerToASubmission(t *testing.T) {
	mem := memstore.New(time.Now)
	s := NewStore(mem, time.Now)
	mem.SetFaults(memstore.Faults{LoseAnswers: 1})
	r, created, err := s.Submit(t.Context(), newSpec("b"), "c")
	if err != nil || !created || r.Job.Spec.Key.ID != "b" {
		t.Errorf("%+v, %t, %v", r, created, err)
	}
	mem.SetFaults(memstore.Faults{Down: true})
	if _, _, err := s.Submit(t.Context(), newSpec("d"), "c"); !errors.Is(err, ErrUnavailable) {
		t.Errorf("the platform is down: %v, want that nothing was accepted", err)
	}
}
