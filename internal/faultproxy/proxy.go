// Package faultproxy forwards TCP connections and disturbs them, for tests and the soak.
package faultproxy

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Mode is how a proxy treats the bytes that it forwards.
type Mode int32

// Modes of a proxy.
const (
	Forward Mode = iota
	Delay
	HoldAll     // connections are accepted, no bytes are forwarded
	HoldAnswers // requests are forwarded, answers are not
)

// String returns the name of the mode in the output of a run.
func (m Mode) String() string { return [...]string{"open", "delayed", "silent", "one way"}[m] }

// Proxy forwards TCP connections to an address and can delay, hold and reset them.
type Proxy struct {
	listener net.Listener
	target   string
	mode     atomic.Int32

	mu    sync.Mutex
	conns map[net.Conn]*connection // both ends of the open connections
	count int                      // connections accepted so far
}

// connection is the state that both ends of a forwarded connection share.
type connection struct {
	silent atomic.Bool // bytes are read and dropped
}

// chunkDelay is the delay of each chunk in Delay.
const chunkDelay = 200 * time.Millisecond

// New starts a proxy on a free loopback port.
func New(target string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: l, target: target, conns: map[net.Conn]*connection{}}
	go p.accept()
	return p, nil
}

// Address returns the host and port on which the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetMode sets how bytes are treated from now on.
func (p *Proxy) SetMode(m Mode) { p.mode.Store(int32(m)) }

// ResetConnections closes all open connections with a TCP reset.
func (p *Proxy) ResetConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // close with RST
		}
		_ = c.Close()
	}
}

// SilenceConnections makes the open connections drop all bytes for good. They are not reset, and new ones work.
func (p *Proxy) SilenceConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		c.silent.Store(true)
	}
}

// Accepted returns the number of connections that were accepted so far.
func (p *Proxy) Accepted() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.count
}

// Close stops the listener and resets all connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.ResetConnections()
}

func (p *Proxy) accept() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(in)
	}
}

// forward connects to the target and copies both directions until they end.
func (p *Proxy) forward(in net.Conn) {
	out, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = in.Close()
		return
	}
	c := &connection{}
	p.mu.Lock()
	p.conns[in], p.conns[out] = c, c
	p.count++
	p.mu.Unlock()
	var group sync.WaitGroup
	group.Go(func() { p.copyStream(c, out, in, false) })
	group.Go(func() { p.copyStream(c, in, out, true) })
	group.Wait()
	_, _ = in.Close(), out.Close() // those of a silent connection are still open
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, in)
	delete(p.conns, out)
}

// copyStream forwards one direction of a connection until it ends. answers is true for the direction from the target to
// the client.
func (p *Proxy) copyStream(c *connection, to, from net.Conn, answers bool) {
	defer func() {
		if !c.silent.Load() {
			_, _ = to.Close(), from.Close() // the other direction may have closed both already
		}
	}()
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		held := p.delayChunk(answers)
		if c.silent.Load() {
			if err != nil { // the other end must not notice
				return
			}
			continue
		}
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				if held && !answers {
					p.deliverLate(buf[:n])
				}
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// delayChunk waits until a chunk may be forwarded in the current mode. It reports whether the chunk was held by
// HoldAll or HoldAnswers.
func (p *Proxy) delayChunk(answers bool) bool {
	held := false
	for {
		switch m := Mode(p.mode.Load()); {
		case m == HoldAll, m == HoldAnswers && answers:
			time.Sleep(holdPollInterval)
			held = true
		case m == Delay:
			time.Sleep(chunkDelay)
			return held
		default:
			return held
		}
	}
}

// holdPollInterval is the interval at which a held chunk checks whether the mode has changed.
const holdPollInterval = 20 * time.Millisecond

// deliverLate sends a held request, whose connection has broken meanwhile, on a new connection to the target. This
// simulates a delayed start or stop request that reaches a later incarnation of the worker. The answer is discarded.
func (p *Proxy) deliverLate(request []byte) {
	c, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }() // an error has no effect on the run
	if _, err := c.Write(request); err != nil {
		return
	}
	_ = c.SetReadDeadline(time.Now().Add(chunkDelay))
	_, _ = c.Read(make([]byte, 1)) // the target must read the request before the connection closes
}
