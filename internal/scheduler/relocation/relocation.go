// Package relocation decides which runs leave the data centres that operators evacuate. The load that it addresses is a
// fleet that has lost a data centre's capacity: a run moves only into capacity that is free now, so that moves neither
// compete with waiting work nor leave a stopped task without a worker.
package relocation

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"masticcart.example/masticcart/internal/batch"
	"masticcart.example/masticcart/internal/scheduler/policy"
)

const (
	// finishGrace is the expected remaining time up to which a run stays. Stopping and restoring a run costs about a second,
	// and the operator's request allows running tasks to finish.
	finishGrace = 10 * time.Second
	// maxMovesPerPlan is the number of units that start to move in one plan, so that the stops, records and starts of an
	// evacuation do not delay those of urgent work.
	maxMovesPerPlan = 4
)

// Unit is what moves as a whole: a run in an evacuated data centre, or a gang with a member there.
type Unit struct {
	Service string
	Step    int             // identifies the step of the unit within the snapshot
	Count   int             // number of tasks
	Need    batch.Resources // reserved by each task

	Priority   int
	Guaranteed bool
	// Checkpoints means that a stop saves the progress, LongRunning that the tasks never finish by themselves.
	Checkpoints, LongRunning bool
	Remaining                time.Duration // expected time until the last of the tasks finishes where it is
	Loss                     float64       // work that a stop loses, in core-seconds
	// MaxUnavailable limits the tasks of the step that are down at the same time, zero for no limit. Unavailable is the
	// number of those that are down now.
	MaxUnavailable, Unavailable int
	// Hosts lists alternative sets of workers outside of the evacuated data centres, the preferred one first. All tasks of
	// the unit have to be placed on one of the sets.
	Hosts [][]Host
}

// Host is a worker that may run tasks of a unit.
type Host struct {
	Node  string
	Limit int // the most tasks of the unit that the worker may get
	// Released is the number of tasks of the unit that run there now. Their capacity is released for the unit itself.
	Released int
}

// Snapshot is what a plan is based on.
type Snapshot struct {
	Units []Unit
	// Free is the free capacity of the workers by node after the waiting units were placed.
	Free map[string]batch.Resources
	// Spare holds for each service the number of free accelerators that moves of priority above 0 may use. The others are
	// kept free for urgent work.
	Spare map[string]int
}

// Move is the decision to stop the tasks of a unit and to start them on other workers.
type Move struct {
	Unit  int      // index in the snapshot
	Nodes []string // one for each task
}

// Plan returns the units to move now, guaranteed ones first, then by priority, then those that lose the least work. A
// unit that does not fit is passed over, so that it does not block others.
func Plan(s Snapshot) []Move {
	free, spare := maps.Clone(s.Free), maps.Clone(s.Spare)
	stopped := map[int]int{} // tasks that this plan stops, by step
	var moves []Move
	for _, i := range order(s.Units) {
		u := &s.Units[i]
		if u.MaxUnavailable > 0 && u.Unavailable+stopped[u.Step]+u.Count > u.MaxUnavailable {
			continue
		}
		nodes, added := u.place(free)
		total := 0
		for _, n := range added {
			total += n * u.Need.Accelerators
		}
		if nodes == nil || u.Priority > 0 && total > spare[u.Service] {
			continue
		}
		for node, n := range added {
			free[node] = free[node].Minus(u.Need.Times(n))
		}
		spare[u.Service] -= total
		stopped[u.Step] += u.Count
		if moves = append(moves, Move{Unit: i, Nodes: nodes}); len(moves) == maxMovesPerPlan {
			break
		}
	}
	return moves
}

// order returns the indexes of the units that should move, the most important first.
func order(units []Unit) []int {
	var indexes []int
	for i := range units {
		if units[i].ShouldMove() {
			indexes = append(indexes, i)
		}
	}
	slices.SortStableFunc(indexes, func(i, j int) int {
		a, b := &units[i], &units[j]
		return cmp.Or(-policy.CompareBool(a.Guaranteed, b.Guaranteed), cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.Loss, b.Loss))
	})
	return indexes
}

// ShouldMove reports whether a unit should run elsewhere if there is capacity. A run without checkpoints stays: stopping
// it would lose all its work, and it ends by itself unless it is long-running.
func (u *Unit) ShouldMove() bool {
	return u.LongRunning || u.Checkpoints && u.Remaining > finishGrace
}

// place returns workers for all tasks of the unit, and by node how many more of its tasks run there than now, or nil. It
// fills the workers with the least free capacity first, so that large free blocks are preserved. Capacity that the unit
// releases is not free yet, so it does not count as free for other units.
func (u *Unit) place(free map[string]batch.Resources) (nodes []string, added map[string]int) {
	available := func(h Host) batch.Resources { return free[h.Node].Plus(u.Need.Times(h.Released)) }
	for _, hosts := range u.Hosts {
		hosts = slices.Clone(hosts)
		slices.SortFunc(hosts, func(a, b Host) int {
			return cmp.Or(cmp.Compare(available(a).CoreEquivalents(), available(b).CoreEquivalents()),
				cmp.Compare(a.Node, b.Node))
		})
		nodes, added = nil, map[string]int{}
		for _, h := range hosts {
			n := min(u.Need.FitCount(available(h)), h.Limit, u.Count-len(nodes))
			for range n {
				nodes = append(nodes, h.Node)
			}
			added[h.Node] = max(0, n-h.Released)
		}
		if len(nodes) == u.Count {
			return nodes, added
		}
	}
	return nil, nil
}
