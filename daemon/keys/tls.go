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

// peerScheme and peerHost are the scheme and host of the URI that identifies a
// daemon in its certificate: samphirequay://daemon/NAME.
const (
	peerScheme = "samphirequay"
	peerHost   = "daemon"
)

// resetKeyLabel separates the derivation of the reset key from other uses of
// the private key.
const resetKeyLabel = "samphirequay stateless reset"

// CallerTLS returns the configuration for listeners that callers connect to.
// Each handshake uses the store's current certificate.
func (s *Store) CallerTLS() *tls.Config {
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: s.certificate,
	}
}

func (s *Store) certificate(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	return &s.Material().Certificate, nil
}

// PeerServer returns the configuration for accepting connections of peers:
// mutual TLS with the store's current certificates at each handshake.
func (s *Store) PeerServer(alpn string) *tls.Config {
	cfg := s.currentPeerServer(alpn)
	cfg.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) {
		return s.currentPeerServer(alpn), nil
	}
	return cfg
}

func (s *Store) currentPeerServer(alpn string) *tls.Config {
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

// PeerClient returns the configuration for one dial to the named peer, with the
// store's current certificates. The peer's certificate must be signed by the CA
// and contain the daemon's name; the peer's address is not verified.
func (s *Store) PeerClient(alpn string, peer id.Daemon) *tls.Config {
	m := s.Material()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{alpn},
		Certificates: []tls.Certificate{m.Certificate},
		// The standard verification requires a host name; verifyPeer verifies
		// the chain and the daemon's name instead.
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
		return eris.Errorf("keys: the certificate is for daemon %q, want %q", name, want)
	}
	return nil
}

func verifyChain(state tls.ConnectionState, authorities *x509.CertPool) error {
	if authorities == nil {
		return eris.New("keys: no CA to verify peers with")
	}
	if len(state.PeerCertificates) == 0 {
		return eris.New("keys: the peer presented no certificate")
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
		return eris.Wrap(err, "keys: verify peer certificate")
	}
	return nil
}

// PeerName returns the name of the daemon in the peer's certificate, taken from
// its URI, or from its common name if the certificate has no such URI.
func PeerName(state tls.ConnectionState) (id.Daemon, error) {
	if len(state.PeerCertificates) == 0 {
		return "", eris.New("keys: the peer presented no certificate")
	}
	leaf := state.PeerCertificates[0]
	for _, uri := range leaf.URIs {
		if uri.Scheme == peerScheme && uri.Host == peerHost {
			return nameFromPath(uri)
		}
	}
	if leaf.Subject.CommonName == "" {
		return "", eris.New("keys: the certificate contains no daemon name")
	}
	return id.Daemon(leaf.Subject.CommonName), nil
}

func nameFromPath(uri *url.URL) (id.Daemon, error) {
	name := strings.TrimPrefix(uri.Path, "/")
	if name == "" || strings.Contains(name, "/") {
		return "", eris.Errorf("keys: the certificate's URI %s contains no valid daemon name", uri)
	}
	return id.Daemon(name), nil
}

// ResetKey returns the key for stateless resets. It is derived from the private
// key and so stays the same across restarts of a daemon: a new process can
// signal to peers at once that the connections of the old process are gone.
func (s *Store) ResetKey() ([sha256.Size]byte, error) {
	encoded, err := x509.MarshalPKCS8PrivateKey(s.Material().Certificate.PrivateKey)
	if err != nil {
		return [sha256.Size]byte{}, eris.Wrap(err, "keys: encode private key")
	}
	return sha256.Sum256(append([]byte(resetKeyLabel), encoded...)), nil
}
