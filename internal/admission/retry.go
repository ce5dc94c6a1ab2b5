package admission

import (
	"crypto/sha256"
	"encoding/binary"
	"math"
	"time"
)

const (
	// minRetryAfter and maxRetryAfter bound the time that callers are told to wait. Beyond the upper bound the expected
	// wait says little: the jobs that are queued now will be done or cancelled.
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
	// minRetrySpread and maxRetrySpread bound the interval over which the retries of one priority are spread. The header
	// has whole seconds, so a shorter interval would not spread them.
	minRetrySpread = 2 * time.Second
	maxRetrySpread = 4 * time.Second
	// retryRanks is the number of priorities with intervals of their own; lower priorities share the last one.
	retryRanks = 3
)

// retryAfter returns when the caller should retry, given by how much the expected wait has to shrink. Each priority has
// an interval of its own, the most urgent the first. Within it, the time is derived from the job's id: callers that are
// refused together are spread, and a job that is refused repeatedly by several entries gets the same time.
func retryAfter(j Job, excess time.Duration) time.Duration {
	spread := min(max(excess/2, minRetrySpread), maxRetrySpread)
	base := min(max(excess, minRetryAfter), maxRetryAfter-retryRanks*spread)
	rank := min(max(j.Priority-1, 0), retryRanks-1)
	jitter := time.Duration(fraction(j.ID) * float64(spread))
	return base + time.Duration(rank)*spread + jitter
}

// fraction maps an id evenly to the interval from 0 to 1, without 1.
func fraction(id string) float64 {
	sum := sha256.Sum256([]byte(id))
	return float64(binary.BigEndian.Uint32(sum[:4])) / (math.MaxUint32 + 1)
}
