package scheduler

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"k8s.io/klog/v2"

	"masticcart.example/masticcart/internal/batch"
	"masticcart.example/masticcart/internal/boottime"
	"masticcart.example/masticcart/internal/kvstore"
	"masticcart.example/masticcart/internal/wait"
)

// errDeposed means that a write found another leader, or records that this leader did not write.
var errDeposed = merry.Sentinel("scheduler: another leader has taken over")

const (
	// writeTimeout bounds one write; a repeated write finds out whether the one before took effect.
	writeTimeout = 1500 * time.Millisecond
	// writePause follows a write that failed.
	writePause = 100 * time.Millisecond
	// readTimeout bounds one page of a listing.
	readTimeout = 3 * time.Second
	// watchWait is one long poll on the intake; it bounds how long a silent connection hides accepted jobs.
	watchWait = 1500 * time.Millisecond
	// readPause follows a failed read.
	readPause = 100 * time.Millisecond
	// pageSize is the number of entries asked for at a time.
	pageSize = 500
)

// list reads all entries under a prefix and returns the revision from which to watch.
func (t *termRun) list(ctx context.Context, prefix string) ([]kvstore.Entry, kvstore.Revision, error) {
	var all []kvstore.Entry
	var from kvstore.Revision
	after := ""
	for {
		pageCtx, cancel := context.WithTimeout(ctx, readTimeout)
		page, at, err := t.service.store.Range(pageCtx, prefix, after, pageSize)
		cancel()
		if err != nil {
			return nil, 0, err
		}
		if from == 0 {
			from = at
		}
		all = append(all, page...)
		if len(page) < pageSize {
			return all, from, nil
		}
		after = page[len(page)-1].Key
	}
}

