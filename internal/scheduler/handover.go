package scheduler

import (
	"encoding/json"
	"time"

	"k8s.io/klog/v2"

	"masticcart.example/masticcart/internal/boottime"
	"masticcart.example/masticcart/internal/election"
)

// handover is what a resigning leader knows about the leases of the workers. The next leader may not reach a worker and
// would otherwise have to wait for the longest lease that could have been granted just before the change. Durations count
// from the resignation, which precedes the next term.
type handover struct {
	// LeaseMS is the time until the leases of the workers that are not listed have expired.
	LeaseMS int64 `json:"lease"`
	// SilentMS holds the same by node for workers that have tasks and did not answer.
	SilentMS map[string]int64 `json:"silent,omitempty"`
}

// maxReportInterval is the longest time between two reports of a worker that answers.
const maxReportInterval = maxReportWait + 500*time.Millisecond

// remainingLease returns the time until the leases of the worker on a node have expired, at most limit, which applies if it
// is not known.
func (h *handover) remainingLease(node string, limit time.Duration) time.Duration {
	ms, ok := h.SilentMS[node]
	if !ok {
		ms = h.LeaseMS
	}
	if ms <= 0 || ms > limit.Milliseconds() {
		return limit
	}
	return time.Duration(ms) * time.Millisecond
}

// handover returns what the next leader has to know if this one grants no more leases from now on.
func (c *Core) handover(now time.Duration) handover {
	h := handover{SilentMS: map[string]int64{}}
	for _, w := range c.sortedWorkers {
		remaining := max(0, w.leaseExpiresBy-now).Milliseconds() + 1
		if w.reached && w.downSince == never && now-w.reportedAt <= maxReportInterval {
			h.LeaseMS = max(h.LeaseMS, remaining)
		} else if len(w.tasks) > 0 {
			h.SilentMS[w.node] = remaining
		}
	}
	return h
}

// inherit applies what the previous leader has handed over. It is called before jobs and agents are added.
func (c *Core) inherit(h *handover) { c.inherited = h }

// inheritedLease returns the time from the takeover until the leases that previous leaders may have granted to the worker
// on a node have expired.
func (c *Core) inheritedLease(node string) time.Duration {
	if c.inherited == nil {
		return c.config.TakeoverWait
	}
	return c.inherited.remainingLease(node, c.config.TakeoverWait)
}

// Handover returns what the leader of the next term has to know, nil if this process does not know it. Lead has returned.
func (s *Service) Handover(term *election.Term) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.handoverOf != term {
		return term.Handover // Lead has failed before it granted a lease
	}
	return s.handover
}

// encodeHandover returns what this leader hands over, nil if that cannot be encoded.
func (t *leaderTerm) encodeHandover() []byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	data, err := json.Marshal(t.core.handover(boottime.Now()))
	if err != nil {
		klog.ErrorS(err, "Cannot hand over", "term", t.term.Number)
		return nil
	}
	return data
}

// decodeHandover decodes what the previous leader has handed over, nil for nothing.
func decodeHandover(data []byte) *handover {
	if data == nil {
		return nil
	}
	h := &handover{}
	if err := json.Unmarshal(data, h); err != nil {
		klog.ErrorS(err, "Ignored invalid handover", "bytes", len(data))
		return nil
	}
	return h
}
