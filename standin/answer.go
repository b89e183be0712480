package standin

import (
	"encoding/binary"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// CrashMarker, contained in a prompt, crashes each engine that runs the prompt.
const CrashMarker = "[[crash]]"

// AnswerToken returns the output token at position seq, counted from 1, of the
// answer to a prompt.
func AnswerToken(prompt string, seq int) string {
	return answerToken(xxhash.Sum64String(prompt), seq)
}

// Answer returns the whole answer to a prompt with maxTokens output tokens.
func Answer(prompt string, maxTokens int) string {
	var b strings.Builder
	seed := xxhash.Sum64String(prompt)
	for seq := 1; seq <= maxTokens; seq++ {
		b.WriteString(answerToken(seed, seq))
	}
	return b.String()
}

// answerToken derives a token from the hash of the prompt (seed) and the position
// of the token in the answer (seq).
func answerToken(seed uint64, seq int) string {
	var raw [16]byte
	binary.LittleEndian.PutUint64(raw[:8], seed)
	binary.LittleEndian.PutUint64(raw[8:], uint64(seq))
	return fmt.Sprintf("%06x ", xxhash.Sum64(raw[:])&0xffffff)
}
