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
		return nil, eris.Wrap(err, "keys: CA key")
	}
	certificate := pem.EncodeToMemory(&pem.Block{Type: pemTypeCert, Bytes: ca.certificate.Raw})
	key := pem.EncodeToMemory(&pem.Block{Type: pemTypeKey, Bytes: der})
	return append(certificate, key...), nil
}

// LoadCA reads what Marshal gave. Certificates that it issues are valid for a
// year from now.
func LoadCA(encoded []byte, now time.Time) (*DevCA, error) {
	certificateBlock, rest := pem.Decode(encoded)
	keyBlock, _ := pem.Decode(rest)
	if certificateBlock == nil || keyBlock == nil {
		return nil, eris.New("keys: a shared CA holds a certificate and a key")
	}
	certificate, err := x509.ParseCertificate(certificateBlock.Bytes)
	if err != nil {
		return nil, eris.Wrap(err, "keys: shared CA certificate")
	}
	parsed, err := x509.ParsePKCS8PrivateKey(keyBlock.Bytes)
	if err != nil {
		return nil, eris.Wrap(err, "keys: shared CA key")
	}
	key, ok := parsed.(*ecdsa.PrivateKey)
	if !ok {
		return nil, eris.Errorf("keys: shared CA key is a %T", parsed)
	}
	return &DevCA{certificate: certificate, key: key, now: now}, nil
}
