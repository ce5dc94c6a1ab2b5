package soak

import (
	"context"
	"math"
	"net/http"
	"time"

	"masticcart.example/masticcart/internal/batch"
	"masticcart.example/masticcart/internal/rulecheck"
)

const (
	// maxAckTime is bounds.ackMs of the settings file.
	maxAckTime = 5 * time.Second
	// drainTime is how long a worker goes on after it has begun to leave. It exceeds the time that a cancellation takes.
	drainTime = 8 * time.Second
	// cancelAfterDrain is the time from the begin of the drain to the cancellation.
	cancelAfterDrain = time.Second
)

// silenceConnections silences the open connections of all programs under test to the store, or of all agents to their
// workers.
func (r *run) silenceConnections(toStore bool) {
	for _, p := range r.daemons {
		if toStore {
			p.storeProxy.SilenceConnections()
		} else if p.workerProxy != nil {
			p.workerProxy.SilenceConnections()
		}
	}
}

// checkDisturbedChannels disturbs the connections to the store or to the workers of an otherwise calm system, and checks that
// leases are extended and that a cancellation is acknowledged and carried out in time. It comes last: nothing is in progress.
func (r *run) checkDisturbedChannels() {
	j := newLongJob(len(r.jobs) + 1)
	r.recorder.add(time.Now(), func(c *rulecheck.Checker) { c.JobSubmitted(j.spec) })
	entry := r.rng.IntN(len(r.entries))
	disturbance := r.rng.IntN(3)
	r.submit(j, entry, false)
	ctx, cancel := context.WithTimeout(r.ctx, recoveryTimeout)
	defer cancel()
	for ctx.Err() == nil && batch.State(r.client(entry).State(ctx, j.id)) != batch.Running {
		r.sleep(statePollInterval)
	}
	r.burst()
	lapsed := r.lapsedRuns()
	switch disturbance {
	case 0, 1:
		r.logf("silence all connections, to the store: %v; cancel a job", disturbance == 1)
		r.silenceConnections(disturbance == 1)
		r.sleep(calmTime + time.Second)
	case 2:
		r.logf("all workers leave; cancel a job")
		for _, w := range r.workers {
			r.postToWorker(w, pathLeave, drainTime)
		}
		r.sleep(cancelAfterDrain)
	}
	sent := time.Now()
	r.cancel(j, entry, math.MaxInt)
	if took := time.Since(sent); took > maxAckTime {
		r.violate("ACKS: a cancellation was acknowledged after %v", took)
	}
	r.sleep(maxRunAfterCancel)
	now := time.Now()
	r.recorder.add(now, func(c *rulecheck.Checker) { c.CheckCancelledRuns(r.recorder.sinceStart(now)) })
	if n := r.lapsedRuns() - lapsed; n > 0 {
		r.violate("LOST: %d leases have lapsed on workers that answer", n)
	}
}

// burst makes many calls at once, so that the programs under test open several connections.
func (r *run) burst() {
	const calls = 24
	ended := make(chan struct{}, calls)
	for n := range calls {
		go func() {
			_, _ = r.client(n).Call(r.ctx, http.MethodDelete, math.MaxInt32+n, "")
			ended <- struct{}{}
		}()
	}
	for range calls {
		<-ended
	}
}

// lapsedRuns returns the number of runs whose lease has expired, as far as the workers have reported it.
func (r *run) lapsedRuns() int {
	r.sleep(reorderWindow)
	r.recorder.deliver(false)
	r.recorder.mu.Lock()
	defer r.recorder.mu.Unlock()
	return r.recorder.lapsed
}

// violate reports a violation that the run has seen itself.
func (r *run) violate(format string, args ...any) {
	now := time.Now()
	r.recorder.add(now, func(c *rulecheck.Checker) { c.AddViolation(r.recorder.sinceStart(now), format, args...) })
}
