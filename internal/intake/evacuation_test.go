package intake

import (
	"context"
	"testing"
	"time"

	"masticcart.example/masticcart/internal/batch"
	"masticcart.example/masticcart/internal/boottime"
	"masticcart.example/masticcart/internal/kvstore"
	"masticcart.example/masticcart/internal/kvstore/memstore"
)

var evacuationKeys = OperatorKeys{Configuration: "op/config", EvacuationPrefix: "op/evacuate/", CommonPrefix: "op/",
	EvacuationBound: 2 * time.Second}

// newEvacuationWatcher returns a watcher that does not run, so that a test decides what it reads and when.
func newEvacuationWatcher(store kvstore.Store) *CatalogWatcher {
	return NewCatalogWatcher(store, evacuationKeys, func([]byte) (*batch.Catalog, error) {
		return &batch.Catalog{Version: 1}, nil
	})
}

// write changes keys of the store in one transaction and returns its revision.
func write(t *testing.T, store kvstore.Store, puts []string, deletes ...string) kvstore.Revision {
	t.Helper()
	txn := kvstore.Txn{Deletes: deletes}
	for _, key := range puts {
		txn.Puts = append(txn.Puts, kvstore.Write{Key: key, Value: []byte("{}")})
	}
	revision, err := store.Txn(t.Context(), txn)
	if err != nil {
		t.Fatal(err)
	}
	return revision
}

// TestEvacuationsFollowStore guards against requests that are missed: two in one transaction, one beside a change of the
// configuration, one that is withdrawn and repeated, and those made while the history was compacted.
func TestEvacuationsFollowStore(t *testing.T) {
	t.Parallel()
	store := memstore.New(time.Now)
	w := newEvacuationWatcher(store)
	write(t, store, []string{"op/config"})
	since, err := w.Refresh(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	check := func(what string, want ...string) {
		t.Helper()
		got := w.Evacuations().Requests
		if len(got.Requests()) != len(want) {
			t.Fatalf("%s: requests %v, want %v", what, got.Requests(), want)
		}
		for _, cell := range want {
			if !got.Contains(cell) {
				t.Fatalf("%s: requests %v, want %v", what, got.Requests(), want)
			}
		}
	}
	poll := func() {
		t.Helper()
		if since, err = w.poll(t.Context(), since); err != nil {
			t.Fatal(err)
		}
	}
	check("none")
	write(t, store, []string{"op/config", "op/evacuate/a", "op/evacuate/b"})
	poll()
	check("two in one transaction", "a", "b")
	first, _ := w.Evacuations().Requests.Find("a")
	write(t, store, nil, "op/evacuate/a")
	repeated := write(t, store, []string{"op/evacuate/a"})
	poll()
	check("withdrawn and repeated", "a", "b")
	if again, _ := w.Evacuations().Requests.Find("a"); again.Revision != repeated || again.Revision == first.Revision {
		t.Errorf("revision %d of the repeated request, want %d", again.Revision, repeated)
	}
	write(t, store, []string{"op/evacuate/c"}, "op/evacuate/b")
	if _, err := w.Refresh(t.Context()); err != nil { // as after a compaction
		t.Fatal(err)
	}
	check("listed again", "a", "c")
	poll() // delivers what the listing has overtaken
	check("overtaken changes", "a", "c")
	write(t, store, nil, "op/evacuate/a", "op/evacuate/c")
	poll()
	check("all taken back")
}

// TestEvacuationsAgeWithoutStore guards against a process that takes its view of the requests as recent although the store
// does not answer it.
func TestEvacuationsAgeWithoutStore(t *testing.T) {
	t.Parallel()
	store := cutStore{Store: memstore.New(time.Now), cut: make(chan struct{})}
	w := newEvacuationWatcher(store)
	write(t, store.Store, []string{"op/config"})
	before := boottime.Now()
	since, err := w.Refresh(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	confirmed := w.Evacuations().ConfirmedAt
	if confirmed < before {
		t.Fatalf("confirmed at %v, before the call at %v", confirmed, before)
	}
	close(store.cut)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	if _, err := w.poll(ctx, since); err == nil {
		t.Fatal("a poll of the cut store succeeded")
	}
	if at := w.Evacuations().ConfirmedAt; at != confirmed {
		t.Errorf("confirmed at %v after a failed poll, want %v", at, confirmed)
	}
}

// TestPollWaitFitsIntoTheBound guards against a short bound under which the permission to start ends between two
// confirmations, so that nothing starts most of the time.
func TestPollWaitFitsIntoTheBound(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		keys OperatorKeys
		want time.Duration
	}{
		{OperatorKeys{Configuration: "op/config"}, catalogPollWait},
		{evacuationKeys, 500 * time.Millisecond},
		{OperatorKeys{EvacuationPrefix: "e/", EvacuationBound: time.Minute}, catalogPollWait},
	} {
		if got := c.keys.pollWait(); got != c.want {
			t.Errorf("%+v: wait %v, want %v", c.keys, got, c.want)
		}
	}
}
