package routing

import (
	"github.com/uber-go/tally/v4"

	"masticcart.example/masticcart/internal/model"
)

// counter is a counter of the metrics scope that also keeps its total.
type counter struct {
	total    int64
	exported tally.Counter
}

func (c *counter) inc() {
	c.total++
	c.exported.Inc(1)
}

// gauge is a gauge of the metrics scope that is updated only when its value changes.
type gauge struct {
	last     int
	exported tally.Gauge
}

func (g *gauge) set(n int) {
	if n != g.last {
		g.last = n
		g.exported.Update(float64(n))
	}
}

type metrics struct {
	requests, dispatches, forwards, refusals, errors, retries, retriesDenied counter
	lateReplies, mismatchedReplies, evicted, hedges                          counter

	queued       gauge
	responseTime tally.Timer
	outcomes     map[model.Result]tally.Counter
}

func newMetrics(s tally.Scope) *metrics {
	count := func(name string) counter { return counter{exported: s.Counter(name)} }
	m := &metrics{
		requests: count("requests"), dispatches: count("dispatches"), forwards: count("forwards"),
		refusals: count("refusals"), errors: count("errors"), retries: count("retries"),
		retriesDenied: count("retries_denied"), lateReplies: count("late_answers"),
		mismatchedReplies: count("wrong_answers"), evicted: count("evicted"), hedges: count("second_attempts"),
		queued: gauge{exported: s.Gauge("queued")}, responseTime: s.Timer("answer_time"),
		outcomes: map[model.Result]tally.Counter{},
	}
	for _, r := range []model.Result{
		model.ResultDone, model.ResultFailed, model.ResultRefused, model.ResultCancelled, model.ResultUnknown,
	} {
		m.outcomes[r] = s.Tagged(map[string]string{"result": string(r)}).Counter("outcomes")
	}
	return m
}

// countOutcome counts an outcome by its result.
func (m *metrics) countOutcome(r model.Result) {
	if c := m.outcomes[r]; c != nil {
		c.Inc(1)
	}
}
