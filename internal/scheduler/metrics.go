package scheduler

import (
	"time"

	"github.com/uber-go/tally/v4"

	"masticcart.example/masticcart/internal/batch"
)

// Metrics are the counters and histograms of the scheduler.
type Metrics struct {
	scope  tally.Scope
	writes tally.Histogram
	orders tally.Histogram
	last   Stats
}

// latencyBuckets span a call within a data centre to one that timed out.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 12)

// NewMetrics returns the metrics below a scope.
func NewMetrics(scope tally.Scope) *Metrics {
	scope = scope.SubScope("scheduler")
	return &Metrics{scope: scope, writes: scope.Histogram("write_latency", latencyBuckets),
		orders: scope.Histogram("order_latency", latencyBuckets)}
}

func (m *Metrics) write(took time.Duration) { m.writes.RecordDuration(took) }

func (m *Metrics) order(kind OrderKind, v batch.Verdict, took time.Duration) {
	m.orders.RecordDuration(took)
	m.scope.Tagged(map[string]string{"order": string(kind), "verdict": string(v)}).Counter("orders").Inc(1)
}

// observe counts what the core has decided since the last call.
func (m *Metrics) observe(c *Core) {
	now := c.Stats()
	for _, x := range [...]struct {
		name        string
		now, before int64
	}{
		{"runs_started", now.Started, m.last.Started}, {"runs_refused", now.Refused, m.last.Refused},
		{"runs_preempted", now.Preempted, m.last.Preempted}, {"runs_lost", now.Lost, m.last.Lost},
		{"runs_failed", now.Failed, m.last.Failed}, {"tasks_done", now.Done, m.last.Done},
	} {
		if x.now > x.before {
			m.scope.Counter(x.name).Inc(x.now - x.before)
		}
	}
	m.last = now
	m.scope.Gauge("jobs_open").Update(float64(len(c.order)))
	m.scope.Gauge("workers").Update(float64(len(c.workers)))
}
