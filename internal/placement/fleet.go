package placement

import (
	"math/bits"

	"masticcart.example/masticcart/internal/model"
)

// alloc is a number of units on one worker, which is named by its position in the snapshot.
type alloc struct {
	worker int
	units  int
}

// fleet holds the fixed part of a cell's workers: positions and racks.
type fleet struct {
	workers  []Upstream
	position map[string]int
	rackOf   []int
	racks    [][]int // worker positions of each rack
	maxUnits int     // of one worker
	maxRack  int     // units of the largest rack
	total    int
}

func newFleet(workers []Upstream) *fleet {
	f := &fleet{
		workers:  workers,
		position: make(map[string]int, len(workers)),
		rackOf:   make([]int, len(workers)),
	}
	rackByName := make(map[string]int)
	var rackUnits []int
	for i := range workers {
		w := &workers[i]
		f.position[w.ID] = i
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
		f.maxUnits = max(f.maxUnits, w.Units, w.Free)
		f.maxRack = max(f.maxRack, rackUnits[r])
	}
	return f
}

// largestBlock returns the most units that one block of the adjacency can have.
func (f *fleet) largestBlock(a model.Adjacency) int {
	switch a {
	case model.AdjacentWorker:
		return f.maxUnits
	case model.AdjacentRack:
		return f.maxRack
	}
	return f.total
}

// blockOf returns the block of the adjacency that a worker belongs to.
func (f *fleet) blockOf(worker int, a model.Adjacency) int {
	switch a {
	case model.AdjacentWorker:
		return worker
	case model.AdjacentRack:
		return f.rackOf[worker]
	}
	return 0
}

// blockWorkers returns the workers of a block.
func (f *fleet) blockWorkers(block int, a model.Adjacency) []int {
	switch a {
	case model.AdjacentWorker:
		return []int{block}
	case model.AdjacentRack:
		return f.racks[block]
	}
	all := make([]int, len(f.workers))
	for i := range all {
		all[i] = i
	}
	return all
}

// blockCount returns the number of blocks of the adjacency.
func (f *fleet) blockCount(a model.Adjacency) int {
	switch a {
	case model.AdjacentWorker:
		return len(f.workers)
	case model.AdjacentRack:
		return len(f.racks)
	}
	return 1
}

// blockIndex finds the tightest worker or rack with enough available units without a scan of the workers.
// It keeps, as bit sets over racks, which racks have a worker with exactly k units and which racks have
// exactly t units in all.
type blockIndex struct {
	f         *fleet
	avail     []int
	rackAvail []int
	total     int
	words     int
	hasWorker []uint64 // [k][rack] bit: the rack has a worker with k available units
	rackTotal []uint64 // [t][rack] bit: the rack has t available units
	perRack   []int    // [rack][k] number of workers with k available units
	perWorker []int    // [k] number of workers with k available units
	perTotal  []int    // [t] number of racks with t available units
}

// newBlockIndex indexes the available units given for each worker.
func newBlockIndex(f *fleet, avail []int) *blockIndex {
	x := &blockIndex{f: f, avail: append([]int(nil), avail...), rackAvail: make([]int, len(f.racks))}
	k, maxRack := 0, 0
	for w, n := range avail {
		k = max(k, n)
		x.rackAvail[f.rackOf[w]] += n
		x.total += n
	}
	for _, n := range x.rackAvail {
		maxRack = max(maxRack, n)
	}
	// Availability never exceeds a worker's units, but a unit can come back while the index is in use.
	k, maxRack = max(k, f.maxUnits), max(maxRack, f.maxRack)
	x.words = (len(f.racks) + 63) / 64
	x.hasWorker = make([]uint64, (k+1)*x.words)
	x.rackTotal = make([]uint64, (maxRack+1)*x.words)
	x.perRack = make([]int, len(f.racks)*(k+1))
	x.perWorker = make([]int, k+1)
	x.perTotal = make([]int, maxRack+1)
	for w, n := range avail {
		x.addWorker(f.rackOf[w], n)
	}
	for r, n := range x.rackAvail {
		x.addRack(r, n)
	}
	return x
}

