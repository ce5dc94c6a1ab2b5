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

// Intervals of cell.Service and package entry.
const (
	serviceTick    = 100 * time.Millisecond
	callTimeout    = 2 * time.Second
	stopTimeout    = protocol.CheckpointTimeout + callTimeout
	watchPoll      = 100 * time.Millisecond
	resyncInterval = 30 * time.Second
	listRetry      = time.Second
	configPoll     = 500 * time.Millisecond
	registryPoll   = 5 * time.Second
	// apiLimit bounds an operation for a caller or operator.
	apiLimit = 30 * time.Second
)

var errTimeout = errors.New("no answer")

// entryProc replaces cell.Service and package entry around the production coordinator.
type entryProc struct {
	*proc
	w        *world
	coord    *cell.Coordinator
	table    *membership.Table
	applier  *config.Applier
	started  time.Time
	sessions map[string]*conn
	owns     int // counts changes of ownership
	fetching bool
	leaving  bool
}

func (e *entryProc) restart() {
	e.begin()
	e.started, e.leaving, e.fetching = e.now, false, false
	e.applier = config.NewApplier()
	e.table = membership.NewTable(protocol.EntryState{Entry: e.name, Address: e.name, Region: cellName, Cell: cellName})
	e.coord = cell.NewCoordinator(cellName, placement.New(placement.Options{}), e.applier.Current, func(model.Job) {})
	e.sessions = make(map[string]*conn)
	e.table.AddAddresses(e.now, e.w.seeds())
	e.every(serviceTick, func() { e.run(e.tick) })
	e.every(protocol.GossipInterval, e.gossip)
	e.every(registryPoll, func() {
		if !e.w.kv.down && !e.w.kv.cut[e.name] {
			e.table.AddAddresses(e.now, e.w.seeds())
		}
	})
	e.spawn(e.followConfig)
}

// leave is a planned stop: ownership moves through gossip before the process ends.
func (e *entryProc) leave() {
	if e.up {
		e.leaving = true
		e.table.UpdateSelf(func(g *protocol.EntryState) { g.Leaving = true })
		e.after(protocol.DrainDelay, e.end)
	}
}

// run does one step of the coordinator's goroutine. Actions are put in order, since the coordinator keeps its jobs
// in maps and the service performs actions in goroutines of their own.
func (e *entryProc) run(f func()) {
	f()
	actions := e.coord.DrainActions()
	slices.SortStableFunc(actions, func(a, b cell.Action) int { return cmp.Compare(actionKey(a), actionKey(b)) })
	for _, a := range actions {
		e.perform(a)
	}
}

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

// isOwner waits for PeerTimeout after the start, as package entry does.
func (e *entryProc) isOwner() bool {
	return e.now.Sub(e.started) > protocol.PeerTimeout && e.table.OwnsCell(e.now)
}

func (e *entryProc) tick() {
	own := e.isOwner()
	if own != e.coord.IsOwner() {
		e.owns++
		e.trace("%s owner=%v", e.name, own)
		if own {
			turn := e.owns
			e.after(0, func() { e.spawn(func(wait func(time.Duration) bool) { e.followIndex(wait, turn) }) })
		}
	}
	e.coord.SetOwner(e.now, own)
	e.w.oracle.countOwners()
	e.coord.Tick(e.now)
}

