// Package client calls the HTTP API of the entries. It fails over to the next entry when one fails, retries a call only
// with the same body and under the same id, and never reports "not run" for a call that may have run.
package client

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cenkalti/backoff/v5"

	"masticcart.example/masticcart/internal/client/api"
)

const (
	dialTimeout = 3 * time.Second
	// DefaultAttemptTimeout bounds one attempt of a call that does not wait for work. It leaves time for a write to a
	// slow platform store.
	DefaultAttemptTimeout = 10 * time.Second
	// replyGrace is added to the timeout that the call itself sets for the entry, so that the reply can still arrive.
	replyGrace           = 5 * time.Second
	maxIdleConnsPerEntry = 64
	idleConnTimeout      = 60 * time.Second
	// maxReplyBytes bounds the size of a reply. It is large enough for a query over all jobs.
	maxReplyBytes = 64 << 20
	// initialRoundBackoff and maxRoundBackoff bound the back-off between rounds over the entries. Polls for the end of a
	// job use them too.
	initialRoundBackoff = 200 * time.Millisecond
	maxRoundBackoff     = 2 * time.Second
)

// Options configure a client.
type Options struct {
	// Entries are addresses as host:port or URLs. At least one is required.
	Entries []string
	// Token is the bearer token of the caller. Empty means none.
	Token string
	// TLS is used for https. Addresses without a scheme use https if it is set, else http.
	TLS *tls.Config
	// Rounds is the number of times that the list of entries is tried. Zero means once.
	Rounds int
	// AttemptTimeout bounds one attempt. Zero means DefaultAttemptTimeout.
	AttemptTimeout time.Duration
}

// Client calls the entries. It is safe for concurrent use.
type Client struct {
	http           *http.Client
	baseURLs       []string
	token          string
	rounds         int
	attemptTimeout time.Duration
	preferred      atomic.Uint32 // index of the entry to try first: the one that replied last
}

