package experiment

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"

	"masticcart.example/masticcart/internal/placement"
)

// maxParallelRuns limits the processor cores that a suite uses.
const maxParallelRuns = 4

// Variant is a planner with its name in the tables.
type Variant struct {
	Name    string
	Planner placement.Planner
}

// ComparedVariants returns the policy and the baselines, the policy first.
func ComparedVariants() []Variant {
	return []Variant{
		{"policy", placement.New(placement.Options{})},
		{"first-fit", placement.FirstFit{}},
		{"priority", placement.BestFit{}},
	}
}

// AblationVariants returns the policy, followed by the policy with each rule switched off in turn.
func AblationVariants() []Variant {
	policy := func(o placement.Options) placement.Planner { return placement.New(o) }
	return []Variant{
		{"policy", policy(placement.Options{})},
		{"no packing", policy(placement.Options{NoPacking: true})},
		{"no reservation", policy(placement.Options{NoReservation: true})},
		{"no backfill", policy(placement.Options{NoBackfill: true})},
		{"no ageing", policy(placement.Options{NoAgeing: true})},
		{"no block preemption", policy(placement.Options{NoBlockPreemption: true})},
		{"no urgent preemption", policy(placement.Options{NoUrgentPreemption: true})},
		{"no gang preemption", policy(placement.Options{NoGangPreemption: true})},
		{"no hold", policy(placement.Options{NoHold: true})},
		{"no guarantee check", policy(placement.Options{NoGuaranteeCheck: true})},
		{"no claims", policy(placement.Options{NoClaims: true})},
		{"no avoidance", policy(placement.Options{NoFailureAvoidance: true})},
	}
}

// Case is one load of a suite, generated for each seed, with the checks of its results.
type Case struct {
	Name             string
	Load             func(seed uint64) *Load
	CompareBaselines bool // the policy must be at least as good as each baseline, for every seed
	CheckUrgentStart bool // urgent work must start within UrgentStartBound
	CheckClaimStart  bool // claims must start within ClaimStartBound
	CheckLargestGang bool // the largest gang must start within LargestGangStartBound
}

// Cases lists the cases. With short there are fewer of them, in smaller cells, so that CI can run them.
func Cases(short bool) []Case {
	var out []Case
	for i, name := range DeploymentNames() {
		out = append(out,
			Case{Name: name, CompareBaselines: true, Load: func(s uint64) *Load { return DeploymentLoad(i, s, false) }},
			Case{Name: name + "-claim", CheckClaimStart: true, Load: func(s uint64) *Load { return DeploymentClaimLoad(i, s) }})
		if !short {
			out = append(out, Case{Name: name + "-faults", Load: func(s uint64) *Load { return DeploymentLoad(i, s, true) }})
		}
	}
	workers := LargeCellWorkers
	if short {
		workers /= 10
	}
	for _, name := range LargeCellLoads() {
		if short && name != LoadSteady && name != LoadEndlessSmall && name != LoadClaim {
			continue
		}
		out = append(out, Case{Name: "large-" + name, CheckUrgentStart: name != LoadFaults,
			CheckClaimStart: name == LoadClaim, CheckLargestGang: name == LoadEndlessSmall,
			Load: func(s uint64) *Load { return LargeCellLoad(name, workers, s) }})
	}
	return out
}

// caseResult holds the metrics of one variant in one case for every seed.
type caseResult struct {
	testCase Case
	variant  string
	metrics  []*Metrics // by seed
}

// runCases runs every variant on every case and seed. The results are ordered by case, then by variant.
func runCases(cases []Case, variants []Variant, seeds []uint64) ([]caseResult, error) {
	results := make([]caseResult, 0, len(cases)*len(variants))
	for _, c := range cases {
		for _, v := range variants {
			results = append(results, caseResult{testCase: c, variant: v.Name, metrics: make([]*Metrics, len(seeds))})
		}
	}
	var wg sync.WaitGroup
	slots := make(chan struct{}, maxParallelRuns)
	errs := make([]error, len(results)*len(seeds))
	for i := range results {
		v := variants[i%len(variants)]
		for k, seed := range seeds {
			wg.Add(1)
			slots <- struct{}{}
			go func() {
				defer func() { <-slots; wg.Done() }()
				f, err := Run(results[i].testCase.Load(seed), v.Planner)
				if err != nil {
					errs[i*len(seeds)+k] = fmt.Errorf("%s: %w", v.Name, err)
					f = &Metrics{}
				}
				results[i].metrics[k] = f
			}()
		}
	}
	wg.Wait()
	for _, err := range errs {
		if err != nil {
			return results, err
		}
	}
	return results, nil
}

// Suite is one run of the experiments.
type Suite struct {
	Short  bool // smaller loads, and no measurement of wall-clock time, so that every run has the same result
	Seeds  []uint64
	Filter string // part of the names of the cases to run, or "rules" for the ablations; empty for all cases
	Out    io.Writer
}

// Run runs the cases, prints the tables and returns a line for each missed bound.
func (s *Suite) Run() ([]string, error) {
	var missed []string
	if !s.Short && s.Filter == "" {
		missed = append(missed, s.checkDecisionTimes()...)
	}
	small, large := splitCases(s.cases())
	for _, part := range []struct {
		cases []Case
		seeds []uint64
	}{{small, s.Seeds}, {large, s.largeCaseSeeds()}} {
		results, err := runCases(part.cases, ComparedVariants(), part.seeds)
		if err != nil {
			return nil, err
		}
		s.printTable(results)
		missed = append(missed, checkBounds(results, len(ComparedVariants()))...)
	}
	if s.Filter != filterAblations {
		return missed, nil
	}
	fmt.Fprintln(s.Out, "\neach rule switched off once")
	ablated, err := runCases(s.ablationCases(), AblationVariants(), s.largeCaseSeeds())
	if err != nil {
		return nil, err
	}
	s.printTable(ablated)
	return missed, nil
}

// maxLargeSeeds limits the seeds of large cells and of the ablations, which take most of the time of a run.
const maxLargeSeeds = 2

func (s *Suite) largeCaseSeeds() []uint64 { return s.Seeds[:min(len(s.Seeds), maxLargeSeeds)] }

// filterAblations is the Suite.Filter that runs the ablations.
const filterAblations = "rules"

func (s *Suite) cases() []Case {
	return slices.DeleteFunc(Cases(s.Short), func(c Case) bool { return !strings.Contains(c.Name, s.Filter) })
}

// splitCases separates the cases of large cells, which run with fewer seeds.
func splitCases(cases []Case) (small, large []Case) {
	for _, c := range cases {
		if strings.HasPrefix(c.Name, "large-") {
			large = append(large, c)
		} else {
			small = append(small, c)
		}
	}
	return small, large
}

// ablationCases returns the cases on which the ablations run.
func (s *Suite) ablationCases() []Case {
	return []Case{
		{Name: DeploymentNames()[0], Load: func(seed uint64) *Load { return DeploymentLoad(0, seed, false) }},
		{Name: DeploymentNames()[0] + "-claim", Load: func(seed uint64) *Load { return DeploymentClaimLoad(0, seed) }},
	}
}
