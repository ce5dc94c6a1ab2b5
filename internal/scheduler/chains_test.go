package scheduler

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"masticcart.example/masticcart/internal/batch"
)

// dependentSteps returns the largest number of steps, each of which depends on the earlier ones that depends selects.
func dependentSteps(depends func(step, earlier int) bool) []batch.Step {
	steps := make([]batch.Step, batch.MaxSteps)
	for i := range steps {
		steps[i] = batch.Step{Count: 1, Estimate: time.Second, Need: batch.Resources{Accelerators: 1}}
		for j := range i {
			if depends(i, j) {
				steps[i].After = append(steps[i].After, j)
			}
		}
	}
	return steps
}

// Guards against a job whose dependencies take the leader longer than the age of the universe to evaluate, during which no
// other job starts and no caller is answered (review/6). Each evaluation of a job's steps has to end, at the next leader too.
func TestDependenciesDoNotStopTheScheduler(t *testing.T) {
	repeated := dependentSteps(func(i, j int) bool { return j == i-1 })
	for i := 1; i < len(repeated); i++ { // as many times as the body of a request holds
		repeated[i].After = slices.Repeat(repeated[i].After, 2000)
	}
	for name, steps := range map[string][]batch.Step{
		"all earlier steps":       dependentSteps(func(int, int) bool { return true }),
		"layers of two steps":     dependentSteps(func(i, j int) bool { return j/2 == i/2-1 }),
		"layers of eight steps":   dependentSteps(func(i, j int) bool { return j/8 == i/8-1 }),
		"one step, over and over": repeated,
	} {
		t.Run(name, func(t *testing.T) {
			const job, small = "00000000000000f6", "00000000000000f7"
			ended := make(chan error, 1)
			go func() {
				f := newFixture(t, "a", "b")
				f.submit(job, 1, 0, steps...)
				f.submit(small, 1, 0, batch.Step{Count: 1, Estimate: time.Second, Need: batch.Resources{Accelerators: 1}})
				for i, at := range []time.Duration{0, 6 * time.Second} { // late enough for forecasts
					if i > 0 {
						f.takeOver(at, nil)
						at += minForecastTerm
					}
					f.reportEverywhere(at)
					f.planAndCommit(at)
					f.reportEverywhere(at + 100*time.Millisecond)
					f.c.QueueWaits(at + 100*time.Millisecond)
					for _, id := range []string{job, small} {
						if x := f.c.jobs[id].findTask(batch.TaskID{Job: id}); x.phase != assigned {
							ended <- fmt.Errorf("the first step of %s is in phase %d", id, x.phase)
							return
						}
					}
				}
				ended <- nil
			}()
			select {
			case err := <-ended:
				if err != nil {
					t.Error(err)
				}
			case <-time.After(10 * time.Second):
				t.Fatal("the scheduler does not get beyond the job")
			}
		})
	}
}

// Guards against a wrong latest start or objective: the longest chain of random steps is that of a search over all chains.
func TestLongestChainMatchesASearch(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 9))
		steps := make([]batch.Step, 1+rng.IntN(9))
		for i := range steps {
			steps[i] = batch.Step{Count: 1, Estimate: time.Duration(rng.IntN(20)) * time.Second}
			for j := range i {
				if rng.IntN(3) == 0 {
					steps[i].After = append(steps[i].After, j)
				}
			}
		}
		var search func(from int) time.Duration
		search = func(from int) time.Duration {
			longest := time.Duration(0)
			for next := from + 1; next < len(steps); next++ {
				if slices.Contains(steps[next].After, from) {
					longest = max(longest, search(next))
				}
			}
			return steps[from].Estimate + longest
		}
		f := newFixture(t, "a")
		f.submit("00000000000000f8", 1, 0, steps...)
		j := f.c.jobs["00000000000000f8"]
		longest := time.Duration(0)
		for i, s := range j.occurrences[0].steps {
			want := search(i)
			if got := f.c.longestChain(s); got != want {
				t.Fatalf("seed %d, step %d: %v, want %v", seed, i, got, want)
			}
			longest = max(longest, want)
		}
		q := f.c.queue(j)
		if got, want := f.c.objective(j), time.Duration(float64(longest)*q.SlackFactor)+q.TargetLatency; got != want {
			t.Fatalf("seed %d: objective %v, want %v", seed, got, want)
		}
	}
}

// Guards against durations that overflow where the steps of a chain are as long as they may be.
func TestLongestChainIsBounded(t *testing.T) {
	steps := dependentSteps(func(i, j int) bool { return j == i-1 })
	for i := range steps {
		steps[i].Estimate = batch.MaxDuration
	}
	f := newFixture(t, "a")
	f.submit("00000000000000f9", 1, 0, steps...)
	j := f.c.jobs["00000000000000f9"]
	if got := f.c.longestChain(j.occurrences[0].steps[0]); got != batch.MaxDuration {
		t.Errorf("longest chain %v, want %v", got, batch.MaxDuration)
	}
	if got := f.c.objective(j); got < batch.MaxDuration {
		t.Errorf("objective %v, want at least %v", got, batch.MaxDuration)
	}
}
