package routing

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"masticcart.example/masticcart/internal/model"
	"masticcart.example/masticcart/internal/protocol"
)

// Defaults of the delays between data centres, from the latencies that the first users state.
const (
	DefaultCrossCellRTT   = 3 * time.Millisecond
	DefaultCrossRegionRTT = 20 * time.Millisecond
	// guessedAnswerTime stands in for the answer time of an upstream that has not answered yet.
	guessedAnswerTime = 50 * time.Millisecond
)

// Action says what happens to a request now.
type Action string

// The actions of a decision.
const (
	ActionDispatch Action = "dispatch" // to an upstream of this region
	ActionForward  Action = "forward"  // to another entry
	ActionWait     Action = "wait"     // someone could serve it, but has no room
	ActionNone     Action = "none"     // nobody known could serve it
)

// SelectionInput is what the choice needs to know about the request besides its content and rule.
type SelectionInput struct {
	QueuedAhead   int      // requests of the service that are served first
	Excluded      []string // upstreams and peers that are not asked again
	PriorAttempts int      // number of earlier attempts; varies the random choice
	CanForward    bool     // false for a request that was forwarded already
	// ReportedFreeOnly allows only upstreams with a slot that was reported free. It is set for resends after a refusal
	// that the retry budget does not cover.
	ReportedFreeOnly bool
	// RemoteOnly skips the local upstreams, when they are known to have no room.
	RemoteOnly bool
}

// Decision is the choice with the figures that decided it.
type Decision struct {
	Action Action
	Target string // agent or entry id
	Reason string

	Candidates   int // upstreams with room
	InFlight     int
	Limit        int
	Free         int
	ResponseTime time.Duration
	// LocalWait and RemoteWait are the estimated waits; Price is what the saving had to exceed.
	LocalWait  time.Duration
	RemoteWait time.Duration
	Price      time.Duration
	Kilobytes  float64
}

// SelectTarget picks where a request goes: an upstream of this data centre with room, else one of the region, else
// another region when the wait saved is worth the traffic, else nowhere yet. It changes nothing.
func SelectTarget(v *ClusterView, r *model.Request, rule model.Rule, a SelectionInput, now time.Time) Decision {
	seed := xxhash.Sum64String(r.Key.Team + "/" + r.Key.ID)
	seed = seed*0x9E3779B97F4A7C15 + uint64(a.PriorAttempts)*0xBF58476D1CE4E5B9
	usable := false
	if !a.RemoteOnly {
		for _, sameCell := range []bool{true, false} {
			room, any := localCandidates(v, r.Service, rule.Class, a, sameCell, now)
			usable = usable || any
			if len(room) > 0 {
				return chosen(pick(room, seed), len(room))
			}
		}
	}
	d := Decision{Action: ActionWait, Reason: "no room at any upstream"}
	if a.CanForward {
		usable = chooseRemote(v, r, rule, a, now, seed, &d) || usable
	}
	if d.Action == ActionWait && !usable && !a.RemoteOnly {
		d.Action, d.Reason = ActionNone, "no upstream can serve it"
	}
	return d
}

func chosen(u *Upstream, candidates int) Decision {
	return Decision{
		Action: ActionDispatch, Target: u.Identity.Agent, Reason: "local room", Candidates: candidates,
		InFlight: u.InFlight, Limit: u.Limiter.Limit(), Free: u.FreeSlots(), ResponseTime: u.Limiter.ResponseTime(),
	}
}

// localCandidates returns the upstreams with room, and whether any could serve the request at all.
func localCandidates(v *ClusterView, service string, class model.Class, a SelectionInput, sameCell bool, now time.Time) (room []*Upstream, usable bool) {
	all := v.upstreams[service]
	spare := failingCap(all, now)
	d := demand{urgent: class.Rank() == 0, knownFree: a.ReportedFreeOnly}
	for _, u := range all {
		if (u.Identity.Cell == v.Cell) != sameCell || slices.Contains(a.Excluded, u.Identity.Agent) {
			continue
		}
		if !u.routable(now) && (!spare || !u.failsAnswersOnly(now)) {
			continue
		}
		usable = true
		if u.hasRoom(now, d) {
			room = append(room, u)
		}
	}
	return room, usable
}

