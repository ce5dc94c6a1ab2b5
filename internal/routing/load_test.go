package routing

import (
	"testing"
	"time"

	"masticcart.example/masticcart/internal/model"
	"masticcart.example/masticcart/internal/protocol"
)

// percentile returns a percentile, given in thousandths, of sorted times, or zero if there are none.
func percentile(sorted []time.Duration, perMille int) time.Duration {
	return append(sorted, 0)[len(sorted)*perMille/1000]
}

// Guards against an overload of less urgent requests that slows urgent ones or wastes capacity. Two entries share ten
// executors of 8 slots. Urgent requests need half of the capacity, and all requests together twice the capacity. In the
// skewed case all urgent requests arrive at one entry and all others at the other entry.
func TestUrgentGoodputAtTwiceTheCapacity(t *testing.T) {
	run := func(urgentAt, otherAt int, overload bool) (goodput, used float64, tail time.Duration) {
		s := newSim(1, 1, 2, 10, 8, false, t.Errorf)
		s.submitPoisson(urgentAt, "inspector-check", 400, time.Second) // 16 of 80 slots
		s.submitPoisson(urgentAt, "fit", 300, time.Second)             // 24 slots
		if overload {
			s.submitPoisson(otherAt, "plan", 600, 2*time.Second)    // 36 slots
			s.submitPoisson(otherAt, "retrace", 420, 5*time.Second) // 84 slots
		}
		s.run(s.now.Add(simLoadTime))
		for kind, mean := range map[string]float64{"inspector-check": .04, "fit": .08, "plan": .06, "retrace": .2} {
			times, _ := s.responseTimes(kind)
			used += mean * float64(len(times)) / (80 * simLoadTime.Seconds())
		}
		s.run(s.now.Add(10 * time.Second)) // lets the remaining requests end
		checks, n := s.responseTimes("inspector-check")
		fits, m := s.responseTimes("fit")
		goodput, tail = float64(len(checks)+len(fits))/float64(n+m), percentile(fits, 990)
		t.Logf("overload %v: checks p50 %v p99 %v, fits p50 %v p99 %v", overload, percentile(checks, 500),
			percentile(checks, 990), percentile(fits, 500), tail)
		dispatches, refusals := s.counterTotal(func(m *metrics) counter { return m.dispatches }),
			s.counterTotal(func(m *metrics) counter { return m.refusals })
		t.Logf("  urgent goodput %.4f, slots used %.3f, dispatches %d, refusals %d", goodput, used, dispatches, refusals)
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

// Guards against retries that multiply the load during an outage, in which dispatches fail, are refused or lose their
// replies.
func TestRetriesAddAtMostATenthInAnOutage(t *testing.T) {
	for name, fault := range map[string]func(*simAgent){
		"errors":   func(a *simAgent) { a.down = true },
		"refusals": func(a *simAgent) { a.refusing = true },
		"every other reply lost": func(a *simAgent) {
			lost := false
			a.alterReply = func(*protocol.DispatchReply) (bool, bool) {
				lost = !lost
				return lost, false
			}
		},
	} {
		s := newSim(2, 1, 2, 10, 8, false, t.Errorf)
		s.submitPoisson(-1, "inspector-check", 300, time.Second)
		s.run(s.now.Add(simLoadTime / 3))
		before := s.counterTotal(func(m *metrics) counter { return m.dispatches })
		requests := len(s.results)
		for _, a := range s.agents {
			fault(a)
		}
		s.run(s.now.Add(simLoadTime))
		requests = len(s.results) - requests
		sent := s.counterTotal(func(m *metrics) counter { return m.dispatches }) - before
		retries := s.counterTotal(func(m *metrics) counter { return m.retries })
		t.Logf("%s: %d requests, %d dispatches, %d retries, %d denied", name, requests, sent, retries,
			s.counterTotal(func(m *metrics) counter { return m.retriesDenied }))
		// Both entries start with a full retry budget, which allows this many retries beyond a tenth.
		burst := int64(2 * retryBurst / retryToken)
		if sent > int64(requests)*11/10+burst || retries > int64(len(s.results))/10+burst ||
			name == "errors" && sent > int64(requests)/4 { // upstreams that never reply get only probes
			t.Errorf("%s: %d dispatches and %d retries for %d requests", name, sent, retries, requests)
		}
	}
}

// Guards against hedging that costs more than it gains: with some slow replies it must shorten the tail of the response
// times within the retry budget, and at twice the capacity it must not lower the goodput.
func TestHedgingShortensTheTail(t *testing.T) {
	run := func(hedge bool, others float64) (p99, p999 time.Duration, goodput float64) {
		s := newSim(3, 1, 2, 10, 8, hedge, t.Errorf)
		for _, a := range s.agents {
			usual := a.serviceTime
			a.serviceTime = func(kind string) time.Duration {
				if s.rng.Float64() < 0.02 {
					return 10 * usual(kind)
				}
				return usual(kind)
			}
		}
		s.submitPoisson(-1, "inspector-check", 800, time.Second)
		s.submitPoisson(-1, "retrace", others, 5*time.Second)
		s.run(s.now.Add(simLoadTime + 10*time.Second))
		done, n := s.responseTimes("inspector-check")
		p99, p999, goodput = percentile(done, 990), percentile(done, 999), float64(len(done))/float64(n)
		t.Logf("hedge %v, %.0f others/s: p50 %v p99 %v p99.9 %v goodput %.4f hedges %d of %d", hedge, others,
			percentile(done, 500), p99, p999, goodput, s.counterTotal(func(m *metrics) counter { return m.hedges }), n)
		return p99, p999, goodput
	}
	p99, p999, _ := run(false, 0)
	hedgedP99, hedgedP999, _ := run(true, 0)
	if hedgedP99 > p99/2 || hedgedP999 > p999 {
		t.Errorf("p99 %v and p99.9 %v with hedging, %v and %v without", hedgedP99, hedgedP999, p99, p999)
	}
	_, _, goodput := run(false, 600)
	if _, _, hedged := run(true, 600); hedged < 0.99*goodput {
		t.Errorf("goodput %.4f at twice the capacity with hedging, %.4f without", hedged, goodput)
	}
}

// Guards against an upstream that fails all requests and attracts load by replying immediately, and against the
// exclusion of all upstreams when the requests are at fault.
func TestFailingUpstreamIsAvoided(t *testing.T) {
	for _, failing := range []int{1, 10} {
		s := newSim(4, 1, 1, 10, 8, false, t.Errorf)
		for _, a := range s.agents[:failing] {
			a.serviceTime = func(string) time.Duration { return time.Millisecond }
			a.alterReply = func(r *protocol.DispatchReply) (bool, bool) {
				r.Outcome.Result = model.ResultFailed
				return false, false
			}
		}
		s.submitPoisson(-1, "fit", 400, time.Second)
		s.run(s.now.Add(simLoadTime + time.Second))
		n := map[model.Result]int{}
		for _, r := range s.results {
			n[r.outcomes[0].Result]++
		}
		t.Logf("%d of 10 failing: %v", failing, n)
		if failing == 1 && n[model.ResultDone] < len(s.results)*95/100 ||
			failing == 10 && n[model.ResultFailed] < len(s.results) {
			t.Errorf("%d of 10 upstreams fail: outcomes %v of %d", failing, n, len(s.results))
		}
	}
}

// Guards against cross-region traffic that saves too little wait, and against requests that leave their region although
// the price in their rule forbids it.
func TestCrossRegionPriceLimitsForwarding(t *testing.T) {
	v, s := NewClusterView("riga", "riga"), newSim(1, 1, 0, 1, 1, false, t.Errorf)
	v.updateUpstream(s.now, s.agents[0].id, 0, 0, false) // one slot, in use: each request ahead takes about 50 ms
	v.updatePeer(s.now, simGossip("far", "liepaja", 5))
	req := &model.Request{Service: simService, Kind: "plan", Payload: make([]byte, 10*1024), Timeout: time.Second}
	for _, c := range []struct {
		ahead int
		price time.Duration
		want  Action
	}{
		{0, 10 * time.Millisecond, ActionWait}, {0, time.Millisecond, ActionForward},
		{9, 10 * time.Millisecond, ActionForward},
		{9, 100 * time.Millisecond, ActionWait}, {9, -1, ActionWait},
	} {
		d := SelectTarget(v, req, model.Rule{Class: model.ClassNormal, CrossRegionPrice: c.price},
			SelectionInput{QueuedAhead: c.ahead, CanForward: true}, s.now)
		if d.Action != c.want {
			t.Errorf("%d ahead at %v per kilobyte: %+v, want %s", c.ahead, c.price, d, c.want)
		}
	}
}
