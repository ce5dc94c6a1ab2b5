package placement

import (
	"cmp"
	"fmt"
	"slices"

	"masticcart.example/masticcart/internal/model"
)

// guaranteeGuard keeps a set of guaranteed shapes packable. It holds one packing of them as a witness: work that keeps
// its units until it ends cannot break a guarantee as long as it uses no units of the witness. This check needs no new
// packing.
type guaranteeGuard struct {
	fleet        *fleet
	capacity     []int // per worker: units that are free or can be reclaimed
	witnessUnits []int // per worker: units that the witness uses
	shapes       []model.Shape
	witness      packing
	// pinned holds the units of blocks for which a claim waits until preempted jobs stop. Repacking leaves them in
	// place, since the claim would otherwise have to preempt again.
	pinned map[int][]alloc
}

func newGuaranteeGuard(f *fleet, capacity []int, shapes []model.Shape) *guaranteeGuard {
	g := &guaranteeGuard{fleet: f, capacity: capacity, shapes: shapes, pinned: make(map[int][]alloc)}
	g.setWitness(packShapes(f, capacity, shapes))
	return g
}

// setWitness replaces the witness.
func (g *guaranteeGuard) setWitness(p packing) {
	g.witness = p
	g.witnessUnits = make([]int, len(g.capacity))
	for _, allocs := range p.allocs {
		for _, a := range allocs {
			g.witnessUnits[a.worker] += a.units
		}
	}
}

// spareUnits returns the units of a worker that the witness does not need.
func (g *guaranteeGuard) spareUnits(w int) int { return g.capacity[w] - g.witnessUnits[w] }

// releaseWitness removes one shape from the witness and returns the units that it used.
func (g *guaranteeGuard) releaseWitness(i int) []alloc {
	allocs := g.witness.allocs[i]
	for _, a := range allocs {
		g.witnessUnits[a.worker] -= a.units
	}
	g.witness.allocs[i] = nil
	return allocs
}

// restoreWitness sets the size of one shape and adds it to the witness, on units that releaseWitness returned.
func (g *guaranteeGuard) restoreWitness(i, need int, from []alloc) {
	g.shapes[i].Accelerators = need
	for _, a := range from {
		n := min(need, a.units, g.spareUnits(a.worker))
		if n <= 0 {
			continue
		}
		g.witness.allocs[i] = append(g.witness.allocs[i], alloc{a.worker, n})
		g.witnessUnits[a.worker] += n
		need -= n
	}
}

// repackWithout packs the shapes again without the given units. It reports whether at least as many shapes fit as in
// the current witness.
func (g *guaranteeGuard) repackWithout(allocs []alloc) (packing, bool) {
	capacity := append([]int(nil), g.capacity...)
	for _, a := range allocs {
		if capacity[a.worker] -= a.units; capacity[a.worker] < 0 {
			return packing{}, false
		}
	}
	shapes := slices.Clone(g.shapes)
	for i, held := range g.pinned {
		shapes[i].Accelerators = 0
		for _, a := range held {
			if capacity[a.worker] -= a.units; capacity[a.worker] < 0 {
				return packing{}, false
			}
		}
	}
	p := packShapes(g.fleet, capacity, shapes)
	for i, held := range g.pinned {
		p.allocs[i] = held
	}
	return p, len(p.failed) <= len(g.witness.failed)
}

// maxRepacks bounds how often one planning run packs all guarantees again, since the time of each packing grows with
// the number of workers.
const maxRepacks = 8

// repackAround packs the guarantees again without the given units, which the witness needs. This is the slow path of
// the guarantee check. It returns false and keeps the witnesses if the guarantees no longer fit.
func (st *planState) repackAround(allocs []alloc, u usage) bool {
	guards := st.guards
	if u == useGuaranteed && len(guards) > 1 {
		guards = guards[:1]
	}
	if st.repacks >= maxRepacks {
		return false
	}
	st.repacks++
	packings := make([]packing, len(guards))
	for i, g := range guards {
		var ok bool
		if packings[i], ok = g.repackWithout(allocs); !ok {
			return false
		}
	}
	for i, g := range guards {
		g.setWitness(packings[i])
	}
	st.rebuildSpareIndex()
	return true
}

