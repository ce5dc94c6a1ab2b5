package memstore

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"masticcart.example/masticcart/internal/kvstore"
)

type lease struct {
	ttl      time.Duration
	deadline time.Time
	keys     map[string]struct{}
}

// Grant creates a lease. Its deadline is measured by the store's clock.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (kvstore.LeaseID, error) {
	if err := s.enter(ctx, CallGrant); err != nil {
		return 0, err
	}
	defer s.mu.Unlock()
	s.leaseSeq++
	id := s.leaseSeq
	s.leases[id] = &lease{ttl: ttl, deadline: s.now().Add(ttl), keys: map[string]struct{}{}}
	s.wake() // waiting watches have to take the new deadline into account
	if s.loseAnswer() {
		return 0, fmt.Errorf("grant: %w", kvstore.ErrUnknownOutcome)
	}
	return id, nil
}

// KeepAlive renews a lease for its full duration, or returns kvstore.ErrLeaseNotFound.
func (s *Store) KeepAlive(ctx context.Context, id kvstore.LeaseID) error {
	if err := s.enter(ctx, CallKeepAlive); err != nil {
		return err
	}
	defer s.mu.Unlock()
	l := s.leases[id]
	if l != nil {
		l.deadline = s.now().Add(l.ttl)
	}
	return s.leaseAnswer("keep alive", id, l)
}

// Revoke ends a lease and deletes its keys.
func (s *Store) Revoke(ctx context.Context, id kvstore.LeaseID) error {
	if err := s.enter(ctx, CallRevoke); err != nil {
		return err
	}
	defer s.mu.Unlock()
	l := s.leases[id]
	if l != nil {
		s.endLease(id, l)
	}
	return s.leaseAnswer("revoke", id, l)
}

func (s *Store) leaseAnswer(call string, id kvstore.LeaseID, l *lease) error {
	if s.loseAnswer() {
		return fmt.Errorf("%s lease %d: %w", call, id, kvstore.ErrUnknownOutcome)
	}
	if l == nil {
		return fmt.Errorf("%s lease %d: %w", call, id, kvstore.ErrLeaseNotFound)
	}
	return nil
}

// ExpireLeases ends the leases that have lapsed by the store's clock and makes waiting watches look at the clock. Tests
// call it after they have advanced a virtual clock.
func (s *Store) ExpireLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	s.wake()
}

// expire ends lapsed leases in the order of their deadlines, so that the events are the same in every run.
func (s *Store) expire() {
	now := s.now()
	var lapsed []kvstore.LeaseID
	for id, l := range s.leases {
		if !l.deadline.After(now) {
			lapsed = append(lapsed, id)
		}
	}
	slices.SortFunc(lapsed, func(a, b kvstore.LeaseID) int {
		if c := s.leases[a].deadline.Compare(s.leases[b].deadline); c != 0 {
			return c
		}
		return int(a - b)
	})
	for _, id := range lapsed {
		s.endLease(id, s.leases[id])
	}
}

func (s *Store) endLease(id kvstore.LeaseID, l *lease) {
	for _, key := range slices.Sorted(maps.Keys(l.keys)) {
		s.remove(key, s.items[key])
	}
	delete(s.leases, id)
}

// nextDeadline returns the earliest deadline of a lease that holds keys.
func (s *Store) nextDeadline() (time.Time, bool) {
	var next time.Time
	for _, l := range s.leases {
		if len(l.keys) > 0 && (next.IsZero() || l.deadline.Before(next)) {
			next = l.deadline
		}
	}
	return next, !next.IsZero()
}
