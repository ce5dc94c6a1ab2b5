// Package configcheck checks a configuration before operators put it in force. It gets decoded values, so that it says
// what the processes would do with them.
package configcheck

import (
	"fmt"
	"slices"
	"strings"

	"masticcart.example/masticcart/internal/batch"
)

// Level is the severity of a finding.
type Level string

// The levels.
const (
	// Error is what cannot have been meant, or would not take effect.
	Error Level = "error"
	// Warning is a configuration entry that never matches, or limits that contradict each other.
	Warning Level = "warning"
	// Difference is a change of the version in force.
	Difference Level = "difference"
)

// Finding is one result of a check.
type Finding struct {
	Level   Level  `json:"level"`
	Subject string `json:"subject"` // the queue, service or team
	Detail  string `json:"detail"`
}

// HasErrors reports whether any finding is an error.
func HasErrors(fs []Finding) bool {
	return slices.ContainsFunc(fs, func(f Finding) bool { return f.Level == Error })
}

// Fleet is the number of accelerators of the known workers by service. Nil means that the workers are not known.
type Fleet map[string]int

// checker collects findings on a configuration.
type checker struct {
	catalog  *batch.Catalog
	fleet    Fleet
	findings []Finding
}

// Check returns the errors and the warnings on a configuration.
func Check(c *batch.Catalog, fleet Fleet) []Finding {
	x := &checker{catalog: c, fleet: fleet}
	x.checkNames()
	for i := range c.Queues {
		x.checkMatch(i)
		x.checkLimits(&c.Queues[i])
	}
	x.checkServices()
	x.checkKeys()
	x.checkGuarantees()
	return x.findings
}

func (x *checker) add(l Level, subject, format string, args ...any) {
	x.findings = append(x.findings, Finding{Level: l, Subject: subject, Detail: fmt.Sprintf(format, args...)})
}

func (x *checker) checkNames() {
	seen := map[string]bool{}
	check := func(kind, name string) {
		subject := kind + " " + name
		switch {
		case name == "":
			x.add(Error, kind, "a %s has no name", kind)
		case seen[subject]:
			x.add(Error, subject, "is listed twice")
		}
		seen[subject] = true
	}
	for i := range x.catalog.Queues {
		check("queue", x.catalog.Queues[i].Name)
	}
	for _, s := range x.catalog.Services {
		check("service", s.Name)
	}
	for i := range x.catalog.Teams {
		check("team", x.catalog.Teams[i].Name)
	}
}

// checkMatch checks whether requests can reach a queue. Of two queues with the same host and prefix, the first matches.
func (x *checker) checkMatch(index int) {
	q := &x.catalog.Queues[index]
	subject := "queue " + q.Name
	switch {
	case q.Host == "":
		x.add(Warning, subject, "never matches: it has no host")
	case strings.Contains(q.Host, ":"):
		x.add(Warning, subject, "never matches: its host %q has a port, which is not compared", q.Host)
	case !strings.HasPrefix(q.PathPrefix, "/"):
		x.add(Warning, subject, "never matches: its prefix %q does not begin with a slash", q.PathPrefix)
	}
	for i := range x.catalog.Queues[:index] {
		if o := &x.catalog.Queues[i]; strings.EqualFold(o.Host, q.Host) && o.PathPrefix == q.PathPrefix {
			x.add(Warning, subject, "never matches: queue %s before it has the same host %q and prefix %q",
				o.Name, o.Host, o.PathPrefix)
			return
		}
	}
}

func (x *checker) checkLimits(q *batch.Queue) {
	subject := "queue " + q.Name
	if q.Priority < 0 {
		x.add(Error, subject, "priority %d is negative", q.Priority)
	}
	switch {
	case q.MaxAttempts < 0:
		x.add(Error, subject, "attempts: %d is negative", q.MaxAttempts)
	case q.MaxAttempts == 0:
		x.add(Warning, subject, "attempts: 0 means that a task that fails is repeated without a limit")
	}
	switch {
	case q.SlackFactor < 0 || q.TargetLatency < 0:
		x.add(Error, subject, "slack factor %g or target latency %s is negative", q.SlackFactor, q.TargetLatency)
	case q.SlackFactor == 0 && q.TargetLatency == 0:
		x.add(Warning, subject, "the latency objective is zero, so that all jobs are late")
	case q.SlackFactor < 1:
		x.add(Warning, subject, "slack factor %g is below 1: a job whose work takes longer than %.1f s is always late",
			q.SlackFactor, q.TargetLatency.Seconds()/(1-q.SlackFactor))
	}
}

// checkServices checks that each queue has a service with workers, and each service a queue.
func (x *checker) checkServices() {
	listed, used := map[string]bool{}, map[string]bool{}
	for _, s := range x.catalog.Services {
		listed[s.Name] = true
	}
	for i := range x.catalog.Queues {
		q := &x.catalog.Queues[i]
		used[q.Service] = true
		switch {
		case q.Service == "":
			x.add(Error, "queue "+q.Name, "has no service")
		case !x.hasWorkers(q.Service):
			x.add(Warning, "queue "+q.Name, "its jobs never start: service %s has no workers", q.Service)
		case !listed[q.Service]:
			x.add(Warning, "queue "+q.Name, "service %s is not among the services", q.Service)
		}
	}
	for _, s := range x.catalog.Services {
		switch {
		case !used[s.Name]:
			x.add(Warning, "service "+s.Name, "no queue uses it")
		case !x.hasWorkers(s.Name):
			x.add(Warning, "service "+s.Name, "has no workers")
		}
	}
}

// hasWorkers reports whether a service has workers, also if that is not known.
func (x *checker) hasWorkers(service string) bool {
	_, ok := x.fleet[service]
	return ok || x.fleet == nil
}

func (x *checker) checkKeys() {
	owners := map[string]string{}
	for i := range x.catalog.Teams {
		t := &x.catalog.Teams[i]
		usable := 0
		for _, k := range t.Keys {
			if k == "" {
				x.add(Warning, "team "+t.Name, "an empty key never matches")
				continue
			}
			usable++
			if other, ok := owners[k]; ok && other != t.Name {
				x.add(Error, "team "+t.Name, "has a key of team %s, which gets the requests with it", other)
			} else {
				owners[k] = t.Name
			}
		}
		if usable == 0 {
			x.add(Warning, "team "+t.Name, "never matches: it has no keys")
		}
	}
}

// checkGuarantees checks the guarantees against the queues that they apply to and the capacity behind these.
func (x *checker) checkGuarantees() {
	services := map[string]bool{}
	for i := range x.catalog.Queues {
		if q := &x.catalog.Queues[i]; q.Priority == 0 && !q.Public {
			services[q.Service] = true
		}
	}
	capacity, sum := 0, 0
	for s := range services {
		capacity += x.fleet[s]
	}
	for i := range x.catalog.Teams {
		t := &x.catalog.Teams[i]
		n := t.GuaranteedAccelerators
		switch {
		case n < 0:
			x.add(Error, "team "+t.Name, "guarantee of %d accelerators is negative", n)
		case n > 0 && len(services) == 0:
			x.add(Warning, "team "+t.Name, "its guarantee never applies: no queue of priority 0 requires keys")
		case n > capacity && x.fleet != nil:
			x.add(Warning, "team "+t.Name, "guarantee of %d accelerators exceeds the known capacity of %d", n, capacity)
		}
		sum += max(n, 0)
	}
	if x.fleet != nil && len(services) > 0 && sum > capacity {
		x.add(Warning, "teams", "guarantees of %d accelerators together exceed the known capacity of %d", sum, capacity)
	}
}
