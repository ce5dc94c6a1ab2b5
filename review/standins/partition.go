//go:build review

package main

import (
	"net"
	"sync"
	"time"
)

// partition is a proxy between an executor and the control address of its agent. While it is closed, it forwards
// nothing: new channels hang, and bytes that were sent wait for the sender's next retransmission after the partition.
type partition struct {
	listener net.Listener
	target   string
	rec      *recorder

	mu     sync.Mutex
	closed bool
	healed chan struct{} // closed when the partition ends
}

func newPartition(target string, rec *recorder) (*partition, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &partition{listener: l, target: target, rec: rec, healed: make(chan struct{})}
	go p.accept()
	return p, nil
}

func (p *partition) address() string { return p.listener.Addr().String() }

func (p *partition) cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed, p.healed = true, make(chan struct{})
}

func (p *partition) heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = false
	close(p.healed)
}

func (p *partition) state() (closed bool, healed chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.closed, p.healed
}

func (p *partition) accept() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(in)
	}
}

// forward forwards a channel. A new one that is opened during the partition is refused after it, as its opening
// packets were lost and its sender has given up.
func (p *partition) forward(in net.Conn) {
	defer in.Close()
	if closed, healed := p.state(); closed {
		<-healed
		return
	}
	out, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer out.Close()
	go func() {
		defer in.Close()
		defer out.Close()
		p.copyStream(in, out)
	}()
	p.copyStream(out, in)
}

// firstRetransmission is the least delay of the first retransmission of TCP. It doubles with each one.
const firstRetransmission = 200 * time.Millisecond

// copyStream forwards one direction until it ends. The end of a sender does not take back what it has sent.
func (p *partition) copyStream(to, from net.Conn) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		sent := time.Now()
		if closed, healed := p.state(); n > 0 && closed {
			<-healed
			delay, wait := firstRetransmission, firstRetransmission
			for time.Since(sent) > wait {
				delay *= 2
				wait += delay
			}
			time.Sleep(wait - time.Since(sent))
			p.rec.logf("%d bytes that the partition held arrive %.1f s after they were sent", n, time.Since(sent).Seconds())
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

func (p *partition) close() { _ = p.listener.Close() }
