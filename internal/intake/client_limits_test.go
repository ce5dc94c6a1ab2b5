package intake

import (
	"fmt"
	"testing"
	"time"

	"masticcart.example/masticcart/internal/batch"
	"masticcart.example/masticcart/internal/boottime"
	"masticcart.example/masticcart/internal/clientlimit"
	"masticcart.example/masticcart/internal/kvstore/memstore"
	"masticcart.example/masticcart/internal/scheduler"
)

// Guards against a submission that is refused as "will not run" because clients are at their limits, although an earlier
// attempt has stored the job or may still do so.
func TestRefusalAtTheLimitsOfClientsIsTrue(t *testing.T) {
	for _, c := range []struct {
		name    string
		prepare func(*Service, *memstore.Store)
		want    Outcome
	}{
		{"new job", func(*Service, *memstore.Store) {}, Unavailable},
		{"stored job", func(s *Service, _ *memstore.Store) { submitTo(t, s, "urgent") }, OK},
		{"unresolved job", func(s *Service, _ *memstore.Store) { s.unresolved.add(loadJobID, boottime.Now()) }, OutcomeUnknown},
		{"store down", func(_ *Service, store *memstore.Store) { store.SetFaults(memstore.Faults{Down: true}) }, OutcomeUnknown},
		{"other checks in progress", func(s *Service, _ *memstore.Store) {
			for range maxRefusalChecks {
				s.refusalChecks <- struct{}{}
			}
		}, OutcomeUnknown},
	} {
		t.Run(c.name, func(t *testing.T) {
			store := memstore.New(time.Now)
			s := loadedIntake(t, store)
			c.prepare(s, store)
			response := s.Submit(t.Context(), Request{Host: "host", Path: "/urgent/" + loadJobID,
				Deadline: time.Now().Add(600 * time.Millisecond)}, func() (*batch.Job, error) {
				return nil, fmt.Errorf("read body: %w", clientlimit.ErrOverloaded)
			})
			if response.Outcome != c.want || (response.RetryAfter > 0) != (c.want == Unavailable) {
				t.Errorf("outcome %+v, want %s", response, c.want)
			}
		})
	}
}

// Load: more jobs than the leader has memory for. Guards against an entry that accepts more, that refuses a job which is stored,
// or that refuses for ever by old figures.
func TestJobsAreRefusedWhileTheLeaderIsFull(t *testing.T) {
	full := scheduler.Load{Pending: map[string]int{}, Full: true}
	fullTeam := scheduler.Load{Pending: map[string]int{}, FullTeams: []string{""}} // public queues have no team
	otherTeam := scheduler.Load{Pending: map[string]int{}, FullTeams: []string{"other"}}
	for _, c := range []struct {
		name   string
		load   scheduler.Load
		age    time.Duration
		stored bool
		want   Outcome
	}{
		{"full", full, 0, false, Unavailable},
		{"team is full", fullTeam, 0, false, Unavailable},
		{"another team is full", otherTeam, 0, false, OK},
		{"full, job is stored", full, 0, true, OK},
		{"full, store down", full, 0, false, OutcomeUnknown},
		{"old figures", full, maxFullAge + time.Second, false, OK},
	} {
		t.Run(c.name, func(t *testing.T) {
			store := memstore.New(time.Now)
			s := loadedIntake(t, store)
			if c.stored {
				submitTo(t, s, "urgent")
			}
			s.load, s.loadAt = c.load, boottime.Now()-c.age
			store.SetFaults(memstore.Faults{Down: c.want == OutcomeUnknown})
			response := submitTo(t, s, "urgent")
			if response.Outcome != c.want || c.want == Unavailable && response.RetryAfter != fullRetryAfter {
				t.Errorf("outcome %+v, want %s", response, c.want)
			}
			store.SetFaults(memstore.Faults{})
			if stored := isStored(t, store); stored != (c.stored || c.want == OK) {
				t.Errorf("stored %v after %s", stored, response.Outcome)
			}
		})
	}
}

// Guards against a caller that has its request held for days.
func TestDeadlineIsBounded(t *testing.T) {
	r := Request{Deadline: time.Now().Add(240 * time.Hour)}
	if wait := time.Until(r.deadline()); wait > maxDeadline {
		t.Errorf("the request is held for %v", wait)
	}
}
