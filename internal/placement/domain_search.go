package placement

import (
	"cmp"
	"slices"
	"time"

	"masticcart.example/masticcart/internal/model"
)

// jobRelease is the release of a running job's units at a cost: the lost work if the job is preempted, the remaining
// run time if it is waited for.
type jobRelease struct {
	running *RunningJob
	cost    time.Duration
	units   []alloc // on schedulable workers
	victim  *victim // nil if the job is waited for
}

// newJobRelease resolves the members of a running job once for all searches of a planning run.
func (st *planState) newJobRelease(r *RunningJob, cost time.Duration, v *victim) jobRelease {
	out := jobRelease{running: r, cost: cost, victim: v}
	for _, m := range r.Members {
		if w, ok := st.fleet.workerIndex[m.Agent]; ok && !st.fleet.workers[w].Unschedulable {
			out.units = append(out.units, alloc{w, m.Units})
		}
	}
	return out
}

// searchBuffers holds buffers that are reused between domain searches.
type searchBuffers struct {
	workerUnits []int // per worker: free, stopping and released units
	domainUnits []int // per domain: units that the shape could use
}

// foundDomain is the result of a domain search.
type foundDomain struct {
	domain   int
	releases []int         // indexes of the releases that the domain needs
	cost     time.Duration // sum of the costs of the releases
	units    int           // usable units of the domain after all releases that were counted
}

// domainSearch looks for a domain that has enough units for a shape once some running jobs release theirs.
type domainSearch struct {
	st               *planState
	shape            model.Shape
	spareOnly        bool // leave out units that guarantees need
	releases         []jobRelease
	preemptorClass   *model.Class  // if set, only victims of lower classes count
	releasesByDomain map[int][]int // per domain: releases with units in it
}

// cannotPreempt reports whether a victim is preempted already or its class is not below the preemptor's.
func (ds *domainSearch) cannotPreempt(r *jobRelease) bool {
	return r.victim != nil && (r.victim.preempted ||
		ds.preemptorClass != nil && r.victim.class.Rank() <= ds.preemptorClass.Rank())
}

// usableUnits returns the units of a worker that the shape could use after the releases counted so far.
func (ds *domainSearch) usableUnits(w int) int {
	st := ds.st
	if st.isExcluded(w) {
		return 0
	}
	if ds.spareOnly {
		return min(st.searchBuffers.workerUnits[w], st.spareUnits(w))
	}
	return st.searchBuffers.workerUnits[w]
}

// countAvailable counts the units that are free or stopping and returns the smallest domain that already has enough.
func (ds *domainSearch) countAvailable() (foundDomain, bool) {
	st, f := ds.st, ds.st.fleet
	st.searchBuffers.workerUnits = append(st.searchBuffers.workerUnits[:0], st.free...)
	st.searchBuffers.domainUnits = slices.Grow(st.searchBuffers.domainUnits[:0], f.domainCount(ds.shape.Adjacency))
	st.searchBuffers.domainUnits = st.searchBuffers.domainUnits[:f.domainCount(ds.shape.Adjacency)]
	clear(st.searchBuffers.domainUnits)
	for w := range f.workers {
		st.searchBuffers.workerUnits[w] += st.stopping[w]
		if st.searchBuffers.workerUnits[w] > 0 {
			st.searchBuffers.domainUnits[f.domainOf(w, ds.shape.Adjacency)] += ds.usableUnits(w)
		}
	}
	best := foundDomain{domain: -1}
	for b, n := range st.searchBuffers.domainUnits {
		if n >= ds.shape.Accelerators && (best.domain < 0 || n < best.units) {
			best = foundDomain{domain: b, units: n}
		}
	}
	return best, best.domain >= 0
}

// addRelease counts the units of one release and returns the domains that have enough since this release.
func (ds *domainSearch) addRelease(i int) []int {
	st, f := ds.st, ds.st.fleet
	var sufficient []int
	for _, u := range ds.releases[i].units {
		w := u.worker
		before := ds.usableUnits(w)
		st.searchBuffers.workerUnits[w] += u.units
		b := f.domainOf(w, ds.shape.Adjacency)
		old := st.searchBuffers.domainUnits[b]
		st.searchBuffers.domainUnits[b] += ds.usableUnits(w) - before
		if l := ds.releasesByDomain[b]; len(l) == 0 || l[len(l)-1] != i {
			ds.releasesByDomain[b] = append(l, i)
		}
		if old < ds.shape.Accelerators && st.searchBuffers.domainUnits[b] >= ds.shape.Accelerators {
			sufficient = append(sufficient, b)
		}
	}
	return sufficient
}

// findCheapest returns the domain that has enough units at the least total cost. The releases must be sorted by cost.
// Within a domain the cheapest releases are counted first, and those that are not needed in the end are omitted. The
// search stops when the next release alone costs as much as the best domain: no later domain can be cheaper.
func (ds *domainSearch) findCheapest() (foundDomain, bool) {
	best, found := ds.countAvailable()
	for i := 0; i < len(ds.releases) && (!found || ds.releases[i].cost < best.cost); i++ {
		if ds.cannotPreempt(&ds.releases[i]) {
			continue
		}
		for _, b := range ds.addRelease(i) {
			f := ds.omitUnneeded(b)
			if !found || f.cost < best.cost {
				best, found = f, true
			}
		}
	}
	return best, found
}

// findEarliest returns the first domain that has enough units when the releases happen in order, and the time until
// then.
func (ds *domainSearch) findEarliest() (foundDomain, time.Duration, bool) {
	best, found := ds.countAvailable()
	if found {
		return best, 0, true
	}
	for i := range ds.releases {
		if sufficient := ds.addRelease(i); len(sufficient) > 0 {
			return foundDomain{domain: sufficient[0], units: ds.st.searchBuffers.domainUnits[sufficient[0]]},
				ds.releases[i].cost, true
		}
	}
	return foundDomain{}, 0, false
}

// omitUnneeded returns the domain with only the releases that it needs. The costliest releases are omitted first.
func (ds *domainSearch) omitUnneeded(domain int) foundDomain {
	out := foundDomain{domain: domain, units: ds.st.searchBuffers.domainUnits[domain]}
	list := ds.releasesByDomain[domain]
	spare := out.units - ds.shape.Accelerators
	for k := len(list) - 1; k >= 0; k-- {
		r := ds.releases[list[k]]
		if n := ds.unitsInDomain(&r, domain); n <= spare {
			spare -= n
			continue
		}
		out.releases = append(out.releases, list[k])
		out.cost += r.cost
	}
	slices.Reverse(out.releases)
	return out
}

// unitsInDomain returns the units that a release frees in a domain.
func (ds *domainSearch) unitsInDomain(r *jobRelease, domain int) int {
	n := 0
	for _, u := range r.units {
		if ds.st.fleet.domainOf(u.worker, ds.shape.Adjacency) == domain {
			n += u.units
		}
	}
	return n
}

// newDomainSearch returns a search for the shape over releases that are sorted by cost.
func (st *planState) newDomainSearch(s model.Shape, spareOnly bool, releases []jobRelease) *domainSearch {
	return &domainSearch{st: st, shape: s, spareOnly: spareOnly, releases: releases, releasesByDomain: make(map[int][]int)}
}

func sortByCost(rs []jobRelease) {
	slices.SortStableFunc(rs, func(a, b jobRelease) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), compareKeys(a.running.Spec.Key, b.running.Spec.Key))
	})
}
