// Package model holds the typed values that the slices of masticcart share.
package model

import "fmt"

// Adjacency says how close together the accelerators of one shape must be.
type Adjacency string

// The adjacency levels, from the tightest to the loosest.
const (
	AdjacentWorker     Adjacency = "worker"
	AdjacentRack       Adjacency = "rack"
	AdjacentDatacenter Adjacency = "datacenter"
)

// Level orders adjacencies: 0 is the tightest. Unknown values return -1.
func (a Adjacency) Level() int {
	switch a {
	case AdjacentWorker:
		return 0
	case AdjacentRack:
		return 1
	case AdjacentDatacenter:
		return 2
	}
	return -1
}

// MaxGangAccelerators is the largest gang that a job may ask for.
const MaxGangAccelerators = 1024

// Shape is the capacity that a job runs on: either accelerators with a required
// adjacency, or one or more slots of an executor.
type Shape struct {
	Accelerators int       `json:"accelerators,omitempty"`
	Adjacency    Adjacency `json:"adjacency,omitempty"`
	Slots        int       `json:"slots,omitempty"`
}

// UsesAccelerators reports whether the shape is placed on workers.
func (s Shape) UsesAccelerators() bool { return s.Accelerators > 0 }

// Validate reports the first reason for which the shape is malformed.
func (s Shape) Validate() error {
	switch {
	case s.Accelerators < 0 || s.Slots < 0:
		return fmt.Errorf("shape: accelerators %d and slots %d must not be negative", s.Accelerators, s.Slots)
	case s.Accelerators > 0 && s.Slots > 0:
		return fmt.Errorf("shape: accelerators %d and slots %d exclude each other", s.Accelerators, s.Slots)
	case s.Accelerators == 0 && s.Slots == 0:
		return fmt.Errorf("shape: accelerators or slots is required")
	case s.Accelerators > MaxGangAccelerators:
		return fmt.Errorf("shape: %d accelerators exceed the largest gang of %d", s.Accelerators, MaxGangAccelerators)
	case s.Slots > 1:
		return fmt.Errorf("shape: %d slots, only 1 is supported", s.Slots)
	case s.Accelerators > 0 && s.Adjacency.Level() < 0:
		return fmt.Errorf("shape: adjacency %q is not worker, rack or datacenter", s.Adjacency)
	}
	return nil
}

// String formats the shape for logs and tables.
func (s Shape) String() string {
	if s.UsesAccelerators() {
		return fmt.Sprintf("%d accelerators/%s", s.Accelerators, s.Adjacency)
	}
	return fmt.Sprintf("%d slots", s.Slots)
}
