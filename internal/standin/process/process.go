// Package process runs a stand-in as a program: it serves HTTP on one address until SIGTERM.
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

// headerTimeout frees connections whose client sends no request.
const headerTimeout = 10 * time.Second

// Main runs a command line and exits with 1 on failure.
func Main(c *cli.Command) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	err := c.Run(ctx, os.Args)
	stop()
	if err != nil {
		klog.ErrorS(err, "Run "+c.Name)
	}
	klog.Flush()
	if err != nil {
		os.Exit(1)
	}
}

// Listen opens the address and prints where the stand-in listens.
func Listen(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	fmt.Println("listening on", listener.Addr())
	return listener, nil
}

// Serve runs the server until ctx ends, then gives requests in flight the time to finish.
func Serve(ctx context.Context, listener net.Listener, handler http.Handler, stopTimeout time.Duration) error {
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

// WriteJSON answers a request.
func WriteJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		klog.ErrorS(err, "Encode response")
		status = http.StatusInternalServerError
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if _, err := w.Write(data); err != nil {
		klog.V(1).InfoS("Write response", "err", err)
	}
}
