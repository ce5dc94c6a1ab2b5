package intake

import (
	"context"
	"errors"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"masticcart.example/masticcart/internal/batch"
	"masticcart.example/masticcart/internal/boottime"
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

// CatalogWatcher watches the operators' configuration in the store and keeps the newest version.
type CatalogWatcher struct {
	store  kvstore.Store
	key    string
	decode func([]byte) (*batch.Catalog, error)

	mu          sync.Mutex
	catalog     *batch.Catalog
	revision    kvstore.Revision // of the key
	confirmedAt time.Duration    // boottime when the last call that the store answered was sent
	answeredAt  time.Duration    // boottime when the store last answered
	reachable   bool
}

// NewCatalogWatcher returns a watcher of the given key, whose values it decodes with decode. Run starts it.
func NewCatalogWatcher(store kvstore.Store, key string, decode func([]byte) (*batch.Catalog, error)) *CatalogWatcher {
	return &CatalogWatcher{store: store, key: key, decode: decode, catalog: &batch.Catalog{}}
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
	return w.catalog, kvstore.Condition{Key: w.key, Revision: w.revision}, boottime.Now() - w.confirmedAt
}

// Silence returns the time since the store last answered this process. It is up to catalogPollWait while the store
// answers at once.
func (w *CatalogWatcher) Silence() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return boottime.Now() - w.answeredAt
}

// Run watches the key until ctx ends.
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

// Refresh reads the key and returns the revision to watch it from.
func (w *CatalogWatcher) Refresh(ctx context.Context) (kvstore.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, catalogReadTimeout)
	defer cancel()
	sent := boottime.Now()
	e, err := w.store.Get(ctx, w.key)
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

// poll makes one long poll for changes after a revision and returns the revision to continue from.
func (w *CatalogWatcher) poll(ctx context.Context, since kvstore.Revision) (kvstore.Revision, error) {
	sent := boottime.Now()
	events, revision, err := w.store.Watch(ctx, w.key, since, catalogPollWait)
	if err != nil {
		return 0, err
	}
	for _, e := range events {
		if e.Key == w.key && !e.Deleted {
			w.apply(e.Entry)
		}
	}
	w.markReachable(sent)
	return revision, nil
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
