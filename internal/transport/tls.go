// Package transport holds what the network listeners of all processes share: the TLS configurations, built from the
// settings.
package transport

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"

	"masticcart.example/masticcart/internal/settings"
)

// TLSConfigs holds the TLS configurations of a process. All are nil when the settings have no TLS section.
type TLSConfigs struct {
	API       *tls.Config // HTTP listeners for API clients, operators and metrics scrapers
	RPCServer *tls.Config // listener for the system's own processes
	RPCClient *tls.Config // connections to the system's own processes
}

// LoadTLS reads the certificate, the key and the CA certificates that the settings name. Without a CA file the system's
// roots verify servers, and clients are not verified.
func LoadTLS(s *settings.Settings) (*TLSConfigs, error) {
	t := s.TLS
	if t == nil {
		return &TLSConfigs{}, nil
	}
	cert, err := tls.LoadX509KeyPair(t.Certificate, t.Key)
	if err != nil {
		return nil, fmt.Errorf("tls: %w", err)
	}
	base := tls.Config{Certificates: []tls.Certificate{cert}, MinVersion: tls.VersionTLS13}
	c := &TLSConfigs{API: base.Clone(), RPCServer: base.Clone(), RPCClient: base.Clone()}
	if t.CA == "" {
		return c, nil
	}
	pem, err := os.ReadFile(t.CA)
	if err != nil {
		return nil, fmt.Errorf("tls: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("tls: %s contains no PEM certificate", t.CA)
	}
	c.RPCClient.RootCAs = pool
	if t.VerifyClients {
		c.RPCServer.ClientCAs, c.RPCServer.ClientAuth = pool, tls.RequireAndVerifyClientCert
	}
	return c, nil
}
