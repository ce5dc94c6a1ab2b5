package scheduler

import (
	"testing"
	"time"

	"masticcart.example/masticcart/internal/batch"
)

// Guards against refusals that rest on a forecast of a leader which does not know all workers yet, on work that is not
// ahead of a new job, or on workers that are gone, and against a backlog that does not show. 16 accelerators run 16 of
// 40 tasks of 10 s; the other 24 start after 10 and 20 s, and with them
// a new job after 20 s.
func TestQueueWaits(t *testing.T) {
	survey := batch.Step{Count: 40, Need: batch.Resources{Accelerators: 1}, Estimate: 10 * time.Second}
	const lateLimit = 90 * time.Second // three times the slack factor of simQueue times 10 s
	for name, c := range map[string]struct {
		prepare func(*fixture)
		now     time.Duration
		waits   map[string]time.Duration
	}{
		"backlog":    {func(*fixture) {}, 0, map[string]time.Duration{"q1": 20 * time.Second}},
		"new leader": {func(f *fixture) { f.c.startedAt = -minForecastTerm + 1 }, 0, nil},
		"no reports": {func(*fixture) {}, maxSilence + 1, nil},
		"deregisters": {func(f *fixture) { f.c.workers["b"].deregistered = true }, 0,
			map[string]time.Duration{"q1": 40 * time.Second}},
		"free worker": {func(f *fixture) { f.report("c", 0) }, 0, map[string]time.Duration{"q1": 10 * time.Second}},
		"less urgent": {func(f *fixture) { f.submit("00000000000000a2", 2, 0, survey) }, 0,
			map[string]time.Duration{"q1": 20 * time.Second, "q2": 50 * time.Second}},
		"urgent": {func(f *fixture) { f.submit("00000000000000a0", 0, 0, survey) }, 0,
			map[string]time.Duration{"q1": 50 * time.Second}},
		"past its late limit": {func(f *fixture) { f.submit("00000000000000a3", 1, -lateLimit-1, survey) }, 0,
			map[string]time.Duration{"q1": 20 * time.Second}},
		"tasks take twice as long": {func(f *fixture) { f.c.durationStats("q1").ratio = 2 }, 0,
			map[string]time.Duration{"q1": 40 * time.Second}},
	} {
		f := newFixture(t, "a", "b")
		f.c.startedAt = -minForecastTerm
		f.submit("00000000000000a1", 1, 0, survey)
		f.planAndCommit(0)
		c.prepare(f)
		waits := f.c.QueueWaits(c.now)
		if len(waits) != len(c.waits) {
			t.Errorf("%s: %v, want %v", name, waits, c.waits)
		}
		for queue, want := range c.waits {
			if w := waits[queue]; w.Need.Accelerators != 1 || w.LatestStartMS != w.latestStartOf(survey.Estimate) {
				t.Errorf("%s: %+v does not describe the jobs of %s", name, w, queue)
			}
			if got := time.Duration(waits[queue].WaitMS) * time.Millisecond; got != want {
				t.Errorf("%s: %s waits %v, want %v", name, queue, got, want)
			}
		}
	}
}

// latestStartOf returns the latest start, in milliseconds, of jobs with one step of an estimate, by the objective of
// simQueue.
func (w QueueWait) latestStartOf(estimate time.Duration) int64 {
	return int64(float64(estimate.Milliseconds()) * w.DurationRatio * (simQueue(1).SlackFactor - 1))
}
