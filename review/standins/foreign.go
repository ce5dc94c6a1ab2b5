//go:build review

package main

import (
	"bytes"
	"fmt"
	"net/http"
	"time"
)

// foreignPing lets another writer send one ping to the control address of each side machine: its service is not named
// in the configuration, and fields are missing. It names no executor to use.
func foreignPing(rec *recorder, trouble bool) (bool, error) {
	const before, after = "0a0e7a21d94b36f8", "1b0e7a21d94b36f8"
	f, err := newFleet(rec, 3, 3, retraceNeed)
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return false, err
	}
	if err := f.submit(before, 3, 20_000); err != nil {
		return false, err
	}
	if _, err := f.awaitRuns(before, 3, 5*time.Second); err != nil {
		return false, err
	}
	if trouble {
		for i, d := range f.agents {
			f.sendForeignPing(d, fmt.Sprintf("cam-%d", i+1))
		}
	}
	time.Sleep(2 * heartbeatPeriod) // at least one ping of each executor follows
	if err := f.submit(after, 2, 2_000); err != nil {
		return false, err
	}
	rec.logf("end of the traffic")
	broken := f.standsStill(after, 2)
	f.call(http.MethodGet, before, "")
	f.call(http.MethodGet, after, "")
	for _, e := range f.executors {
		rec.logf("executor %s is up, with %d runs", e.life(), e.runCount())
	}
	return broken, nil
}

// standsStill waits for finish_s and reports whether the rule LOST is broken after it: a job of n work items, none of
// which waits for others, has nothing running for 3 s, although a work item fits twice over and under half of the room is
// in use.
func (f *fleet) standsStill(job string, n int) bool {
	time.Sleep(finishTime)
	f.rec.logf("finish_s after the end of the traffic")
	var idleSince time.Time
	for until := time.Now().Add(8 * time.Second); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		switch {
		case f.active(job) || f.completed(job, n) || f.inUse()*2 >= float64(len(f.executors)):
			idleSince = time.Time{}
		case idleSince.IsZero():
			idleSince = time.Now()
		case time.Since(idleSince) >= 3*time.Second:
			f.rec.logf("LOST: job %s has had nothing running for 3 s, with %.0f%% of the room in use", job,
				100*f.inUse()/float64(len(f.executors)))
			return true
		}
	}
	return false
}

// sendForeignPing sends a ping of another program. It lacks the slots and the sequence number.
func (f *fleet) sendForeignPing(d *daemon, id string) {
	data, err := message("foreign-ping.json", map[string]any{"IP": d.ip, "Born": time.Now().UnixMilli()})
	if err != nil {
		f.rec.logf("ping of another writer not sent: %v", err)
		return
	}
	res, err := f.client.Post(fmt.Sprintf("http://%s:%d/instances/%s/heartbeat", d.ip, controlPort, id), "application/json",
		bytes.NewReader(data))
	status := 0
	if err == nil {
		status = res.StatusCode
		_ = res.Body.Close()
	}
	f.rec.logf("ping of another writer to %s: %s -> %d", d.node, data, status)
}

// active reports whether a run of the job is in progress.
func (f *fleet) active(job string) bool {
	for _, r := range f.history.of(job) {
		if r.endedAt.IsZero() {
			return true
		}
	}
	return false
}

// completed reports whether n work items of the job have ended done.
func (f *fleet) completed(job string, n int) bool {
	done := map[string]bool{}
	for _, r := range f.history.of(job) {
		if r.how == "done" {
			done[r.task] = true
		}
	}
	return len(done) == n
}

// inUse returns how many executors' worth of room is in use, by the scarcest resource.
func (f *fleet) inUse() float64 {
	n := 0
	for _, e := range f.executors {
		n += e.runCount()
	}
	return float64(n) * max(float64(retraceNeed.GPU)/float64(executorRoom.GPU), float64(retraceNeed.CPU)/float64(executorRoom.CPU))
}

func (e *executor) runCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.running)
}
