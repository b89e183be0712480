// Package prefixhash identifies the leading blocks of a prompt by chained hashes,
// salted by team. Engines publish these hashes in their cache events and the
// scheduler looks them up, so both must compute the same hashes.
package prefixhash

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	// BlockBytes is the size of a block, in bytes of prompt.
	BlockBytes = 256
	// MaxBlocks bounds the number of leading blocks that are hashed.
	MaxBlocks = 64
	// BytesPerToken is the estimated length of a token, in bytes.
	BytesPerToken = 4
	// BlockTokens is the estimated length of a block, in tokens.
	BlockTokens = BlockBytes / BytesPerToken
)

// Blocks returns the chained hashes of the prompt's leading complete blocks, at
// most MaxBlocks. Hash i depends on the salt and on all bytes up to the end of
// block i. A trailing partial block has no hash.
func Blocks(salt, prompt string) []uint64 {
	count := min(len(prompt)/BlockBytes, MaxBlocks)
	hashes := make([]uint64, 0, count)
	previous := xxhash.Sum64String(salt)
	for i := range count {
		previous = chain(previous, prompt[i*BlockBytes:(i+1)*BlockBytes])
		hashes = append(hashes, previous)
	}
	return hashes
}

// chain returns the hash of a block and of the hash of all blocks before it.
func chain(previous uint64, block string) uint64 {
	var digest xxhash.Digest
	digest.ResetWithSeed(previous)
	var head [8]byte
	binary.LittleEndian.PutUint64(head[:], previous)
	_, _ = digest.Write(head[:])
	_, _ = digest.WriteString(block)
	return digest.Sum64()
}

// EstimateTokens returns the estimated length of a prompt, in tokens, rounded up.
func EstimateTokens(prompt string) int {
	return (len(prompt) + BytesPerToken - 1) / BytesPerToken
}
