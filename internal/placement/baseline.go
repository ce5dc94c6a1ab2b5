package placement

import (
	"cmp"
	"slices"
)

// FirstFit is the baseline of first-come, first-served: in the order of submission, each job takes the first
// block that fits, and jobs that do not fit are passed over. It knows no classes, guarantees or preemption.
type FirstFit struct{}

// Plan implements Planner.
func (FirstFit) Plan(s *Snapshot) *Plan {
	return planBaseline(s, Options{NoPacking: true}, func(a, b candidate) int {
		return cmp.Or(a.Submitted.Compare(b.Submitted), compareKeys(a.Spec.Key, b.Spec.Key))
	})
}

// BestFit is the baseline of strict priority: in the order of class, priority and submission, each job takes the
// tightest block that fits. It knows no ageing, guarantees, reservation or preemption.
type BestFit struct{}

// Plan implements Planner.
func (BestFit) Plan(s *Snapshot) *Plan {
	return planBaseline(s, Options{}, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.class.Rank(), b.class.Rank()), cmp.Compare(a.priority, b.priority),
			a.Submitted.Compare(b.Submitted), compareKeys(a.Spec.Key, b.Spec.Key))
	})
}

// planBaseline places jobs in the given order wherever there is room. Baselines refuse what the policy refuses,
// respect quotas and avoid workers on which a job failed, so that only the placement differs.
func planBaseline(s *Snapshot, opts Options, compare func(a, b candidate) int) *Plan {
	opts.NoAgeing, opts.NoReservation, opts.NoUrgentPreemption = true, true, true // no gang is preempted for without a reservation
	opts.NoClaims, opts.NoGuaranteeCheck = true, true
	st := newState(s, opts)
	queue := st.order(st.refuse())
	slices.SortStableFunc(queue, compare)
	for i := range queue {
		st.placeBorrower(&queue[i])
	}
	st.placeSlots(queue)
	return st.plan
}
