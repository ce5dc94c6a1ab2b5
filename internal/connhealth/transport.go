package connhealth

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"
)

// Transport tracks the connections of a transport, all of which lead to the peer, and reports the requests that get no
// answer. Several transports may share a peer.
func (p *Peer) Transport(t *http.Transport) http.RoundTripper {
	dial := t.DialContext
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		if c, ok := conn.(*Conn); ok && c.peer == p {
			return c, nil
		}
		return p.Track(conn), nil
	}
	return &transport{peer: p, base: t}
}

type transport struct {
	peer *Peer
	base *http.Transport
}

// RoundTrip implements http.RoundTripper.
func (t *transport) RoundTrip(r *http.Request) (*http.Response, error) {
	type use struct {
		conn *Conn
		at   time.Time
	}
	var used atomic.Pointer[use]
	ctx := httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*Conn); ok {
			used.Store(&use{c, time.Now()})
		}
	}})
	res, err := t.base.RoundTrip(r.WithContext(ctx))
	if u := used.Load(); err != nil && u != nil && errors.Is(r.Context().Err(), context.DeadlineExceeded) {
		t.peer.Unanswered(u.conn, u.at.Add(answerDelay(r.Context())))
	}
	return res, err
}

// CloseIdleConnections closes the idle connections of the transport, see http.Client.CloseIdleConnections.
func (t *transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// answerDelayKey is the context key of WithAnswerDelay.
type answerDelayKey struct{}

// WithAnswerDelay returns a context for a request that the peer may answer as late as after delay, as a long poll.
func WithAnswerDelay(ctx context.Context, delay time.Duration) context.Context {
	return context.WithValue(ctx, answerDelayKey{}, delay)
}

func answerDelay(ctx context.Context) time.Duration {
	delay, _ := ctx.Value(answerDelayKey{}).(time.Duration)
	return delay
}
