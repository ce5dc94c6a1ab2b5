package routing

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"masticcart.example/masticcart/internal/model"
	"masticcart.example/masticcart/internal/protocol"
)

// Guards against lost, duplicate or swapped outcomes, against "not run" for a request that started, against requests
// to upstreams that are leaving or silent, against retries beyond the budget, and against a lower class or priority
// that is served first. The faults are refusals, errors, lost, late, mismatched and duplicate replies, and
// cancellations.
func TestEachCallerGetsOneAccurateOutcome(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(rapid.Int64().Draw(t, "seed"), 2, 3, 5, 2, true, t.Errorf)
		for _, e := range s.entries {
			e.queue.max = rapid.IntRange(1, 30).Draw(t, "queue")
		}
		var cancels []func()
		for range rapid.IntRange(10, 60).Draw(t, "steps") {
			a := rapid.SampledFrom(s.agents).Draw(t, "agent")
			switch step := rapid.IntRange(0, 9).Draw(t, "step"); step {
			case 0, 1, 2:
				fault := []*bool{&a.down, &a.refusing, &a.silent}[step]
				*fault = !*fault
			case 3:
				a.leaving = true
				s.report(a)
			case 4: // a new incarnation replaces the agent
				a.leaving, a.id.Incarnation = false, a.id.Incarnation+"+"
				s.report(a)
			case 5:
				a.alterReply = s.replyFaults(rapid.IntRange(0, 40).Draw(t, "mangled"))
			case 6:
				if len(cancels) > 0 {
					rapid.SampledFrom(cancels).Draw(t, "call")()
				}
			default:
				e := rapid.SampledFrom(s.entries).Draw(t, "entry")
				kind := rapid.SampledFrom([]string{"inspector-check", "fit", "plan", "retrace"}).Draw(t, "kind")
				for range rapid.IntRange(1, 20).Draw(t, "requests") {
					timeout := time.Duration(rapid.IntRange(50, 2000).Draw(t, "timeout")) * time.Millisecond
					cancels = append(cancels, s.submit(e, kind, timeout))
				}
			}
			s.run(s.now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond))
		}
		s.run(s.now.Add(20 * time.Second))
		for _, r := range s.results {
			r.check(t)
		}
		for _, e := range s.entries {
			remaining := len(e.calls) + len(e.attempts) + e.queue.Len() + len(e.timers.heap) + len(e.queue.timers.heap)
			if m := e.metrics; remaining > 0 || 10*m.retries.total > m.requests.total+10*retryBurst/retryToken {
				t.Errorf("%d items of state remain; %d retries for %d requests", remaining, m.retries.total, m.requests.total)
			}
		}
	})
}

// replyFaults returns an alterReply function that loses, mismatches or duplicates this percentage of the replies.
func (s *sim) replyFaults(percent int) func(*protocol.DispatchReply) (lost, duplicate bool) {
	return func(r *protocol.DispatchReply) (bool, bool) {
		if s.rng.Intn(100) >= percent {
			return false, false
		}
		fault := s.rng.Intn(3)
		if fault == 0 {
			r.DispatchID, r.Outcome.Output = "another", []byte(`"another"`)
		}
		return fault == 1, fault == 2
	}
}

// check fails the test unless the caller got exactly one outcome, in time, that agrees with the number of starts.
func (r *simResult) check(t *rapid.T) {
	if len(r.outcomes) != 1 {
		t.Fatalf("request %s has %d outcomes: %v", r.req.Key.ID, len(r.outcomes), r.outcomes)
	}
	o := r.outcomes[0]
	swapped := o.Result == model.ResultDone && string(o.Output) != `"`+r.req.Key.ID+`"`
	inaccurate := r.started > 0 && !o.Ran || o.Result == model.ResultUnknown && !o.Ran ||
		o.Result == model.ResultRefused && o.Ran
	if swapped || inaccurate || r.took > r.req.Timeout {
		t.Errorf("%+v started %d times, took %v, outcome %+v", r.req, r.started, r.took, o)
	}
}
