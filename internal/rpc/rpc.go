// Package rpc carries JSON-RPC 2.0 between masticcart's own processes over TCP or TLS. Either end of a connection can
// call the other.
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

	"masticcart.example/masticcart/internal/connhealth"
)

const (
	// maxConcurrentRequests bounds the in-flight requests that are served for one connection.
	maxConcurrentRequests = 256
	keepAlivePeriod       = 5 * time.Second
	// codeOverloaded is the JSON-RPC error code of a request over maxConcurrentRequests.
	codeOverloaded = -32001
)

// Errors returned by Dial and Conn.Call.
var (
	// ErrClosed means that the connection ended. A call that was in flight may have taken effect.
	ErrClosed = merry.New("rpc: connection closed")
	// ErrDial means that no connection could be established, so nothing was sent.
	ErrDial = merry.New("rpc: dial failed")
	// ErrOverloaded means that the peer rejected the call without executing it.
	ErrOverloaded = merry.New("rpc: peer overloaded")
)

// Handler serves one method. The handler can call the peer back over conn.
type Handler func(ctx context.Context, conn *Conn, params json.RawMessage) (any, error)

// Handlers maps method names to handlers.
type Handlers map[string]Handler

// Method returns a Handler that decodes the parameters into A and calls f. Parameters that cannot be decoded are
// answered with CodeInvalidParams.
func Method[A, R any](f func(ctx context.Context, conn *Conn, args A) (R, error)) Handler {
	return func(ctx context.Context, conn *Conn, params json.RawMessage) (any, error) {
		var args A
		if err := json.Unmarshal(params, &args); err != nil {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
		}
		return f(ctx, conn, args)
	}
}

// Conn is one connection to a peer. It is safe for concurrent use.
type Conn struct {
	rpcConn        *jsonrpc2.Conn
	peer           *connhealth.Peer
	tracked        *connhealth.Conn
	handlers       Handlers
	inFlight       chan struct{} // semaphore of maxConcurrentRequests
	remoteAddress  string
	ready          chan struct{} // closed once rpcConn is set, since requests can arrive before that
	acceptSequence uint64
}

// Handle implements jsonrpc2.Handler. The library calls it from the loop that reads the connection, so each request is
// served in a goroutine of its own.
func (c *Conn) Handle(ctx context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) {
	select {
	case c.inFlight <- struct{}{}:
	default:
		<-c.ready
		c.replyError(ctx, req, &jsonrpc2.Error{Code: codeOverloaded, Message: "too many requests in progress"})
		return
	}
	go func() {
		defer func() { <-c.inFlight }()
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
		c.replyError(ctx, req, toRPCError(err))
		return
	}
	if req.Notif {
		return
	}
	if err := c.rpcConn.Reply(ctx, req.ID, result); err != nil && !errors.Is(err, jsonrpc2.ErrClosed) {
		klog.InfoS("Failed to send reply", "method", req.Method, "remote", c.remoteAddress, "err", err)
		c.replyError(ctx, req, toRPCError(err)) // for example a reply over MaxMessageBytes
	}
}

func (c *Conn) replyError(ctx context.Context, req *jsonrpc2.Request, e *jsonrpc2.Error) {
	if req.Notif {
		return
	}
	if err := c.rpcConn.ReplyWithError(ctx, req.ID, e); err != nil && !errors.Is(err, jsonrpc2.ErrClosed) {
		klog.V(2).InfoS("Failed to send error reply", "method", req.Method, "remote", c.remoteAddress, "err", err)
	}
}

// toRPCError returns the JSON-RPC error that err wraps, or else an internal error with the message of err.
func toRPCError(err error) *jsonrpc2.Error {
	var rpcErr *jsonrpc2.Error
	if errors.As(err, &rpcErr) {
		return rpcErr
	}
	return &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: err.Error()}
}

