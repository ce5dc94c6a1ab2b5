// Package speed estimates how long workers take relative to a typical worker of their service, from the progress of
// comparable runs. It performs no I/O and takes the time as an argument.
//
// The logarithm of a run's time per unit of work is modelled as the sum of a term of its group, a term of its worker,
// and noise. The terms are fitted by alternating weighted least squares with Huber's loss, which is convex, so that the
// result does not depend on which workers were seen first.
package speed

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// halfLife is the time after which the weight of an observation is halved, so that changes of a worker's speed
	// show.
	halfLife = 20 * time.Second
	// recentHalfLife weights the evidence that is compared with the whole to detect a change of speed.
	recentHalfLife = 2500 * time.Millisecond
	// memory is the age at which observations are dropped.
	memory = 2 * halfLife
	// updateInterval is the least time between two fits, which take time in proportion to all observations kept.
	updateInterval = 200 * time.Millisecond
	// sweepsPerUpdate is the number of iterations of a fit. Each fit starts from the result of the last one.
	sweepsPerUpdate = 4
	// damping is the share of a new value in an iteration. Without it, two workers that are compared only with each
	// other would swap their values in each iteration.
	damping = 0.6

	// taskDeviation is the standard deviation of the logarithm of durations within a group; they differ by 15 to 30 %.
	taskDeviation = 0.15
	// roundingPercent is the error of a run's observed work in percent, due to reported percentages being whole
	// numbers.
	roundingPercent = 0.6
	// huberLimit is the residual beyond which the influence of an observation does not grow any more.
	huberLimit = 0.4
	// medianChiSquare is the median of the square of a standard normal variable, and maxSpread the multiple of it up to
	// which the spread of a group is taken as noise.
	medianChiSquare = 0.455
	maxSpread       = 2.0
	// minSpreadSample is the least number of observations from which the variance of tasks within groups is measured.
	minSpreadSample = 12
	// priorDeviation is the standard deviation of the logarithm of workers' factors before anything is known.
	priorDeviation = 0.6
	// minFleetVariance is the least variance of the logarithm of factors that is assumed when estimates are shrunk, and
	// unknownFleetVariance the one assumed until some workers are known.
	minFleetVariance     = 0.002
	unknownFleetVariance = 0.1
	// changeThreshold is the difference of the logarithm of the recent and the overall factor from which on the
	// worker's speed has changed, and minChangePrecision the least precision of the recent one: about that of one run.
	changeThreshold    = 0.6
	minChangePrecision = 18.0

	// halfConfidence is the precision at which the confidence is one half.
	halfConfidence = 8.0
	maxConfidence  = 0.98
	// typicalPseudoWorkers is the number of typical workers that are added to the known ones in the distribution that
	// applies to unknown workers.
	typicalPseudoWorkers = 3.0
	// maxRelativeFactor limits the weight of a very slow worker in the mean that defines a typical one, relative to the
	// median.
	maxRelativeFactor = 3.0
	// minFactor and maxFactor limit estimates.
	minFactor = 0.1
	maxFactor = 10.0
)

// Estimate is what is known of the speed of a worker.
type Estimate struct {
	// Factor is the worker's duration relative to that of a typical worker: 1.5 means half as long again.
	Factor     float64
	Confidence float64 // 0 to 1
}

// Valid reports whether the values are plausible, for estimates that come from other processes.
func (e Estimate) Valid() bool {
	return e.Factor >= minFactor && e.Factor <= maxFactor && e.Confidence >= 0 && e.Confidence <= 1
}

// Tracker estimates how long workers take relative to a typical worker of their service. It is not safe for concurrent
// use.
type Tracker struct {
	nodes     []*node // in the order of their first observation, so that sums do not depend on the order of a map
	byName    map[string]*node
	groups    []*group
	byKey     map[string]*group
	now       time.Duration // of the last observation
	updatedAt time.Duration
	// spread is the factor by which the variance of tasks within the groups exceeds taskDeviation squared, at least 1.
	spread  float64
	squares []float64 // of the standardized residuals of the last iteration
	stale   bool      // there are observations after the last fit
	known   []float64 // sorted logarithms of the factors of workers with a confidence of at least one half
}

