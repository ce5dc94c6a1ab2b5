// Package election elects one leader among the entries through a key of the store that is attached to a lease. The
// revision of the key is the number of the term: it rises with each leader, and writes that are conditional on it fence
// off earlier leaders.
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
	// leaseTTL bounds how long a crashed leader delays its successor. A shorter lease expires during one slow renewal.
	leaseTTL = 1500 * time.Millisecond
	// renewInterval leaves time for three renewals within leaseTTL.
	renewInterval = 400 * time.Millisecond
	// renewTimeout bounds one renewal, so that an unresponsive connection does not use up leaseTTL.
	renewTimeout = 700 * time.Millisecond
	// callTimeout bounds the other calls to the store.
	callTimeout = 2 * time.Second
	// watchWait is the wait of one long poll on the leader key. It bounds how long an unresponsive connection hides a
	// change.
	watchWait = 2 * time.Second
	// retryDelay is the pause after a failed call.
	retryDelay = 100 * time.Millisecond
	// RenewGrace is how long a leader continues after its last successful renewal, so that an outage of the store does
	// not stop running work. A new leader waits at least this long before it declares an unreachable worker lost.
	RenewGrace = 8 * time.Second
)

// Leader identifies the process that leads. It is the value of the leader key.
type Leader struct {
	Node    string `json:"node"`
	Address string `json:"address"` // host:port of its RPC listener
	// Term is the revision of the leader key.
	Term int64 `json:"-"`
}

// Term is a period of leadership of this process.
type Term struct {
	Number int64
	// Condition fences the writes of the term: it holds as long as the leader key has the revision of this term.
	Condition kvstore.Condition
	// Handover is what the leader of the previous term has handed over. It is nil if that leader did not resign.
	Handover []byte

	mu        sync.Mutex
	renewedAt time.Duration // boottime when the last successful renewal was sent
}

// NewTerm returns the term whose writes are fenced by a condition. renewedAt is the boottime when the lease was requested.
func NewTerm(condition kvstore.Condition, handover []byte, renewedAt time.Duration) *Term {
	return &Term{Number: int64(condition.Revision), Condition: condition, Handover: handover, renewedAt: renewedAt}
}

// Valid reports whether the leader may still grant leases to workers. It may until RenewGrace after its last successful
// renewal.
func (t *Term) Valid() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return boottime.Now()-t.renewedAt < RenewGrace
}

// setRenewed records that a renewal sent at the given boottime succeeded.
func (t *Term) setRenewed(sent time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.renewedAt = max(t.renewedAt, sent)
}

// Election is one process's participation in the election: it campaigns for the leadership and tracks the leader.
type Election struct {
	store    kvstore.Store
	key      string
	identity Leader
	lead     func(ctx context.Context, term *Term) error
	// release asks other processes to remove the leader key of a term, and reports whether one did.
	release func(ctx context.Context, term int64) bool
	// handover returns what the next leader has to know, see SetHandover.
	handover func(*Term) []byte
	// candidacyDelay is how long this process waits before it campaigns for a vacant leadership.
	candidacyDelay time.Duration

	mu         sync.Mutex
	leader     Leader
	lastReadAt time.Duration // boottime when the leader was last read from the store
}

// New returns an election on the given key. While this process leads, it runs lead; when lead returns, it resigns. A
// leader that cannot reach the store calls release, so that a process that can reach it takes over before the lease
// expires. A process with a candidacyDelay waits that long before it campaigns for a vacant leadership, so that the
// machines with the most capacity lead.
func New(store kvstore.Store, key string, self Leader, lead func(context.Context, *Term) error,
	release func(context.Context, int64) bool, candidacyDelay time.Duration) *Election {
	return &Election{store: store, key: key, identity: self, lead: lead, release: release, candidacyDelay: candidacyDelay,
		handover: func(*Term) []byte { return nil }}
}

// SetHandover sets the function that returns what a resigning leader hands over to the next one, nil for nothing. It is
// called after lead has returned. SetHandover must be called before Run.
func (e *Election) SetHandover(f func(*Term) []byte) { e.handover = f }

