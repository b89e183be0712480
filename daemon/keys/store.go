// Package keys manages the TLS certificates of a daemon, which can be replaced
// without a restart, and compares API keys with their hashes.
package keys

import (
	"context"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// Files holds the paths of the PEM files of one identity.
type Files struct {
	// Cert is the file of the certificate and its chain, Key that of the private
	// key.
	Cert, Key string
	// CA is the file of the CA certificates that sign the other side's
	// certificates; empty if no client certificate is requested.
	CA string
}

// Material is a certificate with its key, and the CA certificates that sign the
// other side's certificates.
type Material struct {
	Certificate tls.Certificate
	// Authorities is nil if no client certificate is requested.
	Authorities *x509.CertPool
}

// Store holds the current Material. It is safe for concurrent use.
type Store struct {
	current atomic.Pointer[Material]

	mu     sync.Mutex
	files  Files
	digest [sha256.Size]byte
}

// Open returns a store that holds the certificates in the files.
func Open(files Files) (*Store, error) {
	s := &Store{files: files}
	if _, err := s.Reload(); err != nil {
		return nil, err
	}
	return s, nil
}

// FromMaterial returns a store for material in memory, on which Reload has no effect.
func FromMaterial(m *Material) *Store {
	s := &Store{}
	s.current.Store(m)
	return s
}

// Replace sets the material for all later handshakes.
func (s *Store) Replace(m *Material) { s.current.Store(m) }

// Material returns the current material.
func (s *Store) Material() *Material { return s.current.Load() }

// Reload reads the files again and reports whether the material changed. If the
// files cannot be read or do not match each other, it returns an error and the
// material stays as it is.
func (s *Store) Reload() (changed bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.files == (Files{}) {
		return false, nil
	}
	content, err := read(s.files)
	if err != nil {
		return false, err
	}
	digest := content.digest()
	if s.current.Load() != nil && digest == s.digest {
		return false, nil
	}
	material, err := content.parse(s.files)
	if err != nil {
		return false, err
	}
	s.digest = digest
	s.current.Store(material)
	return true, nil
}

// Watch reloads the files at every tick until ctx ends or ticks is closed, and
// reports changes and failures. A tick may come from a timer or from a SIGHUP.
func (s *Store) Watch(ctx context.Context, ticks <-chan time.Time, report func(changed bool, err error)) {
	for {
		select {
		case <-ctx.Done():
			return
		case _, open := <-ticks:
			if !open {
				return
			}
		}
		changed, err := s.Reload()
		if changed || err != nil {
			report(changed, err)
		}
	}
}

// pemContent is the content of the PEM files.
type pemContent struct{ cert, key, ca []byte }

func read(files Files) (pemContent, error) {
	var content pemContent
	var err error
	if content.cert, err = readFile(files.Cert); err != nil {
		return content, err
	}
	if content.key, err = readFile(files.Key); err != nil {
		return content, err
	}
	if files.CA == "" {
		return content, nil
	}
	content.ca, err = readFile(files.CA)
	return content, err
}

func readFile(path string) ([]byte, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "keys: read file")
	}
	return data, nil
}

func (c pemContent) digest() [sha256.Size]byte {
	var sum [sha256.Size]byte
	h := sha256.New()
	for _, part := range [][]byte{c.cert, c.key, c.ca} {
		partSum := sha256.Sum256(part)
		h.Write(partSum[:])
	}
	h.Sum(sum[:0])
	return sum
}

func (c pemContent) parse(files Files) (*Material, error) {
	certificate, err := tls.X509KeyPair(c.cert, c.key)
	if err != nil {
		return nil, eris.Wrapf(err, "keys: load certificate %s with key %s", files.Cert, files.Key)
	}
	material := &Material{Certificate: certificate}
	if files.CA == "" {
		return material, nil
	}
	material.Authorities = x509.NewCertPool()
	if !material.Authorities.AppendCertsFromPEM(c.ca) {
		return nil, eris.Errorf("keys: %s holds no certificate", files.CA)
	}
	return material, nil
}
