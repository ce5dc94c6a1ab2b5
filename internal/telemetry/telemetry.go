// Package telemetry serves the metrics and the health checks of one process over HTTP.
package telemetry

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/gorilla/mux"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
	"go.uber.org/fx"
	"k8s.io/klog/v2"

	"masticcart.example/masticcart/internal/settings"
	"masticcart.example/masticcart/internal/transport"
)

const (
	reportInterval    = time.Second
	readHeaderTimeout = 5 * time.Second
)

// Metrics holds the root scope and the handler that serves it to scrapers.
type Metrics struct {
	Scope   tally.Scope
	handler http.Handler
	closer  io.Closer
}

// NewMetrics returns the metrics of a process, tagged with its name, region and cell.
func NewMetrics(s *settings.Settings) *Metrics {
	reporter := prometheus.NewReporter(prometheus.Options{
		OnRegisterError: func(err error) { klog.InfoS("Cannot register metric", "err", err) },
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         "masticcart",
		Tags:           map[string]string{"process": s.Name, "region": s.Region, "cell": s.Cell},
		CachedReporter: reporter, Separator: prometheus.DefaultSeparator, OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Metrics{Scope: scope, handler: reporter.HTTPHandler(), closer: closer}
}

// ReadinessCheck returns nil if the process can accept work, or an error with the reason why it cannot.
type ReadinessCheck func() error

// RegisterServer appends lifecycle hooks that close the metrics on stop and, if the settings name an address for it,
// run a server for metrics and health checks.
func RegisterServer(lc fx.Lifecycle, s *settings.Settings, m *Metrics, ready ReadinessCheck, t *transport.TLSConfigs) {
	lc.Append(fx.Hook{OnStop: func(context.Context) error { return m.closer.Close() }})
	if s.Metrics.Listen == "" {
		return
	}
	r := mux.NewRouter()
	r.Handle("/metrics", m.handler)
	r.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { writeHealth(w, nil) })
	r.HandleFunc("/readyz", func(w http.ResponseWriter, _ *http.Request) { writeHealth(w, ready()) })
	server := &http.Server{Handler: r, ReadHeaderTimeout: readHeaderTimeout}
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			l, err := net.Listen("tcp", s.Metrics.Listen)
			if err != nil {
				return err
			}
			if t.API != nil {
				l = tls.NewListener(l, t.API)
			}
			go func() {
				if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
					klog.ErrorS(err, "Metrics server failed")
				}
			}()
			return nil
		},
		OnStop: server.Shutdown,
	})
}

// writeHealth writes the result of a health check.
func writeHealth(w http.ResponseWriter, err error) {
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ok\n")
}
