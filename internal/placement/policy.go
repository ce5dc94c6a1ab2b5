package placement

import (
	"cmp"
	"slices"
	"time"

	"masticcart.example/masticcart/internal/model"
)

// Options switches rules of the policy off, so that the effect of each can be measured. The zero value is the
// policy in use.
type Options struct {
	// NoPacking takes the first block that fits instead of the tightest.
	NoPacking bool
	// NoReservation keeps no room for the first gang that does not fit.
	NoReservation bool
	// NoBackfill lets nothing start in reserved room before the gang.
	NoBackfill bool
	// NoAgeing never raises the class of work that waits long.
	NoAgeing bool
	// NoBlockPreemption preempts the jobs with the least lost work wherever they run.
	NoBlockPreemption bool
	// NoUrgentPreemption lets urgent work wait like other work.
	NoUrgentPreemption bool
	// NoGangPreemption lets the first gang that does not fit wait for running work to end.
	NoGangPreemption bool
	// NoHold gives the room of preempted jobs to whoever comes first.
	NoHold bool
	// NoGuaranteeCheck lets work that cannot be preempted use room that guarantees need.
	NoGuaranteeCheck bool
	// NoClaims treats guaranteed claims like borrowing.
	NoClaims bool
	// NoFailureAvoidance places a job again on a worker where it failed.
	NoFailureAvoidance bool
}

// Policy is the placement policy. It keeps no state, so one Policy can be shared.
type Policy struct {
	opts Options
}

// New returns the policy with some rules switched off.
func New(opts Options) *Policy { return &Policy{opts: opts} }

// Plan implements Planner. The stages are, in order: refuse (work that can never run), order, claims
// (guarantees, before anything borrows), borrow (filter, score, permit, bind; preempt or reserve when nothing
// fits) and slots.
func (p *Policy) Plan(s *Snapshot) *Plan {
	st := newState(s, p.opts)
	queue := st.order(st.refuse())
	claimed := st.placeClaims(queue)
	st.beginBorrowing()
	for i := range queue {
		if !claimed[i] {
			st.placeBorrower(&queue[i])
		}
	}
	st.placeSlots(queue)
	return st.plan
}

// candidate is a waiting job with its place in the queue.
type candidate struct {
	*WaitingJob
	class    model.Class // by rule
	band     band
	priority int
}

// band is the coarse place in the queue. Work that has waited for its rule's MaxWait goes before other work of
// its own class and of the next class, but never before urgent work.
type band int

const (
	bandUrgent band = iota
	bandAgedNormal
	bandAgedDeferrable
	bandNormal
	bandDeferrable
)

func bandOf(class model.Class, aged bool) band {
	switch class.Rank() {
	case 0:
		return bandUrgent
	case 1:
		if aged {
			return bandAgedNormal
		}
		return bandNormal
	}
	if aged {
		return bandAgedDeferrable
	}
	return bandDeferrable
}

func (b band) isAged() bool { return b == bandAgedNormal || b == bandAgedDeferrable }

// order sorts the queue by band, then priority, then submission. Aged work is sorted by submission alone, which
// bounds its wait. Guaranteed claims are taken from this order before any borrower.
func (st *state) order(jobs []*WaitingJob) []candidate {
	rules := make(map[string]model.Rule)
	queue := make([]candidate, 0, len(jobs))
	for _, w := range jobs {
		rule, ok := rules[w.Spec.Kind]
		if !ok {
			rule = st.config.Rule(w.Spec.Kind)
			rules[w.Spec.Kind] = rule
		}
		aged := !st.opts.NoAgeing && rule.MaxWait > 0 && st.s.Now.Sub(w.Submitted) >= rule.MaxWait
		c := candidate{WaitingJob: w, class: rule.Class, band: bandOf(rule.Class, aged), priority: rule.Priority}
		if c.band.isAged() {
			c.priority = 0
		}
		queue = append(queue, c)
	}
	slices.SortStableFunc(queue, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.band, b.band), cmp.Compare(a.priority, b.priority),
			a.Submitted.Compare(b.Submitted), compareKeys(a.Spec.Key, b.Spec.Key))
	})
	return queue
}

func compareKeys(a, b model.JobKey) int {
	return cmp.Or(cmp.Compare(a.Team, b.Team), cmp.Compare(a.ID, b.ID))
}

// defaultRunTime stands for a run time that was neither learned nor declared.
const defaultRunTime = time.Hour

func expected(d time.Duration) time.Duration {
	if d <= 0 {
		return defaultRunTime
	}
	return d
}
