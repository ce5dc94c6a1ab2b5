// Command masticcart is the command line for callers and operators.
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

// Exit codes. The help text documents them.
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

// run executes one command line and returns the exit code. Errors go to stderr.
func run(ctx context.Context, args []string, stdin io.Reader, stdout, stderr io.Writer) int {
	root := newRoot(stdin, stdout, stderr)
	err := root.Run(ctx, args)
	if err != nil && err.Error() != "" {
		_, _ = fmt.Fprintln(stderr, "masticcart:", err)
	}
	return exitCode(err)
}

// resultError makes a result other than done the exit code of a command that has printed its output.
type resultError struct{ code int }

// Error is empty, since the result has been printed.
func (*resultError) Error() string { return "" }

// usageError is a command line that cannot be understood.
type usageError struct{ err error }

// Error gives the reason and points to the help.
func (e *usageError) Error() string { return e.err.Error() + " (see masticcart --help)" }

// Unwrap returns the reason.
func (e *usageError) Unwrap() error { return e.err }

func usagef(format string, args ...any) error { return &usageError{fmt.Errorf(format, args...)} }

func exitCode(err error) int {
	var result *resultError
	var usage *usageError
	var answer *client.ReplyError
	switch {
	case err == nil:
		return exitDone
	case errors.As(err, &result):
		return result.code
	case errors.As(err, &usage):
		return exitUsage
	case errors.Is(err, client.ErrUnknownOutcome):
		return exitUnknown
	case errors.As(err, &answer):
		return replyCode(answer)
	case errors.Is(err, client.ErrUnreachable):
		return exitUnreachable
	}
	return exitFailed
}

func replyCode(answer *client.ReplyError) int {
	switch {
	case answer.Code == api.CodeStaleBase:
		return exitStale
	case answer.Code == api.CodeBadRequest:
		return exitUsage
	case answer.Code == api.CodeNotFound:
		return exitFailed
	case client.HadNoEffect(answer):
		return exitRefused
	}
	return exitUnknown
}

// outcomeError turns the outcome of work into an exit code.
func outcomeError(r model.Result) error {
	switch r {
	case model.ResultDone:
		return nil
	case model.ResultFailed:
		return &resultError{exitFailed}
	case model.ResultRefused:
		return &resultError{exitRefused}
	case model.ResultCancelled:
		return &resultError{exitCancelled}
	}
	return &resultError{exitUnknown}
}

// setDefaults makes errors of the command-line parser usage errors, in all commands.
func setDefaults(cmd *cli.Command) {
	cmd.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error { return &usageError{err} }
	for _, sub := range cmd.Commands {
		setDefaults(sub)
	}
}
