package config

import (
	"fmt"
	"reflect"
	"slices"
	"strings"

	"masticcart.example/masticcart/internal/model"
)

// maxSummaryBytes bounds one summary, so that the history takes a small part of the platform's value limit.
const maxSummaryBytes = 1000

// DescribeDiff tells in words what differs between two configurations. It names no token hashes.
func DescribeDiff(before, after *model.Config) string {
	var parts []string
	parts = append(parts, describeList("team", before.Teams, after.Teams, teamName, teamChange)...)
	parts = append(parts, describeList("guarantee", before.Guarantees, after.Guarantees, guaranteeKey, guaranteeChange)...)
	parts = append(parts, describeList("rule", before.Rules, after.Rules, ruleName, ruleChange)...)
	if before.Weights != after.Weights {
		parts = append(parts, fmt.Sprintf("weights: completion-time %g, fragmentation %g",
			after.Weights.CompletionTime, after.Weights.Fragmentation))
	}
	if !slices.Equal(before.OperatorTokenHashes, after.OperatorTokenHashes) {
		parts = append(parts, fmt.Sprintf("operators: %d tokens", len(after.OperatorTokenHashes)))
	}
	if len(parts) == 0 {
		return "no difference"
	}
	return shorten(parts)
}

// describeList compares two lists whose items have unique names.
func describeList[T any](noun string, before, after []T, name func(T) string, change func(T) string) []string {
	old := make(map[string]T, len(before))
	for _, b := range before {
		old[name(b)] = b
	}
	var parts []string
	for _, a := range after {
		b, existed := old[name(a)]
		delete(old, name(a))
		switch {
		case !existed:
			parts = append(parts, fmt.Sprintf("%s %s created: %s", noun, name(a), change(a)))
		case !reflect.DeepEqual(a, b):
			parts = append(parts, fmt.Sprintf("%s %s changed: %s", noun, name(a), change(a)))
		}
	}
	for _, b := range before {
		if _, removed := old[name(b)]; removed {
			parts = append(parts, fmt.Sprintf("%s %s removed", noun, name(b)))
		}
	}
	return parts
}

func teamName(t model.Team) string { return t.Name }

func teamChange(t model.Team) string {
	return fmt.Sprintf("%d tokens, max-accelerators %d", len(t.TokenHashes), t.MaxAccelerators)
}

func guaranteeKey(g model.Guarantee) string {
	return fmt.Sprintf("%s in %s %s", g.Team, g.Cell, g.Shape)
}

func guaranteeChange(g model.Guarantee) string { return fmt.Sprintf("count %d", g.Count) }

func ruleName(r model.Rule) string { return r.Kind }

func ruleChange(r model.Rule) string {
	price := "never"
	if r.CrossRegionPrice >= 0 {
		price = r.CrossRegionPrice.String()
	}
	return fmt.Sprintf("class %s, priority %d, max-wait %s, cross-region-price %s", r.Class, r.Priority, r.MaxWait, price)
}

// shorten joins as many parts as fit and counts the others.
func shorten(parts []string) string {
	var b strings.Builder
	for i, p := range parts {
		if i > 0 {
			b.WriteString(", ")
		}
		if i > 0 && b.Len()+len(p) > maxSummaryBytes {
			fmt.Fprintf(&b, "and %d more differences", len(parts)-i)
			break
		}
		b.WriteString(p)
	}
	return b.String()
}
