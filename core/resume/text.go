package resume

import (
	"crypto/sha256"
	"hash"
)

// TextHasher hashes an answer's text piece by piece. The zero value is the
// hash of no text.
type TextHasher struct{ state hash.Hash }

// Add takes the next piece.
func (h *TextHasher) Add(text string) {
	if h.state == nil {
		h.state = sha256.New()
	}
	h.state.Write([]byte(text))
}

// Sum returns the hash of all pieces so far; more may follow.
func (h *TextHasher) Sum() [HashBytes]byte {
	if h.state == nil {
		return sha256.Sum256(nil)
	}
	return [HashBytes]byte(h.state.Sum(nil))
}

// HashText hashes a whole text as a TextHasher does.
func HashText(text string) [HashBytes]byte { return sha256.Sum256([]byte(text)) }
