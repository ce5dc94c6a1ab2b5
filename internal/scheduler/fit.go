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
	if c := cmp.Compare(left(a, need), left(b, need)); c != 0 {
		return c
	}
	return cmp.Compare(a.node, b.node)
}

// left returns the worth of what stays unused on a candidate that takes all it can.
func left(a candidate, need batch.Resources) float64 {
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
		take := min(cs[best].copies, missing)
		for range take {
			nodes = append(nodes, cs[best].node)
		}
		cs = slices.Delete(cs, best, best+1)
	}
	return nodes
}

// racks groups candidates by rack, in the order of the racks' names.
func racks(candidates []candidate) [][]candidate {
	by := map[string][]candidate{}
	var names []string
	for _, c := range candidates {
		if by[c.rack] == nil {
			names = append(names, c.rack)
		}
		by[c.rack] = append(by[c.rack], c)
	}
	slices.Sort(names)
	groups := make([][]candidate, 0, len(names))
	for _, name := range names {
		groups = append(groups, by[name])
	}
	return groups
}

// packInRack is pack within one rack: of those that hold all tasks, the one with the least room left.
func packInRack(candidates []candidate, need batch.Resources, n int) []string {
	var best []string
	bestLeft := 0.0
	for _, group := range racks(candidates) {
		nodes := pack(group, need, n)
		if nodes == nil {
			continue
		}
		rest := 0.0
		for _, c := range group {
			rest += c.free.CoreEquivalents()
			if c.avoided {
				rest += avoidedCores
			}
		}
		if best == nil || rest < bestLeft {
			best, bestLeft = nodes, rest
		}
	}
	return best
}

// avoidedCores makes racks with a worker on which the step failed come last.
const avoidedCores = 10_000
