package memstore

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"masticcart.example/masticcart/internal/kvstore"
)

// TestLeaseExpiry guards against keys that outlive their lease, keys that are deleted although the lease was renewed or
// the key detached from it, and watches that miss the deletion. The clock is virtual.
func TestLeaseExpiry(t *testing.T) { synctest.Test(t, testLeaseExpiry) }

func testLeaseExpiry(t *testing.T) {
	ctx := context.Background()
	now := time.Unix(1000, 0)
	s := New(func() time.Time { return now })
	lease, err := s.Grant(ctx, 10*time.Second)
	checkError(t, err, nil)
	for _, key := range []string{"b", "a", "kept"} {
		_, err = s.Put(ctx, key, []byte("v"), 0, lease)
		checkError(t, err, nil)
	}
	kept, err := s.Get(ctx, "kept")
	checkError(t, err, nil)
	since, err := s.Put(ctx, "kept", []byte("w"), kept.Revision, 0)
	checkError(t, err, nil)

	now = now.Add(9 * time.Second)
	checkError(t, s.KeepAlive(ctx, lease), nil)
	now = now.Add(9 * time.Second)
	_, err = s.Get(ctx, "a")
	checkError(t, err, nil)

	deleted := make(chan []kvstore.Event)
	go func() {
		events, _, err := s.Watch(ctx, "", since, time.Hour)
		if err != nil {
			t.Error(err)
		}
		deleted <- events
	}()
	synctest.Wait() // until the watch is blocked
	now = now.Add(time.Second)
	s.ExpireLeases()
	events := <-deleted
	if len(events) != 2 || events[0].Key != "a" || events[1].Key != "b" || !events[0].Deleted || !events[1].Deleted {
		t.Fatalf("events %+v, want the deletions of a and b", events)
	}
	checkError(t, s.KeepAlive(ctx, lease), kvstore.ErrLeaseNotFound)
	_, err = s.Get(ctx, "a")
	checkError(t, err, kvstore.ErrNotFound)
	_, err = s.Get(ctx, "kept")
	checkError(t, err, nil)
	_, err = s.Put(ctx, "a", nil, 0, lease)
	checkError(t, err, kvstore.ErrLeaseNotFound)
}

// TestOutage guards against a waiting watch that does not fail in an outage, and against faults with the wrong effect:
// a call in an outage changes nothing, a write whose response is lost is executed.
func TestOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(time.Now)
		begin := time.Now()
		watched := make(chan error)
		go func() {
			_, _, err := s.Watch(t.Context(), "", 0, time.Hour)
			watched <- err
		}()
		synctest.Wait()
		s.SetFaults(Faults{Down: true, Slow: time.Second})
		checkError(t, <-watched, kvstore.ErrUnavailable)
		_, err := s.Put(t.Context(), "a", nil, 0, 0)
		checkError(t, err, kvstore.ErrUnavailable)
		if took := time.Since(begin); took != time.Second {
			t.Errorf("the watch and the slow call took %s", took)
		}
		s.SetFaults(Faults{LoseAnswers: 1})
		_, err = s.Put(t.Context(), "a", nil, 0, 0)
		checkError(t, err, kvstore.ErrUnknownOutcome)
		_, err = s.Put(t.Context(), "a", nil, 1, 0)
		checkError(t, err, kvstore.ErrUnknownOutcome)
		e, err := s.Get(t.Context(), "a")
		if checkError(t, err, nil); e.Revision != 2 {
			t.Errorf("revision %d, want 2", e.Revision)
		}
	})
}

// TestRangeAndHistory guards against pages that skip or repeat keys, and against a watch that continues without error
// after events that it needs were discarded.
func TestRangeAndHistory(t *testing.T) {
	ctx := context.Background()
	s := New(time.Now)
	var revisions [25]kvstore.Revision
	last, err := kvstore.Revision(0), error(nil)
	for i := range MaxHistoryEvents + 10 {
		last, err = s.Put(ctx, fmt.Sprintf("k/%02d", i%25), []byte{1}, revisions[i%25], 0)
		checkError(t, err, nil)
		revisions[i%25] = last
	}
	_, err = s.Put(ctx, "l/0", nil, 0, 0)
	checkError(t, err, nil)
	after, pages := "", []int{}
	for n := 10; n == 10; {
		entries, _, err := s.Range(ctx, "k/", after, 10)
		checkError(t, err, nil)
		for i, e := range entries {
			if want := fmt.Sprintf("k/%02d", len(pages)*10+i); e.Key != want {
				t.Fatalf("key %s, want %s", e.Key, want)
			}
		}
		n = len(entries)
		pages = append(pages, n)
		after = entries[n-1].Key
	}
	if fmt.Sprint(pages) != "[10 10 5]" {
		t.Fatalf("pages %v", pages)
	}
	_, _, err = s.Watch(ctx, "k/", 1, 0)
	checkError(t, err, kvstore.ErrCompacted)
	_, _, err = s.Watch(ctx, "k/", last+100, 0)
	checkError(t, err, kvstore.ErrCompacted)
	events, revision, err := s.Watch(ctx, "k/", last-1500, 0)
	if checkError(t, err, nil); len(events) != MaxWatchEvents || revision != last-500 {
		t.Fatalf("%d events up to %d, want %d up to %d", len(events), revision, MaxWatchEvents, last-500)
	}
}

func checkError(t *testing.T, err, want error) {
	t.Helper()
	if !errors.Is(err, want) {
		t.Fatalf("error %v, want %v", err, want)
	}
}
