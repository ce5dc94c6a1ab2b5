package placement

import (
	"slices"

	"masticcart.example/masticcart/internal/model"
)

// placeClaims places guaranteed claims or preempts borrowers for them, and reports for each job of the queue whether
// it was placed, holds units or has to wait for an earlier claim. Claims precede all borrowers, whatever their class.
// Otherwise urgent borrowers would repeatedly get the units that were freed for a claim, and the bound on the time
// until a claim starts (experiment.ClaimStartBound) would not hold.
func (st *planState) placeClaims(queue []candidate) []bool {
	done := make([]bool, len(queue))
	if st.opts.NoClaims || len(st.blocks) == 0 {
		return done
	}
	byTeam := blocksByTeam(st.blocks)
	for i := range queue {
		c := &queue[i]
		teamBlocks := byTeam[c.Spec.Key.Team]
		if len(teamBlocks) == 0 || !st.isClaim(c, teamBlocks) || st.quotaViolation(c) != "" {
			continue
		}
		st.avoidFailedWorkers(c)
		done[i] = st.placeClaim(c, teamBlocks)
		st.resetAvoidedWorkers()
	}
	return done
}

// isClaim reports whether the team's blocks cover the job in addition to the team's other guaranteed jobs.
func (st *planState) isClaim(c *candidate, teamBlocks []int) bool {
	shape, team := c.Spec.Shape, c.Spec.Key.Team
	fitsEmptyBlock := func(i int) bool {
		b := guaranteedBlock{shape: st.blocks[i].shape, unused: st.blocks[i].shape.Accelerators}
		return st.blocks[i].unused > 0 && b.covers(shape)
	}
	if !slices.ContainsFunc(teamBlocks, fitsEmptyBlock) {
		return false
	}
	_, before := st.assignTeamBlocks(teamBlocks, st.claimedShapes[team])
	_, after := st.assignTeamBlocks(teamBlocks, append(slices.Clone(st.claimedShapes[team]), shape))
	return after > before
}

// assignTeamBlocks returns copies of the team's blocks after the jobs are assigned to them, and the number of jobs that
// are covered.
func (st *planState) assignTeamBlocks(teamBlocks []int, jobs []model.Shape) ([]guaranteedBlock, int) {
	blocks := make([]guaranteedBlock, len(teamBlocks))
	positions := make([]int, len(teamBlocks))
	for i, index := range teamBlocks {
		b := st.blocks[index]
		blocks[i] = guaranteedBlock{team: b.team, shape: b.shape, unused: b.shape.Accelerators}
		positions[i] = i
	}
	return blocks, assignJobs(blocks, positions, jobs)
}

// allocResult says which units a job received.
type allocResult int

const (
	allocNone   allocResult = iota
	allocHeld               // units that it has to wait for, since preempted jobs still use them
	allocPlaced             // free units, on which it starts
)

// placeClaim places one claim or preempts borrowers for it, and records which blocks the team then uses. It returns
// false if the claim received no units and is to be treated as a borrower.
func (st *planState) placeClaim(c *candidate, teamBlocks []int) bool {
	team, shape := c.Spec.Key.Team, c.Spec.Shape
	after, _ := st.assignTeamBlocks(teamBlocks, append(slices.Clone(st.servedShapes[team]), shape))
	st.alignBlocks(teamBlocks, after)
	b, onOneBlock := st.claimedBlock(teamBlocks, after, shape)
	var got allocResult
	switch {
	case onOneBlock:
		got = st.placeClaimOnBlock(c, b)
	case slices.ContainsFunc(teamBlocks, func(i int) bool { return st.pendingBlocks[i] }):
		st.addBlocked(c, "guarantee: an earlier claim of the team is waiting for preempted jobs", "the earlier claim starts")
		return true
	default:
		got = st.placeReassignedClaim(c, teamBlocks, after)
	}
	switch got {
	case allocPlaced:
		for i, index := range teamBlocks {
			if !onOneBlock {
				st.blocks[index] = after[i]
			}
		}
		if onOneBlock {
			st.blocks[b].addJob(shape)
		}
		st.servedShapes[team] = append(st.servedShapes[team], shape)
		st.claimedShapes[team] = append(st.claimedShapes[team], shape)
	case allocHeld:
		if onOneBlock {
			st.pendingBlocks[b] = true
		}
		st.claimedShapes[team] = append(st.claimedShapes[team], shape)
	}
	return got != allocNone
}

