// Package jobs keeps the durable job records in the platform's key-value service. A record changes by
// compare-and-swap only, and a write whose answer was lost is resolved by reading back its nonce.
package jobs

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/google/uuid"

	"masticcart.example/masticcart/internal/kvstore"
	"masticcart.example/masticcart/internal/model"
)

// Errors of this package.
var (
	// ErrNotFound means that no such job was accepted, or that its record was removed after retention.
	ErrNotFound = merry.New("job not found")
	// ErrConflict means that the record changed since it was read; the write took no effect.
	ErrConflict = merry.New("job record changed")
	// ErrUnavailable means that the platform cannot be reached; a write certainly took no effect.
	ErrUnavailable = merry.New("platform unavailable")
	// ErrUnknownOutcome means that a write may have taken effect and could not be read back.
	ErrUnknownOutcome = merry.New("outcome of the write is unknown")
	// ErrDifferentBody means that the id was used before for other work.
	ErrDifferentBody = merry.New("the id belongs to a job with a different body")
	// ErrCorrupt means that a record cannot be decoded.
	ErrCorrupt = merry.New("job record cannot be decoded")
)

const (
	recordPrefix = "jobs/"
	openPrefix   = "open/"
	// rangeLimit is the page size of range calls.
	rangeLimit = 500
	// readBackTries and readBackDelay bound the resolution of a lost answer within one call.
	readBackTries = 3
	readBackDelay = 50 * time.Millisecond
)

// Record is a job with the revision that the next write must name.
type Record struct {
	Job      model.Job
	Revision kvstore.Revision
}

// Store reads and writes job records.
type Store struct {
	kv    kvstore.Store
	now   func() time.Time
	pause func(ctx context.Context, d time.Duration) error
}

// NewStore returns a store over the platform's service.
func NewStore(kv kvstore.Store, now func() time.Time) *Store {
	return &Store{kv: kv, now: now, pause: sleep}
}

// WithSleep returns a copy of the store that waits between tries with the given function, for virtual clocks.
func (s *Store) WithSleep(pause func(ctx context.Context, d time.Duration) error) *Store {
	c := *s
	c.pause = pause
	return &c
}

func recordKey(k model.JobKey) string { return recordPrefix + k.Team + "/" + k.ID }

func openKey(cell string, k model.JobKey) string {
	return openPrefix + cell + "/" + k.Team + "/" + k.ID
}

// parseOpenKey returns the job of an entry of the open index.
func parseOpenKey(key string) (model.JobKey, bool) {
	parts := strings.Split(key, "/")
	if len(parts) != 4 {
		return model.JobKey{}, false
	}
	return model.JobKey{Team: parts[2], ID: parts[3]}, true
}

// translate turns the platform's errors into this package's.
func translate(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, kvstore.ErrNotFound):
		return merry.Wrap(ErrNotFound, merry.WithCause(err))
	case errors.Is(err, kvstore.ErrConflict):
		return merry.Wrap(ErrConflict, merry.WithCause(err))
	case errors.Is(err, kvstore.ErrUnknownOutcome):
		return merry.Wrap(ErrUnknownOutcome, merry.WithCause(err))
	case errors.Is(err, kvstore.ErrUnavailable):
		return merry.Wrap(ErrUnavailable, merry.WithCause(err))
	}
	return merry.Prepend(err, "jobs")
}

// Get returns the record of a job.
func (s *Store) Get(ctx context.Context, key model.JobKey) (Record, error) {
	e, err := s.kv.Get(ctx, recordKey(key))
	if err != nil {
		return Record{}, translate(err)
	}
	return decode(e)
}

func decode(e kvstore.Entry) (Record, error) {
	var j model.Job
	if err := json.Unmarshal(e.Value, &j); err != nil {
		return Record{}, merry.Wrap(ErrCorrupt, merry.AppendMessagef("%s: %v", e.Key, err))
	}
	return Record{Job: j, Revision: e.Revision}, nil
}

