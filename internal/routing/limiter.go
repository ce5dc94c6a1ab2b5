package routing

import "time"

// Constants of the concurrency limit. A refusal is a clear sign of overload, a longer response time a weak one.
const (
	refusalDecreaseFactor = 0.7
	delayDecreaseFactor   = 0.9
	// minDecreaseInterval limits a burst of refusals to one decrease, since they all reflect the same moment.
	minDecreaseInterval = 100 * time.Millisecond
	// slowRatio is the ratio of the recent response time to the base that counts as queueing.
	slowRatio = 2.0
	// minQueueDelay is the reported queue delay up to which there is no decrease. Lower delays are scheduling noise.
	minQueueDelay = 10 * time.Millisecond
	// minKindSamples is the number of replies of a kind before its response times are compared.
	minKindSamples = 8
	// maxTrackedKinds bounds the kinds with statistics, since callers choose the names of kinds.
	maxTrackedKinds = 256
)

// Limiter bounds the requests that one entry has in flight at one upstream. It is adaptive, with additive increase and
// multiplicative decrease, since several entries share the slots: the limit starts at the announced number of slots,
// grows by one for each limit's worth of replies near the base response time, and is multiplied by a factor below one
// on refusals and on growing delay.
type Limiter struct {
	limit           float64                 // at least 1
	maxLimit        float64                 // the announced number of slots
	latencies       map[string]*kindLatency // by kind of request
	lastDecrease    time.Time
	lastQueueDelay  time.Duration
	responseSeconds float64 // smoothed response time over all kinds
}

// kindLatency is the smoothed response time of one kind, in seconds. Recent follows changes quickly. Base, which stands
// for the service time without queueing, falls quickly and rises slowly.
type kindLatency struct {
	recent, base float64
	samples      int
}

// NewLimiter returns a limiter for an upstream with this many slots.
func NewLimiter(slots int) *Limiter {
	n := float64(max(slots, 1))
	return &Limiter{limit: n, maxLimit: n, latencies: map[string]*kindLatency{}}
}

// Limit returns the maximum number of in-flight requests.
func (l *Limiter) Limit() int { return int(l.limit) }

// ResponseTime returns the smoothed response time, or zero before the first reply.
func (l *Limiter) ResponseTime() time.Duration {
	return time.Duration(l.responseSeconds * float64(time.Second))
}

// OnReply records the reply to a completed request. InFlight is the number of in-flight requests when the request was
// sent, including itself.
func (l *Limiter) OnReply(now time.Time, kind string, took time.Duration, inFlight int) {
	l.responseSeconds = ewma(l.responseSeconds, took.Seconds(), 0.1)
	if l.recordLatency(kind, took) {
		l.decrease(now, delayDecreaseFactor)
		return
	}
	// While less than half of the limit is in use, replies do not show whether a higher limit would be served.
	if float64(inFlight) >= l.limit/2 {
		l.limit = min(l.limit+1/l.limit, l.maxLimit)
	}
}

// OnRefusal records that the agent refused a request for lack of slots.
func (l *Limiter) OnRefusal(now time.Time) { l.decrease(now, refusalDecreaseFactor) }

// OnQueueDelay records the queue delay that the agent reports. A growing delay decreases the limit.
func (l *Limiter) OnQueueDelay(now time.Time, delay time.Duration) {
	if delay > l.lastQueueDelay && delay > minQueueDelay {
		l.decrease(now, delayDecreaseFactor)
	}
	l.lastQueueDelay = delay
}

// decrease multiplies the limit by a factor, at most once per minDecreaseInterval.
func (l *Limiter) decrease(now time.Time, factor float64) {
	if now.Sub(l.lastDecrease) < minDecreaseInterval {
		return
	}
	l.lastDecrease = now
	l.limit = max(l.limit*factor, 1)
}

// recordLatency records a response time and reports whether the kind has become slow, which suggests queueing.
func (l *Limiter) recordLatency(kind string, took time.Duration) bool {
	k := l.latencies[kind]
	if k == nil {
		if len(l.latencies) >= maxTrackedKinds {
			return false
		}
		k = &kindLatency{}
		l.latencies[kind] = k
	}
	t := took.Seconds()
	k.samples++
	k.recent = ewma(k.recent, t, 0.2)
	if k.base == 0 || k.recent < k.base {
		k.base = ewma(k.base, k.recent, 0.1)
	} else {
		k.base = ewma(k.base, k.recent, 0.002)
	}
	return k.samples >= minKindSamples && k.recent > slowRatio*k.base
}

// ewma returns the exponentially weighted moving average after a sample. A zero average takes the sample as it is.
func ewma(old, sample, weight float64) float64 {
	if old == 0 {
		return sample
	}
	return old + weight*(sample-old)
}
