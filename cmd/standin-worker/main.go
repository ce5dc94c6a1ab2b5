// Command standin-worker runs the stand-in for one worker for tests and the demo.
package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"
	"k8s.io/klog/v2"

	"masticcart.example/masticcart/internal/standin/worker"
)

const (
	// headerTimeout frees connections whose client sends no request.
	headerTimeout = 10 * time.Second
	// stopTimeout is how long requests in flight may take after SIGTERM.
	stopTimeout = 5 * time.Second
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	err := command().Run(ctx, os.Args)
	stop()
	if err != nil {
		klog.ErrorS(err, "Run standin-worker")
	}
	klog.Flush()
	if err != nil {
		os.Exit(1)
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name:  "standin-worker",
		Usage: "stand-in for one worker with accelerators",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:7300", Usage: "address to listen on"},
			&cli.IntFlag{Name: "accelerators", Value: worker.DefaultAccelerators, Usage: "accelerators of the worker"},
			&cli.DurationFlag{Name: "checkpoint-time", Value: worker.DefaultCheckpointTime, Usage: "time that a checkpoint takes"},
		},
		Action: run,
	}
}

func run(ctx context.Context, c *cli.Command) error {
	listener, err := net.Listen("tcp", c.String("listen"))
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	fmt.Println("listening on", listener.Addr())
	config := worker.Config{Accelerators: c.Int("accelerators"), CheckpointTime: c.Duration("checkpoint-time")}
	klog.InfoS("Start server", "address", listener.Addr(), "accelerators", config.Accelerators)
	return serve(ctx, listener, worker.New(config))
}

// serve runs the server until ctx ends, then lets requests in flight finish.
func serve(ctx context.Context, listener net.Listener, handler http.Handler) error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	stopped := make(chan error, 1)
	go func() {
		<-ctx.Done()
		klog.InfoS("Stop server", "address", listener.Addr())
		limit, cancel := context.WithTimeout(context.Background(), stopTimeout)
		defer cancel()
		stopped <- server.Shutdown(limit)
	}()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve: %w", err)
	}
	if err := <-stopped; err != nil {
		klog.InfoS("Close connections with requests in flight", "err", err)
		return server.Close()
	}
	return nil
}
