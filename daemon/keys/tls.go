package keys

import (
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"net/url"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/samphirequay/samphirequay/core/id"
)

// peerScheme and peerHost begin the URI by which a certificate names a daemon:
// samphirequay://daemon/NAME.
const (
	peerScheme = "samphirequay"
	peerHost   = "daemon"
)

// resetKeyLabel keeps the reset key apart from other uses of the private key.
const resetKeyLabel = "samphirequay stateless reset"

// CallerTLS returns the configuration for listeners that callers connect to.
// Every handshake uses the certificate that is in force.
func (s *Store) CallerTLS() *tls.Config {
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: s.certificate,
	}
}

func (s *Store) certificate(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	return &s.Material().Certificate, nil
}

// PeerServer returns the configuration for accepting peers: mutual TLS with
// the certificates that are in force at each handshake.
func (s *Store) PeerServer(alpn string) *tls.Config {
	cfg := s.peerServerNow(alpn)
	cfg.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) {
		return s.peerServerNow(alpn), nil
	}
	return cfg
}

func (s *Store) peerServerNow(alpn string) *tls.Config {
	m := s.Material()
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		NextProtos:             []string{alpn},
		Certificates:           []tls.Certificate{m.Certificate},
		ClientAuth:             tls.RequireAndVerifyClientCert,
		ClientCAs:              m.Authorities,
		SessionTicketsDisabled: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			_, err := PeerName(state)
			return err
		},
	}
}

// PeerClient returns the configuration for one dial to the named peer, with
// the certificates that are in force now. The peer's certificate must be signed
// by the CA and name that daemon; its address does not matter.
func (s *Store) PeerClient(alpn string, peer id.Daemon) *tls.Config {
	m := s.Material()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{alpn},
		Certificates: []tls.Certificate{m.Certificate},
		// The standard check wants a host name; verifyPeer checks the chain
		// and the daemon's name in its place.
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			return verifyPeer(state, m.Authorities, peer)
		},
	}
}

func verifyPeer(state tls.ConnectionState, authorities *x509.CertPool, want id.Daemon) error {
	if err := verifyChain(state, authorities); err != nil {
		return err
	}
	name, err := PeerName(state)
	if err != nil {
		return err
	}
	if name != want {
		return eris.Errorf("keys: the certificate names daemon %q, want %q", name, want)
	}
	return nil
}

func verifyChain(state tls.ConnectionState, authorities *x509.CertPool) error {
	if authorities == nil {
		return eris.New("keys: no CA for peers")
	}
	if len(state.PeerCertificates) == 0 {
		return eris.New("keys: the peer showed no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, c := range state.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         authorities,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	})
	if err != nil {
		return eris.Wrap(err, "keys: peer certificate")
	}
	return nil
}

// PeerName returns the daemon that the peer's certificate names: by its URI, or
// by its common name where it has no such URI.
func PeerName(state tls.ConnectionState) (id.Daemon, error) {
	if len(state.PeerCertificates) == 0 {
		return "", eris.New("keys: the peer showed no certificate")
	}
	leaf := state.PeerCertificates[0]
	for _, uri := range leaf.URIs {
		if uri.Scheme == peerScheme && uri.Host == peerHost {
			return nameFromPath(uri)
		}
	}
	if leaf.Subject.CommonName == "" {
		return "", eris.New("keys: the certificate names no daemon")
	}
	return id.Daemon(leaf.Subject.CommonName), nil
}

func nameFromPath(uri *url.URL) (id.Daemon, error) {
	name := strings.TrimPrefix(uri.Path, "/")
	if name == "" || strings.Contains(name, "/") {
		return "", eris.Errorf("keys: the certificate's URI %s names no daemon", uri)
	}
	return id.Daemon(name), nil
}

// ResetKey returns a key that stays the same over restarts of a daemon: with it
// a new process tells peers at once that the old one's connections are gone.
func (s *Store) ResetKey() ([sha256.Size]byte, error) {
	encoded, err := x509.MarshalPKCS8PrivateKey(s.Material().Certificate.PrivateKey)
	if err != nil {
		return [sha256.Size]byte{}, eris.Wrap(err, "keys: private key")
	}
	return sha256.Sum256(append([]byte(resetKeyLabel), encoded...)), nil
}
