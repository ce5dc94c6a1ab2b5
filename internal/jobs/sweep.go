package jobs

import (
	"context"
	"errors"
	"time"

	"k8s.io/klog/v2"

	"masticcart.example/masticcart/internal/model"
)

const (
	// Retention is how long the record of a finished job is kept. Within it a re-sent id finds its outcome.
	Retention = 24 * time.Hour
	// sweepInterval is the time between sweeps, and sweepPause the time between pages, which keeps a sweep at a few
	// calls a second.
	sweepInterval = 10 * time.Minute
	sweepPause    = 500 * time.Millisecond
)

// RunSweeps removes the records of jobs that finished longer ago than Retention, whenever this process is the
// one that sweeps, until ctx ends.
func (s *Store) RunSweeps(ctx context.Context, mine func(now time.Time) bool) {
	for {
		if err := sleep(ctx, sweepInterval); err != nil {
			return
		}
		if !mine(s.now()) {
			continue
		}
		removed, err := s.Sweep(ctx)
		klog.InfoS("Swept job records", "removed", removed, "err", err)
	}
}

// Sweep removes expired records once and returns their number.
func (s *Store) Sweep(ctx context.Context) (int, error) {
	removed, after := 0, ""
	for {
		entries, _, err := s.kv.Range(ctx, recordPrefix, after, rangeLimit)
		if err != nil {
			return removed, translate(err)
		}
		for _, e := range entries {
			after = e.Key
			r, err := decode(e)
			if err != nil || r.Job.State != model.JobFinished || s.now().Sub(r.Job.Finished) < Retention {
				continue
			}
			if err := translate(s.kv.Delete(ctx, e.Key, e.Revision)); err == nil {
				removed++
			} else if !errors.Is(err, ErrConflict) {
				return removed, err
			}
		}
		if len(entries) < rangeLimit {
			return removed, nil
		}
		if err := s.pause(ctx, sweepPause); err != nil {
			return removed, err
		}
	}
}
