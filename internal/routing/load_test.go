package routing

import (
	"testing"
	"time"

	"masticcart.example/masticcart/internal/model"
)

func percentile(sorted []time.Duration, perMille int) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)*perMille/1000, len(sorted)-1)]
}

// Guards against an overload of less urgent work that slows urgent requests or wastes the capacity. Two entries
// share ten executors of 8 slots; urgent work takes half of the capacity, everything together twice. In the
// skewed case all urgent work arrives at one entry and all other work at the other one.
func TestUrgentGoodputAtTwiceTheCapacity(t *testing.T) {
	const during = time.Minute
	run := func(urgentAt, otherAt int, overload bool) (goodput, used float64) {
		s := newSim(1, 2, 10, 8, false, t.Errorf)
		s.load(urgentAt, "inspector-check", 400, time.Second, during) // 16 of 80 slots
		s.load(urgentAt, "fit", 300, time.Second, during)             // 24 slots
		if overload {
			s.load(otherAt, "plan", 600, 2*time.Second, during)    // 36 slots
			s.load(otherAt, "retrace", 420, 5*time.Second, during) // 84 slots
		}
		s.run(s.now.Add(during + 10*time.Second))
		done, submitted := map[string]int{}, map[string]int{}
		for kind, mean := range map[string]float64{"inspector-check": .04, "fit": .08, "plan": .06, "retrace": .2} {
			times, n := s.times(kind)
			done[kind], submitted[kind] = len(times), n
			used += mean * float64(len(times)) / (80 * during.Seconds())
			t.Logf("  %s: %d of %d done, p50 %v p99 %v", kind, len(times), n, percentile(times, 500), percentile(times, 990))
		}
		goodput = float64(done["inspector-check"]+done["fit"]) / float64(submitted["inspector-check"]+submitted["fit"])
		t.Logf("overload %v: urgent goodput %.4f, slots used %.3f, dispatches %d, refusals %d, retries %d, evicted %d",
			overload, goodput, used, s.sum(func(m *metrics) counter { return m.dispatches }),
			s.sum(func(m *metrics) counter { return m.refusals }), s.sum(func(m *metrics) counter { return m.retries }),
			s.sum(func(m *metrics) counter { return m.evicted }))
		return goodput, used
	}
	unloaded, _ := run(-1, -1, false)
	for _, c := range []struct {
		urgentAt, otherAt int
		minUsed           float64
	}{{-1, -1, 0.85}, {0, 1, 0.7}} {
		loaded, used := run(c.urgentAt, c.otherAt, true)
		if loaded < 0.95*unloaded {
			t.Errorf("urgent goodput %.3f, unloaded %.3f", loaded, unloaded)
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
	} {
		s := newSim(2, 2, 10, 8, false, t.Errorf)
		const during = time.Minute
		s.load(-1, "inspector-check", 300, time.Second, during)
		s.run(s.now.Add(20 * time.Second))
		before := s.sum(func(m *metrics) counter { return m.dispatches })
		requests := len(s.results)
		for _, a := range s.agents {
			fault(a)
		}
		s.run(s.now.Add(during))
		requests = len(s.results) - requests
		sent := s.sum(func(m *metrics) counter { return m.dispatches }) - before
		retries := s.sum(func(m *metrics) counter { return m.retries })
		t.Logf("%s: %d requests, %d dispatches, %d retries, %d denied", name, requests, sent, retries,
			s.sum(func(m *metrics) counter { return m.retriesDenied }))
		if sent > int64(requests)*11/10 || retries > int64(requests)/10+2*retryBurst/retryToken {
			t.Errorf("%s: %d dispatches and %d retries for %d requests", name, sent, retries, requests)
		}
	}
}

// Guards against a second attempt that costs more than it brings: it must shorten the tail when some answers
// are slow, within the budget, and leave the goodput at twice the capacity alone.
func TestSecondAttemptShortensTheTail(t *testing.T) {
	run := func(second bool, others float64) (p99, p999 time.Duration, goodput float64) {
		s := newSim(3, 2, 10, 8, second, t.Errorf)
		for _, a := range s.agents {
			usual := a.serviceTime
			a.serviceTime = func(kind string) time.Duration {
				if s.rng.Float64() < 0.02 {
					return 10 * usual(kind)
				}
				return usual(kind)
			}
		}
		s.load(-1, "inspector-check", 800, time.Second, time.Minute)
		s.load(-1, "retrace", others, 5*time.Second, time.Minute)
		s.run(s.now.Add(70 * time.Second))
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

// Guards against paid traffic that saves too little, and against work that leaves its region against its rule.
func TestRegionPriceDecides(t *testing.T) {
	now := time.Unix(1e9, 0)
	v := NewView("riga", "riga")
	s := newSim(1, 0, 1, 1, false, t.Errorf)
	v.updateUpstream(now, s.agents[0].id, 0, 0, false) // one slot, in use: about 50 ms for each request ahead
	v.updatePeer(now, simGossip("far", "liepaja", 5))
	req := &model.Request{Service: simService, Kind: "plan", Payload: make([]byte, 10*1024), Timeout: time.Second}
	for _, c := range []struct {
		ahead int
		price time.Duration
		want  Action
	}{
		{0, 10 * time.Millisecond, ActionWait}, {0, time.Millisecond, ActionForward}, {9, 10 * time.Millisecond, ActionForward},
		{9, 100 * time.Millisecond, ActionWait}, {9, -1, ActionWait},
	} {
		d := Choose(v, req, model.Rule{Class: model.ClassNormal, CrossRegionPrice: c.price}, Attempt{Ahead: c.ahead, HopsLeft: true}, now)
		if d.Action != c.want {
			t.Errorf("%d ahead at %v per kilobyte: %+v, want %s", c.ahead, c.price, d, c.want)
		}
	}
}
