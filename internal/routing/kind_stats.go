package routing

import (
	"slices"
	"time"
)

const (
	samplesPerKind = 128
	// minPercentileSamples is the number of replies of a kind before its percentiles are used.
	minPercentileSamples = 40
)

// kindStats holds the statistics of one kind of request.
type kindStats struct {
	replyBytes    float64                       // smoothed size of the output
	responseTimes [samplesPerKind]time.Duration // ring buffer of the latest
	count         int                           // of all recorded
	median        time.Duration                 // refreshed every 8 replies, like p95
	p95           time.Duration                 // 95th percentile of the response times
}

func (k *kindStats) record(took time.Duration, outputBytes int) {
	k.replyBytes = ewma(k.replyBytes, float64(outputBytes), 0.1)
	k.responseTimes[k.count%samplesPerKind] = took
	k.count++
	if k.count >= minPercentileSamples && k.count%8 == 0 {
		n := min(k.count, samplesPerKind)
		sorted := slices.Clone(k.responseTimes[:n])
		slices.Sort(sorted)
		k.median, k.p95 = sorted[n/2], sorted[n*95/100]
	}
}

// kindStatsMap maps kinds to their statistics. It holds at most maxTrackedKinds, since callers choose the names.
type kindStatsMap map[string]*kindStats

func (m kindStatsMap) record(kind string, took time.Duration, outputBytes int) {
	k := m[kind]
	if k == nil {
		if len(m) >= maxTrackedKinds {
			return
		}
		k = &kindStats{}
		m[kind] = k
	}
	k.record(took, outputBytes)
}

// replyBytes returns the smoothed size of the output of a kind, or zero while it is unknown.
func (m kindStatsMap) replyBytes(kind string) float64 {
	if k := m[kind]; k != nil {
		return k.replyBytes
	}
	return 0
}

// median returns the median response time of a kind, or zero while it is unknown.
func (m kindStatsMap) median(kind string) time.Duration {
	if k := m[kind]; k != nil {
		return k.median
	}
	return 0
}

// p95 returns the 95th percentile of the response times of a kind, or zero while it is unknown.
func (m kindStatsMap) p95(kind string) time.Duration {
	if k := m[kind]; k != nil {
		return k.p95
	}
	return 0
}
