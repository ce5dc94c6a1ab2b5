package memstore

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"masticcart.example/masticcart/internal/platform"
)

// TestLeaseExpiry guards against keys that outlive their lease, keys that vanish although it is renewed or although
// they were detached from it, and watches that miss the deletion. The clock is virtual.
func TestLeaseExpiry(t *testing.T) { synctest.Test(t, testLeaseExpiry) }

func testLeaseExpiry(t *testing.T) {
	ctx := context.Background()
	now := time.Unix(1000, 0)
	s := New(func() time.Time { return now })
	lease, err := s.Grant(ctx, 10*time.Second)
	check(t, err, nil)
	for _, key := range []string{"b", "a", "kept"} {
		_, err = s.Put(ctx, key, []byte("v"), 0, lease)
		check(t, err, nil)
	}
	kept, err := s.Get(ctx, "kept")
	check(t, err, nil)
	since, err := s.Put(ctx, "kept", []byte("w"), kept.Revision, 0)
	check(t, err, nil)

	now = now.Add(9 * time.Second)
	check(t, s.KeepAlive(ctx, lease), nil)
	now = now.Add(9 * time.Second)
	_, err = s.Get(ctx, "a")
	check(t, err, nil)

	deleted := make(chan []platform.Event)
	go func() {
		events, _, err := s.Watch(ctx, "", since, time.Hour)
		if err != nil {
			t.Error(err)
		}
		deleted <- events
	}()
	synctest.Wait() // until the watch waits
	now = now.Add(time.Second)
	s.Expire()
	events := <-deleted
	if len(events) != 2 || events[0].Key != "a" || events[1].Key != "b" || !events[0].Deleted || !events[1].Deleted {
		t.Fatalf("events %+v, want the deletions of a and b", events)
	}
	check(t, s.KeepAlive(ctx, lease), platform.ErrLeaseNotFound)
	_, err = s.Get(ctx, "a")
	check(t, err, platform.ErrNotFound)
	_, err = s.Get(ctx, "kept")
	check(t, err, nil)
	_, err = s.Put(ctx, "a", nil, 0, lease)
	check(t, err, platform.ErrLeaseNotFound)
}

// TestRangeAndHistory guards against pages that skip or repeat keys, and against a watch that goes on silently after
// the events that it needs were dropped.
func TestRangeAndHistory(t *testing.T) {
	ctx := context.Background()
	s := New(time.Now)
	var last platform.Revision
	for i := range HistoryEvents + 10 {
		revision, err := s.Put(ctx, fmt.Sprintf("k/%02d", i%25), []byte{1}, lastOf(t, s, i), 0)
		check(t, err, nil)
		last = revision
	}
	_, err := s.Put(ctx, "l/0", nil, 0, 0)
	check(t, err, nil)
	after, pages := "", []int{}
	for n := 10; n == 10; {
		entries, _, err := s.Range(ctx, "k/", after, 10)
		check(t, err, nil)
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
	check(t, err, platform.ErrCompacted)
	_, _, err = s.Watch(ctx, "k/", last+100, 0)
	check(t, err, platform.ErrCompacted)
	events, revision, err := s.Watch(ctx, "k/", last-1500, 0)
	if check(t, err, nil); len(events) != WatchEvents || revision != last-500 {
		t.Fatalf("%d events up to %d, want %d up to %d", len(events), revision, WatchEvents, last-500)
	}
}

// lastOf returns the revision of the key that the i-th write of TestRangeAndHistory goes to.
func lastOf(t *testing.T, s *Store, i int) platform.Revision {
	t.Helper()
	if i < 25 {
		return 0
	}
	e, err := s.Get(context.Background(), fmt.Sprintf("k/%02d", i%25))
	check(t, err, nil)
	return e.Revision
}

func check(t *testing.T, err, want error) {
	t.Helper()
	if !errors.Is(err, want) {
		t.Fatalf("error %v, want %v", err, want)
	}
}
