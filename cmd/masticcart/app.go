package main

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"masticcart.example/masticcart/internal/client"
	"masticcart.example/masticcart/internal/model"
)

// Names of the global flags and values of --output.
const (
	flagEntry   = "entry"
	flagToken   = "token"
	flagCA      = "ca"
	flagOutput  = "output"
	flagTimeout = "timeout"

	outputTable = "table"
	outputJSON  = "json"
)

const (
	defaultTimeout = 30 * time.Second
	// entryRounds is how often the list of entries is tried.
	entryRounds = 2
	// maxInputBytes bounds what is read from a file or from stdin.
	maxInputBytes = 4 << 20
)

// app carries the streams of one run.
type app struct {
	stdin  io.Reader
	stdout io.Writer
	stderr io.Writer
}

func newRoot(stdin io.Reader, stdout, stderr io.Writer) *cli.Command {
	a := &app{stdin: stdin, stdout: stdout, stderr: stderr}
	root := &cli.Command{
		Name:            "masticcart",
		Usage:           "run work on shared accelerators and change how they are shared",
		UsageText:       "masticcart [global options] COMMAND [options] [arguments]",
		Reader:          stdin,
		Writer:          stdout,
		ErrWriter:       stderr,
		HideHelpCommand: true,
		HideVersion:     true,
		Flags:           globalFlags(),
		Commands:        a.commands(),
		ExitErrHandler:  func(context.Context, *cli.Command, error) {},
		Action: func(_ context.Context, cmd *cli.Command) error {
			if cmd.Args().Present() {
				return usagef("no command %q", cmd.Args().First())
			}
			return cli.ShowRootCommandHelp(cmd)
		},
	}
	root.Description = manual(root.Commands)
	setDefaults(root)
	return root
}

func globalFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringSliceFlag{
			Name: flagEntry, Usage: "`ADDRESS` of an entry as host:port or URL; repeat it to name several",
			Sources: cli.EnvVars("MASTICCART_ENTRY"),
		},
		&cli.StringFlag{
			Name: flagToken, Usage: "bearer `TOKEN` of a team or an operator; the variable keeps it out of the process list",
			Sources: cli.EnvVars("MASTICCART_TOKEN"),
		},
		&cli.StringFlag{Name: flagCA, Usage: "PEM `FILE` of the authority that signed the entries' certificates; selects https"},
		&cli.StringFlag{Name: flagOutput, Aliases: []string{"o"}, Value: outputTable, Usage: "output `FORMAT`: table or json"},
		&cli.DurationFlag{Name: flagTimeout, Value: defaultTimeout, Usage: "`LIMIT` for the whole command"},
	}
}

// connect returns a client for the global flags and a context with the timeout and grace, if the timeout is positive.
func (a *app) connect(ctx context.Context, cmd *cli.Command, timeout, grace time.Duration) (
	*client.Client, context.Context, context.CancelFunc, error) {
	if o := cmd.String(flagOutput); o != outputTable && o != outputJSON {
		return nil, nil, nil, usagef("--output %q is not table or json", o)
	}
	entries := cmd.StringSlice(flagEntry)
	if len(entries) == 0 {
		return nil, nil, nil, usagef("--entry or MASTICCART_ENTRY is required")
	}
	tlsConfig, err := loadCA(cmd.String(flagCA))
	if err != nil {
		return nil, nil, nil, err
	}
	c, err := client.New(client.Options{
		Entries: entries, Token: cmd.String(flagToken), TLS: tlsConfig, Rounds: entryRounds,
	})
	if err != nil {
		return nil, nil, nil, &usageError{err}
	}
	cancel := context.CancelFunc(func() {})
	if timeout > 0 {
		ctx, cancel = context.WithTimeout(ctx, timeout+grace)
	}
	return c, ctx, func() { cancel(); c.Close() }, nil
}

func loadCA(file string) (*tls.Config, error) {
	if file == "" {
		return nil, nil
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, &usageError{err}
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, usagef("--ca %s: no certificate in PEM form", file)
	}
	return &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}, nil
}

// timeoutOf checks the global timeout.
func timeoutOf(cmd *cli.Command) (time.Duration, error) {
	d := cmd.Duration(flagTimeout)
	if d <= 0 {
		return 0, usagef("--timeout %s must be positive", d)
	}
	return d, nil
}

// withClient runs a command that an entry answers at once.
func (a *app) withClient(ctx context.Context, cmd *cli.Command, do func(context.Context, *client.Client) error) error {
	timeout, err := timeoutOf(cmd)
	if err != nil {
		return err
	}
	c, ctx, done, err := a.connect(ctx, cmd, timeout, 0)
	if err != nil {
		return err
	}
	defer done()
	return do(ctx, c)
}

// keyArgument reads the only argument as TEAM/ID.
func keyArgument(cmd *cli.Command) (model.JobKey, error) {
	text, err := textArgument(cmd, "TEAM/ID")
	if err != nil {
		return model.JobKey{}, err
	}
	team, id, _ := strings.Cut(text, "/")
	if !model.ValidName(team) || !model.ValidName(id) {
		return model.JobKey{}, usagef("%q is not a job as TEAM/ID", text)
	}
	return model.JobKey{Team: team, ID: id}, nil
}

func textArgument(cmd *cli.Command, name string) (string, error) {
	if cmd.Args().Len() != 1 {
		return "", usagef("%s: want one argument %s, got %d; quote a text that has spaces", cmd.Name, name, cmd.Args().Len())
	}
	return cmd.Args().First(), nil
}

// noArguments refuses arguments that a command would otherwise ignore.
func noArguments(cmd *cli.Command) error {
	if cmd.Args().Present() {
		return usagef("%s: unexpected argument %q", cmd.Name, cmd.Args().First())
	}
	return nil
}

// readInput reads a file, or stdin for "-".
func (a *app) readInput(name string) ([]byte, error) {
	in := a.stdin
	if name != "-" {
		f, err := os.Open(name)
		if err != nil {
			return nil, &usageError{err}
		}
		defer func() { _ = f.Close() }()
		in = f
	}
	data, err := io.ReadAll(io.LimitReader(in, maxInputBytes+1))
	if err != nil {
		return nil, fmt.Errorf("read %s: %w", name, err)
	}
	if len(data) > maxInputBytes {
		return nil, usagef("%s exceeds %d bytes", name, maxInputBytes)
	}
	return data, nil
}
