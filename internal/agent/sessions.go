package agent

import (
	"context"
	"crypto/tls"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"
	"k8s.io/klog/v2"

	"masticcart.example/masticcart/internal/protocol"
	"masticcart.example/masticcart/internal/rpc"
)

const (
	reconcileInterval = 500 * time.Millisecond
	dialTimeout       = 1 * time.Second
	heartbeatTimeout  = 2 * time.Second
	minRedial         = 100 * time.Millisecond
	maxRedial         = 2 * time.Second
)

// Sessions keeps the agent connected to the first entries of the rendezvous order. The order comes with the
// entries' replies; the addresses in the settings are the start and the fallback.
type Sessions struct {
	agent    *Agent
	tls      *tls.Config
	seeds    []string
	meter    *rpc.Meter
	order    chan entryOrder // newest order, from any session
	sessions map[string]*session
}

// entryOrder is the rendezvous order of the live entries as one entry sees it.
type entryOrder struct {
	entries []string
	owner   bool
}

type session struct {
	address string
	cancel  context.CancelFunc
	wake    chan struct{}
	ended   chan struct{}
}

// NewSessions returns the sessions of an agent; Run starts them.
func NewSessions(a *Agent, tlsConfig *tls.Config, seeds []string) *Sessions {
	return &Sessions{agent: a, tls: tlsConfig, seeds: seeds, meter: &rpc.Meter{}, order: make(chan entryOrder, 1), sessions: make(map[string]*session)}
}

// Run keeps the sessions until ctx ends.
func (s *Sessions) Run(ctx context.Context) {
	var order []string
	ordered := time.Time{}
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	for {
		s.reconcile(ctx, s.wanted(order, ordered))
		s.meter.Report(s.agent.scope)
		select {
		case <-ctx.Done():
			s.closeAll()
			return
		case next := <-s.order:
			// Entries may disagree for a moment; the owner's view goes first.
			if next.owner || time.Since(ordered) > protocol.AgentLease/2 {
				order, ordered = next.entries, time.Now()
			}
		case <-ticker.C:
		}
	}
}

// wanted returns the addresses to report to. Without a reply for a whole agent lease the seeds are tried again.
func (s *Sessions) wanted(order []string, ordered time.Time) []string {
	if len(order) > 0 && time.Since(ordered) < protocol.AgentLease {
		return order[:min(len(order), protocol.SessionsPerAgent)]
	}
	return append(slices.Clone(order), s.seeds...)
}

func (s *Sessions) reconcile(ctx context.Context, wanted []string) {
	for _, address := range wanted {
		if s.sessions[address] == nil {
			s.open(ctx, address)
		}
	}
	for address, ses := range s.sessions {
		if !slices.Contains(wanted, address) {
			ses.cancel()
			<-ses.ended
			delete(s.sessions, address)
			s.agent.removeWaiter(ses.wake)
		}
	}
}

func (s *Sessions) open(ctx context.Context, address string) {
	ctx, cancel := context.WithCancel(ctx)
	ses := &session{address: address, cancel: cancel, wake: make(chan struct{}, 1), ended: make(chan struct{})}
	s.sessions[address] = ses
	s.agent.addWaiter(ses.wake)
	go func() {
		defer close(ses.ended)
		s.keep(ctx, ses)
	}()
}

func (s *Sessions) closeAll() {
	for _, ses := range s.sessions {
		ses.cancel()
		<-ses.ended
		s.agent.removeWaiter(ses.wake)
	}
}

// keep dials one entry again and again with back-off and jitter, so that a mass reconnect is spread out.
func (s *Sessions) keep(ctx context.Context, ses *session) {
	delay := backoff.NewExponentialBackOff()
	delay.InitialInterval, delay.MaxInterval = minRedial, maxRedial
	for ctx.Err() == nil {
		if s.connect(ctx, ses) {
			delay.Reset()
		}
		select {
		case <-ctx.Done():
		case <-time.After(delay.NextBackOff()):
		}
	}
}

