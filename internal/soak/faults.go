package soak

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"masticcart.example/masticcart/internal/faultproxy"
	"masticcart.example/masticcart/internal/kvstore/memstore"
	"masticcart.example/masticcart/internal/rulecheck"
	"masticcart.example/masticcart/platform/standin"
)

// meanFaultInterval is the mean time between the starts of two faults. Faults may overlap.
const meanFaultInterval = 700 * time.Millisecond

// injectFaults injects random faults for Options.FaultDuration.
func (r *run) injectFaults() {
	end := time.Now().Add(r.options.FaultDuration)
	r.sleep(2 * time.Second) // until a leader is elected and the workers are registered
	r.recorder.add(time.Now(), (*rulecheck.Checker).AllowPartialGangs)
	cancelFor := r.drawDuration()
	cancelAt := time.Duration(r.rng.Float64() * float64(max(0, time.Until(end)-cancelFor)))
	r.background.Go(func() { r.sleep(cancelAt); r.cancelWithoutAgents(cancelFor) })
	for time.Now().Before(end) && r.ctx.Err() == nil {
		r.injectFault()
		r.sleep(time.Duration(r.rng.Float64() * 2 * float64(meanFaultInterval)))
	}
}

// injectFault draws a fault and a duration and injects it. It does not wait for the end of the fault.
func (r *run) injectFault() {
	p := r.daemons[r.rng.IntN(len(r.daemons))]
	if r.rng.IntN(2) == 0 { // entries are drawn more often, as they are few and one of them is the leader
		p = r.entries[r.rng.IntN(len(r.entries))]
	}
	w := r.workers[r.rng.IntN(len(r.workers))]
	duration := r.drawDuration()
	oddMessage := r.rng.IntN(1000)
	mode := []faultproxy.Mode{faultproxy.Delay, faultproxy.HoldAll, faultproxy.HoldAnswers}[r.rng.IntN(3)]
	afterDuration := func(f func()) { r.background.Go(func() { r.sleep(duration); f() }) }
	suspend := func(p *process) {
		p.signal(syscall.SIGSTOP)
		afterDuration(func() { p.signal(syscall.SIGCONT) })
	}
	sendOddMessage := func() {
		r.background.Go(func() {
			ctx, cancel := context.WithTimeout(r.ctx, time.Second)
			defer cancel()
			r.logf("odd message: %s", standin.PostOddMessage(ctx, w.agent.settings.ControlAddress(), w.id, oddMessage))
		})
	}
	kinds := []struct {
		name   string
		inject func()
	}{
		// Killing and odd messages are listed twice, so that they are drawn twice as often.
		{"kill " + p.name, func() { p.signal(syscall.SIGKILL) }},
		{"kill " + p.name, func() { p.signal(syscall.SIGKILL) }},
		{"kill all programs", func() {
			for _, d := range r.daemons {
				d.signal(syscall.SIGKILL)
			}
		}},
		{"terminate the entries", r.terminateEntries},
		{"terminate " + p.name, func() { p.signal(syscall.SIGTERM) }},
		{"suspend " + p.name, func() { suspend(p) }},
		{"reload " + p.name, func() { p.signal(syscall.SIGHUP) }},
		{"reset store connections of " + p.name, p.storeProxy.ResetConnections},
		{fmt.Sprint("store path ", mode, " for ", p.name), func() {
			p.storeProxy.SetMode(mode)
			afterDuration(func() { p.storeProxy.SetMode(faultproxy.Forward) })
		}},
		{fmt.Sprint("worker path ", mode, " for ", p.name), func() {
			if p.workerProxy != nil {
				p.workerProxy.SetMode(mode)
				afterDuration(func() { p.workerProxy.SetMode(faultproxy.Forward) })
			}
		}},
		{"silence the store connections of " + p.name, p.storeProxy.SilenceConnections},
		{"silence the worker connections of " + w.agent.name, w.agent.workerProxy.SilenceConnections},
		{"silence all connections to the " + [...]string{"workers", "store"}[oddMessage%2], func() {
			r.silenceConnections(oddMessage%2 == 1)
		}},
		{w.name + " refuses starts", func() { r.postToWorker(w, pathRefuse, duration) }},
		{w.name + " leaves", func() { r.postToWorker(w, pathLeave, duration) }},
		{"store loses answers", func() {
			r.setStoreFaults(memstore.Faults{LoseAnswers: 0.3})
			afterDuration(func() { r.setStoreFaults(memstore.Faults{}) })
		}},
		{"store is down or slow", func() {
			r.setStoreFaults([]memstore.Faults{{Down: true}, {Slow: 150 * time.Millisecond}}[r.rng.IntN(2)])
			afterDuration(func() { r.setStoreFaults(memstore.Faults{}) })
		}},
		{"odd message to " + w.agent.name, sendOddMessage},
		{"odd message to " + w.agent.name, sendOddMessage},
		{"compact the history of the store", func() { r.postToStore(pathCompact, struct{}{}) }},
		{"suspend the store", func() { suspend(r.store) }},
		{"kill " + w.name, func() { w.signal(syscall.SIGKILL) }},
		{"suspend " + w.name, func() { suspend(w) }},
		{"block the worker path and kill " + w.name, func() {
			w.agent.workerProxy.SetMode(faultproxy.HoldAll)
			r.background.Go(func() { r.sleep(duration / 2); w.signal(syscall.SIGKILL) })
			afterDuration(func() { w.agent.workerProxy.SetMode(faultproxy.Forward) })
		}},
	}
	k := kinds[r.rng.IntN(len(kinds))]
	r.logf("%s for %v", k.name, duration.Round(time.Millisecond))
	k.inject()
}

// drawDuration draws the duration of a fault.
func (r *run) drawDuration() time.Duration {
	return 200*time.Millisecond + time.Duration(r.rng.Float64()*4*float64(time.Second))
}

// cancelWithoutAgents suspends the agents for a time, in which the long-running jobs are cancelled and then the entries are
// terminated: what the leader orders in between is not carried out.
func (r *run) cancelWithoutAgents(d time.Duration) {
	r.logf("suspend the agents for %v, cancel jobs, terminate the entries", d.Round(time.Millisecond))
	signalAgents := func(s syscall.Signal) {
		for _, p := range r.daemons {
			if p.workerProxy != nil {
				p.signal(s)
			}
		}
	}
	signalAgents(syscall.SIGSTOP)
	r.sleep(d / 4)
	r.cancelLongJobs()
	r.sleep(d / 4)
	r.terminateEntries()
	r.sleep(d / 2)
	signalAgents(syscall.SIGCONT)
}

func (r *run) terminateEntries() {
	for _, e := range r.entries {
		e.signal(syscall.SIGTERM)
	}
}

// clearFaults resumes all processes and clears the faults of the proxies and of the store.
func (r *run) clearFaults() {
	for _, p := range append(append([]*process{r.store}, r.workers...), r.daemons...) {
		p.signal(syscall.SIGCONT)
	}
	for _, p := range r.daemons {
		p.storeProxy.SetMode(faultproxy.Forward)
		if p.workerProxy != nil {
			p.workerProxy.SetMode(faultproxy.Forward)
		}
	}
	r.setStoreFaults(memstore.Faults{})
	r.logf("faults cleared")
}

// logf prints a line with the time since the start of the run, so that a failure can be related to the faults before
// it.
func (r *run) logf(format string, args ...any) {
	fmt.Printf("%8.3fs %s\n", r.recorder.sinceStart(time.Now()).Seconds(), fmt.Sprintf(format, args...))
}
