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
		for held := true; held; {
			switch m := mode(p.mode.Load()); {
			case m == silent, m == oneWay && answers:
				time.Sleep(20 * time.Millisecond)
			case m == delayed:
				time.Sleep(proxyDelay)
				held = false
			default:
				held = false
			}
		}
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