// node is a worker.
type node struct {
	name            string
	value           float64 // logarithm of the factor, as fitted
	precision       float64 // inverse variance of value, from evidence only
	shrunk          float64 // value shrunk towards a typical worker by the variance of the fleet
	since           time.Duration
	restoredValue   float64
	restoredWeight  float64 // precision at restoredAt
	restoredAt      time.Duration
	class           Class
	sums, recent    sums
	recentPrecision float64
}

// sums accumulates weighted residuals.
type sums struct{ value, weight float64 }

func (s *sums) add(value, weight float64) { s.value, s.weight = s.value+weight*value, s.weight+weight }

// group holds the observations of comparable runs.
type group struct {
	key   string
	cells []*cell
	last  time.Duration
}

// cell is the work of all runs of one worker in a group, with the time that it took. Both are decayed alike.
type cell struct {
	node   *node
	work   float64 // percent
	took   float64 // seconds
	last   time.Duration
	level  float64 // logarithm of the time per percent
	var0   float64 // variance of level
	decay  float64 // by age with halfLife
	recent float64 // the same with recentHalfLife
	weight float64 // in the last iteration
	rest   float64 // residual of the group's term in the last iteration
}

// NewTracker returns a tracker without observations.
func NewTracker() *Tracker {
	return &Tracker{spread: 1, byName: map[string]*node{}, byKey: map[string]*group{}}
}

// Observe adds the progress of a run since its last observation. group identifies runs that are comparable, rate is in
// percent of the run's work per second, and weight is the percentage of the work that was observed. Values that are not
// positive and finite are ignored.
func (t *Tracker) Observe(name, groupKey string, rate, weight float64, now time.Duration) {
	if !(rate > 0) || !(weight > 0) || math.IsInf(rate, 0) || math.IsInf(weight, 0) {
		return
	}
	g := t.byKey[groupKey]
	if g == nil {
		g = &group{key: groupKey}
		t.byKey[groupKey] = g
		t.groups = append(t.groups, g)
	}
	n := t.node(name)
	i := slices.IndexFunc(g.cells, func(c *cell) bool { return c.node == n })
	if i < 0 {
		i = len(g.cells)
		g.cells = append(g.cells, &cell{node: n, last: now})
	}
	c := g.cells[i]
	decay := decayOf(now-c.last, recentHalfLife)
	c.work, c.took = c.work*decay+weight, c.took*decay+weight/rate
	c.last, g.last = now, now
	t.now, t.stale = max(t.now, now), true
}

// Estimate returns the relative duration of a worker and its confidence. An unknown worker is typical with confidence
// 0.
func (t *Tracker) Estimate(name string) Estimate {
	t.update()
	n := t.byName[name]
	if n == nil {
		return Estimate{Factor: 1}
	}
	return Estimate{Factor: min(max(math.Exp(n.shrunk), minFactor), maxFactor), Confidence: n.confidence()}
}

// SlowProbability returns the probability that the worker takes more than factor times as long as a typical one. What
// is not known of the worker is replaced by the distribution of the known workers.
func (t *Tracker) SlowProbability(name string, factor float64) float64 {
	t.update()
	limit := math.Log(max(factor, minFactor/2))
	slower := 0.0
	if limit < 0 {
		slower = typicalPseudoWorkers
	}
	above, _ := slices.BinarySearch(t.known, limit)
	fleet := (slower + float64(len(t.known)-above)) / (float64(len(t.known)) + typicalPseudoWorkers)
	n := t.byName[name]
	if n == nil || n.precision == 0 {
		return fleet
	}
	own := 0.5 * math.Erfc((limit-n.shrunk)*math.Sqrt(n.precision/2))
	confidence := n.confidence()
	return confidence*own + (1-confidence)*fleet
}