// New returns a client. It fails if the options name no entry.
func New(o Options) (*Client, error) {
	if len(o.Entries) == 0 {
		return nil, errors.New("client: no entry address given")
	}
	c := &Client{token: o.Token, rounds: max(1, o.Rounds), attemptTimeout: o.AttemptTimeout}
	if c.attemptTimeout <= 0 {
		c.attemptTimeout = DefaultAttemptTimeout
	}
	for _, e := range o.Entries {
		c.baseURLs = append(c.baseURLs, baseURL(e, o.TLS != nil))
	}
	c.http = &http.Client{
		Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			TLSClientConfig:     o.TLS,
			TLSHandshakeTimeout: dialTimeout,
			MaxIdleConnsPerHost: maxIdleConnsPerEntry,
			IdleConnTimeout:     idleConnTimeout,
		},
		// Redirects are not followed, since they would send the call to an address that is not configured.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return c, nil
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

func baseURL(entry string, useTLS bool) string {
	entry = strings.TrimRight(strings.TrimSpace(entry), "/")
	switch {
	case strings.Contains(entry, "://"):
		return entry
	case useTLS:
		return "https://" + entry
	}
	return "http://" + entry
}

// apiCall is one call of the API, which may take several attempts.
type apiCall struct {
	method string
	path   string
	body   any // nil for none
	// readOnly is set for calls that change nothing, so that a lost reply leaves no unknown outcome.
	readOnly bool
	// retryable is set for calls that may be sent again after a lost reply.
	retryable bool
	timeout   time.Duration // of one attempt; zero means the client's
}

// do makes the call. If replyLost is true, an attempt was sent but its reply was lost. That attempt may have had an
// effect, whatever a later attempt returned.
func (c *Client) do(ctx context.Context, call apiCall, reply any) (status int, replyLost bool, err error) {
	var body []byte
	if call.body != nil {
		if body, err = json.Marshal(call.body); err != nil {
			return 0, false, fmt.Errorf("client: encode request body: %w", err)
		}
	}
	retryBackoff := backoff.NewExponentialBackOff()
	retryBackoff.InitialInterval, retryBackoff.MaxInterval = initialRoundBackoff, maxRoundBackoff
	first := c.preferred.Load()
	for i := range c.rounds * len(c.baseURLs) {
		if i > 0 && i%len(c.baseURLs) == 0 && sleep(ctx, retryBackoff.NextBackOff()) != nil {
			break
		}
		entry := (first + uint32(i)) % uint32(len(c.baseURLs))
		var sent bool
		status, sent, err = c.send(ctx, c.baseURLs[entry], call, body, reply)
		var replyErr *ReplyError
		isReply := errors.As(err, &replyErr)
		if err == nil || (isReply && (!replyErr.entryUnavailable() || !call.retryable)) {
			c.preferred.Store(entry)
			return status, replyLost, call.finalError(err, replyLost)
		}
		replyLost = replyLost || (sent && !isReply)
		if ctx.Err() != nil || (replyLost && !call.retryable) {
			break
		}
	}
	return 0, replyLost, call.finalError(err, replyLost)
}

// finalError turns the error of the last attempt into the error of the whole call. After a lost reply, "not run" from
// another entry proves nothing about the earlier attempt. Only api.CodeIDConflict does: it means that the id belongs to
// another body, so no attempt with this body had an effect.
func (call *apiCall) finalError(err error, replyLost bool) error {
	var replyErr *ReplyError
	isReply := errors.As(err, &replyErr)
	switch {
	case err == nil:
		return nil
	case replyLost && !call.readOnly && (!isReply || replyErr.Code != api.CodeIDConflict):
		return merry.Wrap(ErrUnknownOutcome, merry.WithCause(err))
	case isReply:
		return merry.Wrap(err, merry.WithHTTPCode(replyErr.Status))
	}
	return merry.Wrap(ErrUnreachable, merry.WithCause(err))
}

// send makes one attempt. It returns the status and whether there was a connection, in which case the entry may have
// received the call.
func (c *Client) send(ctx context.Context, baseURL string, call apiCall, body []byte, reply any) (int, bool, error) {
	timeout := call.timeout
	if timeout <= 0 {
		timeout = c.attemptTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	// Atomic, since the transport may run the callback in another goroutine, even after Do has returned.
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, call.method, baseURL+call.path, bytes.NewReader(body))
	if err != nil {
		return 0, false, fmt.Errorf("client: %w", err)
	}
	if len(body) > 0 {
		req.Header.Set("Content-Type", "application/json")
	}
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
	res, err := c.http.Do(req)
	if err != nil {
		return 0, connected.Load(), err
	}
	defer res.Body.Close()
	return res.StatusCode, true, decodeReply(res, reply)
}

// decodeReply reads and decodes a complete reply. It returns a *ReplyError for an error reply of the entry, and another
// error for a truncated reply or an error page of a proxy between client and entry.
func decodeReply(res *http.Response, reply any) error {
	data, err := io.ReadAll(io.LimitReader(res.Body, maxReplyBytes+1))
	if err != nil {
		return fmt.Errorf("client: read reply: %w", err)
	}
	if len(data) > maxReplyBytes {
		return fmt.Errorf("client: reply exceeds %d bytes", maxReplyBytes)
	}
	if res.StatusCode >= http.StatusOK && res.StatusCode < http.StatusMultipleChoices {
		if err := json.Unmarshal(data, reply); err != nil {
			return fmt.Errorf("client: decode reply: %w", err)
		}
		return nil
	}
	replyErr := &ReplyError{Status: res.StatusCode}
	if err := json.Unmarshal(data, &replyErr.ErrorReply); err != nil || replyErr.Code == "" {
		return fmt.Errorf("client: status %d, but no error code in the reply", res.StatusCode)
	}
	return replyErr
}

// sleep waits for d. It returns the error of ctx if that ends first.
func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}
