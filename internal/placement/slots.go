package placement

import (
	"fmt"
	"slices"

	"masticcart.example/masticcart/internal/model"
)

// placeSlotJobs places the jobs that run on executors, in the order of the queue. Each job is placed on the executor of
// its service that has the most free slots.
func (st *planState) placeSlotJobs(queue []candidate) {
	var executorsByService map[string][]int
	var free []int
	for i := range queue {
		c := &queue[i]
		if c.Spec.Shape.UsesAccelerators() {
			continue
		}
		if executorsByService == nil {
			executorsByService, free = st.indexExecutors()
		}
		st.placeSlotJob(c, executorsByService[c.Spec.Service], free)
	}
}

// indexExecutors returns the indexes of the executors of each service, and the free slots of each executor.
func (st *planState) indexExecutors() (map[string][]int, []int) {
	executorsByService := make(map[string][]int)
	free := make([]int, len(st.snapshot.Executors))
	for i := range st.snapshot.Executors {
		e := &st.snapshot.Executors[i]
		executorsByService[e.Service] = append(executorsByService[e.Service], i)
		if !e.Unschedulable {
			free[i] = max(e.Free, 0)
		}
	}
	return executorsByService, free
}

func (st *planState) placeSlotJob(c *candidate, executors, free []int) {
	need := c.Spec.Shape.Slots
	best, slots := st.mostFreeExecutor(c, executors, free)
	if best < 0 || free[best] < need {
		st.addBlocked(c, fmt.Sprintf("slots: the job needs %d on service %s, whose %d executors have %d free",
			need, c.Spec.Service, len(executors), slots), "a slot becomes free or an executor of the service announces itself")
		return
	}
	e := &st.snapshot.Executors[best]
	st.plan.Placements = append(st.plan.Placements, Placement{
		Job:     c.Spec.Key,
		Members: []model.Member{{Agent: e.ID, Incarnation: e.Incarnation, Units: need}},
		Score:   float64(free[best]) / float64(max(e.Units, 1)),
		Reason:  fmt.Sprintf("slots: executor with %d of %d free, the most of %d", free[best], e.Units, len(executors)),
	})
	free[best] -= need
}

// mostFreeExecutor returns the executor with the most free slots, or -1, and the sum of the free slots. An executor on
// which the job failed is returned only if no other executor has a free slot.
func (st *planState) mostFreeExecutor(c *candidate, executors, free []int) (int, int) {
	best, bestAvoided, slots := -1, false, 0
	for _, i := range executors {
		slots += free[i]
		if free[i] == 0 {
			continue
		}
		avoided := !st.opts.NoFailureAvoidance && slices.Contains(c.FailedOn, st.snapshot.Executors[i].ID)
		if best < 0 || bestAvoided && !avoided || avoided == bestAvoided && free[i] > free[best] {
			best, bestAvoided = i, avoided
		}
	}
	return best, slots
}
