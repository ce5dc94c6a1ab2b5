// Command masticcart-capacity measures what the roles of a deployment cost. scripts/capacity starts the processes that
// it asks for on its standard output.
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
		Usage: "bytes, processor time, memory and platform calls of each role",
		Commands: []*cli.Command{
			{
				Name: "run", Usage: "carry out parts of the measurement; run by scripts/capacity",
				Flags: []cli.Flag{
					&cli.StringFlag{Name: "dir", Required: true, Usage: "folder of the settings, logs and results"},
					&cli.IntFlag{Name: "base-port", Value: 23000, Usage: "ports are taken from here upwards"},
					&cli.StringFlag{Name: "parts", Required: true, Usage: "parts, separated by commas"},
				},
				Action: run,
			},
			{
				Name: "sizes", Usage: "print the encoded sizes of messages",
				Action: func(context.Context, *cli.Command) error { return capacity.WriteMessageSizes(os.Stdout) },
			},
			{
				Name: "report", Usage: "print the slopes and events of result files", ArgsUsage: "FILE...",
				Action: func(_ context.Context, c *cli.Command) error {
					return capacity.WriteReport(os.Stdout, c.Args().Slice()...)
				},
			},
		},
	}
	// A signal ends the program at once: agents of an aborted run that lived on would reach the entries of the next.
	if err := app.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "masticcart-capacity:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, c *cli.Command) error {
	if err := silenceLog(); err != nil {
		return err
	}
	return capacity.Run(ctx, capacity.Options{Dir: c.String("dir"), BasePort: c.Int("base-port"),
		Parts: strings.Split(c.String("parts"), ","), Commands: os.Stdout, Log: os.Stderr})
}

// silenceLog drops the log lines of the simulated agents.
func silenceLog() error {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	for name, value := range map[string]string{"logtostderr": "false", "alsologtostderr": "false", "stderrthreshold": "FATAL"} {
		if err := flags.Set(name, value); err != nil {
			return err
		}
	}
	klog.SetOutput(io.Discard)
	return nil
}
