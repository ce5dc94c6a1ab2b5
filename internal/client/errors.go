package client

import (
	"errors"
	"fmt"
	"net/http"

	"github.com/ansel1/merry/v2"

	"masticcart.example/masticcart/internal/client/api"
)

// Errors of the client besides *ReplyError. They wrap the cause.
var (
	// ErrUnreachable means that no entry answered and that the call had no effect.
	ErrUnreachable = merry.Sentinel("no entry could be reached", merry.WithHTTPCode(http.StatusServiceUnavailable))
	// ErrUnknownOutcome means that the call was sent but no usable answer came: it may have had an effect.
	ErrUnknownOutcome = merry.Sentinel("the outcome is unknown: the call was sent, but its answer was lost",
		merry.WithHTTPCode(http.StatusGatewayTimeout))
)

// ReplyError is an error that an entry answered with. Head and Changes are set for api.CodeStaleBase.
type ReplyError struct {
	Status int
	api.ErrorReply
}

// Error gives the entry's own words and the code.
func (e *ReplyError) Error() string {
	if e.ErrorReply.Error == "" {
		return fmt.Sprintf("the entry answered with %s, status %d", e.Code, e.Status)
	}
	return fmt.Sprintf("%s (%s, status %d)", e.ErrorReply.Error, e.Code, e.Status)
}

// notRun reports whether the entry answered that the call had no effect there for a reason that another entry may
// not have.
func (e *ReplyError) notRun() bool {
	return e.Code == api.CodeUnavailable || e.Code == api.CodeOverloaded
}

// HadNoEffect reports whether an error of the client proves that the call had no effect.
func HadNoEffect(err error) bool {
	var answer *ReplyError
	switch {
	case err == nil || errors.Is(err, ErrUnknownOutcome):
		return false
	case errors.As(err, &answer):
		return answer.notRun() || answer.Status < http.StatusInternalServerError
	}
	return errors.Is(err, ErrUnreachable)
}
