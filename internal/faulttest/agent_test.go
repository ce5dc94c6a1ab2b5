package faulttest_test

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"masticcart.example/masticcart/internal/agent"
	"masticcart.example/masticcart/internal/config"
	"masticcart.example/masticcart/internal/model"
	"masticcart.example/masticcart/internal/protocol"
)

const (
	ledgerTick        = 200 * time.Millisecond
	reconcileInterval = 500 * time.Millisecond
	heartbeatTimeout  = 2 * time.Second
	changeDelay       = 20 * time.Millisecond
)

// agentProc replaces agent.Agent and agent.Sessions around the production ledger.
type agentProc struct {
	*proc
	w          *world
	identity   protocol.Identity
	upstream   *upstream
	lostStarts float64 // probability that the worker's answer to a start is lost

	ledger   *agent.Ledger
	applier  *config.Applier
	runners  map[protocol.TaskRef]*runner
	members  map[protocol.TaskRef][]model.Member
	sessions map[string]*session
	order    []string
	ordered  time.Time
	left     time.Time // when it began to leave
}

// session is the agent's side of one connection, which is dialled again when it ends.
type session struct {
	entry    *entryProc
	conn     *conn
	closed   bool // no longer wanted
	announce bool
	change   uint64
	idle     bool // waits for the next heartbeat
	woken    bool
	turn     int
}

// restart begins a new incarnation, which first stops what is left on a worker.
func (a *agentProc) restart() {
	a.begin()
	a.identity.Incarnation = fmt.Sprintf("%s-%d", a.name, a.life)
	a.ledger, a.applier = agent.NewLedger(a.identity), config.NewApplier()
	a.runners, a.members = make(map[protocol.TaskRef]*runner), make(map[protocol.TaskRef][]model.Member)
	a.sessions, a.order, a.ordered = make(map[string]*session), nil, time.Time{}
	a.left = time.Time{}
	a.after(a.between(time.Millisecond, 300*time.Millisecond), func() {
		if a.upstream.worker {
			a.upstream.stopAll()
		}
		a.every(ledgerTick, a.tick)
		a.every(reconcileInterval, a.reconcile)
		a.reconcile()
	})
}

// crash ends the process. Its connections are closed unless the host is gone too.
func (a *agentProc) crash(host bool) {
	if !host {
		for _, e := range a.w.entries {
			if ses := a.sessions[e.name]; ses != nil && ses.conn != nil && !a.w.net.cut[link{a.name, e.name}] {
				c := ses.conn
				e.after(a.w.net.delay(link{a.name, e.name}), func() { e.ended(a.name, c) })
			}
		}
	}
	a.end()
}

// leave is a planned stop: the agent ends once nothing runs and every result is recorded.
func (a *agentProc) leave() {
	if !a.up || a.ledger.Leaving() {
		return
	}
	a.left = a.now
	a.ledger.StartLeaving(a.now)
	a.wake()
	a.every(ledgerTick, func() {
		if a.now.Sub(a.left) > protocol.LeaveGrace && a.ledger.Idle() && len(a.ledger.AllTasks()) == 0 {
			a.crash(false)
		}
	})
}

func (a *agentProc) tick() {
	before := a.ledger.LastChange()
	halts := a.ledger.Tick(a.now)
	slices.SortFunc(halts, func(x, y agent.StopRequest) int { return cmp.Compare(refName(x.Ref), refName(y.Ref)) })
	for _, h := range halts {
		a.halted(h)
	}
	if a.ledger.LastChange() != before {
		a.wake()
	}
}

func (a *agentProc) hold(args protocol.HoldArgs) protocol.HoldReply {
	reply := a.ledger.Hold(a.now, args)
	a.trace("%s hold %s#%d %d units: %v %s", a.name, args.Spec.Key, args.Attempt, args.Units, reply.OK, reply.Reason)
	if reply.OK {
		if !a.left.IsZero() && a.now.Sub(a.left) > protocol.RoutableTimeout {
			a.violate("%s leaves since %s and holds units for %s", a.name, a.left.Sub(epoch), args.Spec.Key)
		}
		ref := protocol.TaskRef{Job: args.Spec.Key, Attempt: args.Attempt, Claim: args.Claim}
		a.members[ref] = args.Members
		a.w.oracle.held(a.name, a.identity.Incarnation, ref, args.Members)
	}
	a.wake()
	return reply
}

func (a *agentProc) start(args protocol.StartArgs) protocol.StartReply {
	reply, launch := a.ledger.Start(a.now, args)
	a.trace("%s start %s: %v %s", a.name, refName(args.Task), reply.OK, reply.Reason)
	if launch != nil {
		a.launch(*launch)
	}
	a.wake()
	return reply
}

func (a *agentProc) stop(args protocol.StopArgs, answer func(protocol.StopReply, error)) {
	reply, halt := a.ledger.Stop(a.now, args)
	a.trace("%s stop %s: %+v %s", a.name, refName(args.Task), reply, args.Reason)
	if halt != nil {
		a.halted(*halt)
	}
	a.wake()
	if reply != nil {
		answer(*reply, nil)
		return
	}
	result := func() {
		if reply := a.ledger.StopResult(args.Task); reply != nil {
			answer(*reply, nil)
			return
		}
		answer(protocol.StopReply{}, agent.ErrUpstream)
	}
	if r := a.runners[args.Task]; r != nil {
		r.waiters = append(r.waiters, result)
		return
	}
	result()
}

