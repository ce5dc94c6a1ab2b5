package routing

import "time"

// Constants of the concurrency limit. A refusal is a clear sign of too much, a longer answer time a weak one.
const (
	refusalFactor = 0.7
	delayFactor   = 0.9
	// cutInterval makes one cut of a burst of refusals, which all tell of the same moment.
	cutInterval = 100 * time.Millisecond
	// delayRatio is the growth of the answer time over the base service time that counts as queueing.
	delayRatio = 2.0
	// minReportedDelay ignores queue delays that are within the noise of scheduling.
	minReportedDelay = 10 * time.Millisecond
	// minSamples is the number of answers of a kind before its times are compared.
	minSamples = 8
	// maxKinds bounds the kinds whose times are remembered; kinds are chosen by callers.
	maxKinds = 256
)

// Limiter bounds the requests that one entry has in flight at one upstream. Several entries share the slots, so
// the limit starts at the announced slots and then follows what comes back: it grows by one per limit's worth of
// answers near the base service time, and is cut by a factor on refusals and on growing delay.
type Limiter struct {
	limit     float64
	units     float64
	paces     map[string]*pace
	lastCut   time.Time
	lastDelay time.Duration
	answer    float64 // smoothed answer time over all kinds, seconds
}

// pace is the answer time of one kind: recent is quick to follow, base falls quickly and rises slowly.
type pace struct {
	recent, base float64
	samples      int
}

// NewLimiter returns a limiter for an upstream with this many slots.
func NewLimiter(units int) *Limiter {
	n := float64(max(units, 1))
	return &Limiter{limit: n, units: n, paces: map[string]*pace{}}
}

// Limit returns the number of requests that may be in flight.
func (l *Limiter) Limit() int { return int(l.limit) }

// ResponseTime returns the smoothed answer time, or zero before the first answer.
func (l *Limiter) ResponseTime() time.Duration { return time.Duration(l.answer * float64(time.Second)) }

// OnReply records a complete answer. InFlight is the number in flight before it came back.
func (l *Limiter) OnReply(now time.Time, kind string, took time.Duration, inFlight int) {
	l.answer = smooth(l.answer, took.Seconds(), 0.1)
	if l.observe(kind, took) {
		l.cut(now, delayFactor)
		return
	}
	// A limit that is not used says nothing about whether a higher one would be served.
	if float64(inFlight) >= l.limit/2 {
		l.limit = min(l.limit+1/l.limit, l.units)
	}
}

// OnRefusal records a refusal for lack of slots.
func (l *Limiter) OnRefusal(now time.Time) { l.cut(now, refusalFactor) }

// OnQueueDelay records the queue delay that the agent reports.
func (l *Limiter) OnQueueDelay(now time.Time, delay time.Duration) {
	if delay > l.lastDelay && delay > minReportedDelay {
		l.cut(now, delayFactor)
	}
	l.lastDelay = delay
}

func (l *Limiter) cut(now time.Time, factor float64) {
	if now.Sub(l.lastCut) < cutInterval {
		return
	}
	l.lastCut = now
	l.limit = max(l.limit*factor, 1)
}

// observe reports whether the answers of this kind have become slow.
func (l *Limiter) observe(kind string, took time.Duration) bool {
	p := l.paces[kind]
	if p == nil {
		if len(l.paces) >= maxKinds {
			return false
		}
		p = &pace{}
		l.paces[kind] = p
	}
	t := took.Seconds()
	p.samples++
	p.recent = smooth(p.recent, t, 0.2)
	if p.base == 0 || p.recent < p.base {
		p.base = smooth(p.base, p.recent, 0.1)
	} else {
		p.base = smooth(p.base, p.recent, 0.002)
	}
	return p.samples >= minSamples && p.recent > delayRatio*p.base
}

func smooth(old, sample, weight float64) float64 {
	if old == 0 {
		return sample
	}
	return old + weight*(sample-old)
}
