package experiment

import (
	"reflect"
	"testing"

	"masticcart.example/masticcart/internal/placement"
)

// TestRunsAreRepeatable guards against metrics that depend on anything but the load and its seed, and against plans
// that agents would reject: Run returns an error for those.
func TestRunsAreRepeatable(t *testing.T) {
	for _, name := range []string{LoadClaim, LoadFaults} {
		for _, v := range ComparedVariants()[:2] {
			var runs [2]*Metrics
			for i := range runs {
				f, err := Run(LargeCellLoad(name, 48, 5), v.Planner)
				if err != nil {
					t.Fatalf("%s: %v", v.Name, err)
				}
				f.DecisionTime = Distribution{} // wall-clock time, which differs between runs
				runs[i] = f
			}
			if !reflect.DeepEqual(runs[0], runs[1]) {
				t.Errorf("%s, %s: two runs differ:\n%+v\n%+v", name, v.Name, runs[0], runs[1])
			}
		}
	}
}

// TestClaimsHoldInEveryRun guards against claims that take longer than ClaimStartBound to run, and against guarantees
// that cannot be reclaimed.
func TestClaimsHoldInEveryRun(t *testing.T) {
	for i := range DeploymentNames() {
		for seed := range uint64(2) {
			f, err := Run(DeploymentClaimLoad(i, seed), placement.New(placement.Options{}))
			if err != nil {
				t.Fatal(err)
			}
			if f.ClaimToStart.N != 12 || f.ClaimToStart.Max > ClaimStartBound.Seconds() || f.GuaranteeViolations > 0 {
				t.Errorf("deployment %d, seed %d: %+v, %d samples with a guarantee that cannot be reclaimed",
					i, seed, f.ClaimToStart, f.GuaranteeViolations)
			}
		}
	}
}

// BenchmarkDecision measures one decision in a large cell with a full queue.
func BenchmarkDecision(b *testing.B) {
	s := BusySnapshot(LargeCellWorkers, DecisionBacklog)
	p := placement.New(placement.Options{})
	for b.Loop() {
		p.Plan(s)
	}
}
