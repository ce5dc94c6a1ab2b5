package intake

import (
	"fmt"
	"testing"
	"time"

	"masticcart.example/masticcart/internal/batch"
	"masticcart.example/masticcart/internal/boottime"
	"masticcart.example/masticcart/internal/clientlimit"
	"masticcart.example/masticcart/internal/kvstore/memstore"
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
		{"stored job", func(s *Service, _ *memstore.Store) { submitTo(t, s, "urgent") }, OutcomeUnknown},
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
