// Package entry implements the role of the lightweight hosts that callers and operators connect to. It combines the
// HTTP API, the sessions of agents, the gossip with other entries, the router of short requests and the scheduler of
// the cell.
package entry

import (
	"errors"
	"fmt"
	"net/http"

	"github.com/ansel1/merry/v2"

	"masticcart.example/masticcart/internal/cell"
	"masticcart.example/masticcart/internal/client/api"
	"masticcart.example/masticcart/internal/config"
	"masticcart.example/masticcart/internal/jobs"
)

// apiError returns an error that carries an HTTP status and one of the api codes that clients react to.
func apiError(status int, code, format string, args ...any) error {
	return merry.Wrap(fmt.Errorf(format, args...), merry.WithHTTPCode(status), merry.WithValue(codeKey{}, code))
}

// codeKey is the key under which an error carries its API code.
type codeKey struct{}

func statusOf(err error) int { return merry.HTTPCode(err) }

// codeOf returns the API code of err, or api.CodeInternal if it has none.
func codeOf(err error) string {
	if code, ok := merry.Value(err, codeKey{}).(string); ok {
		return code
	}
	return api.CodeInternal
}

// jobsError converts an error of package jobs to an API error. Unknown errors count as an unknown outcome, since the
// write may have taken effect.
func jobsError(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, jobs.ErrNotFound):
		return apiError(http.StatusNotFound, api.CodeNotFound, "no such job")
	case errors.Is(err, jobs.ErrDifferentBody):
		return apiError(http.StatusConflict, api.CodeIDConflict,
			"the id belongs to a job with a different body; use another id")
	case errors.Is(err, jobs.ErrUnavailable):
		return apiError(http.StatusServiceUnavailable, api.CodeUnavailable,
			"the platform's key-value service is unavailable; nothing was accepted by this call")
	case errors.Is(err, jobs.ErrUnknownOutcome):
		return apiError(http.StatusServiceUnavailable, api.CodeUnknownOutcome,
			"the platform did not confirm the write; repeat the call under the same id to learn its outcome")
	}
	return apiError(http.StatusServiceUnavailable, api.CodeUnknownOutcome,
		"job record: %v; repeat the call under the same id", err)
}

// staleError wraps e, from which writeError adds the version of the head and the changes since the base to the reply.
func staleError(e *config.StaleError) error {
	return merry.Wrap(e, merry.WithHTTPCode(http.StatusConflict), merry.WithValue(codeKey{}, api.CodeStaleBase))
}

// configError converts an error of package config to an API error.
func configError(err error) error {
	var invalid *config.InvalidError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &invalid):
		return apiError(http.StatusUnprocessableEntity, api.CodeInvalidChange, "%v", invalid.Err)
	case errors.Is(err, config.ErrUnknownOutcome):
		return apiError(http.StatusServiceUnavailable, api.CodeUnknownOutcome,
			"%v; compare the version in force before repeating", err)
	case errors.Is(err, config.ErrTooLarge):
		return apiError(http.StatusRequestEntityTooLarge, api.CodeTooLarge, "%v", err)
	}
	return apiError(http.StatusServiceUnavailable, api.CodeUnavailable, "%v", err)
}

// cellError converts an error of package cell to an API error.
func cellError(err error) error {
	if errors.Is(err, cell.ErrBusy) {
		return apiError(http.StatusServiceUnavailable, api.CodeOverloaded, "this entry is overloaded; try another one")
	}
	return err
}