// handoverKey returns the key that holds what the last leader has handed over. It is written in the transaction that removes
// the leader key, and removed in the one that creates it, so it is always from the leader of the previous term.
func (e *Election) handoverKey() string { return e.key + "-handover" }

// ReleaseTerm removes the leader key if it still has the given term. The leader of that term has asked for it, or is an
// earlier incarnation of this process.
func (e *Election) ReleaseTerm(ctx context.Context, term int64) error {
	_, err := e.store.Txn(ctx, kvstore.Txn{
		Expect:  []kvstore.Condition{{Key: e.key, Revision: kvstore.Revision(term)}},
		Deletes: []string{e.key},
	})
	klog.InfoS("Tried to remove the leader key", "term", term, "err", err)
	return err
}

// Leader returns the last known leader. The zero value means none.
func (e *Election) Leader() Leader {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leader
}

// setLeader records the leader that was read from the store; the zero value means none.
func (e *Election) setLeader(l Leader) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lastReadAt = boottime.Now()
	if l != e.leader {
		klog.InfoS("Leader changed", "leader", l.Node, "term", l.Term, "before", e.leader.Node, "termBefore", e.leader.Term)
		e.leader = l
	}
}

// Run takes part in the election until ctx ends: it campaigns when there is no leader and watches the leader otherwise.
func (e *Election) Run(ctx context.Context) {
	delayed := false
	for ctx.Err() == nil {
		entry, err := e.readKey(ctx)
		switch {
		case errors.Is(err, kvstore.ErrNotFound):
			e.setLeader(Leader{})
			if !delayed && e.candidacyDelay > 0 {
				delayed = true
				wait.For(ctx, e.candidacyDelay)
				continue
			}
			delayed = false
			if err := e.campaign(ctx); err != nil && ctx.Err() == nil {
				klog.InfoS("Campaign for the leadership failed", "err", err)
				wait.For(ctx, retryDelay)
			}
		case err != nil:
			klog.V(1).InfoS("Failed to read the leader key", "err", err)
			wait.For(ctx, retryDelay)
		case decodeLeader(entry).Node == e.identity.Node:
			// The key belongs to an earlier incarnation of this process, which cannot lead any more.
			if err := e.ReleaseTerm(ctx, int64(entry.Revision)); err != nil {
				wait.For(ctx, retryDelay)
			}
		default:
			delayed = false
			e.setLeader(decodeLeader(entry))
			e.waitForChange(ctx, entry.Revision)
		}
	}
}

func (e *Election) readKey(ctx context.Context) (kvstore.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return e.store.Get(ctx, e.key)
}

// waitForChange returns when the leader key has changed or may have changed, or ctx ends.
func (e *Election) waitForChange(ctx context.Context, since kvstore.Revision) {
	for ctx.Err() == nil {
		events, revision, err := e.store.Watch(ctx, e.key, since, watchWait)
		if err != nil || len(events) > 0 {
			if err != nil {
				klog.V(1).InfoS("Watch on the leader key failed", "err", err)
				wait.For(ctx, retryDelay)
			}
			return
		}
		since = revision
	}
}

// decodeLeader returns the leader that an entry of the leader key names.
func decodeLeader(entry kvstore.Entry) Leader {
	var l Leader
	if err := json.Unmarshal(entry.Value, &l); err != nil {
		klog.ErrorS(err, "Failed to decode the leader key", "revision", entry.Revision)
	}
	l.Term = int64(entry.Revision)
	return l
}

