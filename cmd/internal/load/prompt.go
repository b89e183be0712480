package load

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
)

// Prompts generates the prompts of a run. It is safe for concurrent use.
type Prompts struct {
	seed  uint64
	teams []Team

	mu       sync.Mutex
	prefixes map[prefixKey]string
}

type prefixKey struct{ team, rank int }

// NewPrompts returns the prompt generator of a run.
func NewPrompts(seed uint64, teams []Team) *Prompts {
	return &Prompts{seed: seed, teams: teams, prefixes: map[prefixKey]string{}}
}

// Prompt returns the prompt of an arrival. Equal seeds and arrivals give equal
// prompts.
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

// prefix returns the prefix that all prompts of a team with the same rank share.
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

// bytesPerToken is the average length of a token of English text.
const bytesPerToken = 4

// CountTokens estimates the number of tokens of a text, at four bytes per token.
func CountTokens(text string) int {
	return (len(text) + bytesPerToken - 1) / bytesPerToken
}

// truncate truncates a text to a number of tokens. It cuts at a byte offset, which
// is safe because the texts are ASCII.
func truncate(text string, tokens int) string {
	return text[:min(len(text), max(tokens, 0)*bytesPerToken)]
}

// TextKind is the subject of the text of a prompt.
type TextKind string

// The kinds of texts.
const (
	// TextBunker consists of nominations, delivery notes and quality certificates.
	TextBunker TextKind = "bunker"
	// TextTraveller consists of travellers' histories.
	TextTraveller TextKind = "traveller"
)

// instruction returns the first line of all prompts of a kind.
func (k TextKind) instruction() string {
	if k == TextTraveller {
		return "Read the traveller's history and write a short match note with any safety concern."
	}
	return "Read the nomination packet, the delivery notes and the quality certificates, and write a short summary for the duty clerk."
}

// write returns a random text with a number of tokens.
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

// maxEntryLength is the capacity reserved for the longest entry, in bytes.
const maxEntryLength = 512

// pick draws one element of a list.
func pick(rng *rand.Rand, words []string) string {
	return words[rng.IntN(len(words))]
}
