package config

import (
	"encoding/hex"
	"fmt"
	"strings"

	"masticcart.example/masticcart/internal/model"
)

// Limits of values in the document. They keep sums of accelerators far from overflow.
const (
	maxCount       = 1_000_000
	maxQuota       = 100_000_000
	maxPriority    = 1_000_000
	tokenHashChars = 64 // hex digits of a SHA-256
)

// Validate returns an error with the first reason for which a configuration cannot be accepted. It does not check
// whether the workers have room for the guarantees.
func Validate(c *model.Config) error {
	if c.Version < 0 {
		return fmt.Errorf("version %d is negative", c.Version)
	}
	for _, validate := range []func(*model.Config) error{
		validateTeams, validateTokens, validateGuarantees, validateQuotas, validateRules, validateEvacuations,
	} {
		if err := validate(c); err != nil {
			return err
		}
	}
	if err := validateWeight("completion-time", c.Weights.CompletionTime); err != nil {
		return err
	}
	return validateWeight("fragmentation", c.Weights.Fragmentation)
}

func validateTeams(c *model.Config) error {
	seen := make(map[string]bool, len(c.Teams))
	for _, t := range c.Teams {
		switch {
		case !model.ValidName(t.Name):
			return fmt.Errorf("team %q: want 1 to 128 letters, digits, '.', '_' or '-'", t.Name)
		case seen[t.Name]:
			return fmt.Errorf("team %s: is listed twice", t.Name)
		case t.MaxAccelerators < 0 || t.MaxAccelerators > maxQuota:
			return fmt.Errorf("team %s: max-accelerators %d: want 0 to %d", t.Name, t.MaxAccelerators, maxQuota)
		}
		seen[t.Name] = true
	}
	return nil
}

// validateTokens checks the format of token hashes. It also refuses a hash with two owners, since a token must identify
// its caller.
func validateTokens(c *model.Config) error {
	owners := make(map[string]string)
	check := func(owner string, hashes []string) error {
		for _, h := range hashes {
			if _, err := hex.DecodeString(h); err != nil || len(h) != tokenHashChars {
				return fmt.Errorf("%s: a token hash is not a SHA-256 of %d hex digits", owner, tokenHashChars)
			}
			h = strings.ToLower(h)
			if other, ok := owners[h]; ok {
				return fmt.Errorf("%s: a token hash is already in use by %s", owner, other)
			}
			owners[h] = owner
		}
		return nil
	}
	if err := check("operators", c.OperatorTokenHashes); err != nil {
		return err
	}
	for _, t := range c.Teams {
		if err := check("team "+t.Name, t.TokenHashes); err != nil {
			return err
		}
	}
	return nil
}

func validateGuarantees(c *model.Config) error {
	type key struct {
		team, cell string
		shape      model.Shape
	}
	teams := make(map[string]bool, len(c.Teams))
	for _, t := range c.Teams {
		teams[t.Name] = true
	}
	seen := make(map[key]bool, len(c.Guarantees))
	for _, g := range c.Guarantees {
		name := guaranteeName(g)
		k := key{g.Team, g.Cell, g.Shape}
		switch {
		case !teams[g.Team]:
			return fmt.Errorf("%s: no team %q", name, g.Team)
		case !model.ValidName(g.Cell):
			return fmt.Errorf("%s: cell %q: want 1 to 128 letters, digits, '.', '_' or '-'", name, g.Cell)
		case !g.Shape.UsesAccelerators():
			return fmt.Errorf("%s: only accelerators can be guaranteed", name)
		case g.Count < 1 || g.Count > maxCount:
			return fmt.Errorf("%s: count %d: want 1 to %d", name, g.Count, maxCount)
		case seen[k]:
			return fmt.Errorf("%s: is listed twice", name)
		}
		if err := g.Shape.Validate(); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		seen[k] = true
	}
	return nil
}

// validateQuotas refuses guarantees that a team could not use in full because they exceed its own quota. A quota of
// zero means no limit.
func validateQuotas(c *model.Config) error {
	type key struct{ team, cell string }
	quotas := make(map[string]int, len(c.Teams))
	for _, t := range c.Teams {
		quotas[t.Name] = t.MaxAccelerators
	}
	sums := make(map[key]int)
	for _, g := range c.Guarantees {
		k := key{g.Team, g.Cell}
		sums[k] += g.Shape.Accelerators * g.Count
		if quota := quotas[g.Team]; quota > 0 && sums[k] > quota {
			return fmt.Errorf("team %s: the guarantees in %s need %d accelerators, which exceeds its max-accelerators %d",
				g.Team, g.Cell, sums[k], quota)
		}
	}
	return nil
}

func validateRules(c *model.Config) error {
	seen := make(map[string]bool, len(c.Rules))
	for _, r := range c.Rules {
		switch {
		case !model.ValidName(r.Kind):
			return fmt.Errorf("rule %q: want 1 to 128 letters, digits, '.', '_' or '-'", r.Kind)
		case seen[r.Kind]:
			return fmt.Errorf("rule %s: is listed twice", r.Kind)
		case r.Class != model.ClassUrgent && r.Class != model.ClassNormal && r.Class != model.ClassDeferrable:
			return fmt.Errorf("rule %s: class %q is not urgent, normal or deferrable", r.Kind, r.Class)
		case r.Priority < 0 || r.Priority > maxPriority:
			return fmt.Errorf("rule %s: priority %d: want 0 to %d", r.Kind, r.Priority, maxPriority)
		case r.MaxWait < 0:
			return fmt.Errorf("rule %s: max-wait %s is negative", r.Kind, r.MaxWait)
		}
		seen[r.Kind] = true
	}
	return nil
}

func validateEvacuations(c *model.Config) error {
	for _, r := range c.Evacuations.Requests() {
		if !model.ValidName(r.Cell) {
			return fmt.Errorf("evacuation: cell %q: want 1 to 128 letters, digits, '.', '_' or '-'", r.Cell)
		}
	}
	return nil
}

// validateWeight checks that a weight is between 0 and 1. The comparison also refuses NaN.
func validateWeight(name string, w float64) error {
	if w >= 0 && w <= 1 {
		return nil
	}
	return fmt.Errorf("weight %s %g: want 0 to 1", name, w)
}

func guaranteeName(g model.Guarantee) string {
	return "guarantee " + guaranteeKey(g)
}
