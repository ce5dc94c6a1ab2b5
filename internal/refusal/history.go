// Package refusal decides when a worker that refuses starts gets the next one.
//
// It addresses workers that report as usual and refuse starts, for some seconds or for good. Such a worker may be the only
// one on which a task fits, so it is tried again at growing intervals, and it never counts as an attempt of a task.
package refusal

import "time"

const (
	// minPause is how long a worker gets no start after its first refusal. The pause doubles with each further refusal in a
	// row, up to maxPause.
	minPause = 250 * time.Millisecond
	// maxPause is below the time for which a job may have nothing running while there is room for it, so that a worker that
	// takes starts again is found in time.
	maxPause = 2 * time.Second
	// retention is the time without a further refusal after which refusals are forgotten.
	retention = 10 * time.Second
	// maxCount and maxAge bound what a History takes over from another process.
	maxCount = 1000
	maxAge   = time.Hour
)

// History is what is known of the starts that one incarnation of a worker has refused since it last accepted one. The zero
// value means none. Times are those of the caller's clock.
type History struct {
	count       int           // refusals in a row; those during a pause count once
	since, last time.Duration // the first and the last of them
}

// Summary is a History in a form that does not depend on the clock of a process.
type Summary struct {
	Count int `json:"count"`
	// SinceMS and LastMS are the ages of the first and of the last refusal, in milliseconds.
	SinceMS int64 `json:"since"`
	LastMS  int64 `json:"last"`
}

// Refuse records a refusal, or a start that was not answered. During a pause it only extends what is remembered: the start
// was sent before the pause.
func (h *History) Refuse(now time.Duration) {
	if h.Paused(now) {
		return
	}
	if !h.Refusing(now) {
		*h = History{since: now}
	}
	h.count++
	h.last = now
}

// Accept records that the worker has accepted a start.
func (h *History) Accept() { *h = History{} }

// Refusing reports whether the worker has refused the last start, not long ago. Others are preferred.
func (h *History) Refusing(now time.Duration) bool { return h.count > 0 && now-h.last <= retention }

// Paused reports whether the worker gets no start for now.
func (h *History) Paused(now time.Duration) bool { return h.count > 0 && now-h.last < h.pause() }

// RefusingFor returns the time from the first to the last refusal, zero if the worker is not refusing.
func (h *History) RefusingFor(now time.Duration) time.Duration {
	if !h.Refusing(now) {
		return 0
	}
	return h.last - h.since
}

// pause returns the length of the pause after the last refusal.
func (h *History) pause() time.Duration {
	pause := minPause
	for i := 1; i < h.count && pause < maxPause; i++ {
		pause *= 2
	}
	return min(pause, maxPause)
}

// Summary returns the history as it is reported to another process, and false if the worker is not refusing.
func (h *History) Summary(now time.Duration) (Summary, bool) {
	if !h.Refusing(now) {
		return Summary{}, false
	}
	return Summary{Count: h.count, SinceMS: (now - h.since).Milliseconds(), LastMS: (now - h.last).Milliseconds()}, true
}

// Restore returns the history of a summary. An implausible one gives an empty history.
func Restore(s Summary, now time.Duration) History {
	if s.Count <= 0 || s.LastMS < 0 || s.SinceMS < s.LastMS || s.LastMS > retention.Milliseconds() {
		return History{}
	}
	since := time.Duration(min(s.SinceMS, maxAge.Milliseconds())) * time.Millisecond
	return History{count: min(s.Count, maxCount), since: now - since,
		last: now - time.Duration(s.LastMS)*time.Millisecond}
}
