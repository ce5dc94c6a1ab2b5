package entry

import (
	"context"
	"errors"
	"fmt"
	"sort"
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
	err := d.peers.CallEntry(ctx, entry, protocol.MethodForward, args, &reply)
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
		protocol.MethodCellView:  rpc.Method(s.cellView),
		protocol.MethodWait:      rpc.Method(s.waited),
	}
}

func (s *Server) forwarded(ctx context.Context, _ *rpc.Conn, a protocol.ForwardArgs) (protocol.ForwardReply, error) {
	ctx, cancel := context.WithTimeout(ctx, a.Request.Timeout)
	defer cancel()
	return protocol.ForwardReply{Outcome: s.router.SubmitForwarded(ctx, a.Request)}, nil
}

// cellView returns one page of this entry's view.
func (s *Server) cellView(ctx context.Context, _ *rpc.Conn, a protocol.CellViewArgs) (protocol.CellView, error) {
	v, err := s.wholeView(ctx)
	return page(v, a), err
}

// page cuts the rows after the given ones out of a view.
func page(v protocol.CellView, a protocol.CellViewArgs) protocol.CellView {
	jobs := sort.Search(len(v.Jobs), func(i int) bool { return a.AfterJob.Less(v.Jobs[i].Job.Spec.Key) })
	workers := sort.Search(len(v.Upstreams), func(i int) bool { return v.Upstreams[i].Identity.Agent > a.AfterUpstream })
	v.Jobs, v.Upstreams = v.Jobs[jobs:], v.Upstreams[workers:]
	rows := len(v.Jobs) + len(v.Upstreams)
	v.Jobs = v.Jobs[:min(len(v.Jobs), protocol.MaxCellPageRows)]
	v.Upstreams = v.Upstreams[:min(len(v.Upstreams), protocol.MaxCellPageRows-len(v.Jobs))]
	v.More = rows > len(v.Jobs)+len(v.Upstreams)
	return v
}

// peerView fetches all pages of another entry's view.
func (s *Server) peerView(ctx context.Context, address string) (protocol.CellView, error) {
	var view protocol.CellView
	var args protocol.CellViewArgs
	for {
		var next protocol.CellView
		if err := s.peers.CallAddress(ctx, address, protocol.MethodCellView, args, &next); err != nil {
			return view, err
		}
		next.Jobs, next.Upstreams = append(view.Jobs, next.Jobs...), append(view.Upstreams, next.Upstreams...)
		view = next
		if !view.More {
			return view, nil
		}
		if n := len(view.Jobs); n > 0 {
			args.AfterJob = view.Jobs[n-1].Job.Spec.Key
		}
		if n := len(view.Upstreams); n > 0 {
			args.AfterUpstream = view.Upstreams[n-1].Identity.Agent
		}
	}
}

func (s *Server) wholeView(ctx context.Context) (protocol.CellView, error) {
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
