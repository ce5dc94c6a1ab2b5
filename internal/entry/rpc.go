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

// dispatcher sends short requests to agents and peers for the router.
type dispatcher struct {
	agents *Agents
	peers  *Peers
	self   string // id of this entry
}

// Dispatch implements routing.Dispatcher.
func (d dispatcher) Dispatch(ctx context.Context, agent string,
	args protocol.DispatchArgs) (protocol.DispatchReply, error) {
	reply, err := d.agents.Dispatch(ctx, agent, args)
	return reply, markNotSent(err)
}

// Forward implements routing.Dispatcher.
func (d dispatcher) Forward(ctx context.Context, entry string,
	args protocol.ForwardArgs) (protocol.ForwardReply, error) {
	args.From = d.self
	var reply protocol.ForwardReply
	err := d.peers.CallEntry(ctx, entry, protocol.MethodForward, args, &reply)
	return reply, markNotSent(err)
}

// markNotSent wraps an error with routing.ErrNotSent if it proves that the request did not leave this process or that
// the receiver rejected it unread.
func markNotSent(err error) error {
	if errors.Is(err, rpc.ErrDial) || errors.Is(err, rpc.ErrOverloaded) {
		return fmt.Errorf("%w: %w", routing.ErrNotSent, err)
	}
	return err
}

// handlers returns the RPC methods that agents and peers call.
func (s *Server) handlers() rpc.Handlers {
	return rpc.Handlers{
		protocol.MethodAnnounce:  rpc.Method(s.agents.handleAnnounce),
		protocol.MethodHeartbeat: rpc.Method(s.agents.handleHeartbeat),
		protocol.MethodGossip:    rpc.Method(s.peers.handleGossip),
		protocol.MethodConfig:    rpc.Method(s.config.handleConfig),
		protocol.MethodForward:   rpc.Method(s.handleForward),
		protocol.MethodCellView:  rpc.Method(s.handleCellView),
		protocol.MethodWait:      rpc.Method(s.handleWait),
	}
}

// handleForward routes a request that another entry forwarded and replies with its outcome.
func (s *Server) handleForward(ctx context.Context, _ *rpc.Conn,
	a protocol.ForwardArgs) (protocol.ForwardReply, error) {
	ctx, cancel := context.WithTimeout(ctx, a.Request.Timeout)
	defer cancel()
	return protocol.ForwardReply{Outcome: s.router.SubmitForwarded(ctx, a.Request)}, nil
}

// handleCellView returns one page of this entry's view.
func (s *Server) handleCellView(ctx context.Context, _ *rpc.Conn, a protocol.CellViewArgs) (protocol.CellView, error) {
	v, err := s.ownView(ctx)
	return pageAfter(v, a), err
}

// pageAfter returns at most MaxCellPageRows jobs and upstreams of v, from those after the given keys. The rows of v are
// sorted.
func pageAfter(v protocol.CellView, a protocol.CellViewArgs) protocol.CellView {
	jobs := sort.Search(len(v.Jobs), func(i int) bool { return a.AfterJob.Less(v.Jobs[i].Job.Spec.Key) })
	upstreams := sort.Search(len(v.Upstreams), func(i int) bool { return v.Upstreams[i].Identity.Agent > a.AfterUpstream })
	v.Jobs, v.Upstreams = v.Jobs[jobs:], v.Upstreams[upstreams:]
	rows := len(v.Jobs) + len(v.Upstreams)
	v.Jobs = v.Jobs[:min(len(v.Jobs), protocol.MaxCellPageRows)]
	v.Upstreams = v.Upstreams[:min(len(v.Upstreams), protocol.MaxCellPageRows-len(v.Jobs))]
	v.More = rows > len(v.Jobs)+len(v.Upstreams)
	return v
}

// fetchPeerView fetches another entry's view, page by page.
func (s *Server) fetchPeerView(ctx context.Context, address string) (protocol.CellView, error) {
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

// ownView returns this entry's view of its cell.
func (s *Server) ownView(ctx context.Context) (protocol.CellView, error) {
	v, err := s.cell.View(ctx)
	self := s.table.Self(time.Now())
	v.Entry, v.Region, v.ConfigVersion = self.Entry, self.Region, s.config.Version()
	return v, cellError(err)
}

// handleWait replies when the job has finished or the caller's timeout has passed.
func (s *Server) handleWait(ctx context.Context, _ *rpc.Conn, a protocol.WaitArgs) (protocol.WaitReply, error) {
	ctx, cancel := context.WithTimeout(ctx, min(a.Timeout, maxLongPoll))
	defer cancel()
	j, known, err := s.cell.Wait(ctx, a.Job)
	return protocol.WaitReply{Known: known, Job: j}, cellError(err)
}