// Call sends a request and waits for its reply. After ErrClosed or the error of ctx, the peer may or may not have
// executed the request.
func (c *Conn) Call(ctx context.Context, method string, args, reply any) error {
	err := c.rpcConn.Call(ctx, method, args, reply)
	var rpcErr *jsonrpc2.Error
	switch {
	case err == nil:
		return nil
	case errors.As(err, &rpcErr) && rpcErr.Code == codeOverloaded:
		return merry.Wrap(ErrOverloaded, merry.AppendMessage(c.remoteAddress))
	case errors.As(err, &rpcErr):
		return merry.Prependf(rpcErr, "rpc: %s at %s", method, c.remoteAddress)
	case ctx.Err() != nil:
		return ctx.Err()
	default:
		return merry.Wrap(ErrClosed, merry.AppendMessagef("%s at %s: %v", method, c.remoteAddress, err))
	}
}

// AcceptSequence returns the position of this connection among those that its server accepted, from 1. A dialled
// connection returns 0.
func (c *Conn) AcceptSequence() uint64 { return c.acceptSequence }

// RemoteAddress returns the host and port of the peer.
func (c *Conn) RemoteAddress() string { return c.remoteAddress }

// Done returns a channel that is closed when the connection ends.
func (c *Conn) Done() <-chan struct{} { return c.rpcConn.DisconnectNotify() }

// CloseIfSilent ends the connection if nothing has arrived on it since the answer to a call was due. A caller whose call has
// timed out uses it so that the next one takes a new connection.
func (c *Conn) CloseIfSilent(due time.Time) {
	if c.peer.Unanswered(c.tracked, due) > 0 {
		c.Close()
	}
}

// Close ends the connection. It has no effect on a connection that has already ended.
func (c *Conn) Close() {
	if err := c.rpcConn.Close(); err != nil && !errors.Is(err, jsonrpc2.ErrClosed) {
		klog.V(2).InfoS("Failed to close connection", "remote", c.remoteAddress, "err", err)
	}
}

func newConn(ctx context.Context, nc net.Conn, h Handlers, m *Meter, acceptSequence uint64) *Conn {
	c := &Conn{handlers: h, acceptSequence: acceptSequence, inFlight: make(chan struct{}, maxConcurrentRequests),
		ready: make(chan struct{}), remoteAddress: nc.RemoteAddr().String()}
	c.peer = connhealth.NewPeer(c.remoteAddress)
	c.tracked = c.peer.Track(nc)
	ctx, cancel := context.WithCancel(ctx)
	c.rpcConn = jsonrpc2.NewConn(ctx, jsonrpc2.NewBufferedStream(meteredConn{c.tracked, m}, boundedCodec{}), c,
		jsonrpc2.SetLogger(discardLogger{}))
	close(c.ready)
	go func() { // once the connection ends, cancel the requests that are still being served
		<-c.Done()
		cancel()
	}()
	return c
}

// discardLogger drops the log lines of the jsonrpc2 library, whose errors are returned to the callers.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

// Dial connects to a peer; a nil tlsConfig means plain TCP. The end of ctx aborts the dial but does not end an
// established connection. Errors wrap ErrDial.
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
	mu       sync.Mutex // guards conns and closed
	conns    map[*Conn]struct{}
	accepted uint64 // owned by acceptLoop
	closed   bool
}

// Listen opens a listener and starts to accept connections. A nil tlsConfig means plain TCP.
func Listen(address string, tlsConfig *tls.Config, h Handlers, m *Meter) (*Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, merry.Prepend(err, "rpc: listen")
	}
	if tlsConfig != nil {
		l = tls.NewListener(l, tlsConfig)
	}
	s := &Server{listener: l, handlers: h, meter: m, conns: make(map[*Conn]struct{})}
	go s.acceptLoop()
	return s, nil
}

// Address returns the host and port that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

func (s *Server) acceptLoop() {
	for {
		nc, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			klog.InfoS("Failed to accept connection; retrying", "address", s.Address(), "err", err)
			time.Sleep(50 * time.Millisecond) // avoids a busy loop, for example while out of file descriptors
			continue
		}
		s.accepted++
		s.addConn(newConn(context.Background(), nc, s.handlers, s.meter, s.accepted))
	}
}

// addConn registers a connection until it ends, so that Close can end it. After Close it ends the connection at once.
func (s *Server) addConn(c *Conn) {
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

// Close stops accepting connections and ends those that were accepted.
func (s *Server) Close() {
	if err := s.listener.Close(); err != nil {
		klog.V(2).InfoS("Failed to close listener", "address", s.Address(), "err", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for c := range s.conns {
		c.Close()
	}
}
