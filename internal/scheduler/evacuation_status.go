package scheduler

import (
	"slices"
	"time"

	"k8s.io/klog/v2"

	"masticcart.example/masticcart/internal/kvstore"
)

// evacuationStatus is what operators are told about the data centres that they evacuate.
type evacuationStatus struct {
	runs int // on the workers of evacuated data centres
	// empty holds the revisions of the requests whose data centres are logged as empty.
	empty map[string]kvstore.Revision
}

// updateEvacuationStatus counts what is left in the evacuated data centres and logs what has changed. A new leader waits
// for the first reports, without which all workers seem to be lost.
func (c *Core) updateEvacuationStatus(now time.Duration) {
	requests := c.evacuations.Requests.Requests()
	s := &c.evacuationStatus
	if len(requests) == 0 && s.runs == 0 || now-c.startedAt <= maxReportAge {
		return
	}
	runs, accelerators := map[string]int{}, map[string]int{}
	s.runs = 0
	for _, w := range c.sortedWorkers {
		if c.evacuated(w) {
			s.runs += len(w.tasks)
			runs[w.info.Cell] += len(w.tasks)
			accelerators[w.info.Cell] += w.reserved().Accelerators
		}
	}
	empty := map[string]kvstore.Revision{}
	for _, r := range requests {
		if runs[r.Cell] > 0 || accelerators[r.Cell] > 0 {
			continue
		}
		if empty[r.Cell] = r.Revision; s.empty[r.Cell] != r.Revision {
			klog.InfoS("Evacuated data centre is empty", "cell", r.Cell, "revision", r.Revision,
				"requestedMsAgo", time.Since(r.Since).Milliseconds())
		}
	}
	s.empty = empty
}

// unmetGuarantees splits the accelerators that are missing for the guarantees of all teams in proportion to these, by team.
func (c *Core) unmetGuarantees() map[string]int {
	guarantees := make([]int, len(c.catalog.Teams))
	for i := range c.catalog.Teams {
		guarantees[i] = c.catalog.Teams[i].GuaranteedAccelerators
	}
	unmet := map[string]int{}
	for i, n := range distribute(c.missingGuarantees, guarantees) {
		if n > 0 {
			unmet[c.catalog.Teams[i].Name] = n
		}
	}
	return unmet
}

// distribute splits n in proportion to weights whose sum is at least n.
func distribute(n int, weights []int) []int {
	sum := 0
	for _, w := range weights {
		sum += w
	}
	shares := make([]int, len(weights))
	weight, given := 0, 0
	for i, w := range weights {
		weight += w
		if sum > 0 {
			shares[i] = n*weight/sum - given // exact in total, since the last quotient is n
			given += shares[i]
		}
	}
	return shares
}

// withheldStarts returns the number of tasks that could be placed if the requests to evacuate were confirmed.
func (c *Core) withheldStarts() int {
	if !c.startsHeld {
		return 0
	}
	n := 0
	for _, j := range c.openJobs {
		j.forEachTask(func(t *task) {
			if t.phase == waiting && t.step.ready() {
				n++
			}
		})
	}
	return n
}

// addCell adds the name of a data centre to a sorted list, unless it is there.
func addCell(cells []string, cell string) []string {
	at, found := slices.BinarySearch(cells, cell)
	if found {
		return cells
	}
	return slices.Insert(cells, at, cell)
}
