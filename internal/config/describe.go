package config

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"time"

	"masticcart.example/masticcart/internal/evacuation"
	"masticcart.example/masticcart/internal/model"
)

// maxSummaryBytes bounds the summary of one change, so that the history takes up only a small part of the platform's
// value limit.
const maxSummaryBytes = 1000

// DescribeDiff returns a one-line summary of the differences between two configurations. It contains no token hashes.
func DescribeDiff(before, after *model.Config) string {
	var parts []string
	parts = append(parts, diffList("team", before.Teams, after.Teams, teamName, describeTeam)...)
	parts = append(parts, diffList("guarantee", before.Guarantees, after.Guarantees, guaranteeKey, describeGuarantee)...)
	parts = append(parts, diffList("rule", before.Rules, after.Rules, ruleName, describeRule)...)
	parts = append(parts, diffList("evacuation", before.Evacuations.Requests(), after.Evacuations.Requests(),
		func(r evacuation.Request) string { return "of cell " + r.Cell },
		func(r evacuation.Request) string { return "since " + r.Since.UTC().Format(time.RFC3339) })...)
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
	return joinSummary(parts)
}

// diffList describes the items that were created, changed or removed between two lists whose items have unique names.
func diffList[T any](kind string, before, after []T, name func(T) string, describe func(T) string) []string {
	remaining := make(map[string]T, len(before)) // items of before that were not found in after
	for _, b := range before {
		remaining[name(b)] = b
	}
	var parts []string
	for _, a := range after {
		b, existed := remaining[name(a)]
		delete(remaining, name(a))
		switch {
		case !existed:
			parts = append(parts, fmt.Sprintf("%s %s created: %s", kind, name(a), describe(a)))
		case !reflect.DeepEqual(a, b):
			parts = append(parts, fmt.Sprintf("%s %s changed: %s", kind, name(a), describe(a)))
		}
	}
	for _, b := range before {
		if _, removed := remaining[name(b)]; removed {
			parts = append(parts, fmt.Sprintf("%s %s removed", kind, name(b)))
		}
	}
	return parts
}

func teamName(t model.Team) string { return t.Name }

func describeTeam(t model.Team) string {
	return fmt.Sprintf("%d tokens, max-accelerators %d", len(t.TokenHashes), t.MaxAccelerators)
}

// guaranteeKey returns the name that is unique to a guarantee: its team, cell and shape.
func guaranteeKey(g model.Guarantee) string {
	return fmt.Sprintf("%s in %s %s", g.Team, g.Cell, g.Shape)
}

func describeGuarantee(g model.Guarantee) string { return fmt.Sprintf("count %d", g.Count) }

func ruleName(r model.Rule) string { return r.Kind }

func describeRule(r model.Rule) string {
	price := "never"
	if r.CrossRegionPrice >= 0 {
		price = r.CrossRegionPrice.String()
	}
	return fmt.Sprintf("class %s, priority %d, max-wait %s, cross-region-price %s", r.Class, r.Priority, r.MaxWait, price)
}

// joinSummary joins the first part and as many others as fit into maxSummaryBytes, and states how many are left out.
func joinSummary(parts []string) string {
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
