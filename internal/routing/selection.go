package routing

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"masticcart.example/masticcart/internal/model"
	"masticcart.example/masticcart/internal/protocol"
)

// Defaults of the figures that selection uses. The round-trip times are to another data centre of the region and to
// another region.
const (
	DefaultCrossCellRTT   = 3 * time.Millisecond
	DefaultCrossRegionRTT = 20 * time.Millisecond
	// defaultResponseTime is assumed for an upstream that has not completed a request yet.
	defaultResponseTime = 50 * time.Millisecond
)

// Action is what to do with a request now.
type Action string

// Values of Decision.Action.
const (
	ActionDispatch Action = "dispatch" // send to an upstream of this region
	ActionForward  Action = "forward"  // send to another entry
	ActionWait     Action = "wait"     // it can be served, but no target has capacity or is worth its price yet
	ActionNone     Action = "none"     // no known target can serve it
)

// SelectionInput is what SelectTarget needs to know about a request besides its content and rule.
type SelectionInput struct {
	QueuedAhead   int      // requests of the service ahead in the queue
	Excluded      []string // ids of upstreams and peers that are not candidates
	PriorAttempts int      // varies the pseudo-random choice
	CanForward    bool     // false for a request that another entry forwarded
	// ReportedFreeOnly limits the candidates to upstreams with a slot that was reported free. It is set for a hedge,
	// and for a resend after a refusal unless the retry budget covers it.
	ReportedFreeOnly bool
	// RemoteOnly skips the local upstreams, when they are known to have no capacity.
	RemoteOnly bool
}

// Decision is the result of SelectTarget with the figures that it is based on.
type Decision struct {
	Action Action
	Target string // agent id for ActionDispatch, entry id for ActionForward
	Reason string // for the log

	Candidates int // number of upstreams with capacity
	// InFlight, Limit, Free and ResponseTime describe the target. For ActionForward only Free is set.
	InFlight     int
	Limit        int
	Free         int
	ResponseTime time.Duration
	// LocalWait is the estimated wait for a local slot and RemoteWait the round trip of forwarding. Forwarding must
	// save more than Price, the cost of sending Kilobytes to another region.
	LocalWait  time.Duration
	RemoteWait time.Duration
	Price      time.Duration
	Kilobytes  float64
}

// SelectTarget decides where to send a request: to an upstream of this data centre with capacity, else to one of the
// region, else to a peer, in another region only if the saved wait is worth the traffic, else nowhere yet. It does not
// modify the view.
func SelectTarget(v *ClusterView, r *model.Request, rule model.Rule, in SelectionInput, now time.Time) Decision {
	// The seed depends only on the request and the attempt, so that the pseudo-random choice can be reproduced.
	seed := xxhash.Sum64String(r.Key.Team + "/" + r.Key.ID)
	seed = seed*0x9E3779B97F4A7C15 + uint64(in.PriorAttempts)*0xBF58476D1CE4E5B9
	usable := false
	if !in.RemoteOnly {
		for _, sameCell := range []bool{true, false} {
			candidates, any := localCandidates(v, r.Service, rule.Class, in, sameCell, now)
			usable = usable || any
			if len(candidates) > 0 {
				return dispatchDecision(pickLessLoaded(candidates, seed), len(candidates))
			}
		}
	}
	d := Decision{Action: ActionWait, Reason: "no upstream has capacity"}
	if in.CanForward {
		usable = selectRemote(v, r, rule, in, now, seed, &d) || usable
	}
	if d.Action == ActionWait && !usable && !in.RemoteOnly {
		d.Action, d.Reason = ActionNone, "no upstream can serve the request"
	}
	return d
}

func dispatchDecision(u *Upstream, candidates int) Decision {
	return Decision{
		Action: ActionDispatch, Target: u.Identity.Agent, Reason: "upstream has capacity", Candidates: candidates,
		InFlight: u.InFlight, Limit: u.Limiter.Limit(), Free: u.FreeSlots(), ResponseTime: u.Limiter.ResponseTime(),
	}
}

// localCandidates returns the upstreams of this data centre, or else of other ones, to which the request may be sent
// now. Usable reports whether any of them could serve it, now or once it has capacity.
func localCandidates(
	v *ClusterView, service string, class model.Class, in SelectionInput, sameCell bool, now time.Time,
) (candidates []*Upstream, usable bool) {
	all := v.upstreams[service]
	allowFailing := majorityFailing(all, now)
	need := slotRequirement{urgent: class.Rank() == 0, reportedFreeOnly: in.ReportedFreeOnly}
	for _, u := range all {
		if (u.Identity.Cell == v.Cell) != sameCell || slices.Contains(in.Excluded, u.Identity.Agent) {
			continue
		}
		if !u.routable(now) && (!allowFailing || !u.excludedByFailuresOnly(now)) {
			continue
		}
		usable = true
		if u.canSend(now, need) {
			candidates = append(candidates, u)
		}
	}
	return candidates, usable
}

