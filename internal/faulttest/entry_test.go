package faulttest_test

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"masticcart.example/masticcart/internal/cell"
	"masticcart.example/masticcart/internal/config"
	"masticcart.example/masticcart/internal/jobs"
	"masticcart.example/masticcart/internal/kvstore"
	"masticcart.example/masticcart/internal/membership"
	"masticcart.example/masticcart/internal/model"
	"masticcart.example/masticcart/internal/placement"
	"masticcart.example/masticcart/internal/protocol"
)

// Intervals and timeouts of cell.Service and package entry.
const (
	serviceTickInterval  = 100 * time.Millisecond
	callTimeout          = 2 * time.Second
	stopTimeout          = protocol.CheckpointTimeout + callTimeout
	watchPollInterval    = 100 * time.Millisecond
	resyncInterval       = 30 * time.Second
	listRetryDelay       = time.Second
	configPollInterval   = 500 * time.Millisecond
	registryPollInterval = 5 * time.Second
	// apiTimeout bounds an operation on behalf of an API caller or an operator.
	apiTimeout = 30 * time.Second
)

var errTimeout = errors.New("no answer")

// entryProc is a simulated entry process. It stands in for cell.Service and package entry and uses the production
// coordinator, membership table and configuration applier.
type entryProc struct {
	*proc
	cell             *testCell
	coordinator      *cell.Coordinator
	table            *membership.Table
	applier          *config.Applier
	started          time.Time
	sessions         map[string]*conn
	ownershipChanges int // gains and losses of the ownership of the cell so far
	fetchingConfig   bool
	leaving          bool
}

func (e *entryProc) restart() {
	e.bringUp()
	e.started, e.leaving, e.fetchingConfig = e.now, false, false
	e.applier = config.NewApplier()
	e.table = membership.NewTable(protocol.EntryState{Entry: e.name, Address: e.name, Region: cellName, Cell: cellName})
	e.coordinator = cell.NewCoordinator(cellName, placement.New(placement.Options{}), e.applier.Current,
		func(model.Job) {})
	e.sessions = make(map[string]*conn)
	e.table.AddAddresses(e.now, e.cell.seedAddresses())
	e.every(serviceTickInterval, func() { e.runCoordinator(e.tick) })
	e.every(protocol.GossipInterval, e.gossip)
	e.every(registryPollInterval, func() {
		if !e.cell.kv.down && !e.cell.kv.partitioned[e.name] {
			e.table.AddAddresses(e.now, e.cell.seedAddresses())
		}
	})
	e.spawn(e.followConfig)
}

// leave begins a planned stop: gossip moves the ownership to another entry before the process ends.
func (e *entryProc) leave() {
	if e.up {
		e.leaving = true
		e.table.UpdateSelf(func(g *protocol.EntryState) { g.Leaving = true })
		e.after(protocol.DrainDelay, e.terminate)
	}
}

// runCoordinator runs f as one step of the coordinator's goroutine and performs the resulting actions. It sorts them,
// so that a run depends on its seed only: the coordinator iterates over maps, and cell.Service performs each action in
// its own goroutine.
func (e *entryProc) runCoordinator(f func()) {
	f()
	actions := e.coordinator.DrainActions()
	slices.SortStableFunc(actions, func(a, b cell.Action) int { return cmp.Compare(actionKey(a), actionKey(b)) })
	for _, a := range actions {
		e.performAction(a)
	}
}

// actionKey returns the key by which actions are sorted.
func actionKey(a cell.Action) string {
	switch a := a.(type) {
	case cell.HoldAction:
		return fmt.Sprintf("%s %s %d hold", a.Args.Spec.Key, a.Agent, a.Args.Attempt)
	case cell.StartAction:
		return fmt.Sprintf("%s %s %d start", a.Args.Task.Job, a.Agent, a.Args.Task.Attempt)
	case cell.StopAction:
		return fmt.Sprintf("%s %s %d stop", a.Args.Task.Job, a.Agent, a.Args.Task.Attempt)
	case cell.WriteRecordAction:
		return fmt.Sprintf("%s write", a.Record.Job.Spec.Key)
	case cell.LoadRecordAction:
		return fmt.Sprintf("%s load", a.Job)
	case cell.TouchIndexAction:
		return fmt.Sprintf("%s touch", a.Attempt.Job)
	case cell.RemoveIndexAction:
		return fmt.Sprintf("%s close", a.Job)
	}
	return ""
}

