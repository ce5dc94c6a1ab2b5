// Package membership tracks which entries are alive and which of them owns a cell. Ownership follows from rendezvous
// hashing over the live entries, without consensus: two entries that see different members may both consider
// themselves the owner, and the agents arbitrate.
package membership

import (
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"masticcart.example/masticcart/internal/protocol"
)

// Peer is another entry as of its last gossip message.
type Peer struct {
	State    protocol.EntryState
	LastSeen time.Time
}

// Table holds the peers of one entry. It is safe for concurrent use.
type Table struct {
	mu        sync.RWMutex
	self      protocol.EntryState
	peers     map[string]Peer
	addresses map[string]time.Time // gossip targets, with the time of their last mention
}

// addressTTL is how long an address is still dialled after its last mention by a peer or the platform. A peer that has
// been silent for this long is removed.
const addressTTL = time.Minute

// NewTable returns the table of an entry that knows only itself.
func NewTable(self protocol.EntryState) *Table {
	return &Table{self: self, peers: make(map[string]Peer), addresses: make(map[string]time.Time)}
}

// UpdateSelf applies f to the state that this entry gossips about itself.
func (t *Table) UpdateSelf(f func(*protocol.EntryState)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f(&t.self)
}

// Self returns this entry's own state with the addresses of its live peers, as sent in the next gossip round.
func (t *Table) Self(now time.Time) protocol.EntryState {
	t.mu.RLock()
	defer t.mu.RUnlock()
	out := t.self
	for _, p := range t.peers {
		if t.isLive(p, now) {
			out.Peers = append(out.Peers, p.State.Address)
		}
	}
	sort.Strings(out.Peers)
	return out
}

// RecordGossip records a gossip message of a peer and the addresses that it mentions.
func (t *Table) RecordGossip(now time.Time, g protocol.EntryState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if g.Entry == t.self.Entry {
		return
	}
	t.peers[g.Entry] = Peer{State: g, LastSeen: now}
	t.addresses[g.Address] = now
	for _, a := range g.Peers {
		t.addAddress(now, a)
	}
}

// AddAddresses adds the addresses of configured or registered entries to the gossip targets.
func (t *Table) AddAddresses(now time.Time, addresses []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, a := range addresses {
		t.addAddress(now, a)
	}
}

func (t *Table) addAddress(now time.Time, address string) {
	if address != t.self.Address {
		t.addresses[address] = now
	}
}

// AddressesToDial returns the addresses to gossip with, sorted. It first removes the addresses and peers that were
// last mentioned or heard more than addressTTL ago.
func (t *Table) AddressesToDial(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []string
	for a, mentioned := range t.addresses {
		if now.Sub(mentioned) > addressTTL {
			delete(t.addresses, a)
			continue
		}
		out = append(out, a)
	}
	for id, p := range t.peers {
		if now.Sub(p.LastSeen) > addressTTL {
			delete(t.peers, id)
		}
	}
	sort.Strings(out)
	return out
}

func (t *Table) isLive(p Peer, now time.Time) bool {
	return now.Sub(p.LastSeen) < protocol.PeerTimeout
}

// LivePeers returns the peers that were heard within PeerTimeout, sorted by id.
func (t *Table) LivePeers(now time.Time) []Peer {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var out []Peer
	for _, p := range t.peers {
		if t.isLive(p, now) {
			out = append(out, p)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].State.Entry < out[j].State.Entry })
	return out
}

// RendezvousOrder returns the live entries of a cell by descending rendezvous weight, including this entry if it
// belongs to the cell. The first one that qualifies by its number of agents owns the cell. Leaving entries come last,
// so that ownership moves before they stop.
func (t *Table) RendezvousOrder(cell string, now time.Time) []protocol.EntryState {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var out []protocol.EntryState
	if t.self.Cell == cell {
		out = append(out, t.self)
	}
	for _, p := range t.peers {
		if p.State.Cell == cell && t.isLive(p, now) {
			out = append(out, p.State)
		}
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].Leaving != out[j].Leaving {
			return out[j].Leaving
		}
		a, b := rendezvousWeight(cell, out[i].Entry), rendezvousWeight(cell, out[j].Entry)
		if a != b {
			return a > b
		}
		return out[i].Entry < out[j].Entry
	})
	return out
}

// CellOwner returns the owner of a cell in this entry's view of the members, which may be out of date. It reports
// false when no live entry of the cell is known.
func (t *Table) CellOwner(cell string, now time.Time) (protocol.EntryState, bool) {
	order := eligibleOwners(t.RendezvousOrder(cell, now))
	if len(order) == 0 {
		return protocol.EntryState{}, false
	}
	return order[0], true
}

// eligibleOwners removes the entries that are connected to fewer than half as many agents as the best connected one:
// an entry that just started, or that no agent can reach, must not own a cell whose agents it does not see.
func eligibleOwners(order []protocol.EntryState) []protocol.EntryState {
	maxAgents := 0
	for _, g := range order {
		maxAgents = max(maxAgents, g.Sessions)
	}
	return slices.DeleteFunc(order, func(g protocol.EntryState) bool { return 2*g.Sessions < maxAgents })
}

// RanksFirstFor reports whether this entry has the highest rendezvous weight of all live entries, across cells, for a
// task that only one entry of the system performs. A leaving entry never ranks first.
func (t *Table) RanksFirstFor(task string, now time.Time) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	own := rendezvousWeight(task, t.self.Entry)
	for id, p := range t.peers {
		if t.isLive(p, now) && !p.State.Leaving && rendezvousWeight(task, id) > own {
			return false
		}
	}
	return !t.self.Leaving
}

func rendezvousWeight(key, entry string) uint64 { return xxhash.Sum64String(key + "\x00" + entry) }

// OwnsCell reports whether this entry owns its own cell. It does not while it hears a peer of the cell that does not
// hear it: with a one-way network partition both would otherwise own the cell until the partition ends. Peers that are
// leaving or that are connected to too few agents to own the cell do not count.
func (t *Table) OwnsCell(now time.Time) bool {
	order := eligibleOwners(t.RendezvousOrder(t.self.Cell, now))
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
