package experiment

import (
	"math"
	"slices"
	"time"

	"masticcart.example/masticcart/internal/model"
	"masticcart.example/masticcart/internal/placement"
)

// MinLargeGang is the number of accelerators from which work counts as large.
const MinLargeGang = 16

// measure collects samples during a run.
type measure struct {
	decisions      []time.Duration
	useful, lost   float64 // accelerator seconds
	preempted      int
	unusable, free float64   // accelerators that no shape can use and free ones, summed over the samples
	largest        []float64 // samples: largest free block as a share of all free
	broken         int       // samples in which a guarantee could not be reclaimed
	capacityTime   float64
}

// Distribution summarizes durations in seconds.
type Distribution struct {
	N                        int
	Mean, P50, P95, P99, Max float64
}

func quantiles(values []float64) Distribution {
	if len(values) == 0 {
		return Distribution{}
	}
	slices.Sort(values)
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	at := func(q float64) float64 { return values[max(0, int(math.Ceil(q*float64(len(values))))-1)] }
	return Distribution{N: len(values), Mean: sum / float64(len(values)), P50: at(0.5), P95: at(0.95), P99: at(0.99), Max: values[len(values)-1]}
}

// Metrics are the results of one run. Jobs that have not ended or started by the end count with the time until
// then, which is a lower bound.
type Metrics struct {
	Seed                uint64
	CompletionTime      map[model.Class]Distribution // of work that is not refused, cancelled or failed
	LargeGangCompletion Distribution                 // completion of gangs of LargeGang accelerators and more
	TimeToStart         map[model.Class]Distribution
	TimeToStartBySize   []Distribution // by SizeNames
	ClaimToStart        Distribution   // claim to running
	UnusableShare       float64        // share of the free accelerator time that no waiting or guaranteed shape can use
	LargestFreeShare    float64        // mean of the largest free block of one rack as a share of all free
	UsefulShare         float64        // share of the accelerator time that went into attempts that finished
	LostShare           float64        // share that went into attempts that were stopped or failed
	Preemptions         int
	Unfinished          int
	GuaranteeViolations int          // samples in which a guarantee could not be reclaimed
	DecisionTime        Distribution // wall time, in milliseconds
	Decisions           int
}

// SizeBuckets names the buckets of StartBySize.
var SizeBuckets = []string{"1", "2-8", "9-64", "65-512", "513+"}

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

// sample measures the state of the cell.
func (d *driver) sample() {
	x := newFreeBlocks(d.workers)
	d.m.capacityTime += float64(x.usable) * sampleInterval.Seconds()
	s := d.snapshot()
	if placement.CheckReclaimable(s) != nil {
		d.m.broken++
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
	d.m.unusable += x.unusable(shapes)
	d.m.free += float64(x.total)
	d.m.largest = append(d.m.largest, x.largestShare())
}

// freeBlocks are the free accelerators of a cell by worker and rack.
type freeBlocks struct {
	worker []int
	rackOf []string
	rack   map[string]int
	total  int
	usable int // units of usable workers, free or not
}

func newFreeBlocks(workers []placement.Upstream) *freeBlocks {
	x := &freeBlocks{worker: make([]int, len(workers)), rackOf: make([]string, len(workers)), rack: make(map[string]int)}
	for i := range workers {
		w := &workers[i]
		x.rackOf[i] = w.Rack
		if w.Unschedulable {
			continue
		}
		x.usable += w.Units
		x.worker[i] = w.Free
		x.rack[w.Rack] += w.Free
		x.total += w.Free
	}
	return x
}

// unusable returns the free accelerators in no block in which any of the shapes fits.
func (x *freeBlocks) unusable(shapes []model.Shape) float64 {
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
	for i, n := range x.worker {
		if !fits(model.AdjacentWorker, n) && !fits(model.AdjacentRack, x.rack[x.rackOf[i]]) {
			out += n
		}
	}
	return float64(out)
}

func (x *freeBlocks) largestShare() float64 {
	most := 0
	for _, n := range x.rack {
		most = max(most, n)
	}
	return float64(most) / float64(x.total)
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / math.Max(1, float64(len(values)))
}

func (d *driver) figures() *Metrics {
	f := &Metrics{Seed: d.load.Seed, CompletionTime: map[model.Class]Distribution{}, TimeToStart: map[model.Class]Distribution{},
		UnusableShare: d.m.unusable / math.Max(1, d.m.free), LargestFreeShare: mean(d.m.largest), Preemptions: d.m.preempted, GuaranteeViolations: d.m.broken,
		UsefulShare: d.m.useful / math.Max(1, d.m.capacityTime), LostShare: d.m.lost / math.Max(1, d.m.capacityTime),
		Decisions: len(d.m.decisions)}
	completion, start := map[model.Class][]float64{}, map[model.Class][]float64{}
	bySize := make([][]float64, len(SizeBuckets))
	var large, claims, wall []float64
	for _, t := range d.tasks {
		if !d.counts(t) {
			continue
		}
		class := d.load.Config.Rule(t.Spec.Kind).Class
		started, ended := d.now, d.now
		if t.started {
			started = t.firstStart
		}
		if t.phase == phaseEnded {
			ended = t.ended
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
		f.CompletionTime[c], f.TimeToStart[c] = quantiles(completion[c]), quantiles(start[c])
	}
	for _, v := range bySize {
		f.TimeToStartBySize = append(f.TimeToStartBySize, quantiles(v))
	}
	for _, v := range d.m.decisions {
		wall = append(wall, v.Seconds()*1000)
	}
	f.LargeGangCompletion, f.ClaimToStart, f.DecisionTime = quantiles(large), quantiles(claims), quantiles(wall)
	return f
}

// counts reports whether a job belongs into the figures: it has arrived and could end as its caller wants.
func (d *driver) counts(t *task) bool {
	switch {
	case t.phase == phaseNone || t.AlwaysFails || t.CancelAt > 0:
		return false
	case t.phase == phaseEnded:
		return t.result == model.ResultDone
	}
	return true
}
