package placement

import (
	"fmt"

	"masticcart.example/masticcart/internal/model"
)

// refuseImpossible refuses jobs that can never run and returns the others. It is the first part of the filter stage. In
// a cell without known workers no job is refused for its shape, since the workers may not have announced themselves
// yet.
func (st *planState) refuseImpossible() []*WaitingJob {
	out := make([]*WaitingJob, 0, len(st.snapshot.Waiting))
	for i := range st.snapshot.Waiting {
		w := &st.snapshot.Waiting[i]
		if reason := st.refusalReason(w); reason != "" {
			st.plan.Refusals = append(st.plan.Refusals, Refusal{Job: w.Spec.Key, Reason: reason})
			continue
		}
		out = append(out, w)
	}
	return out
}

// refusalReason returns why a job can never run, or an empty string.
func (st *planState) refusalReason(w *WaitingJob) string {
	spec := &w.Spec
	if !spec.Deadline.IsZero() && st.snapshot.Now.After(spec.Deadline) {
		return fmt.Sprintf("deadline: the last moment to start was %s ago", st.snapshot.Now.Sub(spec.Deadline))
	}
	team := st.config.Team(spec.Key.Team)
	if team == nil {
		return fmt.Sprintf("team: %q is not configured", spec.Key.Team)
	}
	if !spec.Shape.UsesAccelerators() {
		return ""
	}
	need := spec.Shape.Accelerators
	if team.MaxAccelerators > 0 && need > team.MaxAccelerators {
		return fmt.Sprintf("quota: the job needs %d accelerators and team %s may use %d",
			need, team.Name, team.MaxAccelerators)
	}
	if largest := st.fleet.largestDomain(spec.Shape.Adjacency); len(st.fleet.workers) > 0 && need > largest {
		return fmt.Sprintf("shape: the job needs %d accelerators in one %s and the largest has %d",
			need, spec.Shape.Adjacency, largest)
	}
	return ""
}

// avoidFailedWorkers excludes the workers on which the job failed before, unless the job would not fit on the other
// workers even if they were idle. It is the second part of the filter stage.
func (st *planState) avoidFailedWorkers(c *candidate) {
	if len(c.FailedOn) == 0 || st.opts.NoFailureAvoidance {
		return
	}
	var avoid []int
	for _, id := range c.FailedOn {
		if w, ok := st.fleet.workerIndex[id]; ok {
			avoid = append(avoid, w)
		}
	}
	if !st.fitsIdle(c.Spec.Shape, avoid) {
		return
	}
	st.avoidedWorkers = avoid
	for _, w := range avoid {
		st.refreshWorker(w)
	}
}

// resetAvoidedWorkers reverts avoidFailedWorkers.
func (st *planState) resetAvoidedWorkers() {
	avoid := st.avoidedWorkers
	st.avoidedWorkers = nil
	for _, w := range avoid {
		st.refreshWorker(w)
	}
}

// fitsIdle reports whether the shape would fit on the schedulable workers without the excluded ones if they were idle.
func (st *planState) fitsIdle(s model.Shape, excluded []int) bool {
	if st.idleIndex == nil {
		units := make([]int, len(st.fleet.workers))
		for i := range units {
			if !st.fleet.workers[i].Unschedulable {
				units[i] = st.fleet.workers[i].Units
			}
		}
		st.idleIndex = newAvailabilityIndex(st.fleet, units)
	}
	saved := make([]int, len(excluded))
	for i, w := range excluded {
		saved[i] = st.idleIndex.avail[w]
		st.idleIndex.setAvailable(w, 0)
	}
	_, ok := bestBlock(st.idleIndex, s, model.Weights{}, true)
	for i := len(excluded) - 1; i >= 0; i-- {
		st.idleIndex.setAvailable(excluded[i], saved[i])
	}
	return ok
}
