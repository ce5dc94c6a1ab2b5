package admission

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// survey has an objective of 3 s, hence a late limit of 9 s, and takes 1 s: it may wait for 8 s.
var survey = Job{ID: "0123456789abcdef", Priority: 2, Chain: time.Second, SlackFactor: 2, TargetLatency: time.Second}

const maxAge = time.Second

func with(change func(*Job, *Figures)) (Job, Figures) {
	j, f := survey, Figures{Wait: 9 * time.Second, DurationRatio: 1}
	change(&j, &f)
	return j, f
}

// Guards against refusals that no one asked for: urgent work, work without an objective or with one that no fleet
// meets, figures that are missing, too old or of another clock, and a wait that the caller's limit covers.
func TestOnlyHopelessWorkIsRefused(t *testing.T) {
	for name, c := range map[string]struct {
		change  func(*Job, *Figures)
		refused bool
	}{
		"too late":                       {func(*Job, *Figures) {}, true},
		"oldest usable figures":          {func(_ *Job, f *Figures) { f.Age = maxAge }, true},
		"within the limit":               {func(_ *Job, f *Figures) { f.Wait = 8 * time.Second }, false},
		"urgent":                         {func(j *Job, _ *Figures) { j.Priority = 0 }, false},
		"recurring":                      {func(j *Job, _ *Figures) { j.Deferred = true }, false},
		"no objective":                   {func(j *Job, _ *Figures) { j.SlackFactor, j.TargetLatency = 0, 0 }, false},
		"late on an idle fleet":          {func(j *Job, _ *Figures) { j.SlackFactor, j.TargetLatency = 0.1, 0 }, false},
		"needs less":                     {func(_ *Job, f *Figures) { f.Need.Accelerators = 2 }, false},
		"needs more":                     {func(j *Job, _ *Figures) { j.Need.Accelerators = 1 }, true},
		"as urgent":                      {func(_ *Job, f *Figures) { f.LatestStart = 2 * time.Second }, true},
		"more urgent than all open jobs": {func(_ *Job, f *Figures) { f.LatestStart = 3 * time.Second }, false},
		"no figures":                     {func(_ *Job, f *Figures) { *f = Figures{} }, false},
		"figures too old":                {func(_ *Job, f *Figures) { f.Age = maxAge + 1 }, false},
		"clock moved back":               {func(_ *Job, f *Figures) { f.Age = -time.Hour }, false},
		"tasks take longer":              {func(_ *Job, f *Figures) { f.Wait, f.DurationRatio = 8*time.Second, 2 }, false},
		"tasks take less time":           {func(_ *Job, f *Figures) { f.Wait, f.DurationRatio = 6*time.Second, 0.2 }, true},
		"ratio is not a number":          {func(_ *Job, f *Figures) { f.DurationRatio = math.NaN() }, true},
		"estimate of many years":         {func(j *Job, f *Figures) { j.Chain, f.Wait = math.MaxInt64, math.MaxInt64 }, false},
	} {
		j, f := with(c.change)
		if d := Decide(j, f, maxAge); d.Refused != c.refused || (d.RetryAfter > 0) != c.refused {
			t.Errorf("%s: %+v", name, d)
		}
	}
}

// Guards against callers that were refused together and return together, against a time to retry that differs between
// entries, or is outside the bounds once the header has rounded it up, and against urgent callers that return later.
func TestRetriesAreSpreadInOrderOfPriority(t *testing.T) {
	for _, wait := range []time.Duration{8*time.Second + 1, 15 * time.Second, time.Hour, math.MaxInt64} {
		latest := time.Duration(0)
		for priority := 1; priority <= retryRanks; priority++ {
			seconds := map[int]int{}
			after := latest
			for i := range 300 {
				j, f := with(func(j *Job, f *Figures) {
					j.ID, j.Priority, f.Wait = fmt.Sprintf("%016x", i), priority, wait
				})
				d := Decide(j, f, maxAge)
				if again := Decide(j, f, maxAge); again != d {
					t.Fatalf("%+v, then %+v", d, again)
				}
				if d.RetryAfter < minRetryAfter || d.RetryAfter > maxRetryAfter || d.RetryAfter < after {
					t.Errorf("wait %v, priority %d: %v, after %v", wait, priority, d.RetryAfter, after)
				}
				latest = max(latest, d.RetryAfter)
				seconds[int(math.Ceil(d.RetryAfter.Seconds()))]++
			}
			for s, n := range seconds {
				if n > 200 {
					t.Errorf("wait %v, priority %d: %d of 300 callers return after %d s", wait, priority, n, s)
				}
			}
		}
	}
}

// Guards against callers that are sent away for the whole wait, although they could wait for part of it in the queue.
func TestRetryTimeDeductsWhatTheCallerCouldWait(t *testing.T) {
	j, f := with(func(j *Job, f *Figures) { j.Priority, f.Wait = 1, 18*time.Second })
	if d := Decide(j, f, maxAge); d.RetryAfter < 10*time.Second || d.RetryAfter > 14*time.Second {
		t.Errorf("%+v, want 10 s and up to 4 s of jitter", d)
	}
}
