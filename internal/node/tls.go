package node

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/rotisserie/eris"

	"github.com/cherryward/cherryward/internal/settings"
)

// tlsConfigs holds the TLS configuration of each listener; nil disables TLS.
type tlsConfigs struct {
	callers, operators, peers *tls.Config
	dial                      *tls.Config // for connections to the peer listeners of other nodes
}

func loadTLS(s *settings.Settings) (*tlsConfigs, error) {
	out := &tlsConfigs{}
	var err error
	if out.callers, err = listenerTLS(s.Callers.TLS); err != nil {
		return nil, err
	}
	if out.operators, err = listenerTLS(s.Operators.TLS); err != nil {
		return nil, err
	}
	if out.peers, err = listenerTLS(s.Peers.TLS); err != nil || out.peers == nil {
		return out, err
	}
	return out, out.requirePeerCertificates(s.Peers.TLS)
}

func listenerTLS(t *settings.TLS) (*tls.Config, error) {
	if t == nil {
		return nil, nil
	}
	cert, err := tls.LoadX509KeyPair(t.CertificateFile, t.KeyFile)
	if err != nil {
		return nil, eris.Wrap(err, "load certificate")
	}
	return &tls.Config{Certificates: []tls.Certificate{cert}, MinVersion: tls.VersionTLS13}, nil
}

// requirePeerCertificates requires mutual TLS between nodes, with certificates issued by
// the authority. Nodes dial each other by IP address, so each certificate must contain the
// node's IP address.
func (c *tlsConfigs) requirePeerCertificates(t *settings.TLS) error {
	pem, err := os.ReadFile(t.AuthorityFile)
	if err != nil {
		return eris.Wrap(err, "read the authority file for peers")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return eris.Errorf("no PEM certificate in %s", t.AuthorityFile)
	}
	c.peers.ClientCAs = pool
	c.peers.ClientAuth = tls.RequireAndVerifyClientCert
	c.dial = &tls.Config{Certificates: c.peers.Certificates, RootCAs: pool, MinVersion: tls.VersionTLS13}
	return nil
}
