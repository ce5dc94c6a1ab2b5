package model

import "time"

// Class is the priority band of a kind of work.
type Class string

// The classes, from the first served to the last.
const (
	ClassUrgent     Class = "urgent"
	ClassNormal     Class = "normal"
	ClassDeferrable Class = "deferrable"
)

// Rank orders classes: 0 is served first. Unknown values rank as normal.
func (c Class) Rank() int {
	switch c {
	case ClassUrgent:
		return 0
	case ClassDeferrable:
		return 2
	}
	return 1
}

// Team is a tenant. Its callers present a token whose SHA-256 is listed.
type Team struct {
	Name        string   `json:"name"`
	TokenHashes []string `json:"token_hashes,omitempty"` // hex SHA-256
	// MaxAccelerators is the quota of accelerators that the team may use at a time in one cell. Zero means no quota.
	MaxAccelerators int `json:"max_accelerators,omitempty"`
}

// Guarantee promises a team Count blocks of one shape in a cell.
type Guarantee struct {
	Team  string `json:"team"`
	Cell  string `json:"cell"`
	Shape Shape  `json:"shape"`
	Count int    `json:"count"`
}

// Rule says how one kind of work is treated. Within a class, a lower Priority is served first.
type Rule struct {
	Kind     string `json:"kind"`
	Class    Class  `json:"class"`
	Priority int    `json:"priority"`
	// MaxWait is how long the work may wait before it ages into the next class. Zero means never.
	MaxWait time.Duration `json:"max_wait,omitempty"`
	// CrossRegionPrice is the wait that one kilobyte of paid traffic must save before the work is sent
	// to another region. Negative means that the work never leaves its region.
	CrossRegionPrice time.Duration `json:"cross_region_price,omitempty"`
}

// Weights sets what placement optimizes. Both are 0 to 1.
type Weights struct {
	CompletionTime float64 `json:"completion_time"`
	Fragmentation  float64 `json:"fragmentation"`
}

// Config is the operators' configuration. Version grows by one with each accepted change.
type Config struct {
	Version    int64       `json:"version"`
	Teams      []Team      `json:"teams,omitempty"`
	Guarantees []Guarantee `json:"guarantees,omitempty"`
	Rules      []Rule      `json:"rules,omitempty"`
	Weights    Weights     `json:"weights"`
	// OperatorTokenHashes are hex SHA-256 hashes of operators' tokens.
	OperatorTokenHashes []string `json:"operator_token_hashes,omitempty"`
}

// Team returns the team with this name, or nil.
func (c *Config) Team(name string) *Team {
	for i := range c.Teams {
		if c.Teams[i].Name == name {
			return &c.Teams[i]
		}
	}
	return nil
}

// Rule returns the rule for a kind; kinds without one are normal work that stays in its region.
func (c *Config) Rule(kind string) Rule {
	for _, r := range c.Rules {
		if r.Kind == kind {
			return r
		}
	}
	return Rule{Kind: kind, Class: ClassNormal, Priority: DefaultPriority, CrossRegionPrice: -1}
}

// DefaultPriority is the priority of kinds of work that no rule names.
const DefaultPriority = 100
