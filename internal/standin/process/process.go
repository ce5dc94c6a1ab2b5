// Package process runs a stand-in as a program that serves HTTP on one address until it receives SIGTERM or SIGINT.
package process

import (
	"context"
	"encoding/json"
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
)

// headerTimeout is the time after which a connection is closed whose client sends no complete request header.
const headerTimeout = 10 * time.Second

// Main runs a command with the arguments of the process and exits with status 1 if it fails.
func Main(c *cli.Command) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	err := c.Run(ctx, os.Args)
	stop()
	if err != nil {
		klog.ErrorS(err, "Failed to run "+c.Name)
	}
	klog.Flush()
	if err != nil {
		os.Exit(1)
	}
}

// Listen listens on a TCP address and prints the address in use to standard output.
func Listen(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	fmt.Println("listening on", listener.Addr())
	return listener, nil
}

// Serve serves HTTP until ctx ends, then waits at most stopTimeout for requests in flight before it closes their
// connections.
func Serve(ctx context.Context, listener net.Listener, handler http.Handler, stopTimeout time.Duration) error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	stopped := make(chan error, 1)
	go func() {
		<-ctx.Done()
		klog.InfoS("Stopping server", "address", listener.Addr())
		shutdownCtx, cancel := context.WithTimeout(context.Background(), stopTimeout)
		defer cancel()
		stopped <- server.Shutdown(shutdownCtx)
	}()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve: %w", err)
	}
	if err := <-stopped; err != nil {
		klog.InfoS("Closing connections with requests in flight", "err", err)
		return server.Close()
	}
	return nil
}

// WriteJSON sends a response with a JSON body, or with status 500 and no body if it cannot be encoded.
func WriteJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		klog.ErrorS(err, "Failed to encode response")
		status = http.StatusInternalServerError
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if _, err := w.Write(data); err != nil {
		klog.V(1).InfoS("Failed to write response", "err", err)
	}
}
