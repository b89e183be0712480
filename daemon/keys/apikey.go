package keys

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"

	"github.com/samphirequay/samphirequay/core/live"
)

// Hash returns the SHA-256 of an API key, in lower-case hex, as the live
// configuration and the settings hold it.
func Hash(apiKey string) string { return live.HashKey(apiKey) }

// ValidHash reports whether text is a SHA-256 hash in hex.
func ValidHash(text string) bool {
	raw, err := hex.DecodeString(text)
	return err == nil && len(raw) == sha256.Size
}

// Equal compares two hashes in a time that does not depend on their contents.
func Equal(a, b string) bool {
	return subtle.ConstantTimeCompare([]byte(a), []byte(b)) == 1
}

// Matches reports whether the API key's hash is in the list. It always compares
// the whole list, so that the time taken does not depend on the result.
func Matches(apiKey string, hashes []string) bool {
	hash := Hash(apiKey)
	found := 0
	for _, h := range hashes {
		found |= subtle.ConstantTimeCompare([]byte(hash), []byte(h))
	}
	return found == 1
}
