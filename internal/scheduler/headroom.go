package scheduler

import "time"

// accelDemand is what jobs of the first priority have asked for.
type accelDemand struct {
	mean float64 // running mean of a job
}

const (
	// demandMeanWeight is the weight of one job in the running mean; about the last five count.
	demandMeanWeight = 0.2
	// headroomJobs is the number of urgent jobs of mean size for which room is kept.
	headroomJobs = 2.0
)

// addJob takes an accepted job of the first priority.
func (d *accelDemand) addJob(j *job) {
	sum := 0
	for i := range j.Steps {
		if len(j.Steps[i].After) == 0 {
			sum += j.Steps[i].Count * j.Steps[i].Need.Accelerators
		}
	}
	if d.mean == 0 {
		d.mean = float64(sum)
	}
	d.mean = d.mean*(1-demandMeanWeight) + float64(sum)*demandMeanWeight
}

// headroom returns the accelerators to keep free.
func (d *accelDemand) headroom() float64 { return d.mean * headroomJobs }

// mustKeepHeadroom reports whether a unit that can wait would take the accelerators that urgent jobs will need soon.
func (p *planner) mustKeepHeadroom(u unit, n int) bool {
	if u.queue.Priority == 0 || p.headroom == 0 {
		return false
	}
	slack := u.latestStart - p.now
	if waited := u.step.occurrence.age(p.now); slack < time.Duration(float64(slack+waited)*headroomSlackShare) {
		return false
	}
	r := p.capacities[u.queue.Service]
	return r == nil || float64(r.free.Accelerators-n*u.step.spec.Need.Accelerators) < p.headroom
}

// headroomSlackShare is the part of its slack that a unit must have left to leave room to more urgent ones.
const headroomSlackShare = 0.6

const (
	// maxIdleWait is how long a job without a running task may be held back while the fleet is mostly idle. The
	// platform's rules allow three seconds; the start itself takes part of the last one.
	maxIdleWait = 2 * time.Second
	// mostlyIdleShare is the share of its room in use below which a service counts as mostly idle.
	mostlyIdleShare = 0.5
	// idleFitFactor is how many times over the unit has to fit.
	idleFitFactor = 2
)

// mustStartNow reports whether the job has nothing running, has waited for long enough, and the fleet is mostly idle. Room
// that is kept for other units, and for data, is no reason then to leave workers unused.
func (p *planner) mustStartNow(u unit, n int) bool {
	j := u.step.job()
	if j.idleSince == never || p.now-j.idleSince < maxIdleWait || !j.idle() {
		return false
	}
	r := p.capacities[u.queue.Service]
	if r == nil || r.free.CoreEquivalents() <= (1-mostlyIdleShare)*r.capacity.CoreEquivalents() {
		return false
	}
	return pack(p.candidates(u, p.free, false), u.step.spec.Reserved(), idleFitFactor*n) != nil
}
