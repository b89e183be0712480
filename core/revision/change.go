// Package revision keeps the live configuration as one sequence of accepted
// changes. A Proposer commits one change to the platform's table atomically. A
// Follower keeps a daemon at the newest accepted revision known to it and never
// reverts to an older one.
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

// MaxOps is the maximum number of ops in one change.
const MaxOps = 1024

// Op is one step of a change: it puts or deletes an item, or sets an item's labels.
type Op struct {
	// Action is ActionPut, ActionDelete or ActionLabel.
	Action string    `json:"action" cbor:"1,keyasint"`
	Kind   live.Kind `json:"kind" cbor:"2,keyasint"`
	Name   string    `json:"name" cbor:"3,keyasint"`
	// Item is the whole item for ActionPut, in the JSON of package live.
	Item json.RawMessage `json:"item,omitempty" cbor:"4,keyasint,omitempty"`
	// Labels are the labels to set for ActionLabel; an empty value removes the label.
	Labels live.Labels `json:"labels,omitempty" cbor:"5,keyasint,omitempty"`
}

// Change is an operator's change to the configuration; it is applied atomically.
type Change struct {
	// ID is chosen by the operator's client, so that the client can look up the
	// outcome after a lost reply.
	ID string `json:"id" cbor:"1,keyasint"`
	// Author is recorded in the history.
	Author string `json:"author,omitempty" cbor:"2,keyasint,omitempty"`
	// Expect is the revision the change was made against; 0 accepts any.
	Expect uint64 `json:"expect,omitempty" cbor:"3,keyasint,omitempty"`
	// At is the wall-clock time of the proposal. It is informational: no
	// decision depends on it.
	At time.Time `json:"at" cbor:"4,keyasint"`
	// Ops are applied in order.
	Ops []Op `json:"ops" cbor:"5,keyasint"`
}

// Record is one accepted change at its revision.
type Record struct {
	Revision uint64 `json:"revision" cbor:"1,keyasint"`
	Change   Change `json:"change" cbor:"2,keyasint"`
	// Chain is the hash over this record and all earlier ones.
	Chain string `json:"chain" cbor:"3,keyasint"`
}

// Head is the value of the row that holds the newest revision.
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

// ChangeRow records the outcome of a change. A proposer reads it to resolve a
// lost reply.
type ChangeRow struct {
	// Revision at which the change was accepted; 0 if it was withdrawn.
	Revision uint64 `json:"revision"`
	// Digest of the change's content; see Digest.
	Digest string `json:"digest"`
}

// Keys of the table.
const (
	KeyHead = "config/head"
	// keyGuard is never written; transactions that only check whether the head
	// is unchanged delete it.
	keyGuard       = "config/guard"
	prefixRevision = "config/rev/"
	prefixChange   = "config/change/"
	prefixSnapshot = "config/snapshot/"
)

// KeyRevision returns the key of the record of a revision.
func KeyRevision(rev uint64) string { return fmt.Sprintf("%s%020d", prefixRevision, rev) }

// KeyChange returns the key of the ChangeRow of a change.
func KeyChange(id string) string { return prefixChange + id }

// KeySnapshot returns the key of the snapshot at a revision.
func KeySnapshot(rev uint64) string { return fmt.Sprintf("%s%020d", prefixSnapshot, rev) }

// Digest returns a hash of a change's content. It excludes the time of the
// proposal, so that a client may send the same change again.
func Digest(c Change) string { return hash("", c) }

// NextChain returns the chain hash after a change is accepted.
func NextChain(chain string, c Change) string { return hash(chain, c) }

// hash covers chain and the change without its time, which codecs round
// differently.
func hash(chain string, c Change) string {
	c.At = time.Time{}
	sum := sha256.New()
	sum.Write([]byte(chain))
	sum.Write(encode(c))
	return hex.EncodeToString(sum.Sum(nil)[:16])
}

// encode returns the JSON of a value of this package's types; encoding those can't
// fail.
func encode(v any) []byte {
	raw, err := json.Marshal(v)
	if err != nil {
		return []byte(fmt.Sprintf("%q", err.Error()))
	}
	return raw
}
