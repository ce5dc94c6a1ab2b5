package scheduler

import (
	"time"

	"k8s.io/klog/v2"

	"masticcart.example/masticcart/internal/batch"
	"masticcart.example/masticcart/internal/evacuation"
)

// SetEvacuations replaces what is known of the requests to evacuate data centres.
func (c *Core) SetEvacuations(v evacuation.View) {
	c.planNeeded = c.planNeeded || len(v.Requests.Requests()) != len(c.evacuations.Requests.Requests())
	c.evacuations = v
}

// evacuated reports whether nothing may start on a worker because its data centre is to be evacuated.
func (c *Core) evacuated(w *worker) bool {
	return w.info != nil && c.evacuations.Requests.Contains(w.info.Cell)
}

// startsUntil returns until when starts that are decided now may be carried out. It returns forever in deployments that
// do not use evacuation.
func (c *Core) startsUntil() time.Duration {
	if c.config.EvacuationBound <= 0 {
		return forever
	}
	return c.evacuations.StartsUntil(c.config.EvacuationBound)
}

// mayStart reports whether starts may be decided: what is known of the requests to evacuate data centres is recent enough.
func (c *Core) mayStart(now time.Duration) bool {
	may := now < c.startsUntil()
	if may == c.startsHeld {
		klog.InfoS("Permission to start tasks changed", "mayStart", may,
			"confirmedMsAgo", (now - c.evacuations.ConfirmedAt).Milliseconds(),
			"boundMs", c.config.EvacuationBound.Milliseconds())
		c.startsHeld, c.planNeeded = !may, true
		if !may {
			c.stats.PermissionsExpired++
		}
	}
	return may
}

// GrantStart returns the deadline of a start order to an incarnation of a worker in milliseconds on the worker's clock: the
// worker rejects the order later. It is the end of the lease, and at the latest the end of the permission to start tasks.
// It returns false if nothing may start there.
func (c *Core) GrantStart(node string, incarnation batch.Incarnation) (int64, bool) {
	until, ok := c.GrantLease(node, incarnation)
	if !ok || c.evacuated(c.workers[node]) {
		return 0, false
	}
	if c.config.EvacuationBound <= 0 {
		return until, true
	}
	w := c.workers[node]
	// The worker's clock was read before the report was received, so the result is early rather than late.
	return min(until, w.workerClockMS+(c.startsUntil()-w.reportedAt).Milliseconds()), true
}

// noteMissingGuarantees notes by how many accelerators the guarantees of all teams exceed what the data centres hold that
// are not evacuated. It reports a change.
func (c *Core) noteMissingGuarantees(now time.Duration) {
	missing, guaranteed, available := 0, 0, 0
	if len(c.evacuations.Requests.Requests()) > 0 {
		for i := range c.catalog.Teams {
			guaranteed += c.catalog.Teams[i].GuaranteedAccelerators
		}
		for _, w := range c.sortedWorkers {
			if c.expectsTasks(w, now) {
				available += w.info.Capacity.Accelerators
			}
		}
		missing = max(0, guaranteed-available)
	}
	if missing != c.missingGuarantees {
		klog.InfoS("Guarantees outside evacuated data centres changed", "missing", missing, "before", c.missingGuarantees,
			"guaranteed", guaranteed, "available", available)
		c.missingGuarantees = missing
	}
}
