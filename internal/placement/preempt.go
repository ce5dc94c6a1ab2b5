package placement

import (
	"fmt"
	"time"

	"masticcart.example/masticcart/internal/model"
)

// victim is the planning state of a running job that can be preempted.
type victim struct {
	class     model.Class
	preempted bool // by this plan
}

// lostWork returns the accelerator time that the job has used since it started, which counts as lost if it is
// preempted.
func (st *planState) lostWork(r *RunningJob) time.Duration {
	return max(st.snapshot.Now.Sub(r.Started), 0) * time.Duration(max(r.Spec.Shape.Accelerators, 1))
}

// collectVictims lists the preemptible borrowers by ascending lost work, once in a planning run.
func (st *planState) collectVictims() {
	if st.victims != nil {
		return
	}
	st.victims = make(map[*RunningJob]*victim)
	classes := make(map[string]model.Class)
	for i := range st.snapshot.Running {
		r := &st.snapshot.Running[i]
		if r.Stopping || r.isNonPreemptible() || !r.Spec.Shape.UsesAccelerators() {
			continue
		}
		class, ok := classes[r.Spec.Kind]
		if !ok {
			class = st.config.Rule(r.Spec.Kind).Class
			classes[r.Spec.Kind] = class
		}
		v := &victim{class: class}
		st.victims[r] = v
		st.victimReleases = append(st.victimReleases, st.newJobRelease(r, st.lostWork(r), v))
	}
	sortByCost(st.victimReleases)
}

// failedPreemption is a preemption that found no domain. Later jobs that need at least as many units with the same
// adjacency need not try, since available units only decrease during a planning run.
type failedPreemption struct {
	shape            model.Shape
	usage            usage
	lowerClassesOnly bool // only victims of lower classes were considered
}

// preemptFor preempts the victims in the domain where this loses the least work, and holds the units for the job, which
// a later plan places once they are free. No job is preempted if stopping jobs already free enough units. With repack,
// a job that keeps its units until it ends may use units that guarantees need, if the guarantees can be packed again
// around them. If preemptorClass is set, only jobs of lower classes are preempted.
func (st *planState) preemptFor(
	c *candidate, u usage, preemptorClass *model.Class, repack bool, rule string,
) (allocResult, []alloc) {
	failed := failedPreemption{c.Spec.Shape, u, preemptorClass != nil}
	if st.failedBefore(failed) {
		return allocNone, nil
	}
	p := st.newPreemptionSearch(c, u, preemptorClass, rule)
	if u.isNonPreemptible() && repack && len(st.guards) > 0 && st.repacks < maxRepacks {
		if got, held := st.preemptBlock(p, false); got != allocNone {
			return got, held
		}
	}
	got, held := st.preemptBlock(p, u.isNonPreemptible())
	if got == allocNone && len(st.avoidedWorkers) == 0 {
		st.failedPreemptions = append(st.failedPreemptions, failed)
	}
	return got, held
}

// preemptionSearch holds the parameters of a preemption for one job.
type preemptionSearch struct {
	c              *candidate
	usage          usage
	shape          model.Shape
	preemptorClass *model.Class
	rule           string        // starts the reason of the blocked job
	maxLostWork    time.Duration // exclusive; zero means no limit
}

// newPreemptionSearch returns a search over the preemptible borrowers, or only over those of lower classes if
// preemptorClass is set.
func (st *planState) newPreemptionSearch(
	c *candidate, u usage, preemptorClass *model.Class, rule string,
) *preemptionSearch {
	st.collectVictims()
	p := &preemptionSearch{c: c, usage: u, shape: c.Spec.Shape, preemptorClass: preemptorClass, rule: rule}
	if st.opts.NoBlockPreemption {
		p.shape.Adjacency = model.AdjacentDatacenter
	}
	return p
}

