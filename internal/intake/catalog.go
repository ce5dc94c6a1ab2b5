package intake

import (
	"context"
	"errors"
	"strings"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"masticcart.example/masticcart/internal/batch"
	"masticcart.example/masticcart/internal/boottime"
	"masticcart.example/masticcart/internal/evacuation"
	"masticcart.example/masticcart/internal/kvstore"
	"masticcart.example/masticcart/internal/wait"
)

const (
	// catalogPollWait is the wait of one long poll on the catalog. It bounds how long a revoked key is still accepted
	// when the connection to the store stops responding.
	catalogPollWait = time.Second
	// catalogReadTimeout bounds one read of the catalog.
	catalogReadTimeout = 1500 * time.Millisecond
	// catalogRetryDelay is the pause after a failed call.
	catalogRetryDelay = 100 * time.Millisecond
)

// OperatorKeys are the keys in the store under which operators write.
type OperatorKeys struct {
	Configuration string
	// EvacuationPrefix precedes the name of a data centre in the key of a request to evacuate it. Empty means that such
	// requests are not used.
	EvacuationPrefix string
	// CommonPrefix is a prefix of all of them. It is used if EvacuationPrefix is set.
	CommonPrefix string
	// EvacuationBound is the time from a request after which nothing may start. Requests are confirmed more often than that.
	EvacuationBound time.Duration
}

// pollWait returns the wait of one long poll. What is known of the requests permits starts for less than the bound, so that
// several confirmations have to fit into it.
func (k OperatorKeys) pollWait() time.Duration {
	if k.EvacuationPrefix == "" {
		return catalogPollWait
	}
	return min(catalogPollWait, k.EvacuationBound/4)
}

// watched returns the prefix of all watched keys.
func (k OperatorKeys) watched() string {
	if k.EvacuationPrefix == "" {
		return k.Configuration
	}
	return k.CommonPrefix
}

// CatalogWatcher watches what operators write into the store: it keeps the newest version of the configuration and the
// requests to evacuate data centres.
type CatalogWatcher struct {
	store  kvstore.Store
	keys   OperatorKeys
	decode func([]byte) (*batch.Catalog, error)

	mu          sync.Mutex
	catalog     *batch.Catalog
	revision    kvstore.Revision // of the configuration
	evacuations evacuation.Set
	// evacuationsAt is the revision up to which changes of the requests are applied.
	evacuationsAt kvstore.Revision
	confirmedAt   time.Duration // boottime when the last call that the store answered was sent
	answeredAt    time.Duration // boottime when the store last answered
	reachable     bool
}

// NewCatalogWatcher returns a watcher of the given keys. It decodes the configuration with decode. Run starts it.
func NewCatalogWatcher(store kvstore.Store, keys OperatorKeys,
	decode func([]byte) (*batch.Catalog, error)) *CatalogWatcher {
	return &CatalogWatcher{store: store, keys: keys, decode: decode, catalog: &batch.Catalog{}}
}

// Catalog returns the newest known configuration. Version 0 means that none is known.
func (w *CatalogWatcher) Catalog() *batch.Catalog {
	c, _, _ := w.Current()
	return c
}

// Current returns the newest known configuration, a condition that holds while it has not changed in the store, and the
// time since it was last confirmed to be the newest.
func (w *CatalogWatcher) Current() (*batch.Catalog, kvstore.Condition, time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.catalog, kvstore.Condition{Key: w.keys.Configuration, Revision: w.revision}, boottime.Now() - w.confirmedAt
}

// Evacuations returns the known requests to evacuate data centres.
func (w *CatalogWatcher) Evacuations() evacuation.View {
	w.mu.Lock()
	defer w.mu.Unlock()
	return evacuation.View{Requests: w.evacuations, ConfirmedAt: w.confirmedAt}
}

// Silence returns the time since the store last answered this process. It is up to catalogPollWait while the store
// answers at once.
func (w *CatalogWatcher) Silence() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return boottime.Now() - w.answeredAt
}

// Run watches the keys until ctx ends.
func (w *CatalogWatcher) Run(ctx context.Context) {
	for ctx.Err() == nil {
		revision, err := w.Refresh(ctx)
		for err == nil && ctx.Err() == nil {
			revision, err = w.poll(ctx, revision)
		}
		if ctx.Err() == nil && !errors.Is(err, kvstore.ErrCompacted) {
			if !errors.Is(err, kvstore.ErrNotFound) {
				w.markUnreachable(err)
			}
			wait.For(ctx, catalogRetryDelay)
		}
	}
}

// Refresh reads the keys and returns the revision to watch them from.
func (w *CatalogWatcher) Refresh(ctx context.Context) (kvstore.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, catalogReadTimeout)
	defer cancel()
	sent := boottime.Now()
	if w.keys.EvacuationPrefix != "" {
		return w.list(ctx, sent)
	}
	e, err := w.store.Get(ctx, w.keys.Configuration)
	if errors.Is(err, kvstore.ErrNotFound) {
		w.markReachable(sent)
		return 0, err
	}
	if err != nil {
		return 0, err
	}
	w.apply(e)
	w.markReachable(sent)
	return e.Revision, nil
}

