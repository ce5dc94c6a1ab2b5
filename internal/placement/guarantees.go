package placement

import (
	"cmp"
	"fmt"
	"slices"

	"masticcart.example/masticcart/internal/model"
)

// CheckGuarantees returns an error unless all guaranteed shapes of a cell fit at the same time into its empty workers.
// The error names a shape that does not fit and the capacity. Unschedulable workers count, since the check concerns the
// inventory and not the current state.
func CheckGuarantees(workers []Upstream, cell string, guarantees []model.Guarantee) error {
	f := newFleet(workers)
	capacity := make([]int, len(workers))
	for i := range workers {
		capacity[i] = workers[i].Units
	}
	for _, g := range guarantees {
		if g.Cell != cell {
			continue
		}
		if err := g.Shape.Validate(); err != nil {
			return fmt.Errorf("guarantee of team %s: %w", g.Team, err)
		}
		if !g.Shape.UsesAccelerators() {
			return fmt.Errorf("guarantee of team %s: %s: only accelerators can be guaranteed", g.Team, g.Shape)
		}
	}
	return checkPacking(f, capacity, fullBlocks(cell, guarantees), "the cell "+cell)
}

// checkPacking returns an error that names the first block that does not fit, or nil if all blocks fit.
func checkPacking(f *fleet, capacity []int, blocks []guaranteedBlock, where string) error {
	p := packShapes(f, capacity, unusedShapes(blocks))
	if len(p.failed) == 0 {
		return nil
	}
	units, need := 0, 0
	for _, n := range capacity {
		units += n
	}
	for _, b := range blocks {
		need += b.unused
	}
	b := blocks[p.failed[0]]
	x := newAvailabilityIndex(f, capacity)
	return fmt.Errorf("guarantee of team %s: %s does not fit beside the others into %s: "+
		"%d blocks with %d accelerators are guaranteed, %d accelerators are available, the largest %s has %d",
		b.team, model.Shape{Accelerators: b.unused, Adjacency: b.shape.Adjacency}, where,
		len(blocks), need, units, b.shape.Adjacency, x.largest(b.shape.Adjacency))
}

// guaranteedBlock is one block of a guarantee.
type guaranteedBlock struct {
	team   string
	shape  model.Shape
	unused int // accelerators that no guaranteed job uses
	// split means that a job uses only a part of the block or has a looser adjacency.
	split bool
}

// addJob assigns a job to the block, which must cover it.
func (b *guaranteedBlock) addJob(s model.Shape) {
	b.split = b.split || s.Accelerators < b.shape.Accelerators || s.Adjacency != b.shape.Adjacency
	b.unused -= s.Accelerators
}

// covers reports whether a job of the shape fits into the unused part of the block. A block guarantees no tighter
// adjacency than its own.
func (b *guaranteedBlock) covers(s model.Shape) bool {
	return s.Accelerators > 0 && s.Accelerators <= b.unused &&
		(s.Accelerators == 1 || b.shape.Adjacency.Level() <= s.Adjacency.Level())
}

// unusedShapes returns the shape of the unused part of each block.
func unusedShapes(blocks []guaranteedBlock) []model.Shape {
	out := make([]model.Shape, len(blocks))
	for i, b := range blocks {
		out[i] = model.Shape{Accelerators: b.unused, Adjacency: b.shape.Adjacency}
	}
	return out
}

// fullBlocks lists the guaranteed blocks of a cell, without regard to running jobs.
func fullBlocks(cell string, guarantees []model.Guarantee) []guaranteedBlock {
	var blocks []guaranteedBlock
	for _, g := range guarantees {
		if g.Cell != cell || !g.Shape.UsesAccelerators() {
			continue
		}
		for range g.Count {
			blocks = append(blocks, guaranteedBlock{team: g.Team, shape: g.Shape, unused: g.Shape.Accelerators})
		}
	}
	return blocks
}

// guaranteedBlocks lists the guaranteed blocks of the snapshot's cell, with the running guaranteed jobs assigned to
// them.
func guaranteedBlocks(s *Snapshot) []guaranteedBlock {
	if s.Config == nil {
		return nil
	}
	blocks := fullBlocks(s.Cell, s.Config.Guarantees)
	if len(blocks) == 0 {
		return nil
	}
	shapes := runningGuaranteedShapes(s)
	for team, teamBlocks := range blocksByTeam(blocks) {
		assignJobs(blocks, teamBlocks, shapes[team])
	}
	return blocks
}

