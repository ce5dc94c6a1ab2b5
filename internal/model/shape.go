// Package model defines the types that the packages of masticcart share.
package model

import "fmt"

// Adjacency is the level of the topology at which all accelerators of one shape must be together.
type Adjacency string

// The adjacency levels, from the tightest to the loosest.
const (
	AdjacentWorker     Adjacency = "worker"
	AdjacentRack       Adjacency = "rack"
	AdjacentDatacenter Adjacency = "datacenter"
)

// Level returns the position of the adjacency in the order from the tightest, which is 0, to the loosest. It returns -1
// for unknown values.
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

// MaxGangAccelerators is the largest number of accelerators of one job.
const MaxGangAccelerators = 1024

// Shape is the capacity that a job needs: either accelerators with a required adjacency, or slots of an executor.
type Shape struct {
	Accelerators int       `json:"accelerators,omitempty"`
	Adjacency    Adjacency `json:"adjacency,omitempty"`
	Slots        int       `json:"slots,omitempty"`
}

// UsesAccelerators reports whether the shape is placed on workers rather than on an executor.
func (s Shape) UsesAccelerators() bool { return s.Accelerators > 0 }

// Validate returns an error that describes the first invalid field, or nil.
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

// String returns the shape in the form used in logs, tables and reasons.
func (s Shape) String() string {
	if s.UsesAccelerators() {
		return fmt.Sprintf("%d accelerators/%s", s.Accelerators, s.Adjacency)
	}
	return fmt.Sprintf("%d slots", s.Slots)
}
