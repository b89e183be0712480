// Package apikey tells to whom a caller's key belongs. Keys are kept as hashes
// only: what a daemon holds, logs or dumps can't be used to call it.
package apikey

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
)

// Hash is the SHA-256 hash of a key.
type Hash [sha256.Size]byte

// Of hashes a key. It allocates nothing.
func Of(key []byte) Hash { return sha256.Sum256(key) }

// Parse reads a hash written in hex.
func Parse(text string) (Hash, error) {
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != sha256.Size {
		return Hash{}, fmt.Errorf("is not %d hex digits", 2*sha256.Size)
	}
	return Hash(raw), nil
}

// String gives the hash in hex.
func (h Hash) String() string { return hex.EncodeToString(h[:]) }

// Errors of Add.
var (
	// ErrEmpty: an empty key would let in callers that send none.
	ErrEmpty = errors.New("is empty")
	// ErrTaken: the key belongs to another owner.
	ErrTaken = errors.New("belongs to another team already")
)

// empty is the hash of the empty key.
var empty = Of(nil)

// Ring holds the keys of all owners. It is built once and then only read, so
// that any number of readers may share it.
type Ring[T comparable] struct{ owners map[Hash]T }

// NewRing returns a ring without keys.
func NewRing[T comparable]() *Ring[T] { return &Ring[T]{owners: map[Hash]T{}} }

// Add adds a key of an owner; one that it holds already changes nothing.
func (r *Ring[T]) Add(h Hash, owner T) error {
	if h == empty {
		return ErrEmpty
	}
	if before, taken := r.owners[h]; taken && before != owner {
		return ErrTaken
	}
	r.owners[h] = owner
	return nil
}

// Owner returns the owner of a key. The time it takes depends only on the key's
// hash, which a caller can't steer towards a stored one. It allocates nothing.
func (r *Ring[T]) Owner(h Hash) (owner T, ok bool) {
	owner, ok = r.owners[h]
	return owner, ok
}

// Len is how many keys there are.
func (r *Ring[T]) Len() int { return len(r.owners) }
