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
	// entryRounds is the number of times that the list of entries is tried.
	entryRounds = 2
	// maxInputBytes limits the input read from a file or from stdin.
	maxInputBytes = 4 << 20
)

// app holds the standard streams of one command.
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
				return usageErrorf("no command %q", cmd.Args().First())
			}
			return cli.ShowRootCommandHelp(cmd)
		},
	}
	root.Description = helpText(root.Commands)
	returnUsageErrors(root)
	return root
}

func globalFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringSliceFlag{
			Name: flagEntry, Usage: "`ADDRESS` of an entry as host:port or URL; repeat it to name several",
			Sources: cli.EnvVars("MASTICCART_ENTRY"),
		},
		&cli.StringFlag{
			Name:    flagToken,
			Usage:   "bearer `TOKEN` of a team or an operator; the environment variable keeps it out of the process list",
			Sources: cli.EnvVars("MASTICCART_TOKEN"),
		},
		&cli.StringFlag{Name: flagCA, Usage: "PEM `FILE` with the CA certificates of the entries; selects https"},
		&cli.StringFlag{
			Name: flagOutput, Aliases: []string{"o"}, Value: outputTable, Usage: "output `FORMAT`: table or json",
		},
		&cli.DurationFlag{Name: flagTimeout, Value: defaultTimeout, Usage: "time `LIMIT` for the whole command"},
	}
}

// connect returns a client configured by the global flags, and a context. If timeout is positive, the context ends
// after timeout plus grace. The returned function releases both.
func (a *app) connect(ctx context.Context, cmd *cli.Command, timeout, grace time.Duration) (
	*client.Client, context.Context, context.CancelFunc, error) {
	if o := cmd.String(flagOutput); o != outputTable && o != outputJSON {
		return nil, nil, nil, usageErrorf("--output must be table or json, not %q", o)
	}
	entries := cmd.StringSlice(flagEntry)
	if len(entries) == 0 {
		return nil, nil, nil, usageErrorf("--entry or MASTICCART_ENTRY is required")
	}
	tlsConfig, err := loadTLSConfig(cmd.String(flagCA))
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

// loadTLSConfig returns a configuration that trusts the certificates in the file, or nil if no file is given.
func loadTLSConfig(file string) (*tls.Config, error) {
	if file == "" {
		return nil, nil
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, &usageError{err}
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, usageErrorf("--ca %s: no PEM certificate found", file)
	}
	return &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}, nil
}

// globalTimeout returns the value of --timeout, which must be positive.
func globalTimeout(cmd *cli.Command) (time.Duration, error) {
	d := cmd.Duration(flagTimeout)
	if d <= 0 {
		return 0, usageErrorf("--timeout %s must be positive", d)
	}
	return d, nil
}

// withClient calls do with a client and a context that ends after --timeout.
func (a *app) withClient(ctx context.Context, cmd *cli.Command, do func(context.Context, *client.Client) error) error {
	timeout, err := globalTimeout(cmd)
	if err != nil {
		return err
	}
	c, ctx, closeClient, err := a.connect(ctx, cmd, timeout, 0)
	if err != nil {
		return err
	}
	defer closeClient()
	return do(ctx, c)
}

// jobKeyArgument parses the only argument as TEAM/ID.
func jobKeyArgument(cmd *cli.Command) (model.JobKey, error) {
	text, err := singleArgument(cmd, "TEAM/ID")
	if err != nil {
		return model.JobKey{}, err
	}
	team, id, _ := strings.Cut(text, "/")
	if !model.ValidName(team) || !model.ValidName(id) {
		return model.JobKey{}, usageErrorf("%q is not a job key of the form TEAM/ID", text)
	}
	return model.JobKey{Team: team, ID: id}, nil
}

// singleArgument returns the only argument of a command.
func singleArgument(cmd *cli.Command, name string) (string, error) {
	if cmd.Args().Len() != 1 {
		return "", usageErrorf("%s: want one argument %s, got %d; quote an argument that contains spaces",
			cmd.Name, name, cmd.Args().Len())
	}
	return cmd.Args().First(), nil
}

// rejectArguments returns a usage error if a command without arguments was given any.
func rejectArguments(cmd *cli.Command) error {
	if cmd.Args().Present() {
		return usageErrorf("%s: unexpected argument %q", cmd.Name, cmd.Args().First())
	}
	return nil
}

// readInput reads the named file, or stdin for "-".
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
		return nil, usageErrorf("%s exceeds %d bytes", name, maxInputBytes)
	}
	return data, nil
}
