// Package resume signs and checks the tokens by which a caller resumes a
// stream at any daemon. A token holds all that is needed to find the stream
// again, so that daemons keep nothing.
package resume

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/samphirequay/samphirequay/core/id"
)

// MaxTokenBytes bounds an encoded token.
const MaxTokenBytes = 1024

// maxNameBytes bounds each name within a token.
const maxNameBytes = 128

// HashBytes is the length of a request hash.
const HashBytes = sha256.Size

// Token says where a stream stands and to whom it belongs.
type Token struct {
	Team    id.Team    `cbor:"1,keyasint"`
	Service id.Service `cbor:"2,keyasint"`
	// Request is the id that the caller knows.
	Request string `cbor:"3,keyasint"`
	// Attempt is the id that the endpoint knows.
	Attempt id.Request `cbor:"4,keyasint"`
	// Endpoint decodes the answer.
	Endpoint    id.Endpoint    `cbor:"5,keyasint"`
	Incarnation id.Incarnation `cbor:"6,keyasint"`
	// Seq is the last event that the caller has.
	Seq int `cbor:"7,keyasint"`
	// RequestHash binds the prompt and its limits; see HashRequest.
	RequestHash [HashBytes]byte `cbor:"8,keyasint"`
	// TextHash is the hash of the answer's text up to Seq; see TextHasher.
	TextHash [HashBytes]byte `cbor:"10,keyasint"`
	// ExpiresUnix is the wall time of the expiry, in seconds since 1970.
	ExpiresUnix int64 `cbor:"9,keyasint"`
}

// HashRequest hashes what a continuation needs to be the same.
func HashRequest(prompt string, maxTokens int) [HashBytes]byte {
	h := sha256.New()
	h.Write(binary.BigEndian.AppendUint64(nil, uint64(maxTokens)))
	h.Write([]byte(prompt))
	return [HashBytes]byte(h.Sum(nil))
}

// Expired says whether the token is past its time.
func (t *Token) Expired(wall time.Time) bool { return wall.Unix() >= t.ExpiresUnix }

// validate bounds each field.
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

// encoder and decoder are strict, so that one token has one encoding.
var (
	encoder = newEncoder()
	decoder = newDecoder()
)

func newEncoder() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err) // the options are constant: a fault of the build
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
		panic(err) // the options are constant: a fault of the build
	}
	return mode
}