// Write replaces the record at the revision. A lost answer is read back; ErrUnknownOutcome remains only if
// that fails too.
func (s *Store) Write(ctx context.Context, job model.Job, at kvstore.Revision) (Record, error) {
	job.Nonce = uuid.NewString()
	value, err := json.Marshal(job)
	if err != nil {
		return Record{}, merry.Prepend(err, "jobs: encode")
	}
	rev, err := s.kv.Put(ctx, recordKey(job.Spec.Key), value, at, 0)
	if errors.Is(err, kvstore.ErrUnknownOutcome) {
		return s.readBack(ctx, job)
	}
	if err != nil {
		return Record{}, translate(err)
	}
	return Record{Job: job, Revision: rev}, nil
}

// readBack finds out whether the write of this job version took effect. Another nonce does not prove that it
// did not: the version may have been replaced already, or a slow platform may still apply it while the revision
// stands still. Callers read the record again and act on what it says.
func (s *Store) readBack(ctx context.Context, job model.Job) (Record, error) {
	for try := range readBackTries {
		if try > 0 && s.pause(ctx, readBackDelay) != nil {
			break
		}
		r, err := s.Get(ctx, job.Spec.Key)
		if err == nil && r.Job.Nonce == job.Nonce {
			return r, nil
		}
		if err == nil || errors.Is(err, ErrNotFound) {
			break
		}
	}
	return Record{}, ErrUnknownOutcome
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// Submit accepts a job durably: the record and its entry in the open index, in one transaction. If the id is known it
// returns the existing record and false, or ErrDifferentBody.
func (s *Store) Submit(ctx context.Context, spec model.JobSpec, cell string) (Record, bool, error) {
	now := s.now().UTC()
	job := model.Job{Spec: spec, Cell: cell, State: model.JobAccepted, Submitted: now, Nonce: uuid.NewString()}
	value, err := json.Marshal(job)
	if err != nil {
		return Record{}, false, merry.Prepend(err, "jobs: encode")
	}
	stamp, err := now.MarshalText()
	if err != nil {
		return Record{}, false, merry.Prepend(err, "jobs: encode")
	}
	rev, err := s.kv.Txn(ctx, kvstore.Txn{
		Expect: []kvstore.Condition{{Key: recordKey(spec.Key)}},
		Puts:   []kvstore.Write{{Key: recordKey(spec.Key), Value: value}, {Key: openKey(cell, spec.Key), Value: stamp}},
	})
	switch {
	case err == nil:
		return Record{Job: job, Revision: rev}, true, nil
	case errors.Is(err, kvstore.ErrConflict), errors.Is(err, kvstore.ErrUnknownOutcome):
		existing, getErr := s.Get(ctx, spec.Key)
		if getErr != nil {
			return Record{}, false, translate(err)
		}
		joined, err := joinExisting(existing, spec)
		return joined, err == nil && existing.Job.Nonce == job.Nonce, err
	}
	return Record{}, false, translate(err)
}

// joinExisting compares everything that the caller sent except the deadline, which is relative to the call.
func joinExisting(r Record, spec model.JobSpec) (Record, error) {
	known := r.Job.Spec
	known.Deadline, spec.Deadline = time.Time{}, time.Time{}
	a, errA := json.Marshal(known)
	b, errB := json.Marshal(spec)
	if errA != nil || errB != nil || !bytes.Equal(a, b) {
		return Record{}, ErrDifferentBody
	}
	return r, nil
}

// Cancel finishes a job that was never claimed, or asks the owner to stop a claimed one. A finished job is
// returned as it is.
func (s *Store) Cancel(ctx context.Context, key model.JobKey) (Record, error) {
	for {
		r, err := s.Get(ctx, key)
		if err != nil {
			return Record{}, err
		}
		if r.Job.State == model.JobFinished || r.Job.CancelRequested {
			return r, s.touchChanged(ctx, r.Job) // the touch of an earlier call may have failed
		}
		next := r.Job
		if next.State == model.JobAccepted {
			next = Finished(next, model.Outcome{Result: model.ResultCancelled, Ran: next.Ran, Reason: "cancelled by its caller"}, s.now())
		}
		next.CancelRequested = true
		written, err := s.Write(ctx, next, r.Revision)
		if errors.Is(err, ErrConflict) {
			continue
		}
		if err != nil {
			return Record{}, err
		}
		return written, s.touchChanged(ctx, written.Job)
	}
}

// touchChanged tells the owner of a written record. Without it a claimed job goes on, so a failure leaves the
// outcome of the call unknown; a finished record stands whether or not the owner learns of it at once.
func (s *Store) touchChanged(ctx context.Context, j model.Job) error {
	if err := s.Touch(ctx, j.Cell, j.Spec.Key); err != nil && j.State != model.JobFinished {
		return merry.Wrap(ErrUnknownOutcome, merry.WithCause(err))
	}
	return nil
}

// Withdraw finishes a job that was never claimed as refused, because its caller no longer waits. A job that
// was claimed or has finished is returned as it is.
func (s *Store) Withdraw(ctx context.Context, key model.JobKey, reason string) (Record, error) {
	for {
		r, err := s.Get(ctx, key)
		if err != nil || r.Job.State != model.JobAccepted || r.Job.Ran {
			return r, err
		}
		o := model.Outcome{Result: model.ResultRefused, Reason: reason}
		written, err := s.Write(ctx, Finished(r.Job, o, s.now()), r.Revision)
		if errors.Is(err, ErrConflict) {
			continue
		}
		if err != nil {
			return Record{}, err
		}
		return written, s.touchChanged(ctx, written.Job)
	}
}

// Finished returns the job in its final state.
func Finished(j model.Job, o model.Outcome, now time.Time) model.Job {
	j.State, j.Outcome, j.Finished = model.JobFinished, &o, now.UTC()
	j.Members, j.Checkpoint = nil, nil
	return j
}

// Touch rewrites the index entry, so that the owner's watch or its next listing shows that the record changed.
// An entry that is gone belongs to a job that the owner has finished.
func (s *Store) Touch(ctx context.Context, cell string, key model.JobKey) error {
	e, err := s.kv.Get(ctx, openKey(cell, key))
	if errors.Is(err, kvstore.ErrNotFound) {
		return nil
	}
	if err != nil {
		return translate(err)
	}
	_, err = s.kv.Put(ctx, e.Key, e.Value, e.Revision, 0)
	if errors.Is(err, kvstore.ErrConflict) {
		return nil // someone else touched it, after the record changed
	}
	return translate(err)
}

// OpenJob is one entry of the open index.
type OpenJob struct {
	Key      model.JobKey
	Removed  bool
	Revision kvstore.Revision // changes when the record was changed by another process than the owner
}

func openOf(e kvstore.Entry) (OpenJob, bool) {
	key, ok := parseOpenKey(e.Key)
	if !ok {
		return OpenJob{}, false
	}
	return OpenJob{Key: key, Revision: e.Revision}, true
}

// ListOpen returns the open jobs of a cell and the revision from which WatchOpen continues.
func (s *Store) ListOpen(ctx context.Context, cell string) ([]OpenJob, kvstore.Revision, error) {
	prefix := openPrefix + cell + "/"
	var out []OpenJob
	var first kvstore.Revision
	after := ""
	for {
		entries, rev, err := s.kv.Range(ctx, prefix, after, rangeLimit)
		if err != nil {
			return nil, 0, translate(err)
		}
		if first == 0 {
			first = rev
		}
		for _, e := range entries {
			if o, ok := openOf(e); ok {
				out = append(out, o)
			}
			after = e.Key
		}
		if len(entries) < rangeLimit {
			return out, first, nil
		}
	}
}

// WatchOpen waits for changes of the open index after a revision.
func (s *Store) WatchOpen(ctx context.Context, cell string, since kvstore.Revision, wait time.Duration) ([]OpenJob, kvstore.Revision, error) {
	events, rev, err := s.kv.Watch(ctx, openPrefix+cell+"/", since, wait)
	if err != nil {
		return nil, 0, translate(err)
	}
	var out []OpenJob
	for _, ev := range events {
		if o, ok := openOf(ev.Entry); ok {
			o.Removed = ev.Deleted
			out = append(out, o)
		}
	}
	return out, rev, nil
}

// RemoveOpen drops the index entry of a finished job. A failure leaves an entry that the next listing finds
// again and removes.
func (s *Store) RemoveOpen(ctx context.Context, cell string, key model.JobKey) error {
	e, err := s.kv.Get(ctx, openKey(cell, key))
	if errors.Is(err, kvstore.ErrNotFound) {
		return nil
	}
	if err != nil {
		return translate(err)
	}
	return translate(s.kv.Delete(ctx, e.Key, e.Revision))
}
