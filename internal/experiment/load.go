// Package experiment measures placement policies: it runs a planner on seeded loads with a virtual clock and computes
// metrics. It uses no sockets and simulates no network or processes: a cell is a list of workers with free units.
package experiment

import (
	"fmt"
	"math/rand/v2"
	"time"

	"masticcart.example/masticcart/internal/model"
	"masticcart.example/masticcart/internal/placement"
)

// Job is one job of a load: Spec is known to the planner, the other fields are not. Arrival and CancelAt count from the
// start of the run.
type Job struct {
	Spec          model.JobSpec
	Arrival       time.Duration
	ActualRunTime time.Duration // of an attempt that succeeds; Spec.RunTime is the declared run time
	// CancelAt is the time at which the caller cancels the job; zero for never.
	CancelAt    time.Duration
	AlwaysFails bool
	// UsesGuarantee marks a claim: a job that should run under its team's guarantee.
	UsesGuarantee bool
}

// Outage makes a worker unavailable from Start to End. Worker is an index of Load.Workers.
type Outage struct {
	Worker     int
	Start, End time.Duration
}

// Load is the input of one run: a cell, its configuration, jobs and faults.
type Load struct {
	Name           string
	Seed           uint64
	Workers        []placement.Upstream
	Config         *model.Config
	Jobs           []Job
	Outages        []Outage
	FailingWorkers []int         // indexes of workers on which every attempt fails
	Duration       time.Duration // of the run
	// DecisionInterval is the shortest time between two decisions. With zero there is a decision after every change.
	DecisionInterval time.Duration
}

// generator generates a load from its seed.
type generator struct {
	*rand.Rand
	load   *Load
	lastID int // number in the ID of the last job
}

func newGenerator(name string, seed uint64) *generator {
	return &generator{Rand: rand.New(rand.NewPCG(seed, 0x6d617374)), load: &Load{Name: name, Seed: seed}}
}

// logUniform draws a duration from a log-uniform distribution, since run times span orders of magnitude.
func (g *generator) logUniform(low, high time.Duration) time.Duration {
	ratio := float64(high) / float64(low)
	return time.Duration(float64(low) * pow(ratio, g.Float64()))
}

// workKind describes one kind of work of a load.
type workKind struct {
	name                   string
	weight                 int // relative frequency of arrivals
	shapes                 []model.Shape
	minRunTime, maxRunTime time.Duration
	preemptibleShare       float64 // share of the jobs that can be preempted
}

// addJob adds a job of the kind and returns it. The pointer is valid until the next call.
func (g *generator) addJob(k workKind, team string, at time.Duration) *Job {
	g.lastID++
	j := Job{
		Spec: model.JobSpec{
			Key:  model.JobKey{Team: team, ID: fmt.Sprintf("%s-%06d", k.name, g.lastID)},
			Kind: k.name, Shape: k.shapes[g.IntN(len(k.shapes))], Idempotent: true,
			Preemptible: g.Float64() < k.preemptibleShare,
		},
		Arrival:       at,
		ActualRunTime: g.logUniform(k.minRunTime, k.maxRunTime).Round(time.Millisecond),
	}
	j.Spec.RunTime = j.ActualRunTime
	g.load.Jobs = append(g.load.Jobs, j)
	return &g.load.Jobs[len(g.load.Jobs)-1]
}

// addStream adds jobs of the kinds, mixed by weight, that arrive between from and to, until their accelerator time
// reaches the given share of the cell's capacity in that time.
func (g *generator) addStream(kinds []workKind, teams []string, from, to time.Duration, share float64) {
	budget := share * float64(totalUnits(g.load.Workers)) * (to - from).Seconds()
	total := 0
	for _, k := range kinds {
		total += k.weight
	}
	for budget > 0 {
		k := kinds[kindByWeight(g.IntN(total), kinds)]
		at := from + time.Duration(g.Float64()*float64(to-from))
		j := g.addJob(k, teams[g.IntN(len(teams))], at.Round(time.Millisecond))
		budget -= j.ActualRunTime.Seconds() * float64(j.Spec.Shape.Accelerators)
	}
}

// kindByWeight returns the index of the kind for n, a random number below the sum of the weights.
func kindByWeight(n int, kinds []workKind) int {
	for i, k := range kinds {
		if n -= k.weight; n < 0 {
			return i
		}
	}
	return len(kinds) - 1
}

func totalUnits(workers []placement.Upstream) int {
	n := 0
	for i := range workers {
		n += workers[i].Units
	}
	return n
}

// distortRunTimes makes the declared run times too long or too short by up to the factor.
func (g *generator) distortRunTimes(factor float64) {
	for i := range g.load.Jobs {
		j := &g.load.Jobs[i]
		j.Spec.RunTime = time.Duration(float64(j.ActualRunTime) * pow(factor, 2*g.Float64()-1))
	}
}

// markFailingJobs makes a share of the jobs fail in every attempt.
func (g *generator) markFailingJobs(share float64) {
	for i := range g.load.Jobs {
		g.load.Jobs[i].AlwaysFails = g.Float64() < share
	}
}

// addCancelWave cancels a share of the jobs that arrive before at, within 5 s after it.
func (g *generator) addCancelWave(at time.Duration, share float64) {
	for i := range g.load.Jobs {
		if j := &g.load.Jobs[i]; j.Arrival < at && g.Float64() < share {
			j.CancelAt = at + time.Duration(g.IntN(5000))*time.Millisecond
		}
	}
}

// addWorkerFaults makes a share of the workers, at least one, fail every attempt and adds outages of 10 min.
func (g *generator) addWorkerFaults(failingShare float64, outages int) {
	n := len(g.load.Workers)
	for range max(1, int(failingShare*float64(n))) {
		g.load.FailingWorkers = append(g.load.FailingWorkers, g.IntN(n))
	}
	for range outages {
		at := time.Duration(g.Float64() * float64(g.load.Duration))
		g.load.Outages = append(g.load.Outages, Outage{Worker: g.IntN(n), Start: at, End: at + 10*time.Minute})
	}
}

func shapeOf(n int, a model.Adjacency) model.Shape {
	return model.Shape{Accelerators: n, Adjacency: a}
}
