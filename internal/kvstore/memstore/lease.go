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

// Grant creates a lease that expires ttl from now by the store's clock.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (kvstore.LeaseID, error) {
	if err := s.beginCall(ctx, CallGrant); err != nil {
		return 0, err
	}
	defer s.mu.Unlock()
	s.lastLeaseID++
	id := s.lastLeaseID
	s.leases[id] = &lease{ttl: ttl, deadline: s.now().Add(ttl), keys: map[string]struct{}{}}
	s.notifyWatches() // waiting watches have to consider the new deadline
	if s.loseResponse() {
		return 0, fmt.Errorf("grant: %w", kvstore.ErrUnknownOutcome)
	}
	return id, nil
}

// KeepAlive renews a lease for its full TTL, or returns kvstore.ErrLeaseNotFound.
func (s *Store) KeepAlive(ctx context.Context, id kvstore.LeaseID) error {
	if err := s.beginCall(ctx, CallKeepAlive); err != nil {
		return err
	}
	defer s.mu.Unlock()
	l := s.leases[id]
	if l != nil {
		l.deadline = s.now().Add(l.ttl)
	}
	return s.leaseResult("keep alive", id, l)
}

// Revoke ends a lease and deletes its keys.
func (s *Store) Revoke(ctx context.Context, id kvstore.LeaseID) error {
	if err := s.beginCall(ctx, CallRevoke); err != nil {
		return err
	}
	defer s.mu.Unlock()
	l := s.leases[id]
	if l != nil {
		s.endLease(id, l)
	}
	return s.leaseResult("revoke", id, l)
}

// leaseResult returns the error of a call on a lease; a nil l means that the lease does not exist.
func (s *Store) leaseResult(call string, id kvstore.LeaseID, l *lease) error {
	if s.loseResponse() {
		return fmt.Errorf("%s lease %d: %w", call, id, kvstore.ErrUnknownOutcome)
	}
	if l == nil {
		return fmt.Errorf("%s lease %d: %w", call, id, kvstore.ErrLeaseNotFound)
	}
	return nil
}

// ExpireLeases ends the leases that have expired by the store's clock and makes waiting watches check their deadlines.
// Tests call it after advancing a virtual clock.
func (s *Store) ExpireLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	s.notifyWatches()
}

// expireLeases ends expired leases in the order of their deadlines, then of their ids, so that runs are reproducible.
// The caller holds the mutex.
func (s *Store) expireLeases() {
	now := s.now()
	var expired []kvstore.LeaseID
	for id, l := range s.leases {
		if !l.deadline.After(now) {
			expired = append(expired, id)
		}
	}
	slices.SortFunc(expired, func(a, b kvstore.LeaseID) int {
		if c := s.leases[a].deadline.Compare(s.leases[b].deadline); c != 0 {
			return c
		}
		return int(a - b)
	})
	for _, id := range expired {
		s.endLease(id, s.leases[id])
	}
}

// endLease removes a lease and the keys attached to it. The caller holds the mutex.
func (s *Store) endLease(id kvstore.LeaseID, l *lease) {
	for _, key := range slices.Sorted(maps.Keys(l.keys)) {
		s.remove(key, s.items[key])
	}
	delete(s.leases, id)
}

// nextDeadline returns the earliest deadline of a lease with attached keys, and whether there is one.
func (s *Store) nextDeadline() (time.Time, bool) {
	var next time.Time
	for _, l := range s.leases {
		if len(l.keys) > 0 && (next.IsZero() || l.deadline.Before(next)) {
			next = l.deadline
		}
	}
	return next, !next.IsZero()
}
