package speed

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// fleet simulates mixed load on workers of given factors: gangs of 5, gangs of 7 and surveys of 39 tasks.
type fleet struct {
	tracker *Tracker
	rng     *rand.Rand
	factors []float64
	busy    []int // runs by worker
	runs    []*run
	groups  int
	now     time.Duration
}

type run struct {
	node     int
	group    string
	duration float64 // seconds on a worker with factor 1
	done     float64 // percent
	observed float64
	at       time.Duration // of the last observation
	next     time.Duration // of the next report
}

func newFleet(seed uint64, n int, factor func(int) float64) *fleet {
	f := &fleet{tracker: NewTracker(), rng: rand.New(rand.NewPCG(seed, 7)), busy: make([]int, n), now: time.Second}
	for i := range n {
		f.factors = append(f.factors, factor(i))
	}
	return f
}

// submit starts a group of count tasks on random workers, preferably idle ones.
func (f *fleet) submit(count int, seconds, spread float64) {
	f.groups++
	bias := math.Exp2(f.rng.Float64()*2 - 1)
	for range count {
		node := f.rng.IntN(len(f.factors))
		for try := 0; try < 5 && f.busy[node] > 3; try++ {
			node = f.rng.IntN(len(f.factors))
		}
		f.busy[node]++
		f.runs = append(f.runs, &run{node: node, group: fmt.Sprint("g", f.groups), at: f.now, next: f.now + f.interval(),
			duration: seconds * bias * (1 + spread*(2*f.rng.Float64()-1))})
	}
}

func (f *fleet) interval() time.Duration {
	return time.Duration(400+f.rng.IntN(200)) * time.Millisecond
}

const tick = 20 * time.Millisecond

// advance runs the load for a time: per second 1.6 gangs of 5, 0.4 gangs of 7, and a survey every 4 s.
func (f *fleet) advance(d time.Duration) {
	for end := f.now + d; f.now < end; f.now += tick {
		if f.rng.Float64() < 1.6*tick.Seconds() {
			f.submit(5, 2.3, 0.3)
		}
		if f.rng.Float64() < 0.4*tick.Seconds() {
			f.submit(7, 7, 0.25)
		}
		if f.rng.Float64() < 0.25*tick.Seconds() {
			f.submit(39, 6.3, 0.2)
		}
		f.progress()
	}
}

func (f *fleet) progress() {
	kept := f.runs[:0]
	for _, r := range f.runs {
		r.done += 100 * tick.Seconds() / (r.duration * f.factors[r.node])
		if r.done >= 100 {
			f.busy[r.node]--
			continue
		}
		if f.now >= r.next {
			r.next = f.now + f.interval()
			if percent := math.Floor(r.done) + 0.5; percent > r.observed+0.5 {
				work := percent - r.observed
				f.tracker.Observe(fmt.Sprint("w", r.node), r.group, work/(f.now-r.at).Seconds(), work, f.now)
				r.observed, r.at = percent, f.now
			}
		}
		kept = append(kept, r)
	}
	f.runs = kept
}

// classified returns the number of workers whose runs were compared with others, and how many of them are taken for
// slow although they are not, or the reverse.
func (f *fleet) classified(slow func(int) bool) (seen, wrong float64) {
	for i := range f.factors {
		name := fmt.Sprint("w", i)
		if f.tracker.Estimate(name).Confidence == 0 {
			continue
		}
		seen++
		if (f.tracker.Class(name) == Slow) != slow(i) {
			wrong++
		}
	}
	return seen, wrong
}

// changed returns the share of the workers of an equal fleet that are taken for fast or slow.
func (f *fleet) changed() float64 {
	n := 0.0
	for i := range f.factors {
		if c := f.tracker.Class(fmt.Sprint("w", i)); c == Fast || c == Slow {
			n++
		}
	}
	return n / float64(len(f.factors))
}

// Guards against evidence that counts too late: a day is over after half a minute, and urgent work must avoid the slow
// third of the workers from its first seconds on.
func TestSlowThirdIsLearnedWithinSeconds(t *testing.T) {
	factor := func(i int) float64 {
		if i%3 == 0 {
			return 1.7
		}
		return 0.7
	}
	const seeds = 20
	at := []time.Duration{time.Second, 2 * time.Second, 4 * time.Second, 8 * time.Second}
	minRight := []float64{0.65, 0.8, 0.88, 0.93}
	seen, wrong := make([]float64, len(at)), make([]float64, len(at))
	for seed := range uint64(seeds) {
		f := newFleet(seed, 70, factor)
		for i := range at {
			f.advance(at[i] - (f.now - time.Second))
			s, w := f.classified(func(i int) bool { return i%3 == 0 })
			seen[i] += s
			wrong[i] += w
		}
	}
	for i := range at {
		right := 1 - wrong[i]/seen[i]
		t.Logf("after %v: %.0f%% of %.0f workers with runs are classified right", at[i], 100*right, seen[i]/seeds)
		if right < minRight[i] {
			t.Errorf("after %v: %.2f of the workers classified right, want %.2f", at[i], right, minRight[i])
		}
	}
}

