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
	registrationPrefix = "entries/"
	registrationTTL    = 10 * time.Second
	renewInterval      = 3 * time.Second
	listInterval       = 5 * time.Second
	gossipTimeout      = 900 * time.Millisecond // below GossipInterval, so that rounds do not pile up
	registrationLimit  = 1000
)

// Peers keeps connections to other entries and exchanges gossip with them.
type Peers struct {
	table *membership.Table
	store kvstore.Store
	tls   *tls.Config
	meter *rpc.Meter
	scope tally.Scope
	seeds []string
	// self fills in the parts of the gossip that change.
	self func(*protocol.EntryState)
	// heard is told of each message and lost of each peer that no longer reports.
	heard func(protocol.EntryState)
	lost  func(id string)

	mu       sync.Mutex
	conns    map[string]*rpc.Conn // by address
	handlers rpc.Handlers
	alive    map[string]bool
}

// connect returns the connection to an address, dialling it if needed.
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

// CallEntry calls a peer by its id.
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

// RunGossip exchanges state with all known entries until ctx ends.
func (p *Peers) RunGossip(ctx context.Context) {
	ticker := time.NewTicker(protocol.GossipInterval)
	defer ticker.Stop()
	for {
		p.round(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (p *Peers) round(ctx context.Context) {
	now := time.Now()
	p.table.AddAddresses(now, p.seeds)
	p.table.UpdateSelf(p.self)
	message := p.table.Self(now)
	var calls sync.WaitGroup
	for _, address := range p.table.AddressesToDial(now) {
		calls.Go(func() {
			callCtx, cancel := context.WithTimeout(ctx, gossipTimeout)
			defer cancel()
			var reply protocol.GossipReply
			if err := p.CallAddress(callCtx, address, protocol.MethodGossip, message, &reply); err != nil {
				klog.V(2).InfoS("Peer not reached", "address", address, "err", err)
				return
			}
			p.observe(reply)
		})
	}
	calls.Wait()
	p.meter.Report(p.scope)
	p.noteLost()
}

func (p *Peers) observe(g protocol.EntryState) {
	p.table.RecordGossip(time.Now(), g)
	p.mu.Lock()
	known := p.alive[g.Entry]
	p.alive[g.Entry] = true
	p.mu.Unlock()
	if !known {
		klog.InfoS("Peer joined", "entry", g.Entry, "address", g.Address, "region", g.Region, "cell", g.Cell)
	}
	p.heard(g)
}

func (p *Peers) noteLost() {
	now := make(map[string]bool)
	for _, peer := range p.table.LivePeers(time.Now()) {
		now[peer.State.Entry] = true
	}
	p.mu.Lock()
	var gone []string
	for id := range p.alive {
		if !now[id] {
			gone = append(gone, id)
			delete(p.alive, id)
		}
	}
	p.mu.Unlock()
	for _, id := range gone {
		klog.InfoS("Peer lost", "entry", id)
		p.lost(id)
	}
}

// handleGossip answers a peer's message with this entry's state.
func (p *Peers) handleGossip(_ context.Context, _ *rpc.Conn, g protocol.EntryState) (protocol.GossipReply, error) {
	p.observe(g)
	p.table.UpdateSelf(p.self)
	return p.table.Self(time.Now()), nil
}

// RunRegistration keeps this entry's address in the platform under a lease and learns the others' addresses. During
// an outage gossip alone keeps the members together.
func (p *Peers) RunRegistration(ctx context.Context, id, cellName, address string) {
	var lease kvstore.LeaseID
	renewed, listed := time.Time{}, time.Time{}
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		now := time.Now()
		if now.Sub(renewed) >= renewInterval {
			lease = p.renew(ctx, lease, id, cellName, address)
			renewed = now
		}
		if now.Sub(listed) >= listInterval {
			p.list(ctx)
			listed = now
		}
		select {
		case <-ctx.Done():
			p.unregister(lease)
			return
		case <-ticker.C:
		}
	}
}

type registration struct {
	Address string `json:"address"`
}

// renew keeps the lease alive, or registers anew when there is none.
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
		expect = e.Revision // left by an earlier process of this name
	}
	if _, err := p.store.Put(callCtx, key, value, expect, lease); err != nil {
		klog.V(1).InfoS("Entry not registered", "err", err)
		return 0
	}
	return lease
}

func (p *Peers) list(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, listInterval)
	defer cancel()
	entries, _, err := p.store.Range(callCtx, registrationPrefix, "", registrationLimit)
	if err != nil {
		klog.V(2).InfoS("Entries not listed", "err", err)
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

func (p *Peers) unregister(lease kvstore.LeaseID) {
	if lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := p.store.Revoke(ctx, lease); err != nil {
		klog.V(1).InfoS("Registration not revoked, it lapses with its lease", "err", err)
	}
}

// Close ends all connections.
func (p *Peers) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		c.Close()
	}
}
