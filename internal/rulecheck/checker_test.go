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
			c.Noted("w", 1)
			c.Died("w")
			start(c, "v", a, 2, 20)
		}},
		"after an end that was lost": {"", func(c *Checker) {
			start(c, "w", a, 1, 0)
			done(c, a)
			c.Died("w")
			start(c, "v", a, 2, 2)
		}},
		"after an end that lapsed": {"", func(c *Checker) {
			start(c, "w", a, 1, 0)
			done(c, a)
			c.Lapsed("w")
			c.Noted("w", 1)
			start(c, "v", a, 2, 12)
		}},
		"step too early": {"ORDER", func(c *Checker) { start(c, "w", b, 1, 0) }},
		"unknown task":   {"UNASKED", func(c *Checker) { start(c, "w", batch.TaskID{Job: "x"}, 1, 0) }},
		"other payload":  {"UNASKED", func(c *Checker) { c.Started("w", a, 1, "other", 0) }},
		"cancelled":      {"UNASKED", func(c *Checker) { c.Cancelled("j", 0); start(c, "w", a, 1, 10) }},
		"too many failures": {"BUDGET", func(c *Checker) {
			start(c, "w", a, 1, 0)
			c.Ended("w", 1, a, 1, batch.OutcomeFailed, time.Second)
			start(c, "w", a, 2, 2)
		}},
		"partial gang":            {"GANG", func(c *Checker) { start(c, "w", gang, 1, 0); done(c, gang) }},
		"refused":                 {"REFUSED", func(c *Checker) { start(c, "w", a, 1, 0); c.Refused("j", 1) }},
		"lost":                    {"LOST", func(c *Checker) { c.Settled("j", batch.Running, false, 1) }},
		"not cancelled by anyone": {"LOST", func(c *Checker) { c.Settled("j", batch.Cancelled, false, 1) }},
		"completed too early":     {"MIXED", func(c *Checker) { c.Settled("j", batch.Completed, false, 1) }},
		"removed key": {"CONFIG", func(c *Checker) {
			c.KeyRemoved("k", 0)
			c.Accepted("j", "k", 6*time.Second)
		}},
		"key that is back": {"", func(c *Checker) {
			c.KeyRemoved("k", 0)
			c.KeyAdded("k")
			c.Accepted("j", "k", 6*time.Second)
		}},
	}
	for name, p := range play {
		c := New(Bounds{MaxAttempts: 1, LateStart: 5 * time.Second, Revocation: 5 * time.Second})
		c.Submitted(batch.Job{ID: "j", Payload: "p", Steps: []batch.Step{{Count: 1}, {Count: 1, After: []int{0}}}})
		c.Submitted(batch.Job{ID: "g", Payload: "p", Steps: []batch.Step{{Count: 2, Gang: true}}})
		p.do(c)
		switch broken := c.Broken(); {
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
	c.Extended(worker, at+10*time.Second)
	c.Started(worker, task, run, "p", at)
}

// done ends the first run of a task on worker w well.
func done(c *Checker, task batch.TaskID) {
	c.Ended("w", 1, task, 1, batch.OutcomeDone, time.Second)
}
