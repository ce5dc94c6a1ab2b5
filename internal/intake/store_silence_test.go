package intake

import (
	"context"
	"errors"
	"testing"
	"time"

	"masticcart.example/masticcart/internal/batch"
	"masticcart.example/masticcart/internal/kvstore"
	"masticcart.example/masticcart/internal/kvstore/memstore"
	"masticcart.example/masticcart/internal/scheduler"
)

const (
	testConfigKey = "config"
	testJobPath   = "/q/0123456789abcdef"
	callerTime    = 3 * time.Second
)

// cutStore is a store that this process cannot reach while cut is set: calls get no answer.
type cutStore struct {
	kvstore.Store
	cut chan struct{} // closed when the connection is cut
}

func (s cutStore) isCut() bool {
	select {
	case <-s.cut:
		return true
	default:
		return false
	}
}

func (s cutStore) Get(ctx context.Context, key string) (kvstore.Entry, error) {
	if s.isCut() {
		<-ctx.Done()
		return kvstore.Entry{}, kvstore.ErrUnavailable
	}
	return s.Store.Get(ctx, key)
}

func (s cutStore) Txn(ctx context.Context, t kvstore.Txn) (kvstore.Revision, error) {
	if s.isCut() {
		<-ctx.Done()
		return 0, kvstore.ErrUnknownOutcome
	}
	return s.Store.Txn(ctx, t)
}

func (s cutStore) Watch(ctx context.Context, prefix string, after kvstore.Revision, wait time.Duration) (
	[]kvstore.Event, kvstore.Revision, error) {
	if !s.isCut() {
		events, at, err := s.Store.Watch(ctx, prefix, after, wait)
		if !s.isCut() {
			return events, at, err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, wait+time.Second)
	defer cancel()
	<-ctx.Done()
	return nil, 0, kvstore.ErrUnavailable
}

// noLeader is the client of a leader that cannot be reached.
type noLeader struct{}

var errNoLeader = errors.New("no leader")

func (noLeader) Load(context.Context) (scheduler.Load, error) { return scheduler.Load{}, errNoLeader }

func (noLeader) State(context.Context, string, time.Duration) (batch.State, bool, error) {
	return "", false, errNoLeader
}

func (noLeader) NotifyStored(context.Context, kvstore.Entry) (bool, error) { return false, nil }

// startIntake returns an intake that has read its configuration, a public queue, from the store.
func startIntake(t *testing.T, store kvstore.Store, config kvstore.Store) *Service {
	t.Helper()
	if _, err := config.Txn(t.Context(), kvstore.Txn{
		Puts: []kvstore.Write{{Key: testConfigKey, Value: []byte("{}")}},
	}); err != nil {
		t.Fatal(err)
	}
	catalogs := NewCatalogWatcher(store, OperatorKeys{Configuration: testConfigKey}, func([]byte) (*batch.Catalog, error) {
		return &batch.Catalog{Version: 1, MaxBodyBytes: 1000,
			Queues: []batch.Queue{{Name: "q", Host: "host", PathPrefix: "/q/", Public: true, Service: "s"}}}, nil
	})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		catalogs.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	for catalogs.Catalog().Version == 0 {
		time.Sleep(time.Millisecond)
	}
	return New(store, catalogs, noLeader{}, Settings{})
}

// submit submits a job for a caller that waits for callerTime.
func submit(t *testing.T, s *Service) (r Response, took time.Duration) {
	t.Helper()
	started := time.Now()
	r = s.Submit(t.Context(), Request{Host: "host", Path: testJobPath, Deadline: started.Add(callerTime)},
		func() (*batch.Job, error) {
			return &batch.Job{Steps: []batch.Step{{Count: 1, Need: batch.Resources{MilliCPU: 1000}}}}, nil
		})
	return r, time.Since(started)
}

// TestCutOffEntryLeavesCallerTime guards against an entry without a way to the store that holds a submission until the
// caller's time is over: the caller must hear that the outcome is unknown while it can still ask another entry.
func TestCutOffEntryLeavesCallerTime(t *testing.T) {
	t.Parallel()
	store := memstore.New(time.Now)
	cut := make(chan struct{})
	s := startIntake(t, cutStore{Store: store, cut: cut}, store)
	close(cut)
	r, took := submit(t, s)
	if r.Outcome != OutcomeUnknown {
		t.Errorf("outcome %q (%s), want %q", r.Outcome, r.Reason, OutcomeUnknown)
	}
	if most := callerTime * 3 / 4; took > most {
		t.Errorf("the caller heard after %s of its %s, want at most %s", took, callerTime, most)
	}
}

// slowStore is a store that answers each call late.
type slowStore struct {
	kvstore.Store
	delay time.Duration
}

func (s slowStore) Txn(ctx context.Context, t kvstore.Txn) (kvstore.Revision, error) {
	defer time.Sleep(s.delay)
	return s.Store.Txn(ctx, t)
}

func (s slowStore) Watch(ctx context.Context, prefix string, after kvstore.Revision, wait time.Duration) (
	[]kvstore.Event, kvstore.Revision, error) {
	defer time.Sleep(s.delay)
	return s.Store.Watch(ctx, prefix, after, wait)
}

// TestSlowStoreStoresSubmission guards against a store that is taken as out of reach because its answers are slow.
func TestSlowStoreStoresSubmission(t *testing.T) {
	t.Parallel()
	store := memstore.New(time.Now)
	s := startIntake(t, slowStore{Store: store, delay: callTimeout * 4 / 5}, store)
	for range 8 {
		if r, took := submit(t, s); r.Outcome != OK {
			t.Errorf("outcome %q (%s) after %s, want %q", r.Outcome, r.Reason, took, OK)
		}
		time.Sleep(catalogPollWait / 8)
	}
}
