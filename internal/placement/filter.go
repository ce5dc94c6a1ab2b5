package placement

import (
	"fmt"

	"masticcart.example/masticcart/internal/model"
)

// refuse is the first part of the filter stage: it ends work that can never run and returns the rest. An empty
// inventory refuses nothing, since its upstreams may only not have announced themselves yet.
func (st *state) refuse() []*WaitingJob {
	out := make([]*WaitingJob, 0, len(st.s.Waiting))
	for i := range st.s.Waiting {
		w := &st.s.Waiting[i]
		if reason := st.refusal(w); reason != "" {
			st.plan.Refusals = append(st.plan.Refusals, Refusal{Job: w.Spec.Key, Reason: reason})
			continue
		}
		out = append(out, w)
	}
	return out
}

// refusal returns why a job can never run, or an empty string.
func (st *state) refusal(w *WaitingJob) string {
	spec := &w.Spec
	if !spec.Deadline.IsZero() && st.s.Now.After(spec.Deadline) {
		return fmt.Sprintf("deadline: the last moment to start was %s ago", st.s.Now.Sub(spec.Deadline))
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
		return fmt.Sprintf("quota: the job needs %d accelerators and team %s may use %d", need, team.Name, team.MaxAccelerators)
	}
	if block := st.f.largestBlock(spec.Shape.Adjacency); len(st.f.workers) > 0 && need > block {
		return fmt.Sprintf("shape: the job needs %d accelerators in one %s and the largest has %d",
			need, spec.Shape.Adjacency, block)
	}
	return ""
}

// beginAvoiding is the second part of the filter stage: it hides the workers on which the job failed before,
// unless the job would fit nowhere else even if the cell were idle.
func (st *state) beginAvoiding(c *candidate) {
	if len(c.FailedOn) == 0 || st.opts.NoFailureAvoidance {
		return
	}
	var avoid []int
	for _, id := range c.FailedOn {
		if w, ok := st.f.position[id]; ok {
			avoid = append(avoid, w)
		}
	}
	if !st.fitsIdle(c.Spec.Shape, avoid) {
		return
	}
	st.avoid = avoid
	for _, w := range avoid {
		st.refresh(w)
	}
}

// endAvoiding undoes beginAvoiding.
func (st *state) endAvoiding() {
	avoid := st.avoid
	st.avoid = nil
	for _, w := range avoid {
		st.refresh(w)
	}
}

// fitsIdle reports whether the shape would fit into the usable workers, less some, if they were idle.
func (st *state) fitsIdle(s model.Shape, less []int) bool {
	if st.idle == nil {
		units := make([]int, len(st.f.workers))
		for i := range units {
			if !st.f.workers[i].Unschedulable {
				units[i] = st.f.workers[i].Units
			}
		}
		st.idle = newBlockIndex(st.f, units)
	}
	saved := make([]int, len(less))
	for i, w := range less {
		saved[i] = st.idle.avail[w]
		st.idle.set(w, 0)
	}
	_, ok := choose(st.idle, s, model.Weights{}, true)
	for i := len(less) - 1; i >= 0; i-- {
		st.idle.set(less[i], saved[i])
	}
	return ok
}
