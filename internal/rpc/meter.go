package rpc

import (
	"net"
	"sync/atomic"

	"github.com/uber-go/tally/v4"
)

// Meter counts the bytes that a process exchanges with the system's other processes over its RPC connections. The
// control traffic budget of a node is checked against these counts.
type Meter struct {
	received, sent atomic.Int64
}

// Report adds the bytes counted since the previous report to the counters of a metrics scope.
func (m *Meter) Report(scope tally.Scope) {
	scope.Counter("rpc_received_bytes").Inc(m.received.Swap(0))
	scope.Counter("rpc_sent_bytes").Inc(m.sent.Swap(0))
}

// meteredConn counts the bytes of one connection in a meter. It wraps the TLS connection, so the overhead of TLS is not
// counted.
type meteredConn struct {
	net.Conn
	meter *Meter
}

// Read implements net.Conn.
func (c meteredConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.meter.received.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c meteredConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.meter.sent.Add(int64(n))
	return n, err
}
