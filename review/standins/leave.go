//go:build review

package main

import (
	"errors"
	"net/http"
	"slices"
	"time"
)

// cutTime is how long an executor is partitioned from its agent. The site file allows up to 12 s (node_cut).
const cutTime = 8 * time.Second

// lateLeave partitions an executor from its agent while it leaves. The executor ends without a confirmation and starts
// again under its id. What it had sent on its open channel arrives seconds after the new life has registered.
func lateLeave(rec *recorder, trouble bool) (bool, error) {
	const job = "7d0e7a21d94b36f8"
	f, err := newFleet(rec, 3, 3, retraceNeed)
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return false, err
	}
	link, err := newPartition(f.executors[0].control, rec)
	if err != nil {
		return false, err
	}
	defer link.close()
	old := f.executors[0]
	old.redirect(link.address())
	time.Sleep(heartbeatPeriod)
	old.drain()
	time.Sleep(drainTime + time.Second)
	started := time.Now()
	if trouble {
		link.cut()
		rec.logf("%s is partitioned from its agent", old.life())
	}
	rec.logf("%s says that it leaves; confirmed: %v", old.life(), old.leave())
	time.Sleep(2 * time.Second) // a sound executor waits some seconds for the confirmation
	old.end()
	if trouble {
		time.Sleep(cutTime - time.Since(started))
		link.heal()
		rec.logf("the partition ends")
	} else {
		time.Sleep(2 * time.Second)
	}
	e := f.newExecutor(0, retraceNeed)
	e.control = link.address()
	f.executors[0] = e
	if err := e.boot(); err != nil {
		return false, err
	}
	time.Sleep(heartbeatPeriod)
	// Enough work items that the new life gets some as well.
	if err := f.submit(job, 16, 30_000); err != nil {
		return false, err
	}
	if _, err := f.awaitRuns(job, 16, 8*time.Second); err != nil {
		return false, err
	}
	if e.runCount() == 0 {
		return false, errors.New("the new life has no run")
	}
	time.Sleep(10 * time.Second)
	broken := false
	for _, o := range f.history.overlaps(job) {
		broken = true
		rec.logf("TWICE: %s and %s at the same time, for %.3f s", &o.first, &o.second, o.overlap.Seconds())
	}
	f.call(http.MethodGet, job, "")
	return broken, nil
}

// overlap is two runs of one work item at the same time.
type overlap struct {
	first, second run
	overlap       time.Duration
}

// overlaps returns the runs of one work item of a job that were in progress at the same time.
func (h *history) overlaps(job string) []overlap {
	rs := h.of(job)
	slices.SortFunc(rs, func(a, b run) int { return a.startedAt.Compare(b.startedAt) })
	end := func(r run) time.Time {
		if r.endedAt.IsZero() {
			return time.Now()
		}
		return r.endedAt
	}
	var found []overlap
	for i, a := range rs {
		for _, b := range rs[i+1:] {
			if a.task == b.task && b.startedAt.Before(end(a)) {
				until := end(a)
				if end(b).Before(until) {
					until = end(b)
				}
				found = append(found, overlap{a, b, until.Sub(b.startedAt)})
			}
		}
	}
	return found
}
