package speed

import (
	"math"
	"slices"
)

// Class is a range of speeds that scheduling treats alike.
type Class string

// Classes of workers.
const (
	Unknown Class = "unknown"
	Fast    Class = "fast"
	Typical Class = "typical"
	Slow    Class = "slow"
)

const (
	// classConfidence is the least confidence with which a worker belongs to a class.
	classConfidence = 0.6
	// differentFactor is the factor from which on a worker differs from a typical one, provided that it is above
	// similarFactor by a standard error. similarFactor, at which it returns to the typical class, is lower, so that a
	// worker near the limit does not change its class all the time.
	differentFactor = 1.22
	similarFactor   = 1.15
)

// Class returns the class of a worker.
func (t *Tracker) Class(name string) Class {
	t.update()
	if n := t.byName[name]; n != nil && n.class != "" {
		return n.class
	}
	return Unknown
}

// classify sets the classes of all workers.
func (t *Tracker) classify() {
	for _, n := range t.nodes {
		limit := max(math.Log(differentFactor), math.Log(similarFactor)+1/math.Sqrt(max(n.precision, 1)))
		if n.class == Fast || n.class == Slow {
			limit = math.Log(similarFactor)
		}
		switch {
		case n.confidence() < classConfidence:
			n.class = Unknown
		case n.shrunk > limit:
			n.class = Slow
		case n.shrunk < -limit:
			n.class = Fast
		default:
			n.class = Typical
		}
	}
}

// HasSlow reports whether any worker is known to be slow.
func (t *Tracker) HasSlow() bool {
	t.update()
	return slices.ContainsFunc(t.nodes, func(n *node) bool { return n.class == Slow })
}

// Fastest returns the factor of the fast workers, which a tenth of the known ones is below. It is 1 if none is known.
func (t *Tracker) Fastest() float64 {
	t.update()
	if len(t.known) == 0 {
		return 1
	}
	return math.Exp(min(t.known[len(t.known)/10], 0))
}

// Count returns the number of known workers of a class.
func (t *Tracker) Count(class Class) int {
	t.update()
	count := 0
	for _, n := range t.nodes {
		if n.class == class {
			count++
		}
	}
	return count
}
