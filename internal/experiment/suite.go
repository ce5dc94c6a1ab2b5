package experiment

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"

	"masticcart.example/masticcart/internal/placement"
)

// parallelRuns bounds the cores that a suite uses.
const parallelRuns = 4

// Variant is a planner with the name that the tables use.
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

// AblationVariants returns the policy with each rule switched off once.
func AblationVariants() []Variant {
	off := func(o placement.Options) placement.Planner { return placement.New(o) }
	return []Variant{
		{"policy", off(placement.Options{})},
		{"no packing", off(placement.Options{NoPacking: true})},
		{"no reservation", off(placement.Options{NoReservation: true})},
		{"no backfill", off(placement.Options{NoBackfill: true})},
		{"no ageing", off(placement.Options{NoAgeing: true})},
		{"no block preemption", off(placement.Options{NoBlockPreemption: true})},
		{"no urgent preemption", off(placement.Options{NoUrgentPreemption: true})},
		{"no gang preemption", off(placement.Options{NoGangPreemption: true})},
		{"no hold", off(placement.Options{NoHold: true})},
		{"no guarantee check", off(placement.Options{NoGuaranteeCheck: true})},
		{"no claims", off(placement.Options{NoClaims: true})},
		{"no avoidance", off(placement.Options{NoFailureAvoidance: true})},
	}
}

// Case is one load of a suite for every seed.
type Case struct {
	Name             string
	Load             func(seed uint64) *Load
	CompareBaselines bool // compared with the baselines on every seed
	CheckUrgentStart bool // urgent work must start within the bound
	CheckClaimStart  bool // claims must run within the bound
	CheckLargestGang bool // the largest gang must start within the bound
}

// Cases lists the loads. The short ones are smaller, so that CI can run them.
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
		out = append(out, Case{Name: "large-" + name, CheckUrgentStart: name != LoadFaults, CheckClaimStart: name == LoadClaim, CheckLargestGang: name == LoadEndlessSmall,
			Load: func(s uint64) *Load { return LargeCellLoad(name, workers, s) }})
	}
	return out
}

// result is the outcome of one variant on one load for every seed.
type result struct {
	c       Case
	variant string
	figures []*Metrics // by seed
}

// runAll runs every variant on every case and seed.
func runAll(cases []Case, variants []Variant, seeds []uint64) ([]result, error) {
	results := make([]result, 0, len(cases)*len(variants))
	for _, c := range cases {
		for _, v := range variants {
			results = append(results, result{c: c, variant: v.Name, figures: make([]*Metrics, len(seeds))})
		}
	}
	var wg sync.WaitGroup
	slots := make(chan struct{}, parallelRuns)
	errs := make([]error, len(results)*len(seeds))
	for i := range results {
		v := variants[i%len(variants)]
		for k, seed := range seeds {
			wg.Add(1)
			slots <- struct{}{}
			go func() {
				defer func() { <-slots; wg.Done() }()
				f, err := Run(results[i].c.Load(seed), v.Planner)
				if err != nil {
					errs[i*len(seeds)+k] = fmt.Errorf("%s: %w", v.Name, err)
					f = &Metrics{}
				}
				results[i].figures[k] = f
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
	Short  bool // counts and virtual time only, so that every run gives the same verdict
	Seeds  []uint64
	Filter string // a part of a load's name, or "rules"; empty runs all loads
	Out    io.Writer
}

// Run prints the tables and returns the bounds that were missed.
func (s *Suite) Run() ([]string, error) {
	var missed []string
	if !s.Short && s.Filter == "" {
		missed = append(missed, s.decisionTimes()...)
	}
	small, large := splitCases(s.cases())
	for _, part := range []struct {
		cases []Case
		seeds []uint64
	}{{small, s.Seeds}, {large, s.fewSeeds()}} {
		results, err := runAll(part.cases, ComparedVariants(), part.seeds)
		if err != nil {
			return nil, err
		}
		s.table(results)
		missed = append(missed, checkAll(results, len(ComparedVariants()))...)
	}
	if s.Filter != onlyRules {
		return missed, nil
	}
	fmt.Fprintln(s.Out, "\neach rule switched off once")
	ablated, err := runAll(s.ablationCases(), AblationVariants(), s.fewSeeds())
	if err != nil {
		return nil, err
	}
	s.table(ablated)
	return missed, nil
}

// largeSeeds bounds the seeds of large cells and of the rules switched off, which take most of a run's time.
const largeSeeds = 2

func (s *Suite) fewSeeds() []uint64 { return s.Seeds[:min(len(s.Seeds), largeSeeds)] }

// onlyRules selects the runs with each rule switched off.
const onlyRules = "rules"

func (s *Suite) cases() []Case {
	return slices.DeleteFunc(Cases(s.Short), func(c Case) bool { return !strings.Contains(c.Name, s.Filter) })
}

// splitCases separates the large cells, which run on fewer seeds.
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

func (s *Suite) ablationCases() []Case {
	return []Case{
		{Name: DeploymentNames()[0], Load: func(seed uint64) *Load { return DeploymentLoad(0, seed, false) }},
		{Name: DeploymentNames()[0] + "-claim", Load: func(seed uint64) *Load { return DeploymentClaimLoad(0, seed) }},
	}
}
