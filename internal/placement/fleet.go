package placement

import (
	"math/bits"

	"masticcart.example/masticcart/internal/model"
)

// alloc is a number of units on one worker, which is identified by its index in the snapshot.
type alloc struct {
	worker int
	units  int
}

// fleet is the immutable topology of a cell's workers.
type fleet struct {
	workers        []Upstream
	workerIndex    map[string]int // index of a worker by its id
	rackOf         []int          // rack of each worker
	racks          [][]int        // workers of each rack
	maxWorkerUnits int            // units of the largest worker
	maxRackUnits   int            // units of the largest rack
	total          int            // units of all workers
}

func newFleet(workers []Upstream) *fleet {
	f := &fleet{
		workers:     workers,
		workerIndex: make(map[string]int, len(workers)),
		rackOf:      make([]int, len(workers)),
	}
	rackByName := make(map[string]int)
	var rackUnits []int
	for i := range workers {
		w := &workers[i]
		f.workerIndex[w.ID] = i
		r, ok := rackByName[w.Rack]
		if !ok {
			r = len(f.racks)
			rackByName[w.Rack] = r
			f.racks = append(f.racks, nil)
			rackUnits = append(rackUnits, 0)
		}
		f.rackOf[i] = r
		f.racks[r] = append(f.racks[r], i)
		rackUnits[r] += w.Units
		f.total += w.Units
		f.maxWorkerUnits = max(f.maxWorkerUnits, w.Units, w.Free)
		f.maxRackUnits = max(f.maxRackUnits, rackUnits[r])
	}
	return f
}

// largestDomain returns the number of units of the largest domain of the adjacency.
func (f *fleet) largestDomain(a model.Adjacency) int {
	switch a {
	case model.AdjacentWorker:
		return f.maxWorkerUnits
	case model.AdjacentRack:
		return f.maxRackUnits
	}
	return f.total
}

// domainOf returns the domain of the adjacency to which a worker belongs.
func (f *fleet) domainOf(worker int, a model.Adjacency) int {
	switch a {
	case model.AdjacentWorker:
		return worker
	case model.AdjacentRack:
		return f.rackOf[worker]
	}
	return 0
}

// domainWorkers returns the workers of a domain.
func (f *fleet) domainWorkers(domain int, a model.Adjacency) []int {
	switch a {
	case model.AdjacentWorker:
		return []int{domain}
	case model.AdjacentRack:
		return f.racks[domain]
	}
	all := make([]int, len(f.workers))
	for i := range all {
		all[i] = i
	}
	return all
}

// domainCount returns the number of domains of the adjacency.
func (f *fleet) domainCount(a model.Adjacency) int {
	switch a {
	case model.AdjacentWorker:
		return len(f.workers)
	case model.AdjacentRack:
		return len(f.racks)
	}
	return 1
}

// availabilityIndex finds the worker or rack with the fewest available units that suffice, without scanning the
// workers. Bit sets over the racks tell which racks have a worker with exactly k available units and which racks have
// exactly t available units in total.
type availabilityIndex struct {
	fleet              *fleet
	avail              []int
	rackAvail          []int
	total              int
	wordsPerRow        int      // length of one bit set
	racksByWorkerUnits []uint64 // bit [k][rack]: the rack has a worker with k available units
	racksByTotalUnits  []uint64 // bit [t][rack]: the rack has t available units
	workerCountsOfRack []int    // [rack][k] number of workers with k available units
	workerCounts       []int    // [k] number of workers with k available units
	rackCounts         []int    // [t] number of racks with t available units
}

// newAvailabilityIndex returns an index of the given available units of each worker.
func newAvailabilityIndex(f *fleet, avail []int) *availabilityIndex {
	x := &availabilityIndex{fleet: f, avail: append([]int(nil), avail...), rackAvail: make([]int, len(f.racks))}
	k, maxRack := 0, 0
	for w, n := range avail {
		k = max(k, n)
		x.rackAvail[f.rackOf[w]] += n
		x.total += n
	}
	for _, n := range x.rackAvail {
		maxRack = max(maxRack, n)
	}
	// Sized for the full units of a worker and a rack, since units can become available again while the index is in use.
	k, maxRack = max(k, f.maxWorkerUnits), max(maxRack, f.maxRackUnits)
	x.wordsPerRow = (len(f.racks) + 63) / 64
	x.racksByWorkerUnits = make([]uint64, (k+1)*x.wordsPerRow)
	x.racksByTotalUnits = make([]uint64, (maxRack+1)*x.wordsPerRow)
	x.workerCountsOfRack = make([]int, len(f.racks)*(k+1))
	x.workerCounts = make([]int, k+1)
	x.rackCounts = make([]int, maxRack+1)
	for w, n := range avail {
		x.addWorker(f.rackOf[w], n)
	}
	for r, n := range x.rackAvail {
		x.addRack(r, n)
	}
	return x
}

