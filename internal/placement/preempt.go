package placement

import (
	"fmt"
	"time"

	"masticcart.example/masticcart/internal/model"
)

// victim is a running job that can be preempted.
type victim struct {
	class   model.Class
	stopped bool // by this plan
}

// lostWork is the accelerator time that stopping the job throws away.
func (st *state) lostWork(r *RunningJob) time.Duration {
	return max(st.s.Now.Sub(r.Started), 0) * time.Duration(max(r.Spec.Shape.Accelerators, 1))
}

// listVictims collects the borrowed preemptible jobs, the least lost work first.
func (st *state) listVictims() {
	if st.victimOf != nil {
		return
	}
	st.victimOf = make(map[*RunningJob]*victim)
	classes := make(map[string]model.Class)
	for i := range st.s.Running {
		r := &st.s.Running[i]
		if r.Stopping || r.isFirm() || !r.Spec.Shape.UsesAccelerators() {
			continue
		}
		class, ok := classes[r.Spec.Kind]
		if !ok {
			class = st.config.Rule(r.Spec.Kind).Class
			classes[r.Spec.Kind] = class
		}
		v := &victim{class: class}
		st.victimOf[r] = v
		st.releases = append(st.releases, st.newRelease(r, st.lostWork(r), v))
	}
	sortReleases(st.releases)
}

// attempt is a preemption that found no block. Later jobs that need as much will not find one either, since
// room only shrinks within a plan.
type attempt struct {
	shape model.Shape
	usage usage
	class bool // limited to victims of lower classes
}

// preemptFor makes room for a job: it stops the jobs of the block with the least lost work, if any block can be
// freed, and holds the block for the job, which is placed by a later plan when the units are free. Nothing is
// stopped if stopping jobs already free enough. With repack, firm work may use units that the guards' witnesses
// need, if the guarantees can be packed again around its block. Only victims of the classes below are stopped,
// if a class is given.
func (st *state) preemptFor(c *candidate, u usage, above *model.Class, repack bool, rule string) (room, []alloc) {
	at := attempt{c.Spec.Shape, u, above != nil}
	if st.hasFailed(at) {
		return roomNone, nil
	}
	p := st.newPreemption(c, u, above, rule)
	if u.isFirm() && repack && len(st.guards) > 0 && st.repacks < maxRepacks {
		if got, held := st.stopBlock(p, false); got != roomNone {
			return got, held
		}
	}
	got, held := st.stopBlock(p, u.isFirm())
	if got == roomNone && len(st.avoid) == 0 {
		st.noRoomFor = append(st.noRoomFor, at)
	}
	return got, held
}

// preemption is the search for a block for one job.
type preemption struct {
	c     *candidate
	usage usage
	shape model.Shape
	above *model.Class
	rule  string
	limit time.Duration // lost work must stay below, if not zero
}

// newPreemption prepares to stop jobs for a job: borrowed and preemptible ones, of the classes below the one given
// if one is.
func (st *state) newPreemption(c *candidate, u usage, above *model.Class, rule string) *preemption {
	st.listVictims()
	p := &preemption{c: c, usage: u, shape: c.Spec.Shape, above: above, rule: rule}
	if st.opts.NoBlockPreemption {
		p.shape.Adjacency = model.AdjacentDatacenter
	}
	return p
}

// stopBlock stops the jobs of the block with the least lost work and holds the block. With limited, only units
// that the guards' witnesses do not need are counted; otherwise firm work needs the guarantees to be packed
// again around its block.
func (st *state) stopBlock(p *preemption, limited bool) (room, []alloc) {
	fl := st.newFilling(p.shape, limited, st.releases)
	fl.above = p.above
	found, ok := fl.cheapest()
	if !ok || p.limit > 0 && found.cost >= p.limit {
		return roomNone, nil
	}
	for _, i := range found.releases {
		st.addSoon(st.releases[i].running.Members, 1)
	}
	held := st.blockUnits(p.shape, found.block, limited)
	if p.usage.isFirm() && !limited && !st.repackAround(held, p.usage) {
		for _, i := range found.releases {
			st.addSoon(st.releases[i].running.Members, -1)
		}
		return roomNone, nil
	}
	if len(found.releases) == 0 && st.isFree(held) && !st.opts.NoBlockPreemption {
		st.bind(p.c, scored(st.loose, held, st.config.Weights), p.usage)
		return roomPlaced, held
	}
	for _, i := range found.releases {
		st.preempt(p.c, st.releases[i])
	}
	if !st.opts.NoHold && !st.opts.NoBlockPreemption {
		st.hold(p.c, held, p.usage)
	}
	st.block(p.c, fmt.Sprintf("%s: %d jobs with %s of lost accelerator time stop for %s",
		p.rule, len(found.releases), found.cost.Round(time.Second), p.c.Spec.Shape),
		"the stopping jobs release their accelerators")
	return roomHeld, held
}

// isFree reports whether the units can be used now.
func (st *state) isFree(allocs []alloc) bool {
	for _, a := range allocs {
		if st.free[a.worker] < a.units {
			return false
		}
	}
	return true
}

func (st *state) hasFailed(at attempt) bool {
	for _, f := range st.noRoomFor {
		if f.usage == at.usage && f.class == at.class && f.shape.Adjacency == at.shape.Adjacency &&
			f.shape.Accelerators <= at.shape.Accelerators {
			return true
		}
	}
	return false
}

func (st *state) preempt(c *candidate, r release) {
	r.victim.stopped = true
	st.plan.Preemptions = append(st.plan.Preemptions, Preemption{
		Victim: r.running.Spec.Key, Preemptor: c.Spec.Key, LostWork: r.cost})
}

// blockUnits returns free and stopping units of a block for a job.
func (st *state) blockUnits(shape model.Shape, block int, limited bool) []alloc {
	need := shape.Accelerators
	var out []alloc
	for _, w := range st.f.blockWorkers(block, shape.Adjacency) {
		if need == 0 {
			break
		}
		n := min(need, st.free[w]+st.soon[w])
		if limited {
			n = min(n, st.firmLimit(w))
		}
		if n > 0 && !st.isHidden(w) {
			out = append(out, alloc{w, n})
			need -= n
		}
	}
	return out
}

// hold books units for a job that waits for preempted jobs to stop, on each worker the stopping units first. A
// waiting claim is not charged to the guards, since its guarantee stays unmet until it starts.
func (st *state) hold(c *candidate, allocs []alloc, u usage) {
	st.used[c.Spec.Key.Team] += c.Spec.Shape.Accelerators
	for _, a := range allocs {
		stopping := min(a.units, st.soon[a.worker])
		st.soon[a.worker] -= stopping
		st.free[a.worker] -= a.units - stopping
		if u == useFirm {
			st.charge(a, u)
		}
		st.refresh(a.worker)
	}
}