// isOwner reports whether this entry owns the cell. As in package entry, it returns false for PeerTimeout after the
// start.
func (e *entryProc) isOwner() bool {
	return e.now.Sub(e.started) > protocol.PeerTimeout && e.table.OwnsCell(e.now)
}

func (e *entryProc) tick() {
	owner := e.isOwner()
	if owner != e.coordinator.IsOwner() {
		e.ownershipChanges++
		e.trace("%s owner=%v", e.name, owner)
		if owner {
			ownershipChange := e.ownershipChanges
			e.after(0, func() { e.spawn(func(wait func(time.Duration) bool) { e.followIndex(wait, ownershipChange) }) })
		}
	}
	e.coordinator.SetOwner(e.now, owner)
	e.cell.oracle.countOwners()
	e.coordinator.Tick(e.now)
}

func (e *entryProc) performAction(a cell.Action) {
	switch a := a.(type) {
	case cell.HoldAction:
		sendCommand(e, a.Agent, callTimeout,
			func(t *agentProc, answer func(protocol.HoldReply, error)) { answer(t.hold(a.Args), nil) },
			func(r protocol.HoldReply, err error) { e.coordinator.HoldAnswered(e.now, a, r, err) })
	case cell.StartAction:
		sendCommand(e, a.Agent, callTimeout,
			func(t *agentProc, answer func(protocol.StartReply, error)) { answer(t.start(a.Args), nil) },
			func(r protocol.StartReply, err error) { e.coordinator.StartAnswered(e.now, a, r, err) })
	case cell.StopAction:
		sendCommand(e, a.Agent, stopTimeout,
			func(t *agentProc, answer func(protocol.StopReply, error)) { t.stop(a.Args, answer) },
			func(r protocol.StopReply, err error) { e.coordinator.StopAnswered(e.now, a, r, err) })
	case cell.WriteRecordAction:
		e.withJobStore(recordOperationTimeout, func(s *jobs.Store) { e.writeRecord(s, a) })
	case cell.LoadRecordAction:
		e.withJobStore(recordOperationTimeout, func(s *jobs.Store) { e.loadRecord(s, a.Job) })
	case cell.TouchIndexAction:
		e.withJobStore(recordOperationTimeout, func(s *jobs.Store) {
			err := s.Touch(context.Background(), cellName, a.Attempt.Job)
			e.runCoordinator(func() { e.coordinator.TouchAnswered(e.now, a, err) })
		})
	case cell.RemoveIndexAction:
		e.withJobStore(recordOperationTimeout, func(s *jobs.Store) {
			_ = s.RemoveOpen(context.Background(), cellName, a.Job)
		})
	}
}

// sendCommand sends a command to an agent and passes the answer to the coordinator. It fails at once without a session.
// On a broken connection it fails at once or after the timeout, each with probability 0.5.
func sendCommand[R any](e *entryProc, agent string, timeout time.Duration,
	handle func(*agentProc, func(R, error)), done func(R, error)) {
	var zero R
	c := e.sessions[agent]
	if c == nil || c.broken() && e.chance(0.5) {
		e.after(0, func() { e.runCoordinator(func() { done(zero, errTimeout) }) })
		return
	}
	target := e.cell.agent(agent)
	e.cell.net.callWithReplay(c, e.proc, target.proc, timeout, func(answer func(func())) {
		handle(target, func(r R, err error) { answer(func() { e.runCoordinator(func() { done(r, err) }) }) })
	}, func() { e.runCoordinator(func() { done(zero, errTimeout) }) })
}

// withJobStore runs an operation on job records in a coroutine; limit bounds the operation.
func (e *entryProc) withJobStore(limit time.Duration, f func(*jobs.Store)) {
	e.spawn(func(wait func(time.Duration) bool) { f(e.cell.kv.jobStore(e.proc, wait, limit)) })
}

