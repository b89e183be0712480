// Package apikey looks up the owner of a caller's API key. Only hashes of keys are
// kept, so a daemon's memory, logs and dumps contain nothing that authenticates a
// call.
package apikey

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
)

// Hash is the SHA-256 hash of a key.
type Hash [sha256.Size]byte

// Of returns the hash of a key. It does not allocate.
func Of(key []byte) Hash { return sha256.Sum256(key) }

// Parse parses a hash in hex.
func Parse(text string) (Hash, error) {
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != sha256.Size {
		return Hash{}, fmt.Errorf("is not %d hex digits", 2*sha256.Size)
	}
	return Hash(raw), nil
}

// String returns the hash in hex.
func (h Hash) String() string { return hex.EncodeToString(h[:]) }

// Errors of Add.
var (
	// ErrEmpty rejects the empty key, which would admit callers that send no key.
	ErrEmpty = errors.New("is empty")
	// ErrTaken is returned for a key that belongs to another owner.
	ErrTaken = errors.New("belongs to another team already")
)

// empty is the hash of the empty key.
var empty = Of(nil)

// Ring holds the keys of all owners. Concurrent calls of Owner and Len are safe once
// all keys are added.
type Ring[T comparable] struct{ owners map[Hash]T }

// NewRing returns an empty ring.
func NewRing[T comparable]() *Ring[T] { return &Ring[T]{owners: map[Hash]T{}} }

// Add adds a key of an owner. Adding a key again for the same owner has no effect.
func (r *Ring[T]) Add(h Hash, owner T) error {
	if h == empty {
		return ErrEmpty
	}
	if current, taken := r.owners[h]; taken && current != owner {
		return ErrTaken
	}
	r.owners[h] = owner
	return nil
}

// Owner returns the owner of a key. Its timing depends only on the hash, which a
// caller can't direct towards a stored hash, so it reveals nothing about stored
// keys. It does not allocate.
func (r *Ring[T]) Owner(h Hash) (owner T, ok bool) {
	owner, ok = r.owners[h]
	return owner, ok
}

// Len returns the number of keys.
func (r *Ring[T]) Len() int { return len(r.owners) }
