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
	// platformCall is the client's timeout of one call.
	platformCall = 2 * time.Second
	// platformOperation bounds the calls for one job record, as in cell.Service.
	platformOperation = 5 * time.Second
)

// keyValue is the platform's service. Its faults are applied here and not by the memstore, so that the oracle can
// read the durable state at any time.
type keyValue struct {
	*sim
	mem     *memstore.Store
	down    bool
	cut     map[string]bool // processes that do not reach the service
	slow    time.Duration   // additional delay of up to so much, before and after the effect
	lost    float64         // probability that the answer to a write is lost
	written func(key string, value []byte)
}

func newKeyValue(s *sim, written func(key string, value []byte)) *keyValue {
	return &keyValue{sim: s, mem: memstore.New(func() time.Time { return s.now }), cut: make(map[string]bool), written: written}
}

func (k *keyValue) delay() time.Duration {
	return k.between(300*time.Microsecond, 3*time.Millisecond) + k.between(0, k.slow)
}

// kvClient is a kvstore.Store for one operation in a coroutine.
type kvClient struct {
	*keyValue
	from     *proc
	wait     func(time.Duration) bool
	deadline time.Time
}

var _ kvstore.Store = (*kvClient)(nil)

// client returns a store for an operation of at most limit.
func (k *keyValue) client(from *proc, wait func(time.Duration) bool, limit time.Duration) *kvClient {
	return &kvClient{keyValue: k, from: from, wait: wait, deadline: k.now.Add(limit)}
}

// jobStore returns the production store over a client.
func (k *keyValue) jobStore(from *proc, wait func(time.Duration) bool, limit time.Duration) *jobs.Store {
	return jobs.NewStore(k.client(from, wait, limit), func() time.Time { return k.now }).
		WithSleep(func(_ context.Context, d time.Duration) error {
			if !wait(d) {
				return context.Canceled
			}
			return nil
		})
}

// sleep waits for d; false means that the call's timeout or the operation's deadline ended it.
func (c *kvClient) sleep(d time.Duration) bool {
	limit := min(platformCall, c.deadline.Sub(c.now))
	if limit <= 0 {
		return false
	}
	return c.wait(min(d, limit)) && d <= limit
}

func (c *kvClient) read() error {
	if !c.sleep(c.delay()) || c.down || c.cut[c.from.name] {
		return kvstore.ErrUnavailable
	}
	return nil
}

// Get implements kvstore.Store.
func (c *kvClient) Get(ctx context.Context, key string) (kvstore.Entry, error) {
	if err := c.read(); err != nil {
		return kvstore.Entry{}, err
	}
	e, err := c.mem.Get(ctx, key)
	if !c.sleep(c.delay()) {
		return kvstore.Entry{}, kvstore.ErrUnavailable
	}
	return e, err
}

// Range implements kvstore.Store.
func (c *kvClient) Range(ctx context.Context, prefix, after string, limit int) ([]kvstore.Entry, kvstore.Revision, error) {
	if err := c.read(); err != nil {
		return nil, 0, err
	}
	return c.mem.Range(ctx, prefix, after, limit)
}

// Watch implements kvstore.Store without waiting; the callers poll.
func (c *kvClient) Watch(ctx context.Context, prefix string, since kvstore.Revision, _ time.Duration) ([]kvstore.Event, kvstore.Revision, error) {
	if err := c.read(); err != nil {
		return nil, 0, err
	}
	return c.mem.Watch(ctx, prefix, since, 0)
}

// change carries out a write. The effect comes at its own time, even if the client has given up or crashed.
func (c *kvClient) change(effect func() error) error {
	if !c.now.Before(c.deadline) {
		return kvstore.ErrUnavailable
	}
	var err error
	before, back := c.delay(), c.delay()
	c.after(before, func() {
		if c.down || c.cut[c.from.name] {
			err = kvstore.ErrUnavailable
			return
		}
		err = effect()
	})
	if !c.sleep(before + back) {
		return kvstore.ErrUnknownOutcome
	}
	if !errors.Is(err, kvstore.ErrUnavailable) && c.chance(c.lost) {
		return kvstore.ErrUnknownOutcome
	}
	return err
}

// Txn implements kvstore.Store. The code under test here writes single keys only.
func (c *kvClient) Txn(ctx context.Context, t kvstore.Txn) (kvstore.Revision, error) {
	var rev kvstore.Revision
	err := c.change(func() (err error) {
		rev, err = c.mem.Txn(ctx, t)
		return err
	})
	return rev, err
}

// Put implements kvstore.Store.
func (c *kvClient) Put(ctx context.Context, key string, value []byte, expect kvstore.Revision, lease kvstore.LeaseID) (kvstore.Revision, error) {
	var rev kvstore.Revision
	err := c.change(func() (err error) {
		rev, err = c.mem.Put(ctx, key, value, expect, lease)
		if err == nil {
			c.written(key, value)
		}
		return err
	})
	return rev, err
}

// Delete implements kvstore.Store.
func (c *kvClient) Delete(ctx context.Context, key string, expect kvstore.Revision) error {
	return c.change(func() error { return c.mem.Delete(ctx, key, expect) })
}

var errUnused = errors.New("leases are not simulated: membership is fed by gossip")

// Grant implements kvstore.Store.
func (c *kvClient) Grant(context.Context, time.Duration) (kvstore.LeaseID, error) {
	return 0, errUnused
}

// KeepAlive implements kvstore.Store.
func (c *kvClient) KeepAlive(context.Context, kvstore.LeaseID) error { return errUnused }

// Revoke implements kvstore.Store.
func (c *kvClient) Revoke(context.Context, kvstore.LeaseID) error { return errUnused }

// openKeys lists the open index as it is.
func (k *keyValue) openKeys() []string {
	entries, _, err := k.mem.Range(context.Background(), "open/", "", 0)
	if err != nil {
		k.violate("harness: range: %v", err)
	}
	var out []string
	for _, e := range entries {
		out = append(out, strings.TrimPrefix(e.Key, "open/"))
	}
	return out
}
