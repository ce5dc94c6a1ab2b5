package experiment

import (
	"math"
	"slices"
	"time"

	"masticcart.example/masticcart/internal/model"
	"masticcart.example/masticcart/internal/placement"
)

// LargeGang is the number of accelerators from which work counts as large.
const LargeGang = 16

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

// Quantiles summarizes durations in seconds.
type Quantiles struct {
	N                         int
	Mean, P50, P95, P99, Most float64
}

func quantiles(values []float64) Quantiles {
	if len(values) == 0 {
		return Quantiles{}
	}
	slices.Sort(values)
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	at := func(q float64) float64 { return values[max(0, int(math.Ceil(q*float64(len(values))))-1)] }
	return Quantiles{N: len(values), Mean: sum / float64(len(values)), P50: at(0.5), P95: at(0.95), P99: at(0.99), Most: values[len(values)-1]}
}

// Figures are the results of one run. Jobs that have not ended or started by the end count with the time until
// then, which is a lower bound.
type Figures struct {
	Seed        uint64
	Completion  map[model.Class]Quantiles // of work that is not refused, cancelled or failed
	Large       Quantiles                 // completion of gangs of LargeGang accelerators and more
	Start       map[model.Class]Quantiles
	StartBySize []Quantiles // by SizeNames
	Claim       Quantiles   // claim to running
	Unusable    float64     // share of the free accelerator time that no waiting or guaranteed shape can use
	LargestFree float64     // mean of the largest free block of one rack as a share of all free
	Useful      float64     // share of the accelerator time that went into attempts that finished
	Lost        float64     // share that went into attempts that were stopped or failed
	Preempted   int
	Unfinished  int
	Broken      int       // samples in which a guarantee could not be reclaimed
	Decision    Quantiles // wall time, in milliseconds
	Decisions   int
}

// SizeNames names the buckets of StartBySize.
var SizeNames = []string{"1", "2-8", "9-64", "65-512", "513+"}

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

func (d *driver) figures() *Figures {
	f := &Figures{Seed: d.load.Seed, Completion: map[model.Class]Quantiles{}, Start: map[model.Class]Quantiles{},
		Unusable: d.m.unusable / math.Max(1, d.m.free), LargestFree: mean(d.m.largest), Preempted: d.m.preempted, Broken: d.m.broken,
		Useful: d.m.useful / math.Max(1, d.m.capacityTime), Lost: d.m.lost / math.Max(1, d.m.capacityTime),
		Decisions: len(d.m.decisions)}
	completion, start := map[model.Class][]float64{}, map[model.Class][]float64{}
	bySize := make([][]float64, len(SizeNames))
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
		toStart, toEnd := (started - t.Arrive).Seconds(), (ended - t.Arrive).Seconds()
		completion[class] = append(completion[class], toEnd)
		start[class] = append(start[class], toStart)
		size := t.Spec.Shape.Accelerators
		bySize[sizeBucket(size)] = append(bySize[sizeBucket(size)], toStart)
		if size >= LargeGang && !t.Claim {
			large = append(large, toEnd)
		}
		if t.Claim {
			claims = append(claims, toStart)
		}
	}
	for c := range completion {
		f.Completion[c], f.Start[c] = quantiles(completion[c]), quantiles(start[c])
	}
	for _, v := range bySize {
		f.StartBySize = append(f.StartBySize, quantiles(v))
	}
	for _, v := range d.m.decisions {
		wall = append(wall, v.Seconds()*1000)
	}
	f.Large, f.Claim, f.Decision = quantiles(large), quantiles(claims), quantiles(wall)
	return f
}

// counts reports whether a job belongs into the figures: it has arrived and could end as its caller wants.
func (d *driver) counts(t *task) bool {
	switch {
	case t.phase == phaseNone || t.Crashes || t.Cancel > 0:
		return false
	case t.phase == phaseEnded:
		return t.result == model.ResultDone
	}
	return true
}
