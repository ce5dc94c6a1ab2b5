package routing

import (
	"slices"
	"strings"
	"time"

	"masticcart.example/masticcart/internal/protocol"
)

// Constants of how upstreams and peers are treated after refusals and errors.
const (
	// probeInterval is how often an upstream without a known free slot is tried. Reports come every 2 s only,
	// and another entry's requests may have ended long before the next one.
	probeInterval = 50 * time.Millisecond
	// slowProbeInterval is the same for work that is not urgent at an upstream that others use too.
	slowProbeInterval = 100 * time.Millisecond
	// minBackoff and maxBackoff bound the pause after refusals in a row; it doubles with each.
	minBackoff = 2 * time.Millisecond
	maxBackoff = time.Second
	// errorLimit is the number of dispatches in a row without a usable answer after which an upstream is failing.
	errorLimit = 3
	// failureLimit is the same for complete answers that say "failed". It is higher, since a few bad requests in
	// a row are more likely than a few lost answers.
	failureLimit = 8
	// minCoolDown and maxCoolDown bound how long a failing upstream gets nothing; it doubles with each try. The upper
	// bound is also how long a recovered upstream can stay unused.
	minCoolDown = time.Second
	maxCoolDown = 4 * time.Second
)

// Upstream is one executor as this entry sees it.
type Upstream struct {
	Identity   protocol.Identity
	Limiter    *Limiter
	InFlight   int // of this entry
	Leaving    bool
	LastReport time.Time

	free         int  // as last reported
	shared       bool // whether others held slots then: other entries' requests or durable jobs
	inFlightThen int  // InFlight at that report
	freeAt       time.Time
	sentAt       []time.Time   // of the dispatches that the agent may not have seen when it answered last
	roundTrip    time.Duration // as measured with refusals, which come back at once
	delay        time.Duration
	refusals     int // in a row
	errors       int // in a row
	failures     int // in a row
	notBefore    time.Time
	coolDown     time.Duration
	failingUntil time.Time
}

// FreeSlots estimates the free slots: what was reported, less what was sent and plus what came back since.
func (u *Upstream) FreeSlots() int { return u.free - (u.InFlight - u.inFlightThen) }

func (u *Upstream) setFree(now time.Time, free int) {
	u.free, u.inFlightThen, u.freeAt = free, u.InFlight, now
}

// setAnswered takes the free slots from an answer. Dispatches on their way to the agent when it answered are not
// in its count; without this correction they are refused under load.
func (u *Upstream) setAnswered(now time.Time, free int) {
	u.forgetSeen(now)
	u.shared = u.Identity.Units-free > u.InFlight-len(u.sentAt)
	u.setFree(now, free-len(u.sentAt))
}

func (u *Upstream) forgetSeen(now time.Time) {
	seen := now.Add(-u.roundTrip)
	u.sentAt = slices.DeleteFunc(u.sentAt, func(t time.Time) bool { return !t.After(seen) })
}

// routable reports whether the upstream may get requests at all.
func (u *Upstream) routable(now time.Time) bool {
	return !u.Leaving && now.Sub(u.LastReport) < protocol.RoutableTimeout && !now.Before(u.failingUntil)
}

// demand is what a request needs of an upstream.
type demand struct {
	urgent    bool
	knownFree bool // only a slot that was reported free will do
}

// roomAt returns the earliest time at which one more request may be sent, or the zero time if that depends on
// an answer or a report. The last slot of a shared upstream is left to urgent requests: agents keep no queue,
// so the entry whose request ends would otherwise fill the slot again with work of any class, and an urgent
// request at another entry would find none.
func (u *Upstream) roomAt(now time.Time, d demand) time.Time {
	if u.InFlight >= u.Limiter.Limit() {
		return time.Time{}
	}
	// After a run of errors one request at a time tells whether the upstream has recovered.
	if u.errors >= errorLimit && u.InFlight > 0 {
		return time.Time{}
	}
	at := now
	if u.notBefore.After(at) {
		at = u.notBefore
	}
	kept, interval := 0, probeInterval
	if u.shared && !d.urgent {
		kept, interval = 1, slowProbeInterval
	}
	if u.FreeSlots() > kept {
		return at
	}
	if d.knownFree {
		return time.Time{}
	}
	if probe := u.freeAt.Add(interval); probe.After(at) {
		at = probe
	}
	return at
}