// Forget drops what is known of a worker.
func (t *Tracker) Forget(name string) {
	n := t.byName[name]
	if n == nil {
		return
	}
	delete(t.byName, name)
	t.nodes = slices.DeleteFunc(t.nodes, func(o *node) bool { return o == n })
	for _, g := range t.groups {
		g.cells = slices.DeleteFunc(g.cells, func(c *cell) bool { return c.node == n })
	}
	t.stale, t.updatedAt = true, 0
}

// Restore adds an estimate of an earlier leader to what is known of a worker. Invalid estimates are ignored.
func (t *Tracker) Restore(name string, e Estimate, now time.Duration) {
	if !e.Valid() || e.Confidence == 0 {
		return
	}
	n := t.node(name)
	confidence := min(e.Confidence, maxConfidence)
	n.restoredValue, n.restoredWeight = math.Log(e.Factor), halfConfidence*confidence/(1-confidence)
	n.restoredAt, t.now, t.stale, t.updatedAt = now, max(t.now, now), true, 0 // fitted at once
}

func (t *Tracker) node(name string) *node {
	n := t.byName[name]
	if n == nil {
		n = &node{name: name}
		t.byName[name] = n
		t.nodes = append(t.nodes, n)
	}
	return n
}

func (n *node) confidence() float64 {
	return min(n.precision/(n.precision+halfConfidence), maxConfidence)
}

func decayOf(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(age) / float64(halfLife))
}

// update fits the model to the observations if there are new ones and the last fit is older than updateInterval.
func (t *Tracker) update() {
	if !t.stale || t.updatedAt > 0 && t.now-t.updatedAt < updateInterval {
		return
	}
	t.stale, t.updatedAt = false, t.now
	t.dropOld()
	for range sweepsPerUpdate {
		t.sweep()
	}
	if len(t.squares) >= minSpreadSample {
		t.spread = max(1, t.spread*min(median(t.squares)/medianChiSquare, maxSpread))
	}
	t.detectChanges()
	t.normalize()
	t.shrink()
	t.classify()
}

// dropOld drops observations beyond the memory and those that precede a change of a worker's speed.
func (t *Tracker) dropOld() {
	t.groups = slices.DeleteFunc(t.groups, func(g *group) bool {
		g.cells = slices.DeleteFunc(g.cells, func(c *cell) bool {
			return t.now-c.last > memory || c.last < c.node.since
		})
		if len(g.cells) == 0 {
			delete(t.byKey, g.key)
		}
		return len(g.cells) == 0
	})
	for _, g := range t.groups {
		for _, c := range g.cells {
			c.decay, c.recent = decayOf(t.now-c.last, halfLife), decayOf(t.now-c.last, recentHalfLife)
			c.level = math.Log(c.took / c.work)
			c.var0 = t.spread*taskDeviation*taskDeviation + roundingPercent*roundingPercent/(c.work*c.work)
		}
	}
}

// sweep is one iteration of the fit.
func (t *Tracker) sweep() {
	for _, n := range t.nodes {
		n.sums, n.recent = sums{}, sums{}
	}
	t.squares = t.squares[:0]
	for _, g := range t.groups {
		t.squares = g.addResiduals(t.squares)
	}
	for _, n := range t.nodes {
		if n.restoredWeight > 0 {
			n.sums.add(n.restoredValue, n.restoredWeight*decayOf(t.now-n.restoredAt, halfLife))
		}
		n.precision, n.recentPrecision = n.sums.weight, n.recent.weight
		value := n.sums.value / (n.sums.weight + 1/(priorDeviation*priorDeviation))
		n.value += damping * (value - n.value)
	}
}

