// Command masticcartd is the daemon of masticcart. Its settings file selects the role: entry or agent.
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

// Exit codes other than 0.
const (
	exitFailure  = 1
	exitUsage    = 2
	exitSettings = 78 // EX_CONFIG in sysexits.h
)

const (
	startTimeout = 15 * time.Second
	// entryStopTimeout exceeds the longest deadline of a request, so that a graceful stop interrupts no request.
	entryStopTimeout = 11 * time.Minute
	// agentStopTimeout lets tasks that cannot be checkpointed run to their end. The platform decides how long it waits
	// before it kills the process.
	agentStopTimeout = 24 * time.Hour
)

func newApp() *cli.Command {
	return &cli.Command{
		Name:  "masticcartd",
		Usage: "daemon of masticcart: runs an entry or the agent of an upstream",
		Description: "The settings file is JSON with comments; docs/settings.md lists its fields.\n" +
			"Exit codes: 0 graceful stop, 1 failure, 2 usage error, 78 invalid settings.",
		Commands: []*cli.Command{
			{Name: "run", Usage: "run until SIGTERM or SIGINT, then stop gracefully", ArgsUsage: "FILE", Action: runDaemon},
			{Name: "platform", Usage: "run on the hosting platform, with the settings file named by the environment",
				Flags: []cli.Flag{
					&cli.IntFlag{Name: flagMetricsPort, Usage: "`PORT` for metrics; 0 means the second internal port"},
				},
				Action: runOnPlatform},
			{Name: "check", Usage: "check a settings file and print its settings", ArgsUsage: "FILE", Action: checkSettings},
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

// flagMetricsPort names the flag by which the deploy file sets the metrics port. The deploy file has one port for all
// deployments, while the internal ports in the settings file may differ at each deployment.
const flagMetricsPort = "metrics-port"

// errPlatformSettings means that the settings file on the hosting platform is missing or invalid.
var errPlatformSettings = errors.New("settings")

var errUsage = errors.New("usage: masticcartd run|check FILE")

// exitCode returns the exit code for an error of a command.
func exitCode(err error) int {
	var settingsErr *settings.Error
	switch {
	case errors.As(err, &settingsErr), errors.Is(err, errPlatformSettings):
		return exitSettings
	case errors.Is(err, errUsage):
		return exitUsage
	}
	return exitFailure
}

// loadSettings loads the settings file named by the only argument.
func loadSettings(c *cli.Command) (*settings.Settings, error) {
	if c.Args().Len() != 1 {
		return nil, errUsage
	}
	return settings.Load(c.Args().First())
}

// checkSettings loads a settings file and prints its settings.
func checkSettings(_ context.Context, c *cli.Command) error {
	s, err := loadSettings(c)
	if err != nil {
		return err
	}
	fmt.Print(s.Report())
	return nil
}

// runDaemon runs an entry or an agent with a settings file until a signal stops it.
func runDaemon(_ context.Context, c *cli.Command) error {
	s, err := loadSettings(c)
	if err != nil {
		return err
	}
	if err := setVerbosity(s.Log.Verbosity); err != nil {
		return err
	}
	roleModule, stopTimeout := entry.Module, entryStopTimeout
	if s.Role == settings.RoleAgent {
		roleModule, stopTimeout = agent.Module, agentStopTimeout
	}
	app := fx.New(fx.Supply(s), roleModule, fx.StartTimeout(startTimeout), fx.StopTimeout(stopTimeout),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }))
	if err := app.Err(); err != nil {
		return err
	}
	return serve(app, stopTimeout)
}

// runOnPlatform runs an entry or an agent on the hosting platform until a signal stops it.
func runOnPlatform(ctx context.Context, c *cli.Command) error {
	s, err := platform.LoadSettings()
	if err != nil {
		return fmt.Errorf("%w: %w", errPlatformSettings, err)
	}
	s.MetricsPort = c.Int(flagMetricsPort)
	logWriter := logging.UseJSON(s.Node)
	defer logWriter.Flush()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	hosted.CheckSettingsOnSIGHUP(ctx, s, platform.LoadSettings)
	app := hosted.New(s)
	if err := app.Err(); err != nil {
		return err
	}
	return serve(app, hosted.StopTimeout)
}

// serve starts the application, waits for a signal and stops it gracefully within stopTimeout.
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
