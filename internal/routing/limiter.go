package routing

import "time"

// Constants of the concurrency limit. A refusal is a clear sign of too much, a longer answer time a weak one.
const (
	refusalDecreaseFactor = 0.7
	delayDecreaseFactor   = 0.9
	// minDecreaseInterval makes one cut of a burst of refusals, which all tell of the same moment.
	minDecreaseInterval = 100 * time.Millisecond
	// slowRatio is the growth of the answer time over the base service time that counts as queueing.
	slowRatio = 2.0
	// minQueueDelay ignores queue delays that are within the noise of scheduling.
	minQueueDelay = 10 * time.Millisecond
	// minKindSamples is the number of answers of a kind before its times are compared.
	minKindSamples = 8
	// maxTrackedKinds bounds the kinds whose times are remembered; kinds are chosen by callers.
	maxTrackedKinds = 256
)

// Limiter bounds the requests that one entry has in flight at one upstream. Several entries share the slots, so
// the limit starts at the announced slots and then follows what comes back: it grows by one per limit's worth of
// answers near the base service time, and is cut by a factor on refusals and on growing delay.
type Limiter struct {
	limit           float64
	maxLimit        float64
	latencies       map[string]*kindLatency
	lastDecrease    time.Time
	lastQueueDelay  time.Duration
	responseSeconds float64 // smoothed answer time over all kinds, seconds
}

// kindLatency is the answer time of one kind: recent is quick to follow, base falls quickly and rises slowly.
type kindLatency struct {
	recent, base float64
	samples      int
}

// NewLimiter returns a limiter for an upstream with this many slots.
func NewLimiter(units int) *Limiter {
	n := float64(max(units, 1))
	return &Limiter{limit: n, maxLimit: n, latencies: map[string]*kindLatency{}}
}

// Limit returns the number of requests that may be in flight.
func (l *Limiter) Limit() int { return int(l.limit) }

// ResponseTime returns the smoothed answer time, or zero before the first answer.
func (l *Limiter) ResponseTime() time.Duration {
	return time.Duration(l.responseSeconds * float64(time.Second))
}

// OnReply records a complete answer. InFlight is the number in flight before it came back.
func (l *Limiter) OnReply(now time.Time, kind string, took time.Duration, inFlight int) {
	l.responseSeconds = ewma(l.responseSeconds, took.Seconds(), 0.1)
	if l.recordLatency(kind, took) {
		l.decrease(now, delayDecreaseFactor)
		return
	}
	// A limit that is not used says nothing about whether a higher one would be served.
	if float64(inFlight) >= l.limit/2 {
		l.limit = min(l.limit+1/l.limit, l.maxLimit)
	}
}

// OnRefusal records a refusal for lack of slots.
func (l *Limiter) OnRefusal(now time.Time) { l.decrease(now, refusalDecreaseFactor) }

// OnQueueDelay records the queue delay that the agent reports.
func (l *Limiter) OnQueueDelay(now time.Time, delay time.Duration) {
	if delay > l.lastQueueDelay && delay > minQueueDelay {
		l.decrease(now, delayDecreaseFactor)
	}
	l.lastQueueDelay = delay
}

func (l *Limiter) decrease(now time.Time, factor float64) {
	if now.Sub(l.lastDecrease) < minDecreaseInterval {
		return
	}
	l.lastDecrease = now
	l.limit = max(l.limit*factor, 1)
}

// recordLatency reports whether the answers of this kind have become slow.
func (l *Limiter) recordLatency(kind string, took time.Duration) bool {
	p := l.latencies[kind]
	if p == nil {
		if len(l.latencies) >= maxTrackedKinds {
			return false
		}
		p = &kindLatency{}
		l.latencies[kind] = p
	}
	t := took.Seconds()
	p.samples++
	p.recent = ewma(p.recent, t, 0.2)
	if p.base == 0 || p.recent < p.base {
		p.base = ewma(p.base, p.recent, 0.1)
	} else {
		p.base = ewma(p.base, p.recent, 0.002)
	}
	return p.samples >= minKindSamples && p.recent > slowRatio*p.base
}

func ewma(old, sample, weight float64) float64 {
	if old == 0 {
		return sample
	}
	return old + weight*(sample-old)
}
