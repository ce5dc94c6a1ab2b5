package kvstore

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// maxConnections bounds the connections to one address. Further calls wait for a free one until their timeout.
	maxConnections = 32
	// idleTimeout closes the connections left over from a burst of calls.
	idleTimeout = 90 * time.Second
	// maxResponseBytes bounds the memory of one response. It has room for 40 of the largest values in base64.
	maxResponseBytes = 64 << 20
)

// HTTP is a Store that calls the service with JSON over HTTP/1.1. It does not retry: each call is sent at most once.
// After a failed call, the following calls go to the next address.
type HTTP struct {
	addresses []string
	scheme    string
	timeout   time.Duration
	client    *http.Client
	failovers atomic.Uint32 // number of switches to the next address
}

var _ Store = (*HTTP)(nil)

// NewHTTP returns a client of the service at the given host:port addresses. Each call takes at most timeout, a watch
// its wait in addition. A nil tlsConfig means plain TCP.
func NewHTTP(addresses []string, timeout time.Duration, tlsConfig *tls.Config) *HTTP {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true) // net/http resends HTTP/2 requests that the server refused
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: timeout}).DialContext,
		TLSClientConfig:     tlsConfig,
		TLSHandshakeTimeout: timeout,
		MaxConnsPerHost:     maxConnections,
		MaxIdleConnsPerHost: maxConnections,
		IdleConnTimeout:     idleTimeout,
		Protocols:           protocols,
	}
	h := &HTTP{
		addresses: addresses,
		scheme:    "http",
		timeout:   timeout,
		client: &http.Client{
			Transport: transport,
			// Following a redirect would send a write twice.
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
	if tlsConfig != nil {
		h.scheme = "https"
	}
	return h
}

// Close closes idle connections.
func (h *HTTP) Close() { h.client.CloseIdleConnections() }

// Get implements Store.
func (h *HTTP) Get(ctx context.Context, key string) (Entry, error) {
	var e Entry
	err := h.read(ctx, PathGet, GetRequest{Key: key}, &e, h.timeout)
	if err != nil {
		return Entry{}, fmt.Errorf("get %q: %w", key, err)
	}
	return e, nil
}

// Range implements Store.
func (h *HTTP) Range(ctx context.Context, prefix, after string, limit int) ([]Entry, Revision, error) {
	var r RangeResponse
	err := h.read(ctx, PathRange, RangeRequest{Prefix: prefix, After: after, Limit: limit}, &r, h.timeout)
	if err != nil {
		return nil, 0, fmt.Errorf("range %q: %w", prefix, err)
	}
	return r.Entries, r.Revision, nil
}

// Watch implements Store as one long poll.
func (h *HTTP) Watch(ctx context.Context, prefix string, since Revision, wait time.Duration) (
	[]Event, Revision, error) {
	var r WatchResponse
	wait = min(max(wait, 0), MaxWatchWaitMS*time.Millisecond)
	request := WatchRequest{Prefix: prefix, Since: since, WaitMS: wait.Milliseconds()}
	if err := h.read(ctx, PathWatch, request, &r, wait+h.timeout); err != nil {
		return nil, 0, fmt.Errorf("watch %q since %d: %w", prefix, since, err)
	}
	return r.Events, r.Revision, nil
}

// Put implements Store.
func (h *HTTP) Put(ctx context.Context, key string, value []byte, expect Revision, lease LeaseID) (Revision, error) {
	if len(value) > MaxValueBytes {
		return 0, fmt.Errorf("put %q of %d bytes: %w", key, len(value), ErrTooLarge)
	}
	var r PutResponse
	err := h.write(ctx, PathPut, PutRequest{Key: key, Value: value, Expect: expect, Lease: lease}, &r)
	if err != nil {
		return 0, fmt.Errorf("put %q at revision %d: %w", key, expect, err)
	}
	return r.Revision, nil
}

// Txn implements Store.
func (h *HTTP) Txn(ctx context.Context, t Txn) (Revision, error) {
	var r PutResponse
	if err := h.write(ctx, PathTxn, t, &r); err != nil {
		return 0, fmt.Errorf("transaction: %w", err)
	}
	return r.Revision, nil
}

// Delete implements Store.
func (h *HTTP) Delete(ctx context.Context, key string, expect Revision) error {
	err := h.write(ctx, PathDelete, DeleteRequest{Key: key, Expect: expect}, &EmptyResponse{})
	if err != nil {
		return fmt.Errorf("delete %q at revision %d: %w", key, expect, err)
	}
	return nil
}

// Grant implements Store.
func (h *HTTP) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	var r GrantResponse
	if err := h.write(ctx, PathGrant, GrantRequest{TTLMS: ttl.Milliseconds()}, &r); err != nil {
		return 0, fmt.Errorf("grant: %w", err)
	}
	return r.Lease, nil
}

// KeepAlive implements Store.
func (h *HTTP) KeepAlive(ctx context.Context, id LeaseID) error {
	if err := h.write(ctx, PathKeepAlive, LeaseRequest{Lease: id}, &EmptyResponse{}); err != nil {
		return fmt.Errorf("keep alive lease %d: %w", id, err)
	}
	return nil
}

// Revoke implements Store.
func (h *HTTP) Revoke(ctx context.Context, id LeaseID) error {
	if err := h.write(ctx, PathRevoke, LeaseRequest{Lease: id}, &EmptyResponse{}); err != nil {
		return fmt.Errorf("revoke lease %d: %w", id, err)
	}
	return nil
}
