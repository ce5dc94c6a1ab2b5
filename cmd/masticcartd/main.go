// Command masticcartd is the daemon of masticcart. Its settings file chooses the role: entry or agent.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"strconv"
	"time"

	"github.com/urfave/cli/v3"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"
	"k8s.io/klog/v2"

	"masticcart.example/masticcart/internal/agent"
	"masticcart.example/masticcart/internal/entry"
	"masticcart.example/masticcart/internal/hosted"
	"masticcart.example/masticcart/internal/logging"
	"masticcart.example/masticcart/internal/settings"
	"masticcart.example/masticcart/platform"
)

// Exit codes.
const (
	exitFailure  = 1
	exitUsage    = 2
	exitSettings = 78 // as EX_CONFIG of sysexits.h
)

const (
	startTimeout = 15 * time.Second
	// entryStopTimeout is above the longest deadline of a request, so that a planned stop cuts none off.
	entryStopTimeout = 11 * time.Minute
	// agentStopTimeout leaves tasks that cannot be checkpointed the time to end; the platform decides how long
	// it waits before it kills the process.
	agentStopTimeout = 24 * time.Hour
)

func newApp() *cli.Command {
	return &cli.Command{
		Name:  "masticcartd",
		Usage: "daemon of masticcart: an entry host or the agent beside an upstream",
		Description: "The settings file is JSON with comments; docs/settings.md lists its fields.\n" +
			"Exit codes: 0 stopped as planned, 1 failure, 2 usage, 78 wrong settings.",
		Commands: []*cli.Command{
			{Name: "run", Usage: "run until SIGTERM or SIGINT, then stop gracefully", ArgsUsage: "FILE", Action: runDaemon},
			{Name: "platform", Usage: "run on the users' platform, with the settings file that the environment names",
				Flags:  []cli.Flag{&cli.IntFlag{Name: flagMetricsPort, Usage: "`PORT` for metrics; 0 is the second internal port"}},
				Action: runHosted},
			{Name: "check", Usage: "check a settings file and print what it says", ArgsUsage: "FILE", Action: check},
		},
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
}

func main() {
	err := newApp().Run(context.Background(), os.Args)
	klog.Flush()
	if err != nil {
		fmt.Fprintln(os.Stderr, "masticcartd:", err)
		os.Exit(exitCode(err))
	}
}

// flagMetricsPort lets the deploy file, which names one port for all days, choose the port.
const flagMetricsPort = "metrics-port"

// errHostedSettings means that the settings file of the users' platform is missing or wrong.
var errHostedSettings = errors.New("settings")

var errUsage = errors.New("usage: masticcartd run|check FILE")

func exitCode(err error) int {
	var wrong *settings.Error
	switch {
	case errors.As(err, &wrong), errors.Is(err, errHostedSettings):
		return exitSettings
	case errors.Is(err, errUsage):
		return exitUsage
	}
	return exitFailure
}

func load(c *cli.Command) (*settings.Settings, error) {
	if c.Args().Len() != 1 {
		return nil, errUsage
	}
	return settings.Load(c.Args().First())
}

func check(_ context.Context, c *cli.Command) error {
	s, err := load(c)
	if err != nil {
		return err
	}
	fmt.Print(s.Report())
	return nil
}

func runDaemon(_ context.Context, c *cli.Command) error {
	s, err := load(c)
	if err != nil {
		return err
	}
	if err := setVerbosity(s.Log.Verbosity); err != nil {
		return err
	}
	role, stopTimeout := entry.Module, entryStopTimeout
	if s.Role == settings.RoleAgent {
		role, stopTimeout = agent.Module, agentStopTimeout
	}
	app := fx.New(fx.Supply(s), role, fx.StartTimeout(startTimeout), fx.StopTimeout(stopTimeout),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }))
	if err := app.Err(); err != nil {
		return err
	}
	return serve(app, stopTimeout)
}

// runHosted runs an entry or an agent on the users' platform.
func runHosted(ctx context.Context, c *cli.Command) error {
	s, err := platform.LoadSettings()
	if err != nil {
		return fmt.Errorf("%w: %w", errHostedSettings, err)
	}
	s.MetricsPort = c.Int(flagMetricsPort)
	lines := logging.UseJSON(s.Node)
	defer lines.Flush()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	hosted.CheckSettingsOnSIGHUP(ctx, s, platform.LoadSettings)
	app := hosted.New(s)
	if err := app.Err(); err != nil {
		return err
	}
	return serve(app, hosted.StopTimeout)
}

// serve runs the application until a signal asks it to stop.
func serve(app *fx.App, stopTimeout time.Duration) error {
	startCtx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	if err := app.Start(startCtx); err != nil {
		return err
	}
	sig := <-app.Wait()
	klog.InfoS("Stopping", "signal", sig.Signal)
	stopCtx, cancelStop := context.WithTimeout(context.Background(), stopTimeout)
	defer cancelStop()
	err := app.Stop(stopCtx)
	klog.InfoS("Stopped")
	return err
}

func setVerbosity(v int) error {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	return flags.Set("v", strconv.Itoa(v))
}
