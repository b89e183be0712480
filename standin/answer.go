package standin

import (
	"encoding/binary"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// CrashMarker in a prompt crashes each engine that runs it.
const CrashMarker = "[[crash]]"

// AnswerToken returns token seq, from 1, of the answer to a prompt.
func AnswerToken(prompt string, seq int) string {
	return answerToken(xxhash.Sum64String(prompt), seq)
}

// Answer returns the whole answer to a prompt.
func Answer(prompt string, maxTokens int) string {
	var b strings.Builder
	seed := xxhash.Sum64String(prompt)
	for seq := 1; seq <= maxTokens; seq++ {
		b.WriteString(answerToken(seed, seq))
	}
	return b.String()
}

// answerToken derives a token from the hash of the prompt and its place.
func answerToken(seed uint64, seq int) string {
	var raw [16]byte
	binary.LittleEndian.PutUint64(raw[:8], seed)
	binary.LittleEndian.PutUint64(raw[8:], uint64(seq))
	return fmt.Sprintf("%06x ", xxhash.Sum64(raw[:])&0xffffff)
}
