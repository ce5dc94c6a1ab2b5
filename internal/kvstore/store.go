// Package kvstore defines the narrow interface through which masticcart uses the platform's key-value service, and an
// HTTP client that implements it. No other package depends on this client's wire format, except the stand-in server.
package kvstore

import (
	"context"
	"errors"
	"time"
)

// Errors of every Store implementation. Implementations wrap them; callers test with errors.Is.
var (
	// ErrNotFound means that the key does not exist.
	ErrNotFound = errors.New("kvstore: key not found")
	// ErrConflict means that the key has another revision than expected: the write had no effect.
	ErrConflict = errors.New("kvstore: revision conflict")
	// ErrUnavailable means that the call failed and certainly had no effect, for example without a connection.
	ErrUnavailable = errors.New("kvstore: service unavailable")
	// ErrUnknownOutcome means that a write may or may not have had an effect.
	ErrUnknownOutcome = errors.New("kvstore: outcome of the write is unknown")
	// ErrTooLarge means that a value exceeds MaxValueBytes or a transaction MaxTxnOps.
	ErrTooLarge = errors.New("kvstore: value too large")
	// ErrLeaseNotFound means that the lease has expired or was revoked.
	ErrLeaseNotFound = errors.New("kvstore: lease not found")
	// ErrCompacted means that the events since the given revision are no longer kept: read the range again.
	ErrCompacted = errors.New("kvstore: watch revision compacted")
)

// MaxValueBytes is the size of the largest value that the service stores.
const MaxValueBytes = 1 << 20

// Revision numbers the writes of the whole store in ascending order. A key that does not exist has revision zero.
type Revision int64

// LeaseID identifies a lease. Zero means no lease.
type LeaseID int64

// Entry is one key with its value and the revision of its last write.
type Entry struct {
	Key      string   `json:"key"`
	Value    []byte   `json:"value"`
	Revision Revision `json:"revision"`
}

// Event is one change reported by a watch. The entry of a deletion has no value.
type Event struct {
	Entry
	Deleted bool `json:"deleted,omitempty"`
}

// Store is the part of the service that masticcart uses. Each method makes one call, which the service counts.
type Store interface {
	// Get returns the entry of a key, or ErrNotFound.
	Get(ctx context.Context, key string) (Entry, error)
	// Put writes value if the key's revision equals expect (zero: the key must not exist) and attaches the key to the
	// lease if one is given. It returns ErrConflict, ErrTooLarge, ErrLeaseNotFound, ErrUnavailable or
	// ErrUnknownOutcome on failure.
	Put(ctx context.Context, key string, value []byte, expect Revision, lease LeaseID) (Revision, error)
	// Txn executes several conditional writes and deletes atomically. A condition that does not hold is reported as a
	// *ConflictError, a lease that has ended as ErrLeaseNotFound; in both cases nothing is written.
	Txn(ctx context.Context, t Txn) (Revision, error)
	// Delete removes the key if its revision equals expect.
	Delete(ctx context.Context, key string, expect Revision) error
	// Range returns at most limit entries whose key has the prefix and sorts after the key `after`, in key order, and
	// the revision of the store at that moment.
	Range(ctx context.Context, prefix, after string, limit int) ([]Entry, Revision, error)
	// Watch waits until there are changes under the prefix after revision since, the wait has passed or ctx ends. It
	// returns the events and the revision to continue from, or ErrCompacted.
	Watch(ctx context.Context, prefix string, since Revision, wait time.Duration) ([]Event, Revision, error)
	// Grant creates a lease; keys attached to it are deleted when it expires.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease, or returns ErrLeaseNotFound.
	KeepAlive(ctx context.Context, id LeaseID) error
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, id LeaseID) error
}
