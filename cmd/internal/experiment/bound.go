package experiment

import (
	"math"
	"time"

	"github.com/samphirequay/samphirequay/cmd/internal/load"
	"github.com/samphirequay/samphirequay/standin"
)

// Bound is an upper bound on the throughput of a site for a profile, calculated
// from the stand-ins' constants. It assumes prompts of the mean length and
// engines that are never idle, so a policy can at best come close to it. On a
// short run the random prompt lengths can shift the real limit by a few percent
// in either direction.
type Bound struct {
	// Prefill is the maximum rate of the prefill engines, in completions per
	// second, if every shared prefix is found in a cache.
	Prefill float64 `json:"prefill_per_second"`
	// Decode is the maximum rate of the decode engines, in completions per
	// second, with all slots busy.
	Decode float64 `json:"decode_per_second"`
	// Capacity is the lower of Prefill and Decode.
	Capacity float64 `json:"capacity_per_second"`
	// InTime is the share of completions whose prefill, transfer and first
	// output token, without waiting and without a cache, end within the
	// first-token target.
	InTime float64 `json:"in_time_share"`
}

// BoundOf calculates the bound of a site for a profile and a first-token target.
func BoundOf(site standin.PlatformConfig, profile load.Profile, firstToken time.Duration) Bound {
	var b Bound
	var prefillRate, slots, pace float64
	for _, e := range site.Engines {
		if e.Role == standin.RoleDecode {
			slots += float64(e.Slots)
			pace = e.DecodeTokenMS / 1000 * (1 + standin.DefaultBatchSlowdown*float64(e.Slots-1))
			continue
		}
		prefillRate += e.PrefillTokensPerSecond
	}
	kvBytes := float64(standin.DefaultKVBytesPerToken)
	transfer := profile.MeanPromptTokens * kvBytes / standin.DefaultRateWithin
	b.Prefill = prefillRate / (profile.MeanPromptTokens * (1 - profile.PrefixShare))
	b.Decode = slots / (float64(profile.OutputTokens)*pace + transfer)
	b.Capacity = math.Min(b.Prefill, b.Decode)
	b.InTime = profile.ShareUpTo(longestInTime(site, firstToken))
	return b
}

// longestInTime returns the length, in tokens, of the longest prompt whose
// prefill, transfer and first output token take no longer than the target.
func longestInTime(site standin.PlatformConfig, firstToken time.Duration) float64 {
	e := site.Engines[0]
	perToken := 1/e.PrefillTokensPerSecond + float64(standin.DefaultKVBytesPerToken)/standin.DefaultRateWithin
	return (firstToken.Seconds() - e.DecodeTokenMS/1000) / perToken
}

// Goodput returns the maximum number of completions per second that can meet
// both targets at an arrival rate, in completions per second.
func (b Bound) Goodput(rate float64) float64 {
	return math.Min(rate*b.InTime, b.Capacity)
}
