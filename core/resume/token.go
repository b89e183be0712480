// Package resume signs and verifies the tokens with which a caller resumes a
// stream at any daemon. A token contains all data needed to find the stream again,
// so that daemons store no state for it.
package resume

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/samphirequay/samphirequay/core/id"
)

// MaxTokenBytes is the maximum length of an encoded token.
const MaxTokenBytes = 1024

// maxNameBytes is the maximum length of each name in a token.
const maxNameBytes = 128

// HashBytes is the length of a request hash or text hash.
const HashBytes = sha256.Size

// Token is the position of a stream and its owner.
type Token struct {
	Team    id.Team    `cbor:"1,keyasint"`
	Service id.Service `cbor:"2,keyasint"`
	// Request is the request id given to the caller.
	Request string `cbor:"3,keyasint"`
	// Attempt is the request id given to the endpoint.
	Attempt id.Request `cbor:"4,keyasint"`
	// Endpoint is the endpoint that decodes the answer.
	Endpoint    id.Endpoint    `cbor:"5,keyasint"`
	Incarnation id.Incarnation `cbor:"6,keyasint"`
	// Seq is the number of the last event that the caller received.
	Seq int `cbor:"7,keyasint"`
	// RequestHash binds the token to the prompt and its limit; see HashRequest.
	RequestHash [HashBytes]byte `cbor:"8,keyasint"`
	// TextHash is the hash of the answer's text up to Seq; see TextHasher.
	TextHash [HashBytes]byte `cbor:"10,keyasint"`
	// ExpiresUnix is the wall time of the expiry, in seconds since the Unix epoch.
	ExpiresUnix int64 `cbor:"9,keyasint"`
}

// HashRequest hashes the parts of a request that must not change when it resumes.
func HashRequest(prompt string, maxTokens int) [HashBytes]byte {
	h := sha256.New()
	h.Write(binary.BigEndian.AppendUint64(nil, uint64(maxTokens)))
	h.Write([]byte(prompt))
	return [HashBytes]byte(h.Sum(nil))
}

// Expired reports whether the token has expired.
func (t *Token) Expired(wall time.Time) bool { return wall.Unix() >= t.ExpiresUnix }

// validate checks the bounds of the fields.
func (t *Token) validate() error {
	names := []struct{ field, value string }{
		{"team", string(t.Team)},
		{"service", string(t.Service)},
		{"request", t.Request},
		{"attempt", string(t.Attempt)},
		{"endpoint", string(t.Endpoint)},
	}
	for _, n := range names {
		if n.value == "" || len(n.value) > maxNameBytes {
			return fmt.Errorf("%s has %d bytes, want 1 to %d", n.field, len(n.value), maxNameBytes)
		}
	}
	if t.Seq < 0 {
		return fmt.Errorf("seq is %d", t.Seq)
	}
	return nil
}

// encoder and decoder are strict, so that each token has exactly one encoding.
var (
	encoder = newEncoder()
	decoder = newDecoder()
)

func newEncoder() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err) // the options are constant, so this is a programming error
	}
	return mode
}

func newDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		IndefLength:       cbor.IndefLengthForbidden,
		TagsMd:            cbor.TagsForbidden,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
		MaxNestedLevels:   4,
		MaxArrayElements:  64,
		MaxMapPairs:       16,
	}.DecMode()
	if err != nil {
		panic(err) // the options are constant, so this is a programming error
	}
	return mode
}
