package experiment

import (
	"fmt"
	"math"
	"time"

	"masticcart.example/masticcart/internal/model"
	"masticcart.example/masticcart/internal/placement"
)

func pow(x, y float64) float64 { return math.Pow(x, y) }

// deployment is one of the first users at today's size.
type deployment struct {
	name    string
	weights model.Weights
	urgent  string
	second  string
	wait    string
}

// Gangs that train models run beside the users' own kinds of work.
const kindTraining = "training"

var deployments = []deployment{
	{name: "baltoptika", weights: model.Weights{CompletionTime: 1, Fragmentation: 0.2},
		urgent: "inspector-check", second: "surface-fit", wait: "retrace"},
	{name: "liptov", weights: model.Weights{CompletionTime: 0.2, Fragmentation: 1},
		urgent: "crease-preview", second: "fold-plan", wait: "batch-tag"},
}

// DeploymentNames lists the deployments.
func DeploymentNames() []string { return []string{deployments[0].name, deployments[1].name} }

func (d *deployment) config(cell string) *model.Config {
	return &model.Config{Version: 1, Weights: d.weights,
		Teams: []model.Team{{Name: "north"}, {Name: "south"}, {Name: "lab"}, {Name: "small", MaxAccelerators: 24}},
		Guarantees: []model.Guarantee{
			{Team: "north", Cell: cell, Shape: accelerators(16, model.AdjacentRack), Count: 1},
			{Team: "south", Cell: cell, Shape: accelerators(8, model.AdjacentWorker), Count: 1},
		},
		Rules: []model.Rule{
			{Kind: d.urgent, Class: model.ClassUrgent, Priority: 1},
			{Kind: d.second, Class: model.ClassNormal, Priority: 10, MaxWait: 2 * time.Hour},
			{Kind: kindTraining, Class: model.ClassNormal, Priority: 20, MaxWait: time.Hour},
			{Kind: d.wait, Class: model.ClassDeferrable, Priority: 50, MaxWait: 8 * time.Hour},
		}}
}

// kinds of work of a deployment. Scattered small work is what starves the gangs.
func (d *deployment) kinds() []kind {
	w, r, dc := model.AdjacentWorker, model.AdjacentRack, model.AdjacentDatacenter
	return []kind{
		{name: d.urgent, weight: 30, shapes: []model.Shape{accelerators(1, w), accelerators(2, w)},
			low: 20 * time.Second, high: 3 * time.Minute, preemptible: 0.5},
		{name: d.second, weight: 25, shapes: []model.Shape{accelerators(1, w), accelerators(2, w), accelerators(4, w), accelerators(8, w)},
			low: 5 * time.Minute, high: time.Hour, preemptible: 0.9},
		{name: d.wait, weight: 40, shapes: []model.Shape{accelerators(1, w), accelerators(1, w), accelerators(2, w)},
			low: 10 * time.Minute, high: 90 * time.Minute, preemptible: 0.6},
		{name: kindTraining, weight: 1, shapes: []model.Shape{accelerators(16, r), accelerators(24, r), accelerators(32, dc), accelerators(48, dc)},
			low: 20 * time.Minute, high: 90 * time.Minute, preemptible: 1},
	}
}

// todaysWorkers are about 10 workers with 8 accelerators each, three to a rack.
func todaysWorkers() []placement.Upstream {
	out := make([]placement.Upstream, 10)
	for i := range out {
		out[i] = placement.Upstream{ID: fmt.Sprintf("worker-%02d", i), Incarnation: "1",
			Rack: fmt.Sprintf("rack-%d", i/3), Units: 8, Free: 8}
	}
	return out
}

var fourTeams = []string{"north", "south", "lab", "small"}

// days is the length of a deployment's load.
const days = 2

// DeploymentLoad returns some days of one deployment: a steady stream, daily bursts of small and of large jobs, a
// wave of cancellations, wrong declared run times and jobs that can never run. With faults, a worker fails
// everything and two others go away for a time.
func DeploymentLoad(index int, seed uint64, faults bool) *Load {
	d := &deployments[index]
	name := d.name
	if faults {
		name += "-faults"
	}
	g := newGenerator(name, seed)
	l := g.load
	l.Workers, l.Config, l.Duration = todaysWorkers(), d.config("cell"), days*24*time.Hour
	kinds := d.kinds()
	g.stream(kinds, fourTeams, 0, l.Duration-6*time.Hour, 0.9)
	for day := range days {
		at := time.Duration(day) * 24 * time.Hour
		g.stream(kinds[:3], fourTeams, at+4*time.Hour, at+4*time.Hour+time.Minute, 15)
		g.stream(kinds[3:], fourTeams[:3], at+12*time.Hour, at+12*time.Hour+time.Minute, 20)
	}
	g.misdeclare(100)
	g.cancelWave(6*time.Hour, 0.05)
	g.crash(0.01)
	impossible := kind{name: d.wait, shapes: []model.Shape{accelerators(25, model.AdjacentRack), accelerators(9, model.AdjacentWorker)},
		low: time.Minute, high: time.Hour}
	for range 5 {
		g.add(impossible, "lab", time.Duration(g.IntN(36000))*time.Second)
	}
	if faults {
		g.breakWorkers(0.1, 2)
	}
	return l
}

// DeploymentClaimLoad returns a deployment in which everything is lent out when the holders of guarantees claim them.
func DeploymentClaimLoad(index int, seed uint64) *Load {
	d := &deployments[index]
	g := newGenerator(d.name+"-claim", seed)
	l := g.load
	l.Workers, l.Config, l.Duration = todaysWorkers(), d.config("cell"), 4*time.Hour
	kinds := d.kinds()
	g.stream(kinds, []string{"lab", "small"}, 0, 30*time.Minute, 6)
	g.stream(kinds[:1], []string{"lab"}, 0, 4*time.Hour, 0.3)
	for i := range 12 {
		at := time.Duration(i)*15*time.Minute + time.Duration(g.IntN(600_000))*time.Millisecond + time.Hour
		claim := kind{name: d.wait, low: time.Minute, high: 4 * time.Minute, shapes: []model.Shape{accelerators(16, model.AdjacentRack)}}
		team := "north"
		if i%2 == 1 {
			team, claim.shapes = "south", []model.Shape{accelerators(8, model.AdjacentWorker)}
		}
		g.add(claim, team, at).UsesGuarantee = true
	}
	return l
}
