package relocation

import (
	"slices"
	"testing"
	"time"

	"masticcart.example/masticcart/internal/batch"
)

func accelerators(n int) batch.Resources { return batch.Resources{Accelerators: n} }

// run returns a run of one task with checkpoints, 4 accelerators and a minute to go, which fits on the workers x and y.
func run(step int) Unit {
	return Unit{Service: "s", Step: step, Count: 1, Need: accelerators(4), Priority: 1, Checkpoints: true,
		Remaining: time.Minute, Hosts: [][]Host{{{Node: "x", Limit: 8}, {Node: "y", Limit: 8}}}}
}

func fleet(x, y, spare int) Snapshot {
	return Snapshot{Free: map[string]batch.Resources{"x": accelerators(x), "y": accelerators(y)},
		Spare: map[string]int{"s": spare}}
}

// TestPlan guards against moves that lose work for nothing, that have no capacity to go to, or that go before more
// important ones.
func TestPlan(t *testing.T) {
	t.Parallel()
	with := func(u Unit, change func(*Unit)) Unit { change(&u); return u }
	longRunning := func(step int) Unit {
		return with(run(step), func(u *Unit) { u.Checkpoints, u.LongRunning, u.MaxUnavailable = false, true, 2 })
	}
	// Two of the four members run in the data centre, the other two on x.
	halfInside := with(run(0), func(u *Unit) {
		u.Count = 4
		u.Hosts = [][]Host{{{Node: "x", Limit: 4, Released: 2}, {Node: "y", Limit: 4}}}
	})
	oneRack := with(run(0), func(u *Unit) { u.Count, u.Hosts = 2, [][]Host{{{Node: "x", Limit: 2}}, {{Node: "y", Limit: 2}}} })
	for _, c := range []struct {
		name  string
		load  Snapshot
		units []Unit
		moved []int
	}{
		{"fleet with room", fleet(8, 8, 16), []Unit{run(0), run(1)}, []int{0, 1}},
		{"full fleet", fleet(3, 3, 6), []Unit{run(0), run(1)}, nil},
		{"fleet that keeps its room for urgent work", fleet(8, 8, 3), []Unit{run(0)}, nil},
		{"room for one", fleet(4, 0, 4), []Unit{run(0), run(1)}, []int{0}},
		{"urgent work may use all room", fleet(8, 0, 0),
			[]Unit{run(0), with(run(1), func(u *Unit) { u.Priority = 0 })}, []int{1}},
		{"guaranteed and urgent work first", fleet(8, 8, 16), []Unit{run(0),
			with(run(1), func(u *Unit) { u.Loss = 5 }), with(run(2), func(u *Unit) { u.Priority = 2 }),
			with(run(3), func(u *Unit) { u.Priority = 0 }),
			with(run(4), func(u *Unit) { u.Priority, u.Guaranteed, u.Loss = 0, true, 9 })}, []int{4, 3, 0, 1}},
		{"short rest stays", fleet(8, 8, 16), []Unit{with(run(0), func(u *Unit) { u.Remaining = finishGrace })}, nil},
		{"run without checkpoints stays", fleet(8, 8, 16), []Unit{with(run(0), func(u *Unit) { u.Checkpoints = false })}, nil},
		{"long-running tasks within their limit", fleet(8, 8, 16),
			[]Unit{longRunning(0), longRunning(0), longRunning(0), longRunning(1)}, []int{0, 1, 3}},
		{"long-running task while others are down", fleet(8, 8, 16),
			[]Unit{with(longRunning(0), func(u *Unit) { u.Unavailable = 2 })}, nil},
		{"gang half inside fits", fleet(0, 8, 8), []Unit{halfInside}, []int{0}},
		{"gang half inside does not fit", fleet(0, 4, 8), []Unit{halfInside, run(1)}, []int{1}},
		{"capacity that a gang releases is not free for others", fleet(0, 8, 8), []Unit{halfInside, run(1)}, []int{0}},
		{"gang in one rack", fleet(4, 8, 12), []Unit{oneRack}, []int{0}},
		{"large evacuation", fleet(64, 0, 64), []Unit{run(0), run(1), run(2), run(3), run(4)}, []int{0, 1, 2, 3}},
	} {
		c.load.Units = c.units
		var moved []int
		used := map[string]int{}
		for _, m := range Plan(c.load) {
			moved = append(moved, m.Unit)
			if u := c.units[m.Unit]; len(m.Nodes) != u.Count {
				t.Errorf("%s: unit %d gets %d workers, want %d", c.name, m.Unit, len(m.Nodes), u.Count)
			}
			for _, node := range m.Nodes {
				used[node] += c.units[m.Unit].Need.Accelerators
			}
			for _, h := range c.units[m.Unit].Hosts[0] {
				used[h.Node] -= h.Released * c.units[m.Unit].Need.Accelerators
			}
		}
		if !slices.Equal(moved, c.moved) {
			t.Errorf("%s: moved %v, want %v", c.name, moved, c.moved)
		}
		for node, n := range used {
			if free := c.load.Free[node].Accelerators; n > free {
				t.Errorf("%s: moves use %d accelerators of %s, %d are free", c.name, n, node, free)
			}
		}
	}
}
