package configcheck

import (
	"slices"
	"strings"
	"testing"
	"time"

	"masticcart.example/masticcart/internal/batch"
)

var fleet = Fleet{"s": 16}

func good() *batch.Catalog {
	return &batch.Catalog{Version: 2, MaxBodyBytes: 1000,
		Queues: []batch.Queue{
			{Name: "a", Host: "h", PathPrefix: "/a/", Service: "s", MaxAttempts: 3, SlackFactor: 1.5,
				TargetLatency: time.Second},
			{Name: "b", Host: "h", PathPrefix: "/", Service: "s", MaxAttempts: 3, SlackFactor: 3, Priority: 1}},
		Services: []batch.Service{{Name: "s"}},
		Teams:    []batch.Team{{Name: "t", Keys: []string{"k"}, GuaranteedAccelerators: 8}, {Name: "u", Keys: []string{"l"}}}}
}

// Guards against each kind of bad configuration passing without a finding, and against findings on a good one. Each case
// spoils one value of a good configuration.
func TestFindings(t *testing.T) {
	if fs := Check(good(), fleet); len(fs) != 0 {
		t.Errorf("good configuration: %v", fs)
	}
	for _, c := range []struct {
		spoil           func(*batch.Catalog)
		level           Level
		subject, detail string
	}{
		{func(c *batch.Catalog) { c.Queues[1].Name = "" }, Error, "queue", "no name"},
		{func(c *batch.Catalog) { c.Queues[1].Name = "a" }, Error, "queue a", "listed twice"},
		{func(c *batch.Catalog) { c.Services = append(c.Services, c.Services[0]) }, Error, "service s", "listed twice"},
		{func(c *batch.Catalog) { c.Teams[1].Name = "t" }, Error, "team t", "listed twice"},
		{func(c *batch.Catalog) { c.Queues[1].Host, c.Queues[1].PathPrefix = "H", "/a/" }, Warning, "queue b", "queue a before it"},
		{func(c *batch.Catalog) { c.Queues[0].Host = "" }, Warning, "queue a", "no host"},
		{func(c *batch.Catalog) { c.Queues[0].Host = "h:80" }, Warning, "queue a", "port"},
		{func(c *batch.Catalog) { c.Queues[0].PathPrefix = "a/" }, Warning, "queue a", "slash"},
		{func(c *batch.Catalog) { c.Queues[0].Priority = -1 }, Error, "queue a", "priority"},
		{func(c *batch.Catalog) { c.Queues[0].MaxAttempts = 0 }, Warning, "queue a", "attempts"},
		{func(c *batch.Catalog) { c.Queues[0].MaxAttempts = -1 }, Error, "queue a", "attempts"},
		{func(c *batch.Catalog) { c.Queues[1].SlackFactor = 0 }, Warning, "queue b", "objective is zero"},
		{func(c *batch.Catalog) { c.Queues[0].SlackFactor = 0.5 }, Warning, "queue a", "longer than 2.0 s"},
		{func(c *batch.Catalog) { c.Queues[0].TargetLatency = -1 }, Error, "queue a", "negative"},
		{func(c *batch.Catalog) { c.Queues[0].Service = "" }, Error, "queue a", "no service"},
		{func(c *batch.Catalog) { c.Queues[0].Service = "x" }, Warning, "queue a", "no workers"},
		{func(c *batch.Catalog) { c.Services[0].Name = "x" }, Warning, "queue a", "not among"},
		{func(c *batch.Catalog) { c.Services = append(c.Services, batch.Service{Name: "x"}) }, Warning, "service x", "no queue"},
		{func(c *batch.Catalog) {
			c.Services = append(c.Services, batch.Service{Name: "x"})
			c.Queues[1].Service = "x"
		}, Warning, "service x", "no workers"},
		{func(c *batch.Catalog) { c.Teams[1].Keys = nil }, Warning, "team u", "no keys"},
		{func(c *batch.Catalog) { c.Teams[1].Keys = []string{"l", ""} }, Warning, "team u", "empty key"},
		{func(c *batch.Catalog) { c.Teams[1].Keys = []string{"k"} }, Error, "team u", "key of team t"},
		{func(c *batch.Catalog) { c.Teams[0].GuaranteedAccelerators = -1 }, Error, "team t", "negative"},
		{func(c *batch.Catalog) { c.Teams[0].GuaranteedAccelerators = 17 }, Warning, "team t", "capacity of 16"},
		{func(c *batch.Catalog) { c.Teams[1].GuaranteedAccelerators = 9 }, Warning, "teams", "17 accelerators together"},
		{func(c *batch.Catalog) { c.Queues[0].Public = true }, Warning, "team t", "never applies"},
	} {
		bad := good()
		c.spoil(bad)
		fs := Check(bad, fleet)
		if !contains(fs, c.level, c.subject, c.detail) || c.level == Warning && HasErrors(fs) {
			t.Errorf("want %s: %s: %s, got %v", c.level, c.subject, c.detail, fs)
		}
	}
	unknownFleet := good()
	unknownFleet.Teams[0].GuaranteedAccelerators = 1000
	if fs := Check(unknownFleet, nil); len(fs) != 0 {
		t.Errorf("unknown fleet: %v", fs)
	}
}

func contains(fs []Finding, l Level, subject, detail string) bool {
	return slices.ContainsFunc(fs, func(f Finding) bool {
		return f.Level == l && f.Subject == subject && strings.Contains(f.Detail, detail)
	})
}

// Guards against a change that is not shown, a version that would be ignored, and keys that are printed.
func TestCompare(t *testing.T) {
	for _, c := range []struct {
		change          func(*batch.Catalog)
		level           Level
		subject, detail string
	}{
		{func(c *batch.Catalog) { c.Queues[0].SlackFactor = 2 }, Difference, "queue a", "slack factor: 2, before: 1.5"},
		{func(c *batch.Catalog) { c.Queues[1].Name = "c" }, Difference, "queue c", "is new"},
		{func(c *batch.Catalog) { c.Queues[1].Name = "c" }, Difference, "queue b", "is removed"},
		{func(c *batch.Catalog) { c.Services[0].EnforcesCapacity = true }, Difference, "service s", "true"},
		{func(c *batch.Catalog) { c.Teams[0].GuaranteedAccelerators = 9 }, Difference, "team t", "guarantee: 9, before: 8"},
		{func(c *batch.Catalog) { c.Teams[0].Keys = []string{"secret", "k"} }, Difference, "team t", "1 added, 0 removed"},
		{func(c *batch.Catalog) { c.MaxBodyBytes = 1 }, Difference, "limits", "body size"},
		{func(c *batch.Catalog) { c.Version = 1 }, Error, "version", "ignored"},
		{func(c *batch.Catalog) { c.Version, c.MaxBodyBytes = 2, 1 }, Warning, "version", "differs"},
	} {
		next := good()
		next.Version++
		c.change(next)
		fs := Compare(HashKeys(good()), HashKeys(next))
		if !contains(fs, c.level, c.subject, c.detail) {
			t.Errorf("want %s: %s: %s, got %v", c.level, c.subject, c.detail, fs)
		}
		if slices.ContainsFunc(fs, func(f Finding) bool { return strings.Contains(f.Detail, "secret") }) {
			t.Errorf("a key is printed: %v", fs)
		}
	}
	next := good()
	next.Version++
	if fs := Compare(HashKeys(good()), HashKeys(next)); len(fs) != 0 {
		t.Errorf("the same configuration differs: %v", fs)
	}
}