func (e *entryProc) perform(a cell.Action) {
	switch a := a.(type) {
	case cell.HoldAction:
		command(e, a.Agent, callTimeout, func(t *agentProc, answer func(protocol.HoldReply, error)) { answer(t.hold(a.Args), nil) },
			func(r protocol.HoldReply, err error) { e.coord.HoldAnswered(e.now, a, r, err) })
	case cell.StartAction:
		command(e, a.Agent, callTimeout, func(t *agentProc, answer func(protocol.StartReply, error)) { answer(t.start(a.Args), nil) },
			func(r protocol.StartReply, err error) { e.coord.StartAnswered(e.now, a, r, err) })
	case cell.StopAction:
		command(e, a.Agent, stopTimeout, func(t *agentProc, answer func(protocol.StopReply, error)) { t.stop(a.Args, answer) },
			func(r protocol.StopReply, err error) { e.coord.StopAnswered(e.now, a, r, err) })
	case cell.WriteRecordAction:
		e.store(platformOperation, func(s *jobs.Store) { e.write(s, a) })
	case cell.LoadRecordAction:
		e.store(platformOperation, func(s *jobs.Store) { e.load(s, a.Job) })
	case cell.TouchIndexAction:
		e.store(platformOperation, func(s *jobs.Store) {
			err := s.Touch(context.Background(), cellName, a.Attempt.Job)
			e.run(func() { e.coord.TouchAnswered(e.now, a, err) })
		})
	case cell.RemoveIndexAction:
		e.store(platformOperation, func(s *jobs.Store) { _ = s.RemoveOpen(context.Background(), cellName, a.Job) })
	}
}

// command sends a command to an agent and gives the answer to the coordinator.
func command[R any](e *entryProc, agent string, timeout time.Duration, handle func(*agentProc, func(R, error)), done func(R, error)) {
	var none R
	c := e.sessions[agent]
	if c == nil || c.broken() && e.chance(0.5) {
		e.after(0, func() { e.run(func() { done(none, errTimeout) }) })
		return
	}
	target := e.w.agent(agent)
	e.w.net.command(c, e.proc, target.proc, timeout, func(answer func(func())) {
		handle(target, func(r R, err error) { answer(func() { e.run(func() { done(r, err) }) }) })
	}, func() { e.run(func() { done(none, errTimeout) }) })
}

// store runs an operation on job records in a coroutine.
func (e *entryProc) store(limit time.Duration, f func(*jobs.Store)) {
	e.spawn(func(wait func(time.Duration) bool) { f(e.w.kv.jobStore(e.proc, wait, limit)) })
}

func (e *entryProc) write(s *jobs.Store, a cell.WriteRecordAction) {
	r, err := s.Write(context.Background(), a.Record.Job, a.Record.Revision)
	e.run(func() { e.coord.RecordWritten(e.now, a, r, err) })
}

func (e *entryProc) load(s *jobs.Store, key model.JobKey) {
	r, err := s.Get(context.Background(), key)
	switch {
	case err == nil:
		e.run(func() { e.coord.RecordLoaded(e.now, r) })
	case errors.Is(err, jobs.ErrNotFound):
		e.run(func() { e.coord.RecordMissing(e.now, key) })
	}
}

func (e *entryProc) followIndex(wait func(time.Duration) bool, turn int) {
	for e.owns == turn {
		s := e.w.kv.jobStore(e.proc, wait, time.Hour)
		e.followOnce(s, wait, turn)
		if !wait(listRetry) {
			return
		}
	}
}

func (e *entryProc) followOnce(s *jobs.Store, wait func(time.Duration) bool, turn int) {
	ctx := context.Background()
	open, rev, err := s.ListOpen(ctx, cellName)
	if err != nil {
		return
	}
	if e.owns != turn {
		return
	}
	e.run(func() { e.coord.IndexListed(e.now, open) })
	for resync := e.now.Add(resyncInterval); e.now.Before(resync) && e.owns == turn; {
		changes, next, err := s.WatchOpen(ctx, cellName, rev, 0)
		if err != nil || e.owns != turn {
			return
		}
		rev = next
		for _, o := range changes {
			if !o.Removed {
				e.run(func() { e.coord.IndexEntryChanged(e.now, o) })
			}
		}
		if !wait(watchPoll) {
			return
		}
	}
}

// followConfig reads the document once at the start and then while this entry is owner.
func (e *entryProc) followConfig(wait func(time.Duration) bool) {
	read := false
	for {
		if !read || e.isOwner() {
			c, err := config.NewRepository(kvstore.Store(e.w.kv.client(e.proc, wait, apiLimit))).Load(context.Background())
			if err == nil {
				read = true
				e.w.oracle.apply(e.proc, e.applier, c)
			}
		}
		if !wait(configPoll) {
			return
		}
	}
}

