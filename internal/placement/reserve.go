package placement

import (
	"fmt"
	"time"

	"masticcart.example/masticcart/internal/model"
)

// reservation keeps units for the first gang that does not fit: a worker, a rack or, for a gang that may span the data
// centre, a number of units on any workers.
type reservation struct {
	job        model.JobKey
	adjacency  model.Adjacency
	domain     int
	need       int           // accelerators
	startDelay time.Duration // from now until enough units are expected to be free
	spareUnits int           // units of the domain that will be free in addition to the gang's at that time
	suspended  bool          // while a backfill job is placed
}

// excludes reports whether the reservation keeps other jobs off a worker.
func (r *reservation) excludes(f *fleet, w int) bool {
	return r != nil && !r.suspended && r.adjacency != model.AdjacentDatacenter && f.domainOf(w, r.adjacency) == r.domain
}

// reserve reserves the domain that is expected to have enough free units first, for a gang that does not fit now. A
// gang is a job that needs at least as many units as the largest worker has: smaller jobs find units without a
// reservation, and a reservation for them would only block larger ones. It returns false if no domain is expected to
// have enough units.
func (st *planState) reserve(c *candidate, u usage) bool {
	if st.opts.NoReservation || st.reservation != nil || c.Spec.Shape.Accelerators < st.fleet.maxWorkerUnits {
		return false
	}
	var releases []jobRelease
	for i := range st.snapshot.Running {
		r := &st.snapshot.Running[i]
		if v := st.victims[r]; v != nil && v.preempted {
			continue
		}
		if !r.Stopping && r.Spec.Shape.UsesAccelerators() {
			releases = append(releases, st.newJobRelease(r, st.remainingRunTime(r), nil))
		}
	}
	sortByCost(releases)
	search := st.newDomainSearch(c.Spec.Shape, u.isNonPreemptible(), releases)
	found, startDelay, ok := search.findEarliest()
	if !ok {
		return false
	}
	st.reservation = &reservation{job: c.Spec.Key, adjacency: c.Spec.Shape.Adjacency, domain: found.domain,
		need: c.Spec.Shape.Accelerators, startDelay: startDelay, spareUnits: found.units - c.Spec.Shape.Accelerators}
	st.refreshReservation(st.reservation)
	return true
}

// remainingRunTime estimates how long a running job will still run. A job that exceeds its expected run time is assumed
// to be half done.
func (st *planState) remainingRunTime(r *RunningJob) time.Duration {
	elapsed := max(st.snapshot.Now.Sub(r.Started), 0)
	remaining := expectedRunTime(r.ExpectedRunTime) - elapsed
	if remaining <= 0 {
		return max(elapsed, time.Second)
	}
	return remaining
}

// permitBackfill reports whether a job may use the units found for it although a gang has a reservation for the data
// centre: if the job is expected to end before the gang starts, or if units are left beside the gang.
func (st *planState) permitBackfill(c *candidate) bool {
	r := st.reservation
	if r == nil || r.adjacency != model.AdjacentDatacenter {
		return true
	}
	return st.permitOnReserved(c, c.Spec.Shape.Accelerators)
}

// permitOnReserved reports whether a job may use units of the reserved domain. If the job may still run when the gang
// starts, its units are subtracted from the spare units of the reservation.
func (st *planState) permitOnReserved(c *candidate, units int) bool {
	r := st.reservation
	if st.opts.NoBackfill {
		return false
	}
	if r.outlasts(c) {
		return true
	}
	if units > r.spareUnits {
		return false
	}
	r.spareUnits -= units
	return true
}

// backfillMarginFactor is the least ratio of the gang's wait to the expected run time of a backfill job. Expected run
// times are means of a wide distribution, so that without a margin about half of the jobs would delay the gang.
const backfillMarginFactor = 2

// outlasts reports whether the gang's wait is expected to be longer than the job, with a margin.
func (r *reservation) outlasts(c *candidate) bool {
	return backfillMarginFactor*expectedRunTime(c.ExpectedRunTime) <= r.startDelay
}

// preemptForGang preempts jobs of lower classes for the gang with the reservation, if that loses less accelerator time
// than the gang's wait times its accelerators. The held units then replace the reservation.
func (st *planState) preemptForGang(c *candidate, u usage) bool {
	r := st.reservation
	if st.opts.NoGangPreemption {
		return false
	}
	st.reservation = nil
	st.refreshReservation(r)
	p := st.newPreemptionSearch(c, u, &c.class, "gang")
	p.maxLostWork = r.startDelay * time.Duration(r.need)
	got, _ := st.preemptBlock(p, u.isNonPreemptible())
	if got == allocNone {
		st.reservation = r
		st.refreshReservation(r)
	}
	return got != allocNone
}

// refreshReservation updates the indexes after a reservation started or ceased to exclude its workers.
func (st *planState) refreshReservation(r *reservation) {
	if r.adjacency == model.AdjacentDatacenter {
		return
	}
	for _, w := range st.fleet.domainWorkers(r.domain, r.adjacency) {
		st.refreshWorker(w)
	}
}

// chooseBackfill looks for units on a reserved worker or rack as well, and checks that the job may use them.
func (st *planState) chooseBackfill(c *candidate, u usage) (scoredBlock, bool) {
	r := st.reservation
	if r == nil || r.adjacency == model.AdjacentDatacenter || st.opts.NoBackfill ||
		!r.outlasts(c) && r.spareUnits == 0 {
		return scoredBlock{}, false
	}
	st.setSuspended(true)
	defer st.setSuspended(false)
	found, ok := st.chooseBlock(u, c.Spec.Shape)
	if !ok {
		return scoredBlock{}, false
	}
	inside := 0
	for _, a := range found.allocs {
		if st.fleet.domainOf(a.worker, r.adjacency) == r.domain {
			inside += a.units
		}
	}
	return found, st.permitOnReserved(c, inside)
}

// setSuspended opens the reserved domain to other jobs, or closes it again.
func (st *planState) setSuspended(suspended bool) {
	st.reservation.suspended = suspended
	st.refreshReservation(st.reservation)
}

func (r *reservation) String() string {
	return fmt.Sprintf("%s holds a reservation for %d accelerators in one %s, expected to start in %s",
		r.job, r.need, r.adjacency, r.startDelay.Round(time.Second))
}
