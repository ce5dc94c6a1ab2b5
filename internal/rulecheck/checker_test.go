package rulecheck

import (
	"strings"
	"testing"
	"time"

	"masticcart.example/masticcart/internal/batch"
)

// Each rule is broken once, and the checker must report exactly that violation. A checker that misses violations would
// make the simulation and the soak test pass wrongly.
func TestEachBrokenRuleIsReported(t *testing.T) {
	a := batch.TaskID{Job: "j", Step: 0}
	b := batch.TaskID{Job: "j", Step: 1}
	gang := batch.TaskID{Job: "g"}
	otherMember := batch.TaskID{Job: "g", Index: 1}
	wide := batch.TaskID{Job: "c"}
	cases := map[string]struct {
		rule   string // empty if no violation is expected
		events func(c *Checker)
	}{
		"running on two workers": {"TWICE", func(c *Checker) { start(c, "w", a, 1, 0); start(c, "v", a, 2, 1) }},
		"after the lease expired": {"", func(c *Checker) {
			start(c, "w", a, 1, 0)
			start(c, "v", a, 2, 11)
		}},
		"after an end that is still listed": {"TWICE", func(c *Checker) {
			start(c, "w", a, 1, 0)
			done(c, a)
			start(c, "v", a, 2, 2)
		}},
		"after an acknowledged end": {"TWICE", func(c *Checker) {
			start(c, "w", a, 1, 0)
			done(c, a)
			c.EndsAcknowledged("w", 1)
			c.WorkerTerminated("w")
			start(c, "v", a, 2, 20)
		}},
		"after an end lost with its worker": {"", func(c *Checker) {
			start(c, "w", a, 1, 0)
			done(c, a)
			c.WorkerTerminated("w")
			start(c, "v", a, 2, 2)
		}},
		"after an end before the lease expired": {"", func(c *Checker) {
			start(c, "w", a, 1, 0)
			done(c, a)
			c.LeaseExpired("w")
			c.EndsAcknowledged("w", 1)
			start(c, "v", a, 2, 12)
		}},
		"step before its dependency": {"ORDER", func(c *Checker) { start(c, "w", b, 1, 0) }},
		"unknown task":               {"UNASKED", func(c *Checker) { start(c, "w", batch.TaskID{Job: "x"}, 1, 0) }},
		"different payload":          {"UNASKED", func(c *Checker) { c.RunStarted("w", a, 1, "other", 0) }},
		"cancelled":                  {"UNASKED", func(c *Checker) { c.JobCancelled("j", 0); start(c, "w", a, 1, 10) }},
		"long-running task after an end": {"", func(c *Checker) {
			lasting := batch.TaskID{Job: "l"}
			start(c, "w", lasting, 1, 0)
			done(c, lasting)
			start(c, "w", lasting, 2, 2)
		}},
		"job of a long-running task is completed": {"MIXED", func(c *Checker) {
			lasting := batch.TaskID{Job: "l"}
			start(c, "w", lasting, 1, 0)
			done(c, lasting)
			c.EndsAcknowledged("w", 1)
			c.FinalStateReported("l", batch.Completed, false, 2*time.Second)
		}},
		"runs on after the cancellation": {"UNASKED", func(c *Checker) {
			start(c, "w", a, 1, 0)
			c.JobCancelled("j", 0)
			c.CheckCancelledRuns(9 * time.Second)
		}},
		"stopped after the cancellation": {"", func(c *Checker) {
			start(c, "w", a, 1, 0)
			c.JobCancelled("j", 0)
			c.RunEnded("w", 1, a, 1, batch.OutcomeStopped, time.Second)
			c.CheckCancelledRuns(9 * time.Second)
		}},
		"cancelled just now": {"", func(c *Checker) {
			start(c, "w", a, 1, 0)
			c.JobCancelled("j", 8*time.Second)
			c.CheckCancelledRuns(9 * time.Second)
		}},
		"too many failures": {"BUDGET", func(c *Checker) {
			start(c, "w", a, 1, 0)
			c.RunEnded("w", 1, a, 1, batch.OutcomeFailed, time.Second)
			start(c, "w", a, 2, 2)
		}},
		"third start after three crashes": {"BUDGET", func(c *Checker) { crash(c, a, 3); crashLater(c, a, 2) }},
		"two starts after three crashes":  {"", func(c *Checker) { crash(c, a, 3); crashLater(c, a, 1) }},
		"more than the capacity": {"LIMIT", func(c *Checker) {
			c.CapacityChanged("w", batch.Resources{Accelerators: 4}, 0)
			c.CapacityChanged("w", batch.Resources{Accelerators: 1}, time.Second)
			c.CapacityChanged("w", batch.Resources{Accelerators: 2}, 2*time.Second)
			start(c, "w", wide, 1, 7)
		}},
		"more than a capacity that has just shrunk": {"", func(c *Checker) {
			c.CapacityChanged("w", batch.Resources{Accelerators: 4}, 0)
			c.CapacityChanged("w", batch.Resources{Accelerators: 2}, 2*time.Second)
			start(c, "w", wide, 1, 7)
		}},
		"beside a run that fills the worker": {"LIMIT", func(c *Checker) {
			c.CapacityChanged("w", batch.Resources{Accelerators: 4}, 0)
			start(c, "w", wide, 1, 1)
			second := wide
			second.Index = 1
			start(c, "w", second, 1, 2)
		}},
		"failed without a cause": {"LOST", func(c *Checker) { c.FinalStateReported("j", batch.Failed, false, 1) }},
		"failed after one crash": {"LOST", func(c *Checker) {
			crash(c, a, 1)
			c.FinalStateReported("j", batch.Failed, false, 1)
		}},
		"given up after two crashes": {"", func(c *Checker) {
			crash(c, a, 2)
			c.FinalStateReported("j", batch.Failed, false, 1)
		}},
		"evacuated data centre": {"EVAC", func(c *Checker) {
			c.EvacuationRequested("z", time.Second)
			c.EvacuationRequested("z", 4*time.Second)
			start(c, "w", a, 1, 7)
		}},
		"evacuated just now": {"", func(c *Checker) { c.EvacuationRequested("z", time.Second); start(c, "w", a, 1, 6) }},
		"taken back": {"", func(c *Checker) {
			c.EvacuationRequested("z", time.Second)
			c.EvacuationWithdrawn("z")
			start(c, "w", a, 1, 7)
		}},
		"delayed member of a partial gang": {"", func(c *Checker) {
			c.AllowPartialGangs()
			start(c, "w", gang, 1, 0)
			done(c, gang)
			start(c, "v", otherMember, 1, 1)
		}},
		"another run of a completed gang": {"TWICE", func(c *Checker) {
			c.AllowPartialGangs()
			start(c, "w", gang, 1, 0)
			done(c, gang)
			start(c, "v", otherMember, 2, 1)
		}},
		"member of a gang that was complete": {"TWICE", func(c *Checker) {
			c.AllowPartialGangs()
			start(c, "w", gang, 1, 0)
			start(c, "v", otherMember, 1, 0)
			done(c, gang)
			start(c, "v", otherMember, 1, 1)
		}},
		"partial gang":                {"GANG", func(c *Checker) { start(c, "w", gang, 1, 0); done(c, gang) }},
		"refused":                     {"REFUSED", func(c *Checker) { start(c, "w", a, 1, 0); c.JobRefused("j", 1) }},
		"lost":                        {"LOST", func(c *Checker) { c.FinalStateReported("j", batch.Running, false, 1) }},
		"cancelled without a request": {"LOST", func(c *Checker) { c.FinalStateReported("j", batch.Cancelled, false, 1) }},
		"completed without its tasks": {"MIXED", func(c *Checker) { c.FinalStateReported("j", batch.Completed, false, 1) }},
		"accepted with a removed key": {"CONFIG", func(c *Checker) {
			c.KeyRemoved("k", 0)
			c.JobAccepted("j", "k", 6*time.Second)
		}},
		"accepted with a key that was added again": {"", func(c *Checker) {
			c.KeyRemoved("k", 0)
			c.KeyAdded("k")
			c.JobAccepted("j", "k", 6*time.Second)
		}},
	}
	for name, tc := range cases {
		c := New(Limits{MaxAttempts: 1, MaxStartAfterCancel: 5 * time.Second, MaxKeyUseAfterRemoval: 5 * time.Second,
			MaxStartAfterShrink: 5 * time.Second, MaxRunAfterCancel: 5 * time.Second,
			MaxStartAfterEvacuation: 5 * time.Second})
		c.WorkerPlaced("w", "z")
		c.JobSubmitted(batch.Job{ID: "c", Payload: "p", Steps: []batch.Step{{Count: 2,
			Need: batch.Resources{Accelerators: 3}}}})
		c.JobSubmitted(batch.Job{ID: "j", Payload: "p", Steps: []batch.Step{{Count: 1}, {Count: 1, After: []int{0}}}})
		c.JobSubmitted(batch.Job{ID: "l", Payload: "p", Steps: []batch.Step{{Count: 1, LongRunning: true}}})
		c.JobSubmitted(batch.Job{ID: "g", Payload: "p", Steps: []batch.Step{{Count: 2, Gang: true}}})
		tc.events(c)
		switch violations := c.Violations(); {
		case tc.rule == "" && len(violations) > 0:
			t.Errorf("%s: violations %v, want none", name, violations)
		case tc.rule != "" && (len(violations) != 1 || !strings.Contains(violations[0], tc.rule+":")):
			t.Errorf("%s: violations %v, want one of rule %s", name, violations, tc.rule)
		}
	}
}

// start records the start of a run under a lease of 10 s.
func start(c *Checker, worker string, task batch.TaskID, run, second int) {
	at := time.Duration(second) * time.Second
	c.LeaseExtended(worker, at+10*time.Second)
	c.RunStarted(worker, task, run, "p", at)
}

// done records that the first run of a task on worker "w" completed after one second.
func done(c *Checker, task batch.TaskID) {
	c.RunEnded("w", 1, task, 1, batch.OutcomeDone, time.Second)
}

// crash records n starts of a task on worker "w" that crash it.
func crash(c *Checker, task batch.TaskID, n int) {
	for run := range n {
		start(c, "w", task, run+1, run)
		c.TaskCrashedWorker(task)
		c.WorkerTerminated("w")
	}
}

// crashLater records n more of them and a last start.
func crashLater(c *Checker, task batch.TaskID, n int) {
	crash(c, task, n)
	start(c, "w", task, n+1, 30)
}
