package placement

import (
	"cmp"
	"slices"

	"masticcart.example/masticcart/internal/model"
)

// searchBudget is the number of domains that the exhaustive packing search may examine. It keeps a decision within
// milliseconds when a set of shapes does not fit.
const searchBudget = 100_000

// packing is a simultaneous placement of a set of shapes.
type packing struct {
	allocs [][]alloc // of each shape; empty if it did not fit or needs no units
	failed []int     // indexes of the shapes that did not fit
}

// packShapes packs all shapes at the same time into the given capacity of each worker. Shapes of zero accelerators need
// no units. It tries best fit in the order of the tightest adjacency, then best fit in the order of the largest shape,
// and then an exhaustive search within searchBudget. If none of them places all shapes, it returns the best-fit result
// that places the most.
func packShapes(f *fleet, capacity []int, shapes []model.Shape) packing {
	if len(shapes) == 0 {
		return packing{}
	}
	byLevel := sortedIndexes(shapes, func(a, b model.Shape) int {
		return cmp.Or(cmp.Compare(a.Adjacency.Level(), b.Adjacency.Level()), cmp.Compare(b.Accelerators, a.Accelerators))
	})
	best := packGreedy(f, capacity, shapes, byLevel)
	if len(best.failed) == 0 {
		return best
	}
	bySize := sortedIndexes(shapes, func(a, b model.Shape) int {
		return cmp.Or(cmp.Compare(b.Accelerators, a.Accelerators), cmp.Compare(a.Adjacency.Level(), b.Adjacency.Level()))
	})
	if p := packGreedy(f, capacity, shapes, bySize); len(p.failed) < len(best.failed) {
		best = p
	}
	if len(best.failed) == 0 {
		return best
	}
	if p, ok := packExhaustively(f, capacity, shapes, bySize); ok {
		return p
	}
	return best
}

// sortedIndexes returns the indexes of the shapes in the order of compare.
func sortedIndexes(shapes []model.Shape, compare func(a, b model.Shape) int) []int {
	order := make([]int, len(shapes))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return compare(shapes[a], shapes[b]) })
	return order
}

// packGreedy places the shapes one after the other with best fit.
func packGreedy(f *fleet, capacity []int, shapes []model.Shape, order []int) packing {
	x := newAvailabilityIndex(f, capacity)
	p := packing{allocs: make([][]alloc, len(shapes))}
	for _, i := range order {
		if shapes[i].Accelerators == 0 {
			continue
		}
		c, ok := bestBlock(x, shapes[i], model.Weights{Fragmentation: 1}, true)
		if !ok {
			p.failed = append(p.failed, i)
			continue
		}
		x.allocate(c.allocs)
		p.allocs[i] = c.allocs
	}
	return p
}

// packingSearch finds an exact packing by depth-first search. Shapes with rack adjacency only reduce the total of their
// rack. Their workers are chosen after those of all shapes with worker adjacency, which is always possible then.
type packingSearch struct {
	fleet           *fleet
	shapes          []model.Shape
	order           []int
	workerUnits     []int // per worker: remaining units, without regard to shapes of racks
	rackUnits       []int // per rack: remaining units
	total           int   // capacity of all workers
	chosenDomains   []int // domain of each shape
	remainingBudget int
}

// packExhaustively searches for a packing of all shapes. It returns false if there is none or the budget is used up.
func packExhaustively(f *fleet, capacity []int, shapes []model.Shape, order []int) (packing, bool) {
	s := &packingSearch{fleet: f, shapes: shapes, order: order, workerUnits: slices.Clone(capacity),
		rackUnits: make([]int, len(f.racks)), chosenDomains: make([]int, len(shapes)), remainingBudget: searchBudget}
	for w, n := range capacity {
		s.rackUnits[f.rackOf[w]] += n
		s.total += n
	}
	need := 0
	for _, shape := range shapes {
		need += shape.Accelerators
	}
	if need > s.total || !s.placeFrom(0) {
		return packing{}, false
	}
	return s.allocateUnits(capacity), true
}

// placeFrom places the shapes from a position of the order on, and returns false if they do not fit.
func (s *packingSearch) placeFrom(depth int) bool {
	if depth == len(s.order) {
		return true
	}
	i := s.order[depth]
	shape := s.shapes[i]
	if shape.Adjacency == model.AdjacentDatacenter || shape.Accelerators == 0 {
		return s.placeFrom(depth + 1) // packExhaustively has checked the total
	}
	for _, domain := range s.fittingDomains(shape) {
		if s.remainingBudget <= 0 {
			return false
		}
		s.addUse(shape, domain, 1)
		s.chosenDomains[i] = domain
		if s.placeFrom(depth + 1) {
			return true
		}
		s.addUse(shape, domain, -1)
	}
	return false
}

// addUse subtracts the units of a shape from a domain, or adds them back if sign is -1.
func (s *packingSearch) addUse(shape model.Shape, domain, sign int) {
	n := shape.Accelerators * sign
	if shape.Adjacency == model.AdjacentWorker {
		s.workerUnits[domain] -= n
		s.rackUnits[s.fleet.rackOf[domain]] -= n
		return
	}
	s.rackUnits[domain] -= n
}

// fittingDomains lists the domains that have enough units for the shape, by ascending number of remaining units.
func (s *packingSearch) fittingDomains(shape model.Shape) []int {
	remaining := s.rackUnits
	if shape.Adjacency == model.AdjacentWorker {
		remaining = s.workerUnits
	}
	var out []int
	for b, n := range remaining {
		s.remainingBudget--
		if n < shape.Accelerators {
			continue
		}
		if shape.Adjacency == model.AdjacentWorker && s.rackUnits[s.fleet.rackOf[b]] < shape.Accelerators {
			continue
		}
		out = append(out, b)
	}
	slices.SortStableFunc(out, func(a, b int) int { return cmp.Compare(remaining[a], remaining[b]) })
	return out
}

// allocateUnits assigns units of the chosen domains to the shapes: first those with worker adjacency, then rack, then
// data centre.
func (s *packingSearch) allocateUnits(capacity []int) packing {
	x := newAvailabilityIndex(s.fleet, capacity)
	p := packing{allocs: make([][]alloc, len(s.shapes))}
	for level := model.AdjacentWorker.Level(); level <= model.AdjacentDatacenter.Level(); level++ {
		for _, i := range s.order {
			shape := s.shapes[i]
			if shape.Adjacency.Level() != level {
				continue
			}
			workers := s.fleet.domainWorkers(s.chosenDomains[i], shape.Adjacency)
			p.allocs[i] = gatherUnits(x, workers, shape.Accelerators, false)
			x.allocate(p.allocs[i])
		}
	}
	return p
}
