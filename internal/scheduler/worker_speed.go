package scheduler

import (
	"fmt"
	"strconv"
	"time"

	"k8s.io/klog/v2"

	"masticcart.example/masticcart/internal/relay"
	"masticcart.example/masticcart/internal/scheduler/speed"
)

// maxHealthyFactor is the relative duration up to which a worker counts as slow by nature. A run on a worker that takes
// longer still is judged as on a typical one, so that faults are not taken for the worker's normal speed.
const maxHealthyFactor = 2.2

// speeds returns the estimates for the workers of a service.
func (c *Core) speeds(service string) *speed.Tracker {
	t := c.speedTrackers[service]
	if t == nil {
		t = speed.NewTracker()
		c.speedTrackers[service] = t
	}
	return t
}

// speedClass returns the class of a worker.
func (c *Core) speedClass(w *worker) speed.Class {
	if w == nil || w.info == nil {
		return speed.Unknown
	}
	return c.speeds(w.info.Service).Class(w.node)
}

// workerFactor returns how long the worker on a node takes relative to a typical one. It is exactly 1 for workers that
// are not known to be fast or slow, so that noise changes nothing where workers are alike.
func (c *Core) workerFactor(node string) float64 {
	w := c.workers[node]
	if class := c.speedClass(w); class != speed.Fast && class != speed.Slow {
		return 1
	}
	return c.speeds(w.info.Service).Estimate(node).Factor
}

// healthyFactor is workerFactor for the detection of runs that are slow because of a fault.
func (c *Core) healthyFactor(node string) float64 {
	if f := c.workerFactor(node); f <= maxHealthyFactor {
		return f
	}
	return 1
}

// workBegan returns since when the present run of a task is at work. Members of a gang begin when all of them have
// started; ok is false before that.
func (t *task) workBegan() (at time.Duration, ok bool) {
	at = t.paceSince
	if !t.step.spec.Gang || t.basePercent > 0 {
		return at, t.basePercent >= 0
	}
	for _, m := range t.step.tasks {
		if m.phase == done {
			continue
		}
		if m.phase != assigned || !m.confirmed || m.run != t.run {
			return 0, false
		}
		at = max(at, m.paceSince)
	}
	return at, t.basePercent >= 0
}

// observeSpeed adds the progress of a run to what is known of its worker. percent is the work that is done.
func (c *Core) observeSpeed(w *worker, t *task, percent float64, now time.Duration) {
	if t.phase != assigned || !t.confirmed || t.step.spec.LongRunning {
		return
	}
	if t.observedAt == 0 {
		began, ok := t.workBegan()
		if !ok {
			return
		}
		t.observedAt, t.observedPercent = began, float64(t.basePercent)
		if t.basePercent > 0 {
			t.observedPercent += meanRoundingPercent
		}
	}
	work, took := percent-t.observedPercent, now-t.observedAt
	if work < 1-meanRoundingPercent || took <= 0 {
		return // the reported percentage has not changed
	}
	cold := w.coldUntil > t.observedAt
	t.observedAt, t.observedPercent = now, percent
	if cold {
		return // a cold worker is slow for some time only
	}
	c.speeds(w.info.Service).Observe(w.node, t.speedGroup(), work/took.Seconds(), work, now)
	c.noteSpeedClass(w)
	if t.step.spec.Gang {
		t.step.slowestFactor = max(t.step.slowestFactor, c.workerFactor(w.node))
	}
}

// observeReportedSpeed is observeSpeed for a percentage that a worker has reported, which is rounded down. It leaves
// out members of a gang that are done, since it is not known since when they wait for the others.
func (c *Core) observeReportedSpeed(w *worker, t *task, percent int, now time.Duration) {
	if percent < completePercent {
		c.observeSpeed(w, t, float64(percent)+meanRoundingPercent, now)
	}
}

// meanRoundingPercent is by how much a reported percentage is too low on average.
const meanRoundingPercent = 0.5

// speedGroup identifies the runs that the run of a task can be compared with.
func (t *task) speedGroup() string {
	key := t.id.Job + "/" + strconv.Itoa(t.id.Occurrence) + "/" + strconv.Itoa(t.id.Step)
	if t.remote {
		key += "/remote"
	}
	if t.checkpoint != "" && t.resumed {
		key += "/resumed"
	}
	return key
}

// noteSpeedClass logs a change of a worker's class.
func (c *Core) noteSpeedClass(w *worker) {
	class := c.speedClass(w)
	if class == w.speedClass {
		return
	}
	e := c.speeds(w.info.Service).Estimate(w.node)
	klog.InfoS("Worker's speed class changed", "node", w.node, "worker", w.info.Incarnation, "service", w.info.Service,
		"class", class, "before", w.speedClass, "factor", e.Factor, "confidence", e.Confidence)
	w.speedClass, c.planNeeded = class, true
}

// forgetSpeed drops what is known of the speed of a worker's previous incarnation.
func (c *Core) forgetSpeed(w *worker) {
	for _, t := range c.speedTrackers {
		t.Forget(w.node)
	}
	w.speedClass, w.speedRestored = speed.Unknown, false
}

// SpeedForAgent returns what the agent of a worker keeps for the next leader, or nil if nothing is known.
func (c *Core) SpeedForAgent(node string) *relay.Speed {
	w := c.workers[node]
	if w == nil || w.info == nil {
		return nil
	}
	e := c.speeds(w.info.Service).Estimate(node)
	if e.Confidence == 0 {
		return nil
	}
	return &relay.Speed{Incarnation: w.info.Incarnation, Factor: e.Factor, Confidence: e.Confidence}
}

// restoreSpeed takes over the estimate of a previous leader that an agent returns, once for each incarnation.
func (c *Core) restoreSpeed(w *worker, s *relay.Speed, now time.Duration) {
	if s == nil || w.speedRestored || s.Incarnation != w.info.Incarnation {
		return
	}
	w.speedRestored = true
	e := speed.Estimate{Factor: s.Factor, Confidence: s.Confidence}
	if !e.Valid() {
		klog.InfoS("Ignored implausible speed of a worker", "node", w.node, "worker", s.Incarnation, "factor", s.Factor,
			"confidence", s.Confidence)
		return
	}
	tracker := c.speeds(w.info.Service)
	if tracker.Estimate(w.node).Confidence > 0 {
		return // this leader's own estimate is newer
	}
	tracker.Restore(w.node, e, now)
	c.noteSpeedClass(w)
}

// slowestFactor returns the highest relative duration of workers.
func (c *Core) slowestFactor(nodes []string) float64 {
	slowest := 0.0
	for _, node := range nodes {
		slowest = max(slowest, c.workerFactor(node))
	}
	return slowest
}

// describeSpeed describes what is known of the speed of the worker on a node, for operators.
func (c *Core) describeSpeed(node string) string {
	w := c.workers[node]
	if w == nil || w.info == nil {
		return ""
	}
	e := c.speeds(w.info.Service).Estimate(node)
	return fmt.Sprintf("%s: %.0f %% of a typical duration, confidence %.2f", c.speedClass(w), 100*e.Factor, e.Confidence)
}
