package soak

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"masticcart.example/masticcart/platform/standin"
)

// soakJob is a job as its caller sees it.
type soakJob struct {
	id       int
	body     string
	mu       sync.Mutex
	accepted bool
	unclear  bool // some attempt got no answer, or one that leaves it open
	gone     bool // cancelled
}

func (j *soakJob) name() string { return fmt.Sprintf("%016x", j.id) }

const (
	// jobsPerSecond is the mean rate of submissions.
	jobsPerSecond = 2.0
	// attempts of a caller to hand a job in.
	attempts = 4
	// cancelShare of the jobs are cancelled.
	cancelShare = 0.15
)

// load hands jobs in while faults are played.
func (r *run) load() {
	seconds := r.options.For.Seconds()
	for n := range int(seconds * jobsPerSecond) {
		j := &soakJob{id: n + 1, body: standin.TwoSteps}
		steps := []int{3, 2}
		if r.rng.IntN(2) == 0 {
			j.body, steps = standin.FourTasks(200+r.rng.IntN(3000)), []int{4}
		}
		r.checker.submitted(j.name(), steps)
		r.jobs = append(r.jobs, j)
		at := time.Duration(r.rng.Float64() * float64(r.options.For))
		entry, cancel := r.rng.IntN(len(r.entries)), r.rng.Float64() < cancelShare
		r.callers.Go(func() {
			r.sleep(at)
			r.submit(j, entry)
			if cancel && r.ctx.Err() == nil {
				r.sleep(500 * time.Millisecond)
				r.cancel(j, entry)
			}
		})
	}
}

// client returns a caller of an entry, counted from any number.
func (r *run) client(n int) *standin.Client {
	return standin.NewClient(r.entries[n%len(r.entries)].settings.Front())
}

func (r *run) submit(j *soakJob, entry int) {
	for n := range attempts {
		status, _ := r.client(entry+n).Call(r.ctx, http.MethodPost, j.id, j.body)
		j.mu.Lock()
		switch status {
		case http.StatusOK:
			j.accepted = true
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		default:
			j.unclear = true
		}
		accepted := j.accepted
		j.mu.Unlock()
		if accepted || r.ctx.Err() != nil {
			return
		}
		r.sleep(300 * time.Millisecond)
	}
}

func (r *run) cancel(j *soakJob, entry int) {
	for n := range attempts {
		status, _ := r.client(entry+n).Call(r.ctx, http.MethodDelete, j.id, "")
		if status == http.StatusOK {
			r.checker.cancelAcknowledged(j.name())
			j.mu.Lock()
			j.gone = true
			j.mu.Unlock()
			return
		}
		r.sleep(300 * time.Millisecond)
	}
	j.mu.Lock()
	j.gone = true // perhaps
	j.mu.Unlock()
}

// settle waits until everything that was accepted is over, and checks what callers were told.
func (r *run) settle() {
	deadline := time.Now().Add(recovery)
	for _, j := range r.jobs {
		j.mu.Lock()
		accepted, unclear, gone := j.accepted, j.unclear, j.gone
		j.mu.Unlock()
		if !accepted {
			if n := r.checker.startsOf(j.name()); n > 0 && !unclear {
				r.report("REFUSED: %s was refused and started %d tasks", j.name(), n)
			}
			continue
		}
		state := ""
		for time.Now().Before(deadline) && r.ctx.Err() == nil {
			state = r.client(j.id).State(r.ctx, j.id)
			if state == "completed" || state == "failed" || state == "cancelled" {
				break
			}
			r.sleep(100 * time.Millisecond)
		}
		if state != "completed" && (!gone || state != "cancelled") {
			r.report("LOST: %s is %q after the recovery", j.name(), state)
		}
	}
}

func (r *run) report(format string, args ...any) {
	r.checker.mu.Lock()
	defer r.checker.mu.Unlock()
	r.checker.violation(format, args...)
}
