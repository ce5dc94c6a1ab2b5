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
	// sharedProbeInterval is the same for work that is not urgent at an upstream that others use too.
	sharedProbeInterval = 100 * time.Millisecond
	// minBackoff and maxBackoff bound the pause after refusals in a row; it doubles with each.
	minBackoff = 2 * time.Millisecond
	maxBackoff = time.Second
	// errorThreshold is the number of dispatches in a row without a usable answer after which an upstream is failing.
	errorThreshold = 3
	// failureThreshold is the same for complete answers that say "failed". It is higher, since a few bad requests in
	// a row are more likely than a few lost answers.
	failureThreshold = 8
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

	lastFree            int  // as last reported
	usedByOthers        bool // whether others held slots then: other entries' requests or durable jobs
	inFlightAtUpdate    int  // InFlight at that report
	freeUpdatedAt       time.Time
	unseenSends         []time.Time   // of the dispatches that the agent may not have seen when it answered last
	rtt                 time.Duration // as measured with refusals, which come back at once
	queueDelay          time.Duration
	consecutiveRefusals int // in a row
	consecutiveErrors   int // in a row
	consecutiveFailures int // in a row
	backoffUntil        time.Time
	coolDown            time.Duration
	coolDownUntil       time.Time
}

// FreeSlots estimates the free slots: what was reported, less what was sent and plus what came back since.
func (u *Upstream) FreeSlots() int { return u.lastFree - (u.InFlight - u.inFlightAtUpdate) }

func (u *Upstream) setFree(now time.Time, free int) {
	u.lastFree, u.inFlightAtUpdate, u.freeUpdatedAt = free, u.InFlight, now
}

// setFreeFromReply takes the free slots from an answer. Dispatches on their way to the agent when it answered are not
// in its count; without this correction they are refused under load.
func (u *Upstream) setFreeFromReply(now time.Time, free int) {
	u.pruneUnseenSends(now)
	u.usedByOthers = u.Identity.Units-free > u.InFlight-len(u.unseenSends)
	u.setFree(now, free-len(u.unseenSends))
}

func (u *Upstream) pruneUnseenSends(now time.Time) {
	seen := now.Add(-u.rtt)
	u.unseenSends = slices.DeleteFunc(u.unseenSends, func(t time.Time) bool { return !t.After(seen) })
}

// routable reports whether the upstream may get requests at all.
func (u *Upstream) routable(now time.Time) bool {
	return !u.Leaving && now.Sub(u.LastReport) < protocol.RoutableTimeout && !now.Before(u.coolDownUntil)
}

// slotRequirement is what a request needs of an upstream.
type slotRequirement struct {
	urgent           bool
	reportedFreeOnly bool // only a slot that was reported free will do
}

// nextSendTime returns the earliest time at which one more request may be sent, or the zero time if that depends on
// an answer or a report. The last slot of a shared upstream is left to urgent requests: agents keep no queue,
// so the entry whose request ends would otherwise fill the slot again with work of any class, and an urgent
// request at another entry would find none.
func (u *Upstream) nextSendTime(now time.Time, d slotRequirement) time.Time {
	if u.InFlight >= u.Limiter.Limit() {
		return time.Time{}
	}
	// After a run of errors one request at a time tells whether the upstream has recovered.
	if u.consecutiveErrors >= errorThreshold && u.InFlight > 0 {
		return time.Time{}
	}
	at := now
	if u.backoffUntil.After(at) {
		at = u.backoffUntil
	}
	kept, interval := 0, probeInterval
	if u.usedByOthers && !d.urgent {
		kept, interval = 1, sharedProbeInterval
	}
	if u.FreeSlots() > kept {
		return at
	}
	if d.reportedFreeOnly {
		return time.Time{}
	}
	if probe := u.freeUpdatedAt.Add(interval); probe.After(at) {
		at = probe
	}
	return at
}

func (u *Upstream) canSend(now time.Time, d slotRequirement) bool {
	at := u.nextSendTime(now, d)
	return !at.IsZero() && !at.After(now)
}

// onDispatched counts a request in flight.
func (u *Upstream) onDispatched(now time.Time) {
	u.InFlight++
	u.pruneUnseenSends(now)
	u.unseenSends = append(u.unseenSends, now)
	if u.FreeSlots() < 0 {
		u.setFree(now, 0) // a probe: the next one waits for probeInterval
	}
}

// onCompleted records a complete answer.
func (u *Upstream) onCompleted(now time.Time, failed bool) {
	u.consecutiveRefusals, u.consecutiveErrors = 0, 0
	if !failed {
		u.consecutiveFailures, u.coolDown = 0, 0
		return
	}
	if u.consecutiveFailures++; u.consecutiveFailures >= failureThreshold {
		u.startCoolDown(now)
	}
}

// onRefused records a refusal and how long it took to come back.
func (u *Upstream) onRefused(now time.Time, took time.Duration) {
	if u.rtt == 0 {
		u.rtt = took
	}
	u.rtt += (took - u.rtt) / 8
	u.setFree(now, 0)
	u.usedByOthers = u.InFlight < u.Identity.Units
	u.backoffUntil = now.Add(backoffFor(u.consecutiveRefusals))
	u.consecutiveRefusals++
	if !u.Leaving {
		u.Limiter.OnRefusal(now)
	}
}

