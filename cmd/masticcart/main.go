// Command masticcart is the command-line client for callers and operators.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"masticcart.example/masticcart/internal/client"
	"masticcart.example/masticcart/internal/client/api"
	"masticcart.example/masticcart/internal/model"
)

// Exit codes, as documented in the help text.
const (
	exitDone        = 0
	exitFailed      = 1
	exitUsage       = 2
	exitRefused     = 3
	exitUnknown     = 4
	exitCancelled   = 5
	exitUnreachable = 6
	exitStale       = 7
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, os.Args, os.Stdin, os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// run executes one command line and returns its exit code. Errors are printed on stderr.
func run(ctx context.Context, args []string, stdin io.Reader, stdout, stderr io.Writer) int {
	root := newRoot(stdin, stdout, stderr)
	err := root.Run(ctx, args)
	if err != nil && err.Error() != "" {
		_, _ = fmt.Fprintln(stderr, "masticcart:", err)
	}
	return exitCode(err)
}

// exitCodeError sets the exit code of a command that has printed its output but whose result is not "done".
type exitCodeError struct{ code int }

// Error returns an empty string, since the result has been printed already.
func (*exitCodeError) Error() string { return "" }

// usageError reports an invalid command line or input file.
type usageError struct{ err error }

// Error returns the reason and a reference to the help text.
func (e *usageError) Error() string { return e.err.Error() + " (see masticcart --help)" }

// Unwrap returns the reason.
func (e *usageError) Unwrap() error { return e.err }

func usageErrorf(format string, args ...any) error { return &usageError{fmt.Errorf(format, args...)} }

// exitCode returns the exit code for the error of a command.
func exitCode(err error) int {
	var exitErr *exitCodeError
	var usageErr *usageError
	var replyErr *client.ReplyError
	switch {
	case err == nil:
		return exitDone
	case errors.As(err, &exitErr):
		return exitErr.code
	case errors.As(err, &usageErr):
		return exitUsage
	case errors.Is(err, client.ErrUnknownOutcome):
		return exitUnknown
	case errors.As(err, &replyErr):
		return replyExitCode(replyErr)
	case errors.Is(err, client.ErrUnreachable):
		return exitUnreachable
	}
	return exitFailed
}

// replyExitCode returns the exit code for an error reply of an entry.
func replyExitCode(replyErr *client.ReplyError) int {
	switch {
	case replyErr.Code == api.CodeStaleBase:
		return exitStale
	case replyErr.Code == api.CodeBadRequest:
		return exitUsage
	case replyErr.Code == api.CodeNotFound:
		return exitFailed
	case client.HadNoEffect(replyErr):
		return exitRefused
	}
	return exitUnknown
}

// errorForResult returns nil for work that is done, and an *exitCodeError for every other result.
func errorForResult(r model.Result) error {
	switch r {
	case model.ResultDone:
		return nil
	case model.ResultFailed:
		return &exitCodeError{exitFailed}
	case model.ResultRefused:
		return &exitCodeError{exitRefused}
	case model.ResultCancelled:
		return &exitCodeError{exitCancelled}
	}
	return &exitCodeError{exitUnknown}
}

// returnUsageErrors makes cmd and all its subcommands return errors of the command-line parser as *usageError.
func returnUsageErrors(cmd *cli.Command) {
	cmd.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error { return &usageError{err} }
	for _, sub := range cmd.Commands {
		returnUsageErrors(sub)
	}
}
