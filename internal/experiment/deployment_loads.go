package experiment

import (
	"fmt"
	"math"
	"time"

	"masticcart.example/masticcart/internal/model"
	"masticcart.example/masticcart/internal/placement"
)

func pow(x, y float64) float64 { return math.Pow(x, y) }

// deployment describes the load of one of the first users at its present size.
type deployment struct {
	name           string
	weights        model.Weights
	urgentKind     string
	normalKind     string
	deferrableKind string
}

// kindTraining is the kind of the gangs that train models, which run beside the users' own kinds of work.
const kindTraining = "training"

var deployments = []deployment{
	{name: "baltoptika", weights: model.Weights{CompletionTime: 1, Fragmentation: 0.2},
		urgentKind: "inspector-check", normalKind: "surface-fit", deferrableKind: "retrace"},
	{name: "liptov", weights: model.Weights{CompletionTime: 0.2, Fragmentation: 1},
		urgentKind: "crease-preview", normalKind: "fold-plan", deferrableKind: "batch-tag"},
}

// DeploymentNames lists the names of the deployments.
func DeploymentNames() []string { return []string{deployments[0].name, deployments[1].name} }

func (d *deployment) config(cell string) *model.Config {
	return &model.Config{Version: 1, Weights: d.weights,
		Teams: []model.Team{{Name: "north"}, {Name: "south"}, {Name: "lab"}, {Name: "small", MaxAccelerators: 24}},
		Guarantees: []model.Guarantee{
			{Team: "north", Cell: cell, Shape: shapeOf(16, model.AdjacentRack), Count: 1},
			{Team: "south", Cell: cell, Shape: shapeOf(8, model.AdjacentWorker), Count: 1},
		},
		Rules: []model.Rule{
			{Kind: d.urgentKind, Class: model.ClassUrgent, Priority: 1},
			{Kind: d.normalKind, Class: model.ClassNormal, Priority: 10, MaxWait: 2 * time.Hour},
			{Kind: kindTraining, Class: model.ClassNormal, Priority: 20, MaxWait: time.Hour},
			{Kind: d.deferrableKind, Class: model.ClassDeferrable, Priority: 50, MaxWait: 8 * time.Hour},
		}}
}

// kinds returns the kinds of work of a deployment. Most jobs are small and spread over the workers, which starves
// gangs.
func (d *deployment) kinds() []workKind {
	w, r, dc := model.AdjacentWorker, model.AdjacentRack, model.AdjacentDatacenter
	return []workKind{
		{name: d.urgentKind, weight: 30, shapes: []model.Shape{shapeOf(1, w), shapeOf(2, w)},
			minRunTime: 20 * time.Second, maxRunTime: 3 * time.Minute, preemptibleShare: 0.5},
		{name: d.normalKind, weight: 25,
			shapes:     []model.Shape{shapeOf(1, w), shapeOf(2, w), shapeOf(4, w), shapeOf(8, w)},
			minRunTime: 5 * time.Minute, maxRunTime: time.Hour, preemptibleShare: 0.9},
		{name: d.deferrableKind, weight: 40, shapes: []model.Shape{shapeOf(1, w), shapeOf(1, w), shapeOf(2, w)},
			minRunTime: 10 * time.Minute, maxRunTime: 90 * time.Minute, preemptibleShare: 0.6},
		{name: kindTraining, weight: 1,
			shapes:     []model.Shape{shapeOf(16, r), shapeOf(24, r), shapeOf(32, dc), shapeOf(48, dc)},
			minRunTime: 20 * time.Minute, maxRunTime: 90 * time.Minute, preemptibleShare: 1},
	}
}

// newSmallCell returns 10 workers with 8 accelerators each and 3 workers to a rack, about the present size of a
// deployment.
func newSmallCell() []placement.Upstream {
	out := make([]placement.Upstream, 10)
	for i := range out {
		out[i] = placement.Upstream{ID: fmt.Sprintf("worker-%02d", i), Incarnation: "1",
			Rack: fmt.Sprintf("rack-%d", i/3), Units: 8, Free: 8}
	}
	return out
}

var deploymentTeams = []string{"north", "south", "lab", "small"}

// deploymentDays is the duration of a deployment's load in days.
const deploymentDays = 2

// DeploymentLoad returns a load of deploymentDays for one deployment: a steady stream, daily bursts of small and of
// large jobs, a wave of cancellations, wrong declared run times, jobs that always fail and jobs that can never be
// placed. With faults, every attempt fails on one worker, and there are two outages of workers.
func DeploymentLoad(index int, seed uint64, faults bool) *Load {
	d := &deployments[index]
	name := d.name
	if faults {
		name += "-faults"
	}
	g := newGenerator(name, seed)
	l := g.load
	l.Workers, l.Config, l.Duration = newSmallCell(), d.config("cell"), deploymentDays*24*time.Hour
	kinds := d.kinds()
	g.addStream(kinds, deploymentTeams, 0, l.Duration-6*time.Hour, 0.9)
	for day := range deploymentDays {
		at := time.Duration(day) * 24 * time.Hour
		g.addStream(kinds[:3], deploymentTeams, at+4*time.Hour, at+4*time.Hour+time.Minute, 15)
		g.addStream(kinds[3:], deploymentTeams[:3], at+12*time.Hour, at+12*time.Hour+time.Minute, 20)
	}
	g.distortRunTimes(100)
	g.addCancelWave(6*time.Hour, 0.05)
	g.markFailingJobs(0.01)
	unplaceable := workKind{name: d.deferrableKind,
		shapes:     []model.Shape{shapeOf(25, model.AdjacentRack), shapeOf(9, model.AdjacentWorker)},
		minRunTime: time.Minute, maxRunTime: time.Hour}
	for range 5 {
		g.addJob(unplaceable, "lab", time.Duration(g.IntN(36000))*time.Second)
	}
	if faults {
		g.addWorkerFaults(0.1, 2)
	}
	return l
}

// DeploymentClaimLoad returns a load of one deployment in which other teams have borrowed all accelerators when the
// teams with guarantees claim them.
func DeploymentClaimLoad(index int, seed uint64) *Load {
	d := &deployments[index]
	g := newGenerator(d.name+"-claim", seed)
	l := g.load
	l.Workers, l.Config, l.Duration = newSmallCell(), d.config("cell"), 4*time.Hour
	kinds := d.kinds()
	g.addStream(kinds, []string{"lab", "small"}, 0, 30*time.Minute, 6)
	g.addStream(kinds[:1], []string{"lab"}, 0, 4*time.Hour, 0.3)
	for i := range 12 {
		at := time.Duration(i)*15*time.Minute + time.Duration(g.IntN(600_000))*time.Millisecond + time.Hour
		claim := workKind{name: d.deferrableKind, minRunTime: time.Minute, maxRunTime: 4 * time.Minute,
			shapes: []model.Shape{shapeOf(16, model.AdjacentRack)}}
		team := "north"
		if i%2 == 1 {
			team, claim.shapes = "south", []model.Shape{shapeOf(8, model.AdjacentWorker)}
		}
		g.addJob(claim, team, at).UsesGuarantee = true
	}
	return l
}