func (u *Upstream) onError(now time.Time) {
	if u.consecutiveErrors++; u.consecutiveErrors >= errorThreshold {
		u.startCoolDown(now)
	}
}

func (u *Upstream) startCoolDown(now time.Time) {
	if now.Before(u.coolDownUntil) {
		return // answers to requests sent before it was found failing
	}
	u.coolDown = min(max(2*u.coolDown, minCoolDown), maxCoolDown)
	u.coolDownUntil = now.Add(u.coolDown)
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

	loads             map[string]protocol.ServiceLoad
	inFlight          map[string]int // of this entry, by service
	inFlightAtReport  map[string]int // at the last report
	consecutiveErrors int
	backoffUntil      time.Time
}

func (p *Peer) usable(now time.Time) bool {
	return !p.Leaving && now.Sub(p.LastReport) < protocol.PeerTimeout && !now.Before(p.backoffUntil)
}

// freeSlots estimates the slots that the peer could still give this entry.
func (p *Peer) freeSlots(service string) int {
	return p.loads[service].Free - (p.inFlight[service] - p.inFlightAtReport[service])
}

// onFailure starts a pause after a refusal or an error, so that a peer whose gossip is behind gets no flood.
func (p *Peer) onFailure(now time.Time) {
	p.backoffUntil = now.Add(backoffFor(p.consecutiveErrors + 3))
	p.consecutiveErrors++
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
	kinds     kindStatsMap
}

// NewClusterView returns the view of an entry that knows nobody yet.
func NewClusterView(region, cell string) *ClusterView {
	return &ClusterView{
		Region: region, Cell: cell, CrossCellRTT: DefaultCrossCellRTT, CrossRegionRTT: DefaultCrossRegionRTT,
		upstreams: map[string][]*Upstream{}, kinds: kindStatsMap{},
	}
}

func (v *ClusterView) findUpstream(id string) *Upstream {
	for _, us := range v.upstreams {
		if i, ok := searchUpstreams(us, id); ok {
			return us[i]
		}
	}
	return nil
}

func searchUpstreams(us []*Upstream, id string) (int, bool) {
	return slices.BinarySearchFunc(us, id, func(u *Upstream, id string) int { return strings.Compare(u.Identity.Agent, id) })
}

// updateUpstream records a report. A new incarnation starts from nothing; within one, leaving is final.
func (v *ClusterView) updateUpstream(now time.Time, id protocol.Identity, free int, delay time.Duration, leaving bool) {
	if id.Kind != protocol.KindExecutor {
		return
	}
	u := v.findUpstream(id.Agent)
	if u == nil || u.Identity != id {
		v.removeUpstream(id.Agent)
		u = &Upstream{Identity: id, Limiter: NewLimiter(id.Units)}
		us := v.upstreams[id.Service]
		i, _ := searchUpstreams(us, id.Agent)
		v.upstreams[id.Service] = slices.Insert(us, i, u)
	}
	u.LastReport = now
	u.Leaving = u.Leaving || leaving
	u.queueDelay = delay
	u.usedByOthers = id.Units-free > u.InFlight
	u.setFree(now, free)
	u.Limiter.OnQueueDelay(now, delay)
}

func (v *ClusterView) removeUpstream(id string) {
	for service, us := range v.upstreams {
		if i, ok := searchUpstreams(us, id); ok {
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
	p.loads, p.inFlightAtReport = map[string]protocol.ServiceLoad{}, map[string]int{}
	for _, l := range g.Loads {
		p.loads[l.Service] = l
		p.inFlightAtReport[l.Service] = p.inFlight[l.Service]
	}
}

func (v *ClusterView) removePeer(id string) {
	if i, ok := v.findPeer(id); ok {
		v.peers = slices.Delete(v.peers, i, i+1)
	}
}

// estimateLocalWait estimates how long a request with this many ahead of it waits for a slot. Known is false when no
// upstream here can serve it.
func (v *ClusterView) estimateLocalWait(service string, ahead int, now time.Time) (wait time.Duration, known bool) {
	var rate float64 // requests per second
	for _, u := range v.upstreams[service] {
		if u.routable(now) {
			rate += u.Limiter.limit / expectedResponseTime(u).Seconds()
		}
	}
	if rate == 0 {
		return 0, false
	}
	return time.Duration(float64(ahead+1) / rate * float64(time.Second)), true
}

// expectedResponseTime returns the measured answer time of an upstream, or a guess for a new one.
func expectedResponseTime(u *Upstream) time.Duration {
	if t := u.Limiter.ResponseTime(); t > 0 {
		return t
	}
	return defaultResponseTime
}

// serviceLoads summarizes the local executors for gossip. Requests that wait here come first, so they are taken off.
func (v *ClusterView) serviceLoads(now time.Time, waiting func(service string) int) []protocol.ServiceLoad {
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
			l.QueueDelay, _ = v.estimateLocalWait(service, ahead, now)
		}
		out = append(out, l)
	}
	slices.SortFunc(out, func(a, b protocol.ServiceLoad) int { return strings.Compare(a.Service, b.Service) })
	return out
}
