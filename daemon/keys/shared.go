package keys

import (
	"crypto/ecdsa"
	"crypto/x509"
	"encoding/pem"
	"time"

	"github.com/rotisserie/eris"
)

// Marshal encodes the CA with its private key as PEM, so that the daemons of a
// fleet can share it through a store that only they can read.
func (ca *DevCA) Marshal() ([]byte, error) {
	der, err := x509.MarshalPKCS8PrivateKey(ca.key)
	if err != nil {
		return nil, eris.Wrap(err, "keys: encode CA key")
	}
	certificate := pem.EncodeToMemory(&pem.Block{Type: pemTypeCert, Bytes: ca.certificate.Raw})
	key := pem.EncodeToMemory(&pem.Block{Type: pemTypeKey, Bytes: der})
	return append(certificate, key...), nil
}

// LoadCA decodes a CA that Marshal encoded. Certificates that the CA issues are
// valid for a year from now.
func LoadCA(encoded []byte, now time.Time) (*DevCA, error) {
	certificateBlock, rest := pem.Decode(encoded)
	keyBlock, _ := pem.Decode(rest)
	if certificateBlock == nil || keyBlock == nil {
		return nil, eris.New("keys: the shared CA is not a PEM certificate followed by a PEM key")
	}
	certificate, err := x509.ParseCertificate(certificateBlock.Bytes)
	if err != nil {
		return nil, eris.Wrap(err, "keys: parse shared CA certificate")
	}
	parsed, err := x509.ParsePKCS8PrivateKey(keyBlock.Bytes)
	if err != nil {
		return nil, eris.Wrap(err, "keys: parse shared CA key")
	}
	key, ok := parsed.(*ecdsa.PrivateKey)
	if !ok {
		return nil, eris.Errorf("keys: shared CA key has type %T, want an ECDSA key", parsed)
	}
	return &DevCA{certificate: certificate, key: key, now: now}, nil
}
