package clientlimit

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"k8s.io/klog/v2"
)

// Errors of ReadBody and Reserve.
var (
	// ErrTooLarge means that the request can never be served: its body is over the limit of the caller of ReadBody, or takes
	// more memory than all clients together may.
	ErrTooLarge = errors.New("the body is too large")
	// ErrOverloaded means that the request cannot be served now, because other requests have the memory, or because the
	// body took too long while others waited.
	ErrOverloaded = errors.New("the memory for requests is in use")
	// ErrIncomplete means that the body did not arrive in time, or that the client closed the connection.
	ErrIncomplete = errors.New("the body is incomplete")
)

// RetryAfter is the time after which a request that failed with ErrOverloaded may be repeated.
const RetryAfter = gracePeriod

// trackRequests records on each connection whether a request is being received or served.
func trackRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, _ := r.Context().Value(connectionKey{}).(*connection)
		if c == nil {
			next.ServeHTTP(w, r)
			return
		}
		p := serving
		if r.Body != nil && r.Body != http.NoBody {
			p = receiving
			if err := c.SetReadDeadline(time.Now().Add(c.limiter.limits.BodyTimeout)); err != nil {
				klog.V(1).InfoS("Read deadline not set", "err", err)
			}
		}
		if !c.enter(p) {
			w.Header().Set("Connection", "close")
		}
		defer c.endRequest()
		next.ServeHTTP(w, r)
	})
}

// endRequest releases what the request has reserved.
func (c *connection) endRequest() {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.limiter.releaseBody(c)
	c.limiter.enter(c, idle)
}

// ReadBody reads the whole body of a request. The memory for it and for what it is decoded to, which is estimated as
// expansion times its size, is reserved until the request has been handled. Apart from errors of the connection it fails
// with ErrTooLarge if the body has more than limit bytes, and then tries to read the rest, so that the client gets the
// response; with ErrOverloaded; and with ErrIncomplete. After an error the connection is closed with the response.
//
// Without a Limiter that protects the server, it only enforces the limit.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64, expansion int64) ([]byte, error) {
	c, _ := r.Context().Value(connectionKey{}).(*connection)
	data, err := readBody(r, c, limit, expansion)
	if err == nil && c != nil {
		// The deadline must be cleared while the connection cannot be evicted, or it would be cleared after an eviction.
		if !c.enter(serving) {
			err = ErrOverloaded
		} else if deadlineErr := c.SetReadDeadline(time.Time{}); deadlineErr != nil {
			err = fmt.Errorf("%w: %w", ErrIncomplete, deadlineErr)
		}
	}
	if err == nil {
		return data, nil
	}
	w.Header().Set("Connection", "close")
	if errors.Is(err, ErrTooLarge) {
		drain(r.Body)
	}
	return nil, err
}

const (
	// firstRead is the size of the first buffer, which grows by doubling.
	firstRead = freeBodyBytes
	// maxDrainBytes bounds how much of a body is discarded after an error. Closing a connection with unread bytes resets
	// it, so that the client could lose the response.
	maxDrainBytes = 128 << 20
)

func drain(body io.Reader) {
	if _, err := io.CopyN(io.Discard, body, maxDrainBytes); err != nil && !errors.Is(err, io.EOF) {
		klog.V(1).InfoS("Body not read to its end", "err", err)
	}
}

func readBody(r *http.Request, c *connection, limit, expansion int64) ([]byte, error) {
	if r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	if r.ContentLength > limit {
		return nil, fmt.Errorf("%w: %d bytes, at most %d", ErrTooLarge, r.ContentLength, limit)
	}
	size := min(firstRead, limit+1) // one more than the limit, to see whether it is exceeded
	if r.ContentLength >= 0 {
		size = min(size, r.ContentLength+1) // one more, to read io.EOF without another buffer
	}
	buffer := make([]byte, 0, size)
	reserved := int64(0)
	for {
		n, err := r.Body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		switch {
		case int64(len(buffer)) > limit:
			return nil, fmt.Errorf("%w: more than %d bytes", ErrTooLarge, limit)
		case errors.Is(err, io.EOF):
			return buffer, nil
		case err != nil:
			return nil, readError(c, err)
		case len(buffer) < cap(buffer):
			continue
		}
		size := min(2*int64(cap(buffer)), limit+1)
		if r.ContentLength >= 0 {
			size = min(size, r.ContentLength+1)
		}
		if cost := size*expansion - reserved; c != nil {
			if err := c.limiter.reserve(c, cost); err != nil {
				return nil, err
			}
			reserved += cost
		}
		larger := make([]byte, len(buffer), size)
		copy(larger, buffer)
		buffer = larger
	}
}

// readError returns ErrOverloaded for a read that failed because the connection was evicted, and ErrIncomplete otherwise.
func readError(c *connection, err error) error {
	if c != nil {
		c.limiter.mu.Lock()
		defer c.limiter.mu.Unlock()
		if c.element == nil {
			return ErrOverloaded
		}
	}
	return fmt.Errorf("%w: %w", ErrIncomplete, err)
}

// Reserve reserves n bytes beyond those of ReadBody until the request has been handled. ctx is the context of the request.
// It fails as ReadBody does.
func Reserve(ctx context.Context, n int64) error {
	c, _ := ctx.Value(connectionKey{}).(*connection)
	if c == nil || n <= freeBodyBytes {
		return nil
	}
	return c.limiter.reserve(c, n)
}