// excludedByFailuresOnly reports whether the upstream would be routable but for the cool-down after "failed" outcomes.
func (u *Upstream) excludedByFailuresOnly(now time.Time) bool {
	if u.consecutiveErrors >= errorThreshold || u.consecutiveFailures < failureThreshold || !now.Before(u.coolDownUntil) {
		return false
	}
	withoutCoolDown := *u
	withoutCoolDown.coolDownUntil = time.Time{}
	return withoutCoolDown.routable(now)
}

// majorityFailing reports whether more than half of the upstreams are excluded because of "failed" outcomes. Then the
// requests are more likely at fault than the upstreams, and excluding the upstreams would stop the service.
func majorityFailing(all []*Upstream, now time.Time) bool {
	n := 0
	for _, u := range all {
		if u.excludedByFailuresOnly(now) {
			n++
		}
	}
	return 2*n > len(all)
}

// pickLessLoaded returns the less loaded of two random candidates. If entries picked the least loaded of all, they
// would all send to the same upstream until its next report.
func pickLessLoaded(candidates []*Upstream, seed uint64) *Upstream {
	n := uint64(len(candidates))
	i := (seed >> 32) % n
	if n == 1 {
		return candidates[i]
	}
	j := (seed & 0xFFFFFFFF) % (n - 1)
	if j >= i {
		j++
	}
	a, b := candidates[i], candidates[j]
	if loadScore(b) < loadScore(a) {
		return b
	}
	return a
}

// loadScore returns the share of the concurrency limit in use after one more request, multiplied by the response time.
// Lower is better.
func loadScore(u *Upstream) float64 {
	return float64(u.InFlight+1) / u.Limiter.limit * expectedResponseTime(u).Seconds()
}

// selectRemote turns d into a forward if a peer saves enough wait, and reports whether any peer could serve the
// request.
func selectRemote(
	v *ClusterView, r *model.Request, rule model.Rule, in SelectionInput, now time.Time, seed uint64, d *Decision,
) bool {
	wait, hasLocal := v.estimateLocalWait(r.Service, in.QueuedAhead, now)
	if !hasLocal {
		wait = r.Timeout
	}
	d.LocalWait = wait
	usable := false
	for _, sameRegion := range []bool{true, false} {
		if !sameRegion && rule.CrossRegionPrice < 0 {
			break
		}
		best, any := bestPeer(v, r.Service, in.Excluded, sameRegion, hasLocal, now, seed)
		usable = usable || any
		if best == nil {
			continue
		}
		d.RemoteWait, d.Price, d.Kilobytes = v.CrossCellRTT, 0, 0
		if !sameRegion {
			d.RemoteWait = v.CrossRegionRTT
			d.Kilobytes = (float64(len(r.Payload)) + v.kinds.replyBytes(r.Kind)) / 1024
			d.Price = time.Duration(float64(rule.CrossRegionPrice) * d.Kilobytes)
		}
		if wait-d.RemoteWait > d.Price {
			d.Action, d.Target, d.Free = ActionForward, best.ID, best.freeSlots(r.Service)
			d.Reason = "forwarding within the region saves wait"
			if !sameRegion {
				d.Reason = "saved wait exceeds the cross-region price"
			}
			return true
		}
		d.Reason = "saved wait does not exceed the price of forwarding"
	}
	return usable
}

// bestPeer returns the peer with the most free slots, or nil if none has any. Usable reports whether any peer serves
// the service. Peers of the same data centre share its upstreams, so they are candidates only if hasLocal is false,
// when this entry has no usable upstream. The seed varies which of equal peers is returned.
func bestPeer(
	v *ClusterView, service string, excluded []string, sameRegion, hasLocal bool, now time.Time, seed uint64,
) (best *Peer, usable bool) {
	for n := range v.peers {
		p := v.peers[(uint64(n)+seed>>1)%uint64(len(v.peers))]
		sameUpstreams := p.Cell == v.Cell && p.Region == v.Region
		if (p.Region == v.Region) != sameRegion || sameUpstreams && hasLocal || !p.usable(now) ||
			slices.Contains(excluded, p.ID) {
			continue
		}
		if _, serves := p.loads[service]; !serves {
			continue
		}
		usable = true
		if free := p.freeSlots(service); free > 0 && (best == nil || free > best.freeSlots(service)) {
			best = p
		}
	}
	return best, usable
}

// nextSendTime returns the earliest time at which an upstream of the service, or a peer after its back-off, may
// accept a request although no reply or report arrives until then. The zero time means never.
func (v *ClusterView) nextSendTime(service string, urgent bool, now time.Time) time.Time {
	var next time.Time
	for _, u := range v.upstreams[service] {
		if u.Leaving || now.Sub(u.LastReport) >= protocol.RoutableTimeout {
			continue
		}
		at := u.nextSendTime(now, slotRequirement{urgent: urgent})
		if !at.IsZero() && u.coolDownUntil.After(at) {
			at = u.coolDownUntil
		}
		next = earliest(next, at)
	}
	for _, p := range v.peers {
		if p.backoffUntil.After(now) {
			next = earliest(next, p.backoffUntil)
		}
	}
	return next
}
