package config

import (
	"errors"
	"fmt"
	"strings"
)

// Errors of Repository. All except ErrUnknownOutcome mean that the change was not applied.
var (
	// ErrUnavailable means that the platform could not be read or did not accept the write.
	ErrUnavailable = errors.New("config: the platform is unavailable, nothing was changed")
	// ErrUnknownOutcome means that the change may have been applied or may still be applied shortly.
	ErrUnknownOutcome = errors.New("config: the outcome of the change is unknown")
	// ErrContention means that every attempt conflicted with another writer, or that the context ended between attempts.
	ErrContention = errors.New("config: too many concurrent changes, nothing was changed")
	// ErrTooLarge means that the document would exceed the platform's value limit.
	ErrTooLarge = errors.New("config: the document would be too large, nothing was changed")
	// ErrCorrupt means that the stored document cannot be decoded.
	ErrCorrupt = errors.New("config: the stored document cannot be decoded")
)

// StaleError reports that a change was refused because it was based on another version than the head.
type StaleError struct {
	Base    int64
	Head    int64
	Changes []string // summaries of the changes after Base, oldest first
}

// Error returns a message with both versions and the changes between them.
func (e *StaleError) Error() string {
	if len(e.Changes) == 0 {
		return fmt.Sprintf("config: the change is based on version %d, but the head is version %d", e.Base, e.Head)
	}
	return fmt.Sprintf("config: the change is based on version %d, but the head is version %d; since then: %s",
		e.Base, e.Head, strings.Join(e.Changes, "; "))
}

// InvalidError reports that a change was refused because its edit failed or its result is not valid.
type InvalidError struct{ Err error }

// Error returns a message with the reason.
func (e *InvalidError) Error() string { return "config: invalid change: " + e.Err.Error() }

// Unwrap returns the reason.
func (e *InvalidError) Unwrap() error { return e.Err }
