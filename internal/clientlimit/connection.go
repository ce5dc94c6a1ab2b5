package clientlimit

import (
	"container/list"
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"k8s.io/klog/v2"
)

const (
	// writeTimeout bounds one write of a response to a client that does not read.
	writeTimeout = 30 * time.Second
	// evictedWriteTimeout is writeTimeout for the response to a request that had to give way.
	evictedWriteTimeout = time.Second
	// sendBufferBytes bounds the kernel's buffer for the responses that a client has not read.
	sendBufferBytes = 32 << 10
)

// connection is a connection of a client. The fields without a comment about locking are guarded by the limiter's mutex.
type connection struct {
	net.Conn // safe for concurrent use
	limiter  *Limiter
	phase    phase
	since    time.Time     // of the phase
	element  *list.Element // in the list of the phase; nil once the connection has been evicted or removed
	removed  bool
	reserved int64 // bytes for the body of the current request
}

// Protect enforces the limits on a server that is to serve the listener, and returns the listener to pass to Serve. It sets
// the server's ConnContext and ConnState, and wraps its Handler. A TLS listener has to wrap the returned one.
func (l *Limiter) Protect(server *http.Server, listener net.Listener) net.Listener {
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connectionKey{}, connectionOf(c))
	}
	server.ConnState = func(c net.Conn, state http.ConnState) {
		if state == http.StateClosed || state == http.StateHijacked {
			if own := connectionOf(c); own != nil {
				l.remove(own)
			}
		}
	}
	server.Handler = trackRequests(server.Handler)
	return &limitedListener{Listener: listener, limiter: l}
}

type connectionKey struct{}

// connectionOf returns the limiter's connection under a connection of the server, or nil.
func connectionOf(c net.Conn) *connection {
	if t, ok := c.(*tls.Conn); ok {
		c = t.NetConn()
	}
	own, _ := c.(*connection)
	return own
}

// limitedListener accepts connections within the limits.
type limitedListener struct {
	net.Listener
	limiter *Limiter
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &connection{Conn: accepted, limiter: l.limiter}
		if !l.limiter.admit(c) {
			_ = accepted.Close()
			continue
		}
		if t, ok := accepted.(*net.TCPConn); ok {
			if err := t.SetWriteBuffer(sendBufferBytes); err != nil {
				klog.V(1).InfoS("Send buffer not set", "err", err)
			}
		}
		return c, nil
	}
}

// interrupt ends what an evicted connection is doing: the read of a body fails, so that the request is answered, and
// everything else is cut off.
func (c *connection) interrupt() {
	c.limiter.mu.Lock()
	hasRequest := c.phase == receiving
	c.limiter.mu.Unlock()
	if !hasRequest {
		_ = c.Close()
		return
	}
	if err := c.SetReadDeadline(time.Unix(1, 0)); err != nil {
		_ = c.Close()
	}
}

// enter moves the connection to a phase. It returns false if the connection has been evicted.
func (c *connection) enter(p phase) bool {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	return c.limiter.enter(c, p)
}

// Write implements net.Conn. A client that does not read its responses has to give way to others.
func (c *connection) Write(b []byte) (int, error) {
	c.limiter.mu.Lock()
	before := c.phase
	timeout := writeTimeout
	if !c.limiter.enter(c, responding) {
		timeout = evictedWriteTimeout
	}
	c.limiter.mu.Unlock()
	if err := c.SetWriteDeadline(time.Now().Add(timeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(b)
	c.enter(before)
	return n, err
}

// CloseWrite lets net/http end a connection without resetting it.
func (c *connection) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return c.Close()
}
