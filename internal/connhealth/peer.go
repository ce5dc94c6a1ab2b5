// Package connhealth closes the connections to a peer that have gone silent.
//
// A connection may stop carrying bytes without a reset while new connections to the same peer work. TCP keep-alive does not
// show that if something in between answers it, so a request without an answer is the only sign. It speaks against all
// connections of the peer that have been silent since, in all pools of the process: each of them would otherwise cost another
// request its time. A peer that is slow answers some of its connections, which are kept, and a peer that is away does not
// answer new connections either, which says nothing of the old ones.
package connhealth

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"
)

// minSilence is how long an answer must be overdue to speak against a connection. It exceeds the pauses of a busy process.
const minSilence = 350 * time.Millisecond

// Peer is the set of open connections of this process to one peer. It is safe for concurrent use.
type Peer struct {
	name string

	mu    sync.Mutex
	conns map[*Conn]struct{}
}

// NewPeer returns a peer without connections. name identifies it in logs.
func NewPeer(name string) *Peer { return &Peer{name: name, conns: map[*Conn]struct{}{}} }

// Conn is a connection that a Peer tracks until it is closed.
type Conn struct {
	net.Conn
	peer *Peer
	// heardAt is when the connection was opened or last carried bytes from the peer, sentAt when it last carried bytes to it,
	// both as nanoseconds since start.
	heardAt, sentAt atomic.Int64
	answered        atomic.Bool // it has carried bytes from the peer
}

// start is the origin of the times of connections, which are read from the monotonic clock.
var start = time.Now()

func nanoseconds(t time.Time) int64 { return int64(t.Sub(start)) }

// Track adds a connection to the peer. The caller uses the returned one instead.
func (p *Peer) Track(conn net.Conn) *Conn {
	c := &Conn{Conn: conn, peer: p}
	c.heardAt.Store(nanoseconds(time.Now()))
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[c] = struct{}{}
	return c
}

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.heardAt.Store(nanoseconds(time.Now()))
		c.answered.Store(true)
	}
	return n, err
}

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	c.sentAt.Store(nanoseconds(time.Now()))
	return c.Conn.Write(b)
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.peer.mu.Lock()
	delete(c.peer.conns, c)
	c.peer.mu.Unlock()
	return c.Conn.Close()
}

// silentSince reports whether the connection has carried no bytes from the peer since a time.
func (c *Conn) silentSince(t time.Time) bool { return c.heardAt.Load() < nanoseconds(t) }

// idle reports whether nothing was sent on the connection since the peer was last heard on it.
func (c *Conn) idle() bool { return c.sentAt.Load() <= c.heardAt.Load() }

// Unanswered reports a request that got no answer on a connection by now although it was due at a time. If the connection has
// worked before and has been silent since, it is closed, and with it the idle connections that have been silent as long.
// Those on which other requests wait are left to the time-outs of these: a long poll may be silent. It returns the number of
// closed connections.
func (p *Peer) Unanswered(c *Conn, due time.Time) int {
	if time.Since(due) < minSilence || !c.answered.Load() || !c.silentSince(due) {
		return 0
	}
	silent := []*Conn{c}
	p.mu.Lock()
	for o := range p.conns {
		if o != c && o.idle() && o.silentSince(due) {
			silent = append(silent, o)
		}
	}
	p.mu.Unlock()
	for _, o := range silent {
		if err := o.Close(); err != nil {
			klog.V(2).InfoS("Failed to close connection", "peer", p.name, "err", err)
		}
	}
	klog.InfoS("Closed silent connections", "peer", p.name, "closed", len(silent), "overdueMs", time.Since(due).Milliseconds())
	return len(silent)
}
