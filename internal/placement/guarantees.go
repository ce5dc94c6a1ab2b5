package placement

import (
	"cmp"
	"fmt"
	"slices"

	"masticcart.example/masticcart/internal/model"
)

// CheckGuarantees returns nil if the guaranteed shapes of a cell pack at the same time into its workers when
// they are empty, otherwise an error that names a shape that does not fit and the figures. Unschedulable workers
// count, since the check is about the inventory.
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
	return packError(f, capacity, fullBlocks(cell, guarantees), "the cell "+cell)
}

// packError returns an error that names the first block that does not fit.
func packError(f *fleet, capacity []int, blocks []block, where string) error {
	p := pack(f, capacity, restShapes(blocks))
	if len(p.failed) == 0 {
		return nil
	}
	units, need := 0, 0
	for _, n := range capacity {
		units += n
	}
	for _, b := range blocks {
		need += b.rest
	}
	b := blocks[p.failed[0]]
	x := newBlockIndex(f, capacity)
	return fmt.Errorf("guarantee of team %s: %s does not fit beside the others into %s: "+
		"%d blocks with %d accelerators are guaranteed, %d accelerators are available, the largest %s has %d",
		b.team, model.Shape{Accelerators: b.rest, Adjacency: b.shape.Adjacency}, where,
		len(blocks), need, units, b.shape.Adjacency, x.largest(b.shape.Adjacency))
}

// block is one guaranteed block. The rest is what running guaranteed jobs do not use of it.
type block struct {
	team  string
	shape model.Shape
	rest  int
	// split means that a job uses the block in part or with a looser adjacency.
	split bool
}

// use books a job that the block covers.
func (b *block) use(s model.Shape) {
	b.split = b.split || s.Accelerators < b.shape.Accelerators || s.Adjacency != b.shape.Adjacency
	b.rest -= s.Accelerators
}

// covers reports whether a job of the shape fits into the rest of the block. A block promises no tighter
// adjacency than its own.
func (b *block) covers(s model.Shape) bool {
	return s.Accelerators > 0 && s.Accelerators <= b.rest &&
		(s.Accelerators == 1 || b.shape.Adjacency.Level() <= s.Adjacency.Level())
}

// restShapes returns the shapes that are still unmet.
func restShapes(blocks []block) []model.Shape {
	out := make([]model.Shape, len(blocks))
	for i, b := range blocks {
		out[i] = model.Shape{Accelerators: b.rest, Adjacency: b.shape.Adjacency}
	}
	return out
}

// fullBlocks lists the guaranteed blocks of a cell.
func fullBlocks(cell string, guarantees []model.Guarantee) []block {
	var blocks []block
	for _, g := range guarantees {
		if g.Cell != cell || !g.Shape.UsesAccelerators() {
			continue
		}
		for range g.Count {
			blocks = append(blocks, block{team: g.Team, shape: g.Shape, rest: g.Shape.Accelerators})
		}
	}
	return blocks
}

// guaranteedBlocks lists the cell's blocks less what running guaranteed jobs use of them.
func guaranteedBlocks(s *Snapshot) []block {
	if s.Config == nil {
		return nil
	}
	blocks := fullBlocks(s.Cell, s.Config.Guarantees)
	if len(blocks) == 0 {
		return nil
	}
	holders := guaranteeHolders(s)
	for team, own := range blocksByTeam(blocks) {
		assign(blocks, own, holders[team])
	}
	return blocks
}

// guaranteeHolders lists the shapes of the running guaranteed jobs of each team.
func guaranteeHolders(s *Snapshot) map[string][]model.Shape {
	holders := make(map[string][]model.Shape)
	for i := range s.Running {
		r := &s.Running[i]
		if r.Guaranteed && !r.Stopping && r.Spec.Shape.UsesAccelerators() {
			holders[r.Spec.Key.Team] = append(holders[r.Spec.Key.Team], r.Spec.Shape)
		}
	}
	return holders
}

// assign books the jobs of one team on its blocks and returns how many are covered. The result depends on the
// set of jobs and not on their order, so that it is the same for every snapshot of the same jobs.
func assign(blocks []block, own []int, jobs []model.Shape) int {
	jobs = slices.Clone(jobs)
	slices.SortFunc(jobs, func(a, b model.Shape) int {
		return cmp.Or(cmp.Compare(b.Accelerators, a.Accelerators), cmp.Compare(a.Adjacency.Level(), b.Adjacency.Level()))
	})
	covered := 0
	for _, s := range jobs {
		if i := covering(blocks, own, s); i >= 0 {
			blocks[i].use(s)
			covered++
		}
	}
	return covered
}

// unmetBlocks lists the blocks that still lack units.
func unmetBlocks(blocks []block) []block {
	return slices.DeleteFunc(slices.Clone(blocks), func(b block) bool { return b.rest == 0 })
}

// UnmetGuarantees lists what each team's guarantees still lack, given the running jobs that use them. A block
// that is used in part is listed with the accelerators that remain of it.
func UnmetGuarantees(s *Snapshot) []model.Guarantee {
	var out []model.Guarantee
	for _, b := range unmetBlocks(guaranteedBlocks(s)) {
		g := model.Guarantee{Team: b.team, Cell: s.Cell, Count: 1,
			Shape: model.Shape{Accelerators: b.rest, Adjacency: b.shape.Adjacency}}
		same := func(o model.Guarantee) bool { return o.Team == g.Team && o.Shape == g.Shape }
		if i := slices.IndexFunc(out, same); i >= 0 {
			out[i].Count++
			continue
		}
		out = append(out, g)
	}
	return out
}

// CheckReclaimable is the invariant of guarantees: the unmet shapes of all teams pack at the same time into
// accelerators that are free, stopping or hold preemptible borrowed work, on usable workers.
func CheckReclaimable(s *Snapshot) error {
	f := newFleet(s.Workers)
	return packError(f, reclaimable(s, f), unmetBlocks(guaranteedBlocks(s)),
		"the free or preemptible accelerators of cell "+s.Cell)
}

// isFirm reports whether a running job keeps its units until it ends.
func (r *RunningJob) isFirm() bool {
	return !r.Stopping && (r.Guaranteed || !r.Spec.Preemptible)
}

// reclaimable returns the units of each worker that a guaranteed claim can get.
func reclaimable(s *Snapshot, f *fleet) []int {
	out := make([]int, len(f.workers))
	for i := range f.workers {
		out[i] = f.workers[i].Free
	}
	for i := range s.Running {
		r := &s.Running[i]
		if r.isFirm() {
			continue
		}
		for _, m := range r.Members {
			if w, ok := f.position[m.Agent]; ok {
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

func blocksByTeam(blocks []block) map[string][]int {
	out := make(map[string][]int)
	for i, b := range blocks {
		out[b.team] = append(out[b.team], i)
	}
	return out
}

// covering returns the block with the smallest rest that covers the shape, or -1.
func covering(blocks []block, candidates []int, s model.Shape) int {
	best := -1
	for _, i := range candidates {
		b := &blocks[i]
		if !b.covers(s) {
			continue
		}
		if best < 0 || b.rest < blocks[best].rest ||
			b.rest == blocks[best].rest && b.shape.Adjacency.Level() > blocks[best].shape.Adjacency.Level() {
			best = i
		}
	}
	return best
}
