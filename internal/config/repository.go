package config

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/google/uuid"

	"masticcart.example/masticcart/internal/kvstore"
	"masticcart.example/masticcart/internal/model"
)

// HeadKey is the key of the document in the platform's store.
const HeadKey = "config/head"

// AnyBase as the base of a change applies the change to whatever version the head has.
const AnyBase int64 = -1

const (
	// historyLength is the number of most recent changes that the document keeps.
	historyLength = 50
	// maxAttempts bounds the attempts at a change that conflicts with other writers.
	maxAttempts = 20
	// resolveAttempts and resolveTimeout bound the search for the outcome of a write whose response was lost. The search
	// continues after the caller's context has ended, since that is often why the response was lost.
	resolveAttempts = 3
	resolveTimeout  = 3 * time.Second
	// retryInitial and retryMax bound the back-off between attempts.
	retryInitial = 10 * time.Millisecond
	retryMax     = 500 * time.Millisecond
)

// document is the stored value: the configuration and the most recent changes that led to it, oldest first.
type document struct {
	Config  model.Config `json:"config"`
	History []change     `json:"history,omitempty"`
}

// change is one accepted change. The nonce identifies the write that made it.
type change struct {
	Version int64  `json:"version"`
	Nonce   string `json:"nonce"`
	Summary string `json:"summary"`
}

// Edit modifies a configuration in place, or returns an error that refuses the change. It may be called several times
// for one change, each time with a new copy of the head.
type Edit = func(*model.Config) error

// Repository reads and changes the document in the platform's store. It is safe for concurrent use.
type Repository struct {
	store    kvstore.Store
	newNonce func() string
}

// NewRepository returns a repository that uses the store.
func NewRepository(store kvstore.Store) *Repository {
	return &Repository{store: store, newNonce: uuid.NewString}
}

// Load returns the head, or the empty configuration of version 0 when there is none.
func (r *Repository) Load(ctx context.Context) (*model.Config, error) {
	doc, _, err := r.readHead(ctx)
	if err != nil {
		return nil, err
	}
	return &doc.Config, nil
}

// Preview returns what Change would write, without writing it.
func (r *Repository) Preview(ctx context.Context, base int64, edit Edit) (*model.Config, error) {
	head, _, err := r.readHead(ctx)
	if err != nil {
		return nil, err
	}
	next, err := head.applyEdit(base, edit, "")
	if err != nil {
		return nil, err
	}
	return &next.Config, nil
}

// Change applies the edit to the head if the head has version base, and returns the accepted configuration. Every error
// except ErrUnknownOutcome means that the change was not applied.
func (r *Repository) Change(ctx context.Context, base int64, edit Edit) (*model.Config, error) {
	retryDelay := newBackOff(retryInitial, retryMax)
	for range maxAttempts {
		head, revision, err := r.readHead(ctx)
		if err != nil {
			return nil, err
		}
		next, err := head.applyEdit(base, edit, r.newNonce())
		if err != nil {
			return nil, err
		}
		applied, err := r.writeHead(ctx, next, revision)
		if err != nil {
			return nil, err
		}
		if applied {
			return &next.Config, nil
		}
		// Another writer replaced the head first. Unless the base is AnyBase, the next attempt returns a StaleError.
		if err := sleep(ctx, retryDelay.NextBackOff()); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrContention, err)
		}
	}
	return nil, ErrContention
}

