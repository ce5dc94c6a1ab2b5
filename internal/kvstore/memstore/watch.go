package memstore

import (
	"bytes"
	"context"
	"fmt"
	"sort"
	"strings"
	"time"

	"masticcart.example/masticcart/internal/kvstore"
)

// Bounds of the event history and of the answer to one watch. The bounds in bytes matter for values near
// kvstore.MaxValueBytes.
const (
	MaxHistoryEvents = 10_000
	MaxHistoryBytes  = 64 << 20
	MaxWatchEvents   = 1_000
	MaxWatchBytes    = 8 << 20
)

// minWatchTimer keeps a watch from spinning when a deadline is a fraction of a millisecond away.
const minWatchTimer = time.Millisecond

// history keeps the latest events, in revision order.
type history struct {
	events    []kvstore.Event
	bytes     int
	compacted kvstore.Revision // events up to this revision are gone
}

func (h *history) add(e kvstore.Event) {
	h.events = append(h.events, e)
	h.bytes += len(e.Value)
	for len(h.events) > MaxHistoryEvents || h.bytes > MaxHistoryBytes {
		oldest := h.events[0]
		h.events[0] = kvstore.Event{} // lets the value be collected while the array is still in use
		h.events = h.events[1:]
		h.bytes -= len(oldest.Value)
		h.compacted = oldest.Revision
	}
}

// Compact drops the history: watches from an earlier revision fail with kvstore.ErrCompacted.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = history{compacted: s.revision}
	s.wake()
}

// since returns events under the prefix after a revision, and whether it left some out for the bounds.
func (h *history) since(prefix string, revision kvstore.Revision) (events []kvstore.Event, truncated bool) {
	first := sort.Search(len(h.events), func(i int) bool { return h.events[i].Revision > revision })
	size := 0
	for _, e := range h.events[first:] {
		if !strings.HasPrefix(e.Key, prefix) {
			continue
		}
		if size += len(e.Value); len(events) == MaxWatchEvents || (size > MaxWatchBytes && len(events) > 0) {
			return events, true
		}
		e.Value = bytes.Clone(e.Value)
		events = append(events, e)
	}
	return events, false
}

// Watch waits for changes under the prefix after revision since. A revision that the store has not reached yet is
// reported as compacted, since the caller's view comes from other data.
func (s *Store) Watch(ctx context.Context, prefix string, since kvstore.Revision, wait time.Duration) (
	[]kvstore.Event, kvstore.Revision, error) {
	if err := s.enter(ctx, CallWatch); err != nil {
		return nil, 0, err
	}
	defer s.mu.Unlock()
	deadline := s.now().Add(wait)
	for {
		if since < s.history.compacted || since > s.revision {
			return nil, 0, fmt.Errorf("watch %q since %d: %w", prefix, since, kvstore.ErrCompacted)
		}
		events, truncated := s.history.since(prefix, since)
		if truncated {
			return events, events[len(events)-1].Revision, nil
		}
		if len(events) > 0 || !deadline.After(s.now()) {
			return events, s.revision, nil
		}
		since = s.revision
		if err := s.waitForChange(ctx, deadline); err != nil {
			return nil, 0, fmt.Errorf("watch %q: %w", prefix, err)
		}
	}
}

// waitForChange gives up the mutex until something changed, a lease lapses, the deadline passes or ctx ends.
func (s *Store) waitForChange(ctx context.Context, deadline time.Time) error {
	if next, ok := s.nextDeadline(); ok && next.Before(deadline) {
		deadline = next
	}
	timer := time.NewTimer(max(deadline.Sub(s.now()), minWatchTimer))
	defer timer.Stop()
	changed := s.changed
	s.mu.Unlock()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
	s.mu.Lock()
	if err := s.usable(ctx); err != nil {
		return err
	}
	s.expire()
	return nil
}
