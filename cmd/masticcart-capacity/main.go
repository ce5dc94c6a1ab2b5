// Command masticcart-capacity measures the resource usage of each role of a deployment. It requests processes on its
// standard output; scripts/capacity starts them.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/urfave/cli/v3"
	"k8s.io/klog/v2"

	"masticcart.example/masticcart/internal/capacity"
)

func main() {
	app := &cli.Command{
		Name:  "masticcart-capacity",
		Usage: "measure bytes, CPU time, memory and platform calls of each role",
		Commands: []*cli.Command{
			{
				Name: "run", Usage: "run parts of the measurement; started by scripts/capacity",
				Flags: []cli.Flag{
					&cli.StringFlag{Name: "dir", Required: true, Usage: "directory for settings, logs and results"},
					&cli.IntFlag{Name: "base-port", Value: 23000, Usage: "lowest port to use"},
					&cli.StringFlag{Name: "parts", Required: true, Usage: "parts to run, separated by commas"},
				},
				Action: run,
			},
			{
				Name: "sizes", Usage: "print the encoded sizes of messages",
				Action: func(context.Context, *cli.Command) error { return capacity.WriteMessageSizes(os.Stdout) },
			},
			{
				Name: "report", Usage: "print the fitted slopes and the events of result files", ArgsUsage: "FILE...",
				Action: func(_ context.Context, c *cli.Command) error {
					return capacity.WriteReport(os.Stdout, c.Args().Slice()...)
				},
			},
		},
	}
	// Signals are not handled, so that they end the program at once: agents that outlived an aborted run would connect to
	// the entries of the next run.
	if err := app.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "masticcart-capacity:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, c *cli.Command) error {
	if err := discardLogs(); err != nil {
		return err
	}
	return capacity.Run(ctx, capacity.Options{Dir: c.String("dir"), BasePort: c.Int("base-port"),
		Parts: strings.Split(c.String("parts"), ","), Commands: os.Stdout, Log: os.Stderr})
}

// discardLogs discards all klog output, which comes from the simulated agents.
func discardLogs() error {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	for name, value := range map[string]string{
		"logtostderr": "false", "alsologtostderr": "false", "stderrthreshold": "FATAL",
	} {
		if err := flags.Set(name, value); err != nil {
			return err
		}
	}
	klog.SetOutput(io.Discard)
	return nil
}
