//go:build review

package main

import (
	"errors"
	"net/http"
	"syscall"
	"time"
)

// darkTime is how long the machine of the agent has no power. The site file allows 3.5 s (node_kill with power).
const darkTime = 3 * time.Second

// cancelAtHandOver lets the machine of an executor's agent lose power. While it is dark, the job of the executor's run is
// cancelled, the cancelling is acknowledged, and then the entry that leads is stopped and started again.
func cancelAtHandOver(rec *recorder, trouble bool) (bool, error) {
	const job = "5c0e7a21d94b36f8"
	f, err := newFleet(rec, 3, 3, retraceNeed)
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return false, err
	}
	if err := f.submit(job, 1, 60_000); err != nil {
		return false, err
	}
	runs, err := f.awaitRuns(job, 1, 5*time.Second)
	if err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	agent, leader := f.agentOf(runs[0].executor), f.leader()
	if agent == nil || leader == nil {
		return false, errors.New("no agent or no leader")
	}
	started := time.Now()
	if trouble {
		agent.hold(true)
		agent.signal(syscall.SIGKILL)
		time.Sleep(500 * time.Millisecond)
	}
	if status, _ := f.call(http.MethodDelete, job, ""); status != http.StatusOK {
		return false, errors.New("the cancelling was not acknowledged")
	}
	acknowledged := time.Now()
	if trouble {
		time.Sleep(500 * time.Millisecond)
		leader.signal(syscall.SIGTERM)
		time.Sleep(darkTime - time.Since(started))
		agent.hold(false)
		if err := agent.start(); err != nil {
			return false, err
		}
		rec.logf("the machine of %s has power again", agent.node)
		leader.awaitRestart(10 * time.Second)
	}
	// No disruption is near from here on. A stretch of cancel_ms + stopTimeoutMs begins stabilityMs later.
	time.Sleep(stabilityTime)
	rec.logf("calm for stabilityMs")
	time.Sleep(cancelTime + stopTimeout + time.Second)
	rec.logf("calm for cancel_ms + stopTimeoutMs and 1 s more")
	f.call(http.MethodGet, job, "")
	broken := false
	for _, r := range f.history.of(job) {
		if r.endedAt.IsZero() {
			broken = true
			rec.logf("UNASKED: %s runs on, %.1f s after the cancelling was acknowledged", &r,
				time.Since(acknowledged).Seconds())
		}
	}
	return broken, nil
}
