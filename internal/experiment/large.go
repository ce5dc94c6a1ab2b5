package experiment

import (
	"fmt"
	"time"

	"masticcart.example/masticcart/internal/model"
	"masticcart.example/masticcart/internal/placement"
)

// LargeCellWorkers is one data centre's share of the target: 27,000 workers over 11 data centres.
const LargeCellWorkers = 2450

// rackWorkers is the number of workers in a rack of a large cell.
const rackWorkers = 16

// NewLargeCell returns a large cell: 2 accelerators on most workers and 8 on every fiftieth rackful.
func NewLargeCell(n int) []placement.Upstream {
	out := make([]placement.Upstream, n)
	for i := range out {
		units := 2
		if i/rackWorkers%50 == 0 {
			units = 8
		}
		out[i] = placement.Upstream{ID: fmt.Sprintf("worker-%05d", i), Incarnation: "1",
			Rack: fmt.Sprintf("rack-%04d", i/rackWorkers), Units: units, Free: units}
	}
	return out
}

// largeTick is the time between decisions on a large cell. It is longer than the cell owner's interval of 250 ms,
// to keep a run short; figures of time to start can only be worse for it.
const largeTick = time.Second

// largeTeams is the number of teams in a large cell; the first holders have guarantees.
const (
	largeTeams = 40
	holders    = 12
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
	shapes := []model.Shape{accelerators(8, model.AdjacentWorker), accelerators(16, model.AdjacentRack),
		accelerators(32, model.AdjacentRack), accelerators(64, model.AdjacentDatacenter)}
	for i := range holders {
		c.Guarantees = append(c.Guarantees, model.Guarantee{Team: teamName(i), Cell: "cell", Shape: shapes[i%len(shapes)], Count: 2})
	}
	return c
}

func teamName(i int) string { return fmt.Sprintf("team-%02d", i) }

func borrowers() []string {
	var out []string
	for i := holders; i < largeTeams; i++ {
		out = append(out, teamName(i))
	}
	return out
}

func largeKinds() []kind {
	w, r, dc := model.AdjacentWorker, model.AdjacentRack, model.AdjacentDatacenter
	return []kind{
		{name: "urgent", weight: 15, shapes: []model.Shape{accelerators(1, w), accelerators(2, w), accelerators(4, r)},
			low: 30 * time.Second, high: 5 * time.Minute, preemptible: 0.5},
		{name: "batch", weight: 50, shapes: []model.Shape{accelerators(1, w), accelerators(2, w), accelerators(2, w), accelerators(8, w), accelerators(8, r)},
			low: 5 * time.Minute, high: 2 * time.Hour, preemptible: 0.9},
		{name: "later", weight: 30, shapes: []model.Shape{accelerators(1, w), accelerators(2, w), accelerators(4, r)},
			low: 10 * time.Minute, high: 2 * time.Hour, preemptible: 0.7},
		{name: "gang", weight: 5, shapes: []model.Shape{accelerators(32, r), accelerators(64, dc), accelerators(128, dc), accelerators(256, dc)},
			low: 10 * time.Minute, high: time.Hour, preemptible: 1},
	}
}

// The loads of a large cell.
const (
	LoadSteady       = "steady"
	LoadSmallBurst   = "burst-small"
	LoadLargeBurst   = "burst-large"
	LoadCancelWave   = "cancel-wave"
	LoadClaim        = "claim"
	LoadFaults       = "faults"
	LoadEndlessSmall = "endless-small"
)

// LargeCellLoads lists the loads of a large cell.
func LargeCellLoads() []string {
	return []string{LoadSteady, LoadSmallBurst, LoadLargeBurst, LoadCancelWave, LoadClaim, LoadFaults, LoadEndlessSmall}
}

// LargeCellLoad returns a load of one data centre with the number of workers given.
func LargeCellLoad(name string, workers int, seed uint64) *Load {
	g := newGenerator(fmt.Sprintf("large-%s", name), seed)
	l := g.load
	l.Workers, l.Config, l.Duration, l.DecisionInterval = NewLargeCell(workers), largeConfig(), 45*time.Minute, largeTick
	kinds, teams := largeKinds(), borrowers()
	if name == LoadEndlessSmall {
		l.Workers = NewLargeCell(max(workers/2, endlessWorkers))
		g.endless(teams)
		return l
	}
	g.stream(kinds[1:], teams, 0, time.Minute, 50)
	g.stream(kinds, teams, time.Minute, 35*time.Minute, 0.5)
	g.stream(kinds[:1], teams, time.Minute, 35*time.Minute, 0.02)
	switch name {
	case LoadSmallBurst:
		g.stream(kinds[:3], teams, 15*time.Minute, 16*time.Minute, 15)
	case LoadLargeBurst:
		g.stream(kinds[3:], teams, 15*time.Minute, 16*time.Minute, 15)
		big := kind{name: "gang", shapes: []model.Shape{accelerators(512, model.AdjacentDatacenter)}, low: 10 * time.Minute, high: 20 * time.Minute, preemptible: 1}
		g.add(big, teams[0], 15*time.Minute)
	case LoadCancelWave:
		g.stream(kinds, teams, 15*time.Minute, 16*time.Minute, 15)
		g.cancelWave(20*time.Minute, 0.5)
	case LoadClaim:
		g.claims()
	case LoadFaults:
		g.misdeclare(100)
		g.crash(0.02)
		g.breakWorkers(0.02, 20)
	}
	return l
}

// claims lets every holder claim its guarantees while everything is lent out, in three waves.
func (g *generator) claims() {
	for _, at := range []time.Duration{10 * time.Minute, 20 * time.Minute, 30 * time.Minute} {
		for _, gu := range g.load.Config.Guarantees {
			for range gu.Count {
				k := kind{name: "later", shapes: []model.Shape{gu.Shape}, low: 5 * time.Minute, high: 10 * time.Minute}
				g.add(k, gu.Team, at+time.Duration(g.IntN(30_000))*time.Millisecond).UsesGuarantee = true
			}
		}
	}
}

// endlessWorkers is the smallest cell of the endless load, in which the largest gang fits beside the guarantees.
const endlessWorkers = LargeCellWorkers / 2

// endless keeps the queue full of small jobs of the same class and a better priority than the largest gang's.
func (g *generator) endless(teams []string) {
	small := kind{name: "batch", weight: 1, shapes: []model.Shape{accelerators(1, model.AdjacentWorker), accelerators(2, model.AdjacentWorker)},
		low: 5 * time.Minute, high: 15 * time.Minute, preemptible: 0.5}
	g.load.Duration = time.Hour
	g.stream([]kind{small}, teams, 0, time.Minute, 8)
	g.stream([]kind{small}, teams, time.Minute, g.load.Duration, 1.15)
	gang := kind{name: "gang", shapes: []model.Shape{accelerators(model.MaxGangAccelerators, model.AdjacentDatacenter)},
		low: 5 * time.Minute, high: 10 * time.Minute, preemptible: 1}
	g.add(gang, teams[0], 10*time.Minute)
}