// preemptBlock preempts the victims in the domain where this loses the least work, and holds the units for the job.
// With spareOnly, units that guarantees need are left out. Otherwise a job that keeps its units until it ends requires
// that the guarantees can be packed again around them.
func (st *planState) preemptBlock(p *preemptionSearch, spareOnly bool) (allocResult, []alloc) {
	search := st.newDomainSearch(p.shape, spareOnly, st.victimReleases)
	search.preemptorClass = p.preemptorClass
	found, ok := search.findCheapest()
	if !ok || p.maxLostWork > 0 && found.cost >= p.maxLostWork {
		return allocNone, nil
	}
	for _, i := range found.releases {
		st.addStopping(st.victimReleases[i].running.Members, 1)
	}
	held := st.domainAllocs(p.shape, found.domain, spareOnly)
	if p.usage.isNonPreemptible() && !spareOnly && !st.repackAround(held, p.usage) {
		for _, i := range found.releases {
			st.addStopping(st.victimReleases[i].running.Members, -1)
		}
		return allocNone, nil
	}
	if len(found.releases) == 0 && st.isFree(held) && !st.opts.NoBlockPreemption {
		st.bind(p.c, scoreBlock(st.freeIndex, held, st.config.Weights), p.usage)
		return allocPlaced, held
	}
	for _, i := range found.releases {
		st.addPreemption(p.c, st.victimReleases[i])
	}
	if !st.opts.NoHold && !st.opts.NoBlockPreemption {
		st.holdUnits(p.c, held, p.usage)
	}
	st.addBlocked(p.c, fmt.Sprintf("%s: %d jobs with %s of lost accelerator time stop for %s",
		p.rule, len(found.releases), found.cost.Round(time.Second), p.c.Spec.Shape),
		"the stopping jobs release their accelerators")
	return allocHeld, held
}

// isFree reports whether all units can be allocated now.
func (st *planState) isFree(allocs []alloc) bool {
	for _, a := range allocs {
		if st.free[a.worker] < a.units {
			return false
		}
	}
	return true
}

func (st *planState) failedBefore(search failedPreemption) bool {
	for _, f := range st.failedPreemptions {
		if f.usage == search.usage && f.lowerClassesOnly == search.lowerClassesOnly &&
			f.shape.Adjacency == search.shape.Adjacency && f.shape.Accelerators <= search.shape.Accelerators {
			return true
		}
	}
	return false
}

func (st *planState) addPreemption(c *candidate, r jobRelease) {
	r.victim.preempted = true
	st.plan.Preemptions = append(st.plan.Preemptions, Preemption{
		Victim: r.running.Spec.Key, Preemptor: c.Spec.Key, LostWork: r.cost})
}

// domainAllocs returns free and stopping units of a domain for a job of the shape.
func (st *planState) domainAllocs(shape model.Shape, domain int, spareOnly bool) []alloc {
	need := shape.Accelerators
	var out []alloc
	for _, w := range st.fleet.domainWorkers(domain, shape.Adjacency) {
		if need == 0 {
			break
		}
		n := min(need, st.free[w]+st.stopping[w])
		if spareOnly {
			n = min(n, st.spareUnits(w))
		}
		if n > 0 && !st.isExcluded(w) {
			out = append(out, alloc{w, n})
			need -= n
		}
	}
	return out
}

// holdUnits withholds units from later jobs of the plan, for a job that waits for preempted jobs to stop. On each
// worker the stopping units are used first. A waiting claim is not charged to the guards, since its guarantee stays
// unmet until it starts.
func (st *planState) holdUnits(c *candidate, allocs []alloc, u usage) {
	st.usedByTeam[c.Spec.Key.Team] += c.Spec.Shape.Accelerators
	for _, a := range allocs {
		fromStopping := min(a.units, st.stopping[a.worker])
		st.stopping[a.worker] -= fromStopping
		st.free[a.worker] -= a.units - fromStopping
		if u == useNonPreemptible {
			st.chargeGuards(a, u)
		}
		st.refreshWorker(a.worker)
	}
}
