package placement

import (
	"slices"

	"masticcart.example/masticcart/internal/model"
)

// placeClaims places guaranteed claims, or preempts borrowed work for them, and returns which jobs of the queue
// it dealt with. Claims come before any borrower whatever their class: the room that was freed for a claim
// would otherwise go to urgent borrowers again and again, and ClaimBound would not hold.
func (st *state) placeClaims(queue []candidate) []bool {
	done := make([]bool, len(queue))
	if st.opts.NoClaims || len(st.blocks) == 0 {
		return done
	}
	byTeam := blocksByTeam(st.blocks)
	for i := range queue {
		c := &queue[i]
		own := byTeam[c.Spec.Key.Team]
		if len(own) == 0 || !st.isClaim(c, own) || st.permitQuota(c) != "" {
			continue
		}
		st.beginAvoiding(c)
		done[i] = st.placeClaim(c, own)
		st.endAvoiding()
	}
	return done
}

// isClaim reports whether the team's blocks cover the job beside the team's other guaranteed jobs.
func (st *state) isClaim(c *candidate, own []int) bool {
	shape, team := c.Spec.Shape, c.Spec.Key.Team
	whole := func(i int) bool {
		b := block{shape: st.blocks[i].shape, rest: st.blocks[i].shape.Accelerators}
		return st.blocks[i].rest > 0 && b.covers(shape)
	}
	if !slices.ContainsFunc(own, whole) {
		return false
	}
	_, before := st.assigned(own, st.claimants[team])
	_, after := st.assigned(own, append(slices.Clone(st.claimants[team]), shape))
	return after > before
}

// assigned returns the team's blocks as the jobs use them, and how many jobs are covered.
func (st *state) assigned(own []int, jobs []model.Shape) ([]block, int) {
	blocks := make([]block, len(own))
	positions := make([]int, len(own))
	for i, o := range own {
		b := st.blocks[o]
		blocks[i] = block{team: b.team, shape: b.shape, rest: b.shape.Accelerators}
		positions[i] = i
	}
	return blocks, assign(blocks, positions, jobs)
}

// room is what a job got.
type room int

const (
	roomNone   room = iota
	roomHeld        // units that stopping jobs still use
	roomPlaced      // free units
)

// placeClaim places one claim, or preempts borrowed work for it, and books it.
func (st *state) placeClaim(c *candidate, own []int) bool {
	team, shape := c.Spec.Key.Team, c.Spec.Shape
	after, _ := st.assigned(own, append(slices.Clone(st.holders[team]), shape))
	st.align(own, after)
	b, direct := st.claimedBlock(own, after, shape)
	var got room
	switch {
	case direct:
		got = st.claimBlock(c, b)
	case slices.ContainsFunc(own, func(i int) bool { return st.waitingFor[i] }):
		st.block(c, "guarantee: an earlier claim of the team is waiting for preempted jobs", "the earlier claim starts")
		return true
	default:
		got = st.claimReassigned(c, own, after)
	}
	switch got {
	case roomPlaced:
		for i, o := range own {
			if !direct {
				st.blocks[o] = after[i]
			}
		}
		if direct {
			st.blocks[b].use(shape)
		}
		st.holders[team] = append(st.holders[team], shape)
		st.claimants[team] = append(st.claimants[team], shape)
	case roomHeld:
		if direct {
			st.waitingFor[b] = true
		}
		st.claimants[team] = append(st.claimants[team], shape)
	}
	return got != roomNone
}

// align exchanges blocks of one shape so that as many as possible are used as before.
func (st *state) align(own []int, after []block) {
	for i, o := range own {
		for k := range after {
			swap := k != i && after[k].shape == after[i].shape && after[k].rest == st.blocks[o].rest &&
				after[k].rest != st.blocks[own[k]].rest
			if after[i].rest != st.blocks[o].rest && swap {
				after[i], after[k] = after[k], after[i]
			}
		}
	}
}

// claimedBlock returns the block that the claim uses if the other jobs of the team keep theirs. An equal block
// stands in for one that an earlier claim of this plan waits for.
func (st *state) claimedBlock(own []int, after []block, shape model.Shape) (int, bool) {
	b := -1
	for i, o := range own {
		switch n := st.blocks[o].rest - after[i].rest; {
		case n == 0:
		case n == shape.Accelerators && b < 0:
			b = o
		default:
			return -1, false
		}
	}
	if b < 0 || !st.waitingFor[b] {
		return b, b >= 0
	}
	for _, o := range own {
		if !st.waitingFor[o] && st.blocks[o].shape == st.blocks[b].shape && st.blocks[o].rest == st.blocks[b].rest {
			return o, true
		}
	}
	return -1, false
}

// claimBlock finds room for a claim on one block. The block's own witness is given up first, so that the claim
// may use its units. After a placement, what remains of the block gets a new witness; while the claim waits, the
// whole block keeps one.
func (st *state) claimBlock(c *candidate, b int) room {
	rest := st.blocks[b].rest
	whole := c.Spec.Shape.Accelerators == rest && c.Spec.Shape.Adjacency == st.blocks[b].shape.Adjacency
	if len(st.guards) == 0 {
		got, _ := st.claimRoom(c, whole)
		return got
	}
	g := st.guards[0]
	released := g.release(b)
	st.refreshAll(released)
	g.shapes[b].Accelerators = rest - c.Spec.Shape.Accelerators
	got, held := st.claimRoom(c, whole)
	switch {
	case got == roomPlaced:
		rest -= c.Spec.Shape.Accelerators
	case got == roomHeld && whole:
		released = held
		g.pinned[b] = held
	}
	if len(g.witness.allocs[b]) == 0 { // packing again may have set one
		g.restore(b, rest, released)
	}
	st.refreshAll(released)
	return got
}

// claimReassigned finds room for a claim with which other jobs of the team move to other blocks. All rests of
// the team change, so that the guarantees are packed again, with the claim as one more shape.
func (st *state) claimReassigned(c *candidate, own []int, after []block) room {
	if len(st.guards) == 0 {
		got, _ := st.claimRoom(c, true)
		return got
	}
	g := st.guards[0]
	saved := *g
	g.shapes = slices.Clone(g.shapes)
	for i, o := range own {
		g.shapes[o].Accelerators = after[i].rest
	}
	g.shapes = append(g.shapes, c.Spec.Shape)
	got := roomNone
	if p, ok := g.without(nil); ok {
		g.adopt(p)
		claim := len(g.shapes) - 1
		g.release(claim)
		g.shapes, g.witness.allocs = g.shapes[:claim], g.witness.allocs[:claim]
		st.indexFirm()
		got, _ = st.claimRoom(c, true)
	}
	if got != roomPlaced {
		*g = saved
		st.indexFirm()
	}
	return got
}

// claimRoom finds free units for a claim or preempts a block.
func (st *state) claimRoom(c *candidate, repack bool) (room, []alloc) {
	found, ok := st.choose(useClaim, c.Spec.Shape)
	if !ok {
		found, ok = st.permitByRepacking(c, useClaim)
	}
	if ok {
		st.bind(c, found, useClaim)
		return roomPlaced, found.allocs
	}
	return st.preemptFor(c, useClaim, nil, repack, claimRule(c))
}

func claimRule(c *candidate) string { return "claim on the guarantee of team " + c.Spec.Key.Team }

func (st *state) refreshAll(allocs []alloc) {
	for _, a := range allocs {
		st.refresh(a.worker)
	}
}
