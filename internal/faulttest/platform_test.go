package faulttest_test

import (
	"context"
	"errors"
	"strings"
	"time"

	"masticcart.example/masticcart/internal/jobs"
	"masticcart.example/masticcart/internal/kvstore"
	"masticcart.example/masticcart/internal/kvstore/memstore"
)

const (
	// platformCallTimeout bounds one call of the client.
	platformCallTimeout = 2 * time.Second
	// recordOperationTimeout bounds all calls of one operation on a job record, as in cell.Service.
	recordOperationTimeout = 5 * time.Second
)

// kvService is the platform's key-value service. It injects faults outside memstore, so that the oracle can read the
// durable state at any time.
type kvService struct {
	*sim
	mem                   *memstore.Store
	down                  bool
	partitioned           map[string]bool                // processes that cannot reach the service
	maxExtraDelay         time.Duration                  // bounds the random delay added to each request and answer
	answerLossProbability float64                        // applies to the answer to a write
	onPut                 func(key string, value []byte) // called after each successful Put
}

func newKVService(s *sim, onPut func(key string, value []byte)) *kvService {
	return &kvService{sim: s, mem: memstore.New(func() time.Time { return s.now }),
		partitioned: make(map[string]bool), onPut: onPut}
}

func (k *kvService) delay() time.Duration {
	return k.between(300*time.Microsecond, 3*time.Millisecond) + k.between(0, k.maxExtraDelay)
}

// kvClient is the kvstore.Store of a process for one operation, which runs in a coroutine.
type kvClient struct {
	*kvService
	from     *proc
	wait     func(time.Duration) bool
	deadline time.Time
}

var _ kvstore.Store = (*kvClient)(nil)

// client returns a store for an operation that may take up to limit.
func (k *kvService) client(from *proc, wait func(time.Duration) bool, limit time.Duration) *kvClient {
	return &kvClient{kvService: k, from: from, wait: wait, deadline: k.now.Add(limit)}
}

// jobStore returns the production job store on top of a client.
func (k *kvService) jobStore(from *proc, wait func(time.Duration) bool, limit time.Duration) *jobs.Store {
	return jobs.NewStore(k.client(from, wait, limit), func() time.Time { return k.now }).
		WithSleep(func(_ context.Context, d time.Duration) error {
			if !wait(d) {
				return context.Canceled
			}
			return nil
		})
}

// sleep waits for d. It returns false if the call timed out, the operation's deadline passed or the run has ended.
func (c *kvClient) sleep(d time.Duration) bool {
	limit := min(platformCallTimeout, c.deadline.Sub(c.now))
	if limit <= 0 {
		return false
	}
	return c.wait(min(d, limit)) && d <= limit
}

// sendRead waits until the request of a read arrives at the service.
func (c *kvClient) sendRead() error {
	if !c.sleep(c.delay()) || c.down || c.partitioned[c.from.name] {
		return kvstore.ErrUnavailable
	}
	return nil
}

// Get implements kvstore.Store.
func (c *kvClient) Get(ctx context.Context, key string) (kvstore.Entry, error) {
	if err := c.sendRead(); err != nil {
		return kvstore.Entry{}, err
	}
	e, err := c.mem.Get(ctx, key)
	if !c.sleep(c.delay()) {
		return kvstore.Entry{}, kvstore.ErrUnavailable
	}
	return e, err
}

// Range implements kvstore.Store.
func (c *kvClient) Range(
	ctx context.Context, prefix, after string, limit int,
) ([]kvstore.Entry, kvstore.Revision, error) {
	if err := c.sendRead(); err != nil {
		return nil, 0, err
	}
	return c.mem.Range(ctx, prefix, after, limit)
}

// Watch implements kvstore.Store. It does not wait for events; the callers poll.
func (c *kvClient) Watch(
	ctx context.Context, prefix string, since kvstore.Revision, _ time.Duration,
) ([]kvstore.Event, kvstore.Revision, error) {
	if err := c.sendRead(); err != nil {
		return nil, 0, err
	}
	return c.mem.Watch(ctx, prefix, since, 0)
}

// applyWrite sends a write, whose effect takes place when the request arrives, even if the client has timed out or
// crashed by then.
func (c *kvClient) applyWrite(effect func() error) error {
	if !c.now.Before(c.deadline) {
		return kvstore.ErrUnavailable
	}
	var err error
	requestDelay, answerDelay := c.delay(), c.delay()
	c.after(requestDelay, func() {
		if c.down || c.partitioned[c.from.name] {
			err = kvstore.ErrUnavailable
			return
		}
		err = effect()
	})
	if !c.sleep(requestDelay + answerDelay) {
		return kvstore.ErrUnknownOutcome
	}
	if !errors.Is(err, kvstore.ErrUnavailable) && c.chance(c.answerLossProbability) {
		return kvstore.ErrUnknownOutcome
	}
	return err
}

// Txn implements kvstore.Store. It does not call onPut; the production code under test uses it for submissions only.
func (c *kvClient) Txn(ctx context.Context, t kvstore.Txn) (kvstore.Revision, error) {
	var rev kvstore.Revision
	err := c.applyWrite(func() (err error) {
		rev, err = c.mem.Txn(ctx, t)
		return err
	})
	return rev, err
}

// Put implements kvstore.Store.
func (c *kvClient) Put(
	ctx context.Context, key string, value []byte, expect kvstore.Revision, lease kvstore.LeaseID,
) (kvstore.Revision, error) {
	var rev kvstore.Revision
	err := c.applyWrite(func() (err error) {
		rev, err = c.mem.Put(ctx, key, value, expect, lease)
		if err == nil {
			c.onPut(key, value)
		}
		return err
	})
	return rev, err
}

// Delete implements kvstore.Store.
func (c *kvClient) Delete(ctx context.Context, key string, expect kvstore.Revision) error {
	return c.applyWrite(func() error { return c.mem.Delete(ctx, key, expect) })
}

// errLeasesNotSimulated answers the lease operations, which no test needs: entries learn of each other by gossip.
var errLeasesNotSimulated = errors.New("the simulated key-value service has no leases")

// Grant implements kvstore.Store.
func (c *kvClient) Grant(context.Context, time.Duration) (kvstore.LeaseID, error) {
	return 0, errLeasesNotSimulated
}

// KeepAlive implements kvstore.Store.
func (c *kvClient) KeepAlive(context.Context, kvstore.LeaseID) error { return errLeasesNotSimulated }

// Revoke implements kvstore.Store.
func (c *kvClient) Revoke(context.Context, kvstore.LeaseID) error { return errLeasesNotSimulated }

// openIndexKeys lists the keys of the open index in the durable state, without faults.
func (k *kvService) openIndexKeys() []string {
	entries, _, err := k.mem.Range(context.Background(), "open/", "", 0)
	if err != nil {
		k.violate("harness: cannot read the open index: %v", err)
	}
	var out []string
	for _, e := range entries {
		out = append(out, strings.TrimPrefix(e.Key, "open/"))
	}
	return out
}
