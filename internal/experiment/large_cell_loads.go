package experiment

import (
	"fmt"
	"time"

	"masticcart.example/masticcart/internal/model"
	"masticcart.example/masticcart/internal/placement"
)

// LargeCellWorkers is one data centre's share of the target of 27,000 workers in 11 data centres.
const LargeCellWorkers = 2450

const workersPerRack = 16

// NewLargeCell returns n workers of a large cell. The workers of every fiftieth rack have 8 accelerators, the others 2.
func NewLargeCell(n int) []placement.Upstream {
	out := make([]placement.Upstream, n)
	for i := range out {
		units := 2
		if i/workersPerRack%50 == 0 {
			units = 8
		}
		out[i] = placement.Upstream{ID: fmt.Sprintf("worker-%05d", i), Incarnation: "1",
			Rack: fmt.Sprintf("rack-%04d", i/workersPerRack), Units: units, Free: units}
	}
	return out
}

// largeDecisionInterval is the time between decisions in a large cell. It is longer than the cell owner's interval of
// 250 ms to keep a run short; this can only lengthen the measured times to start.
const largeDecisionInterval = time.Second

// largeTeams is the number of teams in a large cell, of which the first guaranteedTeams have guarantees.
const (
	largeTeams      = 40
	guaranteedTeams = 12
)

func largeConfig() *model.Config {
	c := &model.Config{Version: 1, Weights: model.Weights{CompletionTime: 0.5, Fragmentation: 0.5},
		Rules: []model.Rule{
			{Kind: "urgent", Class: model.ClassUrgent, Priority: 1},
			{Kind: "batch", Class: model.ClassNormal, Priority: 10, MaxWait: time.Hour},
			{Kind: "gang", Class: model.ClassNormal, Priority: 20, MaxWait: 20 * time.Minute},
			{Kind: "later", Class: model.ClassDeferrable, Priority: 50, MaxWait: 2 * time.Hour},
		}}
	for i := range largeTeams {
		c.Teams = append(c.Teams, model.Team{Name: teamName(i)})
	}
	shapes := []model.Shape{shapeOf(8, model.AdjacentWorker), shapeOf(16, model.AdjacentRack),
		shapeOf(32, model.AdjacentRack), shapeOf(64, model.AdjacentDatacenter)}
	for i := range guaranteedTeams {
		c.Guarantees = append(c.Guarantees, model.Guarantee{Team: teamName(i), Cell: "cell",
			Shape: shapes[i%len(shapes)], Count: 2})
	}
	return c
}

func teamName(i int) string { return fmt.Sprintf("team-%02d", i) }

func teamsWithoutGuarantee() []string {
	var out []string
	for i := guaranteedTeams; i < largeTeams; i++ {
		out = append(out, teamName(i))
	}
	return out
}

func largeKinds() []workKind {
	w, r, dc := model.AdjacentWorker, model.AdjacentRack, model.AdjacentDatacenter
	return []workKind{
		{name: "urgent", weight: 15, shapes: []model.Shape{shapeOf(1, w), shapeOf(2, w), shapeOf(4, r)},
			minRunTime: 30 * time.Second, maxRunTime: 5 * time.Minute, preemptibleShare: 0.5},
		{name: "batch", weight: 50,
			shapes:     []model.Shape{shapeOf(1, w), shapeOf(2, w), shapeOf(2, w), shapeOf(8, w), shapeOf(8, r)},
			minRunTime: 5 * time.Minute, maxRunTime: 2 * time.Hour, preemptibleShare: 0.9},
		{name: "later", weight: 30, shapes: []model.Shape{shapeOf(1, w), shapeOf(2, w), shapeOf(4, r)},
			minRunTime: 10 * time.Minute, maxRunTime: 2 * time.Hour, preemptibleShare: 0.7},
		{name: "gang", weight: 5,
			shapes:     []model.Shape{shapeOf(32, r), shapeOf(64, dc), shapeOf(128, dc), shapeOf(256, dc)},
			minRunTime: 10 * time.Minute, maxRunTime: time.Hour, preemptibleShare: 1},
	}
}

// The names of the loads of a large cell.
const (
	LoadSteady       = "steady"
	LoadSmallBurst   = "burst-small"
	LoadLargeBurst   = "burst-large"
	LoadCancelWave   = "cancel-wave"
	LoadClaim        = "claim"
	LoadFaults       = "faults"
	LoadEndlessSmall = "endless-small"
)