// Guards against placement that changes by noise where all workers are equal.
func TestEqualWorkersAreNotSplit(t *testing.T) {
	for seed := range uint64(20) {
		f := newFleet(seed, 70, func(int) float64 { return 1 })
		worst := 0.0
		for range 16 {
			f.advance(500 * time.Millisecond)
			worst = max(worst, f.changed())
		}
		if worst > 0.03 {
			t.Errorf("seed %d: %.2f of equal workers are taken for fast or slow", seed, worst)
		}
	}
}

// Guards against a fault that shows only after the work that it delays is over, and against one that outlasts its end.
func TestChangeOfSpeedShows(t *testing.T) {
	shown, recovered := 0, 0
	const seeds = 20
	for seed := range uint64(seeds) {
		f := newFleet(seed, 20, func(int) float64 { return 1 })
		f.advance(12 * time.Second)
		f.factors[4] = 5
		f.advance(6 * time.Second)
		if f.tracker.Class("w4") == Slow {
			shown++
		}
		f.factors[4] = 1
		f.advance(10 * time.Second)
		if f.tracker.Class("w4") != Slow {
			recovered++
		}
	}
	t.Logf("shown %d, recovered %d of %d", shown, recovered, seeds)
	if shown < seeds*9/10 || recovered < seeds*9/10 {
		t.Errorf("change shown in %d, its end in %d of %d fleets", shown, recovered, seeds)
	}
}

// Guards against one job with tasks of very different size that makes its workers look fast or slow.
func TestOneBadJobDoesNotChangeClasses(t *testing.T) {
	for seed := range uint64(20) {
		f := newFleet(seed, 30, func(int) float64 { return 1 })
		f.advance(8 * time.Second)
		for i := range 10 {
			f.tracker.Observe(fmt.Sprint("w", i), "bad", 20*math.Exp2(4*f.rng.Float64()), 80, f.now)
		}
		f.advance(300 * time.Millisecond)
		if wrong := f.changed(); wrong > 0.1 {
			t.Errorf("seed %d: %.2f of the workers changed their class", seed, wrong)
		}
	}
}

// Guards against conclusions from runs that nothing can be compared with, and against slow workers that look typical
// because a group ran only on them.
func TestComparisonNeedsOtherWorkers(t *testing.T) {
	k := NewTracker()
	for i := range 10 {
		k.Observe("a", fmt.Sprint("g", i), 5, 30, time.Duration(i)*time.Second)
	}
	if e := k.Estimate("a"); e.Confidence != 0 || e.Factor != 1 {
		t.Errorf("worker that was never compared: %+v", e)
	}
	if p := k.SlowProbability("b", 1.2); p != 0 {
		t.Errorf("unknown worker among unknown ones is slow with probability %v", p)
	}
	k = NewTracker()
	for _, n := range []string{"s1", "s2", "f1", "f2", "f3"} {
		rate := 50.0
		if n[0] == 's' {
			rate = 20
		}
		for i := range 3 {
			k.Observe(n, fmt.Sprint("mixed", i), rate, 60, time.Second)
		}
		if n[0] == 's' {
			for i := range 6 {
				k.Observe(n, fmt.Sprint("slow", i), 10, 60, time.Second)
			}
		}
	}
	for now := time.Second; now < 3*time.Second; now += updateInterval {
		k.Observe("f1", "alone", 10, 1, now)
		k.Estimate("f1")
	}
	for _, n := range []string{"s1", "s2"} {
		if c := k.Class(n); c != Slow {
			t.Errorf("%s is %s with %+v, want slow", n, c, k.Estimate(n))
		}
	}
}

// Guards against a takeover that loses the estimates, and against implausible values from an agent.
func TestRestoredEstimate(t *testing.T) {
	k := NewTracker()
	k.Restore("a", Estimate{Factor: 1.7, Confidence: 0.9}, time.Second)
	k.Restore("b", Estimate{Factor: 0.7, Confidence: 0.9}, time.Second)
	if a, b := k.Estimate("a"), k.Estimate("b"); a.Factor < 1.2*b.Factor || a.Confidence < 0.8 {
		t.Errorf("restored %+v and %+v", a, b)
	}
	for _, e := range []Estimate{{math.NaN(), 1}, {math.Inf(1), 1}, {0, 0.5}, {11, 0.5}, {1, math.NaN()}, {1, 1.1}} {
		k.Restore("c", e, time.Second)
	}
	if k.byName["c"] != nil {
		t.Error("implausible estimate taken")
	}
	k.Forget("a")
	if e := k.Estimate("a"); e.Confidence != 0 {
		t.Errorf("forgotten worker has %+v", e)
	}
}
