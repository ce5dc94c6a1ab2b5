package entry

import (
	"context"
	"errors"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"masticcart.example/masticcart/internal/cell"
	"masticcart.example/masticcart/internal/membership"
	"masticcart.example/masticcart/internal/protocol"
	"masticcart.example/masticcart/internal/rpc"
)

// errSuperseded refuses an announcement on a connection that is older than the agent's session.
var errSuperseded = errors.New("entry: the agent has opened a newer session")

// UpstreamRegistry is told of the executors that short requests can be sent to.
type UpstreamRegistry interface {
	UpdateUpstream(id protocol.Identity, free int, delay time.Duration, leaving bool)
	RemoveUpstream(agent string)
}

// Agents keeps the sessions that agents opened and sends commands through them.
type Agents struct {
	table  *membership.Table
	config *ConfigSync

	mu       sync.RWMutex
	sessions map[string]*agentSession

	cell      *cell.Service // set before the listener starts
	upstreams UpstreamRegistry
}

type agentSession struct {
	conn     *rpc.Conn
	identity protocol.Identity
}

// NewAgents returns the sessions of an entry that no agent has reached yet.
func NewAgents(table *membership.Table, c *ConfigSync) *Agents {
	return &Agents{table: table, config: c, sessions: make(map[string]*agentSession)}
}

// SetReceivers sets the receivers of reports.
func (a *Agents) SetReceivers(c *cell.Service, u UpstreamRegistry) { a.cell, a.upstreams = c, u }

func (a *Agents) announce(ctx context.Context, conn *rpc.Conn, args protocol.AnnounceArgs) (protocol.HeartbeatReply, error) {
	id := args.Identity
	a.mu.Lock()
	old := a.sessions[id.Agent]
	if old != nil && old.conn.AcceptSequence() > conn.AcceptSequence() {
		// An announcement that was delayed on an earlier connection, perhaps of an earlier incarnation, must not
		// replace what the agent reported since.
		a.mu.Unlock()
		return protocol.HeartbeatReply{}, errSuperseded
	}
	a.sessions[id.Agent] = &agentSession{conn: conn, identity: id}
	a.mu.Unlock()
	if old == nil || old.identity.Incarnation != id.Incarnation {
		klog.InfoS("Agent announced", "agent", id.Agent, "kind", id.Kind, "service", id.Service, "cell", id.Cell, "rack", id.Rack,
			"units", id.Units, "free", args.Free, "tasks", len(args.Tasks), "incarnation", id.Incarnation)
	}
	if old != nil && old.conn != conn {
		old.conn.Close()
	}
	go a.watch(conn, id.Agent)
	a.report(id, args.Free, 0, args.Leaving)
	a.config.FetchFromAgentIfNewer(conn, args.ConfigVersion)
	reply, err := a.cell.Announce(ctx, args)
	if err != nil {
		return reply, err
	}
	return a.complete(reply, args.ConfigVersion), nil
}

func (a *Agents) heartbeat(ctx context.Context, conn *rpc.Conn, h protocol.HeartbeatArgs) (protocol.HeartbeatReply, error) {
	a.mu.Lock()
	s := a.sessions[h.Agent]
	known := s != nil && s.conn == conn && s.identity.Incarnation == h.Incarnation
	a.mu.Unlock()
	if !known {
		return protocol.HeartbeatReply{Reannounce: true}, nil
	}
	a.report(s.identity, h.Free, h.QueueDelay, h.Leaving)
	a.config.FetchFromAgentIfNewer(conn, h.ConfigVersion)
	reply, err := a.cell.Heartbeat(ctx, h)
	if err != nil {
		return reply, err
	}
	return a.complete(reply, h.ConfigVersion), nil
}

func (a *Agents) report(id protocol.Identity, free int, delay time.Duration, leaving bool) {
	if id.Kind == protocol.KindExecutor {
		a.upstreams.UpdateUpstream(id, free, delay, leaving)
	}
}

// complete adds what every reply carries: the order of the cell's entries and a newer configuration.
func (a *Agents) complete(reply protocol.HeartbeatReply, version int64) protocol.HeartbeatReply {
	self := a.table.Self(time.Now())
	reply.Entry = self.Entry
	for _, g := range a.table.RendezvousOrder(self.Cell, time.Now()) {
		if len(reply.Entries) < protocol.SessionsPerAgent {
			reply.Entries = append(reply.Entries, g.Address)
		}
	}
	if c := a.config.Current(); c.Version > version {
		reply.Config = c
	}
	return reply
}

// watch removes the session when its connection ends. The cell's view keeps the upstream until it has been
// silent for MemberTimeout, since the agent may come back at once.
func (a *Agents) watch(conn *rpc.Conn, agent string) {
	<-conn.Done()
	a.mu.Lock()
	s := a.sessions[agent]
	ended := s != nil && s.conn == conn
	if ended {
		delete(a.sessions, agent)
	}
	a.mu.Unlock()
	if ended {
		a.upstreams.RemoveUpstream(agent)
		klog.InfoS("Agent session ended", "agent", agent)
	}
}

func (a *Agents) call(ctx context.Context, agent, method string, args, reply any) error {
	a.mu.RLock()
	s := a.sessions[agent]
	a.mu.RUnlock()
	if s == nil {
		return rpc.ErrDial
	}
	return s.conn.Call(ctx, method, args, reply)
}

// Hold implements cell.Agents.
func (a *Agents) Hold(ctx context.Context, agent string, args protocol.HoldArgs) (reply protocol.HoldReply, err error) {
	err = a.call(ctx, agent, protocol.MethodHold, args, &reply)
	return reply, err
}

// Start implements cell.Agents.
func (a *Agents) Start(ctx context.Context, agent string, args protocol.StartArgs) (reply protocol.StartReply, err error) {
	err = a.call(ctx, agent, protocol.MethodStart, args, &reply)
	return reply, err
}

// Stop implements cell.Agents.
func (a *Agents) Stop(ctx context.Context, agent string, args protocol.StopArgs) (reply protocol.StopReply, err error) {
	err = a.call(ctx, agent, protocol.MethodStop, args, &reply)
	return reply, err
}

// Dispatch sends a short request to an executor's agent.
func (a *Agents) Dispatch(ctx context.Context, agent string, args protocol.DispatchArgs) (reply protocol.DispatchReply, err error) {
	err = a.call(ctx, agent, protocol.MethodDispatch, args, &reply)
	return reply, err
}

// Count returns the number of agents with a session.
func (a *Agents) Count() int {
	a.mu.RLock()
	defer a.mu.RUnlock()
	return len(a.sessions)
}
