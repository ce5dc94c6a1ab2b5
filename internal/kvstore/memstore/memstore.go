// Package memstore is an in-memory kvstore.Store with fault injection. The stand-in servers and tests with a virtual
// clock use it.
package memstore

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"masticcart.example/masticcart/internal/kvstore"
)

// Store is an in-memory kvstore.Store. It runs no goroutine: expired leases end during the next call, or in
// ExpireLeases.
type Store struct {
	now func() time.Time

	mu          sync.Mutex
	revision    kvstore.Revision
	items       map[string]*item
	keys        []string // sorted keys of items
	leases      map[kvstore.LeaseID]*lease
	lastLeaseID kvstore.LeaseID
	history     history
	changed     chan struct{} // closed and replaced whenever waiting watches have to check for events
	faults      Faults
	random      *rand.Rand
	stats       Stats
}

var _ kvstore.Store = (*Store)(nil)

type item struct {
	value    []byte
	revision kvstore.Revision
	lease    kvstore.LeaseID
}

// New returns an empty store that reads the time from now.
func New(now func() time.Time) *Store {
	return &Store{
		now:     now,
		items:   map[string]*item{},
		leases:  map[kvstore.LeaseID]*lease{},
		changed: make(chan struct{}),
		random:  newRandom(1),
		stats:   Stats{Calls: map[CallKind]int64{}},
	}
}

// Get returns the entry of a key, or kvstore.ErrNotFound.
func (s *Store) Get(ctx context.Context, key string) (kvstore.Entry, error) {
	if err := s.beginCall(ctx, CallGet); err != nil {
		return kvstore.Entry{}, err
	}
	defer s.mu.Unlock()
	it, ok := s.items[key]
	if !ok {
		return kvstore.Entry{}, fmt.Errorf("get %q: %w", key, kvstore.ErrNotFound)
	}
	return newEntry(key, it), nil
}

// Range returns at most limit entries under the prefix that sort after the given key, and the store's revision. A limit
// below 1 means no limit.
func (s *Store) Range(ctx context.Context, prefix, after string, limit int) ([]kvstore.Entry, kvstore.Revision, error) {
	if err := s.beginCall(ctx, CallRange); err != nil {
		return nil, 0, err
	}
	defer s.mu.Unlock()
	var entries []kvstore.Entry
	first, found := slices.BinarySearch(s.keys, max(prefix, after))
	if found && s.keys[first] == after {
		first++
	}
	for _, key := range s.keys[first:] {
		if !strings.HasPrefix(key, prefix) || (limit > 0 && len(entries) == limit) {
			break
		}
		entries = append(entries, newEntry(key, s.items[key]))
	}
	return entries, s.revision, nil
}

// Put writes a value if the key has the expected revision, and attaches the key to the lease unless id is zero.
func (s *Store) Put(ctx context.Context, key string, value []byte, expect kvstore.Revision, id kvstore.LeaseID) (
	kvstore.Revision, error) {
	if len(value) > kvstore.MaxValueBytes {
		return 0, fmt.Errorf("put %q of %d bytes: %w", key, len(value), kvstore.ErrTooLarge)
	}
	if err := s.beginCall(ctx, CallPut); err != nil {
		return 0, err
	}
	defer s.mu.Unlock()
	revision, err := s.put(key, value, expect, id)
	if s.loseResponse() {
		return 0, fmt.Errorf("put %q: %w", key, kvstore.ErrUnknownOutcome)
	}
	return revision, err
}

// Delete deletes the key if it has the expected revision.
func (s *Store) Delete(ctx context.Context, key string, expect kvstore.Revision) error {
	if err := s.beginCall(ctx, CallDelete); err != nil {
		return err
	}
	defer s.mu.Unlock()
	err := s.delete(key, expect)
	if s.loseResponse() {
		return fmt.Errorf("delete %q: %w", key, kvstore.ErrUnknownOutcome)
	}
	return err
}

func (s *Store) put(key string, value []byte, expect kvstore.Revision, id kvstore.LeaseID) (kvstore.Revision, error) {
	it, exists := s.items[key]
	if exists && it.revision != expect || !exists && expect != 0 {
		return 0, fmt.Errorf("put %q at revision %d: %w", key, expect, kvstore.ErrConflict)
	}
	var l *lease
	if id != 0 {
		if l = s.leases[id]; l == nil {
			return 0, fmt.Errorf("put %q with lease %d: %w", key, id, kvstore.ErrLeaseNotFound)
		}
	}
	if exists {
		s.detachLease(key, it)
	} else {
		it = &item{}
		s.items[key] = it
		index, _ := slices.BinarySearch(s.keys, key)
		s.keys = slices.Insert(s.keys, index, key)
	}
	if l != nil {
		l.keys[key] = struct{}{}
	}
	s.revision++
	it.value, it.revision, it.lease = bytes.Clone(value), s.revision, id
	s.history.add(kvstore.Event{Entry: kvstore.Entry{Key: key, Value: it.value, Revision: it.revision}})
	s.notifyWatches()
	return it.revision, nil
}

func (s *Store) delete(key string, expect kvstore.Revision) error {
	it, ok := s.items[key]
	if !ok {
		return fmt.Errorf("delete %q: %w", key, kvstore.ErrNotFound)
	}
	if it.revision != expect {
		return fmt.Errorf("delete %q at revision %d: %w", key, expect, kvstore.ErrConflict)
	}
	s.remove(key, it)
	return nil
}

// remove deletes an existing key. The deletion has a revision of its own.
func (s *Store) remove(key string, it *item) {
	s.detachLease(key, it)
	delete(s.items, key)
	if index, found := slices.BinarySearch(s.keys, key); found {
		s.keys = slices.Delete(s.keys, index, index+1)
	}
	s.revision++
	s.history.add(kvstore.Event{Entry: kvstore.Entry{Key: key, Revision: s.revision}, Deleted: true})
	s.notifyWatches()
}

func (s *Store) detachLease(key string, it *item) {
	if l := s.leases[it.lease]; l != nil {
		delete(l.keys, key)
	}
}

// notifyWatches makes waiting watches check for events and deadlines. The caller holds the mutex.
func (s *Store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func newEntry(key string, it *item) kvstore.Entry {
	return kvstore.Entry{Key: key, Value: bytes.Clone(it.value), Revision: it.revision}
}
