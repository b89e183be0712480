package poison

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"slices"

	"github.com/samphirequay/samphirequay/core/id"
)

const (
	// MaxPartsPerSuspect bounds the parts that are recorded for one suspect.
	MaxPartsPerSuspect = 64
	// MaxPartsPerRequest bounds the parts of a request that are looked at; those after the
	// first of this number are neither refused nor cleared.
	MaxPartsPerRequest = 1024
	// MaxPartsPerCrash bounds the parts that are recorded for all suspects of one crash.
	MaxPartsPerCrash = 256
	// partScope separates the hashes of parts from those of other things.
	partScope = "part of a prompt"
)

// Part identifies a part of the prompts of one team that several requests share.
//
// Its scope is the team: a team can't have a part of another one refused. The service,
// the route and the model are left out, as they are for fingerprints: the configuration
// chooses them, and what crashes endpoints under one name of a route does so under
// another one.
type Part [8]byte

// NewPart returns the identity of the part that a team calls by the given name.
func NewPart(team id.Team, name string) Part {
	var text []byte
	for _, s := range []string{partScope, string(team), name} {
		text = binary.BigEndian.AppendUint64(text, uint64(len(s)))
		text = append(text, s...)
	}
	sum := sha256.Sum256(text)
	return Part(sum[:len(Part{})])
}

// String returns the part in hex, as operators see it.
func (p Part) String() string { return hex.EncodeToString(p[:]) }

func compareParts(a, b Part) int { return cmp.Compare(string(a[:]), string(b[:])) }

// sortedParts returns the given parts sorted and each once.
func sortedParts(lists ...[]Part) []Part {
	all := slices.Concat(lists...)
	slices.SortFunc(all, compareParts)
	return slices.Compact(all)
}

// recordedParts returns the first MaxPartsPerSuspect of the given parts, sorted and each
// once.
func recordedParts(lists ...[]Part) []Part {
	all := sortedParts(lists...)
	return all[:min(len(all), MaxPartsPerSuspect)]
}

// lookedAt returns the parts of a request up to MaxPartsPerRequest.
func lookedAt(parts []Part) []Part { return parts[:min(len(parts), MaxPartsPerRequest)] }

func holdsPart(parts []Part, p Part) bool {
	_, found := slices.BinarySearchFunc(parts, p, compareParts)
	return found
}
