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
	ledgerTickInterval = 200 * time.Millisecond
	reconcileInterval  = 500 * time.Millisecond
	heartbeatTimeout   = 2 * time.Second
	changeReportDelay  = 20 * time.Millisecond
)

// agentProc is a simulated agent process. It stands in for agent.Agent and agent.Sessions and uses the production
// ledger and configuration applier.
type agentProc struct {
	*proc
	cell                       *testCell
	identity                   protocol.Identity
	upstream                   *upstream
	startAnswerLossProbability float64 // applies to the worker's answer to a start

	ledger         *agent.Ledger
	applier        *config.Applier
	drivers        map[protocol.TaskRef]*taskDriver
	members        map[protocol.TaskRef][]model.Member
	sessions       map[string]*session
	entryOrder     []string // the last rendezvous order of the entries that was accepted
	entryOrderTime time.Time
	leavingSince   time.Time // zero unless a planned stop is in progress
}

// session is the agent's side of its connection to one entry. The agent dials again when the connection ends.
type session struct {
	entry              *entryProc
	conn               *conn
	closed             bool // the entry is no longer a target
	announceNext       bool // the next report is an announcement
	acknowledgedChange uint64
	waiting            bool // the next report is due after HeartbeatInterval and may be expedited
	expedite           bool // the ledger has changed since the last report was sent
	timerID            int  // identifies the valid timer; earlier ones do nothing
}

// restart begins a new incarnation, which first stops the tasks that an earlier incarnation left on a worker.
func (a *agentProc) restart() {
	a.bringUp()
	a.identity.Incarnation = fmt.Sprintf("%s-%d", a.name, a.generation)
	a.ledger, a.applier = agent.NewLedger(a.identity), config.NewApplier()
	a.drivers, a.members = make(map[protocol.TaskRef]*taskDriver), make(map[protocol.TaskRef][]model.Member)
	a.sessions, a.entryOrder, a.entryOrderTime = make(map[string]*session), nil, time.Time{}
	a.leavingSince = time.Time{}
	a.after(a.between(time.Millisecond, 300*time.Millisecond), func() {
		if a.upstream.worker {
			a.upstream.stopAll()
		}
		a.every(ledgerTickInterval, a.tick)
		a.every(reconcileInterval, a.reconcileSessions)
		a.reconcileSessions()
	})
}

// crash ends the process. Unless its host fails as well, the entries that it can reach see its connections closed.
func (a *agentProc) crash(host bool) {
	if !host {
		for _, e := range a.cell.entries {
			if ses := a.sessions[e.name]; ses != nil && ses.conn != nil && !a.cell.net.partitioned[link{a.name, e.name}] {
				c := ses.conn
				e.after(a.cell.net.delay(link{a.name, e.name}), func() { e.connClosedByAgent(a.name, c) })
			}
		}
	}
	a.terminate()
}

// leave begins a planned stop: the process ends once nothing runs and every result is recorded.
func (a *agentProc) leave() {
	if !a.up || a.ledger.Leaving() {
		return
	}
	a.leavingSince = a.now
	a.ledger.StartLeaving(a.now)
	a.expediteReports()
	a.every(ledgerTickInterval, func() {
		if a.now.Sub(a.leavingSince) > protocol.LeaveGrace && a.ledger.Idle() && len(a.ledger.AllTasks()) == 0 {
			a.crash(false)
		}
	})
}

func (a *agentProc) tick() {
	before := a.ledger.LastChange()
	stopRequests := a.ledger.Tick(a.now)
	slices.SortFunc(stopRequests, func(x, y agent.StopRequest) int { return cmp.Compare(refName(x.Ref), refName(y.Ref)) })
	for _, request := range stopRequests {
		a.stopRequested(request)
	}
	if a.ledger.LastChange() != before {
		a.expediteReports()
	}
}

func (a *agentProc) hold(args protocol.HoldArgs) protocol.HoldReply {
	reply := a.ledger.Hold(a.now, args)
	a.trace("%s hold %s#%d %d units: %v %s", a.name, args.Spec.Key, args.Attempt, args.Units, reply.OK, reply.Reason)
	if reply.OK {
		if !a.leavingSince.IsZero() && a.now.Sub(a.leavingSince) > protocol.RoutableTimeout {
			a.violate("%s has been leaving since %s and accepted a hold for %s",
				a.name, a.leavingSince.Sub(epoch), args.Spec.Key)
		}
		ref := protocol.TaskRef{Job: args.Spec.Key, Attempt: args.Attempt, Claim: args.Claim}
		a.members[ref] = args.Members
		a.cell.oracle.recordHold(a.name, a.identity.Incarnation, ref, args.Members)
	}
	a.expediteReports()
	return reply
}

func (a *agentProc) start(args protocol.StartArgs) protocol.StartReply {
	reply, launch := a.ledger.Start(a.now, args)
	a.trace("%s start %s: %v %s", a.name, refName(args.Task), reply.OK, reply.Reason)
	if launch != nil {
		a.launch(*launch)
	}
	a.expediteReports()
	return reply
}

// stop answers at once if the ledger knows the result, and otherwise when the task's driver has finished.
func (a *agentProc) stop(args protocol.StopArgs, answer func(protocol.StopReply, error)) {
	reply, stopRequest := a.ledger.Stop(a.now, args)
	a.trace("%s stop %s: %+v %s", a.name, refName(args.Task), reply, args.Reason)
	if stopRequest != nil {
		a.stopRequested(*stopRequest)
	}
	a.expediteReports()
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
	if d := a.drivers[args.Task]; d != nil {
		d.waiters = append(d.waiters, result)
		return
	}
	result()
}

