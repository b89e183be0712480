package poison

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"

	"github.com/samphirequay/samphirequay/core/id"
)

// Fingerprint identifies a request by team and content, independent of its ID.
type Fingerprint [16]byte

// NewFingerprint returns the fingerprint of a request. The boundaries between the
// parts of the content matter: "ab" and "c" differ from "a" and "bc".
func NewFingerprint(team id.Team, service id.Service, content ...[]byte) Fingerprint {
	h := sha256.New()
	write := func(part []byte) {
		h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part))))
		h.Write(part)
	}
	write([]byte(team))
	write([]byte(service))
	for _, part := range content {
		write(part)
	}
	return Fingerprint(h.Sum(nil)[:len(Fingerprint{})])
}

// String returns the fingerprint in hex, as operators see it.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// ParseFingerprint parses the result of String.
func ParseFingerprint(s string) (Fingerprint, error) {
	raw, err := hex.DecodeString(s)
	if err != nil || len(raw) != len(Fingerprint{}) {
		return Fingerprint{}, fmt.Errorf("fingerprint %q is not %d hex digits", s, 2*len(Fingerprint{}))
	}
	return Fingerprint(raw), nil
}

func compareFingerprints(a, b Fingerprint) int {
	return cmp.Compare(string(a[:]), string(b[:]))
}
