package placement

import (
	"fmt"
	"time"

	"masticcart.example/masticcart/internal/model"
)

// reservation keeps room for the first gang that does not fit: a worker, a rack or, for gangs of the data
// centre, a number of units anywhere.
type reservation struct {
	job       model.JobKey
	adjacency model.Adjacency
	block     int
	need      int
	starts    time.Duration // from now until enough units are expected to be free
	spare     int           // units that will be free beside the gang at that time
	lifted    bool          // while a backfilling job is placed
}

// hides reports whether the reservation closes a worker.
func (r *reservation) hides(f *fleet, w int) bool {
	return r != nil && !r.lifted && r.adjacency != model.AdjacentDatacenter && f.blockOf(w, r.adjacency) == r.block
}

// reserve is the reservation stage for a gang that does not fit. Gangs are jobs that need a whole worker or more;
// smaller ones find room without a reservation and would only keep it from those that do not. The stage closes the block in which enough units are
// expected to be free first. It returns false if the gang cannot be expected to fit anywhere.
func (st *state) reserve(c *candidate, u usage) bool {
	if st.opts.NoReservation || st.reserved != nil || c.Spec.Shape.Accelerators < st.f.maxUnits {
		return false
	}
	var releases []release
	for i := range st.s.Running {
		r := &st.s.Running[i]
		if v := st.victimOf[r]; v != nil && v.stopped {
			continue
		}
		if !r.Stopping && r.Spec.Shape.UsesAccelerators() {
			releases = append(releases, st.newRelease(r, st.remaining(r), nil))
		}
	}
	sortReleases(releases)
	fl := st.newFilling(c.Spec.Shape, u.isFirm(), releases)
	found, starts, ok := fl.earliest()
	if !ok {
		return false
	}
	st.reserved = &reservation{job: c.Spec.Key, adjacency: c.Spec.Shape.Adjacency, block: found.block,
		need: c.Spec.Shape.Accelerators, starts: starts, spare: found.sum - c.Spec.Shape.Accelerators}
	st.refreshReserved(st.reserved)
	return true
}

// remaining estimates how long a running job will still run. A job that has passed its expected time is taken
// to be half way.
func (st *state) remaining(r *RunningJob) time.Duration {
	elapsed := max(st.s.Now.Sub(r.Started), 0)
	left := expected(r.ExpectedRunTime) - elapsed
	if left <= 0 {
		return max(elapsed, time.Second)
	}
	return left
}

// permitBackfill decides whether a job may take the units found although a gang has a reservation for the data
// centre: when it is expected to end before the gang starts, or when it fits beside the gang.
func (st *state) permitBackfill(c *candidate) bool {
	r := st.reserved
	if r == nil || r.adjacency != model.AdjacentDatacenter {
		return true
	}
	return st.backfills(c, c.Spec.Shape.Accelerators)
}

// backfills reports whether a job may use units of the reserved block, and books units that stay in use.
func (st *state) backfills(c *candidate, units int) bool {
	r := st.reserved
	if st.opts.NoBackfill {
		return false
	}
	if r.outlasts(c) {
		return true
	}
	if units > r.spare {
		return false
	}
	r.spare -= units
	return true
}

// backfillMargin is by how much a job's expected run time must stay below the gang's wait. Expected run times are
// means of a wide spread, so that without a margin about half of the jobs would delay the gang.
const backfillMargin = 2

// outlasts reports whether the gang's wait is expected to be longer than the job.
func (r *reservation) outlasts(c *candidate) bool {
	return backfillMargin*expected(c.ExpectedRunTime) <= r.starts
}

// preemptForGang stops work of lower classes for the gang with the reservation, if that loses less accelerator
// time than the gang would wait for. The reservation is given up for the block that is freed.
func (st *state) preemptForGang(c *candidate, u usage) bool {
	r := st.reserved
	if st.opts.NoGangPreemption {
		return false
	}
	st.reserved = nil
	st.refreshReserved(r)
	p := st.newPreemption(c, u, &c.class, "gang")
	p.limit = r.starts * time.Duration(r.need)
	got, _ := st.stopBlock(p, u.isFirm())
	if got == roomNone {
		st.reserved = r
		st.refreshReserved(r)
	}
	return got != roomNone
}

// refreshReserved brings the indexes up to date after a reservation closed or opened its block.
func (st *state) refreshReserved(r *reservation) {
	if r.adjacency == model.AdjacentDatacenter {
		return
	}
	for _, w := range st.f.blockWorkers(r.block, r.adjacency) {
		st.refresh(w)
	}
}

// chooseBackfill looks for room that includes a reserved worker or rack.
func (st *state) chooseBackfill(c *candidate, u usage) (choice, bool) {
	r := st.reserved
	if r == nil || r.adjacency == model.AdjacentDatacenter || st.opts.NoBackfill ||
		!r.outlasts(c) && r.spare == 0 {
		return choice{}, false
	}
	st.lift(true)
	defer st.lift(false)
	found, ok := st.choose(u, c.Spec.Shape)
	if !ok {
		return choice{}, false
	}
	inside := 0
	for _, a := range found.allocs {
		if st.f.blockOf(a.worker, r.adjacency) == r.block {
			inside += a.units
		}
	}
	return found, st.backfills(c, inside)
}

func (st *state) lift(lifted bool) {
	st.reserved.lifted = lifted
	st.refreshReserved(st.reserved)
}

func (r *reservation) String() string {
	return fmt.Sprintf("%s holds a reservation for %d accelerators in one %s, expected to start in %s",
		r.job, r.need, r.adjacency, r.starts.Round(time.Second))
}