// quotaViolation returns why the job would exceed its team's quota, or an empty string. A team may use at most
// MaxAccelerators at a time.
func (st *planState) quotaViolation(c *candidate) string {
	team := st.config.Team(c.Spec.Key.Team)
	if team == nil || team.MaxAccelerators == 0 || !c.Spec.Shape.UsesAccelerators() {
		return ""
	}
	used := st.usedByTeam[team.Name]
	if used+c.Spec.Shape.Accelerators <= team.MaxAccelerators {
		return ""
	}
	return fmt.Sprintf("quota: team %s uses %d of %d accelerators and the job needs %d",
		team.Name, used, team.MaxAccelerators, c.Spec.Shape.Accelerators)
}

// chooseByRepacking looks for free units that a job that keeps its units until it ends can use once the guarantees are
// packed differently.
func (st *planState) chooseByRepacking(c *candidate, u usage) (scoredBlock, bool) {
	if len(st.guards) == 0 || st.freeIndex.largest(c.Spec.Shape.Adjacency) < c.Spec.Shape.Accelerators {
		return scoredBlock{}, false
	}
	for _, allocs := range st.repackCandidates(c.Spec.Shape) {
		if st.repackAround(allocs, u) {
			return scoreBlock(st.freeIndex, allocs, st.config.Weights), true
		}
		if st.repacks >= maxRepacks {
			break
		}
	}
	return scoredBlock{}, false
}

// repackCandidates lists sets of free units for a shape, from the domains with the fewest free units up.
func (st *planState) repackCandidates(s model.Shape) [][]alloc {
	x := st.freeIndex
	if s.Adjacency == model.AdjacentDatacenter {
		racks := x.racksByTotal()
		fromFullest := gatherRackUnits(x, racks, s.Accelerators, false)
		slices.Reverse(racks)
		return [][]alloc{fromFullest, gatherRackUnits(x, racks, s.Accelerators, true)}
	}
	available := x.avail
	if s.Adjacency == model.AdjacentRack {
		available = x.rackAvail
	}
	var domains []int
	for d, n := range available {
		if n >= s.Accelerators {
			domains = append(domains, d)
		}
	}
	slices.SortStableFunc(domains, func(a, b int) int { return cmp.Compare(available[a], available[b]) })
	var out [][]alloc
	for _, d := range domains[:min(len(domains), maxRepacks)] {
		out = append(out, gatherUnits(x, st.fleet.domainWorkers(d, s.Adjacency), s.Accelerators, false))
	}
	return out
}

// guardSplitBlocks adds a guard for the full blocks if guaranteed jobs use only parts of their blocks or have a looser
// adjacency. Once those jobs end, the full blocks must be reclaimable. The guard of the unused parts does not ensure
// that.
func (st *planState) guardSplitBlocks() {
	if !st.hasSplitBlock() || st.opts.NoGuaranteeCheck {
		return
	}
	capacity := reclaimableUnits(st.snapshot, st.fleet)
	for i := range st.snapshot.Running {
		if r := &st.snapshot.Running[i]; r.Guaranteed && !r.Stopping {
			for _, m := range r.Members {
				if w, ok := st.fleet.workerIndex[m.Agent]; ok && !st.fleet.workers[w].Unschedulable {
					capacity[w] += m.Units
				}
			}
		}
	}
	st.guards = append(st.guards, newGuaranteeGuard(st.fleet, capacity,
		unusedShapes(fullBlocks(st.snapshot.Cell, st.config.Guarantees))))
	st.rebuildSpareIndex()
}
