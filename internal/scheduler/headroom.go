package scheduler

import "time"

// accelDemand estimates the accelerator demand of urgent jobs, those of priority 0.
type accelDemand struct {
	mean float64 // moving average per job
}

const (
	// demandMeanWeight is the weight of one job in the moving average; about the last five jobs count.
	demandMeanWeight = 0.2
	// headroomJobs is the number of urgent jobs of average size for which accelerators are kept free.
	headroomJobs = 2.0
)

// addJob adds an urgent job to the average. Only the steps that can start at once count.
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

// headroom returns the number of accelerators to keep free.
func (d *accelDemand) headroom() float64 { return d.mean * headroomJobs }

// mustKeepHeadroom reports whether a unit that can still wait would use accelerators of the headroom for urgent jobs.
func (p *planner) mustKeepHeadroom(u unit, n int) bool {
	if u.queue.Priority == 0 || p.headroom == 0 {
		return false
	}
	slack := u.latestStart - p.now
	if waited := u.step.occurrence.age(p.now); slack < time.Duration(float64(slack+waited)*headroomSlackShare) {
		return false
	}
	capacity := p.capacities[u.queue.Service]
	return capacity == nil || float64(capacity.free.Accelerators-n*u.step.spec.Need.Accelerators) < p.headroom
}

// headroomSlackShare is the share of its slack that a unit must have left to be held back for the headroom.
const headroomSlackShare = 0.6

const (
	// maxIdleWait is how long a job without a running task may be held back while most of the service's capacity is
	// free, or a long-running task while there is room for it. The platform's rules allow three seconds, and the start
	// itself takes part of the third.
	maxIdleWait = 2 * time.Second
	// mostlyIdleShare is the share of capacity in use below which a service counts as mostly idle.
	mostlyIdleShare = 0.5
	// idleFitFactor is how many times the unit has to fit into the free capacity.
	idleFitFactor = 2
)

// mustStartNow reports whether the unit must start despite reservations, headroom and data locality: it fits twice, and
// either its job has nothing running and has waited for long enough while most of the capacity is free, or it is long-running
// and has waited for as long itself. The estimate of a long-running task says nothing of how long it may wait.
func (p *planner) mustStartNow(u unit, n int) bool {
	if !u.overdue && !p.hasIdleJob(u) {
		return false
	}
	return pack(p.candidates(u.relaxed(p.now), p.allFree(), false), u.step.spec.Reserved(), idleFitFactor*n) != nil
}

// hasIdleJob reports whether the unit's job has had nothing running for maxIdleWait while most of the service's capacity is
// free.
func (p *planner) hasIdleJob(u unit) bool {
	j := u.step.job()
	if j.idleSince == never || p.now-j.idleSince < maxIdleWait || !j.idle() {
		return false
	}
	capacity := p.capacities[u.queue.Service]
	return capacity != nil && capacity.free.CoreEquivalents() > (1-mostlyIdleShare)*capacity.total.CoreEquivalents()
}
