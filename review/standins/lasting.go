//go:build review

package main

import (
	"net/http"
	"time"
)

// lastingEnd hands in a job whose work items last, and lets them end by themselves with the end done.
func lastingEnd(rec *recorder, trouble bool) (bool, error) {
	const job = "3f0e7a21d94b36f8"
	f, err := newFleet(rec, 3, 3, retraceNeed)
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return false, err
	}
	endMS := 3_000
	if !trouble {
		endMS = 600_000
	}
	if err := f.submitLasting(job, 2, endMS); err != nil {
		return false, err
	}
	if _, err := f.awaitRuns(job, 2, 5*time.Second); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	// From 6 s after its last run, a work item that lasts must not be without a run for 3 s.
	broken := false
	for until := time.Now().Add(15 * time.Second); !broken && time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		var last time.Time
		for _, r := range f.history.of(job) {
			if r.endedAt.After(last) {
				last = r.endedAt
			}
		}
		broken = !f.active(job) && time.Since(last) >= 9*time.Second
	}
	if broken {
		rec.logf("LOST: no work item of job %s has run for 9 s, with %.0f%% of the room in use", job,
			100*f.inUse()/float64(len(f.executors)))
	}
	f.call(http.MethodGet, job, "")
	return broken, nil
}