// campaign tries to create the leader key. If that succeeds, it runs a term and returns when the term has ended.
func (e *Election) campaign(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	grantSent := boottime.Now()
	lease, err := e.store.Grant(callCtx, leaseTTL)
	if err != nil {
		return err
	}
	value, err := json.Marshal(e.identity)
	if err != nil {
		return err
	}
	handover, err := e.store.Get(callCtx, e.handoverKey())
	if err != nil && !errors.Is(err, kvstore.ErrNotFound) {
		return err
	}
	txn := kvstore.Txn{
		Expect: []kvstore.Condition{{Key: e.key}, {Key: e.handoverKey(), Revision: handover.Revision}},
		Puts:   []kvstore.Write{{Key: e.key, Value: value, Lease: lease}},
	}
	if handover.Revision != 0 {
		txn.Deletes = []string{e.handoverKey()}
	}
	revision, err := e.store.Txn(callCtx, txn)
	if errors.Is(err, kvstore.ErrUnknownOutcome) {
		// If the key was created, it expires with the lease, which nobody renews.
		return err
	}
	var conflict *kvstore.ConflictError
	if errors.As(err, &conflict) {
		// The answer names the leader, which another call may not do if the store stops answering.
		if winner := conflict.Find(e.key); winner.Revision != 0 && decodeLeader(winner).Node != e.identity.Node {
			e.setLeader(decodeLeader(winner))
		}
	}
	if err != nil {
		return err
	}
	term := NewTerm(kvstore.Condition{Key: e.key, Revision: revision}, handover.Value, grantSent)
	self := e.identity
	self.Term = term.Number
	e.setLeader(self)
	e.runTerm(ctx, term, lease)
	return nil
}

// runTerm runs lead and renews the lease until the term is lost, lead returns or ctx ends. It then resigns.
func (e *Election) runTerm(ctx context.Context, term *Term, lease kvstore.LeaseID) {
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
	e.renewLease(termCtx, term, lease)
	cancel()
	<-done
	klog.InfoS("Leadership ended", "term", term.Number, "stopping", ctx.Err() != nil)
	e.resign(term, lease)
}

// resign removes the leader key, together with what the successor has to know, and revokes the lease, so that the successor
// need not wait for it to expire.
func (e *Election) resign(term *Term, lease kvstore.LeaseID) {
	ctx, cancel := context.WithTimeout(context.Background(), renewTimeout)
	defer cancel()
	if handover := e.handover(term); handover != nil {
		_, err := e.store.Txn(ctx, kvstore.Txn{Expect: []kvstore.Condition{term.Condition}, Deletes: []string{e.key},
			Puts: []kvstore.Write{{Key: e.handoverKey(), Value: handover}}})
		klog.InfoS("Handed over", "term", term.Number, "bytes", len(handover), "err", err)
	}
	if err := e.store.Revoke(ctx, lease); err != nil && !errors.Is(err, kvstore.ErrLeaseNotFound) {
		klog.InfoS("Failed to revoke the lease", "err", err)
	}
}

// renewLease renews the lease until ctx or the term ends. The term ends when the lease has expired, when another
// process has removed the leader key at this one's request, or RenewGrace after the last successful renewal.
func (e *Election) renewLease(ctx context.Context, term *Term, lease kvstore.LeaseID) {
	failures := 0
	for ctx.Err() == nil {
		if failures != 1 { // a single failure may be a lost response: retry at once
			wait.For(ctx, renewInterval)
		}
		err := e.renewOnce(ctx, term, lease)
		switch {
		case ctx.Err() != nil:
			return
		case err == nil:
			if failures > 0 {
				klog.InfoS("Lease renewed after failures", "term", term.Number, "failures", failures)
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
		if failures >= releaseAfterFailures && e.release(ctx, term.Number) {
			klog.InfoS("Leadership handed over", "term", term.Number, "failures", failures)
			return
		}
		if !term.Valid() {
			klog.InfoS("Leadership lost", "term", term.Number, "reason", "no renewal within the grace period")
			return
		}
	}
}

// releaseAfterFailures is the number of consecutive failed renewals after which another process is asked to take over.
// In an outage of the store for all processes, none can, and the leader continues.
const releaseAfterFailures = 2

// renewOnce makes one attempt to renew the lease and records its success in the term.
func (e *Election) renewOnce(ctx context.Context, term *Term, lease kvstore.LeaseID) error {
	sent := boottime.Now()
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	if err := e.store.KeepAlive(ctx, lease); err != nil {
		return err
	}
	term.setRenewed(sent)
	return nil
}
