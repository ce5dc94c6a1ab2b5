package scheduler

import "time"

// demand is what jobs of the first priority have asked for.
type demand struct {
	accelerators float64 // running mean of a job
}

const (
	// demandWeight is the weight of one job in the running mean; about the last five count.
	demandWeight = 0.2
	// headroomJobs is the number of urgent jobs of mean size for which room is kept.
	headroomJobs = 2.0
)

// observe takes an accepted job of the first priority.
func (d *demand) observe(j *job) {
	sum := 0
	for i := range j.Steps {
		if len(j.Steps[i].After) == 0 {
			sum += j.Steps[i].Count * j.Steps[i].Need.Accelerators
		}
	}
	if d.accelerators == 0 {
		d.accelerators = float64(sum)
	}
	d.accelerators = d.accelerators*(1-demandWeight) + float64(sum)*demandWeight
}

// headroom returns the accelerators to keep free.
func (d *demand) headroom() float64 { return d.accelerators * headroomJobs }

// mustLeaveRoom reports whether a unit that can wait would take the accelerators that urgent jobs will need soon.
func (p *planner) mustLeaveRoom(u unit, n int) bool {
	if u.queue.Priority == 0 || p.spareRoom == 0 {
		return false
	}
	slack := u.latest - p.now
	if waited := u.step.occurrence.waited(p.now); slack < time.Duration(float64(slack+waited)*headroomSlack) {
		return false
	}
	r := p.rooms[u.queue.Service]
	return r == nil || float64(r.free.Accelerators-n*u.step.spec.Need.Accelerators) < p.spareRoom
}

// headroomSlack is the part of its slack that a unit must have left to leave room to more urgent ones.
const headroomSlack = 0.6

const (
	// idlePatience is how long a job without a running task may be held back while the fleet is mostly idle. The
	// platform's rules allow three seconds; the start itself takes part of the last one.
	idlePatience = 2 * time.Second
	// idleShare is the share of its room in use below which a service counts as mostly idle.
	idleShare = 0.5
	// idleCopies is how many times over the unit has to fit.
	idleCopies = 2
)

// mustStart reports whether the job has nothing running, has waited for long enough, and the fleet is mostly idle. Room
// that is kept for other units, and for data, is no reason then to leave workers unused.
func (p *planner) mustStart(u unit, n int) bool {
	j := u.step.job()
	if j.idleSince == never || p.now-j.idleSince < idlePatience || !j.idle() {
		return false
	}
	r := p.rooms[u.queue.Service]
	if r == nil || r.free.CoreEquivalents() <= (1-idleShare)*r.capacity.CoreEquivalents() {
		return false
	}
	return pack(p.candidates(u, p.free, false), u.step.spec.Reserved(), idleCopies*n) != nil
}