// load reads what was accepted and recorded. It returns the revision from which to watch the intake.
func (t *termRun) load(ctx context.Context) (kvstore.Revision, error) {
	records, _, err := t.list(ctx, RecordsPrefix)
	if err != nil {
		return 0, err
	}
	byJob := make(map[string]kvstore.Entry, len(records))
	for _, r := range records {
		byJob[strings.TrimPrefix(r.Key, RecordsPrefix)] = r
	}
	entries, revision, err := t.list(ctx, IntakePrefix)
	if err != nil {
		return 0, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.core.SetCatalog(t.service.catalog())
	for _, e := range entries {
		t.apply(e, byJob)
	}
	klog.InfoS("State loaded", "term", t.term.Number, "jobs", len(t.core.jobs), "open", len(t.core.order),
		"records", len(records), "agents", len(t.sessions), "revision", revision)
	return revision, nil
}

// apply takes one entry of the intake. The mutex is held.
func (t *termRun) apply(e kvstore.Entry, records map[string]kvstore.Entry) {
	now, wall := boottime.Now(), time.Now()
	switch {
	case strings.HasPrefix(e.Key, JobsPrefix):
		var j batch.Job
		if err := json.Unmarshal(e.Value, &j); err != nil {
			klog.ErrorS(err, "Accepted job not readable", "key", e.Key, "revision", e.Revision)
			return
		}
		if t.core.HasJob(j.ID) {
			return // told by the entry that stored it, and seen by the watch as well
		}
		record := records[j.ID]
		if err := t.core.AddJob(j, record.Value, record.Revision, now, wall); err != nil {
			klog.ErrorS(err, "Record not usable", "job", j.ID, "revision", record.Revision)
			return
		}
		klog.InfoS("Job learned", "job", j.ID, "queue", j.Queue.Name, "team", j.Team, "steps", len(j.Steps),
			"revision", e.Revision, "recordRevision", record.Revision, "occurrences", j.Occurrences())
	case strings.HasPrefix(e.Key, CancelsPrefix):
		id := strings.TrimPrefix(e.Key, CancelsPrefix)
		if t.core.Cancel(id, now, wall) {
			klog.InfoS("Cancellation learned", "job", id, "revision", e.Revision)
		}
	case strings.HasPrefix(e.Key, AgentsPrefix):
		if a, ok := registration(e); ok {
			t.register(a)
		}
	case strings.HasPrefix(e.Key, EntriesPrefix):
		if a, ok := registration(e); ok {
			t.service.setEntry(a)
		}
	}
}

// registration reads the entry of an agent or of an entry host.
func registration(e kvstore.Entry) (Registration, bool) {
	var r Registration
	if err := json.Unmarshal(e.Value, &r); err != nil {
		klog.ErrorS(err, "Registration not readable", "key", e.Key, "revision", e.Revision)
		return r, false
	}
	return r, true
}

// watch follows the intake until ctx ends.
func (t *termRun) watch(ctx context.Context, since kvstore.Revision) {
	for ctx.Err() == nil {
		events, at, err := t.service.store.Watch(ctx, IntakePrefix, since, watchWait)
		switch {
		case err == nil:
			t.take(events)
			since = at
		case errors.Is(err, kvstore.ErrCompacted):
			klog.InfoS("Intake listed again", "reason", "history is gone", "since", since)
			entries, from, err := t.list(ctx, IntakePrefix)
			if err != nil {
				klog.InfoS("Intake not listed", "err", err)
				wait.For(ctx, readPause)
				continue
			}
			t.mu.Lock()
			for _, e := range entries {
				t.apply(e, nil)
			}
			t.mu.Unlock()
			t.poke()
			since = from
		case ctx.Err() == nil:
			klog.V(1).InfoS("Intake watch ended", "err", err)
			wait.For(ctx, readPause)
		}
	}
}

func (t *termRun) take(events []kvstore.Event) {
	if len(events) == 0 {
		return
	}
	t.mu.Lock()
	for _, e := range events {
		if !e.Deleted {
			t.apply(e.Entry, nil)
		}
	}
	t.mu.Unlock()
	t.poke()
}

// write carries out batches until ctx ends or leadership is lost.
func (t *termRun) write(ctx context.Context) {
	for {
		select {
		case b := <-t.batches:
			started := time.Now()
			revision, err := t.commit(ctx, b)
			if err != nil {
				if ctx.Err() == nil {
					t.depose(err)
				}
				return
			}
			t.service.metrics.write(time.Since(started))
			t.idle <- struct{}{}
			t.committed(b, revision)
		case <-ctx.Done():
			return
		}
	}
}

// commit writes a batch, again and again until its outcome is known.
func (t *termRun) commit(ctx context.Context, b *WriteBatch) (kvstore.Revision, error) {
	txn := kvstore.Txn{Expect: []kvstore.Condition{t.term.Condition}}
	for _, c := range b.Changes {
		txn.Expect = append(txn.Expect, kvstore.Condition{Key: RecordKey(c.Job), Revision: c.Expect})
		if c.Delete {
			txn.Deletes = append(txn.Deletes, RecordKey(c.Job), JobKey(c.Job), CancelKey(c.Job))
		} else {
			txn.Puts = append(txn.Puts, kvstore.Write{Key: RecordKey(c.Job), Value: c.Record})
		}
	}
	for failing := false; ; failing = true {
		callCtx, cancel := context.WithTimeout(ctx, writeTimeout)
		revision, err := t.service.store.Txn(callCtx, txn)
		cancel()
		var conflict *kvstore.ConflictError
		switch {
		case err == nil:
			if failing {
				klog.InfoS("Records written after failures", "revision", revision)
			}
			return revision, nil
		case errors.As(err, &conflict):
			return t.resolve(b, conflict)
		case ctx.Err() != nil:
			return 0, ctx.Err()
		case !failing:
			klog.InfoS("Records not written", "jobs", len(b.Changes), "err", err)
		}
		wait.For(ctx, writePause)
	}
}

// resolve tells from a conflict whether an earlier try of the same batch took effect.
func (t *termRun) resolve(b *WriteBatch, conflict *kvstore.ConflictError) (kvstore.Revision, error) {
	if now := conflict.Find(t.term.Condition.Key); now.Revision != t.term.Condition.Revision {
		return 0, merry.Wrap(errDeposed, merry.AppendMessagef("leader key at %d, term %d", now.Revision, t.term.Number))
	}
	var revision kvstore.Revision
	for _, c := range b.Changes {
		now := conflict.Find(RecordKey(c.Job))
		if c.Delete && now.Revision == 0 || !c.Delete && bytes.Equal(now.Value, c.Record) {
			revision = now.Revision
			continue
		}
		return 0, merry.Wrap(errDeposed, merry.AppendMessagef("record of job %s at %d, expected %d",
			c.Job, now.Revision, c.Expect))
	}
	klog.InfoS("Records found written", "revision", revision, "jobs", len(b.Changes))
	return revision, nil
}
