package placement

import (
	"cmp"
	"slices"

	"masticcart.example/masticcart/internal/model"
)

// searchBudget bounds the candidates that the exact packing search looks at, which keeps a decision within
// milliseconds when a set of shapes does not fit.
const searchBudget = 100_000

// packing is a set of shapes placed at the same time. Shapes without units did not fit.
type packing struct {
	allocs [][]alloc
	failed []int // indexes of the shapes that did not fit
}

// pack places all shapes at the same time into the capacity given for each worker; shapes of zero accelerators
// need nothing. It first tries the tightest adjacency
// and then the largest shapes first, with best fit, and then searches exhaustively within searchBudget. If
// nothing places all shapes, it returns the greedy result that places most.
func pack(f *fleet, capacity []int, shapes []model.Shape) packing {
	if len(shapes) == 0 {
		return packing{}
	}
	byLevel := shapeOrder(shapes, func(a, b model.Shape) int {
		return cmp.Or(cmp.Compare(a.Adjacency.Level(), b.Adjacency.Level()), cmp.Compare(b.Accelerators, a.Accelerators))
	})
	best := packGreedy(f, capacity, shapes, byLevel)
	if len(best.failed) == 0 {
		return best
	}
	bySize := shapeOrder(shapes, func(a, b model.Shape) int {
		return cmp.Or(cmp.Compare(b.Accelerators, a.Accelerators), cmp.Compare(a.Adjacency.Level(), b.Adjacency.Level()))
	})
	if p := packGreedy(f, capacity, shapes, bySize); len(p.failed) < len(best.failed) {
		best = p
	}
	if len(best.failed) == 0 {
		return best
	}
	if p, ok := packSearch(f, capacity, shapes, bySize); ok {
		return p
	}
	return best
}

func shapeOrder(shapes []model.Shape, compare func(a, b model.Shape) int) []int {
	order := make([]int, len(shapes))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return compare(shapes[a], shapes[b]) })
	return order
}

func packGreedy(f *fleet, capacity []int, shapes []model.Shape, order []int) packing {
	x := newBlockIndex(f, capacity)
	p := packing{allocs: make([][]alloc, len(shapes))}
	for _, i := range order {
		if shapes[i].Accelerators == 0 {
			continue
		}
		c, ok := choose(x, shapes[i], model.Weights{Fragmentation: 1}, true)
		if !ok {
			p.failed = append(p.failed, i)
			continue
		}
		x.take(c.allocs)
		p.allocs[i] = c.allocs
	}
	return p
}

// search is the exact packing by depth-first search. Shapes of a rack only use up the rack's total: their
// units are chosen after all shapes of single workers have theirs, which is always possible then.
type search struct {
	f      *fleet
	shapes []model.Shape
	order  []int
	worker []int // units left on each worker, not counting shapes of racks
	rack   []int // units left in each rack
	total  int
	chosen []int // block of each shape
	budget int
}

func packSearch(f *fleet, capacity []int, shapes []model.Shape, order []int) (packing, bool) {
	s := &search{f: f, shapes: shapes, order: order, worker: slices.Clone(capacity),
		rack: make([]int, len(f.racks)), chosen: make([]int, len(shapes)), budget: searchBudget}
	for w, n := range capacity {
		s.rack[f.rackOf[w]] += n
		s.total += n
	}
	need := 0
	for _, shape := range shapes {
		need += shape.Accelerators
	}
	if need > s.total || !s.descend(0) {
		return packing{}, false
	}
	return s.realize(capacity), true
}

func (s *search) descend(depth int) bool {
	if depth == len(s.order) {
		return true
	}
	i := s.order[depth]
	shape := s.shapes[i]
	if shape.Adjacency == model.AdjacentDatacenter || shape.Accelerators == 0 {
		return s.descend(depth + 1) // the total was checked at the start
	}
	for _, block := range s.candidates(shape) {
		if s.budget <= 0 {
			return false
		}
		s.use(shape, block, 1)
		s.chosen[i] = block
		if s.descend(depth + 1) {
			return true
		}
		s.use(shape, block, -1)
	}
	return false
}

func (s *search) use(shape model.Shape, block, sign int) {
	n := shape.Accelerators * sign
	if shape.Adjacency == model.AdjacentWorker {
		s.worker[block] -= n
		s.rack[s.f.rackOf[block]] -= n
		return
	}
	s.rack[block] -= n
}

// candidates lists the blocks that fit, the tightest first.
func (s *search) candidates(shape model.Shape) []int {
	left := s.rack
	if shape.Adjacency == model.AdjacentWorker {
		left = s.worker
	}
	var out []int
	for b, n := range left {
		s.budget--
		if n < shape.Accelerators {
			continue
		}
		if shape.Adjacency == model.AdjacentWorker && s.rack[s.f.rackOf[b]] < shape.Accelerators {
			continue
		}
		out = append(out, b)
	}
	slices.SortStableFunc(out, func(a, b int) int { return cmp.Compare(left[a], left[b]) })
	return out
}

// realize turns the blocks into units: workers first, then racks, then the data centre.
func (s *search) realize(capacity []int) packing {
	x := newBlockIndex(s.f, capacity)
	p := packing{allocs: make([][]alloc, len(s.shapes))}
	for level := model.AdjacentWorker.Level(); level <= model.AdjacentDatacenter.Level(); level++ {
		for _, i := range s.order {
			shape := s.shapes[i]
			if shape.Adjacency.Level() != level {
				continue
			}
			workers := s.f.blockWorkers(s.chosen[i], shape.Adjacency)
			p.allocs[i] = gather(x, workers, shape.Accelerators, false)
			x.take(p.allocs[i])
		}
	}
	return p
}
