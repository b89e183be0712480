package sched

import (
	"fmt"
	"time"

	"github.com/samphirequay/samphirequay/core/live"
)

// poolEstimate is what is learned about the pool as a whole; admission uses it
// before an endpoint is chosen.
type poolEstimate struct {
	// rate is the mean prefill rate in tokens a second, token the mean time of
	// an output token and transfer that of a KV cache, in seconds.
	rate     average
	token    average
	transfer average
	prefills int
	decodes  int
}

// newPoolEstimate starts from the defaults of the configuration.
func newPoolEstimate() poolEstimate {
	return poolEstimate{
		rate:  newAverage(live.DefaultPrefillPerSecond),
		token: newAverage(live.DefaultDecodeTokenMS / 1000),
	}
}

// start takes an endpoint's configured estimates into the means.
func (p *poolEstimate) start(role live.Role, rate, token float64) {
	if role == live.RolePrefill {
		p.prefills++
		p.rate.mean += (rate - p.rate.mean) / float64(p.prefills)
		return
	}
	p.decodes++
	p.token.mean += (token - p.token.mean) / float64(p.decodes)
}

// prefillTime predicts the prefill of some tokens.
func (p *poolEstimate) prefillTime(tokens int) time.Duration {
	return seconds(float64(max(1, tokens)) / p.rate.mean)
}

// cost predicts what a request takes.
func (p *poolEstimate) cost(s *service, w *Want, cachedTokens int) cost {
	decode := s.estimate.outputTokens(w) * p.token.mean
	if s.plain {
		return cost{slot: s.estimate.callSeconds.mean}
	}
	prefill := p.prefillTime(w.PromptTokens - cachedTokens).Seconds()
	return cost{prefill: prefill, slot: prefill + p.transfer.mean + decode}
}

// parts tells what a prediction of the first token is made of, and what each
// part rests on, for those who ask why a request was refused.
func (p *poolEstimate) parts(now time.Duration) string {
	return fmt.Sprintf("prefill %.0f tokens/s (%s), transfer %.1f ms (%s), token %.1f ms (%s)",
		p.rate.mean, p.rate.origin(now), 1000*p.transfer.mean, p.transfer.origin(now), 1000*p.token.mean, p.token.origin(now))
}

// firstToken predicts the time from a start to the first output.
func (p *poolEstimate) firstToken(s *service, c cost) time.Duration {
	if s.plain {
		return 0
	}
	return seconds(c.prefill + p.transfer.mean + p.token.mean)
}
