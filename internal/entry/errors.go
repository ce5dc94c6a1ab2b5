// Package entry is the role of the thin hosts that callers and operators talk to. It joins the HTTP API, the
// sessions of agents, the gossip with other entries, the router of short requests and the cell's scheduler.
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

// apiError carries the HTTP status and the code that clients react to.
func apiError(status int, code, format string, args ...any) error {
	return merry.Wrap(fmt.Errorf(format, args...), merry.WithHTTPCode(status), merry.WithValue(codeKey{}, code))
}

type codeKey struct{}

func statusOf(err error) int { return merry.HTTPCode(err) }

func codeOf(err error) string {
	if code, ok := merry.Value(err, codeKey{}).(string); ok {
		return code
	}
	return api.CodeInternal
}

// fromJobs turns errors of the job records into errors of the API.
func fromJobs(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, jobs.ErrNotFound):
		return apiError(http.StatusNotFound, api.CodeNotFound, "no such job")
	case errors.Is(err, jobs.ErrDifferentBody):
		return apiError(http.StatusConflict, api.CodeIDConflict, "the id belongs to a job with a different body; use another id")
	case errors.Is(err, jobs.ErrUnavailable):
		return apiError(http.StatusServiceUnavailable, api.CodeUnavailable, "the platform's key-value service is unavailable; nothing was accepted by this call")
	case errors.Is(err, jobs.ErrUnknownOutcome):
		return apiError(http.StatusServiceUnavailable, api.CodeUnknownOutcome, "the platform did not confirm the write; repeat the call under the same id to learn its outcome")
	}
	return apiError(http.StatusServiceUnavailable, api.CodeUnknownOutcome, "job record: %v; repeat the call under the same id", err)
}

// staleError keeps the changes that the reply lists.
func staleError(e *config.StaleError) error {
	return merry.Wrap(e, merry.WithHTTPCode(http.StatusConflict), merry.WithValue(codeKey{}, api.CodeStaleBase))
}

// fromConfig turns errors of the configuration into errors of the API.
func fromConfig(err error) error {
	var invalid *config.InvalidError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &invalid):
		return apiError(http.StatusUnprocessableEntity, api.CodeInvalid, "%v", invalid.Err)
	case errors.Is(err, config.ErrUnknownOutcome):
		return apiError(http.StatusServiceUnavailable, api.CodeUnknownOutcome, "%v; compare the version in force before repeating", err)
	case errors.Is(err, config.ErrTooLarge):
		return apiError(http.StatusRequestEntityTooLarge, api.CodeTooLarge, "%v", err)
	}
	return apiError(http.StatusServiceUnavailable, api.CodeUnavailable, "%v", err)
}

// fromCell turns errors of the cell's scheduler into errors of the API.
func fromCell(err error) error {
	if errors.Is(err, cell.ErrBusy) {
		return apiError(http.StatusServiceUnavailable, api.CodeOverloaded, "this entry is overloaded; try another one")
	}
	return err
}
