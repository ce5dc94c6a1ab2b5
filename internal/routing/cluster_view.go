package routing

import (
	"slices"
	"strings"
	"time"

	"masticcart.example/masticcart/internal/protocol"
)

// Constants of probing, back-off and exclusion of upstreams and peers after refusals and errors.
const (
	// probeInterval is how often a request is sent to an upstream without a known free slot. Reports arrive only every
	// 2 s, and another entry's requests may end long before the next one.
	probeInterval = 50 * time.Millisecond
	// sharedProbeInterval is the probe interval of non-urgent requests at an upstream that others use too.
	sharedProbeInterval = 100 * time.Millisecond
	// minBackoff and maxBackoff bound the back-off after consecutive refusals, which doubles with each.
	minBackoff = 2 * time.Millisecond
	maxBackoff = time.Second
	// errorThreshold is the number of consecutive dispatches without a usable reply that starts a cool-down.
	errorThreshold = 3
	// failureThreshold is the number of consecutive "failed" outcomes that starts a cool-down. It is higher than
	// errorThreshold, since a few bad requests in a row are more likely than a few lost replies.
	failureThreshold = 8
	// minCoolDown and maxCoolDown bound the cool-down, during which a failing upstream gets no requests. It doubles
	// each time. The upper bound is also how long a recovered upstream can stay unused.
	minCoolDown = time.Second
	maxCoolDown = 4 * time.Second
)

// Upstream is one local executor, whose agent reports to this entry, as the entry sees it.
type Upstream struct {
	Identity   protocol.Identity
	Limiter    *Limiter
	InFlight   int // requests of this entry
	Leaving    bool
	LastReport time.Time

	lastFree            int  // free slots at freeUpdatedAt, from a report, a reply or a refusal
	usedByOthers        bool // other entries' requests or durable jobs held slots at freeUpdatedAt
	inFlightAtUpdate    int  // InFlight at freeUpdatedAt
	freeUpdatedAt       time.Time
	unseenSends         []time.Time   // send times of the dispatches that the last reply may not account for
	rtt                 time.Duration // smoothed, measured with refusals, which agents send immediately
	queueDelay          time.Duration
	consecutiveRefusals int
	consecutiveErrors   int
	consecutiveFailures int // "failed" outcomes
	backoffUntil        time.Time
	coolDown            time.Duration
	coolDownUntil       time.Time
}

// FreeSlots estimates the free slots: the last known number, less the dispatches sent and plus those completed since.
func (u *Upstream) FreeSlots() int { return u.lastFree - (u.InFlight - u.inFlightAtUpdate) }

func (u *Upstream) setFree(now time.Time, free int) {
	u.lastFree, u.inFlightAtUpdate, u.freeUpdatedAt = free, u.InFlight, now
}

// setFreeFromReply updates the free slots from a reply. The agent's count does not include dispatches that were still
// on their way to it, so they are subtracted; without this correction requests are refused under load.
func (u *Upstream) setFreeFromReply(now time.Time, free int) {
	u.pruneUnseenSends(now)
	u.usedByOthers = u.Identity.Units-free > u.InFlight-len(u.unseenSends)
	u.setFree(now, free-len(u.unseenSends))
}

// pruneUnseenSends removes the dispatches that were sent at least one round trip ago: a reply that arrives now accounts
// for them.
func (u *Upstream) pruneUnseenSends(now time.Time) {
	seenUntil := now.Add(-u.rtt)
	u.unseenSends = slices.DeleteFunc(u.unseenSends, func(t time.Time) bool { return !t.After(seenUntil) })
}

// routable reports whether the upstream may get requests: it is not leaving, silent or in a cool-down.
func (u *Upstream) routable(now time.Time) bool {
	return !u.Leaving && now.Sub(u.LastReport) < protocol.RoutableTimeout && !now.Before(u.coolDownUntil)
}

// slotRequirement is the kind of slot that a request needs.
type slotRequirement struct {
	urgent           bool // may use the last slot of an upstream that others use too
	reportedFreeOnly bool // must not probe
}

// nextSendTime returns the earliest time at which one more request may be sent, or the zero time if that depends on a
// reply or a report. The last slot of an upstream that others use too is reserved for urgent requests: agents keep no
// queue, so the entry whose request ends would otherwise fill the slot again with work of any class, and an urgent
// request at another entry would find none.
func (u *Upstream) nextSendTime(now time.Time, need slotRequirement) time.Time {
	if u.InFlight >= u.Limiter.Limit() {
		return time.Time{}
	}
	// After consecutive errors, one request at a time tests whether the upstream has recovered.
	if u.consecutiveErrors >= errorThreshold && u.InFlight > 0 {
		return time.Time{}
	}
	at := now
	if u.backoffUntil.After(at) {
		at = u.backoffUntil
	}
	reserved, interval := 0, probeInterval
	if u.usedByOthers && !need.urgent {
		reserved, interval = 1, sharedProbeInterval
	}
	if u.FreeSlots() > reserved {
		return at
	}
	if need.reportedFreeOnly {
		return time.Time{}
	}
	if probe := u.freeUpdatedAt.Add(interval); probe.After(at) {
		at = probe
	}
	return at
}

func (u *Upstream) canSend(now time.Time, need slotRequirement) bool {
	at := u.nextSendTime(now, need)
	return !at.IsZero() && !at.After(now)
}

