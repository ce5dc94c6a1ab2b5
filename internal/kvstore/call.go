package kvstore

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"
)

// errRejected marks an answer which says that the service did not carry out the call.
var errRejected = errors.New("rejected")

// write makes one call that changes the store.
func (h *HTTP) write(ctx context.Context, path string, request, response any) error {
	return h.attempt(ctx, path, request, response, h.timeout, ErrUnknownOutcome)
}

// read makes one call that changes nothing.
func (h *HTTP) read(ctx context.Context, path string, request, response any, timeout time.Duration) error {
	return h.attempt(ctx, path, request, response, timeout, ErrUnavailable)
}

// attempt makes one call and returns an error of the Store interface. A call without a connection took no effect;
// a call that had one and got no usable answer fails with lost.
func (h *HTTP) attempt(ctx context.Context, path string, request, response any, timeout time.Duration, lost error) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	turn := h.current.Load()
	connected, err := h.send(ctx, turn, path, request, response)
	if err == nil || isAnswer(err) {
		return err
	}
	h.current.CompareAndSwap(turn, turn+1)
	if !connected || errors.Is(err, errRejected) {
		lost = ErrUnavailable
	}
	return fmt.Errorf("%w: %w", lost, err)
}

// send posts the request and reads the answer. It reports whether a connection was made.
func (h *HTTP) send(ctx context.Context, turn uint32, path string, request, response any) (bool, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return false, fmt.Errorf("encode request: %w", err)
	}
	if len(h.addresses) == 0 {
		return false, errors.New("no addresses")
	}
	// httptrace may run callbacks in other goroutines.
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	ctx = httptrace.WithClientTrace(ctx, trace)
	url := h.scheme + "://" + h.addresses[int(turn)%len(h.addresses)] + path
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return false, fmt.Errorf("build request: %w", err)
	}
	req.GetBody = nil // without it net/http cannot send the request a second time
	req.Header.Set("Content-Type", "application/json")
	res, err := h.client.Do(req)
	if err != nil {
		return connected.Load(), err
	}
	defer res.Body.Close()
	return true, decode(res, response)
}

// decode reads an answer to its end, so that the connection can be used again.
func decode(res *http.Response, response any) error {
	data, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes+1))
	if res.StatusCode != http.StatusOK {
		return statusError(res.StatusCode, data)
	}
	if err != nil {
		return fmt.Errorf("read response: %w", err)
	}
	if len(data) > maxResponseBytes {
		return fmt.Errorf("response of more than %d bytes", maxResponseBytes)
	}
	if err := json.Unmarshal(data, response); err != nil {
		return fmt.Errorf("decode response: %w", err)
	}
	return nil
}

func statusError(status int, body []byte) error {
	switch status {
	case StatusNotFound:
		return ErrNotFound
	case StatusConflict:
		return conflict(body)
	case StatusTooLarge:
		return ErrTooLarge
	case StatusCompacted:
		return ErrCompacted
	case StatusLeaseNotFound:
		return ErrLeaseNotFound
	}
	var e ErrorResponse
	if json.Unmarshal(body, &e) != nil {
		e.Reason = http.StatusText(status)
	}
	err := fmt.Errorf("status %d: %s", status, e.Reason)
	if status >= http.StatusBadRequest && status < http.StatusInternalServerError {
		return fmt.Errorf("%w: %w", errRejected, err)
	}
	return err
}

// conflict returns the current entries of a transaction's conditions if the answer names them.
func conflict(body []byte) error {
	var e ErrorResponse
	if json.Unmarshal(body, &e) != nil || e.Current == nil {
		return ErrConflict
	}
	return &ConflictError{Current: e.Current}
}

// isAnswer reports whether the error is the service's own answer to the call.
func isAnswer(err error) bool {
	for _, answer := range []error{ErrNotFound, ErrConflict, ErrTooLarge, ErrCompacted, ErrLeaseNotFound} {
		if errors.Is(err, answer) {
			return true
		}
	}
	return false
}
