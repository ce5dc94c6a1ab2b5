// Package election chooses one leader among the entries through a key of the store that lives under a lease. The
// revision of the key is the term: it rises with each leader, and a write that is conditional on it fences the
// leaders before.
package election

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"masticcart.example/masticcart/internal/boottime"
	"masticcart.example/masticcart/internal/kvstore"
	"masticcart.example/masticcart/internal/wait"
)

const (
	// leaseTTL bounds how long a dead leader keeps others out. Shorter ones are lost to one slow answer.
	leaseTTL = 1500 * time.Millisecond
	// renewInterval leaves three tries within a TTL.
	renewInterval = 400 * time.Millisecond
	// renewTimeout bounds one renewal, so that a silent connection does not use up the TTL.
	renewTimeout = 700 * time.Millisecond
	// callTimeout bounds the other calls to the store.
	callTimeout = 2 * time.Second
	// watchWait is one long poll on the leader's key; it bounds how long a silent connection hides a change.
	watchWait = 2 * time.Second
	// retryPause follows a call that failed.
	retryPause = 100 * time.Millisecond
	// RenewGrace is how long a leader goes on without a renewal: an outage of the store stops no running work. A new
	// leader waits for it before it gives up on a worker that it cannot reach.
	RenewGrace = 8 * time.Second
)

// Leader is the content of the key.
type Leader struct {
	Node    string `json:"node"`
	Address string `json:"address"` // of its RPC listener
	// Term is the revision of the key.
	Term int64 `json:"-"`
}

// Term is a period of leadership of this process.
type Term struct {
	Number int64
	// Key and Revision are the condition that fences writes of the term.
	Condition kvstore.Condition

	mu      sync.Mutex
	renewed time.Duration // boottime at which the last successful renewal was sent
}

// Valid reports whether the leader may still grant leases to workers.
func (t *Term) Valid() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return boottime.Now()-t.renewed < RenewGrace
}

func (t *Term) renew(sent time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.renewed = max(t.renewed, sent)
}

// Election takes part in the choice of the leader and follows its outcome.
type Election struct {
	store kvstore.Store
	key   string
	self  Leader
	lead  func(ctx context.Context, term *Term) error
	// release asks another process to remove the key of a term, and reports whether one did.
	release func(ctx context.Context, term int64) bool
	// handicap is how long this process leaves a vacant leadership to others.
	handicap time.Duration

	mu      sync.Mutex
	current Leader
	seen    time.Duration // boottime of the last answer of the store about the key
}

// New returns an election under the key. While this process leads, it runs lead; when lead returns, it gives the
// leadership up. A leader that the store turns away calls release, so that a process which reaches the store can take
// over before the lease expires. A process with a handicap leaves a vacant leadership to others for that time, so that
// the machines with the most room lead.
func New(store kvstore.Store, key string, self Leader, lead func(context.Context, *Term) error,
	release func(context.Context, int64) bool, handicap time.Duration) *Election {
	return &Election{store: store, key: key, self: self, lead: lead, release: release, handicap: handicap}
}

// ReleaseTerm removes the key of another process's term, with its consent.
func (e *Election) ReleaseTerm(ctx context.Context, term int64) error {
	_, err := e.store.Txn(ctx, kvstore.Txn{
		Expect:  []kvstore.Condition{{Key: e.key, Revision: kvstore.Revision(term)}},
		Deletes: []string{e.key},
	})
	klog.InfoS("Leader's key removed with its consent", "term", term, "err", err)
	return err
}

// Leader returns the leader that was seen last. The zero value means none.
func (e *Election) Leader() Leader {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.current
}

func (e *Election) see(l Leader) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.seen = boottime.Now()
	if l != e.current {
		klog.InfoS("Leader changed", "leader", l.Node, "term", l.Term, "before", e.current.Node, "termBefore", e.current.Term)
		e.current = l
	}
}

// Run campaigns until ctx ends.
func (e *Election) Run(ctx context.Context) {
	yielded := false
	for ctx.Err() == nil {
		entry, err := e.read(ctx)
		switch {
		case errors.Is(err, kvstore.ErrNotFound):
			e.see(Leader{})
			if !yielded && e.handicap > 0 {
				yielded = true
				wait.For(ctx, e.handicap)
				continue
			}
			yielded = false
			if err := e.campaign(ctx); err != nil && ctx.Err() == nil {
				klog.InfoS("Campaign failed", "err", err)
				wait.For(ctx, retryPause)
			}
		case err != nil:
			klog.V(1).InfoS("Leader not read", "err", err)
			wait.For(ctx, retryPause)
		case decode(entry).Node == e.self.Node:
			// The key of an earlier life of this process, which cannot lead any more.
			if err := e.ReleaseTerm(ctx, int64(entry.Revision)); err != nil {
				wait.For(ctx, retryPause)
			}
		default:
			yielded = false
			e.see(decode(entry))
			e.follow(ctx, entry.Revision)
		}
	}
}

