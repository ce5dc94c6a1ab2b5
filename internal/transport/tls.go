// Package transport builds the TLS configurations of a process from its settings.
package transport

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"

	"masticcart.example/masticcart/internal/settings"
)

// Config holds the TLS configurations of a process. All are nil when the settings name no certificate.
type Config struct {
	API    *tls.Config // the listeners for callers, operators and scrapers
	Listen *tls.Config // the listener for the system's own processes
	Dial   *tls.Config // connections to the system's own processes
}

// New reads the certificate, the key and the authority.
func New(s *settings.Settings) (*Config, error) {
	t := s.TLS
	if t == nil {
		return &Config{}, nil
	}
	cert, err := tls.LoadX509KeyPair(t.Certificate, t.Key)
	if err != nil {
		return nil, fmt.Errorf("tls: %w", err)
	}
	base := tls.Config{Certificates: []tls.Certificate{cert}, MinVersion: tls.VersionTLS13}
	c := &Config{API: base.Clone(), Listen: base.Clone(), Dial: base.Clone()}
	if t.CA == "" {
		return c, nil
	}
	pem, err := os.ReadFile(t.CA)
	if err != nil {
		return nil, fmt.Errorf("tls: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("tls: %s holds no certificate", t.CA)
	}
	c.Dial.RootCAs = pool
	if t.VerifyClients {
		c.Listen.ClientCAs, c.Listen.ClientAuth = pool, tls.RequireAndVerifyClientCert
	}
	return c, nil
}
