package config

import (
	"context"
	"errors"
	"fmt"
	"time"

	"k8s.io/klog/v2"

	"masticcart.example/masticcart/internal/kvstore"
)

const (
	// watchWait is how long one watch call stays open without an event. It bounds the rate of calls while nothing
	// changes.
	watchWait = 30 * time.Second
	// watchRetryInitial and watchRetryMax bound the back-off after failed calls. The longest delay leaves most of
	// protocol.ConfigBound for the delivery of a change after the platform has recovered.
	watchRetryInitial = 100 * time.Millisecond
	watchRetryMax     = 3 * time.Second
)

// Watcher watches the document in the platform's store and passes each version to an applier.
type Watcher struct {
	store   kvstore.Store
	applier *Applier
}

// NewWatcher returns a watcher; Run starts it.
func NewWatcher(store kvstore.Store, applier *Applier) *Watcher {
	return &Watcher{store: store, applier: applier}
}

// Run watches the document until ctx ends and retries failed calls. It starts no goroutines.
func (w *Watcher) Run(ctx context.Context) {
	retryDelay := newBackOff(watchRetryInitial, watchRetryMax)
	for ctx.Err() == nil {
		err := w.followHead(ctx, retryDelay.Reset)
		if ctx.Err() != nil {
			return
		}
		delay := retryDelay.NextBackOff()
		klog.InfoS("Configuration watch failed; retrying", "version", w.applier.Version(), "delay", delay, "err", err)
		if sleep(ctx, delay) != nil {
			return
		}
	}
}

// followHead reads the head and then watches it until a call fails. Run calls it again after each failure, and the new
// read finds a change that was made meanwhile even if the platform no longer keeps its event. It calls resetBackOff
// after each watch call that the platform answered.
func (w *Watcher) followHead(ctx context.Context, resetBackOff func()) error {
	entries, since, err := w.store.Range(ctx, HeadKey, "", 1)
	if err != nil {
		return fmt.Errorf("read head: %w", err)
	}
	for _, e := range entries {
		w.applyEntry(e)
	}
	for {
		events, next, err := w.store.Watch(ctx, HeadKey, since, watchWait)
		if errors.Is(err, kvstore.ErrCompacted) {
			resetBackOff() // the platform responds, so the next read need not wait long
		}
		if err != nil {
			return fmt.Errorf("watch head: %w", err)
		}
		resetBackOff()
		for _, e := range events {
			if !e.Deleted {
				w.applyEntry(e.Entry)
			}
		}
		since = next
	}
}

// applyEntry decodes the document in an entry and passes its configuration to the applier.
func (w *Watcher) applyEntry(e kvstore.Entry) {
	if e.Key != HeadKey {
		return
	}
	doc, err := decode(e.Value)
	if err != nil {
		klog.ErrorS(err, "Skipped configuration that cannot be decoded", "revision", e.Revision)
		return
	}
	if w.applier.Apply(&doc.Config) {
		klog.InfoS("Configuration updated from the platform", "version", doc.Config.Version, "revision", e.Revision)
	}
}
