package routing

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand"
	"slices"
	"time"

	"github.com/uber-go/tally/v4"

	"masticcart.example/masticcart/internal/model"
	"masticcart.example/masticcart/internal/protocol"
)

const (
	// simLatency is the one-way latency between an entry and an agent of its cell.
	simLatency  = 500 * time.Microsecond
	simLoadTime = 15 * time.Second
	simService  = "prism-planner"
)

var simRegions = []string{"riga", "liepaja"}

var simRules = map[string]model.Rule{
	"inspector-check": {Kind: "inspector-check", Class: model.ClassUrgent, CrossRegionPrice: -1},
	"fit":             {Kind: "fit", Class: model.ClassUrgent, Priority: 10, CrossRegionPrice: -1},
	"plan": {
		Kind: "plan", Class: model.ClassNormal, Priority: 20, MaxWait: 300 * time.Millisecond,
		CrossRegionPrice: time.Millisecond,
	},
	"retrace": {Kind: "retrace", Class: model.ClassDeferrable, CrossRegionPrice: -1},
}

type simAgent struct {
	id              protocol.Identity
	slots, running  int
	leaving, silent bool
	down            bool                                                 // dispatches start but end with an error
	refusing        bool                                                 // refuses dispatches although slots are free
	serviceTime     func(kind string) time.Duration                      // random service time of one request
	alterReply      func(*protocol.DispatchReply) (lost, duplicate bool) // optional fault
}

// simEntry is an entry without its Router: the simulation executes the pending calls of the state machine.
type simEntry struct {
	*stateMachine
	id string
}

// simResult is what the caller of one request observed.
type simResult struct {
	req      model.Request
	outcomes []model.Outcome
	took     time.Duration
	started  int // number of dispatches that an agent started
}

// sim runs the state machines of several entries against agents with slots, on a virtual clock.
type sim struct {
	now       time.Time
	events    timerQueue[func()]
	rng       *rand.Rand
	agents    []*simAgent
	entries   []*simEntry
	byKey     map[string]*simResult
	cancelled map[string]bool // ids of cancelled attempts
	results   []*simResult
	errorf    func(format string, args ...any)
}

// newSim returns a simulation whose entries and agents are distributed over the first regions of simRegions.
func newSim(seed int64, regions, entries, agents, slots int, hedge bool, errorf func(string, ...any)) *sim {
	s := &sim{
		now: time.Unix(1e9, 0), rng: rand.New(rand.NewSource(seed)), errorf: errorf,
		byKey: map[string]*simResult{}, cancelled: map[string]bool{},
	}
	for i := range entries {
		id := fmt.Sprintf("entry-%d", i)
		v := NewClusterView(simRegions[i%regions], simRegions[i%regions])
		s.entries = append(s.entries, &simEntry{
			id: id, stateMachine: newStateMachine(id, v, 1000, newMetrics(tally.NoopScope), hedge),
		})
	}
	for i := range agents {
		region := simRegions[i%regions]
		a := &simAgent{slots: slots, id: protocol.Identity{
			Agent: fmt.Sprintf("agent-%02d", i), Kind: protocol.KindExecutor, Service: simService,
			Region: region, Cell: region, Units: slots,
		}}
		a.serviceTime = func(kind string) time.Duration {
			mean := map[string]time.Duration{
				"inspector-check": 40, "fit": 80, "plan": 60, "retrace": 200,
			}[kind] * time.Millisecond
			return time.Duration((0.5 + s.rng.Float64()) * float64(mean))
		}
		s.agents = append(s.agents, a)
		s.heartbeat(a)
	}
	s.gossip()
	return s
}

// after runs f when the virtual clock has advanced by d.
func (s *sim) after(d time.Duration, f func()) { s.events.add(s.now.Add(d), f) }

func (s *sim) heartbeat(a *simAgent) {
	if !a.silent {
		s.report(a)
	}
	s.after(protocol.HeartbeatInterval, func() { s.heartbeat(a) })
}

func (s *sim) report(a *simAgent) {
	for _, e := range s.entries {
		if e.view.Cell != a.id.Cell {
			continue
		}
		e.view.updateUpstream(s.now, a.id, a.slots-a.running, 0, a.leaving)
		e.sendQueued(s.now)
		s.startPendingCalls(e)
	}
}

func (s *sim) gossip() {
	for _, from := range s.entries {
		g := protocol.EntryState{
			Entry: from.id, Region: from.view.Region, Cell: from.view.Cell, Loads: from.serviceLoads(s.now),
		}
		for _, to := range s.entries {
			if to != from {
				to.view.updatePeer(s.now, g)
			}
		}
	}
	s.after(protocol.GossipInterval, s.gossip)
}

// run advances the clock to the given time. It calls tick of each state machine when that is due.
func (s *sim) run(until time.Time) {
	for {
		at := s.events.nextTime()
		for _, e := range s.entries {
			at = earliest(at, e.nextTick())
		}
		if at.IsZero() || at.After(until) {
			s.now = until
			return
		}
		if at.After(s.now) {
			s.now = at
		}
		for _, e := range s.entries {
			if next := e.nextTick(); !next.IsZero() && !next.After(s.now) {
				e.tick(s.now)
				s.startPendingCalls(e)
			}
		}
		for f, due := s.events.popDue(s.now); due; f, due = s.events.popDue(s.now) {
			f()
		}
	}
}

// submit submits a request at an entry and records its outcome. Cancel cancels it on behalf of the caller.
func (s *sim) submit(e *simEntry, kind string, timeout time.Duration) (cancel func()) {
	key := model.JobKey{Team: "t", ID: fmt.Sprintf("r%d", len(s.results))}
	r := &simResult{req: model.Request{Key: key, Kind: kind, Service: simService, Timeout: timeout}}
	s.results, s.byKey[key.ID] = append(s.results, r), r
	arrived := s.now
	id := e.submit(s.now, r.req, simRules[kind], false, func(o model.Outcome) {
		r.outcomes, r.took = append(r.outcomes, o), s.now.Sub(arrived)
	})
	s.startPendingCalls(e)
	return func() { e.cancel(s.now, id); s.startPendingCalls(e) }
}

