package membership

import (
	"fmt"
	"testing"
	"time"

	"masticcart.example/masticcart/internal/protocol"
)

// orderedIDs returns two entry ids, which also serve as addresses. The second one precedes the first in the rendezvous
// order of cell "c".
func orderedIDs(t *testing.T) (self, first string) {
	t.Helper()
	for i := range 100 {
		a, b := fmt.Sprintf("a%d", i), fmt.Sprintf("b%d", i)
		if rendezvousWeight("c", b) > rendezvousWeight("c", a) {
			return a, b
		}
	}
	t.Fatal("no id pair in the wanted rendezvous order found")
	return "", ""
}

// Guards against two owners of a cell for the whole duration of a fault, and against a cell without an owner because
// one entry hears no other, just started, or is leaving.
func TestCellOwnership(t *testing.T) {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	id, peerID := orderedIDs(t)
	peer := protocol.EntryState{Entry: peerID, Address: peerID, Cell: "c", Sessions: 10, Peers: []string{id}}
	for name, c := range map[string]struct {
		change  func(*protocol.EntryState)
		elapsed time.Duration // since the peer's last message
		owns    bool
	}{
		"peer ranks first":            {change: func(*protocol.EntryState) {}, owns: false},
		"peer is silent":              {change: func(*protocol.EntryState) {}, elapsed: protocol.PeerTimeout, owns: true},
		"peer is leaving":             {change: func(g *protocol.EntryState) { g.Leaving = true }, owns: true},
		"peer is in another cell":     {change: func(g *protocol.EntryState) { g.Cell = "d" }, owns: true},
		"peer has no agents":          {change: func(g *protocol.EntryState) { g.Sessions, g.Peers = 0, nil }, owns: true},
		"peer has under half of them": {change: func(g *protocol.EntryState) { g.Sessions = 4 }, owns: true},
	} {
		t.Run(name, func(t *testing.T) {
			table := NewTable(protocol.EntryState{Entry: id, Address: id, Cell: "c", Sessions: 10})
			g := peer
			c.change(&g)
			table.RecordGossip(now, g)
			if got := table.OwnsCell(now.Add(c.elapsed)); got != c.owns {
				t.Errorf("OwnsCell = %t, want %t", got, c.owns)
			}
		})
	}
	table := NewTable(protocol.EntryState{Entry: peerID, Address: peerID, Cell: "c", Sessions: 10})
	table.RecordGossip(now, protocol.EntryState{Entry: id, Address: id, Cell: "c", Sessions: 10})
	if table.OwnsCell(now) {
		t.Error("the entry owns the cell although a peer that it hears does not hear it")
	}
	table.RecordGossip(now, protocol.EntryState{Entry: id, Address: id, Cell: "c", Sessions: 10, Peers: []string{peerID}})
	if !table.OwnsCell(now) {
		t.Error("the first entry in rendezvous order does not own the cell")
	}
}
