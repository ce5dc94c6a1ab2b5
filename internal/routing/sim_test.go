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

// The simulation drives the core of several entries against agents with slots, on a virtual clock.
const (
	simLatency  = 500 * time.Microsecond
	simLoadTime = 15 * time.Second
	simService  = "prism-planner"
)

var simRegions = []string{"riga", "liepaja"}

var simRules = map[string]model.Rule{
	"inspector-check": {Kind: "inspector-check", Class: model.ClassUrgent, CrossRegionPrice: -1},
	"fit":             {Kind: "fit", Class: model.ClassUrgent, Priority: 10, CrossRegionPrice: -1},
	"plan":            {Kind: "plan", Class: model.ClassNormal, Priority: 20, MaxWait: 300 * time.Millisecond, CrossRegionPrice: time.Millisecond},
	"retrace":         {Kind: "retrace", Class: model.ClassDeferrable, CrossRegionPrice: -1},
}

type simAgent struct {
	id              protocol.Identity
	slots, running  int
	leaving, silent bool
	down            bool                                              // dispatches end with an error
	refusing        bool                                              // refuses although it reports free slots
	serviceTime     func(kind string) time.Duration                   // of one request
	mangle          func(*protocol.DispatchReply) (drop, repeat bool) // optional fault
}

type simEntry struct {
	*core
	id string
}

// simResult is what the caller of one request saw.
type simResult struct {
	req      model.Request
	outcomes []model.Outcome
	took     time.Duration
	started  int // dispatches that started at an agent
}

type sim struct {
	now       time.Time
	events    schedule[func()]
	rng       *rand.Rand
	agents    []*simAgent
	entries   []*simEntry
	byKey     map[string]*simResult
	cancelled map[string]bool // attempts
	results   []*simResult
	fail      func(format string, args ...any)
}

// newSim spreads entries and agents over the first regions of simRegions.
func newSim(seed int64, regions, entries, agents, slots int, second bool, fail func(string, ...any)) *sim {
	s := &sim{now: time.Unix(1e9, 0), rng: rand.New(rand.NewSource(seed)), fail: fail, byKey: map[string]*simResult{}, cancelled: map[string]bool{}}
	for i := range entries {
		id := fmt.Sprintf("entry-%d", i)
		v := NewClusterView(simRegions[i%regions], simRegions[i%regions])
		s.entries = append(s.entries, &simEntry{id: id, core: newCore(id, v, 1000, newMetrics(tally.NoopScope), second)})
	}
	for i := range agents {
		region := simRegions[i%regions]
		a := &simAgent{slots: slots, id: protocol.Identity{
			Agent: fmt.Sprintf("agent-%02d", i), Kind: protocol.KindExecutor, Service: simService,
			Region: region, Cell: region, Units: slots,
		}}
		a.serviceTime = func(kind string) time.Duration {
			mean := map[string]time.Duration{"inspector-check": 40, "fit": 80, "plan": 60, "retrace": 200}[kind] * time.Millisecond
			return time.Duration((0.5 + s.rng.Float64()) * float64(mean))
		}
		s.agents = append(s.agents, a)
		s.heartbeat(a)
	}
	s.gossip()
	return s
}

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
		e.pump(s.now)
		s.carryOut(e)
	}
}

func (s *sim) gossip() {
	for _, from := range s.entries {
		g := protocol.GossipArgs{Entry: from.id, Region: from.view.Region, Cell: from.view.Cell, Loads: from.loads(s.now)}
		for _, to := range s.entries {
			if to != from {
				to.view.updatePeer(s.now, g)
			}
		}
	}
	s.after(protocol.GossipInterval, s.gossip)
}

// run advances the clock until the given time, with ticks of the cores at the times that they ask for.
func (s *sim) run(until time.Time) {
	for {
		at := s.events.next()
		for _, e := range s.entries {
			at = earliest(at, e.next())
		}
		if at.IsZero() || at.After(until) {
			s.now = until
			return
		}
		if at.After(s.now) {
			s.now = at
		}
		for _, e := range s.entries {
			if next := e.next(); !next.IsZero() && !next.After(s.now) {
				e.tick(s.now)
				s.carryOut(e)
			}
		}
		for f, due := s.events.popDue(s.now); due; f, due = s.events.popDue(s.now) {
			f()
		}
	}
}

func (s *sim) submit(e *simEntry, kind string, timeout time.Duration) (cancel func()) {
	key := model.JobKey{Team: "t", ID: fmt.Sprintf("r%d", len(s.results))}
	r := &simResult{req: model.Request{Key: key, Kind: kind, Service: simService, Timeout: timeout}}
	s.results, s.byKey[key.ID] = append(s.results, r), r
	arrived := s.now
	id := e.submit(s.now, r.req, simRules[kind], false, func(o model.Outcome) {
		r.outcomes, r.took = append(r.outcomes, o), s.now.Sub(arrived)
	})
	s.carryOut(e)
	return func() { e.cancel(s.now, id); s.carryOut(e) }
}