// targetEntries lists the entries to report to, by the rule of agent.Sessions: the first SessionsPerAgent of the last
// rendezvous order, or, when that order is older than AgentLease, all its entries and the seeds.
func (a *agentProc) targetEntries() []string {
	if len(a.entryOrder) > 0 && a.now.Sub(a.entryOrderTime) < protocol.AgentLease {
		return a.entryOrder[:min(len(a.entryOrder), protocol.SessionsPerAgent)]
	}
	return append(slices.Clone(a.entryOrder), a.cell.seedAddresses()...)
}

// reconcileSessions opens the missing sessions with the target entries and closes the others.
func (a *agentProc) reconcileSessions() {
	targets := a.targetEntries()
	for _, e := range a.cell.entries {
		ses := a.sessions[e.name]
		switch {
		case slices.Contains(targets, e.name) && ses == nil:
			ses = &session{entry: e}
			a.sessions[e.name] = ses
			a.dial(ses)
		case !slices.Contains(targets, e.name) && ses != nil:
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
	if !a.cell.net.reachable(a.proc, ses.entry.proc) {
		a.redial(ses)
		return
	}
	ses.conn = a.cell.net.connect(a.proc, ses.entry.proc)
	ses.announceNext = true
	a.report(ses)
}

func (a *agentProc) redial(ses *session) {
	a.after(a.between(100*time.Millisecond, time.Second), func() { a.dial(ses) })
}

// disconnect closes the connection; the entry is told if the link works.
func (a *agentProc) disconnect(ses *session) {
	c := ses.conn
	if c == nil {
		return
	}
	ses.conn = nil
	ses.timerID++
	a.cell.net.send(c, a.proc, ses.entry.proc, func() { ses.entry.connClosedByAgent(a.name, c) })
}

// connClosedByEntry redials after the entry closed the connection. A session with a report in flight learns of it when
// that report fails.
func (a *agentProc) connClosedByEntry(c *conn) {
	for _, ses := range a.sessions {
		if ses.conn == c && ses.waiting {
			ses.waiting = false
			a.disconnect(ses)
			a.redial(ses)
			return
		}
	}
}

// report sends one announcement or heartbeat. The answer schedules the next one; a failure closes the connection and
// dials again.
func (a *agentProc) report(ses *session) {
	c, e, sent := ses.conn, ses.entry, a.now
	if c == nil || ses.closed {
		return
	}
	ses.waiting, ses.expedite = false, false
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
		ses.announceNext, ses.acknowledgedChange = reply.Reannounce, change
		a.applyReply(sent, reply)
		a.scheduleReport(ses)
	}
	failed := func() { acknowledge(protocol.HeartbeatReply{}, errTimeout) }
	if ses.announceNext {
		args := protocol.AnnounceArgs{Identity: a.identity, Sequence: change, Free: a.ledger.Free(),
			Tasks: a.ledger.AllTasks(), ConfigVersion: a.applier.Version(), Leaving: a.ledger.Leaving()}
		a.cell.net.call(c, a.proc, e.proc, heartbeatTimeout, func(answer func(func())) {
			reply, err := e.announce(c, args)
			answer(func() { acknowledge(reply, err) })
		}, failed)
		return
	}
	args := protocol.HeartbeatArgs{Agent: a.name, Incarnation: a.identity.Incarnation, Sequence: change,
		Free: a.ledger.Free(), Tasks: a.ledger.ChangedSince(ses.acknowledgedChange),
		ConfigVersion: a.applier.Version(), Leaving: a.ledger.Leaving()}
	a.cell.net.call(c, a.proc, e.proc, heartbeatTimeout, func(answer func(func())) {
		reply := e.heartbeat(c, args)
		answer(func() { acknowledge(reply, nil) })
	}, failed)
}

// scheduleReport sets the timer of the next report, which replaces the earlier one: after HeartbeatInterval, or after
// changeReportDelay if the ledger has changed.
func (a *agentProc) scheduleReport(ses *session) {
	ses.waiting = true
	ses.timerID++
	timerID := ses.timerID
	next := protocol.HeartbeatInterval
	if ses.expedite {
		next, ses.waiting = changeReportDelay, false
	}
	a.after(next, func() {
		if ses.timerID == timerID {
			a.report(ses)
		}
	})
}

// expediteReports brings the next reports of all sessions forward after a change of the ledger.
func (a *agentProc) expediteReports() {
	for _, e := range a.cell.entries {
		ses := a.sessions[e.name]
		if ses == nil {
			continue
		}
		ses.expedite = true
		if ses.waiting {
			a.scheduleReport(ses)
		}
	}
}

// applyReply applies the answer to a report that was sent at sent: the lease counts from then.
func (a *agentProc) applyReply(sent time.Time, reply protocol.HeartbeatReply) {
	a.cell.oracle.applyConfig(a.proc, a.applier, reply.Config)
	if reply.Owner {
		a.ledger.ExtendLease(sent)
	}
	a.cell.oracle.checkRemovedResults(a.name, reply.Forget)
	a.ledger.RemoveAcknowledged(a.now, reply.Forget)
	if len(reply.Entries) > 0 && (reply.Owner || a.now.Sub(a.entryOrderTime) > protocol.AgentLease/2) {
		a.entryOrder, a.entryOrderTime = reply.Entries, a.now
	}
}
