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
	// Down fails every call with kvstore.ErrUnavailable and without an effect.
	Down bool
	// Slow delays every call before it takes effect.
	Slow time.Duration
	// LoseAnswers is the probability that a write is carried out and answered with kvstore.ErrUnknownOutcome.
	// The answer to a write that was rejected is lost as well.
	LoseAnswers float64
}

// SetFaults replaces the simulated failures. Watches that wait fail when the store goes down.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.wake()
}

// Faults returns the failures that are simulated at the moment.
func (s *Store) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SeedFaults restarts the random sequence that decides which answers are lost.
func (s *Store) SeedFaults(seed uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.random = newRandom(seed)
}

func newRandom(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, seed)) }

// CallKind is the kind of a call.
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

// Stats counts calls, including those that failed. Reads are gets and ranges, writes are all calls that change
// keys or leases.
type Stats struct {
	Reads   int64              `json:"reads"`
	Writes  int64              `json:"writes"`
	Watches int64              `json:"watches"`
	Calls   map[CallKind]int64 `json:"calls"`
}

// Stats returns the counts since the store was made.
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

// enter counts a call, applies the faults that come before its effect and ends lapsed leases. Without an error it
// returns with the mutex locked.
func (s *Store) enter(ctx context.Context, c CallKind) error {
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
	if err := s.usable(ctx); err != nil {
		s.mu.Unlock()
		return fmt.Errorf("%s: %w", c, err)
	}
	s.expire()
	return nil
}

func (s *Store) usable(ctx context.Context) error {
	if s.faults.Down {
		return kvstore.ErrUnavailable
	}
	return contextError(ctx)
}

func (s *Store) loseAnswer() bool {
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
