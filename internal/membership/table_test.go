package membership

import (
	"fmt"
	"testing"
	"time"

	"masticcart.example/masticcart/internal/protocol"
)

// pair returns an address pair of which the peer comes first in the order of the cell.
func pair(t *testing.T) (self, first string) {
	t.Helper()
	for i := range 100 {
		a, b := fmt.Sprintf("a%d", i), fmt.Sprintf("b%d", i)
		if weight("c", b) > weight("c", a) {
			return a, b
		}
	}
	t.Fatal("no pair found")
	return "", ""
}

// Guards against two owners for as long as a fault lasts, and against a cell without an owner because one entry hears
// nobody (F13), just started, or leaves.
func TestOwner(t *testing.T) {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	id, peerID := pair(t)
	peer := protocol.GossipArgs{Entry: peerID, Address: peerID, Cell: "c", Agents: 10, Peers: []string{id}}
	for name, c := range map[string]struct {
		change func(*protocol.GossipArgs)
		seen   time.Duration
		own    bool
	}{
		"peer comes first":       {change: func(*protocol.GossipArgs) {}, own: false},
		"peer is silent":         {change: func(*protocol.GossipArgs) {}, seen: protocol.PeerTimeout, own: true},
		"peer leaves":            {change: func(g *protocol.GossipArgs) { g.Leaving = true }, own: true},
		"peer is in another one": {change: func(g *protocol.GossipArgs) { g.Cell = "d" }, own: true},
		"peer hears no agents":   {change: func(g *protocol.GossipArgs) { g.Agents, g.Peers = 0, nil }, own: true},
		"peer hears a few":       {change: func(g *protocol.GossipArgs) { g.Agents = 4 }, own: true},
	} {
		t.Run(name, func(t *testing.T) {
			table := NewTable(protocol.GossipArgs{Entry: id, Address: id, Cell: "c", Agents: 10})
			g := peer
			c.change(&g)
			table.RecordGossip(now, g)
			if got := table.OwnsCell(now.Add(c.seen)); got != c.own {
				t.Errorf("owner %t, want %t", got, c.own)
			}
		})
	}
	table := NewTable(protocol.GossipArgs{Entry: peerID, Address: peerID, Cell: "c", Agents: 10})
	table.RecordGossip(now, protocol.GossipArgs{Entry: id, Address: id, Cell: "c", Agents: 10})
	if table.OwnsCell(now) {
		t.Error("an entry owns the cell although a peer that it hears does not hear it")
	}
	table.RecordGossip(now, protocol.GossipArgs{Entry: id, Address: id, Cell: "c", Agents: 10, Peers: []string{peerID}})
	if !table.OwnsCell(now) {
		t.Error("the first entry does not own the cell")
	}
}
