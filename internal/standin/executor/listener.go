package executor

import (
	"net"
	"sync"
)

// LimitListener returns a listener with at most n open connections. Further ones wait to be accepted.
func LimitListener(l net.Listener, n int) net.Listener {
	return &limitListener{Listener: l, open: make(chan struct{}, n), closed: make(chan struct{})}
}

type limitListener struct {
	net.Listener
	open      chan struct{} // one element per open connection
	closed    chan struct{}
	closeOnce sync.Once
}

// Accept waits until a connection may be opened, then for one.
func (l *limitListener) Accept() (net.Conn, error) {
	select {
	case l.open <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	conn, err := l.Listener.Accept()
	if err != nil {
		<-l.open
		return nil, err
	}
	return &limitConn{Conn: conn, release: sync.OnceFunc(func() { <-l.open })}, nil
}

// Close ends waiting calls of Accept as well.
func (l *limitListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

type limitConn struct {
	net.Conn
	release func()
}

func (c *limitConn) Close() error {
	defer c.release()
	return c.Conn.Close()
}
