package client

import (
	"errors"
	"fmt"
	"net/http"

	"github.com/ansel1/merry/v2"

	"masticcart.example/masticcart/internal/client/api"
)

// Errors of the client other than *ReplyError. They wrap the cause.
var (
	// ErrUnreachable means that no entry replied and that the call had no effect.
	ErrUnreachable = merry.Sentinel("no entry could be reached", merry.WithHTTPCode(http.StatusServiceUnavailable))
	// ErrUnknownOutcome means that the call was sent but no usable reply arrived: it may have had an effect.
	ErrUnknownOutcome = merry.Sentinel("the outcome is unknown: the call was sent, but its answer was lost",
		merry.WithHTTPCode(http.StatusGatewayTimeout))
)

// ReplyError is an error reply of an entry. Head and Changes are set for api.CodeStaleBase.
type ReplyError struct {
	Status int
	api.ErrorReply
}

// Error returns the entry's message, if any, with the code and the HTTP status.
func (e *ReplyError) Error() string {
	if e.ErrorReply.Error == "" {
		return fmt.Sprintf("the entry answered with %s, status %d", e.Code, e.Status)
	}
	return fmt.Sprintf("%s (%s, status %d)", e.ErrorReply.Error, e.Code, e.Status)
}

// entryUnavailable reports whether the entry replied that it could not serve the call, which had no effect there.
// Another entry may serve it.
func (e *ReplyError) entryUnavailable() bool {
	return e.Code == api.CodeUnavailable || e.Code == api.CodeOverloaded
}

// HadNoEffect reports whether err, returned by a Client, proves that the call had no effect. It is false for nil.
func HadNoEffect(err error) bool {
	var replyErr *ReplyError
	switch {
	case err == nil || errors.Is(err, ErrUnknownOutcome):
		return false
	case errors.As(err, &replyErr):
		return replyErr.entryUnavailable() || replyErr.Status < http.StatusInternalServerError
	}
	return errors.Is(err, ErrUnreachable)
}
