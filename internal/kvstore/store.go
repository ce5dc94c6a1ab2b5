// Package kvstore is the narrow interface to the platform's key-value service and its HTTP adapter.
// No other package knows the service's wire format.
package kvstore

import (
	"context"
	"errors"
	"time"
)

// Errors of every Store implementation. Adapters wrap them; callers test with errors.Is.
var (
	// ErrNotFound means that the key does not exist.
	ErrNotFound = errors.New("kvstore: key not found")
	// ErrConflict means that the compare-and-swap lost: the write took no effect.
	ErrConflict = errors.New("kvstore: revision conflict")
	// ErrUnavailable means that the call certainly took no effect, for example because no connection could be made.
	ErrUnavailable = errors.New("kvstore: service unavailable")
	// ErrUnknownOutcome means that a write may or may not have taken effect.
	ErrUnknownOutcome = errors.New("kvstore: outcome of the write is unknown")
	// ErrTooLarge means that the value exceeds MaxValueBytes.
	ErrTooLarge = errors.New("kvstore: value too large")
	// ErrLeaseNotFound means that the lease has expired or was revoked.
	ErrLeaseNotFound = errors.New("kvstore: lease not found")
	// ErrCompacted means that the events since the given revision are no longer kept; range again.
	ErrCompacted = errors.New("kvstore: watch revision compacted")
)

// MaxValueBytes is the largest value that the service stores.
const MaxValueBytes = 1 << 20

// Revision numbers the writes of the whole store. Zero stands for "the key does not exist".
type Revision int64

// LeaseID identifies a lease. Zero means no lease.
type LeaseID int64

// Entry is one key with its value and the revision of its last write.
type Entry struct {
	Key      string   `json:"key"`
	Value    []byte   `json:"value"`
	Revision Revision `json:"revision"`
}

// Event is one change seen by a watch. Deleted entries have no value.
type Event struct {
	Entry
	Deleted bool `json:"deleted,omitempty"`
}

// Store is the part of the service that masticcart uses. Each method is one counted call.
type Store interface {
	// Get returns the entry of a key, or ErrNotFound.
	Get(ctx context.Context, key string) (Entry, error)
	// Put writes value if the key's revision equals expect (zero: the key must not exist) and attaches it to
	// the lease if one is given. It returns ErrConflict, ErrUnavailable or ErrUnknownOutcome on failure.
	Put(ctx context.Context, key string, value []byte, expect Revision, lease LeaseID) (Revision, error)
	// Txn carries out several writes and deletes together, on conditions. A condition that does not hold is reported
	// as a *ConflictError, a lease that has ended as ErrLeaseNotFound; neither has an effect.
	Txn(ctx context.Context, t Txn) (Revision, error)
	// Delete removes the key if its revision equals expect.
	Delete(ctx context.Context, key string, expect Revision) error
	// Range returns at most limit entries whose key has the prefix and sorts after the key `after`, in key
	// order, and the store's revision at that moment.
	Range(ctx context.Context, prefix, after string, limit int) ([]Entry, Revision, error)
	// Watch waits until there are changes under the prefix after revision since, the wait has passed or ctx
	// ends. It returns the events and the revision to continue from.
	Watch(ctx context.Context, prefix string, since Revision, wait time.Duration) ([]Event, Revision, error)
	// Grant creates a lease; keys attached to it are deleted when it lapses.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease, or returns ErrLeaseNotFound.
	KeepAlive(ctx context.Context, id LeaseID) error
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, id LeaseID) error
}
