package soak

import (
	"fmt"
	"syscall"
	"time"

	"masticcart.example/masticcart/internal/kvstore/memstore"
	"masticcart.example/masticcart/internal/rulecheck"
)

// faultPause is the mean time between the starts of two faults; they overlap.
const faultPause = 700 * time.Millisecond

// faults injects faults until their time is over.
func (r *run) faults() {
	end := time.Now().Add(r.options.FaultDuration)
	r.sleep(2 * time.Second) // the first leader and its workers
	r.record.add(time.Now(), (*rulecheck.Checker).AllowPartialGangs)
	for time.Now().Before(end) && r.ctx.Err() == nil {
		r.fault()
		r.sleep(time.Duration(r.rng.Float64() * 2 * float64(faultPause)))
	}
}

// fault draws one fault.
func (r *run) fault() {
	p := r.procs[r.rng.IntN(len(r.procs))]
	if r.rng.IntN(2) == 0 { // entries are few, and one of them leads
		p = r.entries[r.rng.IntN(len(r.entries))]
	}
	w := r.workers[r.rng.IntN(len(r.workers))]
	span := 200*time.Millisecond + time.Duration(r.rng.Float64()*4*float64(time.Second))
	m := []mode{delayed, silent, oneWay}[r.rng.IntN(3)]
	later := func(do func()) { r.group.Go(func() { r.sleep(span); do() }) }
	pause := func(p *process) {
		p.signal(syscall.SIGSTOP)
		later(func() { p.signal(syscall.SIGCONT) })
	}
	kinds := []struct {
		name string
		do   func()
	}{
		{"kill " + p.name, func() { p.signal(syscall.SIGKILL) }},
		{"kill " + p.name, func() { p.signal(syscall.SIGKILL) }},
		{"terminate " + p.name, func() { p.signal(syscall.SIGTERM) }},
		{"suspend " + p.name, func() { pause(p) }},
		{"reload " + p.name, func() { p.signal(syscall.SIGHUP) }},
		{"reset store connections of " + p.name, p.store.reset},
		{fmt.Sprint("store path ", m, " for ", p.name), func() {
			p.store.set(m)
			later(func() { p.store.set(pass) })
		}},
		{fmt.Sprint("worker path ", m, " for ", p.name), func() {
			if p.app != nil {
				p.app.set(m)
				later(func() { p.app.set(pass) })
			}
		}},
		{"store loses answers", func() {
			r.storeFaults(memstore.Faults{LoseAnswers: 0.3})
			later(func() { r.storeFaults(memstore.Faults{}) })
		}},
		{"store is down or slow", func() {
			r.storeFaults([]memstore.Faults{{Down: true}, {Slow: 150 * time.Millisecond}}[r.rng.IntN(2)])
			later(func() { r.storeFaults(memstore.Faults{}) })
		}},
		{"store forgets its history", func() { r.tellStore(pathCompact, struct{}{}) }},
		{"suspend the store", func() { pause(r.store) }},
		{"kill " + w.name, func() { w.signal(syscall.SIGKILL) }},
		{"suspend " + w.name, func() { pause(w) }},
		{"cut off and kill " + w.name, func() {
			w.agent.app.set(silent)
			r.group.Go(func() { r.sleep(span / 2); w.signal(syscall.SIGKILL) })
			later(func() { w.agent.app.set(pass) })
		}},
	}
	k := kinds[r.rng.IntN(len(kinds))]
	r.note("%s for %v", k.name, span.Round(time.Millisecond))
	k.do()
}

// heal ends all faults.
func (r *run) heal() {
	for _, p := range append(append([]*process{r.store}, r.workers...), r.procs...) {
		p.signal(syscall.SIGCONT)
	}
	for _, p := range r.procs {
		p.store.set(pass)
		if p.app != nil {
			p.app.set(pass)
		}
	}
	r.storeFaults(memstore.Faults{})
	r.note("faults end")
}

// note prints a line of the run's own story, for the time line of a failure.
func (r *run) note(format string, args ...any) {
	fmt.Printf("%8.3fs %s\n", r.record.since(time.Now()).Seconds(), fmt.Sprintf(format, args...))
}
