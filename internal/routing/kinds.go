package routing

import (
	"slices"
	"time"
)

const (
	samplesPerKind = 128
	// minP95Samples is the number of answers before a 95th percentile is worth acting on.
	minP95Samples = 40
)

// kindStats is what the entry has learned about one kind of request.
type kindStats struct {
	replyBytes    float64
	responseTimes [samplesPerKind]time.Duration
	count         int
	median        time.Duration // refreshed every few answers, as is tail
	p95           time.Duration // 95th percentile
}

func (k *kindStats) record(took time.Duration, bytes int) {
	k.replyBytes = ewma(k.replyBytes, float64(bytes), 0.1)
	k.responseTimes[k.count%samplesPerKind] = took
	k.count++
	if k.count >= minP95Samples && k.count%8 == 0 {
		n := min(k.count, samplesPerKind)
		sorted := slices.Clone(k.responseTimes[:n])
		slices.Sort(sorted)
		k.median, k.p95 = sorted[n/2], sorted[n*95/100]
	}
}

// kindStatsMap maps kindStatsMap to what was learned. It is bounded, since callers choose the names.
type kindStatsMap map[string]*kindStats

func (m kindStatsMap) record(kind string, took time.Duration, bytes int) {
	k := m[kind]
	if k == nil {
		if len(m) >= maxTrackedKinds {
			return
		}
		k = &kindStats{}
		m[kind] = k
	}
	k.record(took, bytes)
}

func (m kindStatsMap) replyBytes(kind string) float64 {
	if k := m[kind]; k != nil {
		return k.replyBytes
	}
	return 0
}

// median returns the median answer time of a kind, or zero while it is unknown.
func (m kindStatsMap) median(kind string) time.Duration {
	if k := m[kind]; k != nil {
		return k.median
	}
	return 0
}

// p95 returns the 95th percentile of the answer times of a kind, or zero while it is unknown.
func (m kindStatsMap) p95(kind string) time.Duration {
	if k := m[kind]; k != nil {
		return k.p95
	}
	return 0
}
