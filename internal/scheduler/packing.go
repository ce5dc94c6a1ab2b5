package scheduler

import (
	"cmp"
	"slices"

	"masticcart.example/masticcart/internal/batch"
)

// candidate is a worker that may run tasks of a step.
type candidate struct {
	node string
	rack string
	// free is the free capacity of the worker, fitCount the number of tasks of the step that fit into it.
	free     batch.Resources
	fitCount int
	avoided  bool // a task of the step failed there, or the worker refuses starts
	refusing bool // the worker refuses starts
	// workAtRisk is the work in core-seconds that a crash of the worker would lose. It is set for suspect units only.
	workAtRisk float64
	tier       speedTier // equal for all candidates unless the unit prefers workers by their speed
}

// compare orders candidates for filling: those without failures of the step that take starts first, then those with the
// least work at risk, then those of the preferred speed, then the one with the least capacity left over, so that large
// free blocks are preserved.
func (a candidate) compare(b candidate, need batch.Resources) int {
	if a.avoided != b.avoided {
		if a.avoided {
			return 1
		}
		return -1
	}
	if c := cmp.Compare(a.workAtRisk, b.workAtRisk); c != 0 {
		return c
	}
	if c := cmp.Compare(a.tier, b.tier); c != 0 {
		return c
	}
	if c := cmp.Compare(freeAfterOneTask(a, need), freeAfterOneTask(b, need)); c != 0 {
		return c
	}
	return cmp.Compare(a.node, b.node)
}

// freeAfterOneTask returns the capacity in core equivalents that stays free on a candidate when one task of the step is
// added.
func freeAfterOneTask(a candidate, need batch.Resources) float64 {
	return a.free.Minus(need.Times(min(a.fitCount, 1))).CoreEquivalents()
}

// pack returns the workers for n tasks, one element per task, or nil if the tasks do not fit. It prefers the tightest
// worker that holds all remaining tasks, and otherwise fills the worker that holds the most.
func pack(candidates []candidate, need batch.Resources, n int) []string {
	total := 0
	for _, c := range candidates {
		total += c.fitCount
	}
	if total < n {
		return nil
	}
	cs := slices.Clone(candidates)
	slices.SortFunc(cs, func(a, b candidate) int { return a.compare(b, need) })
	var nodes []string
	for len(nodes) < n {
		missing := n - len(nodes)
		best := -1
		for i, c := range cs { // the tightest worker that holds all remaining tasks
			if c.fitCount >= missing {
				best = i
				break
			}
		}
		if best < 0 { // otherwise the worker that holds the most
			for i, c := range cs {
				if c.fitCount > 0 && (best < 0 || !c.avoided && c.fitCount > cs[best].fitCount) {
					best = i
				}
			}
		}
		count := min(cs[best].fitCount, missing)
		for range count {
			nodes = append(nodes, cs[best].node)
		}
		cs = slices.Delete(cs, best, best+1)
	}
	return nodes
}

// groupByRack groups candidates by rack, in the order of the rack names.
func groupByRack(candidates []candidate) [][]candidate {
	byRack := map[string][]candidate{}
	var names []string
	for _, c := range candidates {
		if byRack[c.rack] == nil {
			names = append(names, c.rack)
		}
		byRack[c.rack] = append(byRack[c.rack], c)
	}
	slices.Sort(names)
	groups := make([][]candidate, 0, len(names))
	for _, name := range names {
		groups = append(groups, byRack[name])
	}
	return groups
}

// packInRack is pack within a single rack. Of the racks that hold all tasks it chooses the one with the least free
// capacity.
func packInRack(candidates []candidate, need batch.Resources, n int) []string {
	var best []string
	bestFree := 0.0
	for _, group := range groupByRack(candidates) {
		nodes := pack(group, need, n)
		if nodes == nil {
			continue
		}
		free := 0.0
		for _, c := range group {
			free += c.free.CoreEquivalents()
			if c.avoided {
				free += avoidedPenalty
			}
		}
		if best == nil || free < bestFree {
			best, bestFree = nodes, free
		}
	}
	return best
}

// avoidedPenalty, in core equivalents, is added to the free capacity of a rack for each worker on which the step
// failed, so that such racks come last.
const avoidedPenalty = 10_000
