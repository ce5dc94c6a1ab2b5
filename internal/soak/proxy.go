package soak

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// proxyMode is how a proxy treats the bytes that it forwards.
type proxyMode int32

const (
	modeForward proxyMode = iota
	modeDelay
	modeHoldAll     // connections are accepted, no bytes are forwarded
	modeHoldAnswers // requests are forwarded, answers are not
)

// String returns the name of the mode in the output of a run.
func (m proxyMode) String() string { return [...]string{"open", "delayed", "silent", "one way"}[m] }

// proxy forwards TCP connections to an address and can delay, hold and reset them.
type proxy struct {
	listener net.Listener
	target   string
	mode     atomic.Int32

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// chunkDelay is the delay of each chunk in modeDelay.
const chunkDelay = 200 * time.Millisecond

// newProxy starts a proxy on a free loopback port.
func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, conns: map[net.Conn]struct{}{}}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) setMode(m proxyMode) { p.mode.Store(int32(m)) }

// resetConnections closes all open connections with a TCP reset.
func (p *proxy) resetConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // close with RST
		}
		_ = c.Close()
	}
}

// close stops the listener and resets all connections.
func (p *proxy) close() {
	_ = p.listener.Close()
	p.resetConnections()
}

func (p *proxy) accept() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(in)
	}
}

// forward connects to the target and copies both directions until they end.
func (p *proxy) forward(in net.Conn) {
	out, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = in.Close()
		return
	}
	p.track(in, true)
	p.track(out, true)
	var group sync.WaitGroup
	group.Go(func() { p.copyStream(out, in, false) })
	group.Go(func() { p.copyStream(in, out, true) })
	group.Wait()
	p.track(in, false)
	p.track(out, false)
}

// track adds a connection to those that resetConnections closes, or removes it.
func (p *proxy) track(c net.Conn, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if open {
		p.conns[c] = struct{}{}
	} else {
		delete(p.conns, c)
	}
}

// copyStream forwards one direction of a connection until it ends. answers tells the direction from target to client.
func (p *proxy) copyStream(to, from net.Conn, answers bool) {
	defer func() { _, _ = to.Close(), from.Close() }() // the other direction may have closed both already
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		held := p.delayChunk(answers)
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

// delayChunk returns when a chunk may be forwarded in the current mode. It reports whether a mode held the chunk, which
// a mere delay does not.
func (p *proxy) delayChunk(answers bool) bool {
	held := false
	for {
		switch m := proxyMode(p.mode.Load()); {
		case m == modeHoldAll, m == modeHoldAnswers && answers:
			time.Sleep(holdPollInterval)
			held = true
		case m == modeDelay:
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
func (p *proxy) deliverLate(request []byte) {
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
