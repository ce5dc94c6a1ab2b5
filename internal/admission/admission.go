// Package admission decides whether an entry accepts a job or refuses it because of load.
//
// It addresses queues whose backlog is longer than the time in which a result is of use to the caller: a job that would
// start too late occupies the queue of all jobs behind it, and its caller learns of it only when the deadline is over.
// Decisions are functions of their arguments; the package reads no clock.
package admission

import (
	"time"

	"masticcart.example/masticcart/internal/batch"
)

// Job is what the decision depends on of a submitted job.
type Job struct {
	ID       string
	Priority int           // of its queue; 0 is the most urgent
	Chain    time.Duration // estimate of the longest chain of its steps, as submitted
	// SlackFactor times the longest chain, plus TargetLatency, is the latency objective. Both are those of the queue.
	SlackFactor   float64
	TargetLatency time.Duration
	// Need is the least that a task which starts first needs.
	Need batch.Resources
	// Deferred means that the job does not begin when it is accepted, or never ends, so that it has no late limit.
	Deferred bool
}

// Figures are the leader's figures for a queue, as known to an entry.
type Figures struct {
	// Wait is the expected time until a job that was accepted when the figures were computed could start.
	Wait time.Duration
	// DurationRatio is the ratio of real to estimated durations of the queue's tasks.
	DurationRatio float64
	// Wait applies to jobs that need at least Need, and whose latest start that meets the objective is at least
	// LatestStart after their acceptance. Others may start sooner.
	Need        batch.Resources
	LatestStart time.Duration
	// Age is the time since the entry requested the figures. A negative age, which a jump of the clock may cause, counts
	// as unknown.
	Age time.Duration
}

// Decision is the result of Decide.
type Decision struct {
	Refused bool
	Wait    time.Duration // expected time until the start
	Chain   time.Duration // expected duration of the longest chain
	Limit   time.Duration // time after acceptance at which the result is of little use
	// RetryAfter is the time after which a retry makes sense. It is set if the job is refused.
	RetryAfter time.Duration
}

// Decide refuses a job if it is expected to end after its late limit. It accepts jobs of priority 0, jobs without a
// latency objective, jobs that would miss the limit on an idle fleet as well, and all jobs if the figures are older
// than maxAge or do not apply to the job.
func Decide(j Job, f Figures, maxAge time.Duration) Decision {
	ratio := f.DurationRatio
	if !(ratio > 0) { // also true for NaN
		ratio = 1
	}
	chain := j.Chain.Seconds() * ratio
	objective := j.SlackFactor*chain + j.TargetLatency.Seconds()
	limit := batch.LateFactor * objective
	d := Decision{Wait: f.Wait, Chain: duration(chain), Limit: duration(limit)}
	known := f.Age >= 0 && f.Age <= maxAge && f.Wait > 0
	applies := f.Need.FitsIn(j.Need) && duration(objective-chain)+rounding >= f.LatestStart
	if j.Priority <= 0 || j.Deferred || !known || !applies || limit <= chain || f.Wait.Seconds()+chain <= limit {
		return d
	}
	d.Refused = true
	d.RetryAfter = retryAfter(j, f.Wait-duration(limit-chain))
	return d
}

// rounding allows for LatestStart, which is sent in whole milliseconds and computed from the same values.
const rounding = time.Millisecond

// duration converts seconds, and limits the result to maxSpan.
func duration(seconds float64) time.Duration {
	return time.Duration(min(seconds, maxSpan.Seconds()) * float64(time.Second))
}

// maxSpan is longer than all meaningful spans. It keeps conversions and sums from overflowing.
const maxSpan = 100 * 365 * 24 * time.Hour
