package executor

import (
	"net"
	"sync"
)

// LimitListener returns a listener that keeps at most n accepted connections open. Further connections wait until one
// is closed.
func LimitListener(l net.Listener, n int) net.Listener {
	return &limitListener{Listener: l, slots: make(chan struct{}, n), closed: make(chan struct{})}
}

type limitListener struct {
	net.Listener
	slots     chan struct{} // semaphore with one element per open connection
	closed    chan struct{}
	closeOnce sync.Once
}

// Accept waits until fewer than n connections are open, then for the next connection.
func (l *limitListener) Accept() (net.Conn, error) {
	select {
	case l.slots <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	conn, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	return &limitConn{Conn: conn, release: sync.OnceFunc(func() { <-l.slots })}, nil
}

// Close closes the listener. Waiting calls of Accept return net.ErrClosed.
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
