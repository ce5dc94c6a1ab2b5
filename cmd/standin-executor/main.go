// Command standin-executor simulates one executor of a service, for tests and the demo.
package main

import (
	"context"
	"time"

	"github.com/urfave/cli/v3"
	"k8s.io/klog/v2"

	"masticcart.example/masticcart/internal/standin/executor"
	"masticcart.example/masticcart/internal/standin/process"
)

// stopTimeout limits the time for in-flight requests after SIGTERM.
const stopTimeout = 30 * time.Second

func main() { process.Main(command()) }

func command() *cli.Command {
	return &cli.Command{
		Name:  "standin-executor",
		Usage: "simulated executor of a service",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:7200", Usage: "address to listen on"},
			&cli.StringFlag{Name: "service", Usage: "name of the service", Required: true},
			&cli.IntFlag{Name: "slots", Value: executor.DefaultSlots, Usage: "maximum number of requests that run concurrently"},
			&cli.IntFlag{Name: "connections", Value: executor.DefaultConnections, Usage: "maximum number of open connections"},
		},
		Action: run,
	}
}

func run(ctx context.Context, c *cli.Command) error {
	listener, err := process.Listen(c.String("listen"))
	if err != nil {
		return err
	}
	listener = executor.LimitListener(listener, max(c.Int("connections"), 1))
	klog.InfoS("Start server", "address", listener.Addr(), "service", c.String("service"), "slots", c.Int("slots"))
	return process.Serve(ctx, listener, executor.New(c.String("service"), c.Int("slots")), stopTimeout)
}