func (e *entryProc) state() protocol.EntryState {
	e.table.UpdateSelf(func(g *protocol.EntryState) { g.ConfigVersion, g.Sessions = e.applier.Version(), len(e.sessions) })
	return e.table.Self(e.now)
}

func (e *entryProc) gossip() {
	message := e.state()
	for _, address := range e.table.AddressesToDial(e.now) {
		peer := e.w.entry(address)
		e.w.net.call(nil, e.proc, peer.proc, protocol.GossipInterval, func(answer func(func())) {
			peer.observe(message)
			reply := peer.state()
			answer(func() { e.observe(reply) })
		}, func() {})
	}
}

func (e *entryProc) observe(g protocol.EntryState) {
	e.table.RecordGossip(e.now, g)
	peer := e.w.entry(g.Entry)
	e.fetch(g.ConfigVersion, nil, peer.proc, func() *config.Applier { return peer.applier })
}

// fetch asks a process that reported a newer configuration for it.
func (e *entryProc) fetch(version int64, c *conn, from *proc, held func() *config.Applier) {
	if version <= e.applier.Version() || e.fetching {
		return
	}
	e.fetching = true
	e.w.net.call(c, e.proc, from, callTimeout, func(answer func(func())) {
		current := held().Current()
		answer(func() {
			e.fetching = false
			e.w.oracle.apply(e.proc, e.applier, current)
		})
	}, func() { e.fetching = false })
}

func (e *entryProc) announce(c *conn, args protocol.AnnounceArgs) (protocol.HeartbeatReply, error) {
	id := args.Identity.Agent
	old := e.sessions[id]
	if old != nil && old.opened > c.opened {
		return protocol.HeartbeatReply{}, errTimeout
	}
	if old != nil && old != c {
		old.dropped = true
		a := e.w.agent(id)
		e.w.net.send(old, e.proc, a.proc, func() { a.dropped(old) })
	}
	e.sessions[id] = c
	e.fetchFromAgent(c, id, args.ConfigVersion)
	var reply protocol.HeartbeatReply
	e.run(func() { reply.Forget, reply.Owner = e.coord.Announce(e.now, args), e.coord.IsOwner() })
	return e.complete(reply, args.ConfigVersion), nil
}

func (e *entryProc) heartbeat(c *conn, h protocol.HeartbeatArgs) protocol.HeartbeatReply {
	if e.sessions[h.Agent] != c {
		return protocol.HeartbeatReply{Reannounce: true}
	}
	e.fetchFromAgent(c, h.Agent, h.ConfigVersion)
	var reply protocol.HeartbeatReply
	e.run(func() {
		forget, known := e.coord.Heartbeat(e.now, h)
		reply = protocol.HeartbeatReply{Forget: forget, Reannounce: !known, Owner: known && e.coord.IsOwner()}
	})
	return e.complete(reply, h.ConfigVersion)
}

func (e *entryProc) fetchFromAgent(c *conn, id string, version int64) {
	a := e.w.agent(id)
	e.fetch(version, c, a.proc, func() *config.Applier { return a.applier })
}

func (e *entryProc) complete(reply protocol.HeartbeatReply, version int64) protocol.HeartbeatReply {
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

// ended removes the session whose connection the agent closed.
func (e *entryProc) ended(agent string, c *conn) {
	if e.sessions[agent] == c {
		delete(e.sessions, agent)
	}
}

// serve runs an operation of the API in a coroutine of this entry; a crash loses it.
func (e *entryProc) serve(f func(ctx context.Context, s *jobs.Store)) {
	if e.up {
		e.store(apiLimit, func(s *jobs.Store) { f(context.Background(), s) })
	}
}

func (e *entryProc) change(base int64, edit config.Edit, done func(*model.Config, error)) {
	if !e.up {
		return
	}
	workers := e.coord.Snapshot(e.now).Workers
	checked := func(c *model.Config) error {
		if err := edit(c); err != nil {
			return err
		}
		return placement.CheckGuarantees(workers, cellName, c.Guarantees)
	}
	e.spawn(func(wait func(time.Duration) bool) {
		done(config.NewRepository(e.w.kv.client(e.proc, wait, apiLimit)).Change(context.Background(), base, checked))
	})
}
