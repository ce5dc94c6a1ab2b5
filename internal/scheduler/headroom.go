package scheduler

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
