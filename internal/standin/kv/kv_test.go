package kv_test

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"masticcart.example/masticcart/internal/kvstore"
	"masticcart.example/masticcart/internal/kvstore/memstore"
	"masticcart.example/masticcart/internal/standin/kv"
)

// service is a stand-in whose port can be closed and reopened. The stored data is kept meanwhile.
type service struct {
	t       *testing.T
	store   *memstore.Store
	address string
	mu      sync.Mutex
	server  *http.Server
}

func startService(t *testing.T) *service {
	s := &service{t: t, store: memstore.New(time.Now)}
	s.open("127.0.0.1:0")
	t.Cleanup(s.close)
	return s
}

func (s *service) open(address string) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		panic(err) // t.Fatal must only be called from the goroutine of the test
	}
	s.address = listener.Addr().String()
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

// postFaults changes the faults through the admin endpoint, which also works in an outage.
func (s *service) postFaults(body string) {
	s.t.Helper()
	res, err := http.Post("http://"+s.address+"/admin/faults", "application/json", strings.NewReader(body))
	if err != nil {
		s.t.Fatal(err)
	}
	if res.Body.Close(); res.StatusCode != http.StatusOK {
		s.t.Fatalf("faults %s: status %d", body, res.StatusCode)
	}
}

// setPhase sets one of five phases, the remainder of n by 5: 0 no fault, 1 lost answers, 2 outage, 3 slow calls, 4
// closed port.
func (s *service) setPhase(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n%5 == 4 {
		s.close()
	} else if s.server == nil {
		s.open(s.address)
	}
	s.store.SetFaults([]memstore.Faults{{}, {LoseAnswers: 0.3}, {Down: true}, {Slow: 60 * time.Millisecond}, {}}[n%5])
}

// TestWatch guards against events that a watch skips, repeats or reorders while answers are lost and connections are
// closed.
func TestWatch(t *testing.T) {
	service := startService(t)
	store := kvstore.NewHTTP([]string{service.address}, 5*time.Second, nil)
	defer store.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	seen := make(chan []kvstore.Event)
	go func() { seen <- watchUntil(ctx, t, store, "w/end") }()
	var group sync.WaitGroup
	var attempts atomic.Int64
	countAttempt := func() {
		// The phase depends on the number of attempts instead of writes, since no write succeeds in an outage.
		if n := attempts.Add(1); n%20 == 0 {
			service.setPhase(int(n / 20 % 3)) // phases 0 to 2, without slow calls and the closed port
		}
	}
	for w := range 4 {
		group.Go(func() {
			for i := range 50 {
				createKey(ctx, t, store, fmt.Sprintf("w/%d/%d", w, i), countAttempt)
				createKey(ctx, t, store, fmt.Sprintf("other/%d/%d", w, i), countAttempt)
			}
		})
	}
	group.Wait()
	service.setPhase(0)
	createKey(ctx, t, store, "w/end", func() {})
	events := <-seen
	entries, _, err := store.Range(ctx, "w/", "", 0)
	if err != nil || len(entries) != 201 {
		t.Fatalf("%d entries, error %v", len(entries), err)
	}
	slices.SortFunc(entries, func(a, b kvstore.Entry) int { return int(a.Revision - b.Revision) })
	for i := range max(len(entries), len(events)) {
		if i >= len(events) || i >= len(entries) || events[i].Deleted || events[i].Key != entries[i].Key {
			t.Fatalf("event %d of %d does not match entry %d of %d", i, len(events), i, len(entries))
		}
	}
}

// watchUntil returns the events up to and including that of the key last.
func watchUntil(ctx context.Context, t *testing.T, store kvstore.Store, last string) (seen []kvstore.Event) {
	var since kvstore.Revision
	for len(seen) == 0 || seen[len(seen)-1].Key != last {
		events, next, err := store.Watch(ctx, "w/", since, 10*time.Second)
		if ctx.Err() != nil || (err != nil && !errors.Is(err, kvstore.ErrUnavailable)) {
			t.Error("watch:", err)
			return seen
		}
		if err == nil {
			seen, since = append(seen, events...), next
		}
	}
	return seen
}

