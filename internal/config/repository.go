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

// HeadKey is the platform key of the document.
const HeadKey = "config/head"

// AnyBase as the base of a change means "whatever the head is".
const AnyBase int64 = -1

const (
	// historyLength is the number of changes that the document remembers.
	historyLength = 50
	// maxAttempts bounds the repetitions of a change that loses to other writers.
	maxAttempts = 20
	// resolveAttempts and resolveTimeout bound the search for the outcome of a write whose answer was lost. The
	// search continues after the caller's context has ended, since that is often what lost the answer.
	resolveAttempts = 3
	resolveTimeout  = 3 * time.Second
	// retryInitial and retryMax are the pauses between attempts.
	retryInitial = 10 * time.Millisecond
	retryMax     = 500 * time.Millisecond
)

// document is the stored value: the configuration and the changes that led to it, oldest first.
type document struct {
	Config  model.Config `json:"config"`
	History []change     `json:"history,omitempty"`
}

// change is one accepted change. The nonce identifies its writer.
type change struct {
	Version int64  `json:"version"`
	Nonce   string `json:"nonce"`
	Summary string `json:"summary"`
}

// Edit modifies a configuration in place or refuses to. It may be called several times for one change, each time
// on a fresh copy of the head.
type Edit = func(*model.Config) error

// Repository reads and changes the document in the platform. It is safe for concurrent use.
type Repository struct {
	store    kvstore.Store
	newNonce func() string
}

// NewRepository returns a repository over the store.
func NewRepository(store kvstore.Store) *Repository {
	return &Repository{store: store, newNonce: uuid.NewString}
}

// Load returns the head, or the empty configuration of version 0 when there is none.
func (r *Repository) Load(ctx context.Context) (*model.Config, error) {
	doc, _, err := r.read(ctx)
	if err != nil {
		return nil, err
	}
	return &doc.Config, nil
}

// Preview returns what Change would write, without writing it.
func (r *Repository) Preview(ctx context.Context, base int64, edit Edit) (*model.Config, error) {
	head, _, err := r.read(ctx)
	if err != nil {
		return nil, err
	}
	next, err := head.next(base, edit, "")
	if err != nil {
		return nil, err
	}
	return &next.Config, nil
}

// Change applies the edit to the head if the head has version base, and returns the accepted configuration.
// Every error but ErrUnknownOutcome proves that the change was not applied.
func (r *Repository) Change(ctx context.Context, base int64, edit Edit) (*model.Config, error) {
	pause := newBackOff(retryInitial, retryMax)
	for range maxAttempts {
		head, revision, err := r.read(ctx)
		if err != nil {
			return nil, err
		}
		next, err := head.next(base, edit, r.newNonce())
		if err != nil {
			return nil, err
		}
		applied, err := r.write(ctx, next, revision)
		if err != nil {
			return nil, err
		}
		if applied {
			return &next.Config, nil
		}
		// Another writer won. The next pass refuses a fixed base as stale.
		if err := sleep(ctx, pause.NextBackOff()); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrContention, err)
		}
	}
	return nil, ErrContention
}

// read returns the stored document and its revision; zero stands for a document that does not exist yet.
func (r *Repository) read(ctx context.Context) (*document, kvstore.Revision, error) {
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

// write reports whether the document became the head. An error other than ErrUnknownOutcome means that it did not.
func (r *Repository) write(ctx context.Context, doc *document, expect kvstore.Revision) (bool, error) {
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
		return r.resolve(ctx, doc, value, expect)
	case errors.Is(err, kvstore.ErrConflict):
		return false, nil
	case errors.Is(err, kvstore.ErrUnavailable):
		return false, fmt.Errorf("%w: %w", ErrUnavailable, err)
	case errors.Is(err, kvstore.ErrTooLarge):
		return false, fmt.Errorf("%w: %w", ErrTooLarge, err)
	}
	// Any other error proves nothing.
	return r.resolve(ctx, doc, value, expect)
}

// resolve finds out whether a write whose answer was lost took effect. While the head still has the expected
// revision, the lost write may yet arrive; repeating it settles that, since only one of the two can win the
// compare-and-swap and both carry the same value.
func (r *Repository) resolve(ctx context.Context, doc *document, value []byte, expect kvstore.Revision) (bool, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), resolveTimeout)
	defer cancel()
	pause := newBackOff(retryInitial, retryMax)
	mine := doc.History[len(doc.History)-1]
	for range resolveAttempts {
		head, revision, err := r.read(ctx)
		switch {
		case err != nil: // try again
		case head.contains(mine.Nonce):
			return true, nil
		case revision != expect && head.covers(mine.Version):
			return false, nil
		case revision != expect:
			return false, fmt.Errorf("%w: version %d is no longer in the history", ErrUnknownOutcome, mine.Version)
		default:
			if _, err := r.store.Put(ctx, HeadKey, value, expect, 0); err == nil {
				return true, nil
			}
		}
		if sleep(ctx, pause.NextBackOff()) != nil {
			break
		}
	}
	return false, fmt.Errorf("%w: version %d", ErrUnknownOutcome, mine.Version)
}

// next returns the document that follows d after the edit.
func (d *document) next(base int64, edit Edit, nonce string) (*document, error) {
	if base != AnyBase && base != d.Config.Version {
		return nil, &StaleError{Base: base, Head: d.Config.Version, Changes: d.since(base)}
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

// since tells in words what changed after a version.
func (d *document) since(version int64) []string {
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

func (d *document) contains(nonce string) bool {
	for _, h := range d.History {
		if h.Nonce == nonce {
			return true
		}
	}
	return false
}

// covers reports whether the history tells who wrote the version.
func (d *document) covers(version int64) bool {
	return len(d.History) > 0 && d.History[0].Version <= version && version <= d.Config.Version
}

func decode(value []byte) (*document, error) {
	doc := &document{}
	if err := json.Unmarshal(value, doc); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	return doc, nil
}

func newBackOff(initial, longest time.Duration) *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = initial, longest
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