// LargeCellLoads lists the names of the loads of a large cell.
func LargeCellLoads() []string {
	return []string{LoadSteady, LoadSmallBurst, LoadLargeBurst, LoadCancelWave, LoadClaim, LoadFaults, LoadEndlessSmall}
}

// LargeCellLoad returns the named load of a large cell with the given number of workers. LoadEndlessSmall uses half of
// the workers, but at least minEndlessWorkers.
func LargeCellLoad(name string, workers int, seed uint64) *Load {
	g := newGenerator(fmt.Sprintf("large-%s", name), seed)
	l := g.load
	l.Workers, l.Config, l.Duration, l.DecisionInterval =
		NewLargeCell(workers), largeConfig(), 45*time.Minute, largeDecisionInterval
	kinds, teams := largeKinds(), teamsWithoutGuarantee()
	if name == LoadEndlessSmall {
		l.Workers = NewLargeCell(max(workers/2, minEndlessWorkers))
		g.addEndlessSmall(teams)
		return l
	}
	g.addStream(kinds[1:], teams, 0, time.Minute, 50)
	g.addStream(kinds, teams, time.Minute, 35*time.Minute, 0.5)
	g.addStream(kinds[:1], teams, time.Minute, 35*time.Minute, 0.02)
	switch name {
	case LoadSmallBurst:
		g.addStream(kinds[:3], teams, 15*time.Minute, 16*time.Minute, 15)
	case LoadLargeBurst:
		g.addStream(kinds[3:], teams, 15*time.Minute, 16*time.Minute, 15)
		big := workKind{name: "gang", shapes: []model.Shape{shapeOf(512, model.AdjacentDatacenter)},
			minRunTime: 10 * time.Minute, maxRunTime: 20 * time.Minute, preemptibleShare: 1}
		g.addJob(big, teams[0], 15*time.Minute)
	case LoadCancelWave:
		g.addStream(kinds, teams, 15*time.Minute, 16*time.Minute, 15)
		g.addCancelWave(20*time.Minute, 0.5)
	case LoadClaim:
		g.addGuaranteeClaims()
	case LoadFaults:
		g.distortRunTimes(100)
		g.markFailingJobs(0.02)
		g.addWorkerFaults(0.02, 20)
	}
	return l
}

// addGuaranteeClaims adds three waves of jobs in which every team with guarantees claims all of them while other teams
// have borrowed all accelerators.
func (g *generator) addGuaranteeClaims() {
	for _, at := range []time.Duration{10 * time.Minute, 20 * time.Minute, 30 * time.Minute} {
		for _, gu := range g.load.Config.Guarantees {
			for range gu.Count {
				k := workKind{name: "later", shapes: []model.Shape{gu.Shape},
					minRunTime: 5 * time.Minute, maxRunTime: 10 * time.Minute}
				g.addJob(k, gu.Team, at+time.Duration(g.IntN(30_000))*time.Millisecond).UsesGuarantee = true
			}
		}
	}
}

// minEndlessWorkers is the number of workers of the smallest cell in which the largest gang fits beside the guarantees.
const minEndlessWorkers = LargeCellWorkers / 2

// addEndlessSmall keeps the queue full of small jobs and adds one gang of the largest size, which has the same class
// but a lower priority.
func (g *generator) addEndlessSmall(teams []string) {
	small := workKind{name: "batch", weight: 1,
		shapes:     []model.Shape{shapeOf(1, model.AdjacentWorker), shapeOf(2, model.AdjacentWorker)},
		minRunTime: 5 * time.Minute, maxRunTime: 15 * time.Minute, preemptibleShare: 0.5}
	g.load.Duration = time.Hour
	g.addStream([]workKind{small}, teams, 0, time.Minute, 8)
	g.addStream([]workKind{small}, teams, time.Minute, g.load.Duration, 1.15)
	gang := workKind{name: "gang", shapes: []model.Shape{shapeOf(model.MaxGangAccelerators, model.AdjacentDatacenter)},
		minRunTime: 5 * time.Minute, maxRunTime: 10 * time.Minute, preemptibleShare: 1}
	g.addJob(gang, teams[0], 10*time.Minute)
}
