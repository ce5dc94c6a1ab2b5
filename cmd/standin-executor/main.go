// Command standin-executor runs the stand-in for one executor of a service for tests and the demo.
package main

import (
	"context"
	"time"

	"github.com/urfave/cli/v3"
	"k8s.io/klog/v2"

	"masticcart.example/masticcart/internal/standin/executor"
	"masticcart.example/masticcart/internal/standin/process"
)

// stopTimeout is how long requests in flight may take after SIGTERM.
const stopTimeout = 30 * time.Second

func main() { process.Main(command()) }

func command() *cli.Command {
	return &cli.Command{
		Name:  "standin-executor",
		Usage: "stand-in for one executor of a service",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:7200", Usage: "address to listen on"},
			&cli.StringFlag{Name: "service", Usage: "name of the service", Required: true},
			&cli.IntFlag{Name: "slots", Value: executor.DefaultSlots, Usage: "requests that run at a time"},
			&cli.IntFlag{Name: "connections", Value: executor.DefaultConnections, Usage: "open connections at a time"},
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
