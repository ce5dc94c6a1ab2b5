package soak

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"masticcart.example/masticcart/internal/batch"
	"masticcart.example/masticcart/internal/rulecheck"
	"masticcart.example/masticcart/platform/standin"
)

// soakJob is a job as its caller sees it.
type soakJob struct {
	id   int
	body string
	spec batch.Job

	mu       sync.Mutex
	accepted bool
	unclear  bool // some attempt got no answer, or one that leaves it open
	unsure   bool // a cancellation was not answered
}

const (
	// attempts of a caller to hand a job in.
	attempts = 4
	// attemptPause follows an attempt without success.
	attemptPause = 300 * time.Millisecond
	// cancelShare of the jobs are cancelled, cancelAfter their acknowledgement.
	cancelShare = 0.15
	cancelAfter = 500 * time.Millisecond
	// passingKeyShare of the submissions use the key that comes and goes.
	passingKeyShare = 0.3
	// longestTask is the longest work of a task beside those of fixed time, in milliseconds.
	longestTask = 3000
	// statePause is the pause between two questions for a state.
	statePause = 100 * time.Millisecond
)

// newJob draws a job.
func (r *run) newJob(id int) *soakJob {
	name := fmt.Sprintf("%016x", id)
	if r.rng.IntN(2) == 0 {
		ms := 200 + r.rng.IntN(longestTask)
		return &soakJob{id: id, body: standin.FourTaskJob(ms), spec: batch.Job{ID: name, Payload: fmt.Sprint(ms),
			Steps: []batch.Step{{Count: 4}}}}
	}
	return &soakJob{id: id, body: standin.TwoStepJob, spec: batch.Job{ID: name, Payload: "300",
		Steps: []batch.Step{{Count: 3}, {Count: 2, Gang: true, After: []int{0}}}}}
}

// load hands jobs in while faults are played.
func (r *run) load() {
	for n := range int(r.options.FaultDuration.Seconds() * r.options.SubmissionRate) {
		j := r.newJob(n + 1)
		r.record.add(time.Now(), func(c *rulecheck.Checker) { c.JobSubmitted(j.spec) })
		r.jobs = append(r.jobs, j)
		at := time.Duration(r.rng.Float64() * float64(r.options.FaultDuration))
		entry, cancel, passing := r.rng.IntN(len(r.entries)), r.rng.Float64() < cancelShare, r.rng.Float64() < passingKeyShare
		r.callers.Go(func() {
			r.sleep(at)
			r.submit(j, entry, passing)
			if cancel && r.ctx.Err() == nil {
				r.sleep(cancelAfter)
				r.cancel(j, entry)
			}
		})
	}
}

// client returns a caller of an entry, counted from any number.
func (r *run) client(n int) *standin.Client {
	return standin.NewClient(r.entries[n%len(r.entries)].settings.FrontAddress())
}

// submit hands a job in, the first time with the passing key if the caller has no other.
func (r *run) submit(j *soakJob, entry int, passing bool) {
	for n := range attempts {
		caller := r.client(entry + n)
		if passing && n == 0 {
			caller.Key = operatorKey
		}
		sent := time.Now()
		status, _ := caller.Call(r.ctx, http.MethodPost, j.id, j.body)
		j.mu.Lock()
		switch status {
		case http.StatusOK:
			j.accepted = true
		case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusUnauthorized:
		default:
			j.unclear = true
		}
		accepted := j.accepted
		j.mu.Unlock()
		if accepted {
			r.record.add(sent, func(c *rulecheck.Checker) { c.JobAccepted(j.spec.ID, caller.Key, r.record.since(sent)) })
		}
		if accepted || r.ctx.Err() != nil {
			return
		}
		r.sleep(attemptPause)
	}
}

func (r *run) cancel(j *soakJob, entry int) {
	for n := range attempts {
		status, _ := r.client(entry+n).Call(r.ctx, http.MethodDelete, j.id, "")
		if status == http.StatusOK {
			now := time.Now()
			r.record.add(now, func(c *rulecheck.Checker) { c.JobCancelled(j.spec.ID, r.record.since(now)) })
			return
		}
		j.mu.Lock()
		j.unsure = true
		j.mu.Unlock()
		r.sleep(attemptPause)
	}
}

// settle waits until everything that was accepted is over, and checks what callers were told.
func (r *run) settle() {
	deadline := time.Now().Add(recovery)
	for _, j := range r.jobs {
		j.mu.Lock()
		accepted, unclear, unsure := j.accepted, j.unclear, j.unsure
		j.mu.Unlock()
		state := batch.State("")
		for accepted && time.Now().Before(deadline) && r.ctx.Err() == nil {
			if state = batch.State(r.client(j.id).State(r.ctx, j.id)); state.Final() {
				break
			}
			r.sleep(statePause)
		}
		now := time.Now()
		r.record.add(now, func(c *rulecheck.Checker) {
			switch {
			case accepted:
				c.FinalStateReported(j.spec.ID, state, unsure, r.record.since(now))
			case !unclear:
				c.JobRefused(j.spec.ID, r.record.since(now))
			}
		})
	}
}
