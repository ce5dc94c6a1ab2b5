package soak

import (
	"fmt"
	"syscall"
	"time"

	"masticcart.example/masticcart/internal/kvstore/memstore"
)

// faultPause is the mean time between the starts of two faults; they overlap.
const faultPause = 700 * time.Millisecond

// faults injects faults until their time is over.
func (r *run) faults() {
	end := time.Now().Add(r.options.For)
	r.sleep(2 * time.Second) // the first leader and its workers
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
	span := 200*time.Millisecond + time.Duration(r.rng.Float64()*4*float64(time.Second))
	kind := r.rng.IntN(11)
	r.note("fault %d on %s for %v", kind, p.settings.Node, span.Round(time.Millisecond))
	later := func(do func()) { r.group.Go(func() { r.sleep(span); do() }) }
	switch kind {
	case 0, 1:
		p.signal(syscall.SIGKILL)
	case 2:
		p.signal(syscall.SIGTERM)
	case 3:
		p.signal(syscall.SIGSTOP)
		later(func() { p.signal(syscall.SIGCONT) })
	case 4:
		p.signal(syscall.SIGHUP)
	case 5:
		p.store.reset()
	case 6:
		m := []mode{delayed, silent, oneWay}[r.rng.IntN(3)]
		p.store.set(m)
		later(func() { p.store.set(pass) })
	case 7:
		if p.app != nil {
			m := []mode{delayed, silent, oneWay}[r.rng.IntN(3)]
			p.app.set(m)
			later(func() { p.app.set(pass) })
		}
	case 8:
		r.mem.SetFaults(memstore.Faults{LoseAnswers: 0.3})
		later(func() { r.mem.SetFaults(memstore.Faults{}) })
	case 9:
		r.mem.SetFaults([]memstore.Faults{{Down: true}, {Slow: 150 * time.Millisecond}}[r.rng.IntN(2)])
		later(func() { r.mem.SetFaults(memstore.Faults{}) })
	case 10:
		r.workers[r.rng.IntN(len(r.workers))].Boot()
	}
}

// heal ends all faults.
func (r *run) heal() {
	r.mem.SetFaults(memstore.Faults{})
	for _, p := range r.procs {
		p.store.set(pass)
		if p.app != nil {
			p.app.set(pass)
		}
		p.signal(syscall.SIGCONT)
	}
	r.note("faults end")
}

// note prints a line of the run's own story, for the time line of a failure.
func (r *run) note(format string, args ...any) {
	fmt.Printf("%6.2fs %s\n", time.Since(r.checker.began).Seconds(), fmt.Sprintf(format, args...))
}
