package experiment

import (
	"math"
	"time"

	"github.com/samphirequay/samphirequay/cmd/internal/load"
	"github.com/samphirequay/samphirequay/standin"
)

// Bound is what a site can do for a profile, worked out from the stand-ins'
// constants. It takes prompts of the mean length and engines that are never
// idle, so a policy comes near it at best; on a short run the draw of the
// prompts can move it by some percent either way.
type Bound struct {
	// Prefill is the most completions a second that the prefill engines can
	// read, if every shared prefix were found in a cache.
	Prefill float64 `json:"prefill_per_second"`
	// Decode is the most that the decode engines can write with all slots busy.
	Decode float64 `json:"decode_per_second"`
	// Capacity is the lesser of both.
	Capacity float64 `json:"capacity_per_second"`
	// InTime is the share of completions whose prefill and transfer, with no
	// wait and no cache, end within the first-token target.
	InTime float64 `json:"in_time_share"`
}

// BoundOf works out the bound of a site.
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

// longestInTime is the longest prompt, in tokens, whose prefill, transfer and
// first output take no longer than the target.
func longestInTime(site standin.PlatformConfig, firstToken time.Duration) float64 {
	e := site.Engines[0]
	perToken := 1/e.PrefillTokensPerSecond + float64(standin.DefaultKVBytesPerToken)/standin.DefaultRateWithin
	return (firstToken.Seconds() - e.DecodeTokenMS/1000) / perToken
}

// Goodput is the completions a second that can meet both targets at a rate of
// arrival.
func (b Bound) Goodput(rate float64) float64 {
	return math.Min(rate*b.InTime, b.Capacity)
}
