package experiment

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"masticcart.example/masticcart/internal/model"
	"masticcart.example/masticcart/internal/placement"
)

// The bounds that a suite checks. UrgentStartBound and ClaimStartBound are targets of docs/design.md; ClaimStartBound
// includes the time for the checkpoints of preempted jobs. LargestGangStartBound is the gang's MaxWait of 20 min plus
// the longest run time of a small job, 15 min. DecisionBound is the limit of one decision with DecisionBacklog waiting
// jobs in a cell of LargeCellWorkers workers.
const (
	UrgentStartBound      = 7800 * time.Millisecond
	ClaimStartBound       = 7800 * time.Millisecond
	LargestGangStartBound = 35 * time.Minute
	DecisionBound         = 10 * time.Millisecond
	DecisionBacklog       = 1000 // waiting jobs
	decisionRounds        = 15   // decisions measured for each size of the cell
)

// decisionSizes lists the numbers of workers for which decision times are measured.
var decisionSizes = []int{306, 612, 1225, LargeCellWorkers, 2 * LargeCellWorkers}

// checkBounds compares the results with the bounds and returns a line for each missed bound.
func checkBounds(results []caseResult, variants int) []string {
	var missed []string
	for i := 0; i < len(results); i += variants {
		for k, f := range results[i].metrics {
			for _, m := range checkCaseBounds(results[i:i+variants], k) {
				missed = append(missed, fmt.Sprintf("%s, seed %d: %s", results[i].testCase.Name, f.Seed, m))
			}
		}
	}
	return missed
}

// checkCaseBounds checks one case and seed. The first variant is the policy, the others are the baselines.
func checkCaseBounds(variants []caseResult, seed int) []string {
	c, f := variants[0].testCase, variants[0].metrics[seed]
	var missed []string
	checkMax := func(what string, got, bound float64) {
		if got > bound {
			missed = append(missed, fmt.Sprintf("%s %.3f, bound %.3f", what, got, bound))
		}
	}
	if c.CompareBaselines {
		for _, b := range variants[1:] {
			g := b.metrics[seed]
			checkMax("mean completion of urgent work against "+b.variant,
				f.CompletionTime[model.ClassUrgent].Mean, g.CompletionTime[model.ClassUrgent].Mean)
			checkMax("mean completion of large work against "+b.variant, f.LargeGangCompletion.Mean, g.LargeGangCompletion.Mean)
			checkMax("fragmentation against "+b.variant, f.UnusableShare, g.UnusableShare)
		}
	}
	if c.CheckUrgentStart {
		checkMax("last start of urgent work", f.TimeToStart[model.ClassUrgent].Max, UrgentStartBound.Seconds())
	}
	if c.CheckClaimStart {
		checkMax("last claim to running", f.ClaimToStart.Max, ClaimStartBound.Seconds())
	}
	if c.CheckLargestGang {
		checkMax("start of the largest gang", f.TimeToStartBySize[len(SizeBuckets)-1].Max, LargestGangStartBound.Seconds())
	}
	return missed
}

// printTable prints one line for each case and variant, in most columns the mean over the seeds with the minimum and
// the maximum.
func (s *Suite) printTable(results []caseResult) {
	w := tabwriter.NewWriter(s.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w,
		"load\tplanner\turgent p50/p95/p99 s\turgent mean s\turgent last start s\tnormal p50/p95/p99 s\tdeferrable p50/p95/p99 s\t"+
			"large mean s\tlarge p95 s\tlast start by size "+strings.Join(SizeBuckets, "/")+
			" s\tlast claim s\tunusable\tlargest free\tuseful\tlost\tpreempted\tbroken\tdecision p99 ms")
	for _, r := range results {
		column := func(get func(f *Metrics) float64) string { return spread(r.metrics, get) }
		class := func(c model.Class) string {
			return fmt.Sprintf("%.0f/%.0f/%.0f", meanQuantile(r.metrics, c, 0), meanQuantile(r.metrics, c, 1),
				meanQuantile(r.metrics, c, 2))
		}
		decision := "-"
		if !s.Short {
			decision = column(func(f *Metrics) float64 { return f.DecisionTime.P99 })
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", r.testCase.Name, r.variant,
			class(model.ClassUrgent),
			column(func(f *Metrics) float64 { return f.CompletionTime[model.ClassUrgent].Mean }),
			column(func(f *Metrics) float64 { return f.TimeToStart[model.ClassUrgent].Max }),
			class(model.ClassNormal), class(model.ClassDeferrable),
			column(func(f *Metrics) float64 { return f.LargeGangCompletion.Mean }),
			column(func(f *Metrics) float64 { return f.LargeGangCompletion.P95 }),
			lastStartBySize(r.metrics), column(func(f *Metrics) float64 { return f.ClaimToStart.Max }),
			column(func(f *Metrics) float64 { return f.UnusableShare }),
			column(func(f *Metrics) float64 { return f.LargestFreeShare }),
			column(func(f *Metrics) float64 { return f.UsefulShare }), column(func(f *Metrics) float64 { return f.LostShare }),
			column(func(f *Metrics) float64 { return float64(f.Preemptions) }),
			column(func(f *Metrics) float64 { return float64(f.GuaranteeViolations) }), decision)
	}
	if err := w.Flush(); err != nil {
		fmt.Fprintln(s.Out, err)
	}
}

