// Command standin-kv simulates the platform's key-value service, for tests and the demo.
package main

import (
	"context"
	"time"

	"github.com/urfave/cli/v3"
	"k8s.io/klog/v2"

	"masticcart.example/masticcart/internal/kvstore/memstore"
	"masticcart.example/masticcart/internal/standin/kv"
	"masticcart.example/masticcart/internal/standin/process"
)

// stopTimeout limits the time for in-flight requests after SIGTERM.
const stopTimeout = 1 * time.Second

func main() { process.Main(command()) }

func command() *cli.Command {
	return &cli.Command{
		Name:  "standin-kv",
		Usage: "simulated key-value service of the platform",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:7100", Usage: "address to listen on"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "random seed that decides which replies are lost"},
		},
		Action: run,
	}
}

func run(ctx context.Context, c *cli.Command) error {
	listener, err := process.Listen(c.String("listen"))
	if err != nil {
		return err
	}
	store := memstore.New(time.Now)
	store.SeedFaults(c.Uint64("seed"))
	klog.InfoS("Start server", "address", listener.Addr(), "seed", c.Uint64("seed"))
	return process.Serve(ctx, listener, kv.New(store), stopTimeout)
}
