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
	// watchWait is how long one watch call stays open. It bounds the number of calls while nothing changes.
	watchWait = 30 * time.Second
	// watchRetryInitial and watchRetryMax are the pauses after failed calls. The longest leaves most of
	// protocol.ConfigBound to the delivery once the platform is back.
	watchRetryInitial = 100 * time.Millisecond
	watchRetryMax     = 3 * time.Second
)

// Watcher follows the document in the platform and hands each version to an applier.
type Watcher struct {
	store   kvstore.Store
	applier *Applier
}

// NewWatcher returns a watcher; Run starts it.
func NewWatcher(store kvstore.Store, applier *Applier) *Watcher {
	return &Watcher{store: store, applier: applier}
}

// Run follows the document until ctx ends. It runs in the caller's goroutine and starts no other.
func (w *Watcher) Run(ctx context.Context) {
	pause := newBackOff(watchRetryInitial, watchRetryMax)
	for ctx.Err() == nil {
		err := w.follow(ctx, pause.Reset)
		if ctx.Err() != nil {
			return
		}
		delay := pause.NextBackOff()
		klog.InfoS("Retry configuration watch", "version", w.applier.Version(), "delay", delay, "err", err)
		if sleep(ctx, delay) != nil {
			return
		}
	}
}

// follow reads the head and then watches it until a call fails. It reads the head again after each failure, so a
// change that was missed meanwhile is found even if the platform no longer keeps its event.
func (w *Watcher) follow(ctx context.Context, succeeded func()) error {
	entries, since, err := w.store.Range(ctx, HeadKey, "", 1)
	if err != nil {
		return fmt.Errorf("read head: %w", err)
	}
	for _, e := range entries {
		w.apply(e)
	}
	for {
		events, next, err := w.store.Watch(ctx, HeadKey, since, watchWait)
		if errors.Is(err, kvstore.ErrCompacted) {
			succeeded() // the service answers, so the next read needs no long pause
		}
		if err != nil {
			return fmt.Errorf("watch head: %w", err)
		}
		succeeded()
		for _, e := range events {
			if !e.Deleted {
				w.apply(e.Entry)
			}
		}
		since = next
	}
}

func (w *Watcher) apply(e kvstore.Entry) {
	if e.Key != HeadKey {
		return
	}
	doc, err := decode(e.Value)
	if err != nil {
		klog.ErrorS(err, "Skip configuration", "revision", e.Revision)
		return
	}
	if w.applier.Apply(&doc.Config) {
		klog.InfoS("Apply configuration", "version", doc.Config.Version, "revision", e.Revision)
	}
}