// wanted is the rule of agent.Sessions for the entries to report to.
func (a *agentProc) wanted() []string {
	if len(a.order) > 0 && a.now.Sub(a.ordered) < protocol.AgentLease {
		return a.order[:min(len(a.order), protocol.SessionsPerAgent)]
	}
	return append(slices.Clone(a.order), a.w.seeds()...)
}

func (a *agentProc) reconcile() {
	wanted := a.wanted()
	for _, e := range a.w.entries {
		ses := a.sessions[e.name]
		switch {
		case slices.Contains(wanted, e.name) && ses == nil:
			ses = &session{entry: e}
			a.sessions[e.name] = ses
			a.dial(ses)
		case !slices.Contains(wanted, e.name) && ses != nil:
			ses.closed = true
			a.disconnect(ses)
			delete(a.sessions, e.name)
		}
	}
}

func (a *agentProc) dial(ses *session) {
	if ses.closed {
		return
	}
	if !a.w.net.reachable(a.proc, ses.entry.proc) {
		a.redial(ses)
		return
	}
	ses.conn = a.w.net.open(a.proc, ses.entry.proc)
	ses.announce = true
	a.report(ses)
}

func (a *agentProc) redial(ses *session) {
	a.after(a.between(100*time.Millisecond, time.Second), func() { a.dial(ses) })
}

// disconnect ends the connection; the entry learns of it if the link works.
func (a *agentProc) disconnect(ses *session) {
	c := ses.conn
	if c == nil {
		return
	}
	ses.conn = nil
	ses.turn++
	a.w.net.send(c, a.proc, ses.entry.proc, func() { ses.entry.ended(a.name, c) })
}

// dropped is called when the entry closed the connection.
func (a *agentProc) dropped(c *conn) {
	for _, ses := range a.sessions {
		if ses.conn == c && ses.idle {
			ses.idle = false
			a.disconnect(ses)
			a.redial(ses)
			return
		}
	}
}

// report sends one announcement or heartbeat and goes on when it is answered.
func (a *agentProc) report(ses *session) {
	c, e, sent := ses.conn, ses.entry, a.now
	if c == nil || ses.closed {
		return
	}
	ses.idle, ses.woken = false, false
	change := a.ledger.LastChange()
	acknowledge := func(reply protocol.HeartbeatReply, err error) {
		if ses.conn != c {
			return
		}
		if err != nil {
			a.disconnect(ses)
			a.redial(ses)
			return
		}
		ses.announce, ses.change = reply.Reannounce, change
		a.acknowledged(sent, reply)
		a.pause(ses)
	}
	failed := func() { acknowledge(protocol.HeartbeatReply{}, errTimeout) }
	if ses.announce {
		args := protocol.AnnounceArgs{Identity: a.identity, Sequence: change, Free: a.ledger.Free(),
			Tasks: a.ledger.AllTasks(), ConfigVersion: a.applier.Version(), Leaving: a.ledger.Leaving()}
		a.w.net.call(c, a.proc, e.proc, heartbeatTimeout, func(answer func(func())) {
			reply, err := e.announce(c, args)
			answer(func() { acknowledge(reply, err) })
		}, failed)
		return
	}
	args := protocol.HeartbeatArgs{Agent: a.name, Incarnation: a.identity.Incarnation, Sequence: change, Free: a.ledger.Free(),
		Tasks: a.ledger.ChangedSince(ses.change), ConfigVersion: a.applier.Version(), Leaving: a.ledger.Leaving()}
	a.w.net.call(c, a.proc, e.proc, heartbeatTimeout, func(answer func(func())) {
		reply := e.heartbeat(c, args)
		answer(func() { acknowledge(reply, nil) })
	}, failed)
}

func (a *agentProc) pause(ses *session) {
	ses.idle = true
	ses.turn++
	turn := ses.turn
	next := protocol.HeartbeatInterval
	if ses.woken {
		next, ses.idle = changeDelay, false
	}
	a.after(next, func() {
		if ses.turn == turn {
			a.report(ses)
		}
	})
}

// wake brings the next heartbeats forward after a change of the ledger.
func (a *agentProc) wake() {
	for _, e := range a.w.entries {
		ses := a.sessions[e.name]
		if ses == nil {
			continue
		}
		ses.woken = true
		if ses.idle {
			a.pause(ses)
		}
	}
}

func (a *agentProc) acknowledged(sent time.Time, reply protocol.HeartbeatReply) {
	a.w.oracle.apply(a.proc, a.applier, reply.Config)
	if reply.Owner {
		a.ledger.ExtendLease(sent)
	}
	a.w.oracle.forgets(a.name, reply.Forget)
	a.ledger.RemoveAcknowledged(a.now, reply.Forget)
	if len(reply.Entries) > 0 && (reply.Owner || a.now.Sub(a.ordered) > protocol.AgentLease/2) {
		a.order, a.ordered = reply.Entries, a.now
	}
}
