package placement

import (
	"slices"

	"masticcart.example/masticcart/internal/model"
)

// state is the working copy of one decision. The snapshot itself is never changed.
type state struct {
	s      *Snapshot
	opts   Options
	config *model.Config
	plan   *Plan
	f      *fleet

	free []int // units that can be used now
	soon []int // units of stopping jobs, including those that this plan stops
	used map[string]int

	// loose finds room for work that can be preempted, firm for work that keeps its units until it ends:
	// there, the units that guarantees need are left out.
	loose, firm *blockIndex
	blocks      []block                  // the cell's guaranteed blocks; claims of this plan reduce them
	holders     map[string][]model.Shape // per team: running guaranteed jobs and claims of this plan
	claimants   map[string][]model.Shape // the same with the claims that wait for preempted jobs
	waitingFor  map[int]bool             // blocks that such claims wait for
	guards      []*guard
	repacks     int

	victimOf  map[*RunningJob]*victim // built when first needed
	releases  []release               // the victims, least lost work first
	reserved  *reservation
	avoid     []int       // workers that the job at hand should not get
	idle      *blockIndex // units of the usable workers, built when first needed
	noRoomFor []attempt   // preemption attempts that found no block
	scratch   fillScratch
}

func newState(s *Snapshot, opts Options) *state {
	st := &state{s: s, opts: opts, config: s.Config, plan: &Plan{}, f: newFleet(s.Workers),
		used: make(map[string]int)}
	if st.config == nil {
		st.config = &model.Config{}
	}
	st.free = make([]int, len(s.Workers))
	st.soon = make([]int, len(s.Workers))
	for i := range s.Workers {
		if w := &s.Workers[i]; !w.Unschedulable {
			st.free[i] = max(w.Free, 0)
		}
	}
	for i := range s.Running {
		r := &s.Running[i]
		st.used[r.Spec.Key.Team] += r.Spec.Shape.Accelerators
		if r.Stopping {
			st.addSoon(r.Members, 1)
		}
	}
	st.blocks = guaranteedBlocks(s)
	if len(st.blocks) > 0 {
		st.holders, st.claimants = guaranteeHolders(s), guaranteeHolders(s)
		st.waitingFor = make(map[int]bool)
		if !opts.NoGuaranteeCheck {
			st.guards = []*guard{newGuard(st.f, reclaimable(s, st.f), restShapes(st.blocks))}
		}
	}
	st.loose = newBlockIndex(st.f, st.free)
	st.indexFirm()
	return st
}

// indexFirm rebuilds the index for firm work. Without guards it is the same as the loose one.
func (st *state) indexFirm() {
	if len(st.guards) == 0 {
		st.firm = st.loose
		return
	}
	avail := make([]int, len(st.free))
	for w := range avail {
		avail[w] = st.available(w, true)
	}
	st.firm = newBlockIndex(st.f, avail)
}

// available returns the units of a worker that a job can start on now.
func (st *state) available(w int, firm bool) int {
	if st.isHidden(w) {
		return 0
	}
	if firm {
		return min(st.free[w], st.firmLimit(w))
	}
	return st.free[w]
}

// isHidden reports whether the job at hand cannot use a worker at all.
func (st *state) isHidden(w int) bool {
	return st.f.workers[w].Unschedulable || st.reserved.hides(st.f, w) || slices.Contains(st.avoid, w)
}

// firmLimit returns the units of a worker that firm work may take without harm to a guarantee.
func (st *state) firmLimit(w int) int {
	limit := st.f.workers[w].Units
	for _, g := range st.guards {
		limit = min(limit, g.spare(w))
	}
	return max(limit, 0)
}

// refresh brings the indexes up to date after a change on a worker.
func (st *state) refresh(w int) {
	st.loose.set(w, st.available(w, false))
	if st.firm != st.loose {
		st.firm.set(w, st.available(w, true))
	}
}

// addSoon counts the units of a job as stopping, or takes that back with sign -1.
func (st *state) addSoon(members []model.Member, sign int) {
	for _, m := range members {
		if w, ok := st.f.position[m.Agent]; ok && !st.f.workers[w].Unschedulable {
			st.soon[w] += sign * m.Units
		}
	}
}

// usage says how a job uses units: firm work keeps them until it ends, a claim uses units that its guarantee
// was promised.
type usage int

const (
	usePreemptible usage = iota
	useFirm
	useClaim
)

func (u usage) isFirm() bool { return u != usePreemptible }

// take moves units from free to a job.
func (st *state) take(allocs []alloc, u usage) {
	for _, a := range allocs {
		st.free[a.worker] -= a.units
		st.charge(a, u)
		st.refresh(a.worker)
	}
}

// charge books units that firm work takes in the guards.
func (st *state) charge(a alloc, u usage) {
	switch u {
	case useFirm:
		for _, g := range st.guards {
			g.capacity[a.worker] -= a.units
		}
	case useClaim:
		if len(st.guards) > 0 {
			st.guards[0].capacity[a.worker] -= a.units
		}
	}
}

// index returns the index in which a job of the usage finds room.
func (st *state) index(u usage) *blockIndex {
	if u.isFirm() {
		return st.firm
	}
	return st.loose
}

func (st *state) choose(u usage, s model.Shape) (choice, bool) {
	return choose(st.index(u), s, st.config.Weights, !st.opts.NoPacking)
}

// hasSplitBlock reports whether a guaranteed job uses its block in part or with a looser adjacency.
func (st *state) hasSplitBlock() bool {
	return slices.ContainsFunc(st.blocks, func(b block) bool { return b.split })
}
