package jobs

import (
	"context"
	"errors"
	"time"

	"k8s.io/klog/v2"

	"masticcart.example/masticcart/internal/model"
)

const (
	// Retention is how long the record of a finished job is kept. Until then a repeated submission of its id returns its
	// outcome.
	Retention = 24 * time.Hour
	// sweepInterval is the time between sweeps. sweepPause is the time between pages of one sweep, which limits a sweep
	// to a few range calls per second.
	sweepInterval = 10 * time.Minute
	sweepPause    = 500 * time.Millisecond
)

// RunSweeps removes the records of jobs that finished longer ago than Retention, every sweepInterval until ctx ends. It
// skips a sweep unless isSweeper selects this process, so that only one of several processes sweeps.
func (s *Store) RunSweeps(ctx context.Context, isSweeper func(now time.Time) bool) {
	for {
		if err := sleep(ctx, sweepInterval); err != nil {
			return
		}
		if !isSweeper(s.now()) {
			continue
		}
		removed, err := s.Sweep(ctx)
		klog.InfoS("Removed expired job records", "removed", removed, "err", err)
	}
}

// Sweep removes all expired records and returns their number. Records that changed meanwhile or cannot be decoded are
// skipped.
func (s *Store) Sweep(ctx context.Context) (int, error) {
	removed, after := 0, ""
	for {
		entries, _, err := s.kv.Range(ctx, recordPrefix, after, rangePageSize)
		if err != nil {
			return removed, translateError(err)
		}
		for _, e := range entries {
			after = e.Key
			r, err := decodeRecord(e)
			if err != nil || r.Job.State != model.JobFinished || s.now().Sub(r.Job.Finished) < Retention {
				continue
			}
			if err := translateError(s.kv.Delete(ctx, e.Key, e.Revision)); err == nil {
				removed++
			} else if !errors.Is(err, ErrConflict) {
				return removed, err
			}
		}
		if len(entries) < rangePageSize {
			return removed, nil
		}
		if err := s.sleep(ctx, sweepPause); err != nil {
			return removed, err
		}
	}
}
