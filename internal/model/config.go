package model

import (
	"time"

	"masticcart.example/masticcart/internal/evacuation"
)

// Class is the priority class of a kind of work.
type Class string

// The classes, in the order in which they are served.
const (
	ClassUrgent     Class = "urgent"
	ClassNormal     Class = "normal"
	ClassDeferrable Class = "deferrable"
)

// Rank returns the position of the class in the order of service, from 0. Unknown values rank as normal.
func (c Class) Rank() int {
	switch c {
	case ClassUrgent:
		return 0
	case ClassDeferrable:
		return 2
	}
	return 1
}

// Team is a tenant. Its callers authenticate with a token whose SHA-256 hash is listed.
type Team struct {
	Name        string   `json:"name"`
	TokenHashes []string `json:"token_hashes,omitempty"` // hex SHA-256
	// MaxAccelerators is the number of accelerators that the team may use at a time in one cell. Zero means no quota.
	MaxAccelerators int `json:"max_accelerators,omitempty"`
}

// Guarantee entitles a team to Count blocks of one shape in a cell.
type Guarantee struct {
	Team  string `json:"team"`
	Cell  string `json:"cell"`
	Shape Shape  `json:"shape"`
	Count int    `json:"count"`
}

// Rule sets how one kind of work is scheduled. Within a class, a lower Priority is served first.
type Rule struct {
	Kind     string `json:"kind"`
	Class    Class  `json:"class"`
	Priority int    `json:"priority"`
	// MaxWait is how long the work may wait before ageing promotes it in the queue. Zero means never.
	MaxWait time.Duration `json:"max_wait,omitempty"`
	// CrossRegionPrice is the waiting time that each kilobyte of paid traffic must save for the work to be sent to
	// another region. Negative means that the work never leaves its region.
	CrossRegionPrice time.Duration `json:"cross_region_price,omitempty"`
}

// Weights sets the weights of the two terms of the placement score, each from 0 to 1.
type Weights struct {
	CompletionTime float64 `json:"completion_time"`
	Fragmentation  float64 `json:"fragmentation"`
}

// Config is the operators' configuration. Version increases by one with each accepted change.
type Config struct {
	Version    int64       `json:"version"`
	Teams      []Team      `json:"teams,omitempty"`
	Guarantees []Guarantee `json:"guarantees,omitempty"`
	Rules      []Rule      `json:"rules,omitempty"`
	Weights    Weights     `json:"weights"`
	// OperatorTokenHashes are the hex SHA-256 hashes of the operators' tokens.
	OperatorTokenHashes []string `json:"operator_token_hashes,omitempty"`
	// Evacuations are the cells in which nothing may start. The revision of a request is the version of the configuration
	// that contained it first.
	Evacuations evacuation.Set `json:"evacuations,omitzero"`
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

// Rule returns the rule for a kind. A kind without a rule has normal class and never leaves its region.
func (c *Config) Rule(kind string) Rule {
	for _, r := range c.Rules {
		if r.Kind == kind {
			return r
		}
	}
	return Rule{Kind: kind, Class: ClassNormal, Priority: DefaultPriority, CrossRegionPrice: -1}
}

// DefaultPriority is the priority of kinds without a rule.
const DefaultPriority = 100