func (x *blockIndex) addWorker(rack, k int) {
	x.perWorker[k]++
	i := rack*len(x.perWorker) + k
	x.perRack[i]++
	if x.perRack[i] == 1 {
		x.hasWorker[k*x.words+rack/64] |= 1 << (rack % 64)
	}
}

func (x *blockIndex) removeWorker(rack, k int) {
	x.perWorker[k]--
	i := rack*len(x.perWorker) + k
	x.perRack[i]--
	if x.perRack[i] == 0 {
		x.hasWorker[k*x.words+rack/64] &^= 1 << (rack % 64)
	}
}

func (x *blockIndex) addRack(rack, t int) {
	x.perTotal[t]++
	x.rackTotal[t*x.words+rack/64] |= 1 << (rack % 64)
}

func (x *blockIndex) removeRack(rack, t int) {
	x.perTotal[t]--
	x.rackTotal[t*x.words+rack/64] &^= 1 << (rack % 64)
}

// set changes the available units of one worker.
func (x *blockIndex) set(worker, n int) {
	old := x.avail[worker]
	if old == n {
		return
	}
	r := x.f.rackOf[worker]
	x.removeWorker(r, old)
	x.addWorker(r, n)
	x.removeRack(r, x.rackAvail[r])
	x.rackAvail[r] += n - old
	x.addRack(r, x.rackAvail[r])
	x.avail[worker] = n
	x.total += n - old
}

// take removes allocated units.
func (x *blockIndex) take(allocs []alloc) {
	for _, a := range allocs {
		x.set(a.worker, x.avail[a.worker]-a.units)
	}
}

// tightestWorker returns the worker with the fewest available units that are enough, in the rack with the
// fewest available units, or -1.
func (x *blockIndex) tightestWorker(need int) int {
	for k := need; k < len(x.perWorker); k++ {
		if x.perWorker[k] == 0 {
			continue
		}
		if r := x.fullestRackWith(k); r >= 0 {
			return x.workerWith(r, k)
		}
	}
	return -1
}

func (x *blockIndex) fullestRackWith(k int) int {
	has := x.hasWorker[k*x.words : (k+1)*x.words]
	for t := k; t < len(x.perTotal); t++ {
		if x.perTotal[t] == 0 {
			continue
		}
		row := x.rackTotal[t*x.words : (t+1)*x.words]
		for i, word := range row {
			if both := word & has[i]; both != 0 {
				return i*64 + bits.TrailingZeros64(both)
			}
		}
	}
	return -1
}

func (x *blockIndex) workerWith(rack, k int) int {
	for _, w := range x.f.racks[rack] {
		if x.avail[w] == k {
			return w
		}
	}
	return -1
}

// tightestRack returns the rack with the fewest available units that are enough, or -1.
func (x *blockIndex) tightestRack(need int) int {
	for t := need; t < len(x.perTotal); t++ {
		if x.perTotal[t] > 0 {
			return x.firstRack(t)
		}
	}
	return -1
}

func (x *blockIndex) firstRack(t int) int {
	for i, word := range x.rackTotal[t*x.words : (t+1)*x.words] {
		if word != 0 {
			return i*64 + bits.TrailingZeros64(word)
		}
	}
	return -1
}

// racksByTotal lists the racks that have available units, from the fewest to the most.
func (x *blockIndex) racksByTotal() []int {
	var out []int
	for t := 1; t < len(x.perTotal); t++ {
		if x.perTotal[t] == 0 {
			continue
		}
		for i, word := range x.rackTotal[t*x.words : (t+1)*x.words] {
			for ; word != 0; word &= word - 1 {
				out = append(out, i*64+bits.TrailingZeros64(word))
			}
		}
	}
	return out
}

// largest returns the largest available block of an adjacency.
func (x *blockIndex) largest(a model.Adjacency) int {
	counts := x.perTotal
	switch a {
	case model.AdjacentDatacenter:
		return x.total
	case model.AdjacentWorker:
		counts = x.perWorker
	}
	for n := len(counts) - 1; n > 0; n-- {
		if counts[n] > 0 {
			return n
		}
	}
	return 0
}
