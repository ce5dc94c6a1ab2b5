// Package experiment measures placement policies: it drives a planner with seeded loads under a virtual clock and
// computes figures. It has no sockets and simulates no cluster: a cell is a list of workers with free units.
package experiment

import (
	"fmt"
	"math/rand/v2"
	"time"

	"masticcart.example/masticcart/internal/model"
	"masticcart.example/masticcart/internal/placement"
)

// Job is one job of a load with what only the load knows about it.
type Job struct {
	Spec          model.JobSpec
	Arrival       time.Duration
	ActualRunTime time.Duration // what it really takes
	// CancelAt is when its caller cancels it, if it is not zero.
	CancelAt time.Duration
	// AlwaysFails means that every attempt fails.
	AlwaysFails bool
	// UsesGuarantee marks a job that is meant to use its team's guarantee.
	UsesGuarantee bool
}

// Outage takes a worker away for a time.
type Outage struct {
	Worker     int
	Start, End time.Duration
}

// Load is everything that happens to a cell in one run.
type Load struct {
	Name           string
	Seed           uint64
	Workers        []placement.Upstream
	Config         *model.Config
	Jobs           []Job
	Outages        []Outage
	FailingWorkers []int         // workers that fail everything
	Duration       time.Duration // the run stops here
	// DecisionInterval is the shortest time between two decisions. Zero decides after every change.
	DecisionInterval time.Duration
}

// generator draws the parts of a load.
type generator struct {
	*rand.Rand
	load *Load
	next int
}

func newGenerator(name string, seed uint64) *generator {
	return &generator{Rand: rand.New(rand.NewPCG(seed, 0x6d617374)), load: &Load{Name: name, Seed: seed}}
}

// between draws a duration with a log-uniform density, since run times spread over orders of magnitude.
func (g *generator) between(low, high time.Duration) time.Duration {
	ratio := float64(high) / float64(low)
	return time.Duration(float64(low) * pow(ratio, g.Float64()))
}

// kind describes one kind of work of a load.
type kind struct {
	name        string
	weight      int // share of the arrivals
	shapes      []model.Shape
	low, high   time.Duration // run time
	preemptible float64       // share that can be preempted
}

// add appends a job of a kind.
func (g *generator) add(k kind, team string, at time.Duration) *Job {
	g.next++
	j := Job{
		Spec: model.JobSpec{
			Key:  model.JobKey{Team: team, ID: fmt.Sprintf("%s-%06d", k.name, g.next)},
			Kind: k.name, Shape: k.shapes[g.IntN(len(k.shapes))], Idempotent: true,
			Preemptible: g.Float64() < k.preemptible,
		},
		Arrival:       at,
		ActualRunTime: g.between(k.low, k.high).Round(time.Millisecond),
	}
	j.Spec.RunTime = j.ActualRunTime
	g.load.Jobs = append(g.load.Jobs, j)
	return &g.load.Jobs[len(g.load.Jobs)-1]
}

// stream adds arrivals of a mix of kinds until their accelerator time is the share given of what the cell has.
func (g *generator) stream(kinds []kind, teams []string, from, to time.Duration, share float64) {
	budget := share * float64(capacity(g.load.Workers)) * (to - from).Seconds()
	total := 0
	for _, k := range kinds {
		total += k.weight
	}
	for budget > 0 {
		k := kinds[pick(g.IntN(total), kinds)]
		at := from + time.Duration(g.Float64()*float64(to-from))
		j := g.add(k, teams[g.IntN(len(teams))], at.Round(time.Millisecond))
		budget -= j.ActualRunTime.Seconds() * float64(j.Spec.Shape.Accelerators)
	}
}

func pick(n int, kinds []kind) int {
	for i, k := range kinds {
		if n -= k.weight; n < 0 {
			return i
		}
	}
	return len(kinds) - 1
}

func capacity(workers []placement.Upstream) int {
	n := 0
	for i := range workers {
		n += workers[i].Units
	}
	return n
}

// misdeclare makes the declared run times wrong by up to the factor given, either way.
func (g *generator) misdeclare(factor float64) {
	for i := range g.load.Jobs {
		j := &g.load.Jobs[i]
		j.Spec.RunTime = time.Duration(float64(j.ActualRunTime) * pow(factor, 2*g.Float64()-1))
	}
}

// crash makes a share of the jobs fail on every attempt.
func (g *generator) crash(share float64) {
	for i := range g.load.Jobs {
		g.load.Jobs[i].AlwaysFails = g.Float64() < share
	}
}

// cancelWave cancels a share of the jobs that arrived before, at one time.
func (g *generator) cancelWave(at time.Duration, share float64) {
	for i := range g.load.Jobs {
		if j := &g.load.Jobs[i]; j.Arrival < at && g.Float64() < share {
			j.CancelAt = at + time.Duration(g.IntN(5000))*time.Millisecond
		}
	}
}

// breakWorkers makes a share of the workers fail everything and takes some away for a time.
func (g *generator) breakWorkers(bad float64, outages int) {
	n := len(g.load.Workers)
	for range max(1, int(bad*float64(n))) {
		g.load.FailingWorkers = append(g.load.FailingWorkers, g.IntN(n))
	}
	for range outages {
		at := time.Duration(g.Float64() * float64(g.load.Duration))
		g.load.Outages = append(g.load.Outages, Outage{Worker: g.IntN(n), Start: at, End: at + 10*time.Minute})
	}
}

func accelerators(n int, a model.Adjacency) model.Shape {
	return model.Shape{Accelerators: n, Adjacency: a}
}