func (e *entryProc) writeRecord(s *jobs.Store, a cell.WriteRecordAction) {
	r, err := s.Write(context.Background(), a.Record.Job, a.Record.Revision)
	e.runCoordinator(func() { e.coordinator.RecordWritten(e.now, a, r, err) })
}

func (e *entryProc) loadRecord(s *jobs.Store, key model.JobKey) {
	r, err := s.Get(context.Background(), key)
	switch {
	case err == nil:
		e.runCoordinator(func() { e.coordinator.RecordLoaded(e.now, r) })
	case errors.Is(err, jobs.ErrNotFound):
		e.runCoordinator(func() { e.coordinator.RecordMissing(e.now, key) })
	}
}

// followIndex follows the open index of the cell until ownershipChanges differs from ownershipChange, its value when
// this entry became owner.
func (e *entryProc) followIndex(wait func(time.Duration) bool, ownershipChange int) {
	for e.ownershipChanges == ownershipChange {
		s := e.cell.kv.jobStore(e.proc, wait, time.Hour)
		e.followIndexUntilResync(s, wait, ownershipChange)
		if !wait(listRetryDelay) {
			return
		}
	}
}

// followIndexUntilResync lists the open index and watches it for resyncInterval, until an error or until the ownership
// changes.
func (e *entryProc) followIndexUntilResync(s *jobs.Store, wait func(time.Duration) bool, ownershipChange int) {
	ctx := context.Background()
	open, rev, err := s.ListOpen(ctx, cellName)
	if err != nil {
		return
	}
	if e.ownershipChanges != ownershipChange {
		return
	}
	e.runCoordinator(func() { e.coordinator.IndexListed(e.now, open) })
	for resync := e.now.Add(resyncInterval); e.now.Before(resync) && e.ownershipChanges == ownershipChange; {
		changes, next, err := s.WatchOpen(ctx, cellName, rev, 0)
		if err != nil || e.ownershipChanges != ownershipChange {
			return
		}
		rev = next
		for _, o := range changes {
			if !o.Removed {
				e.runCoordinator(func() { e.coordinator.IndexEntryChanged(e.now, o) })
			}
		}
		if !wait(watchPollInterval) {
			return
		}
	}
}

// followConfig polls the configuration document until the first success, and after that while this entry is the owner.
func (e *entryProc) followConfig(wait func(time.Duration) bool) {
	loaded := false
	for {
		if !loaded || e.isOwner() {
			c, err := config.NewRepository(kvstore.Store(e.cell.kv.client(e.proc, wait, apiTimeout))).Load(context.Background())
			if err == nil {
				loaded = true
				e.cell.oracle.applyConfig(e.proc, e.applier, c)
			}
		}
		if !wait(configPollInterval) {
			return
		}
	}
}

// gossipState returns the state that this entry sends to its peers.
func (e *entryProc) gossipState() protocol.EntryState {
	e.table.UpdateSelf(func(g *protocol.EntryState) { g.ConfigVersion, g.Sessions = e.applier.Version(), len(e.sessions) })
	return e.table.Self(e.now)
}

func (e *entryProc) gossip() {
	message := e.gossipState()
	for _, address := range e.table.AddressesToDial(e.now) {
		peer := e.cell.entry(address)
		e.cell.net.call(nil, e.proc, peer.proc, protocol.GossipInterval, func(answer func(func())) {
			peer.recordGossip(message)
			reply := peer.gossipState()
			answer(func() { e.recordGossip(reply) })
		}, func() {})
	}
}

func (e *entryProc) recordGossip(g protocol.EntryState) {
	e.table.RecordGossip(e.now, g)
	peer := e.cell.entry(g.Entry)
	e.fetchConfig(g.ConfigVersion, nil, peer.proc, func() *config.Applier { return peer.applier })
}