// list reads all keys under the common prefix.
func (w *CatalogWatcher) list(ctx context.Context, sent time.Duration) (kvstore.Revision, error) {
	entries, revision, err := w.store.Range(ctx, w.keys.CommonPrefix, "", 0)
	if err != nil {
		return 0, err
	}
	w.replaceEvacuations(entries, revision)
	for _, e := range entries {
		if e.Key == w.keys.Configuration {
			w.apply(e)
		}
	}
	w.markReachable(sent)
	return revision, nil
}

// poll makes one long poll for changes after a revision and returns the revision to continue from.
func (w *CatalogWatcher) poll(ctx context.Context, since kvstore.Revision) (kvstore.Revision, error) {
	sent := boottime.Now()
	events, revision, err := w.store.Watch(ctx, w.keys.watched(), since, w.keys.pollWait())
	if err != nil {
		return 0, err
	}
	for _, e := range events {
		if e.Key == w.keys.Configuration && !e.Deleted {
			w.apply(e.Entry)
		}
	}
	w.applyEvacuations(events)
	w.markReachable(sent)
	return revision, nil
}

// evacuatedCell returns the data centre that a key requests to evacuate. It returns false for other keys.
func (w *CatalogWatcher) evacuatedCell(key string) (string, bool) {
	if w.keys.EvacuationPrefix == "" {
		return "", false
	}
	return strings.CutPrefix(key, w.keys.EvacuationPrefix)
}

// replaceEvacuations replaces the requests by those among all entries at a revision, unless later changes are applied.
func (w *CatalogWatcher) replaceEvacuations(entries []kvstore.Entry, revision kvstore.Revision) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if revision < w.evacuationsAt {
		return
	}
	var listed evacuation.Set
	for _, e := range entries {
		if cell, ok := w.evacuatedCell(e.Key); ok {
			listed = listed.With(w.requestOf(cell, e.Revision))
		}
	}
	for _, r := range w.evacuations.Requests() {
		if !listed.Contains(r.Cell) {
			klog.InfoS("Data centre taken back", "cell", r.Cell, "revision", revision, "requested", r.Revision)
		}
	}
	w.evacuations, w.evacuationsAt = listed, revision
}

// requestOf returns the request for a data centre, the known one if it has this revision. The caller holds the mutex.
func (w *CatalogWatcher) requestOf(cell string, revision kvstore.Revision) evacuation.Request {
	known, ok := w.evacuations.Find(cell)
	if ok && known.Revision == revision {
		return known
	}
	klog.InfoS("Evacuation of a data centre requested", "cell", cell, "revision", revision, "before", known.Revision)
	return evacuation.Request{Cell: cell, Revision: revision, Since: time.Now()}
}

// applyEvacuations applies changes of the requests. Changes that are applied already are skipped, since a listing may
// overtake the watch. Changes of one transaction have the same revision.
func (w *CatalogWatcher) applyEvacuations(events []kvstore.Event) {
	w.mu.Lock()
	defer w.mu.Unlock()
	applied := w.evacuationsAt
	for _, e := range events {
		cell, ok := w.evacuatedCell(e.Key)
		if !ok || e.Revision <= applied {
			continue
		}
		w.evacuationsAt = max(w.evacuationsAt, e.Revision)
		if !e.Deleted {
			w.evacuations = w.evacuations.With(w.requestOf(cell, e.Revision))
			continue
		}
		if known, ok := w.evacuations.Find(cell); ok {
			klog.InfoS("Data centre taken back", "cell", cell, "revision", e.Revision, "requested", known.Revision)
		}
		w.evacuations = w.evacuations.Without(cell)
	}
}

// apply makes an entry of the key the current configuration, unless it is older than that or cannot be decoded.
func (w *CatalogWatcher) apply(e kvstore.Entry) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if e.Revision <= w.revision {
		return
	}
	c, err := w.decode(e.Value)
	if err != nil {
		klog.ErrorS(err, "Failed to decode the configuration", "key", e.Key, "revision", e.Revision)
		return
	}
	if c.Version < w.catalog.Version {
		klog.InfoS("Ignored older configuration", "version", c.Version, "inForce", w.catalog.Version, "revision", e.Revision)
		return
	}
	klog.InfoS("Configuration in force", "version", c.Version, "before", w.catalog.Version, "revision", e.Revision,
		"queues", len(c.Queues), "teams", len(c.Teams))
	w.catalog, w.revision = c, e.Revision
}

// markReachable records that the store answered a call sent at the given boottime.
func (w *CatalogWatcher) markReachable(sent time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.confirmedAt, w.answeredAt = max(w.confirmedAt, sent), boottime.Now()
	if !w.reachable {
		w.reachable = true
		klog.InfoS("Dependency regained", "dependency", "store", "version", w.catalog.Version)
	}
}

// markUnreachable records a failed call to the store.
func (w *CatalogWatcher) markUnreachable(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.reachable {
		w.reachable = false
		klog.InfoS("Dependency lost", "dependency", "store", "err", err, "version", w.catalog.Version,
			"ageMs", (boottime.Now() - w.confirmedAt).Milliseconds())
	}
}
