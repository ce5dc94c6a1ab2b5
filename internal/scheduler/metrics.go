package scheduler

import (
	"time"

	"github.com/uber-go/tally/v4"

	"masticcart.example/masticcart/internal/batch"
	"masticcart.example/masticcart/internal/boottime"
	"masticcart.example/masticcart/internal/scheduler/speed"
)

// Metrics holds the counters and histograms of the scheduler.
type Metrics struct {
	scope        tally.Scope
	writeLatency tally.Histogram
	orderLatency tally.Histogram
	lastStats    Stats
	lastLostWork map[LossCause]int64 // core-seconds
	lastYielded  map[string]int64    // core-seconds by team
}

// latencyBuckets range from a call within a data centre to one that timed out.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 12)

// NewMetrics returns the metrics in a sub-scope of scope.
func NewMetrics(scope tally.Scope) *Metrics {
	scope = scope.SubScope("scheduler")
	return &Metrics{scope: scope, writeLatency: scope.Histogram("write_latency", latencyBuckets),
		orderLatency: scope.Histogram("order_latency", latencyBuckets), lastLostWork: map[LossCause]int64{},
		lastYielded: map[string]int64{}}
}

// startTerm prepares for the counts of a new core, which begin at zero.
func (m *Metrics) startTerm() {
	m.lastStats, m.lastLostWork, m.lastYielded = Stats{}, map[LossCause]int64{}, map[string]int64{}
}

func (m *Metrics) recordWrite(took time.Duration) { m.writeLatency.RecordDuration(took) }

func (m *Metrics) recordOrder(kind OrderKind, v batch.Verdict, took time.Duration) {
	m.orderLatency.RecordDuration(took)
	m.scope.Tagged(map[string]string{"order": string(kind), "verdict": string(v)}).Counter("orders").Inc(1)
}

// update adds the events that the core has counted since the last call to the counters, and updates the gauges.
func (m *Metrics) update(c *Core) {
	now := c.Stats()
	for _, x := range [...]struct {
		name        string
		now, before int64
	}{
		{"runs_started", now.Started, m.lastStats.Started}, {"runs_refused", now.Refused, m.lastStats.Refused},
		{"runs_preempted", now.Preempted, m.lastStats.Preempted}, {"runs_lost", now.Lost, m.lastStats.Lost},
		{"runs_failed", now.Failed, m.lastStats.Failed}, {"tasks_done", now.Done, m.lastStats.Done},
		{"start_permissions_expired", now.PermissionsExpired, m.lastStats.PermissionsExpired},
		{"workers_crashed", now.Crashed, m.lastStats.Crashed}, {"tasks_given_up", now.GivenUp, m.lastStats.GivenUp},
		{"late_runs_restarted", now.RestartedLate, m.lastStats.RestartedLate},
		{"runs_relocated", now.Relocated, m.lastStats.Relocated},
	} {
		if x.now > x.before {
			m.scope.Counter(x.name).Inc(x.now - x.before)
		}
	}
	m.lastStats = now
	m.updateLostWork(c)
	m.scope.Gauge("jobs_open").Update(float64(len(c.openJobs)))
	m.scope.Gauge("guaranteed_accelerators_missing").Update(float64(c.missingGuarantees))
	m.scope.Gauge("workers").Update(float64(len(c.workers)))
	classes := map[speed.Class]int{}
	refusing, at := 0, boottime.Now()
	for _, w := range c.sortedWorkers {
		classes[c.speedClass(w)]++
		if w.refusals.Refusing(at) {
			refusing++
		}
	}
	m.scope.Gauge("workers_refusing_starts").Update(float64(refusing))
	for _, class := range [...]speed.Class{speed.Fast, speed.Typical, speed.Slow, speed.Unknown} {
		m.scope.Tagged(map[string]string{"speed": string(class)}).Gauge("workers_by_speed").Update(float64(classes[class]))
	}
	m.scope.Gauge("cells_evacuated").Update(float64(len(c.evacuations.Requests.Requests())))
	m.scope.Gauge("evacuated_runs").Update(float64(c.evacuationStatus.runs))
	m.scope.Gauge("starts_withheld").Update(float64(c.withheldStarts()))
}

// updateLostWork adds the whole core-seconds that were lost since the last call to the counters.
func (m *Metrics) updateLostWork(c *Core) {
	for cause, lost := range c.LostWork() {
		now, before := int64(lost), m.lastLostWork[cause]
		if now > before {
			m.scope.Tagged(map[string]string{"cause": string(cause)}).Counter("lost_core_seconds").Inc(now - before)
		}
		m.lastLostWork[cause] = now
	}
	for team, lost := range c.YieldedWork() {
		now, before := int64(lost), m.lastYielded[team]
		if now > before {
			m.scope.Tagged(map[string]string{"team": team}).Counter("yielded_core_seconds").Inc(now - before)
		}
		m.lastYielded[team] = now
	}
}
