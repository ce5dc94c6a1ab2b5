package election

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"masticcart.example/masticcart/internal/kvstore"
	"masticcart.example/masticcart/internal/kvstore/memstore"
)

const key = "leader"

// gate lets one process's calls through, or refuses them as a store does that turns a machine away.
type gate struct {
	kvstore.Store
	shut atomic.Bool
}

func (g *gate) KeepAlive(ctx context.Context, id kvstore.LeaseID) error {
	if g.shut.Load() {
		return kvstore.ErrUnavailable
	}
	return g.Store.KeepAlive(ctx, id)
}

func (g *gate) Get(ctx context.Context, k string) (kvstore.Entry, error) {
	if g.shut.Load() {
		return kvstore.Entry{}, kvstore.ErrUnavailable
	}
	return g.Store.Get(ctx, k)
}

// candidate is a process that takes part.
type candidate struct {
	election *Election
	gate     *gate
	mu       sync.Mutex
	terms    []int64
	leading  atomic.Bool
	stop     context.CancelFunc
	done     chan struct{}
}

func start(t *testing.T, store kvstore.Store, name string, peers func() []*candidate) *candidate {
	c := &candidate{gate: &gate{Store: store}, done: make(chan struct{})}
	lead := func(ctx context.Context, term *Term) error {
		c.mu.Lock()
		c.terms = append(c.terms, term.Number)
		c.mu.Unlock()
		c.leading.Store(true)
		defer c.leading.Store(false)
		<-ctx.Done()
		return nil
	}
	release := func(ctx context.Context, term int64) bool {
		for _, p := range peers() {
			if p != c && p.election.ReleaseTerm(ctx, term) == nil {
				return true
			}
		}
		return false
	}
	c.election = New(c.gate, key, Leader{Node: name, Address: name}, lead, release, 0)
	ctx, cancel := context.WithCancel(context.Background())
	c.stop = cancel
	go func() {
		defer close(c.done)
		c.election.Run(ctx)
	}()
	t.Cleanup(func() { cancel(); <-c.done })
	return c
}

func await(t *testing.T, limit time.Duration, what string, f func() bool) time.Duration {
	t.Helper()
	began := time.Now()
	for !f() {
		if time.Since(began) > limit {
			t.Fatalf("%s: not within %v", what, limit)
		}
		time.Sleep(time.Millisecond)
	}
	return time.Since(began)
}

// One process leads; when it stops it resigns, so that the next one leads before the lease would have expired, with a
// higher term.
func TestResignationIsTakenOverAtOnce(t *testing.T) {
	store := memstore.New(time.Now)
	var all []*candidate
	peers := func() []*candidate { return all }
	a := start(t, store, "a", peers)
	await(t, 5*time.Second, "first leader", a.leading.Load)
	b := start(t, store, "b", peers)
	all = []*candidate{a, b}
	time.Sleep(50 * time.Millisecond)
	if b.leading.Load() {
		t.Fatal("two leaders")
	}
	a.stop()
	await(t, leaseTTL-200*time.Millisecond, "second leader", b.leading.Load)
	if b.terms[0] <= a.terms[0] {
		t.Errorf("term %d after %d", b.terms[0], a.terms[0])
	}
}

// A leader that the store turns away hands over; without that, jobs accepted elsewhere wait for the lease to expire.
func TestLeaderThatIsTurnedAwayHandsOver(t *testing.T) {
	store := memstore.New(time.Now)
	var mu sync.Mutex
	var all []*candidate
	peers := func() []*candidate { mu.Lock(); defer mu.Unlock(); return all }
	a := start(t, store, "a", peers)
	await(t, 5*time.Second, "first leader", a.leading.Load)
	b := start(t, store, "b", peers)
	mu.Lock()
	all = []*candidate{a, b}
	mu.Unlock()
	time.Sleep(50 * time.Millisecond)
	a.gate.shut.Store(true)
	took := await(t, 5*time.Second, "second leader", b.leading.Load)
	if took >= leaseTTL {
		t.Errorf("taken over after %v, not before the lease of %v", took, leaseTTL)
	}
	await(t, time.Second, "the first leader ends", func() bool { return !a.leading.Load() })
}

// In an outage that hits all, the leader goes on: running work needs its leases extended.
func TestLeaderOutlivesAnOutageOfTheStore(t *testing.T) {
	store := memstore.New(time.Now)
	a := start(t, store, "a", func() []*candidate { return nil })
	await(t, 5*time.Second, "leader", a.leading.Load)
	store.SetFaults(memstore.Faults{Down: true})
	time.Sleep(leaseTTL - 500*time.Millisecond)
	if !a.leading.Load() {
		t.Error("the leader gave up in an outage")
	}
	store.SetFaults(memstore.Faults{})
}

// A process that led before its restart does not wait for its own lease to expire.
func TestRestartedLeaderRemovesItsOldKey(t *testing.T) {
	store := memstore.New(time.Now)
	ctx := context.Background()
	lease, err := store.Grant(ctx, time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := store.Put(ctx, key, []byte(`{"node":"a"}`), 0, lease); err != nil {
		t.Fatal(err)
	}
	a := start(t, store, "a", func() []*candidate { return nil })
	await(t, 2*time.Second, "leader", a.leading.Load)
}

// A small machine leaves a vacant leadership to larger ones: as leader of seventy workers on a fifth of a core and 10
// Mbit/s it answered seconds late. Alone, it leads.
func TestSmallMachinesYield(t *testing.T) {
	store := memstore.New(time.Now)
	small := New(store, key, Leader{Node: "small"}, func(ctx context.Context, _ *Term) error { <-ctx.Done(); return nil },
		func(context.Context, int64) bool { return false }, 200*time.Millisecond)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); small.Run(ctx) }()
	time.Sleep(50 * time.Millisecond)
	large := start(t, store, "large", func() []*candidate { return nil })
	await(t, time.Second, "the large machine leads", large.leading.Load)
	large.stop()
	await(t, 5*time.Second, "the small machine leads alone", func() bool { return small.Leader().Node == "small" })
	cancel()
	<-done
}

// The key of another term is left alone.
func TestRemoveIsForOneTermOnly(t *testing.T) {
	store := memstore.New(time.Now)
	if _, err := store.Put(context.Background(), key, []byte(`{}`), 0, 0); err != nil {
		t.Fatal(err)
	}
	e := New(store, key, Leader{}, nil, nil, 0)
	if err := e.ReleaseTerm(context.Background(), 999); !errors.Is(err, kvstore.ErrConflict) {
		t.Errorf("%v, want a conflict", err)
	}
}
