package entry

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"strings"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"k8s.io/klog/v2"

	"masticcart.example/masticcart/internal/kvstore"
	"masticcart.example/masticcart/internal/membership"
	"masticcart.example/masticcart/internal/protocol"
	"masticcart.example/masticcart/internal/rpc"
)

const (
	registrationPrefix = "entries/" // key prefix in the platform's key-value service
	registrationTTL    = 10 * time.Second
	renewInterval      = 3 * time.Second        // also bounds one renewal
	listInterval       = 5 * time.Second        // also bounds one listing
	gossipTimeout      = 900 * time.Millisecond // below protocol.GossipInterval, so that rounds do not overlap
	registrationLimit  = 1000                   // entries read in one listing
)

// Peers keeps connections to the other entries and exchanges gossip with them.
type Peers struct {
	table *membership.Table
	store kvstore.Store
	tls   *tls.Config
	meter *rpc.Meter
	scope tally.Scope
	seeds []string // addresses from the settings
	// fillState updates the changing fields of this entry's state.
	fillState func(*protocol.EntryState)
	// onState receives each state that a peer sends, and onLost the id of each peer that no longer reports.
	onState func(protocol.EntryState)
	onLost  func(id string)

	mu       sync.Mutex
	conns    map[string]*rpc.Conn // by address
	handlers rpc.Handlers
	alive    map[string]bool // ids of the peers that joined and have not been reported as lost
}

// connect returns the open connection to an address, or dials a new one.
func (p *Peers) connect(ctx context.Context, address string) (*rpc.Conn, error) {
	p.mu.Lock()
	c := p.conns[address]
	p.mu.Unlock()
	if c != nil {
		select {
		case <-c.Done():
		default:
			return c, nil
		}
	}
	c, err := rpc.Dial(ctx, address, p.tls, p.handlers, p.meter)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if old := p.conns[address]; old != nil {
		old.Close()
	}
	p.conns[address] = c
	return c, nil
}

// CallEntry calls a live peer by its id. It returns rpc.ErrDial if no live peer has this id.
func (p *Peers) CallEntry(ctx context.Context, id, method string, args, reply any) error {
	for _, peer := range p.table.LivePeers(time.Now()) {
		if peer.State.Entry == id {
			return p.CallAddress(ctx, peer.State.Address, method, args, reply)
		}
	}
	return rpc.ErrDial
}

// CallAddress calls a peer by its address.
func (p *Peers) CallAddress(ctx context.Context, address, method string, args, reply any) error {
	c, err := p.connect(ctx, address)
	if err != nil {
		return err
	}
	return c.Call(ctx, method, args, reply)
}

