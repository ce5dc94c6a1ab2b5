package placement

import (
	"cmp"
	"slices"
)

// FirstFit is the first-come, first-served baseline. In the order of submission, each job is placed on the first domain
// that fits, and jobs that do not fit are skipped. It ignores classes and guarantees and never preempts.
type FirstFit struct{}

// Plan implements Planner.
func (FirstFit) Plan(s *Snapshot) *Plan {
	return planBaseline(s, Options{NoPacking: true}, func(a, b candidate) int {
		return cmp.Or(a.Submitted.Compare(b.Submitted), compareKeys(a.Spec.Key, b.Spec.Key))
	})
}

// BestFit is the strict priority baseline. In the order of class, priority and submission, each job is placed on the
// domain with the fewest free units that suffice. It ignores ageing and guarantees and never reserves or preempts.
type BestFit struct{}

// Plan implements Planner.
func (BestFit) Plan(s *Snapshot) *Plan {
	return planBaseline(s, Options{}, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.class.Rank(), b.class.Rank()), cmp.Compare(a.priority, b.priority),
			a.Submitted.Compare(b.Submitted), compareKeys(a.Spec.Key, b.Spec.Key))
	})
}

// planBaseline places jobs in the given order wherever they fit. Like the policy, baselines refuse impossible jobs,
// respect quotas and avoid workers on which a job failed, so that a comparison shows only the effect of placement.
func planBaseline(s *Snapshot, opts Options, compare func(a, b candidate) int) *Plan {
	// Without reservations there is no preemption for gangs either.
	opts.NoAgeing, opts.NoReservation, opts.NoUrgentPreemption = true, true, true
	opts.NoClaims, opts.NoGuaranteeCheck = true, true
	st := newPlanState(s, opts)
	queue := st.orderQueue(st.refuseImpossible())
	slices.SortStableFunc(queue, compare)
	for i := range queue {
		st.placeBorrower(&queue[i])
	}
	st.placeSlotJobs(queue)
	return st.plan
}
