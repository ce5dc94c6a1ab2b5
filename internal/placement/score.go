package placement

import (
	"cmp"
	"slices"

	"masticcart.example/masticcart/internal/model"
)

// choice is a block for one job with its score.
type choice struct {
	allocs []alloc
	score  float64
}

// choose is the score stage. It returns the best-scored set of available units that satisfies the shape, or false.
// It changes nothing. With packing, the tightest block is taken so that larger blocks stay whole; without it,
// the first that fits.
func choose(x *blockIndex, s model.Shape, w model.Weights, packing bool) (choice, bool) {
	if s.Accelerators > x.total {
		return choice{}, false
	}
	if !packing {
		return firstFit(x, s)
	}
	if s.Accelerators == 1 || s.Adjacency == model.AdjacentWorker {
		worker := x.tightestWorker(s.Accelerators)
		if worker < 0 {
			return choice{}, false
		}
		return scored(x, []alloc{{worker, s.Accelerators}}, w), true
	}
	if s.Adjacency == model.AdjacentRack {
		rack := x.tightestRack(s.Accelerators)
		if rack < 0 {
			return choice{}, false
		}
		return better(x, w, gather(x, x.f.racks[rack], s.Accelerators, false),
			gather(x, x.f.racks[rack], s.Accelerators, true)), true
	}
	racks := x.racksByTotal()
	fragments := gatherRacks(x, racks, s.Accelerators, false)
	slices.Reverse(racks)
	return better(x, w, fragments, gatherRacks(x, racks, s.Accelerators, true)), true
}

// better returns the candidate with the higher score; the first wins a tie.
func better(x *blockIndex, w model.Weights, a, b []alloc) choice {
	ca, cb := scored(x, a, w), scored(x, b, w)
	if cb.score > ca.score {
		return cb
	}
	return ca
}

// scored rates a candidate. The completion time term favours few members, since a gang ends with the loss of
// any of them. The fragmentation term favours units of workers that are in use already over idle workers, which
// stay whole for others, and leaving few units beside the job.
func scored(x *blockIndex, allocs []alloc, w model.Weights) choice {
	units, idle, stranded := 0, 0, 0
	for _, a := range allocs {
		units += a.units
		stranded += x.avail[a.worker] - a.units
		if x.avail[a.worker] == x.f.workers[a.worker].Units {
			idle += a.units
		}
	}
	compact := 1 / float64(max(len(allocs), 1))
	whole := 1 - float64(idle+stranded)/float64(max(units+stranded, 1))
	return choice{allocs: allocs, score: w.CompletionTime*compact + w.Fragmentation*whole}
}

// gather takes units from the workers given: from the fullest workers up, or in as few members as possible.
func gather(x *blockIndex, workers []int, need int, compact bool) []alloc {
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
			w = lastFit(x, order[i:], need)
		}
		n := min(x.avail[w], need)
		out = append(out, alloc{w, n})
		need -= n
	}
	return out
}

// lastFit returns the last worker of a descending order that has enough units.
func lastFit(x *blockIndex, order []int, need int) int {
	for i := len(order) - 1; i > 0; i-- {
		if x.avail[order[i]] >= need {
			return order[i]
		}
	}
	return order[0]
}

func gatherRacks(x *blockIndex, racks []int, need int, compact bool) []alloc {
	var out []alloc
	for _, r := range racks {
		if need == 0 {
			break
		}
		n := min(need, x.rackAvail[r])
		out = append(out, gather(x, x.f.racks[r], n, compact)...)
		need -= n
	}
	return out
}

// firstFit takes the first block in the order of the snapshot that fits.
func firstFit(x *blockIndex, s model.Shape) (choice, bool) {
	for block := range x.f.blockCount(s.Adjacency) {
		var out []alloc
		need := s.Accelerators
		for _, w := range x.f.blockWorkers(block, s.Adjacency) {
			if n := min(need, x.avail[w]); n > 0 {
				out = append(out, alloc{w, n})
				need -= n
			}
		}
		if need == 0 {
			return choice{allocs: out}, true
		}
	}
	return choice{}, false
}