// failsAnswersOnly reports whether the only reason against the upstream is that its answers say "failed".
func (u *Upstream) failsAnswersOnly(now time.Time) bool {
	if u.errors >= errorLimit || u.failures < failureLimit || !now.Before(u.failingUntil) {
		return false
	}
	without := *u
	without.failingUntil = time.Time{}
	return without.routable(now)
}

// failingCap reports whether more than half of the upstreams answer "failed". Then the requests are more likely
// at fault than the upstreams, and excluding them would stop the service.
func failingCap(all []*Upstream, now time.Time) bool {
	n := 0
	for _, u := range all {
		if u.failsAnswersOnly(now) {
			n++
		}
	}
	return 2*n > len(all)
}

// pick takes the better of two random candidates. Entries that choose the best of all would send their requests
// to the same upstream until the next report.
func pick(room []*Upstream, seed uint64) *Upstream {
	n := uint64(len(room))
	i := (seed >> 32) % n
	if n == 1 {
		return room[i]
	}
	j := (seed & 0xFFFFFFFF) % (n - 1)
	if j >= i {
		j++
	}
	a, b := room[i], room[j]
	if score(b) < score(a) {
		return b
	}
	return a
}

// score is the share of the limit in use, weighed by the answer time. Lower is better.
func score(u *Upstream) float64 {
	return float64(u.InFlight+1) / u.Limiter.limit * answerTime(u).Seconds()
}

// chooseRemote fills the decision if a peer is worth it, and reports whether any peer could serve the request.
func chooseRemote(v *ClusterView, r *model.Request, rule model.Rule, a SelectionInput, now time.Time, seed uint64, d *Decision) bool {
	wait, known := v.localWait(r.Service, a.QueuedAhead, now)
	if !known {
		wait = r.Timeout
	}
	d.LocalWait = wait
	usable := false
	for _, sameRegion := range []bool{true, false} {
		if !sameRegion && rule.CrossRegionPrice < 0 {
			break
		}
		best, any := bestPeer(v, r.Service, a.Excluded, sameRegion, known, now, seed)
		usable = usable || any
		if best == nil {
			continue
		}
		d.RemoteWait, d.Price, d.Kilobytes = v.CrossCellRTT, 0, 0
		if !sameRegion {
			d.RemoteWait = v.CrossRegionRTT
			d.Kilobytes = (float64(len(r.Payload)) + v.kinds.answerBytes(r.Kind)) / 1024
			d.Price = time.Duration(float64(rule.CrossRegionPrice) * d.Kilobytes)
		}
		if wait-d.RemoteWait > d.Price {
			d.Action, d.Target, d.Free = ActionForward, best.ID, best.free(r.Service)
			d.Reason = "wait saved elsewhere in the region"
			if !sameRegion {
				d.Reason = "wait saved exceeds the price of the region"
			}
			return true
		}
		d.Reason = "wait saved elsewhere is not worth its price"
	}
	return usable
}

// bestPeer returns the peer with the most free slots. Peers of the same data centre share the upstreams, so they
// help only when this entry has none of its own.
func bestPeer(v *ClusterView, service string, tried []string, sameRegion, hasLocal bool, now time.Time, seed uint64) (best *Peer, usable bool) {
	for n := range v.peers {
		p := v.peers[(uint64(n)+seed>>1)%uint64(len(v.peers))]
		shared := p.Cell == v.Cell && p.Region == v.Region
		if (p.Region == v.Region) != sameRegion || shared && hasLocal || !p.usable(now) || slices.Contains(tried, p.ID) {
			continue
		}
		if _, serves := p.loads[service]; !serves {
			continue
		}
		usable = true
		if free := p.free(service); free > 0 && (best == nil || free > best.free(service)) {
			best = p
		}
	}
	return best, usable
}

// nextRoom returns when an upstream of the service will have room without any answer or report, or the zero time.
func (v *ClusterView) nextRoom(service string, urgent bool, now time.Time) time.Time {
	var next time.Time
	for _, u := range v.upstreams[service] {
		if u.Leaving || now.Sub(u.LastReport) >= protocol.RoutableTimeout {
			continue
		}
		at := u.roomAt(now, demand{urgent: urgent})
		if !at.IsZero() && u.failingUntil.After(at) {
			at = u.failingUntil
		}
		next = earliest(next, at)
	}
	for _, p := range v.peers {
		if p.notBefore.After(now) {
			next = earliest(next, p.notBefore)
		}
	}
	return next
}
