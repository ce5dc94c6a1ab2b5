package processtest

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/json"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"masticcart.example/masticcart/internal/model"
	"masticcart.example/masticcart/internal/protocol"
	"masticcart.example/masticcart/internal/rpc"
	"masticcart.example/masticcart/internal/settings"
)

// authority is a certificate authority for one test.
type authority struct {
	t    *testing.T
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pool *x509.CertPool
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	a := &authority{t: t, pool: x509.NewCertPool()}
	a.cert = &x509.Certificate{Subject: pkix.Name{CommonName: "test authority"}, IsCA: true, BasicConstraintsValid: true,
		KeyUsage: x509.KeyUsageCertSign}
	a.cert, a.key = a.sign(a.cert)
	a.pool.AddCert(a.cert)
	return a
}

// sign completes and signs a certificate and returns it with its new key. The first certificate is the authority's own
// and self-signed.
func (a *authority) sign(template *x509.Certificate) (*x509.Certificate, *ecdsa.PrivateKey) {
	a.t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		a.t.Fatal(err)
	}
	signer := a.key
	if signer == nil {
		signer = key
	}
	template.SerialNumber, template.NotBefore, template.NotAfter =
		big.NewInt(1), time.Now().Add(-time.Hour), time.Now().Add(time.Hour)
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, signer)
	if err != nil {
		a.t.Fatal(err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		a.t.Fatal(err)
	}
	return cert, key
}

// issue returns a certificate for a process on 127.0.0.1, valid for servers and clients.
func (a *authority) issue() tls.Certificate {
	a.t.Helper()
	cert, key := a.sign(&x509.Certificate{Subject: pkix.Name{CommonName: "process"},
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}})
	return tls.Certificate{Certificate: [][]byte{cert.Raw}, PrivateKey: key}
}

// writePEM writes a PEM block to path and returns path.
func (a *authority) writePEM(path, kind string, der []byte) string {
	a.t.Helper()
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		a.t.Fatal(err)
	}
	return path
}

// enableTLS adds certificates to the settings of all daemons of a deployment and to its HTTP client.
func (a *authority) enableTLS(d *deployment) {
	d.Helper()
	cert := a.issue()
	key, err := x509.MarshalPKCS8PrivateKey(cert.PrivateKey)
	if err != nil {
		d.Fatal(err)
	}
	dir := d.layout.Dir
	block, err := json.Marshal(map[string]any{"verify_clients": true,
		"key":         a.writePEM(filepath.Join(dir, "process.key"), "PRIVATE KEY", key),
		"certificate": a.writePEM(filepath.Join(dir, "process.pem"), "CERTIFICATE", cert.Certificate[0]),
		"ca":          a.writePEM(filepath.Join(dir, "ca.pem"), "CERTIFICATE", a.cert.Raw)})
	if err != nil {
		d.Fatal(err)
	}
	for _, p := range d.layout.Processes {
		if p.Program != "masticcartd" {
			continue
		}
		data, err := os.ReadFile(p.Args[1])
		if err != nil {
			d.Fatal(err)
		}
		data = bytes.Replace(data, []byte("{"), []byte(`{"tls":`+string(block)+","), 1)
		if err := os.WriteFile(p.Args[1], data, 0o600); err != nil {
			d.Fatal(err)
		}
	}
	d.tls = &tls.Config{RootCAs: a.pool, MinVersion: tls.VersionTLS13}
	d.http.Transport = &http.Transport{TLSClientConfig: d.tls}
}

// TestTLS guards against processes that fail to communicate over TLS, and against RPC sessions that accept clients
// without a certificate of the deployment's authority.
func TestTLS(t *testing.T) {
	t.Parallel()
	a := newAuthority(t)
	d := deploy(t, deploymentSizes(1, 2), a.enableTLS)
	_, address := d.owner("riga")
	c := d.client(tokenOf(teamA), address)
	d.sendRequest(c, "request", 100*time.Millisecond, model.ResultDone)
	d.startGang("gang", time.Second)
	d.waitOutcomes()
	d.checkHistory()

	entry, err := settings.Load(filepath.Join(d.layout.Dir, "entry-riga-1.jsonc"))
	if err != nil {
		t.Fatal(err)
	}
	stranger := newAuthority(t)
	for name, s := range map[string]struct {
		config *tls.Config
		opens  bool
	}{
		"own certificate":           {&tls.Config{RootCAs: a.pool, Certificates: []tls.Certificate{a.issue()}}, true},
		"no certificate":            {&tls.Config{RootCAs: a.pool}, false},
		"another authority":         {&tls.Config{RootCAs: a.pool, Certificates: []tls.Certificate{stranger.issue()}}, false},
		"plain TCP":                 {nil, false},
		"server of other authority": {&tls.Config{RootCAs: stranger.pool, Certificates: []tls.Certificate{a.issue()}}, false},
	} {
		if err := openSession(entry.Entry.RPCListen, s.config); (err == nil) != s.opens {
			t.Errorf("%s: %v, want a session %t", name, err, s.opens)
		}
	}
	d.sendRequest(c, "after", 0, model.ResultDone)
	for _, process := range []string{"entry-riga-1", "agent-worker-riga-1"} {
		d.checkMetrics(d.layout.Metrics[process])
	}
}

// checkMetrics guards against a metrics listener that also serves plain HTTP.
func (d *deployment) checkMetrics(address string) {
	d.Helper()
	for scheme, want := range map[string]int{"https": http.StatusOK, "http": http.StatusBadRequest} {
		resp, err := d.http.Get(scheme + "://" + address + "/metrics")
		if err != nil {
			d.Errorf("metrics over %s: %v", scheme, err)
			continue
		}
		resp.Body.Close()
		if resp.StatusCode != want {
			d.Errorf("metrics over %s: status %d, want %d", scheme, resp.StatusCode, want)
		}
	}
}

// openSession opens an RPC session with an entry, without TLS if config is nil, and makes one call.
func openSession(address string, config *tls.Config) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	conn, err := rpc.Dial(ctx, address, config, rpc.Handlers{}, &rpc.Meter{})
	if err != nil {
		return err
	}
	defer conn.Close()
	var reply protocol.ConfigReply
	return conn.Call(ctx, protocol.MethodConfig, protocol.ConfigArgs{}, &reply)
}