// addResiduals adds the residuals of the group's observations to the sums of their workers. Each worker is compared
// with the centre of the others, corrected by their present values. It appends the squares of the standardized
// residuals to squares.
func (g *group) addResiduals(squares []float64) []float64 {
	if len(g.cells) < 2 {
		return squares
	}
	inflation, squares := g.measureSpread(squares)
	total := sums{}
	for _, c := range g.cells {
		c.weight /= inflation
		total.add(c.rest, c.weight)
	}
	for _, c := range g.cells {
		others := total.weight - c.weight
		centre := (total.value - c.weight*c.rest) / others
		residual := c.level - centre
		precision := 1 / (c.var0*inflation + 1/others)
		c.node.sums.add(residual, precision*huberWeight(residual-c.node.value)*c.decay)
		// A change of speed looks like an outlier at first, so that the limit would hide it.
		c.node.recent.add(residual, precision*c.recent)
	}
	return squares
}

// measureSpread sets the residuals of the group's term and their weights. It returns the factor by which the variance
// of the observations exceeds the expected one, at least 1: a job whose tasks are not alike says little about its
// workers. It appends the squares of the standardized residuals to squares.
func (g *group) measureSpread(squares []float64) (float64, []float64) {
	values := make([]float64, len(g.cells))
	for i, c := range g.cells {
		c.rest = c.level - c.node.value
		values[i] = c.rest
	}
	centre := median(values)
	for i, c := range g.cells {
		variance := c.var0 + 1/(c.node.precision+1/(priorDeviation*priorDeviation))
		// The centre is derived from the same observations, which makes residuals of small groups smaller.
		values[i] = (c.rest - centre) * (c.rest - centre) / variance * float64(len(values)) / float64(len(values)-1)
		c.weight = huberWeight(c.rest-centre) / variance
	}
	squares = append(squares, values...)
	return max(1, median(values)/(maxSpread*medianChiSquare)), squares
}

// median returns the median of values, which it sorts.
func median(values []float64) float64 {
	slices.Sort(values)
	n := len(values)
	return (values[(n-1)/2] + values[n/2]) / 2
}

func huberWeight(residual float64) float64 {
	return min(1, huberLimit/max(math.Abs(residual), huberLimit))
}

// detectChanges drops the earlier observations of workers whose recent ones differ clearly.
func (t *Tracker) detectChanges() {
	for _, n := range t.nodes {
		if n.recentPrecision < minChangePrecision {
			continue
		}
		value := n.recent.value / (n.recent.weight + 1/(priorDeviation*priorDeviation))
		overall := n.sums.value / (n.sums.weight + 1/(priorDeviation*priorDeviation))
		if math.Abs(value-overall) > changeThreshold {
			n.value, n.precision, n.since, n.restoredWeight = value, n.recentPrecision, t.now-recentHalfLife, 0
		}
	}
}

// normalize shifts all values so that the mean factor of the known workers is 1.
func (t *Tracker) normalize() {
	var values []float64
	for _, n := range t.nodes {
		if n.precision >= halfConfidence {
			values = append(values, n.value)
		}
	}
	if len(values) == 0 {
		return
	}
	centre := median(values)
	sum := 0.0
	for _, v := range values {
		sum += min(math.Exp(v-centre), maxRelativeFactor)
	}
	shift := centre + math.Log(sum/float64(len(values)))
	for _, n := range t.nodes {
		n.value -= shift
	}
}

// shrink derives the estimates from the fitted values: they are shrunk towards a typical worker by the variance of the
// fleet, so that workers of equal speed are not told apart by noise.
func (t *Tracker) shrink() {
	n, squares, noise := 0.0, 0.0, 0.0
	for _, w := range t.nodes {
		if w.precision >= halfConfidence {
			n++
			squares += w.value * w.value
			noise += 1 / w.precision
		}
	}
	variance := unknownFleetVariance
	if n >= typicalPseudoWorkers {
		// The noise in the estimate of the variance is allowed for, with two standard deviations.
		variance = (squares - noise*(1+2*math.Sqrt(2/n))) / n
	}
	variance = max(variance, minFleetVariance)
	t.known = t.known[:0]
	for _, w := range t.nodes {
		w.shrunk = w.value * variance / (variance + 1/max(w.precision, 1e-9))
		if w.precision >= halfConfidence {
			t.known = append(t.known, w.shrunk)
		}
	}
	slices.SortFunc(t.known, cmp.Compare[float64])
}
