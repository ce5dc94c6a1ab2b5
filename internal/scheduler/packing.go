package scheduler

import (
	"cmp"
	"slices"

	"masticcart.example/masticcart/internal/batch"
)

// candidate is a worker on which tasks of a step may be placed.
type candidate struct {
	node string
	rack string
	// free is what the worker has left, copies how many tasks of the step fit there.
	free    batch.Resources
	copies  int
	avoided bool // a task of the step failed there
}

// order by which candidates are filled: sound ones first, then the tightest, so that large blocks stay whole.
func (a candidate) compare(b candidate, need batch.Resources) int {
	if a.avoided != b.avoided {
		if a.avoided {
			return 1
		}
		return -1
	}
	if c := cmp.Compare(unusedAfterFill(a, need), unusedAfterFill(b, need)); c != 0 {
		return c
	}
	return cmp.Compare(a.node, b.node)
}

// unusedAfterFill returns the worth of what stays unused on a candidate that takes all it can.
func unusedAfterFill(a candidate, need batch.Resources) float64 {
	return a.free.Minus(need.Times(min(a.copies, 1))).CoreEquivalents()
}

// pack chooses workers for n tasks, one entry a task, or returns nil if they do not fit. It fills the tightest worker
// first; of a gang it prefers workers that the gang fills whole.
func pack(candidates []candidate, need batch.Resources, n int) []string {
	total := 0
	for _, c := range candidates {
		total += c.copies
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
		for i, c := range cs { // the tightest worker that takes all that is missing
			if c.copies >= missing {
				best = i
				break
			}
		}
		if best < 0 { // else the one that takes the most
			for i, c := range cs {
				if c.copies > 0 && (best < 0 || !c.avoided && c.copies > cs[best].copies) {
					best = i
				}
			}
		}
		count := min(cs[best].copies, missing)
		for range count {
			nodes = append(nodes, cs[best].node)
		}
		cs = slices.Delete(cs, best, best+1)
	}
	return nodes
}

// groupByRack groups candidates by rack, in the order of the groupByRack' names.
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

// packInRack is pack within one rack: of those that hold all tasks, the one with the least room left.
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

// avoidedPenalty makes racks with a worker on which the step failed come last.
const avoidedPenalty = 10_000
