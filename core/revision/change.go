// Package revision keeps the live configuration as one sequence of accepted
// changes. A Proposer gets one change accepted in the platform's table, wholly
// or not at all; a Follower keeps a daemon at the newest accepted revision it
// has heard of, and never goes back.
package revision

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"github.com/samphirequay/samphirequay/core/live"
)

// Actions of an Op.
const (
	ActionPut    = "put"
	ActionDelete = "delete"
	ActionLabel  = "label"
)

// MaxOps bounds the steps of one change.
const MaxOps = 1024

// Op is one step of a change: put or delete an item, or set labels on one.
type Op struct {
	// Action is ActionPut, ActionDelete or ActionLabel.
	Action string    `json:"action" cbor:"1,keyasint"`
	Kind   live.Kind `json:"kind" cbor:"2,keyasint"`
	Name   string    `json:"name" cbor:"3,keyasint"`
	// Item is the whole item for ActionPut, in the JSON of package live.
	Item json.RawMessage `json:"item,omitempty" cbor:"4,keyasint,omitempty"`
	// Labels to set for ActionLabel; an empty value removes the label.
	Labels live.Labels `json:"labels,omitempty" cbor:"5,keyasint,omitempty"`
}

// Change is what an operator asks for, wholly or not at all.
type Change struct {
	// ID is chosen by the operator's client, so that a lost reply can be resolved.
	ID string `json:"id" cbor:"1,keyasint"`
	// Author is for the history.
	Author string `json:"author,omitempty" cbor:"2,keyasint,omitempty"`
	// Expect is the revision the change was made against; 0 accepts any.
	Expect uint64 `json:"expect,omitempty" cbor:"3,keyasint,omitempty"`
	// At is the wall time of the proposal, for people only: no decision
	// depends on it.
	At time.Time `json:"at" cbor:"4,keyasint"`
	// Ops in their order.
	Ops []Op `json:"ops" cbor:"5,keyasint"`
}

// Record is one accepted change at its revision.
type Record struct {
	Revision uint64 `json:"revision" cbor:"1,keyasint"`
	Change   Change `json:"change" cbor:"2,keyasint"`
	// Chain is the hash over this and all earlier records.
	Chain string `json:"chain" cbor:"3,keyasint"`
}

// Head is the row that names the newest revision.
type Head struct {
	Revision uint64 `json:"revision"`
	ChangeID string `json:"change_id"`
	Chain    string `json:"chain"`
	// Snapshot is the newest revision that has a snapshot row; 0 for none.
	Snapshot uint64 `json:"snapshot,omitempty"`
}

// Snapshot is the whole configuration at one revision.
type Snapshot struct {
	Document live.Document `json:"document" cbor:"1,keyasint"`
	Chain    string        `json:"chain" cbor:"2,keyasint"`
}

// ChangeRow tells what became of a change; it is the row that resolves lost
// replies.
type ChangeRow struct {
	// Revision at which it was accepted; 0 when it was withdrawn.
	Revision uint64 `json:"revision"`
	// Digest of the change's content.
	Digest string `json:"digest"`
}

// Keys of the table.
const (
	KeyHead = "config/head"
	// keyGuard is deleted, and never written, by transactions that only ask
	// whether the head is still the same.
	keyGuard       = "config/guard"
	prefixRevision = "config/rev/"
	prefixChange   = "config/change/"
	prefixSnapshot = "config/snapshot/"
)

// KeyRevision is the key of the record of a revision.
func KeyRevision(rev uint64) string { return fmt.Sprintf("%s%020d", prefixRevision, rev) }

// KeyChange is the key of the row of a change.
func KeyChange(id string) string { return prefixChange + id }

// KeySnapshot is the key of the snapshot at a revision.
func KeySnapshot(rev uint64) string { return fmt.Sprintf("%s%020d", prefixSnapshot, rev) }

// Digest identifies a change's content; the time of the proposal is no part
// of it, so that a client may send the same change again.
func Digest(c Change) string { return hash("", c) }

// NextChain returns the chain after a change was accepted.
func NextChain(chain string, c Change) string { return hash(chain, c) }

// hash covers the change but for its time, which codecs round differently.
func hash(chain string, c Change) string {
	c.At = time.Time{}
	sum := sha256.New()
	sum.Write([]byte(chain))
	sum.Write(encode(c))
	return hex.EncodeToString(sum.Sum(nil)[:16])
}

// encode gives the JSON of a value made of this package's types, which can't fail.
func encode(v any) []byte {
	raw, err := json.Marshal(v)
	if err != nil {
		return []byte(fmt.Sprintf("%q", err.Error()))
	}
	return raw
}
