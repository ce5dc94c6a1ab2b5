// Command standin-executor runs the stand-in for one executor of a service for tests and the demo.
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

	"masticcart.example/masticcart/internal/standin/executor"
)

const (
	// headerTimeout frees connections whose client sends no request.
	headerTimeout = 10 * time.Second
	// stopTimeout is how long requests in flight may take after SIGTERM.
	stopTimeout = 30 * time.Second
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	err := command().Run(ctx, os.Args)
	stop()
	if err != nil {
		klog.ErrorS(err, "Run standin-executor")
	}
	klog.Flush()
	if err != nil {
		os.Exit(1)
	}
}

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
	listener, err := net.Listen("tcp", c.String("listen"))
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	fmt.Println("listening on", listener.Addr())
	listener = executor.LimitListener(listener, max(c.Int("connections"), 1))
	klog.InfoS("Start server", "address", listener.Addr(), "service", c.String("service"), "slots", c.Int("slots"))
	return serve(ctx, listener, executor.New(c.String("service"), c.Int("slots")))
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
