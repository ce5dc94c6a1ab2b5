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
	minRedialDelay    = 100 * time.Millisecond
	maxRedialDelay    = 2 * time.Second
)

// Sessions keeps the agent connected to the first SessionsPerAgent entries of the rendezvous order. Entries send the
// order with their replies. The seed addresses of the settings are used until the first order is accepted, and together
// with the last order when none was accepted for AgentLease.
type Sessions struct {
	agent    *Agent
	tls      *tls.Config
	seeds    []string
	meter    *rpc.Meter
	orders   chan entryOrder     // orders received by the sessions
	sessions map[string]*session // by address
}

// entryOrder is the rendezvous order of the live entries as one entry sees it.
type entryOrder struct {
	entries []string
	owner   bool
}

// session controls the goroutine that maintains the connection to one entry.
type session struct {
	address string
	cancel  context.CancelFunc
	wake    chan struct{} // signaled to send the next heartbeat now
	ended   chan struct{} // closed when the goroutine has ended
}

// NewSessions returns the sessions of an agent; Run opens them. The TLS configuration is nil for plain TCP.
func NewSessions(a *Agent, tlsConfig *tls.Config, seeds []string) *Sessions {
	return &Sessions{agent: a, tls: tlsConfig, seeds: seeds, meter: &rpc.Meter{}, orders: make(chan entryOrder, 1),
		sessions: make(map[string]*session)}
}

// Run opens and closes sessions as the order of the entries changes, until ctx ends.
func (s *Sessions) Run(ctx context.Context) {
	var order []string
	orderedAt := time.Time{}
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	for {
		s.reconcile(ctx, s.targetEntries(order, orderedAt))
		s.meter.Report(s.agent.scope)
		select {
		case <-ctx.Done():
			s.closeAll()
			return
		case next := <-s.orders:
			// Entries may disagree for a while. The owner's order takes precedence; another entry's order is used only
			// if none was accepted for half the agent's lease.
			if next.owner || time.Since(orderedAt) > protocol.AgentLease/2 {
				order, orderedAt = next.entries, time.Now()
			}
		case <-ticker.C:
		}
	}
}

// targetEntries returns the addresses of the entries to report to. If no order was accepted for AgentLease, these are
// the entries of the last order and the seeds.
func (s *Sessions) targetEntries(order []string, orderedAt time.Time) []string {
	if len(order) > 0 && time.Since(orderedAt) < protocol.AgentLease {
		return order[:min(len(order), protocol.SessionsPerAgent)]
	}
	return append(slices.Clone(order), s.seeds...)
}

// reconcile opens the missing sessions with the targets and closes the sessions with other entries.
func (s *Sessions) reconcile(ctx context.Context, targets []string) {
	for _, address := range targets {
		if s.sessions[address] == nil {
			s.openSession(ctx, address)
		}
	}
	for address, ses := range s.sessions {
		if !slices.Contains(targets, address) {
			ses.cancel()
			<-ses.ended
			delete(s.sessions, address)
			s.agent.removeWaiter(ses.wake)
		}
	}
}

func (s *Sessions) openSession(ctx context.Context, address string) {
	ctx, cancel := context.WithCancel(ctx)
	ses := &session{address: address, cancel: cancel, wake: make(chan struct{}, 1), ended: make(chan struct{})}
	s.sessions[address] = ses
	s.agent.addWaiter(ses.wake)
	go func() {
		defer close(ses.ended)
		s.maintainConnection(ctx, ses)
	}()
}

func (s *Sessions) closeAll() {
	for _, ses := range s.sessions {
		ses.cancel()
		<-ses.ended
		s.agent.removeWaiter(ses.wake)
	}
}

// maintainConnection reconnects to one entry until ctx ends. Back-off with jitter spreads the reconnects of many
// agents.
func (s *Sessions) maintainConnection(ctx context.Context, ses *session) {
	redialDelay := backoff.NewExponentialBackOff()
	redialDelay.InitialInterval, redialDelay.MaxInterval = minRedialDelay, maxRedialDelay
	for ctx.Err() == nil {
		if s.runConnection(ctx, ses) {
			redialDelay.Reset()
		}
		select {
		case <-ctx.Done():
		case <-time.After(redialDelay.NextBackOff()):
		}
	}
}