// RunGossip exchanges states with all known entries once per GossipInterval, until ctx ends.
func (p *Peers) RunGossip(ctx context.Context) {
	ticker := time.NewTicker(protocol.GossipInterval)
	defer ticker.Stop()
	for {
		p.gossipOnce(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// gossipOnce sends this entry's state to all known addresses and records the states in the replies.
func (p *Peers) gossipOnce(ctx context.Context) {
	now := time.Now()
	p.table.AddAddresses(now, p.seeds)
	p.table.UpdateSelf(p.fillState)
	state := p.table.Self(now)
	var calls sync.WaitGroup
	for _, address := range p.table.AddressesToDial(now) {
		calls.Go(func() {
			callCtx, cancel := context.WithTimeout(ctx, gossipTimeout)
			defer cancel()
			var reply protocol.GossipReply
			if err := p.CallAddress(callCtx, address, protocol.MethodGossip, state, &reply); err != nil {
				klog.V(2).InfoS("Peer not reached", "address", address, "err", err)
				return
			}
			p.recordPeerState(reply)
		})
	}
	calls.Wait()
	p.meter.Report(p.scope)
	p.reportLostPeers()
}

// recordPeerState records a peer's state, from its gossip or its reply, and passes it on to onState.
func (p *Peers) recordPeerState(state protocol.EntryState) {
	p.table.RecordGossip(time.Now(), state)
	p.mu.Lock()
	known := p.alive[state.Entry]
	p.alive[state.Entry] = true
	p.mu.Unlock()
	if !known {
		klog.InfoS("Peer joined", "entry", state.Entry, "address", state.Address, "region", state.Region, "cell", state.Cell)
	}
	p.onState(state)
}

// reportLostPeers calls onLost for each peer that is no longer live.
func (p *Peers) reportLostPeers() {
	live := make(map[string]bool)
	for _, peer := range p.table.LivePeers(time.Now()) {
		live[peer.State.Entry] = true
	}
	p.mu.Lock()
	var lost []string
	for id := range p.alive {
		if !live[id] {
			lost = append(lost, id)
			delete(p.alive, id)
		}
	}
	p.mu.Unlock()
	for _, id := range lost {
		klog.InfoS("Peer lost", "entry", id)
		p.onLost(id)
	}
}

// handleGossip records a peer's state and replies with this entry's own.
func (p *Peers) handleGossip(_ context.Context, _ *rpc.Conn, state protocol.EntryState) (protocol.GossipReply, error) {
	p.recordPeerState(state)
	p.table.UpdateSelf(p.fillState)
	return p.table.Self(time.Now()), nil
}

// RunRegistration keeps this entry's address in the platform under a lease and reads the addresses of the other
// entries. When ctx ends, it revokes the lease and returns. While the platform is unavailable, entries know each other
// through gossip alone.
func (p *Peers) RunRegistration(ctx context.Context, id, cellName, address string) {
	var lease kvstore.LeaseID
	lastRenewal, lastListing := time.Time{}, time.Time{}
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		now := time.Now()
		if now.Sub(lastRenewal) >= renewInterval {
			lease = p.renew(ctx, lease, id, cellName, address)
			lastRenewal = now
		}
		if now.Sub(lastListing) >= listInterval {
			p.listRegistrations(ctx)
			lastListing = now
		}
		select {
		case <-ctx.Done():
			p.unregister(lease)
			return
		case <-ticker.C:
		}
	}
}

// registration is the value of an entry's key in the platform.
type registration struct {
	Address string `json:"address"`
}

// renew keeps the lease alive. If that fails or there is none, it registers the entry again under a new lease and
// returns that, or 0 after a failure.
func (p *Peers) renew(ctx context.Context, lease kvstore.LeaseID, id, cellName, address string) kvstore.LeaseID {
	callCtx, cancel := context.WithTimeout(ctx, renewInterval)
	defer cancel()
	if lease != 0 && p.store.KeepAlive(callCtx, lease) == nil {
		return lease
	}
	lease, err := p.store.Grant(callCtx, registrationTTL)
	if err != nil {
		klog.V(1).InfoS("Entry not registered", "err", err)
		return 0
	}
	value, err := json.Marshal(registration{Address: address})
	if err != nil {
		return 0
	}
	key := registrationPrefix + cellName + "/" + id
	expect := kvstore.Revision(0)
	if e, err := p.store.Get(callCtx, key); err == nil {
		expect = e.Revision // written by an earlier process of this name
	}
	if _, err := p.store.Put(callCtx, key, value, expect, lease); err != nil {
		klog.V(1).InfoS("Entry not registered", "err", err)
		return 0
	}
	return lease
}

// listRegistrations adds the addresses of all registered entries to the membership table.
func (p *Peers) listRegistrations(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, listInterval)
	defer cancel()
	entries, _, err := p.store.Range(callCtx, registrationPrefix, "", registrationLimit)
	if err != nil {
		klog.V(2).InfoS("Registered entries not listed", "err", err)
		return
	}
	var addresses []string
	for _, e := range entries {
		var r registration
		if strings.HasPrefix(e.Key, registrationPrefix) && json.Unmarshal(e.Value, &r) == nil && r.Address != "" {
			addresses = append(addresses, r.Address)
		}
	}
	p.table.AddAddresses(time.Now(), addresses)
}

// unregister removes the registration by revoking its lease.
func (p *Peers) unregister(lease kvstore.LeaseID) {
	if lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := p.store.Revoke(ctx, lease); err != nil {
		klog.V(1).InfoS("Registration not revoked; it ends when its lease expires", "err", err)
	}
}

// Close closes all connections.
func (p *Peers) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		c.Close()
	}
}