// fetchConfig fetches the configuration from a process that reported a newer version.
func (e *entryProc) fetchConfig(version int64, c *conn, from *proc, applierOf func() *config.Applier) {
	if version <= e.applier.Version() || e.fetchingConfig {
		return
	}
	e.fetchingConfig = true
	e.cell.net.call(c, e.proc, from, callTimeout, func(answer func(func())) {
		current := applierOf().Current()
		answer(func() {
			e.fetchingConfig = false
			e.cell.oracle.applyConfig(e.proc, e.applier, current)
		})
	}, func() { e.fetchingConfig = false })
}

// announce registers the connection as the agent's session and closes the previous one. It rejects a connection that is
// older than the session.
func (e *entryProc) announce(c *conn, args protocol.AnnounceArgs) (protocol.HeartbeatReply, error) {
	id := args.Identity.Agent
	old := e.sessions[id]
	if old != nil && old.sequence > c.sequence {
		return protocol.HeartbeatReply{}, errTimeout
	}
	if old != nil && old != c {
		old.closedByEntry = true
		a := e.cell.agent(id)
		e.cell.net.send(old, e.proc, a.proc, func() { a.connClosedByEntry(old) })
	}
	e.sessions[id] = c
	e.fetchConfigFromAgent(c, id, args.ConfigVersion)
	var reply protocol.HeartbeatReply
	e.runCoordinator(func() { reply.Forget, reply.Owner = e.coordinator.Announce(e.now, args), e.coordinator.IsOwner() })
	return e.completeReply(reply, args.ConfigVersion), nil
}

func (e *entryProc) heartbeat(c *conn, h protocol.HeartbeatArgs) protocol.HeartbeatReply {
	if e.sessions[h.Agent] != c {
		return protocol.HeartbeatReply{Reannounce: true}
	}
	e.fetchConfigFromAgent(c, h.Agent, h.ConfigVersion)
	var reply protocol.HeartbeatReply
	e.runCoordinator(func() {
		forget, known := e.coordinator.Heartbeat(e.now, h)
		reply = protocol.HeartbeatReply{Forget: forget, Reannounce: !known, Owner: known && e.coordinator.IsOwner()}
	})
	return e.completeReply(reply, h.ConfigVersion)
}

func (e *entryProc) fetchConfigFromAgent(c *conn, id string, version int64) {
	a := e.cell.agent(id)
	e.fetchConfig(version, c, a.proc, func() *config.Applier { return a.applier })
}

// completeReply adds the entries to report to and, if it is newer than version, the configuration.
func (e *entryProc) completeReply(reply protocol.HeartbeatReply, version int64) protocol.HeartbeatReply {
	reply.Entry = e.name
	for _, g := range e.table.RendezvousOrder(cellName, e.now) {
		if len(reply.Entries) < protocol.SessionsPerAgent {
			reply.Entries = append(reply.Entries, g.Address)
		}
	}
	if c := e.applier.Current(); c.Version > version {
		reply.Config = c
	}
	return reply
}

// connClosedByAgent removes the session of a connection that the agent closed.
func (e *entryProc) connClosedByAgent(agent string, c *conn) {
	if e.sessions[agent] == c {
		delete(e.sessions, agent)
	}
}

// serveAPI runs an API operation in a coroutine of this entry. A crash abandons it.
func (e *entryProc) serveAPI(f func(ctx context.Context, s *jobs.Store)) {
	if e.up {
		e.withJobStore(apiTimeout, func(s *jobs.Store) { f(context.Background(), s) })
	}
}

// changeConfig changes the configuration document after checking its guarantees, and passes the result to done.
func (e *entryProc) changeConfig(base int64, edit config.Edit, done func(*model.Config, error)) {
	if !e.up {
		return
	}
	workers := e.coordinator.Snapshot(e.now).Workers
	editAndCheck := func(c *model.Config) error {
		if err := edit(c); err != nil {
			return err
		}
		return placement.CheckGuarantees(workers, cellName, c.Guarantees)
	}
	e.spawn(func(wait func(time.Duration) bool) {
		done(config.NewRepository(e.cell.kv.client(e.proc, wait, apiTimeout)).
			Change(context.Background(), base, editAndCheck))
	})
}
