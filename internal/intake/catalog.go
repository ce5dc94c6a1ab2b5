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
	// catalogWait is one long poll on the catalog. A revoked key is refused within it even if the connection to the
	// store has gone silent.
	catalogWait = time.Second
	// catalogTimeout bounds one read.
	catalogTimeout = 1500 * time.Millisecond
	// catalogPause follows a failed call.
	catalogPause = 100 * time.Millisecond
)

// CatalogWatcher keeps the newest configuration of the operators.
type CatalogWatcher struct {
	store  kvstore.Store
	key    string
	decode func([]byte) (*batch.Catalog, error)

	mu        sync.Mutex
	catalog   *batch.Catalog
	revision  kvstore.Revision // of the key
	confirmed time.Duration    // boottime at which the last answered call of the store was sent
	reachable bool
}

// NewCatalogWatcher returns a follower of a key.
func NewCatalogWatcher(store kvstore.Store, key string, decode func([]byte) (*batch.Catalog, error)) *CatalogWatcher {
	return &CatalogWatcher{store: store, key: key, decode: decode, catalog: &batch.Catalog{}}
}

// Catalog returns the newest configuration; version 0 means that none is known.
func (f *CatalogWatcher) Catalog() *batch.Catalog {
	c, _, _ := f.Current()
	return c
}

// Current returns the newest configuration, the revision of its key, and how long ago it was certainly the newest.
func (f *CatalogWatcher) Current() (*batch.Catalog, kvstore.Condition, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.catalog, kvstore.Condition{Key: f.key, Revision: f.revision}, boottime.Now() - f.confirmed
}

// Run follows the key until ctx ends.
func (f *CatalogWatcher) Run(ctx context.Context) {
	for ctx.Err() == nil {
		at, err := f.Refresh(ctx)
		for err == nil && ctx.Err() == nil {
			at, err = f.poll(ctx, at)
		}
		if ctx.Err() == nil && !errors.Is(err, kvstore.ErrCompacted) {
			if !errors.Is(err, kvstore.ErrNotFound) {
				f.lost(err)
			}
			wait.For(ctx, catalogPause)
		}
	}
}

// Refresh reads the key and returns the revision from which to watch it.
func (f *CatalogWatcher) Refresh(ctx context.Context) (kvstore.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, catalogTimeout)
	defer cancel()
	sent := boottime.Now()
	e, err := f.store.Get(ctx, f.key)
	if errors.Is(err, kvstore.ErrNotFound) {
		f.confirm(sent)
		return 0, err
	}
	if err != nil {
		return 0, err
	}
	f.apply(e)
	f.confirm(sent)
	return e.Revision, nil
}

func (f *CatalogWatcher) poll(ctx context.Context, since kvstore.Revision) (kvstore.Revision, error) {
	sent := boottime.Now()
	events, at, err := f.store.Watch(ctx, f.key, since, catalogWait)
	if err != nil {
		return 0, err
	}
	for _, e := range events {
		if e.Key == f.key && !e.Deleted {
			f.apply(e.Entry)
		}
	}
	f.confirm(sent)
	return at, nil
}

// apply takes a version of the key. An older one, or one that cannot be read, is ignored.
func (f *CatalogWatcher) apply(e kvstore.Entry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if e.Revision <= f.revision {
		return
	}
	c, err := f.decode(e.Value)
	if err != nil {
		klog.ErrorS(err, "Configuration not readable", "key", e.Key, "revision", e.Revision)
		return
	}
	if c.Version < f.catalog.Version {
		klog.InfoS("Ignored older configuration", "version", c.Version, "inForce", f.catalog.Version, "revision", e.Revision)
		return
	}
	klog.InfoS("Configuration in force", "version", c.Version, "before", f.catalog.Version, "revision", e.Revision,
		"queues", len(c.Queues), "teams", len(c.Teams))
	f.catalog, f.revision = c, e.Revision
}

func (f *CatalogWatcher) confirm(sent time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.confirmed = max(f.confirmed, sent)
	if !f.reachable {
		f.reachable = true
		klog.InfoS("Dependency regained", "dependency", "store", "version", f.catalog.Version)
	}
}

func (f *CatalogWatcher) lost(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.reachable {
		f.reachable = false
		klog.InfoS("Dependency lost", "dependency", "store", "err", err, "version", f.catalog.Version,
			"ageMs", (boottime.Now() - f.confirmed).Milliseconds())
	}
}
