// Package jobs stores the durable job records in the platform's key-value service. A record changes only by
// compare-and-swap. If the answer to a write is lost, the nonce of the stored record shows whether the write took
// effect.
//
// Besides its record, each job that has not finished has an entry in the open index of its cell, by which the owner of
// the cell finds it.
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
	// ErrUnavailable means that the platform cannot be reached. A write that returns it took no effect.
	ErrUnavailable = merry.New("platform unavailable")
	// ErrUnknownOutcome means that a write may have taken effect, and that reading the record did not show whether it did.
	ErrUnknownOutcome = merry.New("outcome of the write is unknown")
	// ErrDifferentBody means that the id was used before for a job with a different body.
	ErrDifferentBody = merry.New("the id belongs to a job with a different body")
	// ErrCorrupt means that a record cannot be decoded.
	ErrCorrupt = merry.New("job record cannot be decoded")
)

const (
	recordPrefix  = "jobs/"
	openPrefix    = "open/"
	rangePageSize = 500
	// readBackAttempts and readBackDelay bound how long a call tries to resolve a lost answer.
	readBackAttempts = 3
	readBackDelay    = 50 * time.Millisecond
)

// Record is a job with its revision, on which the next write is conditional.
type Record struct {
	Job      model.Job
	Revision kvstore.Revision
}

// Store reads and writes job records.
type Store struct {
	kv    kvstore.Store
	now   func() time.Time
	sleep func(ctx context.Context, d time.Duration) error
}

// NewStore returns a store on the platform's key-value service.
func NewStore(kv kvstore.Store, now func() time.Time) *Store {
	return &Store{kv: kv, now: now, sleep: sleep}
}

// WithSleep returns a copy of the store that waits with the given function between attempts and between pages. It is
// meant for virtual clocks.
func (s *Store) WithSleep(sleep func(ctx context.Context, d time.Duration) error) *Store {
	c := *s
	c.sleep = sleep
	return &c
}

func recordKey(k model.JobKey) string { return recordPrefix + k.Team + "/" + k.ID }

func openKey(cell string, k model.JobKey) string {
	return openPrefix + cell + "/" + k.Team + "/" + k.ID
}

// parseOpenKey returns the job that a key of the open index names.
func parseOpenKey(key string) (model.JobKey, bool) {
	parts := strings.Split(key, "/")
	if len(parts) != 4 {
		return model.JobKey{}, false
	}
	return model.JobKey{Team: parts[2], ID: parts[3]}, true
}

// translateError wraps an error of the key-value service in the matching error of this package.
func translateError(err error) error {
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
		return Record{}, translateError(err)
	}
	return decodeRecord(e)
}

func decodeRecord(e kvstore.Entry) (Record, error) {
	var j model.Job
	if err := json.Unmarshal(e.Value, &j); err != nil {
		return Record{}, merry.Wrap(ErrCorrupt, merry.AppendMessagef("%s: %v", e.Key, err))
	}
	return Record{Job: j, Revision: e.Revision}, nil
}

// Write replaces the record if it still has the revision. If the answer is lost, Write reads the record again, and
// returns ErrUnknownOutcome unless the record shows that the write took effect.
func (s *Store) Write(ctx context.Context, job model.Job, revision kvstore.Revision) (Record, error) {
	job.Nonce = uuid.NewString()
	value, err := json.Marshal(job)
	if err != nil {
		return Record{}, merry.Prepend(err, "jobs: encode")
	}
	rev, err := s.kv.Put(ctx, recordKey(job.Spec.Key), value, revision, 0)
	if errors.Is(err, kvstore.ErrUnknownOutcome) {
		return s.readBack(ctx, job)
	}
	if err != nil {
		return Record{}, translateError(err)
	}
	return Record{Job: job, Revision: rev}, nil
}