func (s *sim) carryOut(e *simEntry) {
	for _, id := range e.cancels {
		s.cancelled[id] = true
	}
	sends := e.sends
	e.cancels, e.sends = nil, nil
	for _, snd := range sends {
		if snd.attempt.peer != nil {
			s.forward(e, snd)
		} else {
			s.dispatch(e, snd)
		}
	}
}

func (s *sim) forward(e *simEntry, snd send) {
	id, req := snd.attempt.id, snd.request
	if snd.attempt.call.forwarded {
		s.fail("request %s was forwarded twice", req.Key.ID)
	}
	to := s.entries[slices.IndexFunc(s.entries, func(o *simEntry) bool { return o.id == snd.attempt.target() })]
	s.after(10*time.Millisecond, func() {
		to.submit(s.now, req, simRules[req.Kind], true, func(o model.Outcome) {
			s.after(10*time.Millisecond, func() {
				e.onForwardReply(s.now, id, protocol.ForwardReply{Outcome: o}, nil)
				s.carryOut(e)
			})
		})
		s.carryOut(to)
	})
}

func (s *sim) dispatch(e *simEntry, snd send) {
	id, req, target := snd.attempt.id, snd.request, snd.attempt.target()
	a := s.agents[slices.IndexFunc(s.agents, func(a *simAgent) bool { return a.id.Agent == target })]
	if u := e.view.find(target); u.Leaving || s.now.Sub(u.LastReport) >= protocol.RoutableTimeout {
		s.fail("request %s was sent to %s, which is leaving or silent", req.Key.ID, target)
	}
	s.checkPriority(e, snd)
	reply := func(d time.Duration, r protocol.DispatchReply, err error) {
		s.after(d+simLatency, func() {
			e.onDispatchReply(s.now, id, r, err)
			s.carryOut(e)
		})
	}
	s.after(simLatency, func() {
		if a.leaving || a.refusing || a.running >= a.slots {
			reply(0, protocol.DispatchReply{Dispatch: id, Refused: true, Leaving: a.leaving}, nil)
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
			r := protocol.DispatchReply{Dispatch: id, Free: a.slots - a.running, Leaving: a.leaving, Outcome: model.Outcome{
				Result: model.ResultDone, Ran: true, Output: json.RawMessage(`"` + req.Key.ID + `"`),
			}}
			if a.mangle != nil {
				drop, repeat := a.mangle(&r)
				if drop {
					err = errors.New("answer lost")
				}
				if repeat {
					reply(time.Millisecond, r, nil)
				}
			}
			reply(0, r, err)
		})
	})
}

// checkPriority fails when a request was sent while one of a higher class or priority, free to go to any
// upstream, still waits.
func (s *sim) checkPriority(e *simEntry, snd send) {
	it := &snd.attempt.call.item
	sent := order{it.Rule.Class.Rank(), it.Rule.Priority}
	if it.aged {
		sent.rank--
	}
	for _, w := range e.queue.Head(simService, 1) {
		first := w.band.order.rank < sent.rank || w.band.order.rank == sent.rank && w.Rule.Priority < sent.priority
		if len(e.calls[w.ID].tried) == 0 && first && !snd.second {
			s.fail("%s (%v) was sent while %s (%v) waits", it.Rule.Kind, sent, w.Rule.Kind, w.band.order)
		}
	}
}

// load submits a Poisson stream of one kind for simLoadTime, to one entry or, with at below 0, to all in turn.
func (s *sim) load(at int, kind string, perSecond float64, timeout time.Duration) {
	end := s.now.Add(simLoadTime)
	var next func()
	next = func() {
		if s.now.Before(end) && perSecond > 0 {
			s.submit(s.entries[(max(at, 0)+len(s.results)*max(-at, 0))%len(s.entries)], kind, timeout)
			s.after(time.Duration(s.rng.ExpFloat64()/perSecond*float64(time.Second)), next)
		}
	}
	next()
}

// times returns the sorted answer times of a kind's complete answers, and how many were submitted.
func (s *sim) times(kind string) (done []time.Duration, submitted int) {
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

// sum adds one counter over all entries.
func (s *sim) sum(get func(*metrics) counter) int64 {
	var n int64
	for _, e := range s.entries {
		n += get(e.metrics).total
	}
	return n
}

func simGossip(entry, region string, free int) protocol.GossipArgs {
	loads := []protocol.ServiceLoad{{Service: simService, Free: free}}
	return protocol.GossipArgs{Entry: entry, Region: region, Cell: region, Loads: loads}
}
