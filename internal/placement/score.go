package placement

import (
	"cmp"
	"slices"

	"masticcart.example/masticcart/internal/model"
)

// scoredBlock is a set of units for one job with its score.
type scoredBlock struct {
	allocs []alloc
	score  float64
}

// bestBlock is the score stage. It returns available units that satisfy the shape, or false if there are none. With
// packing, it chooses the domain with the fewest available units that suffice, which leaves larger domains free for
// larger jobs. Without packing, it chooses the first domain that fits.
func bestBlock(x *availabilityIndex, s model.Shape, w model.Weights, packing bool) (scoredBlock, bool) {
	if s.Accelerators > x.total {
		return scoredBlock{}, false
	}
	if !packing {
		return firstFit(x, s)
	}
	if s.Accelerators == 1 || s.Adjacency == model.AdjacentWorker {
		worker := x.tightestWorker(s.Accelerators)
		if worker < 0 {
			return scoredBlock{}, false
		}
		return scoreBlock(x, []alloc{{worker, s.Accelerators}}, w), true
	}
	if s.Adjacency == model.AdjacentRack {
		rack := x.tightestRack(s.Accelerators)
		if rack < 0 {
			return scoredBlock{}, false
		}
		return higherScored(x, w, gatherUnits(x, x.fleet.racks[rack], s.Accelerators, false),
			gatherUnits(x, x.fleet.racks[rack], s.Accelerators, true)), true
	}
	racks := x.racksByTotal()
	fromFullest := gatherRackUnits(x, racks, s.Accelerators, false)
	slices.Reverse(racks)
	return higherScored(x, w, fromFullest, gatherRackUnits(x, racks, s.Accelerators, true)), true
}

// higherScored returns the allocation with the higher score, or the first one if the scores are equal.
func higherScored(x *availabilityIndex, w model.Weights, a, b []alloc) scoredBlock {
	ca, cb := scoreBlock(x, a, w), scoreBlock(x, b, w)
	if cb.score > ca.score {
		return cb
	}
	return ca
}

// scoreBlock computes the score of an allocation. The completion time term favours few members, since a gang fails with
// the loss of any member. The fragmentation term favours workers that are already in use, which keeps idle workers free
// for larger jobs, and workers on which few units are left over.
func scoreBlock(x *availabilityIndex, allocs []alloc, w model.Weights) scoredBlock {
	units, idle, leftover := 0, 0, 0
	for _, a := range allocs {
		units += a.units
		leftover += x.avail[a.worker] - a.units
		if x.avail[a.worker] == x.fleet.workers[a.worker].Units {
			idle += a.units
		}
	}
	compactness := 1 / float64(max(len(allocs), 1))
	density := 1 - float64(idle+leftover)/float64(max(units+leftover, 1))
	return scoredBlock{allocs: allocs, score: w.CompletionTime*compactness + w.Fragmentation*density}
}

// gatherUnits allocates units of the given workers: from those with the fewest available units up or, with compact, on
// as few workers as possible.
func gatherUnits(x *availabilityIndex, workers []int, need int, compact bool) []alloc {
	order := make([]int, 0, len(workers))
	for _, w := range workers {
		if x.avail[w] > 0 {
			order = append(order, w)
		}
	}
	slices.SortStableFunc(order, func(a, b int) int {
		if compact {
			return cmp.Compare(x.avail[b], x.avail[a])
		}
		return cmp.Compare(x.avail[a], x.avail[b])
	})
	var out []alloc
	for i := 0; i < len(order) && need > 0; i++ {
		w := order[i]
		if compact && x.avail[w] > need {
			w = smallestFit(x, order[i:], need)
		}
		n := min(x.avail[w], need)
		out = append(out, alloc{w, n})
		need -= n
	}
	return out
}

// smallestFit returns the worker with the fewest available units that suffice. The workers must be sorted by descending
// number of available units, and the first one must have enough.
func smallestFit(x *availabilityIndex, order []int, need int) int {
	for i := len(order) - 1; i > 0; i-- {
		if x.avail[order[i]] >= need {
			return order[i]
		}
	}
	return order[0]
}

// gatherRackUnits allocates units of the racks in the given order.
func gatherRackUnits(x *availabilityIndex, racks []int, need int, compact bool) []alloc {
	var out []alloc
	for _, r := range racks {
		if need == 0 {
			break
		}
		n := min(need, x.rackAvail[r])
		out = append(out, gatherUnits(x, x.fleet.racks[r], n, compact)...)
		need -= n
	}
	return out
}

// firstFit returns units of the first domain that fits, in the order of the snapshot.
func firstFit(x *availabilityIndex, s model.Shape) (scoredBlock, bool) {
	for domain := range x.fleet.domainCount(s.Adjacency) {
		var out []alloc
		need := s.Accelerators
		for _, w := range x.fleet.domainWorkers(domain, s.Adjacency) {
			if n := min(need, x.avail[w]); n > 0 {
				out = append(out, alloc{w, n})
				need -= n
			}
		}
		if need == 0 {
			return scoredBlock{allocs: out}, true
		}
	}
	return scoredBlock{}, false
}
