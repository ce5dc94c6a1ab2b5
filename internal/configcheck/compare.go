package configcheck

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"

	"masticcart.example/masticcart/internal/batch"
)

// InForce is the configuration in force, and the workers that are known. Keys are replaced by their hashes.
type InForce struct {
	Catalog *batch.Catalog `json:"catalog"`
	Fleet   Fleet          `json:"fleet,omitempty"`
}

// HashKeys returns a copy of a configuration in which the hashes of keys replace the keys, so that it can be sent and
// compared.
func HashKeys(c *batch.Catalog) *batch.Catalog {
	hashed := *c
	hashed.Teams = slices.Clone(c.Teams)
	for i := range hashed.Teams {
		hashes := make([]string, len(c.Teams[i].Keys))
		for k, key := range c.Teams[i].Keys {
			sum := sha256.Sum256([]byte(key))
			hashes[k] = hex.EncodeToString(sum[:])
		}
		hashed.Teams[i].Keys = hashes
	}
	return &hashed
}

// property is a named value of a configuration entry.
type property struct{ name, value string }

// entry is a configuration entry in a form that can be compared.
type entry struct {
	subject    string
	properties []property
}

// Compare returns the differences of a configuration from the one in force, and errors if it would not take effect. The
// keys of both have to be hashed.
func Compare(inForce, c *batch.Catalog) []Finding {
	var fs []Finding
	before, after := entries(inForce), entries(c)
	for _, e := range after {
		i := slices.IndexFunc(before, func(b entry) bool { return b.subject == e.subject })
		if i < 0 {
			fs = append(fs, Finding{Difference, e.subject, "is new"})
			continue
		}
		for k, p := range e.properties {
			if old := before[i].properties[k].value; old != p.value {
				fs = append(fs, Finding{Difference, e.subject, fmt.Sprintf("%s: %s, before: %s", p.name, p.value, old)})
			}
		}
	}
	for _, e := range before {
		if !slices.ContainsFunc(after, func(a entry) bool { return a.subject == e.subject }) {
			fs = append(fs, Finding{Difference, e.subject, "is removed"})
		}
	}
	fs = append(fs, compareKeys(inForce, c)...)
	switch {
	case c.Version < inForce.Version:
		fs = append(fs, Finding{Error, "version",
			fmt.Sprintf("%d is below %d, which is in force: the configuration would be ignored", c.Version, inForce.Version)})
	case c.Version == inForce.Version && len(fs) > 0:
		fs = append(fs, Finding{Warning, "version", fmt.Sprintf("%d is that of the version in force, which differs", c.Version)})
	}
	return fs
}

// compareKeys returns how many keys each team gains and loses.
func compareKeys(inForce, c *batch.Catalog) []Finding {
	var fs []Finding
	for i := range c.Teams {
		t := &c.Teams[i]
		old := inForce.Team(t.Name)
		if old == nil {
			continue
		}
		if added, removed := countMissing(t.Keys, old.Keys), countMissing(old.Keys, t.Keys); added+removed > 0 {
			fs = append(fs, Finding{Difference, "team " + t.Name,
				fmt.Sprintf("keys: %d added, %d removed", added, removed)})
		}
	}
	return fs
}

// countMissing returns the number of elements of a that b does not have.
func countMissing(a, b []string) int {
	n := 0
	for _, x := range a {
		if !slices.Contains(b, x) {
			n++
		}
	}
	return n
}

// entries returns the entries of a configuration. Those of one kind have the same properties in the same order.
func entries(c *batch.Catalog) []entry {
	es := []entry{{"limits", []property{{"body size", fmt.Sprint(c.MaxBodyBytes)}}}}
	for i := range c.Queues {
		q := &c.Queues[i]
		es = append(es, entry{"queue " + q.Name, []property{
			{"host", q.Host}, {"prefix", q.PathPrefix}, {"service", q.Service}, {"priority", fmt.Sprint(q.Priority)},
			{"attempts", fmt.Sprint(q.MaxAttempts)}, {"slack factor", fmt.Sprint(q.SlackFactor)},
			{"target latency", q.TargetLatency.String()}, {"public", fmt.Sprint(q.Public)}}})
	}
	for _, s := range c.Services {
		es = append(es, entry{"service " + s.Name, []property{{"enforces capacity", fmt.Sprint(s.EnforcesCapacity)}}})
	}
	for i := range c.Teams {
		t := &c.Teams[i]
		es = append(es, entry{"team " + t.Name, []property{{"guarantee", fmt.Sprint(t.GuaranteedAccelerators)}}})
	}
	return es
}
