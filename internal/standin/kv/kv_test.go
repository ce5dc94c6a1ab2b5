package kv_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"masticcart.example/masticcart/internal/platform"
	"masticcart.example/masticcart/internal/platform/memstore"
	"masticcart.example/masticcart/internal/standin/kv"
)

// service is a stand-in whose port can be closed and opened again; the data outlives that.
type service struct {
	t       *testing.T
	store   *memstore.Store
	address string
	mu      sync.Mutex
	server  *http.Server
}

func startService(t *testing.T) *service {
	s := &service{t: t, store: memstore.New(time.Now)}
	listener := s.listen("127.0.0.1:0")
	s.address = listener.Addr().String()
	s.serve(listener)
	t.Cleanup(s.close)
	return s
}

func (s *service) listen(address string) net.Listener {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		s.t.Fatal(err)
	}
	return listener
}

func (s *service) serve(listener net.Listener) {
	s.server = &http.Server{Handler: kv.New(s.store), ReadHeaderTimeout: time.Minute}
	go func(server *http.Server) { _ = server.Serve(listener) }(s.server)
}

// close closes the port and all connections.
func (s *service) close() {
	if s.server != nil {
		_ = s.server.Close()
		s.server = nil
	}
}

// phase switches to one of five sets of faults in turn.
func (s *service) phase(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n%5 == 4 {
		s.close()
	} else if s.server == nil {
		s.serve(s.listen(s.address))
	}
	s.store.SetFaults([]memstore.Faults{{}, {LoseAnswers: 0.3}, {Down: true}, {Slow: 60 * time.Millisecond}, {}}[n%5])
}

// TestWatch guards against events that a watch skips, repeats or reorders while answers are lost and connections
// break, and against a waiting watch that sits through an outage.
func TestWatch(t *testing.T) {
	service := startService(t)
	store := platform.NewHTTP([]string{service.address}, 5*time.Second, nil)
	defer store.Close()
	const writers, writes = 4, 50
	seen := make(chan []platform.Event)
	go func() { seen <- watchEvents(t, store, writers*writes) }()
	var group sync.WaitGroup
	for w := range writers {
		group.Go(func() {
			for i := range writes {
				if w == 0 && i%10 == 0 {
					service.phase(i / 10 % 3) // without the slow phase and the closed port
				}
				putUntilDone(t, store, fmt.Sprintf("w/%d/%d", w, i))
				putUntilDone(t, store, fmt.Sprintf("other/%d/%d", w, i))
			}
		})
	}
	events := <-seen
	group.Wait()
	keys := map[string]bool{}
	for i, e := range events {
		if keys[e.Key] || (i > 0 && e.Revision <= events[i-1].Revision) {
			t.Fatalf("event %d (%s at %d) repeated or out of order", i, e.Key, e.Revision)
		}
		keys[e.Key] = true
	}
	service.phase(0)
	entries, _, err := store.Range(context.Background(), "w/", "", 0)
	if err != nil || len(entries) != len(keys) {
		t.Fatalf("%d entries, %d events, error %v", len(entries), len(keys), err)
	}
}

// watchEvents watches until it has seen a number of events.
func watchEvents(t *testing.T, store platform.Store, count int) (seen []platform.Event) {
	var since platform.Revision
	for len(seen) < count {
		events, next, err := store.Watch(context.Background(), "w/", since, 30*time.Second)
		if errors.Is(err, platform.ErrUnavailable) {
			continue
		}
		if err != nil {
			t.Error(err)
			return seen
		}
		seen, since = append(seen, events...), next
	}
	return seen
}

// putUntilDone creates a key; a conflict means that an attempt with an unknown outcome took effect.
func putUntilDone(t *testing.T, store platform.Store, key string) {
	unknown := false
	for range 10_000 {
		_, err := store.Put(context.Background(), key, []byte("v"), 0, 0)
		if err == nil || (unknown && errors.Is(err, platform.ErrConflict)) {
			return
		}
		if !errors.Is(err, platform.ErrUnknownOutcome) {
			t.Errorf("put %s: %v", key, err)
			return
		}
		unknown = true
	}
	t.Errorf("put %s: no answer", key)
}

// TestErrors guards against failures that reach the caller as the wrong error, and against writes that net/http sends
// again on a new connection when a reused one breaks.
func TestErrors(t *testing.T) {
	ctx := context.Background()
	service := startService(t)
	store := platform.NewHTTP([]string{service.address}, time.Second, nil)
	defer store.Close()
	check := func(what string, err, want error) {
		t.Helper()
		if !errors.Is(err, want) {
			t.Errorf("%s: error %v, want %v", what, err, want)
		}
	}
	lease, err := store.Grant(ctx, time.Hour)
	check("grant", err, nil)
	large := make([]byte, platform.MaxValueBytes+1)
	_, err = store.Put(ctx, "large", large[1:], 0, lease)
	check("put of the largest value", err, nil)
	e, err := store.Get(ctx, "large")
	check("get of the largest value", err, nil)
	if len(e.Value) != platform.MaxValueBytes {
		t.Errorf("value of %d bytes", len(e.Value))
	}
	_, err = store.Put(ctx, "large", large, e.Revision, 0)
	check("too large", err, platform.ErrTooLarge)
	_, err = store.Put(ctx, "large", nil, 0, 0)
	check("wrong revision", err, platform.ErrConflict)
	check("delete without key", store.Delete(ctx, "none", 1), platform.ErrNotFound)
	check("revoke", store.Revoke(ctx, lease), nil)
	check("revoked lease", store.KeepAlive(ctx, lease), platform.ErrLeaseNotFound)
	_, err = store.Get(ctx, "large")
	check("key of the revoked lease", err, platform.ErrNotFound)
	_, _, err = store.Watch(ctx, "", 1000, 0)
	check("future revision", err, platform.ErrCompacted)

	before := service.store.Stats().Writes
	service.store.SetFaults(memstore.Faults{Down: true})
	_, err = store.Put(ctx, "a", nil, 0, 0) // on the connection that the calls above have used
	check("write in an outage", err, platform.ErrUnknownOutcome)
	if sent := service.store.Stats().Writes - before; sent != 1 {
		t.Errorf("one write was sent %d times", sent)
	}
	_, err = store.Get(ctx, "a")
	check("read in an outage", err, platform.ErrUnavailable)
	service.close()
	_, err = store.Put(ctx, "a", nil, 0, 0)
	check("write without a connection", err, platform.ErrUnavailable)
	if errors.Is(err, platform.ErrUnknownOutcome) {
		t.Error("write without a connection has an unknown outcome")
	}
}