// alignBlocks swaps blocks of equal shape in the new assignment so that as many as possible are used as before.
func (st *planState) alignBlocks(teamBlocks []int, after []guaranteedBlock) {
	for i, index := range teamBlocks {
		for k := range after {
			swap := k != i && after[k].shape == after[i].shape && after[k].unused == st.blocks[index].unused &&
				after[k].unused != st.blocks[teamBlocks[k]].unused
			if after[i].unused != st.blocks[index].unused && swap {
				after[i], after[k] = after[k], after[i]
			}
		}
	}
}

// claimedBlock returns the only block that the new assignment changes, which is the one that the claim uses, or false
// if other jobs of the team move to other blocks as well. If an earlier claim of this plan waits for that block, an
// equal block replaces it.
func (st *planState) claimedBlock(teamBlocks []int, after []guaranteedBlock, shape model.Shape) (int, bool) {
	b := -1
	for i, index := range teamBlocks {
		switch n := st.blocks[index].unused - after[i].unused; {
		case n == 0:
		case n == shape.Accelerators && b < 0:
			b = index
		default:
			return -1, false
		}
	}
	if b < 0 || !st.pendingBlocks[b] {
		return b, b >= 0
	}
	for _, index := range teamBlocks {
		if !st.pendingBlocks[index] && st.blocks[index].shape == st.blocks[b].shape &&
			st.blocks[index].unused == st.blocks[b].unused {
			return index, true
		}
	}
	return -1, false
}

// placeClaimOnBlock places a claim on one block or preempts borrowers for it. The witness units of the block are
// released first, so that the claim can use them. Then units are reserved for the rest of the block if the claim was
// placed, or for the whole block if it was not.
func (st *planState) placeClaimOnBlock(c *candidate, b int) allocResult {
	unused := st.blocks[b].unused
	usesWholeBlock := c.Spec.Shape.Accelerators == unused && c.Spec.Shape.Adjacency == st.blocks[b].shape.Adjacency
	if len(st.guards) == 0 {
		got, _ := st.placeOrPreemptForClaim(c, usesWholeBlock)
		return got
	}
	g := st.guards[0]
	released := g.releaseWitness(b)
	st.refreshWorkers(released)
	g.shapes[b].Accelerators = unused - c.Spec.Shape.Accelerators
	got, held := st.placeOrPreemptForClaim(c, usesWholeBlock)
	switch {
	case got == allocPlaced:
		unused -= c.Spec.Shape.Accelerators
	case got == allocHeld && usesWholeBlock:
		released = held
		g.pinned[b] = held
	}
	if len(g.witness.allocs[b]) == 0 { // repacking may have set it
		g.restoreWitness(b, unused, released)
	}
	st.refreshWorkers(released)
	return got
}

// placeReassignedClaim places a claim that moves other jobs of the team to other blocks, or preempts borrowers for it.
// Since the unused parts of several blocks change, the guarantees are packed again with the claim as an additional
// shape. The guard is restored unless the claim was placed.
func (st *planState) placeReassignedClaim(c *candidate, teamBlocks []int, after []guaranteedBlock) allocResult {
	if len(st.guards) == 0 {
		got, _ := st.placeOrPreemptForClaim(c, true)
		return got
	}
	g := st.guards[0]
	saved := *g
	g.shapes = slices.Clone(g.shapes)
	for i, index := range teamBlocks {
		g.shapes[index].Accelerators = after[i].unused
	}
	g.shapes = append(g.shapes, c.Spec.Shape)
	got := allocNone
	if p, ok := g.repackWithout(nil); ok {
		g.setWitness(p)
		claim := len(g.shapes) - 1
		g.releaseWitness(claim)
		g.shapes, g.witness.allocs = g.shapes[:claim], g.witness.allocs[:claim]
		st.rebuildSpareIndex()
		got, _ = st.placeOrPreemptForClaim(c, true)
	}
	if got != allocPlaced {
		*g = saved
		st.rebuildSpareIndex()
	}
	return got
}

// placeOrPreemptForClaim places a claim on free units, or else preempts the borrowers of one domain for it.
func (st *planState) placeOrPreemptForClaim(c *candidate, repack bool) (allocResult, []alloc) {
	found, ok := st.chooseBlock(useGuaranteed, c.Spec.Shape)
	if !ok {
		found, ok = st.chooseByRepacking(c, useGuaranteed)
	}
	if ok {
		st.bind(c, found, useGuaranteed)
		return allocPlaced, found.allocs
	}
	return st.preemptFor(c, useGuaranteed, nil, repack, claimRule(c))
}

func claimRule(c *candidate) string { return "claim on the guarantee of team " + c.Spec.Key.Team }

func (st *planState) refreshWorkers(allocs []alloc) {
	for _, a := range allocs {
		st.refreshWorker(a.worker)
	}
}
