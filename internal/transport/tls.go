// Package transport builds the TLS configurations of a process from its settings.
package transport

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"

	"masticcart.example/masticcart/internal/settings"
)

// TLSConfigs holds the TLS configurations of a process. All are nil when the settings name no certificate.
type TLSConfigs struct {
	API       *tls.Config // the listeners for callers, operators and scrapers
	RPCServer *tls.Config // the listener for the system's own processes
	RPCClient *tls.Config // connections to the system's own processes
}

// LoadTLS reads the certificate, the key and the authority.
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
		return nil, fmt.Errorf("tls: %s holds no certificate", t.CA)
	}
	c.RPCClient.RootCAs = pool
	if t.VerifyClients {
		c.RPCServer.ClientCAs, c.RPCServer.ClientAuth = pool, tls.RequireAndVerifyClientCert
	}
	return c, nil
}
