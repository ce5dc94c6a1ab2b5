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

// Bounds of the event history and of the response to one watch. The bounds in bytes are reached first if values exceed
// about 8 KiB; values may be as large as kvstore.MaxValueBytes.
const (
	MaxHistoryEvents = 10_000
	MaxHistoryBytes  = 64 << 20
	MaxWatchEvents   = 1_000
	MaxWatchBytes    = 8 << 20
)

// minWatchTimeout keeps a watch from busy-waiting when a deadline is a fraction of a millisecond away.
const minWatchTimeout = time.Millisecond

// history is a bounded buffer of the latest events, in revision order.
type history struct {
	events           []kvstore.Event
	bytes            int
	compactedThrough kvstore.Revision // events up to this revision have been discarded
}

func (h *history) add(e kvstore.Event) {
	h.events = append(h.events, e)
	h.bytes += len(e.Value)
	for len(h.events) > MaxHistoryEvents || h.bytes > MaxHistoryBytes {
		oldest := h.events[0]
		h.events[0] = kvstore.Event{} // releases the value while the array is still in use
		h.events = h.events[1:]
		h.bytes -= len(oldest.Value)
		h.compactedThrough = oldest.Revision
	}
}

// Compact discards the history: watches from an earlier revision fail with kvstore.ErrCompacted.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = history{compactedThrough: s.revision}
	s.notifyWatches()
}

// eventsAfter returns the events under the prefix after a revision, and whether the bounds cut them short.
func (h *history) eventsAfter(prefix string, revision kvstore.Revision) (events []kvstore.Event, truncated bool) {
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

// Watch waits for changes under the prefix after revision since. For a revision that the store has not reached yet it
// returns kvstore.ErrCompacted: the caller got that revision from other data and has to read the range again.
func (s *Store) Watch(ctx context.Context, prefix string, since kvstore.Revision, wait time.Duration) (
	[]kvstore.Event, kvstore.Revision, error) {
	if err := s.beginCall(ctx, CallWatch); err != nil {
		return nil, 0, err
	}
	defer s.mu.Unlock()
	deadline := s.now().Add(wait)
	for {
		if since < s.history.compactedThrough || since > s.revision {
			return nil, 0, fmt.Errorf("watch %q since %d: %w", prefix, since, kvstore.ErrCompacted)
		}
		events, truncated := s.history.eventsAfter(prefix, since)
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

// waitForChange releases the mutex until notifyWatches is called, a lease expires, the deadline passes or ctx ends, and
// returns with the mutex locked.
func (s *Store) waitForChange(ctx context.Context, deadline time.Time) error {
	if next, ok := s.nextDeadline(); ok && next.Before(deadline) {
		deadline = next
	}
	timer := time.NewTimer(max(deadline.Sub(s.now()), minWatchTimeout))
	defer timer.Stop()
	changed := s.changed
	s.mu.Unlock()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
	s.mu.Lock()
	if err := s.checkAvailable(ctx); err != nil {
		return err
	}
	s.expireLeases()
	return nil
}