func (u *Upstream) hasRoom(now time.Time, d demand) bool {
	at := u.roomAt(now, d)
	return !at.IsZero() && !at.After(now)
}

// onSent counts a request in flight.
func (u *Upstream) onSent(now time.Time) {
	u.InFlight++
	u.forgetSeen(now)
	u.sentAt = append(u.sentAt, now)
	if u.FreeSlots() < 0 {
		u.setFree(now, 0) // a probe: the next one waits for probeInterval
	}
}

// onAnswered records a complete answer.
func (u *Upstream) onAnswered(now time.Time, failed bool) {
	u.refusals, u.errors = 0, 0
	if !failed {
		u.failures, u.coolDown = 0, 0
		return
	}
	if u.failures++; u.failures >= failureLimit {
		u.startCoolDown(now)
	}
}

// onRefused records a refusal and how long it took to come back.
func (u *Upstream) onRefused(now time.Time, took time.Duration) {
	if u.roundTrip == 0 {
		u.roundTrip = took
	}
	u.roundTrip += (took - u.roundTrip) / 8
	u.setFree(now, 0)
	u.shared = u.InFlight < u.Identity.Units
	u.notBefore = now.Add(backoffFor(u.refusals))
	u.refusals++
	if !u.Leaving {
		u.Limiter.OnRefusal(now)
	}
}

func (u *Upstream) onError(now time.Time) {
	if u.errors++; u.errors >= errorLimit {
		u.startCoolDown(now)
	}
}

func (u *Upstream) startCoolDown(now time.Time) {
	if now.Before(u.failingUntil) {
		return // answers to requests sent before it was found failing
	}
	u.coolDown = min(max(2*u.coolDown, minCoolDown), maxCoolDown)
	u.failingUntil = now.Add(u.coolDown)
}

// backoffFor returns the pause after n earlier refusals in a row.
func backoffFor(n int) time.Duration { return min(minBackoff<<min(n, 10), maxBackoff) }

// Peer is another entry, to which requests can be forwarded.
type Peer struct {
	ID         string
	Region     string
	Cell       string
	Leaving    bool
	LastReport time.Time

	loads        map[string]protocol.ServiceLoad
	inFlight     map[string]int // of this entry, by service
	inFlightThen map[string]int // at the last report
	errors       int
	notBefore    time.Time
}

func (p *Peer) usable(now time.Time) bool {
	return !p.Leaving && now.Sub(p.LastReport) < protocol.PeerTimeout && !now.Before(p.notBefore)
}

// free estimates the slots that the peer could still give this entry.
func (p *Peer) free(service string) int {
	return p.loads[service].Free - (p.inFlight[service] - p.inFlightThen[service])
}

// onNotServed starts a pause after a refusal or an error, so that a peer whose gossip is behind gets no flood.
func (p *Peer) onNotServed(now time.Time) {
	p.notBefore = now.Add(backoffFor(p.errors + 3))
	p.errors++
}

// ClusterView is all that the choice depends on. Only the router's goroutine changes it.
type ClusterView struct {
	Region string
	Cell   string
	// CrossCellRTT and RegionDelay are the round trips to another data centre of the region and to another region.
	CrossCellRTT   time.Duration
	CrossRegionRTT time.Duration

	upstreams map[string][]*Upstream // by service, sorted by agent id
	peers     []*Peer                // sorted by id
	kinds     kinds
}

// NewClusterView returns the view of an entry that knows nobody yet.
func NewClusterView(region, cell string) *ClusterView {
	return &ClusterView{
		Region: region, Cell: cell, CrossCellRTT: DefaultCrossCellRTT, CrossRegionRTT: DefaultCrossRegionRTT,
		upstreams: map[string][]*Upstream{}, kinds: kinds{},
	}
}

func (v *ClusterView) find(id string) *Upstream {
	for _, us := range v.upstreams {
		if i, ok := search(us, id); ok {
			return us[i]
		}
	}
	return nil
}

