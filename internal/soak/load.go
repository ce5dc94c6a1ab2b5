package soak

import (
	"context"
	"fmt"
	"math"
	"net/http"
	"sync"
	"time"

	"masticcart.example/masticcart/internal/batch"
	"masticcart.example/masticcart/internal/rulecheck"
	"masticcart.example/masticcart/platform/standin"
)

// soakJob is a job and what its caller knows about it.
type soakJob struct {
	id   int
	body string
	spec batch.Job

	mu             sync.Mutex
	accepted       bool
	outcomeUnknown bool // an attempt got no answer, or one that does not tell whether the job was accepted
	cancelUnknown  bool // a cancellation was not acknowledged
	// longRunning means that the job ends only if it is cancelled: when cancelNow is closed, or after a random time.
	longRunning bool
	cancelNow   chan struct{}
	cancelOnce  sync.Once // closes cancelNow
}

const (
	// callAttempts is how often a caller tries to submit or cancel a job.
	callAttempts = 4
	// retryInterval is the pause after a failed attempt.
	retryInterval = 300 * time.Millisecond
	// cancelShare is the share of jobs that are cancelled, cancelDelay the time between submission and cancellation.
	cancelShare = 0.15
	cancelDelay = 500 * time.Millisecond
	// longShare is the share of jobs whose tasks would outlast the run. They are cancelled up to maxLongTime after their
	// submission, and callers repeat the cancellation until it is answered.
	longShare   = 0.25
	maxLongTime = 8 * time.Second
	longTaskMS  = 90_000
	// crashShare is the share of jobs whose tasks crash their workers.
	crashShare = 0.08
	// temporaryKeyShare is the share of submissions whose first attempt uses temporaryKey.
	temporaryKeyShare = 0.3
	// maxTaskMS bounds the random part of the run time of a task, in milliseconds. Jobs of two steps have a fixed run
	// time instead.
	maxTaskMS = 3000
	// statePollInterval is the interval between two queries of a job's state.
	statePollInterval = 100 * time.Millisecond
)

// newJob returns a job of one of three shapes, drawn at random.
func (r *run) newJob(id int) *soakJob {
	name := jobName(id)
	need := batch.Resources{Accelerators: 1}
	if r.rng.Float64() < crashShare {
		return &soakJob{id: id, body: standin.CrashingJob(), spec: batch.Job{ID: name, Payload: standin.CrashingPayload,
			Steps: []batch.Step{{Count: 2, Need: need}}}}
	}
	if r.rng.Float64() < longShare {
		return newLongJob(id)
	}
	if r.rng.IntN(2) == 0 {
		ms := 200 + r.rng.IntN(maxTaskMS)
		return &soakJob{id: id, body: standin.FourTaskJob(ms), spec: batch.Job{ID: name, Payload: fmt.Sprint(ms),
			Steps: []batch.Step{{Count: 4, Need: need}}}}
	}
	return &soakJob{id: id, body: standin.TwoStepJob, spec: batch.Job{ID: name, Payload: "300",
		Steps: []batch.Step{{Count: 3, Need: need}, {Count: 2, Gang: true, After: []int{0}, Need: need}}}}
}

func jobName(id int) string { return fmt.Sprintf("%016x", id) }

// newLongJob returns a job whose tasks outlast the run.
func newLongJob(id int) *soakJob {
	return &soakJob{id: id, longRunning: true, cancelNow: make(chan struct{}), body: standin.FourTaskJob(longTaskMS),
		spec: batch.Job{ID: jobName(id), Payload: fmt.Sprint(longTaskMS),
			Steps: []batch.Step{{Count: 4, Need: batch.Resources{Accelerators: 1}}}}}
}

// startLoad starts callers that submit jobs at random times while faults are injected, and cancel some of them.
func (r *run) startLoad() {
	for n := range int(r.options.FaultDuration.Seconds() * r.options.SubmissionRate) {
		j := r.newJob(n + 1)
		r.recorder.add(time.Now(), func(c *rulecheck.Checker) { c.JobSubmitted(j.spec) })
		r.jobs = append(r.jobs, j)
		at := time.Duration(r.rng.Float64() * float64(r.options.FaultDuration))
		entry, cancel, useTemporaryKey := r.rng.IntN(len(r.entries)), r.rng.Float64() < cancelShare,
			r.rng.Float64() < temporaryKeyShare
		longTime := time.Duration(r.rng.Float64() * float64(maxLongTime))
		r.callers.Go(func() {
			r.sleep(at)
			r.submit(j, entry, useTemporaryKey)
			switch {
			case j.longRunning:
				ctx, stopWaiting := context.WithTimeout(r.ctx, longTime)
				select {
				case <-j.cancelNow:
				case <-ctx.Done():
				}
				stopWaiting()
				r.cancel(j, entry, math.MaxInt)
			case cancel && r.ctx.Err() == nil:
				r.sleep(cancelDelay)
				r.cancel(j, entry, callAttempts)
			}
		})
	}
}