// readBack returns the record if it has the nonce of this write, which then took effect. A different nonce does not
// prove the opposite: the version may have been replaced already, or a slow platform may still apply the write while
// the revision has not changed yet. Callers then read the record again and act on its content.
func (s *Store) readBack(ctx context.Context, job model.Job) (Record, error) {
	for attempt := range readBackAttempts {
		if attempt > 0 && s.sleep(ctx, readBackDelay) != nil {
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

// Submit accepts a job durably: it writes the record and the entry in the open index in one transaction. It returns
// true if this call created the record. If the id is in use, it returns the existing record and false, or
// ErrDifferentBody.
func (s *Store) Submit(ctx context.Context, spec model.JobSpec, cell string) (Record, bool, error) {
	now := s.now().UTC()
	job := model.Job{Spec: spec, Cell: cell, State: model.JobAccepted, Submitted: now, Nonce: uuid.NewString()}
	value, err := json.Marshal(job)
	if err != nil {
		return Record{}, false, merry.Prepend(err, "jobs: encode")
	}
	submitted, err := now.MarshalText()
	if err != nil {
		return Record{}, false, merry.Prepend(err, "jobs: encode")
	}
	rev, err := s.kv.Txn(ctx, kvstore.Txn{
		Expect: []kvstore.Condition{{Key: recordKey(spec.Key)}},
		Puts:   []kvstore.Write{{Key: recordKey(spec.Key), Value: value}, {Key: openKey(cell, spec.Key), Value: submitted}},
	})
	switch {
	case err == nil:
		return Record{Job: job, Revision: rev}, true, nil
	case errors.Is(err, kvstore.ErrConflict), errors.Is(err, kvstore.ErrUnknownOutcome):
		existing, getErr := s.Get(ctx, spec.Key)
		if getErr != nil {
			return Record{}, false, translateError(err)
		}
		matched, err := matchExisting(existing, spec)
		return matched, err == nil && existing.Job.Nonce == job.Nonce, err
	}
	return Record{}, false, translateError(err)
}

// matchExisting returns the existing record, or ErrDifferentBody if the specs differ. The deadline is not compared,
// since it is relative to the time of the call.
func matchExisting(r Record, spec model.JobSpec) (Record, error) {
	stored := r.Job.Spec
	stored.Deadline, spec.Deadline = time.Time{}, time.Time{}
	a, errA := json.Marshal(stored)
	b, errB := json.Marshal(spec)
	if errA != nil || errB != nil || !bytes.Equal(a, b) {
		return Record{}, ErrDifferentBody
	}
	return r, nil
}

// Cancel finishes a job that is not claimed, or asks the owner of the cell to stop a claimed one. A finished job is
// returned unchanged.
func (s *Store) Cancel(ctx context.Context, key model.JobKey) (Record, error) {
	for {
		r, err := s.Get(ctx, key)
		if err != nil {
			return Record{}, err
		}
		if r.Job.State == model.JobFinished || r.Job.CancelRequested {
			return r, s.notifyOwner(ctx, r.Job) // an earlier call may have failed after the write
		}
		next := r.Job
		if next.State == model.JobAccepted {
			next = Finished(next,
				model.Outcome{Result: model.ResultCancelled, Ran: next.Ran, Reason: "cancelled by its caller"}, s.now())
		}
		next.CancelRequested = true
		written, err := s.Write(ctx, next, r.Revision)
		if errors.Is(err, ErrConflict) {
			continue
		}
		if err != nil {
			return Record{}, err
		}
		return written, s.notifyOwner(ctx, written.Job)
	}
}

// notifyOwner tells the owner of the cell that a record changed. If that fails for a claimed job, the outcome of the
// call is unknown, since the job keeps running until the owner learns of the cancellation. For a finished record a
// failure is ignored: the record is final whether or not the owner learns of it immediately.
func (s *Store) notifyOwner(ctx context.Context, j model.Job) error {
	if err := s.Touch(ctx, j.Cell, j.Spec.Key); err != nil && j.State != model.JobFinished {
		return merry.Wrap(ErrUnknownOutcome, merry.WithCause(err))
	}
	return nil
}

// Withdraw finishes an accepted job that never ran with the result refused, because its caller no longer waits. A job
// that is claimed, may have run or has finished is returned unchanged.
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
		return written, s.notifyOwner(ctx, written.Job)
	}
}

// Finished returns a copy of the job in its final state, without members and checkpoint.
func Finished(j model.Job, o model.Outcome, now time.Time) model.Job {
	j.State, j.Outcome, j.Finished = model.JobFinished, &o, now.UTC()
	j.Members, j.Checkpoint = nil, nil
	return j
}

// Touch rewrites the index entry without changing its value, so that the owner's watch or its next listing shows a new
// revision and the owner reads the record again. If there is no entry, the owner has finished the job already.
func (s *Store) Touch(ctx context.Context, cell string, key model.JobKey) error {
	e, err := s.kv.Get(ctx, openKey(cell, key))
	if errors.Is(err, kvstore.ErrNotFound) {
		return nil
	}
	if err != nil {
		return translateError(err)
	}
	_, err = s.kv.Put(ctx, e.Key, e.Value, e.Revision, 0)
	if errors.Is(err, kvstore.ErrConflict) {
		return nil // another call touched the entry after the record changed
	}
	return translateError(err)
}

// OpenJob is one entry of the open index.
type OpenJob struct {
	Key      model.JobKey
	Removed  bool             // only from WatchOpen
	Revision kvstore.Revision // new when a process other than the owner changed the record
}

func decodeOpenJob(e kvstore.Entry) (OpenJob, bool) {
	key, ok := parseOpenKey(e.Key)
	if !ok {
		return OpenJob{}, false
	}
	return OpenJob{Key: key, Revision: e.Revision}, true
}

// ListOpen returns the open jobs of a cell, and the revision from which WatchOpen is to continue.
func (s *Store) ListOpen(ctx context.Context, cell string) ([]OpenJob, kvstore.Revision, error) {
	prefix := openPrefix + cell + "/"
	var out []OpenJob
	var first kvstore.Revision
	after := ""
	for {
		entries, rev, err := s.kv.Range(ctx, prefix, after, rangePageSize)
		if err != nil {
			return nil, 0, translateError(err)
		}
		if first == 0 {
			first = rev
		}
		for _, e := range entries {
			if o, ok := decodeOpenJob(e); ok {
				out = append(out, o)
			}
			after = e.Key
		}
		if len(entries) < rangePageSize {
			return out, first, nil
		}
	}
}

// WatchOpen waits up to the given time for changes of the open index after a revision. It returns the changed entries,
// and the revision from which the next call is to continue.
func (s *Store) WatchOpen(
	ctx context.Context, cell string, since kvstore.Revision, wait time.Duration,
) ([]OpenJob, kvstore.Revision, error) {
	events, rev, err := s.kv.Watch(ctx, openPrefix+cell+"/", since, wait)
	if err != nil {
		return nil, 0, translateError(err)
	}
	var out []OpenJob
	for _, ev := range events {
		if o, ok := decodeOpenJob(ev.Entry); ok {
			o.Removed = ev.Deleted
			out = append(out, o)
		}
	}
	return out, rev, nil
}

// RemoveOpen deletes the index entry of a finished job. After a failure, the entry appears in the next listing, and the
// owner removes it then.
func (s *Store) RemoveOpen(ctx context.Context, cell string, key model.JobKey) error {
	e, err := s.kv.Get(ctx, openKey(cell, key))
	if errors.Is(err, kvstore.ErrNotFound) {
		return nil
	}
	if err != nil {
		return translateError(err)
	}
	return translateError(s.kv.Delete(ctx, e.Key, e.Revision))
}
