package scheduler

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"k8s.io/klog/v2"

	"masticcart.example/masticcart/internal/batch"
	"masticcart.example/masticcart/internal/boottime"
	"masticcart.example/masticcart/internal/kvstore"
	"masticcart.example/masticcart/internal/wait"
)

// errDeposed means that a write found the key of another leader or records that this leader did not write, or that an
// agent rejected the term of this leader as stale.
var errDeposed = merry.Sentinel("scheduler: another leader has taken over")

const (
	// writeTimeout limits one attempt of a write. The next attempt detects whether this one took effect.
	writeTimeout = 1500 * time.Millisecond
	// writeRetryDelay is the delay after a failed write.
	writeRetryDelay = 100 * time.Millisecond
	// readTimeout limits the read of one page.
	readTimeout = 3 * time.Second
	// watchWait is the duration of one long poll on the intake. It limits how long a dead connection hides accepted
	// jobs.
	watchWait = 1500 * time.Millisecond
	// readRetryDelay is the delay after a failed read.
	readRetryDelay = 100 * time.Millisecond
	// pageSize is the number of store entries per page.
	pageSize = 500
)

// listPrefix returns all entries under a prefix, and the revision from which to watch the prefix.
func (t *leaderTerm) listPrefix(ctx context.Context, prefix string) ([]kvstore.Entry, kvstore.Revision, error) {
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

// load restores the core from the intake and the records. It returns the revision from which to watch the intake.
func (t *leaderTerm) load(ctx context.Context) (kvstore.Revision, error) {
	records, _, err := t.listPrefix(ctx, RecordsPrefix)
	if err != nil {
		return 0, err
	}
	byJob := make(map[string]kvstore.Entry, len(records))
	for _, r := range records {
		byJob[strings.TrimPrefix(r.Key, RecordsPrefix)] = r
	}
	entries, revision, err := t.listPrefix(ctx, IntakePrefix)
	if err != nil {
		return 0, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.core.SetCatalog(t.service.operator.Catalog())
	t.core.SetEvacuations(t.service.operator.Evacuations())
	for _, e := range entries {
		t.applyEntry(e, byJob)
	}
	t.appliedThrough = revision
	klog.InfoS("State loaded", "term", t.term.Number, "jobs", len(t.core.jobs), "open", len(t.core.openJobs),
		"records", len(records), "agents", len(t.sessions), "revision", revision)
	return revision, nil
}

// applyEntry applies one entry of the intake. The caller holds t.mu.
func (t *leaderTerm) applyEntry(e kvstore.Entry, records map[string]kvstore.Entry) {
	now, wall := boottime.Now(), time.Now()
	switch {
	case strings.HasPrefix(e.Key, JobsPrefix):
		var j batch.Job
		err := json.Unmarshal(e.Value, &j)
		if err == nil && JobKey(j.ID) != e.Key {
			err = fmt.Errorf("the entry has the job %q", j.ID)
		}
		if err == nil {
			err = j.Validate()
		}
		if err != nil {
			klog.ErrorS(err, "Ignored invalid entry of a job", "key", e.Key, "revision", e.Revision)
			return
		}
		if t.core.HasJob(j.ID) {
			return // delivered both by the process that stored it and by the watch
		}
		if e.Revision <= t.appliedThrough {
			klog.InfoS("Ignored late entry of a job", "job", j.ID, "revision", e.Revision, "applied", t.appliedThrough)
			return
		}
		record := records[j.ID]
		if err := t.core.AddJob(j, record.Value, record.Revision, now, wall); err != nil {
			klog.ErrorS(err, "Cannot restore job from its record", "job", j.ID, "revision", record.Revision)
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
		if a, ok := decodeRegistration(e); ok {
			t.registerAgent(a)
		}
	case strings.HasPrefix(e.Key, EntriesPrefix):
		if a, ok := decodeRegistration(e); ok {
			t.service.setEntryAddress(a)
		}
	}
}

// decodeRegistration decodes the registration of an agent or of an entry.
func decodeRegistration(e kvstore.Entry) (Registration, bool) {
	var r Registration
	err := json.Unmarshal(e.Value, &r)
	if err == nil && r.Node == "" {
		err = errors.New("no node")
	}
	if err == nil {
		_, err = netip.ParseAddrPort(r.Address)
	}
	if err != nil {
		klog.ErrorS(err, "Ignored invalid registration", "key", e.Key, "revision", e.Revision)
		return r, false
	}
	return r, true
}

// watch applies changes of the intake until ctx ends.
func (t *leaderTerm) watch(ctx context.Context, since kvstore.Revision) {
	for ctx.Err() == nil {
		events, at, err := t.service.store.Watch(ctx, IntakePrefix, since, watchWait)
		switch {
		case err == nil:
			t.applyEvents(events)
			since = at
			t.noteApplied(since)
		case errors.Is(err, kvstore.ErrCompacted):
			klog.InfoS("Listing the intake again", "reason", "watched revision is compacted", "since", since)
			entries, from, err := t.listPrefix(ctx, IntakePrefix)
			if err != nil {
				klog.InfoS("Cannot list the intake", "err", err)
				wait.For(ctx, readRetryDelay)
				continue
			}
			t.mu.Lock()
			for _, e := range entries {
				t.applyEntry(e, nil)
			}
			t.appliedThrough = from
			t.mu.Unlock()
			t.wakeLoop()
			since = from
		case ctx.Err() == nil:
			klog.V(1).InfoS("Intake watch failed", "err", err)
			wait.For(ctx, readRetryDelay)
		}
	}
}

// noteApplied records that all changes of the intake up to a revision are applied.
func (t *leaderTerm) noteApplied(revision kvstore.Revision) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.appliedThrough = revision
}

func (t *leaderTerm) applyEvents(events []kvstore.Event) {
	if len(events) == 0 {
		return
	}
	t.mu.Lock()
	for _, e := range events {
		if !e.Deleted {
			t.applyEntry(e.Entry, nil)
		}
	}
	t.mu.Unlock()
	t.wakeLoop()
}

// writeBatches writes batches until ctx ends or the leadership is lost.
func (t *leaderTerm) writeBatches(ctx context.Context) {
	for {
		select {
		case b := <-t.batches:
			started := time.Now()
			revision, err := t.commit(ctx, b)
			if err != nil {
				if ctx.Err() == nil {
					t.endTerm(err)
				}
				return
			}
			t.service.metrics.recordWrite(time.Since(started))
			t.idleWriters <- struct{}{}
			t.batchCommitted(b, revision)
		case <-ctx.Done():
			return
		}
	}
}

// commit writes a batch and retries until the outcome is known.
func (t *leaderTerm) commit(ctx context.Context, b *WriteBatch) (kvstore.Revision, error) {
	txn := kvstore.Txn{Expect: []kvstore.Condition{t.term.Condition}}
	for _, c := range b.Changes {
		if c.DeleteCancel {
			txn.Expect = append(txn.Expect, kvstore.Condition{Key: JobKey(c.Job)})
			txn.Deletes = append(txn.Deletes, CancelKey(c.Job))
			continue
		}
		txn.Expect = append(txn.Expect, kvstore.Condition{Key: RecordKey(c.Job), Revision: c.Expect})
		if c.Delete {
			txn.Deletes = append(txn.Deletes, RecordKey(c.Job), JobKey(c.Job), CancelKey(c.Job))
		} else {
			txn.Puts = append(txn.Puts, kvstore.Write{Key: RecordKey(c.Job), Value: c.Record})
		}
	}
	for retrying := false; ; retrying = true {
		callCtx, cancel := context.WithTimeout(ctx, writeTimeout)
		revision, err := t.service.store.Txn(callCtx, txn)
		cancel()
		var conflict *kvstore.ConflictError
		switch {
		case err == nil:
			if retrying {
				klog.InfoS("Records written after retries", "revision", revision)
			}
			return revision, nil
		case errors.As(err, &conflict):
			return t.resolveConflict(b, conflict)
		case ctx.Err() != nil:
			return 0, ctx.Err()
		case !retrying:
			klog.InfoS("Records not written", "jobs", len(b.Changes), "err", err)
		}
		wait.For(ctx, writeRetryDelay)
	}
}

// resolveConflict determines from a conflict whether an earlier attempt to write the same batch took effect. It returns
// errDeposed if the records are not those of this leader.
func (t *leaderTerm) resolveConflict(b *WriteBatch, conflict *kvstore.ConflictError) (kvstore.Revision, error) {
	if now := conflict.Find(t.term.Condition.Key); now.Revision != t.term.Condition.Revision {
		return 0, merry.Wrap(errDeposed,
			merry.AppendMessagef("leader key has revision %d in term %d", now.Revision, t.term.Number))
	}
	var revision kvstore.Revision
	for _, c := range b.Changes {
		if c.DeleteCancel { // the job may have been stored since an earlier attempt took effect
			continue
		}
		now := conflict.Find(RecordKey(c.Job))
		if c.Delete && now.Revision == 0 || !c.Delete && bytes.Equal(now.Value, c.Record) {
			revision = now.Revision
			continue
		}
		return 0, merry.Wrap(errDeposed, merry.AppendMessagef("record of job %s has revision %d, expected %d",
			c.Job, now.Revision, c.Expect))
	}
	klog.InfoS("Records found written", "revision", revision, "jobs", len(b.Changes))
	return revision, nil
}
