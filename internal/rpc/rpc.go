// Package rpc carries JSON-RPC 2.0 between masticcart's own processes over TCP or TLS. Both ends of a
// connection can call the other.
package rpc

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sourcegraph/jsonrpc2"
	"k8s.io/klog/v2"
)

const (
	// maxConcurrentRequests bounds the requests that one connection may have in progress.
	maxConcurrentRequests = 256
	keepAlivePeriod       = 5 * time.Second
	codeOverloaded        = -32001
)

// Errors of this package.
var (
	// ErrClosed means that the connection ended; a call that was in progress may have taken effect.
	ErrClosed = merry.New("rpc: connection closed")
	// ErrDial means that no connection could be made, so that nothing was sent.
	ErrDial = merry.New("rpc: dial failed")
	// ErrOverloaded means that the peer refused the call before it looked at it.
	ErrOverloaded = merry.New("rpc: peer overloaded")
)

// Handler serves one method. The connection can be used to call back.
type Handler func(ctx context.Context, conn *Conn, params json.RawMessage) (any, error)

// Handlers maps method names to their handlers.
type Handlers map[string]Handler

// Method adapts a typed function to a Handler.
func Method[A, R any](f func(ctx context.Context, conn *Conn, args A) (R, error)) Handler {
	return func(ctx context.Context, conn *Conn, params json.RawMessage) (any, error) {
		var args A
		if err := json.Unmarshal(params, &args); err != nil {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
		}
		return f(ctx, conn, args)
	}
}

// Conn is one connection to a peer.
type Conn struct {
	peer     *jsonrpc2.Conn
	handlers Handlers
	slots    chan struct{}
	remote   string
	ready    chan struct{} // closed once peer is set; requests can arrive before
	serial   uint64
}

// Handle implements jsonrpc2.Handler.
func (c *Conn) Handle(ctx context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) {
	select {
	case c.slots <- struct{}{}:
	default:
		<-c.ready
		c.replyError(ctx, req, &jsonrpc2.Error{Code: codeOverloaded, Message: "too many requests in progress"})
		return
	}
	go func() {
		defer func() { <-c.slots }()
		<-c.ready
		c.serve(ctx, req)
	}()
}

func (c *Conn) serve(ctx context.Context, req *jsonrpc2.Request) {
	h, ok := c.handlers[req.Method]
	if !ok {
		c.replyError(ctx, req, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: req.Method})
		return
	}
	var params json.RawMessage
	if req.Params != nil {
		params = *req.Params
	}
	result, err := h(ctx, c, params)
	if err != nil {
		c.replyError(ctx, req, toRemote(err))
		return
	}
	if req.Notif {
		return
	}
	if err := c.peer.Reply(ctx, req.ID, result); err != nil && !errors.Is(err, jsonrpc2.ErrClosed) {
		klog.InfoS("Reply not sent", "method", req.Method, "remote", c.remote, "err", err)
		c.replyError(ctx, req, toRemote(err)) // for example a reply that is too large
	}
}

func (c *Conn) replyError(ctx context.Context, req *jsonrpc2.Request, e *jsonrpc2.Error) {
	if req.Notif {
		return
	}
	if err := c.peer.ReplyWithError(ctx, req.ID, e); err != nil && !errors.Is(err, jsonrpc2.ErrClosed) {
		klog.V(2).InfoS("Error reply not sent", "method", req.Method, "remote", c.remote, "err", err)
	}
}

func toRemote(err error) *jsonrpc2.Error {
	var remote *jsonrpc2.Error
	if errors.As(err, &remote) {
		return remote
	}
	return &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: err.Error()}
}

// Call sends a request and waits for its reply. ErrClosed and context errors leave open whether the peer
// acted on it.
func (c *Conn) Call(ctx context.Context, method string, args, reply any) error {
	err := c.peer.Call(ctx, method, args, reply)
	var remote *jsonrpc2.Error
	switch {
	case err == nil:
		return nil
	case errors.As(err, &remote) && remote.Code == codeOverloaded:
		return merry.Wrap(ErrOverloaded, merry.AppendMessage(c.remote))
	case errors.As(err, &remote):
		return merry.Prependf(remote, "rpc: %s at %s", method, c.remote)
	case ctx.Err() != nil:
		return ctx.Err()
	default:
		return merry.Wrap(ErrClosed, merry.AppendMessagef("%s at %s: %v", method, c.remote, err))
	}
}

