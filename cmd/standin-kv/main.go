// Command standin-kv runs the stand-in for the platform's key-value service for tests and the demo.
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

	"masticcart.example/masticcart/internal/platform/memstore"
	"masticcart.example/masticcart/internal/standin/kv"
)

const (
	// headerTimeout frees connections whose client sends no request.
	headerTimeout = 10 * time.Second
	// stopTimeout is how long requests in flight may take after SIGTERM.
	stopTimeout = 1 * time.Second
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	err := command().Run(ctx, os.Args)
	stop()
	if err != nil {
		klog.ErrorS(err, "Run standin-kv")
	}
	klog.Flush()
	if err != nil {
		os.Exit(1)
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name:  "standin-kv",
		Usage: "stand-in for the platform's key-value service",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:7100", Usage: "address to listen on"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the choice of lost answers"},
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
	store := memstore.New(time.Now)
	store.Seed(c.Uint64("seed"))
	klog.InfoS("Start server", "address", listener.Addr(), "seed", c.Uint64("seed"))
	return serve(ctx, listener, kv.New(store))
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
