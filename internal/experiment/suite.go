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

// Compared returns the policy and the baselines, the policy first.
func Compared() []Variant {
	return []Variant{
		{"policy", placement.New(placement.Options{})},
		{"first-fit", placement.FirstFit{}},
		{"priority", placement.BestFit{}},
	}
}

// Ablations returns the policy with each rule switched off once.
func Ablations() []Variant {
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
	Name       string
	Load       func(seed uint64) *Load
	Deployment bool // compared with the baselines on every seed
	Large      bool // urgent work must start within the bound
	Claims     bool // claims must run within the bound
	Endless    bool // the largest gang must start within the bound
}

// Cases lists the loads. The short ones are smaller, so that CI can run them.
func Cases(short bool) []Case {
	var out []Case
	for i, name := range DeploymentNames() {
		out = append(out,
			Case{Name: name, Deployment: true, Load: func(s uint64) *Load { return Deployment(i, s, false) }},
			Case{Name: name + "-claim", Claims: true, Load: func(s uint64) *Load { return Claim(i, s) }})
		if !short {
			out = append(out, Case{Name: name + "-faults", Load: func(s uint64) *Load { return Deployment(i, s, true) }})
		}
	}
	workers := LargeWorkers
	if short {
		workers /= 10
	}
	for _, name := range LargeNames() {
		if short && name != LargeSteady && name != LargeEndless && name != LargeClaim {
			continue
		}
		out = append(out, Case{Name: "large-" + name, Large: name != LargeFaults, Claims: name == LargeClaim, Endless: name == LargeEndless,
			Load: func(s uint64) *Load { return Large(name, workers, s) }})
	}
	return out
}

// result is the outcome of one variant on one load for every seed.
type result struct {
	c       Case
	variant string
	figures []*Figures // by seed
}

// runAll runs every variant on every case and seed.
func runAll(cases []Case, variants []Variant, seeds []uint64) ([]result, error) {
	results := make([]result, 0, len(cases)*len(variants))
	for _, c := range cases {
		for _, v := range variants {
			results = append(results, result{c: c, variant: v.Name, figures: make([]*Figures, len(seeds))})
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
					f = &Figures{}
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
	Short bool // counts and virtual time only, so that every run gives the same verdict
	Seeds []uint64
	Only  string // a part of a load's name, or "rules"; empty runs all loads
	Out   io.Writer
}

// Run prints the tables and returns the bounds that were missed.
func (s *Suite) Run() ([]string, error) {
	var missed []string
	if !s.Short && s.Only == "" {
		missed = append(missed, s.decisionTimes()...)
	}
	small, large := splitCases(s.cases())
	for _, part := range []struct {
		cases []Case
		seeds []uint64
	}{{small, s.Seeds}, {large, s.fewSeeds()}} {
		results, err := runAll(part.cases, Compared(), part.seeds)
		if err != nil {
			return nil, err
		}
		s.table(results)
		missed = append(missed, checkAll(results, len(Compared()))...)
	}
	if s.Only != onlyRules {
		return missed, nil
	}
	fmt.Fprintln(s.Out, "\neach rule switched off once")
	ablated, err := runAll(s.ablationCases(), Ablations(), s.fewSeeds())
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
	return slices.DeleteFunc(Cases(s.Short), func(c Case) bool { return !strings.Contains(c.Name, s.Only) })
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
		{Name: DeploymentNames()[0], Load: func(seed uint64) *Load { return Deployment(0, seed, false) }},
		{Name: DeploymentNames()[0] + "-claim", Load: func(seed uint64) *Load { return Claim(0, seed) }},
	}
}