// cancelLongJobs lets the callers of the long-running jobs that are accepted cancel them now.
func (r *run) cancelLongJobs() {
	for _, j := range r.jobs {
		j.mu.Lock()
		accepted := j.accepted
		j.mu.Unlock()
		if j.longRunning && accepted {
			j.cancelOnce.Do(func() { close(j.cancelNow) })
		}
	}
}

// client returns a client of the entry with the index n modulo the number of entries.
func (r *run) client(n int) *standin.Client {
	return standin.NewClient(r.entries[n%len(r.entries)].settings.FrontAddress())
}

// submit submits a job until it is accepted or callAttempts are used up, each time to the next entry. The first attempt
// uses temporaryKey if useTemporaryKey is set.
func (r *run) submit(j *soakJob, entry int, useTemporaryKey bool) {
	for n := range callAttempts {
		caller := r.client(entry + n)
		if useTemporaryKey && n == 0 {
			caller.Key = temporaryKey
		}
		sent := time.Now()
		status, _ := caller.Call(r.ctx, http.MethodPost, j.id, j.body)
		j.mu.Lock()
		switch status {
		case http.StatusOK:
			j.accepted = true
		case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusUnauthorized:
		default:
			j.outcomeUnknown = true
		}
		accepted := j.accepted
		j.mu.Unlock()
		if accepted {
			r.recorder.add(sent, func(c *rulecheck.Checker) {
				c.JobAccepted(j.spec.ID, caller.Key, r.recorder.sinceStart(sent))
			})
		}
		if accepted || r.ctx.Err() != nil {
			return
		}
		r.sleep(retryInterval)
	}
}

// cancel cancels a job until that is acknowledged, the job is unknown or the attempts are used up, each time at the next
// entry.
func (r *run) cancel(j *soakJob, entry, attempts int) {
	for n := 0; n < attempts && r.ctx.Err() == nil; n++ {
		status, _ := r.client(entry+n).Call(r.ctx, http.MethodDelete, j.id, "")
		if status == http.StatusGone && j.longRunning {
			return
		}
		if status == http.StatusOK {
			now := time.Now()
			r.recorder.add(now, func(c *rulecheck.Checker) { c.JobCancelled(j.spec.ID, r.recorder.sinceStart(now)) })
			return
		}
		j.mu.Lock()
		j.cancelUnknown = true
		j.mu.Unlock()
		r.sleep(retryInterval)
	}
}

// checkCancelledRuns checks that no run of a cancelled job is in progress, once the system has been calm for as long as the
// platform's rules say.
func (r *run) checkCancelledRuns() {
	r.sleep(time.Until(r.clearedAt.Add(calmTime + maxRunAfterCancel)))
	now := time.Now()
	r.recorder.add(now, func(c *rulecheck.Checker) { c.CheckCancelledRuns(r.recorder.sinceStart(now)) })
}

// awaitFinalStates polls until all accepted jobs are in a final state, at most for recoveryTimeout. It reports those
// states and the refused jobs to the checker.
func (r *run) awaitFinalStates() {
	deadline := time.Now().Add(recoveryTimeout)
	for _, j := range r.jobs {
		j.mu.Lock()
		accepted, outcomeUnknown, cancelUnknown := j.accepted, j.outcomeUnknown, j.cancelUnknown
		j.mu.Unlock()
		state := batch.State("")
		for accepted && time.Now().Before(deadline) && r.ctx.Err() == nil {
			if state = batch.State(r.client(j.id).State(r.ctx, j.id)); state.Final() {
				break
			}
			r.sleep(statePollInterval)
		}
		now := time.Now()
		r.recorder.add(now, func(c *rulecheck.Checker) {
			switch {
			case accepted:
				c.FinalStateReported(j.spec.ID, state, cancelUnknown, r.recorder.sinceStart(now))
			case !outcomeUnknown:
				c.JobRefused(j.spec.ID, r.recorder.sinceStart(now))
			}
		})
	}
}
