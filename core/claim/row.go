package claim

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"net/url"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/samphirequay/samphirequay/core/id"
)

// RowPrefix is the prefix of the keys of all claim rows.
const RowPrefix = "claim/"

// ObjectPrefix is the prefix of the names of all stored bodies.
const ObjectPrefix = "claim/"

// State is the progress of a claimed call as recorded in the table.
type State uint8

// The states of a row.
const (
	// StateClaimed: the owner may dispatch the call at any moment.
	StateClaimed State = iota + 1
	// StateFinished: the outcome is stored.
	StateFinished
	// StateReleased: the call did not run; the key is free. The row stays, so
	// that a late claim write that expects no row can't take effect.
	StateReleased
)

// Row is the value of a claim row.
type Row struct {
	State         State      `cbor:"1,keyasint"`
	Token         Token      `cbor:"2,keyasint"`
	Owner         id.Process `cbor:"3,keyasint"`
	RequestHash   Hash       `cbor:"4,keyasint"`
	ClaimedUnixMS int64      `cbor:"5,keyasint"`
	ExpiresUnixMS int64      `cbor:"6,keyasint"`
	Outcome       Outcome    `cbor:"7,keyasint"`
}

// RowKey returns the table key: claim/<team>/<service>/<hash>. The hash covers
// the lengths of team, service and key as well, so that their concatenations
// can't collide.
func RowKey(team id.Team, service id.Service, key string) string {
	h := sha256.New()
	for _, part := range []string{string(team), string(service), key} {
		h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part))))
		h.Write([]byte(part))
	}
	sum := hex.EncodeToString(h.Sum(nil))
	return RowPrefix + url.PathEscape(string(team)) + "/" + url.PathEscape(string(service)) + "/" + sum
}

// HashRequest hashes a call, so that a different call with the same key is detected.
func HashRequest(method, path string, body []byte) Hash {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(method), []byte(path), body} {
		h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part))))
		h.Write(part)
	}
	return Hash(h.Sum(nil))
}

// EncodeRow returns the table value of a row.
func EncodeRow(r Row) ([]byte, error) {
	value, err := cbor.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode claim row: %w", err)
	}
	return value, nil
}

// DecodeRow decodes the table value of a row.
func DecodeRow(value []byte) (Row, error) {
	var r Row
	if err := cbor.Unmarshal(value, &r); err != nil {
		return Row{}, fmt.Errorf("decode claim row: %w", err)
	}
	if r.State < StateClaimed || r.State > StateReleased {
		return Row{}, fmt.Errorf("decode claim row: unknown state %d", r.State)
	}
	return r, nil
}

// Expired reports whether the row's retention has ended at the given wall time.
func (r *Row) Expired(wall time.Time) bool { return wall.UnixMilli() >= r.ExpiresUnixMS }