// onDispatched records that a request was sent.
func (u *Upstream) onDispatched(now time.Time) {
	u.InFlight++
	u.pruneUnseenSends(now)
	u.unseenSends = append(u.unseenSends, now)
	if u.FreeSlots() < 0 {
		u.setFree(now, 0) // this was a probe; the next one waits for the probe interval
	}
}

// onCompleted records a reply with a done or failed outcome.
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

// onRefused records a refusal and the time from its dispatch to its arrival.
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

// onError records a dispatch without a usable reply.
func (u *Upstream) onError(now time.Time) {
	if u.consecutiveErrors++; u.consecutiveErrors >= errorThreshold {
		u.startCoolDown(now)
	}
}

func (u *Upstream) startCoolDown(now time.Time) {
	if now.Before(u.coolDownUntil) {
		return // a reply to a request that was sent before the cool-down started
	}
	u.coolDown = min(max(2*u.coolDown, minCoolDown), maxCoolDown)
	u.coolDownUntil = now.Add(u.coolDown)
}

// backoffFor returns the back-off after a refusal or an error, given the number of consecutive ones before it.
func backoffFor(n int) time.Duration { return min(minBackoff<<min(n, 10), maxBackoff) }

// Peer is another entry as this entry sees it. Requests can be forwarded to it.
type Peer struct {
	ID         string
	Region     string
	Cell       string
	Leaving    bool
	LastReport time.Time

	loads             map[string]protocol.ServiceLoad
	inFlight          map[string]int // requests forwarded by this entry, by service
	inFlightAtReport  map[string]int // inFlight at the last gossip message
	consecutiveErrors int
	backoffUntil      time.Time
}

// usable reports whether requests may be forwarded to the peer: it is not leaving, silent or in a back-off.
func (p *Peer) usable(now time.Time) bool {
	return !p.Leaving && now.Sub(p.LastReport) < protocol.PeerTimeout && !now.Before(p.backoffUntil)
}

// freeSlots estimates the peer's free slots: those it last reported, less the forwards sent and plus those completed
// since.
func (p *Peer) freeSlots(service string) int {
	return p.loads[service].Free - (p.inFlight[service] - p.inFlightAtReport[service])
}

// onFailure starts a back-off after a refusal or an error, so that a peer whose gossip is out of date is not flooded.
func (p *Peer) onFailure(now time.Time) {
	p.backoffUntil = now.Add(backoffFor(p.consecutiveErrors + 3))
	p.consecutiveErrors++
}

// ClusterView is the state of the upstreams and peers as SelectTarget sees it. Only the router's goroutine modifies it.
type ClusterView struct {
	Region string
	Cell   string
	// CrossCellRTT and CrossRegionRTT are the round-trip times to another data centre of the region and to another
	// region.
	CrossCellRTT   time.Duration
	CrossRegionRTT time.Duration

	upstreams map[string][]*Upstream // local executors by service, sorted by agent id
	peers     []*Peer                // sorted by id
	kinds     kindStatsMap
}

// NewClusterView returns a view without upstreams and peers.
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

// searchUpstreams returns the index of an upstream, or the index at which to insert it and false.
func searchUpstreams(us []*Upstream, id string) (int, bool) {
	return slices.BinarySearchFunc(us, id,
		func(u *Upstream, id string) int { return strings.Compare(u.Identity.Agent, id) })
}

// updateUpstream records a report of an executor's agent. A changed identity, such as a new incarnation, replaces all
// state of the upstream. Within one incarnation, leaving is final.
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

// findPeer returns the index of a peer, or the index at which to insert it and false.
func (v *ClusterView) findPeer(id string) (int, bool) {
	return slices.BinarySearchFunc(v.peers, id, func(p *Peer, id string) int { return strings.Compare(p.ID, id) })
}

// updatePeer records a gossip message.
func (v *ClusterView) updatePeer(now time.Time, g protocol.EntryState) {
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

// estimateLocalWait estimates how long a request waits for a local slot with this many requests ahead of it. Known is
// false when no local upstream can serve it.
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

// expectedResponseTime returns the smoothed response time of an upstream, or a default for a new one.
func expectedResponseTime(u *Upstream) time.Duration {
	if t := u.Limiter.ResponseTime(); t > 0 {
		return t
	}
	return defaultResponseTime
}

// serviceLoads summarizes the local executors for gossip, sorted by service. Requests queued here take the free slots
// first, so they are subtracted.
func (v *ClusterView) serviceLoads(now time.Time, queued func(service string) int) []protocol.ServiceLoad {
	var out []protocol.ServiceLoad
	for service, us := range v.upstreams {
		l := protocol.ServiceLoad{Service: service}
		for _, u := range us {
			if u.routable(now) {
				l.Free += max(0, min(u.FreeSlots(), u.Limiter.Limit()-u.InFlight))
			}
		}
		ahead := queued(service)
		if l.Free = max(0, l.Free-ahead); l.Free == 0 {
			l.QueueDelay, _ = v.estimateLocalWait(service, ahead, now)
		}
		out = append(out, l)
	}
	slices.SortFunc(out, func(a, b protocol.ServiceLoad) int { return strings.Compare(a.Service, b.Service) })
	return out
}
