package placement

import (
	"cmp"
	"fmt"
	"slices"

	"masticcart.example/masticcart/internal/model"
)

// guard keeps a set of guaranteed shapes packable. It holds one packing of them as a witness: firm work that
// leaves the witness its units cannot break the guarantee, which is checked without packing again.
type guard struct {
	f        *fleet
	capacity []int // units of each worker that are not in firm use
	reserved []int // units of each worker that the witness uses
	shapes   []model.Shape
	witness  packing
	// pinned blocks are held for claims that wait for preempted jobs: they keep their units, or else the claim
	// would have to preempt again.
	pinned map[int][]alloc
}

func newGuard(f *fleet, capacity []int, shapes []model.Shape) *guard {
	g := &guard{f: f, capacity: capacity, shapes: shapes, pinned: make(map[int][]alloc)}
	g.adopt(pack(f, capacity, shapes))
	return g
}

// adopt makes a packing the witness.
func (g *guard) adopt(p packing) {
	g.witness = p
	g.reserved = make([]int, len(g.capacity))
	for _, allocs := range p.allocs {
		for _, a := range allocs {
			g.reserved[a.worker] += a.units
		}
	}
}

// spare returns the units of a worker that the witness does not need.
func (g *guard) spare(w int) int { return g.capacity[w] - g.reserved[w] }

// release gives up the witness of one shape and returns its units.
func (g *guard) release(i int) []alloc {
	allocs := g.witness.allocs[i]
	for _, a := range allocs {
		g.reserved[a.worker] -= a.units
	}
	g.witness.allocs[i] = nil
	return allocs
}

// restore reserves units for the rest of a shape from those that were released.
func (g *guard) restore(i, need int, from []alloc) {
	g.shapes[i].Accelerators = need
	for _, a := range from {
		n := min(need, a.units, g.spare(a.worker))
		if n <= 0 {
			continue
		}
		g.witness.allocs[i] = append(g.witness.allocs[i], alloc{a.worker, n})
		g.reserved[a.worker] += n
		need -= n
	}
}

// without packs the shapes again as if firm work had taken the units. It reports whether all shapes still fit, or
// as many as in the present witness.
func (g *guard) without(allocs []alloc) (packing, bool) {
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
	p := pack(g.f, capacity, shapes)
	for i, held := range g.pinned {
		p.allocs[i] = held
	}
	return p, len(p.failed) <= len(g.witness.failed)
}

// maxRepacks bounds how often one decision packs all guarantees again, since each takes time that grows with
// the number of workers.
const maxRepacks = 8

// repackAround is the slow part of the guarantee rule, for units that the witness needs: the guarantees are
// packed again around them. It returns false and changes nothing if the guarantees do not fit any more.
func (st *state) repackAround(allocs []alloc, u usage) bool {
	guards := st.guards
	if u == useClaim && len(guards) > 1 {
		guards = guards[:1]
	}
	if st.repacks >= maxRepacks {
		return false
	}
	st.repacks++
	packings := make([]packing, len(guards))
	for i, g := range guards {
		var ok bool
		if packings[i], ok = g.without(allocs); !ok {
			return false
		}
	}
	for i, g := range guards {
		g.adopt(packings[i])
	}
	st.indexFirm()
	return true
}

// permitQuota is the quota rule: a team may use at most MaxAccelerators at a time. It returns what forbids the
// job, or an empty string.
func (st *state) permitQuota(c *candidate) string {
	team := st.config.Team(c.Spec.Key.Team)
	if team == nil || team.MaxAccelerators == 0 || !c.Spec.Shape.UsesAccelerators() {
		return ""
	}
	used := st.used[team.Name]
	if used+c.Spec.Shape.Accelerators <= team.MaxAccelerators {
		return ""
	}
	return fmt.Sprintf("quota: team %s uses %d of %d accelerators and the job needs %d",
		team.Name, used, team.MaxAccelerators, c.Spec.Shape.Accelerators)
}

// permitByRepacking looks for free units that firm work can take once the guarantees are packed differently.
func (st *state) permitByRepacking(c *candidate, u usage) (choice, bool) {
	if len(st.guards) == 0 || st.loose.largest(c.Spec.Shape.Adjacency) < c.Spec.Shape.Accelerators {
		return choice{}, false
	}
	for _, allocs := range st.alternatives(c.Spec.Shape) {
		if st.repackAround(allocs, u) {
			return scored(st.loose, allocs, st.config.Weights), true
		}
		if st.repacks >= maxRepacks {
			break
		}
	}
	return choice{}, false
}

// alternatives lists free blocks for a shape, the tightest first.
func (st *state) alternatives(s model.Shape) [][]alloc {
	x := st.loose
	if s.Adjacency == model.AdjacentDatacenter {
		racks := x.racksByTotal()
		few := gatherRacks(x, racks, s.Accelerators, false)
		slices.Reverse(racks)
		return [][]alloc{few, gatherRacks(x, racks, s.Accelerators, true)}
	}
	available := x.avail
	if s.Adjacency == model.AdjacentRack {
		available = x.rackAvail
	}
	var blocks []int
	for b, n := range available {
		if n >= s.Accelerators {
			blocks = append(blocks, b)
		}
	}
	slices.SortStableFunc(blocks, func(a, b int) int { return cmp.Compare(available[a], available[b]) })
	var out [][]alloc
	for _, b := range blocks[:min(len(blocks), maxRepacks)] {
		out = append(out, gather(x, st.f.blockWorkers(b, s.Adjacency), s.Accelerators, false))
	}
	return out
}

// beginBorrowing adds a guard when guaranteed jobs use their blocks in part or with a looser adjacency: once they
// end, the whole blocks must be reclaimable, which the rests alone do not ensure.
func (st *state) beginBorrowing() {
	if !st.hasSplitBlock() || st.opts.NoGuaranteeCheck {
		return
	}
	capacity := reclaimable(st.s, st.f)
	for i := range st.s.Running {
		if r := &st.s.Running[i]; r.Guaranteed && !r.Stopping {
			for _, m := range r.Members {
				if w, ok := st.f.position[m.Agent]; ok && !st.f.workers[w].Unschedulable {
					capacity[w] += m.Units
				}
			}
		}
	}
	st.guards = append(st.guards, newGuard(st.f, capacity, restShapes(fullBlocks(st.s.Cell, st.config.Guarantees))))
	st.indexFirm()
}