// readHead returns the stored document and its revision, which is zero if the document does not exist yet.
func (r *Repository) readHead(ctx context.Context) (*document, kvstore.Revision, error) {
	entry, err := r.store.Get(ctx, HeadKey)
	if errors.Is(err, kvstore.ErrNotFound) {
		return &document{}, 0, nil
	}
	if err != nil {
		return nil, 0, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	doc, err := decode(entry.Value)
	return doc, entry.Revision, err
}

// writeHead replaces the head if it still has the expected revision, and reports whether it did. An error other than
// ErrUnknownOutcome means that it did not.
func (r *Repository) writeHead(ctx context.Context, doc *document, expect kvstore.Revision) (bool, error) {
	value, err := json.Marshal(doc)
	if err != nil {
		return false, &InvalidError{err}
	}
	if len(value) > kvstore.MaxValueBytes {
		return false, fmt.Errorf("%w: %d bytes, the limit is %d", ErrTooLarge, len(value), kvstore.MaxValueBytes)
	}
	_, err = r.store.Put(ctx, HeadKey, value, expect, 0)
	switch {
	case err == nil:
		return true, nil
	case errors.Is(err, kvstore.ErrUnknownOutcome):
		return r.resolveUnknownWrite(ctx, doc, value, expect)
	case errors.Is(err, kvstore.ErrConflict):
		return false, nil
	case errors.Is(err, kvstore.ErrUnavailable):
		return false, fmt.Errorf("%w: %w", ErrUnavailable, err)
	case errors.Is(err, kvstore.ErrTooLarge):
		return false, fmt.Errorf("%w: %w", ErrTooLarge, err)
	}
	// Any other error leaves the outcome open.
	return r.resolveUnknownWrite(ctx, doc, value, expect)
}

// resolveUnknownWrite finds out whether a write whose response was lost took effect. While the head still has the
// expected revision, the lost write may yet take effect. Repeating the write resolves that: only one of the two can
// pass the compare-and-swap, and both carry the same value.
func (r *Repository) resolveUnknownWrite(ctx context.Context, doc *document, value []byte, expect kvstore.Revision) (
	bool, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), resolveTimeout)
	defer cancel()
	retryDelay := newBackOff(retryInitial, retryMax)
	ownChange := doc.History[len(doc.History)-1]
	for range resolveAttempts {
		head, revision, err := r.readHead(ctx)
		switch {
		case err != nil: // retry after the delay
		case head.hasNonce(ownChange.Nonce):
			return true, nil
		case revision != expect && head.historyCovers(ownChange.Version):
			return false, nil
		case revision != expect:
			return false, fmt.Errorf("%w: version %d is no longer in the history", ErrUnknownOutcome, ownChange.Version)
		default:
			if _, err := r.store.Put(ctx, HeadKey, value, expect, 0); err == nil {
				return true, nil
			}
		}
		if sleep(ctx, retryDelay.NextBackOff()) != nil {
			break
		}
	}
	return false, fmt.Errorf("%w: version %d", ErrUnknownOutcome, ownChange.Version)
}

// applyEdit returns a new document with the edit applied to d, the next version number and the change in its history.
func (d *document) applyEdit(base int64, edit Edit, nonce string) (*document, error) {
	if base != AnyBase && base != d.Config.Version {
		return nil, &StaleError{Base: base, Head: d.Config.Version, Changes: d.changesSince(base)}
	}
	c := Clone(&d.Config)
	if err := edit(c); err != nil {
		return nil, &InvalidError{err}
	}
	c.Version = d.Config.Version + 1
	if err := Validate(c); err != nil {
		return nil, &InvalidError{err}
	}
	history := append([]change(nil), d.History...)
	history = append(history, change{Version: c.Version, Nonce: nonce, Summary: DescribeDiff(&d.Config, c)})
	if extra := len(history) - historyLength; extra > 0 {
		history = history[extra:]
	}
	return &document{Config: *c, History: history}, nil
}

// changesSince returns the summaries of the changes after a version, oldest first.
func (d *document) changesSince(version int64) []string {
	var lines []string
	for _, h := range d.History {
		if h.Version <= version {
			continue
		}
		if len(lines) == 0 && h.Version > version+1 {
			lines = append(lines, fmt.Sprintf("versions %d to %d are no longer in the history", version+1, h.Version-1))
		}
		lines = append(lines, fmt.Sprintf("version %d: %s", h.Version, h.Summary))
	}
	return lines
}

// hasNonce reports whether the history contains the change with the nonce.
func (d *document) hasNonce(nonce string) bool {
	for _, h := range d.History {
		if h.Nonce == nonce {
			return true
		}
	}
	return false
}

// historyCovers reports whether the history contains the change that made the version.
func (d *document) historyCovers(version int64) bool {
	return len(d.History) > 0 && d.History[0].Version <= version && version <= d.Config.Version
}

func decode(value []byte) (*document, error) {
	doc := &document{}
	if err := json.Unmarshal(value, doc); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	return doc, nil
}

func newBackOff(initial, maximum time.Duration) *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = initial, maximum
	b.Reset()
	return b
}

// sleep waits for d or until ctx ends, in which case it returns the context's error.
func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}