// addWorker counts a worker with k available units in a rack.
func (x *availabilityIndex) addWorker(rack, k int) {
	x.workerCounts[k]++
	i := rack*len(x.workerCounts) + k
	x.workerCountsOfRack[i]++
	if x.workerCountsOfRack[i] == 1 {
		x.racksByWorkerUnits[k*x.wordsPerRow+rack/64] |= 1 << (rack % 64)
	}
}

func (x *availabilityIndex) removeWorker(rack, k int) {
	x.workerCounts[k]--
	i := rack*len(x.workerCounts) + k
	x.workerCountsOfRack[i]--
	if x.workerCountsOfRack[i] == 0 {
		x.racksByWorkerUnits[k*x.wordsPerRow+rack/64] &^= 1 << (rack % 64)
	}
}

// addRack counts a rack with t available units.
func (x *availabilityIndex) addRack(rack, t int) {
	x.rackCounts[t]++
	x.racksByTotalUnits[t*x.wordsPerRow+rack/64] |= 1 << (rack % 64)
}

func (x *availabilityIndex) removeRack(rack, t int) {
	x.rackCounts[t]--
	x.racksByTotalUnits[t*x.wordsPerRow+rack/64] &^= 1 << (rack % 64)
}

// setAvailable sets the available units of one worker.
func (x *availabilityIndex) setAvailable(worker, n int) {
	old := x.avail[worker]
	if old == n {
		return
	}
	r := x.fleet.rackOf[worker]
	x.removeWorker(r, old)
	x.addWorker(r, n)
	x.removeRack(r, x.rackAvail[r])
	x.rackAvail[r] += n - old
	x.addRack(r, x.rackAvail[r])
	x.avail[worker] = n
	x.total += n - old
}

// allocate subtracts allocated units from the available ones.
func (x *availabilityIndex) allocate(allocs []alloc) {
	for _, a := range allocs {
		x.setAvailable(a.worker, x.avail[a.worker]-a.units)
	}
}

// tightestWorker returns a worker with the fewest available units that suffice, or -1. Among equal workers it prefers
// the rack with the fewest available units.
func (x *availabilityIndex) tightestWorker(need int) int {
	for k := need; k < len(x.workerCounts); k++ {
		if x.workerCounts[k] == 0 {
			continue
		}
		if r := x.fullestRackWith(k); r >= 0 {
			return x.workerWithUnits(r, k)
		}
	}
	return -1
}

// fullestRackWith returns the rack with the fewest available units among those that have a worker with k available
// units, or -1.
func (x *availabilityIndex) fullestRackWith(k int) int {
	has := x.racksByWorkerUnits[k*x.wordsPerRow : (k+1)*x.wordsPerRow]
	for t := k; t < len(x.rackCounts); t++ {
		if x.rackCounts[t] == 0 {
			continue
		}
		row := x.racksByTotalUnits[t*x.wordsPerRow : (t+1)*x.wordsPerRow]
		for i, word := range row {
			if both := word & has[i]; both != 0 {
				return i*64 + bits.TrailingZeros64(both)
			}
		}
	}
	return -1
}

func (x *availabilityIndex) workerWithUnits(rack, k int) int {
	for _, w := range x.fleet.racks[rack] {
		if x.avail[w] == k {
			return w
		}
	}
	return -1
}

// tightestRack returns a rack with the fewest available units that suffice, or -1.
func (x *availabilityIndex) tightestRack(need int) int {
	for t := need; t < len(x.rackCounts); t++ {
		if x.rackCounts[t] > 0 {
			return x.rackWithTotal(t)
		}
	}
	return -1
}

func (x *availabilityIndex) rackWithTotal(t int) int {
	for i, word := range x.racksByTotalUnits[t*x.wordsPerRow : (t+1)*x.wordsPerRow] {
		if word != 0 {
			return i*64 + bits.TrailingZeros64(word)
		}
	}
	return -1
}

// racksByTotal lists the racks that have available units, by ascending number of units.
func (x *availabilityIndex) racksByTotal() []int {
	var out []int
	for t := 1; t < len(x.rackCounts); t++ {
		if x.rackCounts[t] == 0 {
			continue
		}
		for i, word := range x.racksByTotalUnits[t*x.wordsPerRow : (t+1)*x.wordsPerRow] {
			for ; word != 0; word &= word - 1 {
				out = append(out, i*64+bits.TrailingZeros64(word))
			}
		}
	}
	return out
}

// largest returns the most available units in one domain of the adjacency.
func (x *availabilityIndex) largest(a model.Adjacency) int {
	counts := x.rackCounts
	switch a {
	case model.AdjacentDatacenter:
		return x.total
	case model.AdjacentWorker:
		counts = x.workerCounts
	}
	for n := len(counts) - 1; n > 0; n-- {
		if counts[n] > 0 {
			return n
		}
	}
	return 0
}
