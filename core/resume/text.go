package resume

import (
	"crypto/sha256"
	"hash"
)

// TextHasher hashes an answer's text incrementally. The zero value is ready to use.
type TextHasher struct{ state hash.Hash }

// Add hashes the next piece of the text.
func (h *TextHasher) Add(text string) {
	if h.state == nil {
		h.state = sha256.New()
	}
	h.state.Write([]byte(text))
}

// Sum returns the hash of all pieces added so far; more may be added.
func (h *TextHasher) Sum() [HashBytes]byte {
	if h.state == nil {
		return sha256.Sum256(nil)
	}
	return [HashBytes]byte(h.state.Sum(nil))
}

// HashText returns the hash that a TextHasher computes for the whole text.
func HashText(text string) [HashBytes]byte { return sha256.Sum256([]byte(text)) }
