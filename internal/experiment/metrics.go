package experiment

import (
	"math"
	"slices"
	"time"

	"masticcart.example/masticcart/internal/model"
	"masticcart.example/masticcart/internal/placement"
)

// MinLargeGang is the number of accelerators from which a job counts as a large gang.
const MinLargeGang = 16

// samples collects measurements during a run.
type samples struct {
	decisionTimes              []time.Duration // wall-clock time of each decision
	usefulSeconds, lostSeconds float64         // accelerator seconds of finished attempts, and of stopped and failed ones
	preemptions                int
	unusableUnits, freeUnits   float64   // accelerators that no shape can use, and all free ones, summed over the samples
	largestFreeShares          []float64 // by sample: share of the free accelerators in the rack with the most of them
	guaranteeViolations        int       // samples in which a guarantee could not be reclaimed
	capacitySeconds            float64   // accelerator seconds of schedulable workers, busy or not
}

// Distribution summarizes durations, in seconds unless a field says otherwise. N is their number.
type Distribution struct {
	N                        int
	Mean, P50, P95, P99, Max float64
}

// summarize returns the distribution of the values, which it sorts.
func summarize(values []float64) Distribution {
	if len(values) == 0 {
		return Distribution{}
	}
	slices.Sort(values)
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	at := func(q float64) float64 { return values[max(0, int(math.Ceil(q*float64(len(values))))-1)] }
	return Distribution{N: len(values), Mean: sum / float64(len(values)),
		P50: at(0.5), P95: at(0.95), P99: at(0.99), Max: values[len(values)-1]}
}

// Metrics are the results of one run. A job that has not started or completed by the end of the run counts with the
// time until then, which is a lower bound.
type Metrics struct {
	Seed                uint64
	CompletionTime      map[model.Class]Distribution // by class, of jobs that are not refused, cancelled or failed
	LargeGangCompletion Distribution                 // completion times of large gangs that are not claims
	TimeToStart         map[model.Class]Distribution // by class, of the same jobs
	TimeToStartBySize   []Distribution               // by index of SizeBuckets
	ClaimToStart        Distribution                 // from a claim's arrival to running
	UnusableShare       float64                      // share of free accelerators that no waiting job or guarantee can use
	LargestFreeShare    float64                      // mean of the largest share of free accelerators in one rack
	UsefulShare         float64                      // share of the accelerator time spent on attempts that finished
	LostShare           float64                      // share of the accelerator time spent on stopped or failed attempts
	Preemptions         int
	Unfinished          int          // jobs that have not ended at the end of the run
	GuaranteeViolations int          // samples in which a guarantee could not be reclaimed
	DecisionTime        Distribution // wall-clock time in milliseconds
	Decisions           int
}

// SizeBuckets names the buckets of TimeToStartBySize by their numbers of accelerators.
var SizeBuckets = []string{"1", "2-8", "9-64", "65-512", "513+"}

// sizeBucket returns the index in SizeBuckets for n accelerators.
func sizeBucket(n int) int {
	switch {
	case n <= 1:
		return 0
	case n <= 8:
		return 1
	case n <= 64:
		return 2
	case n <= 512:
		return 3
	}
	return 4
}

// takeSample measures the free accelerators and checks the guarantees.
func (d *driver) takeSample() {
	x := newFreeBlocks(d.workers)
	d.samples.capacitySeconds += float64(x.capacity) * sampleInterval.Seconds()
	s := d.snapshot()
	if placement.CheckReclaimable(s) != nil {
		d.samples.guaranteeViolations++
	}
	if x.total == 0 {
		return
	}
	var shapes []model.Shape
	for _, w := range s.Waiting {
		shapes = append(shapes, w.Spec.Shape)
	}
	for _, g := range d.load.Config.Guarantees {
		shapes = append(shapes, g.Shape)
	}
	d.samples.unusableUnits += x.unusableUnits(shapes)
	d.samples.freeUnits += float64(x.total)
	d.samples.largestFreeShares = append(d.samples.largestFreeShares, x.largestRackShare())
}

// freeBlocks holds the free accelerators of a cell by worker and by rack.
type freeBlocks struct {
	byWorker []int    // by index of the worker
	rackOf   []string // by index of the worker
	byRack   map[string]int
	total    int
	capacity int // units of schedulable workers, free or not
}

