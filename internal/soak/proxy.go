package soak

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// mode is what a proxy does with bytes.
type mode int32

const (
	pass mode = iota
	delayed
	silent // accepts and holds everything
	oneWay // requests pass, answers are held
)

// String names the mode in the story of a run.
func (m mode) String() string { return [...]string{"open", "delayed", "silent", "one way"}[m] }

// proxy forwards connections to an address and can harm them.
type proxy struct {
	listener net.Listener
	target   string
	mode     atomic.Int32

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// proxyDelay is added to each chunk in the mode delayed.
const proxyDelay = 200 * time.Millisecond

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

func (p *proxy) set(m mode) { p.mode.Store(int32(m)) }

// reset breaks all open connections.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // so that the peer sees a reset
		}
		_ = c.Close()
	}
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.reset()
}

func (p *proxy) accept() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(in)
	}
}

func (p *proxy) serve(in net.Conn) {
	out, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = in.Close()
		return
	}
	p.track(in, true)
	p.track(out, true)
	var group sync.WaitGroup
	group.Go(func() { p.copy(out, in, false) })
	group.Go(func() { p.copy(in, out, true) })
	group.Wait()
	p.track(in, false)
	p.track(out, false)
}

func (p *proxy) track(c net.Conn, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if open {
		p.conns[c] = struct{}{}
	} else {
		delete(p.conns, c)
	}
}

// copy forwards one direction until it ends.
func (p *proxy) copy(to, from net.Conn, answers bool) {
	defer func() { _, _ = to.Close(), from.Close() }() // the other direction may have closed them
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		held := p.hold(answers)
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

// hold keeps a chunk back as the mode says, and reports whether it was held for long.
func (p *proxy) hold(answers bool) bool {
	held := false
	for {
		switch m := mode(p.mode.Load()); {
		case m == silent, m == oneWay && answers:
			time.Sleep(holdPause)
			held = true
		case m == delayed:
			time.Sleep(proxyDelay)
			return held
		default:
			return held
		}
	}
}

// holdPause is the pace at which a held chunk looks for the end of its mode.
const holdPause = 20 * time.Millisecond

// deliverLate sends a request whose receiver has gone meanwhile to whoever listens there now: orders may be carried out
// late, by a later life of a worker. Its answer is lost.
func (p *proxy) deliverLate(request []byte) {
	c, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }() // nothing follows
	if _, err := c.Write(request); err != nil {
		return
	}
	_ = c.SetReadDeadline(time.Now().Add(proxyDelay))
	_, _ = c.Read(make([]byte, 1)) // so that the request is read before the connection ends
}