func search(us []*Upstream, id string) (int, bool) {
	return slices.BinarySearchFunc(us, id, func(u *Upstream, id string) int { return strings.Compare(u.Identity.Agent, id) })
}

// updateUpstream records a report. A new incarnation starts from nothing; within one, leaving is final.
func (v *ClusterView) updateUpstream(now time.Time, id protocol.Identity, free int, delay time.Duration, leaving bool) {
	if id.Kind != protocol.KindExecutor {
		return
	}
	u := v.find(id.Agent)
	if u == nil || u.Identity != id {
		v.removeUpstream(id.Agent)
		u = &Upstream{Identity: id, Limiter: NewLimiter(id.Units)}
		us := v.upstreams[id.Service]
		i, _ := search(us, id.Agent)
		v.upstreams[id.Service] = slices.Insert(us, i, u)
	}
	u.LastReport = now
	u.Leaving = u.Leaving || leaving
	u.delay = delay
	u.shared = id.Units-free > u.InFlight
	u.setFree(now, free)
	u.Limiter.OnQueueDelay(now, delay)
}

func (v *ClusterView) removeUpstream(id string) {
	for service, us := range v.upstreams {
		if i, ok := search(us, id); ok {
			if us = slices.Delete(us, i, i+1); len(us) == 0 {
				delete(v.upstreams, service)
			} else {
				v.upstreams[service] = us
			}
		}
	}
}

func (v *ClusterView) findPeer(id string) (int, bool) {
	return slices.BinarySearchFunc(v.peers, id, func(p *Peer, id string) int { return strings.Compare(p.ID, id) })
}

func (v *ClusterView) updatePeer(now time.Time, g protocol.GossipArgs) {
	i, ok := v.findPeer(g.Entry)
	if !ok {
		v.peers = slices.Insert(v.peers, i, &Peer{ID: g.Entry, inFlight: map[string]int{}})
	}
	p := v.peers[i]
	p.Region, p.Cell, p.Leaving, p.LastReport = g.Region, g.Cell, g.Leaving, now
	p.loads, p.inFlightThen = map[string]protocol.ServiceLoad{}, map[string]int{}
	for _, l := range g.Loads {
		p.loads[l.Service] = l
		p.inFlightThen[l.Service] = p.inFlight[l.Service]
	}
}

func (v *ClusterView) removePeer(id string) {
	if i, ok := v.findPeer(id); ok {
		v.peers = slices.Delete(v.peers, i, i+1)
	}
}

// localWait estimates how long a request with this many ahead of it waits for a slot. Known is false when no
// upstream here can serve it.
func (v *ClusterView) localWait(service string, ahead int, now time.Time) (wait time.Duration, known bool) {
	var rate float64 // requests per second
	for _, u := range v.upstreams[service] {
		if u.routable(now) {
			rate += u.Limiter.limit / answerTime(u).Seconds()
		}
	}
	if rate == 0 {
		return 0, false
	}
	return time.Duration(float64(ahead+1) / rate * float64(time.Second)), true
}

// answerTime returns the measured answer time of an upstream, or a guess for a new one.
func answerTime(u *Upstream) time.Duration {
	if t := u.Limiter.ResponseTime(); t > 0 {
		return t
	}
	return guessedAnswerTime
}

// loads summarizes the local executors for gossip. Requests that wait here come first, so they are taken off.
func (v *ClusterView) loads(now time.Time, waiting func(service string) int) []protocol.ServiceLoad {
	var out []protocol.ServiceLoad
	for service, us := range v.upstreams {
		l := protocol.ServiceLoad{Service: service}
		for _, u := range us {
			if u.routable(now) {
				l.Free += max(0, min(u.FreeSlots(), u.Limiter.Limit()-u.InFlight))
			}
		}
		ahead := waiting(service)
		if l.Free = max(0, l.Free-ahead); l.Free == 0 {
			l.QueueDelay, _ = v.localWait(service, ahead, now)
		}
		out = append(out, l)
	}
	slices.SortFunc(out, func(a, b protocol.ServiceLoad) int { return strings.Compare(a.Service, b.Service) })
	return out
}