func newFreeBlocks(workers []placement.Upstream) *freeBlocks {
	x := &freeBlocks{byWorker: make([]int, len(workers)), rackOf: make([]string, len(workers)),
		byRack: make(map[string]int)}
	for i := range workers {
		w := &workers[i]
		x.rackOf[i] = w.Rack
		if w.Unschedulable {
			continue
		}
		x.capacity += w.Units
		x.byWorker[i] = w.Free
		x.byRack[w.Rack] += w.Free
		x.total += w.Free
	}
	return x
}

// unusableUnits returns the number of free accelerators that are in no block in which any of the shapes fits.
func (x *freeBlocks) unusableUnits(shapes []model.Shape) float64 {
	smallest := map[model.Adjacency]int{}
	for _, s := range shapes {
		if n := smallest[s.Adjacency]; n == 0 || s.Accelerators < n {
			smallest[s.Adjacency] = s.Accelerators
		}
	}
	fits := func(a model.Adjacency, have int) bool { return smallest[a] > 0 && have >= smallest[a] }
	if fits(model.AdjacentDatacenter, x.total) {
		return 0
	}
	out := 0
	for i, n := range x.byWorker {
		if !fits(model.AdjacentWorker, n) && !fits(model.AdjacentRack, x.byRack[x.rackOf[i]]) {
			out += n
		}
	}
	return float64(out)
}

// largestRackShare returns the share of the free accelerators that is in the rack with the most of them.
func (x *freeBlocks) largestRackShare() float64 {
	largest := 0
	for _, n := range x.byRack {
		largest = max(largest, n)
	}
	return float64(largest) / float64(x.total)
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / math.Max(1, float64(len(values)))
}

// metrics computes the metrics of a run that has ended.
func (d *driver) metrics() *Metrics {
	f := &Metrics{Seed: d.load.Seed, CompletionTime: map[model.Class]Distribution{},
		TimeToStart:      map[model.Class]Distribution{},
		UnusableShare:    d.samples.unusableUnits / math.Max(1, d.samples.freeUnits),
		LargestFreeShare: mean(d.samples.largestFreeShares),
		Preemptions:      d.samples.preemptions, GuaranteeViolations: d.samples.guaranteeViolations,
		UsefulShare: d.samples.usefulSeconds / math.Max(1, d.samples.capacitySeconds),
		LostShare:   d.samples.lostSeconds / math.Max(1, d.samples.capacitySeconds),
		Decisions:   len(d.samples.decisionTimes)}
	completion, start := map[model.Class][]float64{}, map[model.Class][]float64{}
	bySize := make([][]float64, len(SizeBuckets))
	var large, claims, wall []float64
	for _, t := range d.jobs {
		if !d.countsInMetrics(t) {
			continue
		}
		class := d.load.Config.Rule(t.Spec.Kind).Class
		started, ended := d.now, d.now
		if t.hasStarted {
			started = t.firstStart
		}
		if t.phase == phaseEnded {
			ended = t.endTime
		} else {
			f.Unfinished++
		}
		toStart, toEnd := (started - t.Arrival).Seconds(), (ended - t.Arrival).Seconds()
		completion[class] = append(completion[class], toEnd)
		start[class] = append(start[class], toStart)
		size := t.Spec.Shape.Accelerators
		bySize[sizeBucket(size)] = append(bySize[sizeBucket(size)], toStart)
		if size >= MinLargeGang && !t.UsesGuarantee {
			large = append(large, toEnd)
		}
		if t.UsesGuarantee {
			claims = append(claims, toStart)
		}
	}
	for c := range completion {
		f.CompletionTime[c], f.TimeToStart[c] = summarize(completion[c]), summarize(start[c])
	}
	for _, v := range bySize {
		f.TimeToStartBySize = append(f.TimeToStartBySize, summarize(v))
	}
	for _, v := range d.samples.decisionTimes {
		wall = append(wall, v.Seconds()*1000)
	}
	f.LargeGangCompletion, f.ClaimToStart, f.DecisionTime = summarize(large), summarize(claims), summarize(wall)
	return f
}

// countsInMetrics reports whether the metrics include a job: it has arrived, does not always fail, is never cancelled
// and, if it has ended, is done.
func (d *driver) countsInMetrics(t *trackedJob) bool {
	switch {
	case t.phase == phaseNotArrived || t.AlwaysFails || t.CancelAt > 0:
		return false
	case t.phase == phaseEnded:
		return t.result == model.ResultDone
	}
	return true
}
