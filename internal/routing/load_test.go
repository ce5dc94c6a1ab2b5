package routing

import (
	"testing"
	"time"

	"masticcart.example/masticcart/internal/model"
	"masticcart.example/masticcart/internal/protocol"
)

func percentile(sorted []time.Duration, perMille int) time.Duration {
	return append(sorted, 0)[len(sorted)*perMille/1000]
}

// Guards against an overload of less urgent work that slows urgent requests or wastes the capacity. Two entries
// share ten executors of 8 slots; urgent work takes half of the capacity, everything together twice. In the
// skewed case all urgent work arrives at one entry and all other work at the other one.
func TestUrgentGoodputAtTwiceTheCapacity(t *testing.T) {
	run := func(urgentAt, otherAt int, overload bool) (goodput, used float64, tail time.Duration) {
		s := newSim(1, 1, 2, 10, 8, false, t.Errorf)
		s.load(urgentAt, "inspector-check", 400, time.Second) // 16 of 80 slots
		s.load(urgentAt, "fit", 300, time.Second)             // 24 slots
		if overload {
			s.load(otherAt, "plan", 600, 2*time.Second)    // 36 slots
			s.load(otherAt, "retrace", 420, 5*time.Second) // 84 slots
		}
		s.run(s.now.Add(simLoadTime))
		for kind, mean := range map[string]float64{"inspector-check": .04, "fit": .08, "plan": .06, "retrace": .2} {
			times, _ := s.times(kind)
			used += mean * float64(len(times)) / (80 * simLoadTime.Seconds())
		}
		s.run(s.now.Add(10 * time.Second)) // what is still queued ends
		checks, n := s.times("inspector-check")
		fits, m := s.times("fit")
		goodput, tail = float64(len(checks)+len(fits))/float64(n+m), percentile(fits, 990)
		t.Logf("overload %v: checks p50 %v p99 %v, fits p50 %v p99 %v", overload, percentile(checks, 500),
			percentile(checks, 990), percentile(fits, 500), tail)
		sent, back := s.sum(func(m *metrics) counter { return m.dispatches }), s.sum(func(m *metrics) counter { return m.refusals })
		t.Logf("  urgent goodput %.4f, slots used %.3f, dispatches %d, refusals %d", goodput, used, sent, back)
		return goodput, used, tail
	}
	unloaded, _, unloadedTail := run(-1, -1, false)
	for _, c := range []struct {
		urgentAt, otherAt int
		minUsed           float64
	}{{-1, -1, 0.85}, {0, 1, 0.7}} {
		loaded, used, tail := run(c.urgentAt, c.otherAt, true)
		if loaded < 0.95*unloaded || tail > unloadedTail*5/4 {
			t.Errorf("urgent goodput %.3f and p99 %v, unloaded %.3f and %v", loaded, tail, unloaded, unloadedTail)
		}
		if used < c.minUsed {
			t.Errorf("only %.3f of the slots were used at twice the capacity", used)
		}
	}
}

// Guards against retries that multiply the load of an outage, whether dispatches are lost or refused.
func TestOutageAddsAtMostATenth(t *testing.T) {
	for name, fault := range map[string]func(*simAgent){
		"errors":   func(a *simAgent) { a.down = true },
		"refusals": func(a *simAgent) { a.refusing = true },
		"every other answer lost": func(a *simAgent) {
			lost := false
			a.mangle = func(*protocol.DispatchReply) (bool, bool) {
				lost = !lost
				return lost, false
			}
		},
	} {
		s := newSim(2, 1, 2, 10, 8, false, t.Errorf)
		s.load(-1, "inspector-check", 300, time.Second)
		s.run(s.now.Add(simLoadTime / 3))
		before := s.sum(func(m *metrics) counter { return m.dispatches })
		requests := len(s.results)
		for _, a := range s.agents {
			fault(a)
		}
		s.run(s.now.Add(simLoadTime))
		requests = len(s.results) - requests
		sent := s.sum(func(m *metrics) counter { return m.dispatches }) - before
		retries := s.sum(func(m *metrics) counter { return m.retries })
		t.Logf("%s: %d requests, %d dispatches, %d retries, %d denied", name, requests, sent, retries,
			s.sum(func(m *metrics) counter { return m.retriesDenied }))
		// Both entries start with a full budget, which is the allowance beyond a tenth.
		burst := int64(2 * retryBurst / retryToken)
		if sent > int64(requests)*11/10+burst || retries > int64(len(s.results))/10+burst ||
			name == "errors" && sent > int64(requests)/4 { // upstreams that answer nothing get probes only
			t.Errorf("%s: %d dispatches and %d retries for %d requests", name, sent, retries, requests)
		}
	}
}

