package load

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
)

// Prompts writes the prompts of a run. It is safe for concurrent use.
type Prompts struct {
	seed  uint64
	teams []Team

	mu       sync.Mutex
	prefixes map[prefixKey]string
}

type prefixKey struct{ team, rank int }

// NewPrompts returns the writer of prompts for a run.
func NewPrompts(seed uint64, teams []Team) *Prompts {
	return &Prompts{seed: seed, teams: teams, prefixes: map[prefixKey]string{}}
}

// Prompt writes the prompt of an arrival. The same seed and arrival give the
// same text.
func (p *Prompts) Prompt(a Arrival) string {
	profile := p.teams[a.Team].Profile
	prefix := p.prefix(a.Team, a.Prefix, profile)
	rest := a.PromptTokens - CountTokens(prefix)
	if rest <= 0 {
		return truncate(prefix, a.PromptTokens)
	}
	rng := rand.New(rand.NewPCG(a.TextSeed, uint64(a.Number)))
	return prefix + profile.Text.write(rng, rest)
}

// prefix returns the text that prompts of a team with one rank share.
func (p *Prompts) prefix(team, rank int, profile Profile) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := prefixKey{team, rank}
	if text, ok := p.prefixes[key]; ok {
		return text
	}
	rng := rand.New(rand.NewPCG(p.seed, uint64(team)<<32|uint64(rank)))
	tokens := int(profile.MeanPromptTokens * profile.PrefixShare)
	head := fmt.Sprintf("%s\nDesk of %s, file %d.\n", profile.Text.instruction(), p.teams[team].Name, rank+1)
	text := head + profile.Text.write(rng, tokens-CountTokens(head))
	p.prefixes[key] = text
	return text
}

// bytesPerToken is the length of an average token of English text.
const bytesPerToken = 4

// CountTokens estimates the tokens of a text at four bytes each.
func CountTokens(text string) int {
	return (len(text) + bytesPerToken - 1) / bytesPerToken
}

// truncate cuts a text to a number of tokens. The texts are ASCII.
func truncate(text string, tokens int) string {
	return text[:min(len(text), max(tokens, 0)*bytesPerToken)]
}

// TextKind is what a prompt is about.
type TextKind string

// The kinds of texts.
const (
	// TextBunker writes nomination packets, delivery notes and certificates.
	TextBunker TextKind = "bunker"
	// TextTraveller writes travellers' histories.
	TextTraveller TextKind = "traveller"
)

// instruction is the fixed head of the prompts of a kind.
func (k TextKind) instruction() string {
	if k == TextTraveller {
		return "Read the traveller's history and write a short match note with any safety concern."
	}
	return "Read the nomination packet, the delivery notes and the quality certificates, and write a short summary for the duty clerk."
}

// write makes a text of so many tokens.
func (k TextKind) write(rng *rand.Rand, tokens int) string {
	var b strings.Builder
	b.Grow(max(tokens, 0)*bytesPerToken + maxEntryLength)
	for b.Len() < tokens*bytesPerToken {
		if k == TextTraveller {
			writeTravellerEntry(&b, rng)
		} else {
			writeBunkerEntry(&b, rng)
		}
	}
	return truncate(b.String(), tokens)
}

// maxSentence is room for the longest entry, in bytes.
const maxEntryLength = 512

// pick draws one word of a list.
func pick(rng *rand.Rand, words []string) string {
	return words[rng.IntN(len(words))]
}