// runConnection dials an entry and reports to it until the connection ends. It returns true if the entry replied at
// least once.
func (s *Sessions) runConnection(ctx context.Context, ses *session) bool {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	conn, err := rpc.Dial(dialCtx, ses.address, s.tls, s.agent.Handlers(), s.meter)
	cancel()
	if err != nil {
		klog.V(2).InfoS("Failed to connect to entry", "entry", ses.address, "err", err)
		return false
	}
	defer conn.Close()
	replied := false
	announce, acknowledged := true, uint64(0)
	for {
		sentAt := time.Now()
		reply, reported, err := s.sendReport(ctx, conn, announce, acknowledged)
		if err != nil {
			klog.V(1).InfoS("Connection to entry ended", "entry", ses.address, "err", err)
			return replied
		}
		replied, announce, acknowledged = true, reply.Reannounce, reported
		s.applyReply(sentAt, reply)
		if !s.waitForNextReport(ctx, ses, conn) {
			return replied
		}
	}
}

// sendReport sends the full state if announce is set, and otherwise the tasks that changed after the change numbered
// since. It returns the number of the last change in the report, which the entry has received if there is no error.
func (s *Sessions) sendReport(ctx context.Context, conn *rpc.Conn, announce bool, since uint64) (
	protocol.HeartbeatReply, uint64, error) {
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

// applyReply applies the reply to a report that was sent at sentAt and passes the order of the entries on to Run.
func (s *Sessions) applyReply(sentAt time.Time, reply protocol.HeartbeatReply) {
	s.agent.applyAcknowledgement(sentAt, reply)
	if len(reply.Entries) == 0 {
		return
	}
	select {
	case s.orders <- entryOrder{entries: reply.Entries, owner: reply.Owner}:
	default: // Run has not read the previous order yet; the next reply carries the order again
	}
}

// waitForNextReport waits until the next heartbeat is due: after HeartbeatInterval, or a change of the ledger or of the
// configuration in force. It returns false once ctx or the connection has ended.
func (s *Sessions) waitForNextReport(ctx context.Context, ses *session, conn *rpc.Conn) bool {
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

// announcement returns a report of the full state. Its sequence is the number of the last change, as in heartbeats.
func (a *Agent) announcement() protocol.AnnounceArgs {
	a.mu.Lock()
	defer a.mu.Unlock()
	return protocol.AnnounceArgs{
		Identity: a.identity, Sequence: a.ledger.LastChange(), Free: a.ledger.Free(), Tasks: a.ledger.AllTasks(),
		ConfigVersion: a.config.Version(), Leaving: a.ledger.Leaving(),
	}
}

// heartbeat returns a report of the tasks that changed after the change numbered since.
func (a *Agent) heartbeat(since uint64) protocol.HeartbeatArgs {
	a.mu.Lock()
	defer a.mu.Unlock()
	return protocol.HeartbeatArgs{
		Agent: a.identity.Agent, Incarnation: a.identity.Incarnation, Sequence: a.ledger.LastChange(),
		Free: a.ledger.Free(), Tasks: a.ledger.ChangedSince(since), ConfigVersion: a.config.Version(),
		Leaving: a.ledger.Leaving(),
	}
}

// applyAcknowledgement applies an entry's reply to a report that was sent at sentAt. The agent's lease counts from
// then, so that it ends at the latest AgentLease after the report left the agent.
func (a *Agent) applyAcknowledgement(sentAt time.Time, reply protocol.HeartbeatReply) {
	if reply.Config != nil {
		if a.config.Apply(reply.Config) {
			a.applyEvacuation()
			klog.InfoS("Applied configuration", "version", reply.Config.Version, "from", reply.Entry)
			// The other entries must know of the version before one of them becomes owner and shows it.
			a.wakeSessions()
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if reply.Owner {
		a.ledger.ExtendLease(sentAt)
	}
	a.ledger.RemoveAcknowledged(time.Now(), reply.Forget)
}