// meanQuantile returns the mean over the seeds of a quantile of the completion time of a class. The
// quantile is P50, P95 or P99 if which is 0, 1 or 2.
func meanQuantile(runs []*Metrics, c model.Class, which int) float64 {
	sum := 0.0
	for _, f := range runs {
		q := f.CompletionTime[c]
		sum += []float64{q.P50, q.P95, q.P99}[which]
	}
	return sum / float64(len(runs))
}

// lastStartBySize formats the maximum time to start for each size bucket, in seconds.
func lastStartBySize(runs []*Metrics) string {
	var parts []string
	for i := range SizeBuckets {
		longest := 0.0
		for _, f := range runs {
			longest = math.Max(longest, f.TimeToStartBySize[i].Max)
		}
		parts = append(parts, fmt.Sprintf("%.0f", longest))
	}
	return strings.Join(parts, "/")
}

// spread formats the mean over the seeds with the minimum and the maximum.
func spread(runs []*Metrics, get func(f *Metrics) float64) string {
	values := make([]float64, len(runs))
	for i, f := range runs {
		values[i] = get(f)
	}
	format := func(v float64) string {
		if math.Abs(v) >= 100 {
			return fmt.Sprintf("%.0f", v)
		}
		return fmt.Sprintf("%.3g", v)
	}
	return fmt.Sprintf("%s [%s..%s]", format(mean(values)), format(slices.Min(values)), format(slices.Max(values)))
}

// checkDecisionTimes measures the time of one decision with a full queue in busy cells of several sizes and returns the
// missed bounds. It compares the minimum of several rounds, since other processes share the machine, and prints the
// median as well.
func (s *Suite) checkDecisionTimes() []string {
	fmt.Fprintf(s.Out, "one decision with %d waiting jobs\nworkers  median ms  least ms\n", DecisionBacklog)
	var missed []string
	var times []float64
	for _, n := range decisionSizes {
		snapshot := BusySnapshot(n, DecisionBacklog)
		planner := placement.New(placement.Options{})
		var rounds []float64
		for range decisionRounds {
			began := time.Now()
			planner.Plan(snapshot)
			rounds = append(rounds, time.Since(began).Seconds()*1000)
		}
		q := summarize(rounds)
		times = append(times, rounds[0])
		fmt.Fprintf(s.Out, "%7d  %9.2f  %8.2f\n", n, q.P50, rounds[0])
		if n == LargeCellWorkers && rounds[0] > DecisionBound.Seconds()*1000 {
			missed = append(missed, fmt.Sprintf("decision at %d workers: least %.2f ms, median %.2f ms, bound %s",
				n, rounds[0], q.P50, DecisionBound))
		}
	}
	last := len(times) - 1
	exponent := math.Log(times[last]/times[0]) / math.Log(float64(decisionSizes[last])/float64(decisionSizes[0]))
	fmt.Fprintf(s.Out, "growth exponent of the least times %.2f (1 is linear)\n\n", exponent)
	if exponent >= 1 {
		missed = append(missed, fmt.Sprintf("decision time grows with exponent %.2f, bound 1", exponent))
	}
	return missed
}

// BusySnapshot returns the snapshot of a cell of which most accelerators are in use, with the given number of waiting
// jobs.
func BusySnapshot(workers, waiting int) *placement.Snapshot {
	l := LargeCellLoad(LoadSteady, workers, 1)
	d := newDriver(l, placement.New(placement.Options{}))
	for d.now = 0; d.now < 2*time.Minute; d.now += 10 * time.Second {
		for len(d.events) > 0 && d.events[0].at <= d.now {
			d.applyEvent(d.popEvent())
		}
		if err := d.decide(); err != nil {
			return d.snapshot()
		}
	}
	s := d.snapshot()
	s.Waiting = nil
	g := newGenerator("queue", 2)
	g.load.Workers = l.Workers
	for range waiting {
		k := largeKinds()[kindByWeight(g.IntN(100), largeKinds())]
		j := g.addJob(k, teamName(g.IntN(largeTeams)), 0)
		s.Waiting = append(s.Waiting, placement.WaitingJob{Spec: j.Spec, Submitted: s.Now,
			ExpectedRunTime: j.ActualRunTime})
	}
	return s
}
