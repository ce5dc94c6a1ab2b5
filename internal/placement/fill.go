package placement

import (
	"cmp"
	"slices"
	"time"

	"masticcart.example/masticcart/internal/model"
)

// release is a running job whose units may become free, at a cost: lost work when it is preempted, time when it
// is waited for.
type release struct {
	running *RunningJob
	cost    time.Duration
	units   []alloc // on usable workers
	victim  *victim // nil when the job is waited for
}

// newRelease resolves the members of a running job once, for all searches of the plan.
func (st *state) newRelease(r *RunningJob, cost time.Duration, v *victim) release {
	out := release{running: r, cost: cost, victim: v}
	for _, m := range r.Members {
		if w, ok := st.f.position[m.Agent]; ok && !st.f.workers[w].Unschedulable {
			out.units = append(out.units, alloc{w, m.Units})
		}
	}
	return out
}

// fillScratch holds buffers that are reused between calls of fill.
type fillScratch struct {
	units []int // per worker: free, stopping and released units
	sums  []int // per block: units that the shape could use
}

// filled is the block that fill found.
type filled struct {
	block    int
	releases []int         // indexes into the releases, those that the block needs
	cost     time.Duration // sum over the releases
	sum      int           // usable units of the block with all releases up to the last one
}

// filling is one run of fill.
type filling struct {
	st       *state
	shape    model.Shape
	firm     bool
	releases []release
	above    *model.Class  // only victims of the classes below count
	touching map[int][]int // block: releases with units in it
}

// skips reports whether a release does not count: it is stopped already or its class is not below the job's.
func (fl *filling) skips(r *release) bool {
	return r.victim != nil && (r.victim.stopped || fl.above != nil && r.victim.class.Rank() <= fl.above.Rank())
}

// usable returns the units of a worker that the shape could use.
func (fl *filling) usable(w int) int {
	st := fl.st
	if st.isHidden(w) {
		return 0
	}
	if fl.firm {
		return min(st.scratch.units[w], st.firmLimit(w))
	}
	return st.scratch.units[w]
}

// start counts the units that are free or stopping and returns the smallest block that already has enough.
func (fl *filling) start() (filled, bool) {
	st, f := fl.st, fl.st.f
	st.scratch.units = append(st.scratch.units[:0], st.free...)
	st.scratch.sums = slices.Grow(st.scratch.sums[:0], f.blockCount(fl.shape.Adjacency))
	st.scratch.sums = st.scratch.sums[:f.blockCount(fl.shape.Adjacency)]
	clear(st.scratch.sums)
	for w := range f.workers {
		st.scratch.units[w] += st.soon[w]
		if st.scratch.units[w] > 0 {
			st.scratch.sums[f.blockOf(w, fl.shape.Adjacency)] += fl.usable(w)
		}
	}
	best := filled{block: -1}
	for b, n := range st.scratch.sums {
		if n >= fl.shape.Accelerators && (best.block < 0 || n < best.sum) {
			best = filled{block: b, sum: n}
		}
	}
	return best, best.block >= 0
}

// add counts the units of one release and returns the blocks that now have enough for the first time.
func (fl *filling) add(i int) []int {
	st, f := fl.st, fl.st.f
	var full []int
	for _, u := range fl.releases[i].units {
		w := u.worker
		before := fl.usable(w)
		st.scratch.units[w] += u.units
		b := f.blockOf(w, fl.shape.Adjacency)
		old := st.scratch.sums[b]
		st.scratch.sums[b] += fl.usable(w) - before
		if l := fl.touching[b]; len(l) == 0 || l[len(l)-1] != i {
			fl.touching[b] = append(l, i)
		}
		if old < fl.shape.Accelerators && st.scratch.sums[b] >= fl.shape.Accelerators {
			full = append(full, b)
		}
	}
	return full
}

// cheapest returns the block that has room for the shape at the least total cost, given releases in the order of
// their cost. Within a block the cheapest releases are taken first and those that turn out not to be needed are
// left out. No block that fills up later can be cheaper once the next release alone costs more than the best.
func (fl *filling) cheapest() (filled, bool) {
	best, found := fl.start()
	for i := 0; i < len(fl.releases) && (!found || fl.releases[i].cost < best.cost); i++ {
		if fl.skips(&fl.releases[i]) {
			continue
		}
		for _, b := range fl.add(i) {
			f := fl.trim(b)
			if !found || f.cost < best.cost {
				best, found = f, true
			}
		}
	}
	return best, found
}

// earliest returns the first block that has room when the releases happen one after the other.
func (fl *filling) earliest() (filled, time.Duration, bool) {
	best, found := fl.start()
	if found {
		return best, 0, true
	}
	for i := range fl.releases {
		if full := fl.add(i); len(full) > 0 {
			return filled{block: full[0], sum: fl.st.scratch.sums[full[0]]}, fl.releases[i].cost, true
		}
	}
	return filled{}, 0, false
}

// trim leaves out the releases of a block that it does not need, the costliest first.
func (fl *filling) trim(b int) filled {
	out := filled{block: b, sum: fl.st.scratch.sums[b]}
	list := fl.touching[b]
	spare := out.sum - fl.shape.Accelerators
	for k := len(list) - 1; k >= 0; k-- {
		r := fl.releases[list[k]]
		if n := fl.unitsIn(&r, b); n <= spare {
			spare -= n
			continue
		}
		out.releases = append(out.releases, list[k])
		out.cost += r.cost
	}
	slices.Reverse(out.releases)
	return out
}

// unitsIn returns the units that a job holds in a block.
func (fl *filling) unitsIn(r *release, b int) int {
	n := 0
	for _, u := range r.units {
		if fl.st.f.blockOf(u.worker, fl.shape.Adjacency) == b {
			n += u.units
		}
	}
	return n
}

// newFilling prepares a run for a job.
func (st *state) newFilling(s model.Shape, firm bool, releases []release) *filling {
	return &filling{st: st, shape: s, firm: firm, releases: releases, touching: make(map[int][]int)}
}

func sortReleases(rs []release) {
	slices.SortStableFunc(rs, func(a, b release) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), compareKeys(a.running.Spec.Key, b.running.Spec.Key))
	})
}
