// Command standin-worker simulates one worker, for tests and the demo.
package main

import (
	"context"
	"time"

	"github.com/urfave/cli/v3"
	"k8s.io/klog/v2"

	"masticcart.example/masticcart/internal/standin/process"
	"masticcart.example/masticcart/internal/standin/worker"
)

// stopTimeout limits the time for in-flight requests after SIGTERM.
const stopTimeout = 5 * time.Second

func main() { process.Main(command()) }

func command() *cli.Command {
	return &cli.Command{
		Name:  "standin-worker",
		Usage: "simulated worker with accelerators",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:7300", Usage: "address to listen on"},
			&cli.IntFlag{Name: "accelerators", Value: worker.DefaultAccelerators, Usage: "number of accelerators of the worker"},
			&cli.DurationFlag{Name: "checkpoint-time", Value: worker.DefaultCheckpointTime, Usage: "duration of a checkpoint"},
		},
		Action: run,
	}
}

func run(ctx context.Context, c *cli.Command) error {
	listener, err := process.Listen(c.String("listen"))
	if err != nil {
		return err
	}
	config := worker.Config{Accelerators: c.Int("accelerators"), CheckpointTime: c.Duration("checkpoint-time")}
	klog.InfoS("Start server", "address", listener.Addr(), "accelerators", config.Accelerators)
	return process.Serve(ctx, listener, worker.New(config), stopTimeout)
}