func (s *sim) startPendingCalls(e *simEntry) {
	for _, id := range e.pendingCancels {
		s.cancelled[id] = true
	}
	sends := e.pendingSends
	e.pendingCancels, e.pendingSends = nil, nil
	for _, out := range sends {
		if out.attempt.peer != nil {
			s.forward(e, out)
		} else {
			s.dispatch(e, out)
		}
	}
}

func (s *sim) forward(e *simEntry, out outboundAttempt) {
	id, req := out.attempt.id, out.request
	if out.attempt.call.forwarded {
		s.errorf("request %s was forwarded twice", req.Key.ID)
	}
	to := s.entries[slices.IndexFunc(s.entries, func(o *simEntry) bool { return o.id == out.attempt.target() })]
	s.after(10*time.Millisecond, func() {
		to.submit(s.now, req, simRules[req.Kind], true, func(o model.Outcome) {
			s.after(10*time.Millisecond, func() {
				e.onForwardReply(s.now, id, protocol.ForwardReply{Outcome: o}, nil)
				s.startPendingCalls(e)
			})
		})
		s.startPendingCalls(to)
	})
}

func (s *sim) dispatch(e *simEntry, out outboundAttempt) {
	id, req, target := out.attempt.id, out.request, out.attempt.target()
	a := s.agents[slices.IndexFunc(s.agents, func(a *simAgent) bool { return a.id.Agent == target })]
	if u := e.view.findUpstream(target); u.Leaving || s.now.Sub(u.LastReport) >= protocol.RoutableTimeout {
		s.errorf("request %s was sent to %s, which is leaving or silent", req.Key.ID, target)
	}
	s.checkPriority(e, out)
	reply := func(d time.Duration, r protocol.DispatchReply, err error) {
		s.after(d+simLatency, func() {
			e.onDispatchReply(s.now, id, r, err)
			s.startPendingCalls(e)
		})
	}
	s.after(simLatency, func() {
		if a.leaving || a.refusing || a.running >= a.slots {
			reply(0, protocol.DispatchReply{DispatchID: id, Refused: true, Leaving: a.leaving}, nil)
			return
		}
		s.byKey[req.Key.ID].started++
		if a.down {
			reply(10*time.Millisecond, protocol.DispatchReply{}, errors.New("connection reset"))
			return
		}
		a.running++
		s.after(a.serviceTime(req.Kind), func() {
			a.running--
			var err error
			if s.cancelled[id] {
				err = errors.New("cancelled")
			}
			r := protocol.DispatchReply{DispatchID: id, Free: a.slots - a.running, Leaving: a.leaving, Outcome: model.Outcome{
				Result: model.ResultDone, Ran: true, Output: json.RawMessage(`"` + req.Key.ID + `"`),
			}}
			if a.alterReply != nil {
				lost, duplicate := a.alterReply(&r)
				if lost {
					err = errors.New("reply lost")
				}
				if duplicate {
					reply(time.Millisecond, r, nil)
				}
			}
			reply(0, r, err)
		})
	})
}

// checkPriority reports an error if a request was sent while a request of a higher class or priority, which may go to
// any upstream, is still queued.
func (s *sim) checkPriority(e *simEntry, out outboundAttempt) {
	it := &out.attempt.call.item
	sent := precedence{it.Rule.Class.Rank(), it.Rule.Priority}
	if it.aged {
		sent.rank--
	}
	for _, w := range e.queue.Head(simService, 1) {
		first := w.level.precedence.rank < sent.rank ||
			w.level.precedence.rank == sent.rank && w.Rule.Priority < sent.priority
		if len(e.calls[w.ID].tried) == 0 && first && !out.isHedge {
			s.errorf("%s (%v) was sent while %s (%v) waits", it.Rule.Kind, sent, w.Rule.Kind, w.level.precedence)
		}
	}
}

// submitPoisson submits requests of one kind as a Poisson process for simLoadTime, to the entry with this index or,
// with an index below 0, to all entries in turn.
func (s *sim) submitPoisson(entry int, kind string, perSecond float64, timeout time.Duration) {
	end := s.now.Add(simLoadTime)
	var next func()
	next = func() {
		if s.now.Before(end) && perSecond > 0 {
			s.submit(s.entries[(max(entry, 0)+len(s.results)*max(-entry, 0))%len(s.entries)], kind, timeout)
			s.after(time.Duration(s.rng.ExpFloat64()/perSecond*float64(time.Second)), next)
		}
	}
	next()
}

// responseTimes returns the sorted response times of the requests of a kind that ended as done, and how many were
// submitted.
func (s *sim) responseTimes(kind string) (done []time.Duration, submitted int) {
	for _, r := range s.results {
		if r.req.Kind == kind {
			submitted++
			if len(r.outcomes) == 1 && r.outcomes[0].Result == model.ResultDone {
				done = append(done, r.took)
			}
		}
	}
	slices.Sort(done)
	return done, submitted
}

// counterTotal returns the sum of one counter over all entries.
func (s *sim) counterTotal(get func(*metrics) counter) int64 {
	var n int64
	for _, e := range s.entries {
		n += get(e.metrics).total
	}
	return n
}

func simGossip(entry, region string, free int) protocol.EntryState {
	loads := []protocol.ServiceLoad{{Service: simService, Free: free}}
	return protocol.EntryState{Entry: entry, Region: region, Cell: region, Loads: loads}
}
