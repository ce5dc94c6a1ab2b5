package placement

import (
	"cmp"
	"slices"
	"time"

	"masticcart.example/masticcart/internal/model"
)

// Options disables individual rules of the policy, so that the effect of each can be measured. The zero value enables
// all rules and is used in production.
type Options struct {
	// NoPacking chooses the first domain that fits instead of the one with the fewest free units.
	NoPacking bool
	// NoReservation reserves no units for the first gang that does not fit.
	NoReservation bool
	// NoBackfill lets no other job start on reserved units before the gang.
	NoBackfill bool
	// NoAgeing never promotes jobs that wait long.
	NoAgeing bool
	// NoBlockPreemption preempts the jobs with the least lost work, whether or not they share a domain.
	NoBlockPreemption bool
	// NoUrgentPreemption preempts no jobs for urgent jobs.
	NoUrgentPreemption bool
	// NoGangPreemption preempts no jobs for the gang that has the reservation.
	NoGangPreemption bool
	// NoHold does not withhold the units of preempted jobs from other jobs.
	NoHold bool
	// NoGuaranteeCheck lets non-preemptible jobs use units that guarantees need.
	NoGuaranteeCheck bool
	// NoClaims treats claims like borrowers.
	NoClaims bool
	// NoFailureAvoidance does not exclude workers on which the job failed before.
	NoFailureAvoidance bool
}

// Policy is the placement policy. It is stateless and safe for concurrent use.
type Policy struct {
	opts Options
}

// New returns the policy, with the rules disabled that the options name.
func New(opts Options) *Policy { return &Policy{opts: opts} }

// Plan implements Planner. It refuses jobs that can never run, sorts the queue, places claims, then borrowers and then
// slot jobs. A borrower passes the stages filter, score, permit and bind; if no units are free for it, other jobs are
// preempted or units are reserved.
func (p *Policy) Plan(s *Snapshot) *Plan {
	st := newPlanState(s, p.opts)
	queue := st.orderQueue(st.refuseImpossible())
	claimed := st.placeClaims(queue)
	st.guardSplitBlocks()
	for i := range queue {
		if !claimed[i] {
			st.placeBorrower(&queue[i])
		}
	}
	st.placeSlotJobs(queue)
	return st.plan
}

// candidate is a waiting job with its sort keys in the queue.
type candidate struct {
	*WaitingJob
	class    model.Class // from the rule of the job's kind
	band     queueBand
	priority int
}

// queueBand is the first sort key of the queue. Jobs that have waited for the MaxWait of their rule are aged: they
// precede all jobs of normal or deferrable class that are not aged, but no urgent jobs.
type queueBand int

const (
	bandUrgent queueBand = iota
	bandAgedNormal
	bandAgedDeferrable
	bandNormal
	bandDeferrable
)

func bandOf(class model.Class, aged bool) queueBand {
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

func (b queueBand) isAged() bool { return b == bandAgedNormal || b == bandAgedDeferrable }

// orderQueue sorts the queue by band, then priority, then submission. Within their band, aged jobs are sorted by
// submission alone, which bounds their wait. Claims are placed in this order, and then borrowers.
func (st *planState) orderQueue(jobs []*WaitingJob) []candidate {
	rules := make(map[string]model.Rule)
	queue := make([]candidate, 0, len(jobs))
	for _, w := range jobs {
		rule, ok := rules[w.Spec.Kind]
		if !ok {
			rule = st.config.Rule(w.Spec.Kind)
			rules[w.Spec.Kind] = rule
		}
		aged := !st.opts.NoAgeing && rule.MaxWait > 0 && st.snapshot.Now.Sub(w.Submitted) >= rule.MaxWait
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

// defaultExpectedRunTime is used for jobs whose run time was neither learned nor declared.
const defaultExpectedRunTime = time.Hour

// expectedRunTime returns the given run time, or the default if it is unknown.
func expectedRunTime(d time.Duration) time.Duration {
	if d <= 0 {
		return defaultExpectedRunTime
	}
	return d
}
