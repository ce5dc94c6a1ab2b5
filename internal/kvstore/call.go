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

// errRejected marks a 4xx response that stands for no error of a Store: the service did not execute the call.
var errRejected = errors.New("rejected")

// write makes one call that modifies the store. Without a usable response it fails with ErrUnknownOutcome.
func (h *HTTP) write(ctx context.Context, path string, request, response any) error {
	return h.attempt(ctx, path, request, response, h.timeout, ErrUnknownOutcome)
}

// read makes one call that modifies nothing. Without a usable response it fails with ErrUnavailable.
func (h *HTTP) read(ctx context.Context, path string, request, response any, timeout time.Duration) error {
	return h.attempt(ctx, path, request, response, timeout, ErrUnavailable)
}

// attempt makes one call and maps a failure to an error of the Store interface. A call that got no connection or was
// rejected had no effect and fails with ErrUnavailable; one that got a connection but no usable response fails with
// noResponse. After either failure the next call uses the next address.
func (h *HTTP) attempt(ctx context.Context, path string, request, response any, timeout time.Duration,
	noResponse error) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	failovers := h.failovers.Load()
	connected, err := h.post(ctx, failovers, path, request, response)
	if err == nil || isStoreError(err) {
		return err
	}
	h.failovers.CompareAndSwap(failovers, failovers+1)
	if !connected || errors.Is(err, errRejected) {
		noResponse = ErrUnavailable
	}
	return fmt.Errorf("%w: %w", noResponse, err)
}

// post sends the request and decodes the response. It reports whether a connection was made.
func (h *HTTP) post(ctx context.Context, failovers uint32, path string, request, response any) (bool, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return false, fmt.Errorf("encode request: %w", err)
	}
	if len(h.addresses) == 0 {
		return false, errors.New("no addresses")
	}
	// httptrace may run its callbacks in other goroutines.
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	ctx = httptrace.WithClientTrace(ctx, trace)
	url := h.scheme + "://" + h.addresses[int(failovers)%len(h.addresses)] + path
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return false, fmt.Errorf("build request: %w", err)
	}
	req.GetBody = nil // keeps net/http from sending the request a second time
	req.Header.Set("Content-Type", "application/json")
	res, err := h.client.Do(req)
	if err != nil {
		return connected.Load(), err
	}
	defer res.Body.Close()
	return true, decodeResponse(res, response)
}

// decodeResponse reads a response to its end, so that the connection can be reused.
func decodeResponse(res *http.Response, response any) error {
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

// statusError returns the error for a status other than 200.
func statusError(status int, body []byte) error {
	switch status {
	case StatusNotFound:
		return ErrNotFound
	case StatusConflict:
		return conflictError(body)
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

// conflictError returns a *ConflictError if the body has the current entries of a transaction's conditions, and
// ErrConflict otherwise.
func conflictError(body []byte) error {
	var e ErrorResponse
	if json.Unmarshal(body, &e) != nil || e.Current == nil {
		return ErrConflict
	}
	return &ConflictError{Current: e.Current}
}

// isStoreError reports whether the error is a result that the service returned, rather than a failure of the call.
func isStoreError(err error) bool {
	for _, target := range []error{ErrNotFound, ErrConflict, ErrTooLarge, ErrCompacted, ErrLeaseNotFound} {
		if errors.Is(err, target) {
			return true
		}
	}
	return false
}
