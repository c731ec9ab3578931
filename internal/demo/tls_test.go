package demo

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"

	"github.com/cherryward/cherryward/internal/settings"
	"github.com/cherryward/cherryward/standin/engine"
)

// writeCertificate writes a self-signed certificate for loopback and its key to files.
func writeCertificate(t *testing.T) *settings.TLS {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	must.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(time.Hour),
		IPAddresses:           []net.IP{net.IPv4(127, 0, 0, 1)},
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature,
		ExtKeyUsage:           []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	must.NoError(t, err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	must.NoError(t, err)
	dir := t.TempDir()
	out := &settings.TLS{CertificateFile: filepath.Join(dir, "cert.pem"), KeyFile: filepath.Join(dir, "key.pem")}
	out.AuthorityFile = out.CertificateFile
	must.NoError(t, os.WriteFile(out.CertificateFile, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o600))
	must.NoError(t, os.WriteFile(out.KeyFile, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER}), 0o600))
	return out
}

// TestListenersUseTLS verifies that the peer listener requires a certificate of both ends and that
// the callers' listener presents the node's certificate.
func TestListenersUseTLS(t *testing.T) {
	cert := writeCertificate(t)
	f, err := Start(Options{Nodes: 2, Engines: []engine.Config{{TimeScale: 0}}, Log: zerolog.Nop(), Adjust: func(s *settings.Settings) {
		s.Peers.TLS = cert
		s.Callers.TLS = &settings.TLS{CertificateFile: cert.CertificateFile, KeyFile: cert.KeyFile}
	}})
	must.NoError(t, err)
	t.Cleanup(func() { must.NoError(t, f.Close()) })
	must.NoError(t, waitUntil(t.Context(), func() bool { return f.listsAllNodes(t.Context(), f.Nodes[0]) }))

	pool := x509.NewCertPool()
	data, err := os.ReadFile(cert.CertificateFile)
	must.NoError(t, err)
	must.True(t, pool.AppendCertsFromPEM(data))
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool}}}
	resp, err := client.Get("https://" + f.Nodes[0].CallersAddr().String() + "/healthz")
	must.NoError(t, err)
	must.NoError(t, resp.Body.Close())
	must.Eq(t, http.StatusOK, resp.StatusCode)
	conn, err := tls.Dial("tcp", f.Nodes[0].PeersAddr(), &tls.Config{RootCAs: pool})
	if err == nil { // with TLS 1.3 a missing client certificate is reported by the first read
		_, err = conn.Read(make([]byte, 1))
	}
	must.ErrorContains(t, err, "certificate required")
}
