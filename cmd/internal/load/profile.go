package load

import (
	"math"
	"math/rand/v2"

	"github.com/rotisserie/eris"
)

// Profile describes the requests of one deployment.
type Profile struct {
	// Name identifies the profile.
	Name string
	// Model is the model service of the completions.
	Model string
	// Plain is the plain service of the plain calls; empty for none.
	Plain string
	// PlainPath is the path of the plain calls within their service.
	PlainPath string
	// MeanPromptTokens is the mean of the lognormal prompt length.
	MeanPromptTokens float64
	// PromptSigma is the standard deviation of the logarithm of the prompt length.
	PromptSigma float64
	// MaxPromptTokens bounds the prompt length. Default 24000.
	MaxPromptTokens int
	// OutputTokens is the max_tokens of a completion.
	OutputTokens int
	// PlainShare is the share of arrivals that call the plain service, 0 to 1.
	PlainShare float64
	// NonIdempotentShare is the share of plain calls with an idempotency key, 0 to 1.
	NonIdempotentShare float64
	// Prefixes is the number of shared prefixes of a team.
	Prefixes int
	// PrefixSkew is the Zipf exponent of the choice of prefixes, above 1.
	PrefixSkew float64
	// PrefixShare is the length of a shared prefix as a share of the mean prompt
	// length, 0 to 1.
	PrefixShare float64
	// Text is the kind of text of the prompts.
	Text TextKind
}

// The names of the profiles.
const (
	ProfileBunker     = "bunker"
	ProfileCompaneros = "companeros"
)

// Bounds of the prompt length, in tokens.
const (
	minPromptTokens        = 40
	defaultMaxPromptTokens = 24000
)

// Bunker returns the profile of the order desk: long nomination packets and short
// summaries.
func Bunker() Profile {
	return Profile{
		Name: ProfileBunker, Model: "document-summariser",
		Plain: "order-desk", PlainPath: "stems/confirm",
		MeanPromptTokens: 2500, PromptSigma: 0.6, OutputTokens: 30,
		PlainShare: 0.2, NonIdempotentShare: 0.5,
		Prefixes: 16, PrefixSkew: 1.2, PrefixShare: 0.3,
		Text: TextBunker,
	}
}

// Companeros returns the profile of the matching service: longer histories and
// shorter notes.
func Companeros() Profile {
	return Profile{
		Name: ProfileCompaneros, Model: "matching-model",
		Plain: "mobile-endpoint", PlainPath: "seats/hold",
		MeanPromptTokens: 3500, PromptSigma: 0.6, OutputTokens: 24,
		PlainShare: 0.2, NonIdempotentShare: 0.5,
		Prefixes: 24, PrefixSkew: 1.2, PrefixShare: 0.3,
		Text: TextTraveller,
	}
}

// ProfileByName returns the profile with a name.
func ProfileByName(name string) (Profile, error) {
	switch name {
	case ProfileBunker:
		return Bunker(), nil
	case ProfileCompaneros:
		return Companeros(), nil
	default:
		return Profile{}, eris.Errorf("unknown profile %q: known are %s and %s", name, ProfileBunker, ProfileCompaneros)
	}
}

func (p Profile) validate() error {
	if p.Model == "" && p.PlainShare < 1 {
		return eris.Errorf("profile %q: no model", p.Name)
	}
	if p.Plain == "" && p.PlainShare > 0 {
		return eris.Errorf("profile %q: plain share %v without a plain service", p.Name, p.PlainShare)
	}
	if p.PrefixSkew != 0 && p.PrefixSkew <= 1 {
		return eris.Errorf("profile %q: prefix skew %v: must be above 1", p.Name, p.PrefixSkew)
	}
	return nil
}

// promptTokens draws the length of a prompt in tokens from the lognormal
// distribution, clamped to its bounds.
func (p Profile) promptTokens(rng *rand.Rand) int {
	n := int(math.Exp(p.logMean() + p.PromptSigma*rng.NormFloat64()))
	return min(max(n, minPromptTokens), p.maxPromptTokens())
}

// logMean returns the mean of the logarithm of the prompt length.
func (p Profile) logMean() float64 {
	return math.Log(p.MeanPromptTokens) - p.PromptSigma*p.PromptSigma/2
}

func (p Profile) maxPromptTokens() int {
	if p.MaxPromptTokens > 0 {
		return p.MaxPromptTokens
	}
	return defaultMaxPromptTokens
}

// ShareUpTo returns the share of prompts with at most the given number of tokens,
// 0 to 1.
func (p Profile) ShareUpTo(tokens float64) float64 {
	if tokens >= float64(p.maxPromptTokens()) {
		return 1
	}
	z := (math.Log(tokens) - p.logMean()) / p.PromptSigma
	return math.Erfc(-z/math.Sqrt2) / 2
}

// prefixRank draws the rank of the shared prefix with which a prompt begins.
func (p Profile) prefixRank(rng *rand.Rand) int {
	if p.Prefixes <= 1 || p.PrefixSkew <= 1 {
		return 0
	}
	zipf := rand.NewZipf(rng, p.PrefixSkew, 1, uint64(p.Prefixes-1))
	return int(zipf.Uint64())
}