func (e *Election) read(ctx context.Context) (kvstore.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return e.store.Get(ctx, e.key)
}

// follow returns when the leader's key has changed or may have.
func (e *Election) follow(ctx context.Context, since kvstore.Revision) {
	for ctx.Err() == nil {
		events, at, err := e.store.Watch(ctx, e.key, since, watchWait)
		if err != nil || len(events) > 0 {
			if err != nil {
				klog.V(1).InfoS("Leader watch ended", "err", err)
				wait.For(ctx, retryPause)
			}
			return
		}
		since = at
	}
}

func decode(entry kvstore.Entry) Leader {
	var l Leader
	if err := json.Unmarshal(entry.Value, &l); err != nil {
		klog.ErrorS(err, "Leader key not readable", "revision", entry.Revision)
	}
	l.Term = int64(entry.Revision)
	return l
}

// campaign tries to create the key and leads if that succeeds.
func (e *Election) campaign(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	granted := boottime.Now()
	lease, err := e.store.Grant(callCtx, leaseTTL)
	if err != nil {
		return err
	}
	value, err := json.Marshal(e.self)
	if err != nil {
		return err
	}
	revision, err := e.store.Txn(callCtx, kvstore.Txn{
		Expect: []kvstore.Condition{{Key: e.key}},
		Puts:   []kvstore.Write{{Key: e.key, Value: value, Lease: lease}},
	})
	if errors.Is(err, kvstore.ErrUnknownOutcome) {
		// The key lapses with the lease, which nobody renews.
		return err
	}
	if err != nil {
		return err
	}
	term := &Term{Number: int64(revision), Condition: kvstore.Condition{Key: e.key, Revision: revision}, renewed: granted}
	self := e.self
	self.Term = term.Number
	e.see(self)
	e.serve(ctx, term, lease)
	return nil
}

// serve runs the term until it is lost or ctx ends.
func (e *Election) serve(ctx context.Context, term *Term, lease kvstore.LeaseID) {
	klog.InfoS("Leadership won", "term", term.Number)
	termCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		defer cancel()
		if err := e.lead(termCtx, term); err != nil && termCtx.Err() == nil {
			klog.ErrorS(err, "Leadership given up", "term", term.Number)
		}
	}()
	e.keep(termCtx, term, lease)
	cancel()
	<-done
	klog.InfoS("Leadership ended", "term", term.Number, "stopping", ctx.Err() != nil)
	e.resign(lease)
}

// resign ends the lease, so that a successor need not wait for it to lapse.
func (e *Election) resign(lease kvstore.LeaseID) {
	ctx, cancel := context.WithTimeout(context.Background(), renewTimeout)
	defer cancel()
	if err := e.store.Revoke(ctx, lease); err != nil && !errors.Is(err, kvstore.ErrLeaseNotFound) {
		klog.InfoS("Lease not ended", "err", err)
	}
}

// keep renews the lease until the term ends. It ends when the lease has expired, when another process has removed the
// key with this one's consent, or after RenewGrace without an answer.
func (e *Election) keep(ctx context.Context, term *Term, lease kvstore.LeaseID) {
	failures := 0
	for ctx.Err() == nil {
		if failures != 1 { // a single failure may be a lost answer: try again at once
			wait.For(ctx, renewInterval)
		}
		err := e.renew(ctx, term, lease)
		switch {
		case ctx.Err() != nil:
			return
		case err == nil:
			if failures > 0 {
				klog.InfoS("Store reached again", "term", term.Number, "failures", failures)
			}
			failures = 0
			continue
		case errors.Is(err, kvstore.ErrLeaseNotFound):
			klog.InfoS("Leadership lost", "term", term.Number, "reason", "lease expired")
			return
		}
		if failures++; failures == 1 {
			klog.InfoS("Lease not renewed", "term", term.Number, "err", err)
		}
		if failures >= handOverAfter && e.release(ctx, term.Number) {
			klog.InfoS("Leadership handed over", "term", term.Number, "failures", failures)
			return
		}
		if !term.Valid() {
			klog.InfoS("Leadership lost", "term", term.Number, "reason", "no renewal within the grace period")
			return
		}
	}
}

// handOverAfter is the number of failed renewals in a row after which another process is asked to take over. If the
// store is down for all, none can.
const handOverAfter = 2

func (e *Election) renew(ctx context.Context, term *Term, lease kvstore.LeaseID) error {
	sent := boottime.Now()
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	if err := e.store.KeepAlive(ctx, lease); err != nil {
		return err
	}
	term.renew(sent)
	return nil
}
