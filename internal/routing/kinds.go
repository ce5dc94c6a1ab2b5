package routing

import (
	"slices"
	"time"
)

const (
	kindSamples = 128
	// minTailSamples is the number of answers before a 95th percentile is worth acting on.
	minTailSamples = 40
)

// kindStats is what the entry has learned about one kind of request.
type kindStats struct {
	answerBytes float64
	times       [kindSamples]time.Duration
	count       int
	median      time.Duration // refreshed every few answers, as is tail
	tail        time.Duration // 95th percentile
}

func (k *kindStats) observe(took time.Duration, bytes int) {
	k.answerBytes = smooth(k.answerBytes, float64(bytes), 0.1)
	k.times[k.count%kindSamples] = took
	k.count++
	if k.count >= minTailSamples && k.count%8 == 0 {
		n := min(k.count, kindSamples)
		sorted := slices.Clone(k.times[:n])
		slices.Sort(sorted)
		k.median, k.tail = sorted[n/2], sorted[n*95/100]
	}
}

// kinds maps kinds to what was learned. It is bounded, since callers choose the names.
type kinds map[string]*kindStats

func (m kinds) observe(kind string, took time.Duration, bytes int) {
	k := m[kind]
	if k == nil {
		if len(m) >= maxKinds {
			return
		}
		k = &kindStats{}
		m[kind] = k
	}
	k.observe(took, bytes)
}

func (m kinds) answerBytes(kind string) float64 {
	if k := m[kind]; k != nil {
		return k.answerBytes
	}
	return 0
}

// median returns the median answer time of a kind, or zero while it is unknown.
func (m kinds) median(kind string) time.Duration {
	if k := m[kind]; k != nil {
		return k.median
	}
	return 0
}

// tail returns the 95th percentile of the answer times of a kind, or zero while it is unknown.
func (m kinds) tail(kind string) time.Duration {
	if k := m[kind]; k != nil {
		return k.tail
	}
	return 0
}