// Guards against a second attempt that costs more than it brings: it must shorten the tail when some answers
// are slow, within the budget, and leave the goodput at twice the capacity alone.
func TestSecondAttemptShortensTheTail(t *testing.T) {
	run := func(second bool, others float64) (p99, p999 time.Duration, goodput float64) {
		s := newSim(3, 1, 2, 10, 8, second, t.Errorf)
		for _, a := range s.agents {
			usual := a.serviceTime
			a.serviceTime = func(kind string) time.Duration {
				if s.rng.Float64() < 0.02 {
					return 10 * usual(kind)
				}
				return usual(kind)
			}
		}
		s.load(-1, "inspector-check", 800, time.Second)
		s.load(-1, "retrace", others, 5*time.Second)
		s.run(s.now.Add(simLoadTime + 10*time.Second))
		done, n := s.times("inspector-check")
		p99, p999, goodput = percentile(done, 990), percentile(done, 999), float64(len(done))/float64(n)
		t.Logf("second %v, %.0f others/s: p50 %v p99 %v p99.9 %v goodput %.4f seconds %d of %d", second, others,
			percentile(done, 500), p99, p999, goodput, s.sum(func(m *metrics) counter { return m.seconds }), n)
		return p99, p999, goodput
	}
	p99, p999, _ := run(false, 0)
	q99, q999, _ := run(true, 0)
	if q99 > p99/2 || q999 > p999 {
		t.Errorf("p99 %v and p99.9 %v with a second attempt, %v and %v without", q99, q999, p99, p999)
	}
	_, _, g := run(false, 600)
	if _, _, h := run(true, 600); h < 0.99*g {
		t.Errorf("goodput %.4f at twice the capacity with a second attempt, %.4f without", h, g)
	}
}

// Guards against an upstream that fails everything and attracts the load by answering at once, and against
// excluding all upstreams when the requests are at fault.
func TestFailingUpstreamIsAvoided(t *testing.T) {
	for _, failing := range []int{1, 10} {
		s := newSim(4, 1, 1, 10, 8, false, t.Errorf)
		for _, a := range s.agents[:failing] {
			a.serviceTime = func(string) time.Duration { return time.Millisecond }
			a.mangle = func(r *protocol.DispatchReply) (bool, bool) {
				r.Outcome.Result = model.ResultFailed
				return false, false
			}
		}
		s.load(-1, "fit", 400, time.Second)
		s.run(s.now.Add(simLoadTime + time.Second))
		n := map[model.Result]int{}
		for _, r := range s.results {
			n[r.outcomes[0].Result]++
		}
		t.Logf("%d of 10 failing: %v", failing, n)
		if failing == 1 && n[model.ResultDone] < len(s.results)*95/100 || failing == 10 && n[model.ResultFailed] < len(s.results) {
			t.Errorf("%d of 10 upstreams fail: outcomes %v of %d", failing, n, len(s.results))
		}
	}
}

// Guards against paid traffic that saves too little, and against work that leaves its region against its rule.
func TestRegionPriceDecides(t *testing.T) {
	v, s := NewClusterView("riga", "riga"), newSim(1, 1, 0, 1, 1, false, t.Errorf)
	v.updateUpstream(s.now, s.agents[0].id, 0, 0, false) // one slot, in use: about 50 ms for each request ahead
	v.updatePeer(s.now, simGossip("far", "liepaja", 5))
	req := &model.Request{Service: simService, Kind: "plan", Payload: make([]byte, 10*1024), Timeout: time.Second}
	for _, c := range []struct {
		ahead int
		price time.Duration
		want  Action
	}{
		{0, 10 * time.Millisecond, ActionWait}, {0, time.Millisecond, ActionForward}, {9, 10 * time.Millisecond, ActionForward},
		{9, 100 * time.Millisecond, ActionWait}, {9, -1, ActionWait},
	} {
		d := SelectTarget(v, req, model.Rule{Class: model.ClassNormal, CrossRegionPrice: c.price}, SelectionInput{QueuedAhead: c.ahead, CanForward: true}, s.now)
		if d.Action != c.want {
			t.Errorf("%d ahead at %v per kilobyte: %+v, want %s", c.ahead, c.price, d, c.want)
		}
	}
}
