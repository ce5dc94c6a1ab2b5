// Package membership knows which entries are alive and which of them owns a cell. It agrees on nothing: two
// entries that see different members may both take themselves for the owner, and the agents arbitrate.
package membership

import (
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"masticcart.example/masticcart/internal/protocol"
)

// Peer is another entry as it last reported.
type Peer struct {
	State    protocol.GossipArgs
	LastSeen time.Time
}

// Table holds the peers of one entry. It is safe for concurrent use.
type Table struct {
	mu    sync.RWMutex
	self  protocol.GossipArgs
	peers map[string]Peer
	known map[string]time.Time // addresses worth dialling, with the time they were last mentioned
}

// forgetAfter is how long an address that nobody mentions any more is still dialled.
const forgetAfter = time.Minute

// NewTable returns the table of an entry that knows only itself.
func NewTable(self protocol.GossipArgs) *Table {
	return &Table{self: self, peers: make(map[string]Peer), known: make(map[string]time.Time)}
}

// UpdateSelf updates what this entry reports of itself.
func (t *Table) UpdateSelf(f func(*protocol.GossipArgs)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f(&t.self)
}

// Self returns the message for the next round of gossip.
func (t *Table) Self(now time.Time) protocol.GossipArgs {
	t.mu.RLock()
	defer t.mu.RUnlock()
	out := t.self
	for _, p := range t.peers {
		if t.alive(p, now) {
			out.Peers = append(out.Peers, p.State.Address)
		}
	}
	sort.Strings(out.Peers)
	return out
}

// RecordGossip records a message from a peer.
func (t *Table) RecordGossip(now time.Time, g protocol.GossipArgs) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if g.Entry == t.self.Entry {
		return
	}
	t.peers[g.Entry] = Peer{State: g, LastSeen: now}
	t.known[g.Address] = now
	for _, a := range g.Peers {
		t.know(now, a)
	}
}

// AddAddresses adds addresses from the platform's registrations.
func (t *Table) AddAddresses(now time.Time, addresses []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, a := range addresses {
		t.know(now, a)
	}
}

func (t *Table) know(now time.Time, address string) {
	if address != t.self.Address {
		t.known[address] = now
	}
}

// AddressesToDial returns the addresses to gossip with, and forgets those that nobody mentions any more.
func (t *Table) AddressesToDial(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []string
	for a, mentioned := range t.known {
		if now.Sub(mentioned) > forgetAfter {
			delete(t.known, a)
			continue
		}
		out = append(out, a)
	}
	for id, p := range t.peers {
		if now.Sub(p.LastSeen) > forgetAfter {
			delete(t.peers, id)
		}
	}
	sort.Strings(out)
	return out
}

func (t *Table) alive(p Peer, now time.Time) bool { return now.Sub(p.LastSeen) < protocol.PeerTimeout }

// LivePeers returns the peers that reported within PeerTimeout, sorted by id.
func (t *Table) LivePeers(now time.Time) []Peer {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var out []Peer
	for _, p := range t.peers {
		if t.alive(p, now) {
			out = append(out, p)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].State.Entry < out[j].State.Entry })
	return out
}

// RendezvousOrder returns the live entries of a cell in rendezvous order, this one included if it belongs there. The
// first is the cell's owner unless it lacks agents. Leaving entries come last, so that ownership moves before
// they stop.
func (t *Table) RendezvousOrder(cell string, now time.Time) []protocol.GossipArgs {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var out []protocol.GossipArgs
	if t.self.Cell == cell {
		out = append(out, t.self)
	}
	for _, p := range t.peers {
		if p.State.Cell == cell && t.alive(p, now) {
			out = append(out, p.State)
		}
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].Leaving != out[j].Leaving {
			return out[j].Leaving
		}
		a, b := weight(cell, out[i].Entry), weight(cell, out[j].Entry)
		if a != b {
			return a > b
		}
		return out[i].Entry < out[j].Entry
	})
	return out
}

// CellOwner returns the entry that owns a cell as far as this one knows.
func (t *Table) CellOwner(cell string, now time.Time) (protocol.GossipArgs, bool) {
	order := candidates(t.RendezvousOrder(cell, now))
	if len(order) == 0 {
		return protocol.GossipArgs{}, false
	}
	return order[0], true
}

// candidates leaves out the entries that hear less than half as many agents as the best: an entry that just
// started, or that nobody can reach, must not take a cell that it does not see.
func candidates(order []protocol.GossipArgs) []protocol.GossipArgs {
	most := 0
	for _, g := range order {
		most = max(most, g.Agents)
	}
	return slices.DeleteFunc(order, func(g protocol.GossipArgs) bool { return 2*g.Agents < most })
}

// RanksFirstFor reports whether this entry is the first of all live entries for a duty that one process performs for
// the whole system.
func (t *Table) RanksFirstFor(duty string, now time.Time) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	own := weight(duty, t.self.Entry)
	for id, p := range t.peers {
		if t.alive(p, now) && !p.State.Leaving && weight(duty, id) > own {
			return false
		}
	}
	return !t.self.Leaving
}

func weight(cell, entry string) uint64 { return xxhash.Sum64String(cell + "\x00" + entry) }

// OwnsCell reports whether this entry is the first in its own cell's order. An entry that hears a peer which does
// not hear it leaves the cell to that peer: in a cut of one direction only, both would otherwise own the cell
// for as long as the cut lasts.
func (t *Table) OwnsCell(now time.Time) bool {
	order := candidates(t.RendezvousOrder(t.self.Cell, now))
	if len(order) == 0 || order[0].Entry != t.self.Entry {
		return false
	}
	for _, g := range order[1:] {
		if !g.Leaving && !slices.Contains(g.Peers, t.self.Address) {
			return false
		}
	}
	return true
}
