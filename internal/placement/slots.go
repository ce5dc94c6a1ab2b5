package placement

import (
	"fmt"
	"slices"

	"masticcart.example/masticcart/internal/model"
)

// placeSlots places the jobs that run on executors, in the order of the queue: each goes to the executor of its
// service with the most free slots.
func (st *state) placeSlots(queue []candidate) {
	var services map[string][]int
	var free []int
	for i := range queue {
		c := &queue[i]
		if c.Spec.Shape.UsesAccelerators() {
			continue
		}
		if services == nil {
			services, free = st.indexExecutors()
		}
		st.placeSlot(c, services[c.Spec.Service], free)
	}
}

// indexExecutors returns the positions of the executors of each service, and the free slots of each executor.
func (st *state) indexExecutors() (map[string][]int, []int) {
	services := make(map[string][]int)
	free := make([]int, len(st.s.Executors))
	for i := range st.s.Executors {
		e := &st.s.Executors[i]
		services[e.Service] = append(services[e.Service], i)
		if !e.Unschedulable {
			free[i] = max(e.Free, 0)
		}
	}
	return services, free
}

func (st *state) placeSlot(c *candidate, executors, free []int) {
	need := c.Spec.Shape.Slots
	best, slots := st.emptiest(c, executors, free)
	if best < 0 || free[best] < need {
		st.block(c, fmt.Sprintf("slots: the job needs %d on service %s, whose %d executors have %d free",
			need, c.Spec.Service, len(executors), slots), "a slot becomes free or an executor of the service announces itself")
		return
	}
	e := &st.s.Executors[best]
	st.plan.Placements = append(st.plan.Placements, Placement{
		Job:     c.Spec.Key,
		Members: []model.Member{{Agent: e.ID, Incarnation: e.Incarnation, Units: need}},
		Score:   float64(free[best]) / float64(max(e.Units, 1)),
		Reason:  fmt.Sprintf("slots: executor with %d of %d free, the most of %d", free[best], e.Units, len(executors)),
	})
	free[best] -= need
}

// emptiest returns the executor with the most free slots and the slots free in all. Executors on which the job
// failed are used only if no other has a slot.
func (st *state) emptiest(c *candidate, executors, free []int) (int, int) {
	best, bestAvoided, slots := -1, false, 0
	for _, i := range executors {
		slots += free[i]
		if free[i] == 0 {
			continue
		}
		avoided := !st.opts.NoFailureAvoidance && slices.Contains(c.FailedOn, st.s.Executors[i].ID)
		if best < 0 || bestAvoided && !avoided || avoided == bestAvoided && free[i] > free[best] {
			best, bestAvoided = i, avoided
		}
	}
	return best, slots
}
