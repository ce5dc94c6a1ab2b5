package entry

import (
	"context"
	"errors"
	"fmt"
	"time"

	"masticcart.example/masticcart/internal/protocol"
	"masticcart.example/masticcart/internal/routing"
	"masticcart.example/masticcart/internal/rpc"
)

// dispatcher sends the router's requests to agents and peers.
type dispatcher struct {
	agents *Agents
	peers  *Peers
	self   string
}

// Dispatch implements routing.Dispatcher.
func (d dispatcher) Dispatch(ctx context.Context, agent string, args protocol.DispatchArgs) (protocol.DispatchReply, error) {
	reply, err := d.agents.Dispatch(ctx, agent, args)
	return reply, notSent(err)
}

// Forward implements routing.Dispatcher.
func (d dispatcher) Forward(ctx context.Context, entry string, args protocol.ForwardArgs) (protocol.ForwardReply, error) {
	args.From = d.self
	var reply protocol.ForwardReply
	err := d.peers.Call(ctx, entry, protocol.MethodForward, args, &reply)
	return reply, notSent(err)
}

// notSent marks the errors that prove that the request did not leave this process or was not looked at.
func notSent(err error) error {
	if errors.Is(err, rpc.ErrDial) || errors.Is(err, rpc.ErrOverloaded) {
		return fmt.Errorf("%w: %w", routing.ErrNotSent, err)
	}
	return err
}

// handlers are the methods that agents and peers call.
func (s *Server) handlers() rpc.Handlers {
	return rpc.Handlers{
		protocol.MethodAnnounce:  rpc.Method(s.agents.announce),
		protocol.MethodHeartbeat: rpc.Method(s.agents.heartbeat),
		protocol.MethodGossip:    rpc.Method(s.peers.handleGossip),
		protocol.MethodConfig:    rpc.Method(s.config.serve),
		protocol.MethodForward:   rpc.Method(s.forwarded),
		protocol.MethodCell:      rpc.Method(s.cellView),
		protocol.MethodWait:      rpc.Method(s.waited),
	}
}

func (s *Server) forwarded(ctx context.Context, _ *rpc.Conn, a protocol.ForwardArgs) (protocol.ForwardReply, error) {
	ctx, cancel := context.WithTimeout(ctx, a.Request.Timeout)
	defer cancel()
	return protocol.ForwardReply{Outcome: s.router.SubmitForwarded(ctx, a.Request)}, nil
}

func (s *Server) cellView(ctx context.Context, _ *rpc.Conn, _ protocol.CellArgs) (protocol.CellReply, error) {
	v, err := s.cell.View(ctx)
	self := s.table.Self(time.Now())
	v.Entry, v.Region, v.ConfigVersion = self.Entry, self.Region, s.config.Version()
	return v, fromCell(err)
}

func (s *Server) waited(ctx context.Context, _ *rpc.Conn, a protocol.WaitArgs) (protocol.WaitReply, error) {
	ctx, cancel := context.WithTimeout(ctx, min(a.Timeout, maxWait))
	defer cancel()
	j, known, err := s.cell.Wait(ctx, a.Job)
	return protocol.WaitReply{Known: known, Job: j}, fromCell(err)
}
