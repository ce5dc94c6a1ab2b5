package memstore

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"time"

	"masticcart.example/masticcart/internal/kvstore"
)

// Faults are the failures that a store simulates. The zero value means none.
type Faults struct {
	// Down makes every call fail with kvstore.ErrUnavailable and without an effect.
	Down bool
	// Slow delays every call before it takes effect.
	Slow time.Duration
	// LoseAnswers is the probability that a write is executed and returns kvstore.ErrUnknownOutcome. It applies to the
	// responses of rejected writes too.
	LoseAnswers float64
}

// SetFaults replaces the simulated failures. Waiting watches fail when the store goes down.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.notifyWatches()
}

// Faults returns the current simulated failures.
func (s *Store) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SeedFaults restarts the random sequence that decides which responses are lost.
func (s *Store) SeedFaults(seed uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.random = newRandom(seed)
}

func newRandom(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, seed)) }

// CallKind is the kind of a call. Stats counts the calls of each kind.
type CallKind string

// The kinds of calls.
const (
	CallGet       CallKind = "get"
	CallRange     CallKind = "range"
	CallPut       CallKind = "put"
	CallTxn       CallKind = "txn"
	CallDelete    CallKind = "delete"
	CallGrant     CallKind = "grant"
	CallKeepAlive CallKind = "keep_alive"
	CallRevoke    CallKind = "revoke"
	CallWatch     CallKind = "watch"
)

// Stats counts calls, including failed ones. Reads are gets and ranges, writes are all calls that change keys or
// leases.
type Stats struct {
	Reads   int64              `json:"reads"`
	Writes  int64              `json:"writes"`
	Watches int64              `json:"watches"`
	Calls   map[CallKind]int64 `json:"calls"`
}

// Stats returns the counts since the store was created.
func (s *Store) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := s.stats
	stats.Calls = maps.Clone(s.stats.Calls)
	return stats
}

func (s *Stats) count(c CallKind) {
	s.Calls[c]++
	switch c {
	case CallGet, CallRange:
		s.Reads++
	case CallWatch:
		s.Watches++
	default:
		s.Writes++
	}
}

// beginCall counts a call, applies the faults that precede its effect and ends expired leases. It returns with the
// mutex locked unless it returns an error.
func (s *Store) beginCall(ctx context.Context, c CallKind) error {
	s.mu.Lock()
	s.stats.count(c)
	delay := s.faults.Slow
	if delay > 0 {
		s.mu.Unlock()
		if err := sleep(ctx, delay); err != nil {
			return fmt.Errorf("%s: %w", c, err)
		}
		s.mu.Lock()
	}
	if err := s.checkAvailable(ctx); err != nil {
		s.mu.Unlock()
		return fmt.Errorf("%s: %w", c, err)
	}
	s.expireLeases()
	return nil
}

// checkAvailable returns an error if the store is down or ctx has ended. The caller holds the mutex.
func (s *Store) checkAvailable(ctx context.Context) error {
	if s.faults.Down {
		return kvstore.ErrUnavailable
	}
	return contextError(ctx)
}

// loseResponse decides whether the response to a write is lost. The caller holds the mutex.
func (s *Store) loseResponse() bool {
	return s.faults.LoseAnswers > 0 && s.random.Float64() < s.faults.LoseAnswers
}

func contextError(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("%w: %w", kvstore.ErrUnavailable, err)
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return contextError(ctx)
	}
}
