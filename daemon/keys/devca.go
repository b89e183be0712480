package keys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/url"
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"

	"github.com/samphirequay/samphirequay/core/id"
)

// Names of the files that WriteFiles writes.
const (
	FileCA         = "ca.pem"
	FileCallerCert = "callers.pem"
	FileCallerKey  = "callers-key.pem"
	certSuffix     = ".pem"
	keySuffix      = "-key.pem"
)

const (
	devValidity  = 365 * 24 * time.Hour
	devClockSkew = time.Hour
	serialBits   = 120
	keyFileMode  = 0o600
	certFileMode = 0o644
	dirMode      = 0o755
	pemTypeCert  = "CERTIFICATE"
	pemTypeKey   = "PRIVATE KEY"
)

// DevCA signs certificates for development, for tests, and for fleets whose
// daemons share a CA through the platform's store. Its key is never written to
// a file.
type DevCA struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	now         time.Time
}

// NewDevCA generates a CA. The CA's certificate and those that it issues are
// valid for a year from now.
func NewDevCA(now time.Time) (*DevCA, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, eris.Wrap(err, "keys: generate CA key")
	}
	template, err := newTemplate("samphirequay development CA", now)
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return nil, eris.Wrap(err, "keys: create CA certificate")
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, eris.Wrap(err, "keys: parse CA certificate")
	}
	return &DevCA{certificate: certificate, key: key, now: now}, nil
}

func newTemplate(commonName string, now time.Time) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, eris.Wrap(err, "keys: generate serial number")
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: commonName},
		NotBefore:    now.Add(-devClockSkew),
		NotAfter:     now.Add(devValidity),
	}, nil
}

// Peer issues a daemon's certificate for mutual TLS between daemons.
func (ca *DevCA) Peer(name id.Daemon) (*Material, error) {
	template, err := newTemplate(string(name), ca.now)
	if err != nil {
		return nil, err
	}
	template.URIs = []*url.URL{{Scheme: peerScheme, Host: peerHost, Path: "/" + string(name)}}
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	return ca.issue(template)
}

// Caller issues a certificate for the listeners that callers connect to, valid
// for the given host names and IP addresses.
func (ca *DevCA) Caller(hosts ...string) (*Material, error) {
	template, err := newTemplate("samphirequay callers", ca.now)
	if err != nil {
		return nil, err
	}
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth}
	for _, host := range hosts {
		if ip := net.ParseIP(host); ip != nil {
			template.IPAddresses = append(template.IPAddresses, ip)
			continue
		}
		template.DNSNames = append(template.DNSNames, host)
	}
	return ca.issue(template)
}

func (ca *DevCA) issue(template *x509.Certificate) (*Material, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, eris.Wrap(err, "keys: generate private key")
	}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	der, err := x509.CreateCertificate(rand.Reader, template, ca.certificate, key.Public(), ca.key)
	if err != nil {
		return nil, eris.Wrap(err, "keys: create certificate")
	}
	return &Material{
		Certificate: tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key},
		Authorities: ca.Pool(),
	}, nil
}

// Pool returns a pool with the CA's certificate, for verifying certificates that
// the CA issued.
func (ca *DevCA) Pool() *x509.CertPool {
	pool := x509.NewCertPool()
	pool.AddCert(ca.certificate)
	return pool
}

// PeerFiles returns the paths of a daemon's files under dir, as WriteFiles
// writes them.
func PeerFiles(dir string, name id.Daemon) Files {
	return Files{
		Cert: filepath.Join(dir, string(name)+certSuffix),
		Key:  filepath.Join(dir, string(name)+keySuffix),
		CA:   filepath.Join(dir, FileCA),
	}
}

// WriteFiles writes the CA's certificate to dir, and issues and writes a
// certificate and key for each daemon and one for callers. It creates dir and
// replaces existing files.
func (ca *DevCA) WriteFiles(dir string, daemons []id.Daemon, callerHosts ...string) error {
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return eris.Wrap(err, "keys: create directory")
	}
	if err := writePEM(filepath.Join(dir, FileCA), pemTypeCert, ca.certificate.Raw, certFileMode); err != nil {
		return err
	}
	for _, name := range daemons {
		material, err := ca.Peer(name)
		if err != nil {
			return err
		}
		files := PeerFiles(dir, name)
		if err := material.write(files.Cert, files.Key); err != nil {
			return err
		}
	}
	material, err := ca.Caller(callerHosts...)
	if err != nil {
		return err
	}
	return material.write(filepath.Join(dir, FileCallerCert), filepath.Join(dir, FileCallerKey))
}

func (m *Material) write(certPath, keyPath string) error {
	der, err := x509.MarshalPKCS8PrivateKey(m.Certificate.PrivateKey)
	if err != nil {
		return eris.Wrap(err, "keys: encode private key")
	}
	if err := writePEM(keyPath, pemTypeKey, der, keyFileMode); err != nil {
		return err
	}
	return writePEM(certPath, pemTypeCert, m.Certificate.Certificate[0], certFileMode)
}

func writePEM(path, kind string, der []byte, mode os.FileMode) error {
	block := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	if err := os.WriteFile(path, block, mode); err != nil {
		return eris.Wrap(err, "keys: write file")
	}
	return nil
}