// runningGuaranteedShapes lists the shapes of the running guaranteed jobs of each team.
func runningGuaranteedShapes(s *Snapshot) map[string][]model.Shape {
	shapes := make(map[string][]model.Shape)
	for i := range s.Running {
		r := &s.Running[i]
		if r.Guaranteed && !r.Stopping && r.Spec.Shape.UsesAccelerators() {
			shapes[r.Spec.Key.Team] = append(shapes[r.Spec.Key.Team], r.Spec.Shape)
		}
	}
	return shapes
}

// assignJobs assigns the jobs of one team to its blocks and returns how many are covered. The result does not depend on
// the order of the jobs, so that it is the same for every snapshot of the same jobs.
func assignJobs(blocks []guaranteedBlock, teamBlocks []int, jobs []model.Shape) int {
	jobs = slices.Clone(jobs)
	slices.SortFunc(jobs, func(a, b model.Shape) int {
		return cmp.Or(cmp.Compare(b.Accelerators, a.Accelerators), cmp.Compare(a.Adjacency.Level(), b.Adjacency.Level()))
	})
	covered := 0
	for _, s := range jobs {
		if i := smallestCovering(blocks, teamBlocks, s); i >= 0 {
			blocks[i].addJob(s)
			covered++
		}
	}
	return covered
}

// unmetBlocks lists the blocks that are not fully used.
func unmetBlocks(blocks []guaranteedBlock) []guaranteedBlock {
	return slices.DeleteFunc(slices.Clone(blocks), func(b guaranteedBlock) bool { return b.unused == 0 })
}

// UnmetGuarantees lists the blocks that running guaranteed jobs do not use. A block that is used in part is listed with
// its unused accelerators.
func UnmetGuarantees(s *Snapshot) []model.Guarantee {
	var out []model.Guarantee
	for _, b := range unmetBlocks(guaranteedBlocks(s)) {
		g := model.Guarantee{Team: b.team, Cell: s.Cell, Count: 1,
			Shape: model.Shape{Accelerators: b.unused, Adjacency: b.shape.Adjacency}}
		same := func(o model.Guarantee) bool { return o.Team == g.Team && o.Shape == g.Shape }
		if i := slices.IndexFunc(out, same); i >= 0 {
			out[i].Count++
			continue
		}
		out = append(out, g)
	}
	return out
}

// CheckReclaimable checks the invariant of guarantees: the unmet shapes of all teams fit at the same time into the
// accelerators of schedulable workers that are free or used by stopping jobs or preemptible borrowers.
func CheckReclaimable(s *Snapshot) error {
	f := newFleet(s.Workers)
	return checkPacking(f, reclaimableUnits(s, f), unmetBlocks(guaranteedBlocks(s)),
		"the free or preemptible accelerators of cell "+s.Cell)
}

// isNonPreemptible reports whether a running job keeps its units until it ends by itself. That holds for guaranteed
// jobs too, even if they are declared preemptible.
func (r *RunningJob) isNonPreemptible() bool {
	return !r.Stopping && (r.Guaranteed || !r.Spec.Preemptible)
}

// reclaimableUnits returns the units of each worker that a claim can use, after preemption if necessary.
func reclaimableUnits(s *Snapshot, f *fleet) []int {
	out := make([]int, len(f.workers))
	for i := range f.workers {
		out[i] = f.workers[i].Free
	}
	for i := range s.Running {
		r := &s.Running[i]
		if r.isNonPreemptible() {
			continue
		}
		for _, m := range r.Members {
			if w, ok := f.workerIndex[m.Agent]; ok {
				out[w] += m.Units
			}
		}
	}
	for i := range f.workers {
		if f.workers[i].Unschedulable {
			out[i] = 0
		}
		out[i] = min(out[i], f.workers[i].Units)
	}
	return out
}

func blocksByTeam(blocks []guaranteedBlock) map[string][]int {
	out := make(map[string][]int)
	for i, b := range blocks {
		out[b.team] = append(out[b.team], i)
	}
	return out
}

// smallestCovering returns the candidate with the smallest unused part that covers the shape, or -1. Among equal ones
// it prefers the block with the loosest adjacency.
func smallestCovering(blocks []guaranteedBlock, candidates []int, s model.Shape) int {
	best := -1
	for _, i := range candidates {
		b := &blocks[i]
		if !b.covers(s) {
			continue
		}
		if best < 0 || b.unused < blocks[best].unused ||
			b.unused == blocks[best].unused && b.shape.Adjacency.Level() > blocks[best].shape.Adjacency.Level() {
			best = i
		}
	}
	return best
}