// createKey creates a key and retries while the outcome is unknown. A conflict then means that an earlier attempt took
// effect. beforeAttempt is called before each attempt.
func createKey(ctx context.Context, t *testing.T, store kvstore.Store, key string, beforeAttempt func()) {
	err := kvstore.ErrUnknownOutcome
	for unknown := false; errors.Is(err, kvstore.ErrUnknownOutcome); unknown = true {
		beforeAttempt()
		_, err = store.Put(ctx, key, []byte("v"), 0, 0)
		if (unknown && errors.Is(err, kvstore.ErrConflict)) || ctx.Err() != nil {
			return
		}
	}
	if err != nil {
		t.Errorf("put %s: %v", key, err)
	}
}

// TestErrors guards against failures that reach the caller as the wrong error, and against net/http resending a write
// on a new connection when a reused connection breaks.
func TestErrors(t *testing.T) {
	ctx := context.Background()
	service := startService(t)
	store := kvstore.NewHTTP([]string{service.address}, time.Second, nil)
	defer store.Close()
	check := func(what string, err, want error) {
		t.Helper()
		if !errors.Is(err, want) {
			t.Errorf("%s: error %v, want %v", what, err, want)
		}
	}
	lease, err := store.Grant(ctx, time.Hour)
	check("grant", err, nil)
	large := make([]byte, kvstore.MaxValueBytes+1)
	_, err = store.Put(ctx, "large", large[1:], 0, lease)
	check("put of the largest value", err, nil)
	e, err := store.Get(ctx, "large")
	check("get of the largest value", err, nil)
	if len(e.Value) != kvstore.MaxValueBytes {
		t.Errorf("value of %d bytes", len(e.Value))
	}
	_, err = store.Put(ctx, "large", large, e.Revision, 0)
	check("too large", err, kvstore.ErrTooLarge)
	_, err = store.Put(ctx, "large", nil, 0, 0)
	check("wrong revision", err, kvstore.ErrConflict)
	check("delete without key", store.Delete(ctx, "none", 1), kvstore.ErrNotFound)
	check("revoke", store.Revoke(ctx, lease), nil)
	check("revoked lease", store.KeepAlive(ctx, lease), kvstore.ErrLeaseNotFound)
	_, err = store.Get(ctx, "large")
	check("key of the revoked lease", err, kvstore.ErrNotFound)
	_, _, err = store.Watch(ctx, "", 1000, 0)
	check("future revision", err, kvstore.ErrCompacted)

	before := service.store.Stats().Writes
	service.postFaults(`{"down":true}`)
	_, err = store.Put(ctx, "a", nil, 0, 0) // reuses the connection of the calls above
	check("write in an outage", err, kvstore.ErrUnknownOutcome)
	if sent := service.store.Stats().Writes - before; sent != 1 {
		t.Errorf("one write was sent %d times", sent)
	}
	_, err = store.Get(ctx, "a")
	check("read in an outage", err, kvstore.ErrUnavailable)
	service.postFaults(`{"reset":true,"lose_answers":1}`)
	check("lost answer", store.Delete(ctx, "none", 1), kvstore.ErrUnknownOutcome)
	service.close()
	_, err = store.Put(ctx, "a", nil, 0, 0)
	check("write without a connection", err, kvstore.ErrUnavailable)
	if errors.Is(err, kvstore.ErrUnknownOutcome) {
		t.Error("write without a connection has an unknown outcome")
	}
}

// TestTLS guards against a failed TLS handshake that is treated as an established connection, and so reported as an
// unknown outcome.
func TestTLS(t *testing.T) {
	server := httptest.NewUnstartedServer(kv.New(memstore.New(time.Now)))
	server.Config.ErrorLog = log.New(io.Discard, "", 0) // net/http logs the failed handshake
	server.StartTLS()
	defer server.Close()
	trusted := &tls.Config{RootCAs: x509.NewCertPool()}
	for _, want := range []error{kvstore.ErrUnavailable, nil} {
		store := kvstore.NewHTTP([]string{server.Listener.Addr().String()}, 5*time.Second, trusted.Clone())
		if _, err := store.Put(context.Background(), "a", nil, 0, 0); !errors.Is(err, want) {
			t.Errorf("error %v, want %v", err, want)
		}
		store.Close()
		trusted.RootCAs.AddCert(server.Certificate())
	}
}