// AcceptSequence orders the connections that one server accepted; a later one has a higher serial.
func (c *Conn) AcceptSequence() uint64 { return c.serial }

// RemoteAddress returns the peer's address.
func (c *Conn) RemoteAddress() string { return c.remote }

// Done is closed when the connection ends.
func (c *Conn) Done() <-chan struct{} { return c.peer.DisconnectNotify() }

// Close ends the connection. A connection that has ended already is left as it is.
func (c *Conn) Close() {
	if err := c.peer.Close(); err != nil && !errors.Is(err, jsonrpc2.ErrClosed) {
		klog.V(2).InfoS("Connection not closed cleanly", "remote", c.remote, "err", err)
	}
}

func newConn(ctx context.Context, nc net.Conn, h Handlers, m *Meter, serial uint64) *Conn {
	c := &Conn{handlers: h, serial: serial, slots: make(chan struct{}, maxConcurrentRequests), ready: make(chan struct{}), remote: nc.RemoteAddr().String()}
	ctx, cancel := context.WithCancel(ctx)
	c.peer = jsonrpc2.NewConn(ctx, jsonrpc2.NewBufferedStream(meteredConn{nc, m}, boundedCodec{}), c,
		jsonrpc2.SetLogger(discardLogger{}))
	close(c.ready)
	go func() { // requests in progress end with the connection
		<-c.Done()
		cancel()
	}()
	return c
}

// discardLogger drops the library's own lines; errors reach the caller of each call.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

// Dial connects to a peer. The connection outlives ctx, which bounds the dial only.
func Dial(ctx context.Context, address string, tlsConfig *tls.Config, h Handlers, m *Meter) (*Conn, error) {
	dialer := &net.Dialer{KeepAlive: keepAlivePeriod}
	var nc net.Conn
	var err error
	if tlsConfig != nil {
		nc, err = (&tls.Dialer{NetDialer: dialer, Config: tlsConfig}).DialContext(ctx, "tcp", address)
	} else {
		nc, err = dialer.DialContext(ctx, "tcp", address)
	}
	if err != nil {
		return nil, merry.Wrap(ErrDial, merry.AppendMessagef("%s: %v", address, err))
	}
	return newConn(context.WithoutCancel(ctx), nc, h, m, 0), nil
}

// Server accepts connections until it is closed.
type Server struct {
	listener net.Listener
	handlers Handlers
	meter    *Meter
	mu       sync.Mutex
	conns    map[*Conn]struct{}
	accepted uint64
	closed   bool
}

// Listen opens a listener and starts to accept. A nil tlsConfig means plain TCP.
func Listen(address string, tlsConfig *tls.Config, h Handlers, m *Meter) (*Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, merry.Prepend(err, "rpc: listen")
	}
	if tlsConfig != nil {
		l = tls.NewListener(l, tlsConfig)
	}
	s := &Server{listener: l, handlers: h, meter: m, conns: make(map[*Conn]struct{})}
	go s.accept()
	return s, nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

func (s *Server) accept() {
	for {
		nc, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			klog.InfoS("Accept failed", "address", s.Address(), "err", err)
			time.Sleep(50 * time.Millisecond) // for example out of file descriptors
			continue
		}
		s.accepted++ // by this goroutine only
		s.track(newConn(context.Background(), nc, s.handlers, s.meter, s.accepted))
	}
}

func (s *Server) track(c *Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		c.Close()
		return
	}
	s.conns[c] = struct{}{}
	go func() {
		<-c.Done()
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.conns, c)
	}()
}

// Close stops accepting and ends all connections.
func (s *Server) Close() {
	if err := s.listener.Close(); err != nil {
		klog.V(2).InfoS("Listener not closed cleanly", "address", s.Address(), "err", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for c := range s.conns {
		c.Close()
	}
}
