package memstore

import (
	"context"
	"fmt"

	"masticcart.example/masticcart/internal/kvstore"
)

// Txn executes all deletes and writes if every condition holds. All keys that it writes get the same revision.
func (s *Store) Txn(ctx context.Context, t kvstore.Txn) (kvstore.Revision, error) {
	if n := t.Size(); n > kvstore.MaxTxnOps {
		return 0, fmt.Errorf("transaction of %d entries: %w", n, kvstore.ErrTooLarge)
	}
	if err := s.beginCall(ctx, CallTxn); err != nil {
		return 0, err
	}
	defer s.mu.Unlock()
	revision, err := s.txn(t)
	if s.loseResponse() {
		return 0, fmt.Errorf("transaction: %w", kvstore.ErrUnknownOutcome)
	}
	return revision, err
}

func (s *Store) txn(t kvstore.Txn) (kvstore.Revision, error) {
	if err := s.validate(t); err != nil {
		return 0, err
	}
	for _, key := range t.Deletes {
		if it, ok := s.items[key]; ok {
			s.remove(key, it)
		}
	}
	for _, w := range t.Puts {
		if _, err := s.put(w.Key, w.Value, s.revisionOf(w.Key), w.Lease); err != nil {
			return 0, err
		}
	}
	return s.assignRevision(t.Puts), nil
}

// validate returns an error if a condition does not hold or a write cannot be executed.
func (s *Store) validate(t kvstore.Txn) error {
	for _, c := range t.Expect {
		if s.revisionOf(c.Key) != c.Revision {
			conflict := &kvstore.ConflictError{}
			for _, c := range t.Expect {
				if it, ok := s.items[c.Key]; ok {
					conflict.Current = append(conflict.Current, newEntry(c.Key, it))
				}
			}
			return conflict
		}
	}
	for _, w := range t.Puts {
		if w.Lease != 0 && s.leases[w.Lease] == nil {
			return fmt.Errorf("put %q with lease %d: %w", w.Key, w.Lease, kvstore.ErrLeaseNotFound)
		}
		if len(w.Value) > kvstore.MaxValueBytes {
			return fmt.Errorf("put %q of %d bytes: %w", w.Key, len(w.Value), kvstore.ErrTooLarge)
		}
	}
	return nil
}

// assignRevision gives all keys that a transaction wrote the revision of its last write, and returns it.
func (s *Store) assignRevision(puts []kvstore.Write) kvstore.Revision {
	for _, w := range puts {
		s.items[w.Key].revision = s.revision
	}
	return s.revision
}

// revisionOf returns the revision of a key, or zero if it does not exist.
func (s *Store) revisionOf(key string) kvstore.Revision {
	if it, ok := s.items[key]; ok {
		return it.revision
	}
	return 0
}
