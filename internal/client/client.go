// Package client calls the HTTP API of the entries. It tries the next entry when one fails, repeats a call only
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
	// DefaultAttemptTimeout bounds one attempt of a call that an entry answers at once. It leaves room for a write
	// to a slow platform.
	DefaultAttemptTimeout = 10 * time.Second
	// answerGrace is added to the time that an entry may take by the call's own terms.
	answerGrace     = 5 * time.Second
	idleConnections = 64
	idleTimeout     = 60 * time.Second
	// maxReplyBytes bounds a reply. It leaves room for a query over all jobs.
	maxReplyBytes = 64 << 20
	// roundPause and roundPauseMax are the pauses after all entries have failed.
	roundPause    = 200 * time.Millisecond
	roundPauseMax = 2 * time.Second
)

// Options configure a client.
type Options struct {
	// Entries are addresses as host:port or URLs. At least one is required.
	Entries []string
	// Token is the bearer token of the caller. Empty means none.
	Token string
	// TLS is used for https. Addresses without a scheme use https if it is set, else http.
	TLS *tls.Config
	// Rounds is how often the list of entries is tried. Zero means once.
	Rounds int
	// AttemptTimeout bounds one attempt. Zero means DefaultAttemptTimeout.
	AttemptTimeout time.Duration
}

// Client calls the entries. It is safe for concurrent use.
type Client struct {
	http    *http.Client
	bases   []string
	token   string
	rounds  int
	timeout time.Duration
	current atomic.Uint32 // index of the entry that is tried first: the last one that answered
}

// New returns a client.
func New(o Options) (*Client, error) {
	if len(o.Entries) == 0 {
		return nil, errors.New("client: no entry address")
	}
	c := &Client{token: o.Token, rounds: max(1, o.Rounds), timeout: o.AttemptTimeout}
	if c.timeout <= 0 {
		c.timeout = DefaultAttemptTimeout
	}
	for _, e := range o.Entries {
		c.bases = append(c.bases, baseURL(e, o.TLS != nil))
	}
	c.http = &http.Client{
		Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			TLSClientConfig:     o.TLS,
			TLSHandshakeTimeout: dialTimeout,
			MaxIdleConnsPerHost: idleConnections,
			IdleConnTimeout:     idleTimeout,
		},
		// A redirect would send a call to an address that nobody configured.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return c, nil
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

func baseURL(entry string, secure bool) string {
	entry = strings.TrimRight(strings.TrimSpace(entry), "/")
	switch {
	case strings.Contains(entry, "://"):
		return entry
	case secure:
		return "https://" + entry
	}
	return "http://" + entry
}

// call is one call of the API.
type call struct {
	method string
	path   string
	body   any // nil for none
	// reads is set for calls that change nothing.
	reads bool
	// repeatable is set for calls that may be sent again after a lost answer.
	repeatable bool
	timeout    time.Duration // of one attempt
}

// do makes the call. It reports whether an earlier attempt was sent whose answer was lost, so that the reply says
// nothing about that attempt.
func (c *Client) do(ctx context.Context, k call, reply any) (status int, lost bool, err error) {
	var body []byte
	if k.body != nil {
		if body, err = json.Marshal(k.body); err != nil {
			return 0, false, fmt.Errorf("client: encode the body: %w", err)
		}
	}
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = roundPause, roundPauseMax
	first := c.current.Load()
	for i := range c.rounds * len(c.bases) {
		if i > 0 && i%len(c.bases) == 0 && sleep(ctx, pause.NextBackOff()) != nil {
			break
		}
		entry := (first + uint32(i)) % uint32(len(c.bases))
		var sent bool
		status, sent, err = c.send(ctx, c.bases[entry], k, body, reply)
		var answer *ReplyError
		isAnswer := errors.As(err, &answer)
		if err == nil || (isAnswer && (!answer.notRun() || !k.repeatable)) {
			c.current.Store(entry)
			return status, lost, k.finalError(err, lost)
		}
		lost = lost || (sent && !isAnswer)
		if ctx.Err() != nil || (lost && !k.repeatable) {
			break
		}
	}
	return 0, lost, k.finalError(err, lost)
}

// finalError turns the error of the last attempt into the answer for the whole call. After a lost answer, "not run"
// from another entry proves nothing about the earlier attempt; only the refusal of an id that has another body does.
func (k *call) finalError(err error, lost bool) error {
	var answer *ReplyError
	isAnswer := errors.As(err, &answer)
	switch {
	case err == nil:
		return nil
	case lost && !k.reads && (!isAnswer || answer.Code != api.CodeIDConflict):
		return merry.Wrap(ErrUnknownOutcome, merry.WithCause(err))
	case isAnswer:
		return merry.Wrap(err, merry.WithHTTPCode(answer.Status))
	}
	return merry.Wrap(ErrUnreachable, merry.WithCause(err))
}

// send makes one attempt. It reports whether a connection was made, after which the entry may have read the call.
func (c *Client) send(ctx context.Context, base string, k call, body []byte, reply any) (int, bool, error) {
	timeout := k.timeout
	if timeout <= 0 {
		timeout = c.timeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	// The callback can run in a goroutine of the transport, also after the call has returned.
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, k.method, base+k.path, bytes.NewReader(body))
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
	return res.StatusCode, true, decode(res, reply)
}

// decode reads a reply as a whole. A reply that is cut off, or an error page of something between the client and
// the entry, is no answer.
func decode(res *http.Response, reply any) error {
	data, err := io.ReadAll(io.LimitReader(res.Body, maxReplyBytes+1))
	if err != nil {
		return fmt.Errorf("client: read the reply: %w", err)
	}
	if len(data) > maxReplyBytes {
		return fmt.Errorf("client: the reply exceeds %d bytes", maxReplyBytes)
	}
	if res.StatusCode >= http.StatusOK && res.StatusCode < http.StatusMultipleChoices {
		if err := json.Unmarshal(data, reply); err != nil {
			return fmt.Errorf("client: decode the reply: %w", err)
		}
		return nil
	}
	e := &ReplyError{Status: res.StatusCode}
	if err := json.Unmarshal(data, &e.ErrorReply); err != nil || e.Code == "" {
		return fmt.Errorf("client: status %d without an error code", res.StatusCode)
	}
	return e
}

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
