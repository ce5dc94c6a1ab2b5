package scheduler

import (
	"slices"
	"time"

	"k8s.io/klog/v2"

	"masticcart.example/masticcart/internal/batch"
	"masticcart.example/masticcart/internal/scheduler/speed"
)

// Preference of workers by speed. It addresses fleets in which some workers are known to be slow: work with a tight aim
// goes to workers on which it makes the aim, work with slack to slow and unknown ones, so that the fast ones stay free
// and the speed of the unknown ones is learned. Where no worker is known to be slow there is no preference.

// speedTier ranks the workers for a unit, the preferred ones first.
type speedTier int

const (
	tierSlow    speedTier = iota // slow, and the unit makes its aim there
	tierUnknown                  // of unknown speed, and the unit very probably makes its aim
	tierFast                     // the unit probably makes its aim
	tierRisky                    // the unit may miss its aim
	tierMissed                   // the unit probably misses its aim
)

const (
	// safeRisk is the highest probability of missing the aim on a worker with which the worker may be preferred because
	// it is slow or unknown. lowRisk and highRisk limit tierFast and tierRisky.
	safeRisk = 0.1
	lowRisk  = 0.25
	highRisk = 0.6
	// durationMargin is the factor by which tasks of a step take longer than the expected ones; they differ by 15 to 30
	// %.
	durationMargin = 1.15
)

// speedPreference ranks the workers of a service for a unit.
type speedPreference struct {
	tracker *speed.Tracker
	// maxFactor is the relative duration up to which a worker is fast enough. Zero means that the unit cannot be in
	// time anywhere, so that the fastest workers come first.
	maxFactor float64
	gang      bool
}

// speedPreference returns the preference of a unit, or nil if there is none.
func (p *planner) speedPreference(u unit) *speedPreference {
	s := u.step
	expected := p.core.expectedDuration(s)
	if u.suspect || u.isolated || expected <= 0 || s.spec.LongRunning {
		return nil
	}
	tracker := p.core.speeds(u.queue.Service)
	if !tracker.HasSlow() {
		return nil
	}
	pref := &speedPreference{tracker: tracker, gang: s.spec.Gang}
	slack := u.latestStart - p.now
	if pref.maxFactor = maxFactor(expected, slack); pref.maxFactor >= tracker.Fastest() {
		return pref
	}
	if u.queue.Priority == 0 {
		pref.maxFactor = 0
		return pref
	}
	slack += time.Duration(float64(p.core.objective(s.job())) * (batch.LateFactor - 1))
	pref.maxFactor = max(maxFactor(expected, slack), tracker.Fastest())
	return pref
}

// maxFactor returns the relative duration of a worker up to which work of an expected duration fits into its time with
// the given slack.
func maxFactor(expected, slack time.Duration) float64 {
	return float64(expected+slack) / float64(expected) / durationMargin
}

// tier returns the rank of a worker.
func (p *speedPreference) tier(node string) speedTier {
	class := p.tracker.Class(node)
	if p.maxFactor == 0 {
		switch class {
		case speed.Slow:
			return tierMissed
		case speed.Unknown:
			return tierRisky
		}
		return tierFast
	}
	risk := p.tracker.SlowProbability(node, p.maxFactor)
	if p.gang { // several workers have to be fast enough; the gang fills some of them with more than one task
		risk = 1 - (1-risk)*(1-risk)
	}
	switch {
	case risk > highRisk:
		return tierMissed
	case risk > lowRisk:
		return tierRisky
	case risk <= safeRisk && class == speed.Slow:
		return tierSlow
	case risk <= safeRisk && class == speed.Unknown:
		return tierUnknown
	}
	return tierFast
}

// packPreferred returns the workers for n tasks by pack, or by packInRack, with the preferred workers if the tasks fit
// there. A gang is as slow as its slowest worker, so that slow workers are not mixed with fast ones if that can be
// avoided.
func packPreferred(cs []candidate, need batch.Resources, n int, oneRack bool) []string {
	place := pack
	if oneRack {
		place = packInRack
	}
	if n > 1 && slices.ContainsFunc(cs, func(c candidate) bool { return c.tier != cs[0].tier }) {
		for _, tiers := range [...][2]speedTier{
			{tierSlow, tierSlow}, {tierSlow, tierUnknown}, {tierFast, tierFast}, {tierSlow, tierFast}, {tierSlow, tierRisky},
		} {
			within := slices.DeleteFunc(slices.Clone(cs), func(c candidate) bool {
				return c.avoided || c.tier < tiers[0] || c.tier > tiers[1]
			})
			if len(within) == len(cs) {
				break
			}
			if nodes := place(within, need, n); nodes != nil {
				return nodes
			}
		}
	}
	return place(cs, need, n)
}

// fasterWait is how long an urgent unit waits for capacity on faster workers that preemption frees. Stopping tasks
// takes about 0.2 s and recording the assignment less; within a guarantee the unit has to start after 2.7 s.
const fasterWait = 500 * time.Millisecond

// fastEnough returns the groups without the workers on which the unit probably misses its aim, and whether there are
// any.
func fastEnough(groups [][]candidate) (faster [][]candidate, differ bool) {
	for _, g := range groups {
		f := slices.DeleteFunc(slices.Clone(g), func(c candidate) bool { return c.tier == tierMissed })
		differ = differ || len(f) < len(g)
		faster = append(faster, f)
	}
	return faster, differ
}

// waitsForFaster reports whether an urgent unit that could start on the given workers waits instead for capacity on
// faster ones, which preemption frees, since it would miss its aim otherwise. That happens once for each step.
func (p *planner) waitsForFaster(u unit, nodes []string) bool {
	s := u.step
	if u.queue.Priority != 0 {
		return false
	}
	preference := p.speedPreference(u)
	if preference == nil || preference.maxFactor == 0 ||
		!slices.ContainsFunc(nodes, func(n string) bool { return preference.tier(n) == tierMissed }) {
		return false
	}
	if s.fasterUntil != 0 {
		return p.now < s.fasterUntil && p.core.claims[s] != nil
	}
	slack := u.latestStart - p.now - fasterWait
	if maxFactor(p.core.expectedDuration(s), slack) < preference.tracker.Fastest() {
		return false
	}
	n, need := len(u.tasks), s.spec.Reserved()
	faster, _ := fastEnough(p.workerGroups(u, n))
	e := p.bestEviction(u, faster, need, n)
	if e == nil || len(e.nodes) < n || e.cost > p.maxLoss(u, n) {
		return false
	}
	klog.InfoS("Preempting on faster workers", "job", s.job().ID, "step", s.index, "tasks", n, "nodes", e.nodes,
		"victims", len(e.victims), "cost", e.cost, "instead", nodes, "maxFactor", preference.maxFactor)
	s.fasterUntil = p.now + fasterWait
	p.stopVictims(e.victims, s.job())
	p.core.addClaim(s, &claim{expires: s.fasterUntil, nodes: e.nodes, need: need})
	return true
}
