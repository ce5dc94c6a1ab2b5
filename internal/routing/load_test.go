package routing

import (
	"testing"
	"time"
)

func percentile(sorted []time.Duration, p int) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)*p/100, len(sorted)-1)]
}

// Guards against an overload of less urgent work that slows urgent requests or wastes the capacity. Two entries
// share ten executors of 8 slots; urgent work takes half of the capacity, everything together twice.
func TestUrgentGoodputAtTwiceTheCapacity(t *testing.T) {
	const during = time.Minute
	run := func(overload bool) (goodput float64, s *sim) {
		s = newSim(1, 2, 10, 8, false, t.Errorf)
		s.load("inspector-check", 400, time.Second, during) // 16 of 80 slots
		s.load("fit", 300, time.Second, during)             // 24 slots
		if overload {
			s.load("plan", 600, 2*time.Second, during)    // 36 slots
			s.load("retrace", 420, 5*time.Second, during) // 84 slots
		}
		s.run(s.now.Add(during + 10*time.Second))
		checks, n := s.times("inspector-check")
		fits, m := s.times("fit")
		t.Logf("overload %v: checks %d/%d p50 %v p99 %v, fits %d/%d p50 %v p99 %v", overload, len(checks), n,
			percentile(checks, 50), percentile(checks, 99), len(fits), m, percentile(fits, 50), percentile(fits, 99))
		return float64(len(checks)+len(fits)) / float64(n+m), s
	}
	unloaded, _ := run(false)
	loaded, s := run(true)
	if loaded < 0.95*unloaded {
		t.Errorf("urgent goodput %.3f, unloaded %.3f", loaded, unloaded)
	}
	work := 0.0 // seconds of slots
	for kind, mean := range map[string]float64{"inspector-check": .04, "fit": .08, "plan": .06, "retrace": .2} {
		done, n := s.times(kind)
		work += mean * float64(len(done))
		t.Logf("%s: %d of %d done", kind, len(done), n)
	}
	used := work / (80 * during.Seconds())
	t.Logf("goodput %.4f unloaded %.4f; slots used %.3f; dispatches %d refusals %d retries %d evicted %d", loaded, unloaded, used,
		s.sum(func(m *metrics) counter { return m.dispatches }), s.sum(func(m *metrics) counter { return m.refusals }),
		s.sum(func(m *metrics) counter { return m.retries }), s.sum(func(m *metrics) counter { return m.evicted }))
	if used < 0.85 {
		t.Errorf("only %.3f of the slots were used at twice the capacity", used)
	}
}
