package rulecheck

import (
	"strings"
	"testing"
	"time"

	"masticcart.example/masticcart/internal/batch"
)

// A checker that lets a broken rule pass proves nothing: each rule is broken once, and nothing else is reported.
func TestEachBrokenRuleIsReported(t *testing.T) {
	a := batch.TaskID{Job: "j", Step: 0}
	b := batch.TaskID{Job: "j", Step: 1}
	gang := batch.TaskID{Job: "g"}
	play := map[string]struct {
		rule string // empty: nothing is broken
		do   func(c *Checker)
	}{
		"two workers": {"TWICE", func(c *Checker) { start(c, "w", a, 1, 0); start(c, "v", a, 2, 1) }},
		"after the lease": {"", func(c *Checker) {
			start(c, "w", a, 1, 0)
			start(c, "v", a, 2, 11)
		}},
		"after a listed end": {"TWICE", func(c *Checker) { start(c, "w", a, 1, 0); done(c, a); start(c, "v", a, 2, 2) }},
		"after a noted end": {"TWICE", func(c *Checker) {
			start(c, "w", a, 1, 0)
			done(c, a)
			c.EndsAcknowledged("w", 1)
			c.WorkerTerminated("w")
			start(c, "v", a, 2, 20)
		}},
		"after an end that was lost": {"", func(c *Checker) {
			start(c, "w", a, 1, 0)
			done(c, a)
			c.WorkerTerminated("w")
			start(c, "v", a, 2, 2)
		}},
		"after an end that lapsed": {"", func(c *Checker) {
			start(c, "w", a, 1, 0)
			done(c, a)
			c.LeaseExpired("w")
			c.EndsAcknowledged("w", 1)
			start(c, "v", a, 2, 12)
		}},
		"step too early": {"ORDER", func(c *Checker) { start(c, "w", b, 1, 0) }},
		"unknown task":   {"UNASKED", func(c *Checker) { start(c, "w", batch.TaskID{Job: "x"}, 1, 0) }},
		"other payload":  {"UNASKED", func(c *Checker) { c.RunStarted("w", a, 1, "other", 0) }},
		"cancelled":      {"UNASKED", func(c *Checker) { c.JobCancelled("j", 0); start(c, "w", a, 1, 10) }},
		"too many failures": {"BUDGET", func(c *Checker) {
			start(c, "w", a, 1, 0)
			c.RunEnded("w", 1, a, 1, batch.EndFailed, time.Second)
			start(c, "w", a, 2, 2)
		}},
		"partial gang":            {"GANG", func(c *Checker) { start(c, "w", gang, 1, 0); done(c, gang) }},
		"refused":                 {"REFUSED", func(c *Checker) { start(c, "w", a, 1, 0); c.JobRefused("j", 1) }},
		"lost":                    {"LOST", func(c *Checker) { c.FinalStateReported("j", batch.Running, false, 1) }},
		"not cancelled by anyone": {"LOST", func(c *Checker) { c.FinalStateReported("j", batch.Cancelled, false, 1) }},
		"completed too early":     {"MIXED", func(c *Checker) { c.FinalStateReported("j", batch.Completed, false, 1) }},
		"removed key": {"CONFIG", func(c *Checker) {
			c.KeyRemoved("k", 0)
			c.JobAccepted("j", "k", 6*time.Second)
		}},
		"key that is back": {"", func(c *Checker) {
			c.KeyRemoved("k", 0)
			c.KeyAdded("k")
			c.JobAccepted("j", "k", 6*time.Second)
		}},
	}
	for name, p := range play {
		c := New(Limits{MaxAttempts: 1, MaxStartAfterCancel: 5 * time.Second, MaxKeyUseAfterRemoval: 5 * time.Second})
		c.JobSubmitted(batch.Job{ID: "j", Payload: "p", Steps: []batch.Step{{Count: 1}, {Count: 1, After: []int{0}}}})
		c.JobSubmitted(batch.Job{ID: "g", Payload: "p", Steps: []batch.Step{{Count: 2, Gang: true}}})
		p.do(c)
		switch broken := c.Violations(); {
		case p.rule == "" && len(broken) > 0:
			t.Errorf("%s: %v, want nothing", name, broken)
		case p.rule != "" && (len(broken) != 1 || !strings.Contains(broken[0], p.rule+":")):
			t.Errorf("%s: %v, want one %s", name, broken, p.rule)
		}
	}
}

// start begins a run under a lease of ten seconds.
func start(c *Checker, worker string, task batch.TaskID, run, second int) {
	at := time.Duration(second) * time.Second
	c.LeaseExtended(worker, at+10*time.Second)
	c.RunStarted(worker, task, run, "p", at)
}

// done ends the first run of a task on worker w well.
func done(c *Checker, task batch.TaskID) {
	c.RunEnded("w", 1, task, 1, batch.EndDone, time.Second)
}
