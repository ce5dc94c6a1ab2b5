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

// errSupersededSession rejects an announcement on an older connection than that of the agent's session.
var errSupersededSession = errors.New("entry: the agent has opened a newer session")

// UpstreamRegistry receives the state of the executors that short requests can be sent to.
type UpstreamRegistry interface {
	UpdateUpstream(id protocol.Identity, free int, delay time.Duration, leaving bool)
	RemoveUpstream(agent string)
}

// Agents keeps the sessions that agents have opened with this entry and sends commands through them.
type Agents struct {
	table  *membership.Table
	config *ConfigSync

	mu       sync.RWMutex
	sessions map[string]*agentSession

	// cell and upstreams are set before the listener starts.
	cell      *cell.Service
	upstreams UpstreamRegistry
}

// agentSession is the connection on which an incarnation of an agent announced itself last.
type agentSession struct {
	conn     *rpc.Conn
	identity protocol.Identity
}

// NewAgents returns an Agents without sessions.
func NewAgents(table *membership.Table, c *ConfigSync) *Agents {
	return &Agents{table: table, config: c, sessions: make(map[string]*agentSession)}
}

// SetReceivers sets the scheduler of the cell and the router of short requests, which receive the agents' reports. It
// must be called before the first agent connects.
func (a *Agents) SetReceivers(c *cell.Service, u UpstreamRegistry) { a.cell, a.upstreams = c, u }

// handleAnnounce opens a session on conn and closes the connection of the agent's previous session.
func (a *Agents) handleAnnounce(ctx context.Context, conn *rpc.Conn,
	args protocol.AnnounceArgs) (protocol.HeartbeatReply, error) {
	id := args.Identity
	a.mu.Lock()
	old := a.sessions[id.Agent]
	if old != nil && old.conn.AcceptSequence() > conn.AcceptSequence() {
		// An announcement that was delayed on an earlier connection, perhaps from an earlier incarnation, must not
		// overwrite what the agent has reported since.
		a.mu.Unlock()
		return protocol.HeartbeatReply{}, errSupersededSession
	}
	a.sessions[id.Agent] = &agentSession{conn: conn, identity: id}
	a.mu.Unlock()
	if old == nil || old.identity.Incarnation != id.Incarnation {
		klog.InfoS("Agent announced", "agent", id.Agent, "kind", id.Kind, "service", id.Service, "cell", id.Cell,
			"rack", id.Rack, "units", id.Units, "free", args.Free, "tasks", len(args.Tasks), "incarnation", id.Incarnation)
	}
	if old != nil && old.conn != conn {
		old.conn.Close()
	}
	go a.removeSessionWhenClosed(conn, id.Agent)
	a.updateUpstream(id, args.Free, 0, args.Leaving)
	a.config.FetchFromAgentIfNewer(conn, args.ConfigVersion)
	reply, err := a.cell.Announce(ctx, args)
	if err != nil {
		return reply, err
	}
	return a.completeReply(reply, args.ConfigVersion), nil
}

// handleHeartbeat asks for an announcement if the heartbeat does not belong to the agent's session.
func (a *Agents) handleHeartbeat(ctx context.Context, conn *rpc.Conn,
	h protocol.HeartbeatArgs) (protocol.HeartbeatReply, error) {
	a.mu.Lock()
	s := a.sessions[h.Agent]
	known := s != nil && s.conn == conn && s.identity.Incarnation == h.Incarnation
	a.mu.Unlock()
	if !known {
		return protocol.HeartbeatReply{Reannounce: true}, nil
	}
	a.updateUpstream(s.identity, h.Free, h.QueueDelay, h.Leaving)
	a.config.FetchFromAgentIfNewer(conn, h.ConfigVersion)
	reply, err := a.cell.Heartbeat(ctx, h)
	if err != nil {
		return reply, err
	}
	return a.completeReply(reply, h.ConfigVersion), nil
}

// updateUpstream passes an executor's state to the router. Workers, and executors of evacuated cells, get no short
// requests.
func (a *Agents) updateUpstream(id protocol.Identity, free int, delay time.Duration, leaving bool) {
	switch {
	case id.Kind != protocol.KindExecutor:
	case a.config.Current().Evacuations.Contains(id.Cell):
		a.upstreams.RemoveUpstream(id.Agent)
	default:
		a.upstreams.UpdateUpstream(id, free, delay, leaving)
	}
}

// completeReply adds the entries that the agent reports to, and the configuration if the agent has an older version.
func (a *Agents) completeReply(reply protocol.HeartbeatReply, version int64) protocol.HeartbeatReply {
	self := a.table.Self(time.Now())
	reply.Entry = self.Entry
	for _, peer := range a.table.RendezvousOrder(self.Cell, time.Now()) {
		if len(reply.Entries) < protocol.SessionsPerAgent {
			reply.Entries = append(reply.Entries, peer.Address)
		}
	}
	if c := a.config.Current(); c.Version > version {
		reply.Config = c
	}
	return reply
}

// removeSessionWhenClosed removes the session when its connection ends. The owner of the cell counts the agent as lost
// only after MemberTimeout, since the agent may reconnect at once.
func (a *Agents) removeSessionWhenClosed(conn *rpc.Conn, agent string) {
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

// call calls an agent through its session. It returns rpc.ErrDial if the agent has none.
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
func (a *Agents) Start(ctx context.Context, agent string,
	args protocol.StartArgs) (reply protocol.StartReply, err error) {
	err = a.call(ctx, agent, protocol.MethodStart, args, &reply)
	return reply, err
}

// Stop implements cell.Agents.
func (a *Agents) Stop(ctx context.Context, agent string, args protocol.StopArgs) (reply protocol.StopReply, err error) {
	err = a.call(ctx, agent, protocol.MethodStop, args, &reply)
	return reply, err
}

// Dispatch sends a short request to an executor's agent.
func (a *Agents) Dispatch(ctx context.Context, agent string,
	args protocol.DispatchArgs) (reply protocol.DispatchReply, err error) {
	err = a.call(ctx, agent, protocol.MethodDispatch, args, &reply)
	return reply, err
}

// Count returns the number of agents with a session.
func (a *Agents) Count() int {
	a.mu.RLock()
	defer a.mu.RUnlock()
	return len(a.sessions)
}