// connect runs one connection until it ends and reports whether the entry answered at all.
func (s *Sessions) connect(ctx context.Context, ses *session) bool {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	conn, err := rpc.Dial(dialCtx, ses.address, s.tls, s.agent.Handlers(), s.meter)
	cancel()
	if err != nil {
		klog.V(2).InfoS("Entry not reached", "entry", ses.address, "err", err)
		return false
	}
	defer conn.Close()
	answered := false
	announce, change := true, uint64(0)
	for {
		started := time.Now()
		reply, sent, err := s.report(ctx, conn, announce, change)
		if err != nil {
			klog.V(1).InfoS("Session ended", "entry", ses.address, "err", err)
			return answered
		}
		answered, announce, change = true, reply.Reannounce, sent
		s.accept(started, reply)
		if !s.pause(ctx, ses, conn) {
			return answered
		}
	}
}

// report sends the full state, or the changes since the last acknowledged report. It returns the number of the
// last change that the entry now knows.
func (s *Sessions) report(ctx context.Context, conn *rpc.Conn, announce bool, since uint64) (protocol.HeartbeatReply, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	var reply protocol.HeartbeatReply
	if announce {
		args := s.agent.announcement()
		err := conn.Call(ctx, protocol.MethodAnnounce, args, &reply)
		return reply, args.Sequence, err
	}
	args := s.agent.heartbeat(since)
	err := conn.Call(ctx, protocol.MethodHeartbeat, args, &reply)
	return reply, args.Sequence, err
}

func (s *Sessions) accept(started time.Time, reply protocol.HeartbeatReply) {
	s.agent.acknowledged(started, reply)
	if len(reply.Entries) == 0 {
		return
	}
	select {
	case s.order <- entryOrder{entries: reply.Entries, owner: reply.Owner}:
	default: // the next reply brings it again
	}
}

// pause waits for the next heartbeat: the interval, or a change of the ledger.
func (s *Sessions) pause(ctx context.Context, ses *session, conn *rpc.Conn) bool {
	select {
	case <-ctx.Done():
		return false
	case <-conn.Done():
		return false
	case <-time.After(protocol.HeartbeatInterval):
	case <-ses.wake:
		time.Sleep(changeDelay)
	}
	return true
}

func (a *Agent) addWaiter(ch chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.waiters = append(a.waiters, ch)
}

func (a *Agent) removeWaiter(ch chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.waiters = slices.DeleteFunc(a.waiters, func(c chan struct{}) bool { return c == ch })
}

// announcement is the full state. Its sequence is the number of the last change, as for heartbeats.
func (a *Agent) announcement() protocol.AnnounceArgs {
	a.mu.Lock()
	defer a.mu.Unlock()
	return protocol.AnnounceArgs{
		Identity: a.identity, Sequence: a.ledger.LastChange(), Free: a.ledger.Free(), Tasks: a.ledger.AllTasks(),
		ConfigVersion: a.config.Version(), Leaving: a.ledger.Leaving(),
	}
}

func (a *Agent) heartbeat(change uint64) protocol.HeartbeatArgs {
	a.mu.Lock()
	defer a.mu.Unlock()
	return protocol.HeartbeatArgs{
		Agent: a.identity.Agent, Incarnation: a.identity.Incarnation, Sequence: a.ledger.LastChange(),
		Free: a.ledger.Free(), Tasks: a.ledger.ChangedSince(change), ConfigVersion: a.config.Version(), Leaving: a.ledger.Leaving(),
	}
}

// acknowledged applies an entry's reply to a heartbeat that was sent at the given time.
func (a *Agent) acknowledged(sent time.Time, reply protocol.HeartbeatReply) {
	if reply.Config != nil {
		if a.config.Apply(reply.Config) {
			klog.InfoS("Applied configuration", "version", reply.Config.Version, "from", reply.Entry)
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if reply.Owner {
		a.ledger.ExtendLease(sent)
	}
	a.ledger.RemoveAcknowledged(time.Now(), reply.Forget)
}
