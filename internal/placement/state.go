package placement

import (
	"slices"

	"masticcart.example/masticcart/internal/model"
)

// planState is the mutable state of one planning run. The snapshot itself is never modified.
type planState struct {
	snapshot *Snapshot
	opts     Options
	config   *model.Config
	plan     *Plan
	fleet    *fleet

	free       []int          // per worker: units that can be allocated now
	stopping   []int          // per worker: units of stopping jobs, including those that this plan preempts
	usedByTeam map[string]int // accelerators

	// freeIndex covers all free units, for preemptible jobs. spareIndex leaves out the units that guarantees need, for
	// jobs that keep their units until they end.
	freeIndex, spareIndex *availabilityIndex
	blocks                []guaranteedBlock        // of the cell, with running jobs and claims of this plan assigned
	servedShapes          map[string][]model.Shape // per team: running guaranteed jobs and claims that this plan placed
	claimedShapes         map[string][]model.Shape // per team: servedShapes and the claims that wait for preempted jobs
	pendingBlocks         map[int]bool             // blocks for which claims wait until preempted jobs stop
	guards                []*guaranteeGuard
	repacks               int // calls of repackAround, at most maxRepacks

	victims           map[*RunningJob]*victim // built on first use
	victimReleases    []jobRelease            // the victims, by ascending lost work
	reservation       *reservation
	avoidedWorkers    []int              // workers on which the current job failed before
	idleIndex         *availabilityIndex // all units of the schedulable workers, built on first use
	failedPreemptions []failedPreemption // to skip searches that cannot succeed
	searchBuffers     searchBuffers
}

func newPlanState(s *Snapshot, opts Options) *planState {
	st := &planState{snapshot: s, opts: opts, config: s.Config, plan: &Plan{}, fleet: newFleet(s.Workers),
		usedByTeam: make(map[string]int)}
	if st.config == nil {
		st.config = &model.Config{}
	}
	st.free = make([]int, len(s.Workers))
	st.stopping = make([]int, len(s.Workers))
	for i := range s.Workers {
		if w := &s.Workers[i]; !w.Unschedulable {
			st.free[i] = max(w.Free, 0)
		}
	}
	for i := range s.Running {
		r := &s.Running[i]
		st.usedByTeam[r.Spec.Key.Team] += r.Spec.Shape.Accelerators
		if r.Stopping {
			st.addStopping(r.Members, 1)
		}
	}
	st.blocks = guaranteedBlocks(s)
	if len(st.blocks) > 0 {
		st.servedShapes, st.claimedShapes = runningGuaranteedShapes(s), runningGuaranteedShapes(s)
		st.pendingBlocks = make(map[int]bool)
		if !opts.NoGuaranteeCheck {
			st.guards = []*guaranteeGuard{
				newGuaranteeGuard(st.fleet, reclaimableUnits(s, st.fleet), unusedShapes(st.blocks))}
		}
	}
	st.freeIndex = newAvailabilityIndex(st.fleet, st.free)
	st.rebuildSpareIndex()
	return st
}

// rebuildSpareIndex rebuilds spareIndex. Without guards it is the same object as freeIndex.
func (st *planState) rebuildSpareIndex() {
	if len(st.guards) == 0 {
		st.spareIndex = st.freeIndex
		return
	}
	avail := make([]int, len(st.free))
	for w := range avail {
		avail[w] = st.available(w, true)
	}
	st.spareIndex = newAvailabilityIndex(st.fleet, avail)
}

// available returns the units of a worker that the current job can use now. With spareOnly, units that guarantees need
// are left out.
func (st *planState) available(w int, spareOnly bool) int {
	if st.isExcluded(w) {
		return 0
	}
	if spareOnly {
		return min(st.free[w], st.spareUnits(w))
	}
	return st.free[w]
}

// isExcluded reports whether the current job cannot use a worker at all.
func (st *planState) isExcluded(w int) bool {
	return st.fleet.workers[w].Unschedulable || st.reservation.excludes(st.fleet, w) ||
		slices.Contains(st.avoidedWorkers, w)
}

// spareUnits returns the units of a worker that non-preemptible work can use without breaking a guarantee.
func (st *planState) spareUnits(w int) int {
	limit := st.fleet.workers[w].Units
	for _, g := range st.guards {
		limit = min(limit, g.spareUnits(w))
	}
	return max(limit, 0)
}

// refreshWorker updates the indexes after the availability of a worker changed.
func (st *planState) refreshWorker(w int) {
	st.freeIndex.setAvailable(w, st.available(w, false))
	if st.spareIndex != st.freeIndex {
		st.spareIndex.setAvailable(w, st.available(w, true))
	}
}

// addStopping adds the units of a job to the stopping units, or subtracts them if sign is -1.
func (st *planState) addStopping(members []model.Member, sign int) {
	for _, m := range members {
		if w, ok := st.fleet.workerIndex[m.Agent]; ok && !st.fleet.workers[w].Unschedulable {
			st.stopping[w] += sign * m.Units
		}
	}
}

// usage says how a job uses its units. Non-preemptible and guaranteed jobs keep them until they end. A guaranteed job
// uses units of its team's guarantee.
type usage int

const (
	usePreemptible usage = iota
	useNonPreemptible
	useGuaranteed
)

func (u usage) isNonPreemptible() bool { return u != usePreemptible }

// allocate assigns free units to a job.
func (st *planState) allocate(allocs []alloc, u usage) {
	for _, a := range allocs {
		st.free[a.worker] -= a.units
		st.chargeGuards(a, u)
		st.refreshWorker(a.worker)
	}
}

// chargeGuards subtracts units that non-preemptible work uses from the capacity of the guards. A claim is charged only
// to the first guard: the second one guards the full blocks, which include the units that claims use.
func (st *planState) chargeGuards(a alloc, u usage) {
	switch u {
	case useNonPreemptible:
		for _, g := range st.guards {
			g.capacity[a.worker] -= a.units
		}
	case useGuaranteed:
		if len(st.guards) > 0 {
			st.guards[0].capacity[a.worker] -= a.units
		}
	}
}

// indexFor returns the index of the units that a job of the usage may use.
func (st *planState) indexFor(u usage) *availabilityIndex {
	if u.isNonPreemptible() {
		return st.spareIndex
	}
	return st.freeIndex
}

func (st *planState) chooseBlock(u usage, s model.Shape) (scoredBlock, bool) {
	return bestBlock(st.indexFor(u), s, st.config.Weights, !st.opts.NoPacking)
}

// hasSplitBlock reports whether a guaranteed job uses only a part of its block or has a looser adjacency.
func (st *planState) hasSplitBlock() bool {
	return slices.ContainsFunc(st.blocks, func(b guaranteedBlock) bool { return b.split })
}
