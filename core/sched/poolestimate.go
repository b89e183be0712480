package sched

import (
	"fmt"
	"math"
	"time"

	"github.com/samphirequay/samphirequay/core/live"
)

// poolEstimate holds the estimates for the pool as a whole; admission uses them
// before an endpoint is chosen.
type poolEstimate struct {
	// rate is the mean prefill rate in tokens a second. token is the mean time of
	// an output token and transfer the mean transfer time of a KV cache, both in
	// seconds.
	rate     average
	token    average
	transfer average
	prefills int
	decodes  int
	// bestRate and bestToken are the best values so far, configured or measured
	// as a mean. They bound what the pool can achieve, even while it is slow.
	bestRate  float64
	bestToken float64
}

// newPoolEstimate returns estimates with the defaults of the configuration.
func newPoolEstimate() poolEstimate {
	return poolEstimate{
		rate:  newAverage(live.DefaultPrefillPerSecond),
		token: newAverage(live.DefaultDecodeTokenMS / 1000),

		bestToken: math.Inf(1),
	}
}

// addConfigured adds an endpoint's configured estimates to the means.
func (p *poolEstimate) addConfigured(role live.Role, rate, token float64) {
	if role == live.RolePrefill {
		p.prefills++
		p.rate.addInitial(rate, p.prefills)
		p.bestRate = max(p.bestRate, rate)
		return
	}
	p.decodes++
	p.token.addInitial(token, p.decodes)
	p.bestToken = min(p.bestToken, token)
}

// learnRate adds the measured rate of a prefill, in tokens a second.
func (p *poolEstimate) learnRate(now time.Duration, rate float64) {
	p.rate.add(now, rate)
	p.bestRate = max(p.bestRate, p.rate.mean)
}

// learnToken adds the measured time of an output token, in seconds.
func (p *poolEstimate) learnToken(now time.Duration, token float64) {
	p.token.add(now, token)
	p.bestToken = min(p.bestToken, p.token.mean)
}

// decay moves the means without recent samples towards the configured values.
func (p *poolEstimate) decay(now, passed time.Duration) {
	p.rate.decay(now, passed)
	p.token.decay(now, passed)
	p.transfer.decay(now, passed)
}

// prefillTime predicts the duration of a prefill.
func (p *poolEstimate) prefillTime(tokens int) time.Duration {
	return seconds(float64(max(1, tokens)) / p.rate.mean)
}

// cost predicts the cost of a request.
func (p *poolEstimate) cost(s *service, w *Want, cachedTokens int) cost {
	decode := s.estimate.outputTokens(w) * p.token.mean
	if s.plain {
		return cost{slot: s.estimate.callSeconds.mean}
	}
	prefill := p.prefillTime(w.PromptTokens - cachedTokens).Seconds()
	return cost{prefill: prefill, slot: prefill + p.transfer.mean + decode}
}

// describe lists the components of a prediction of the first token and the source
// of each, for the reason of a refusal.
func (p *poolEstimate) describe(now time.Duration) string {
	return fmt.Sprintf("prefill %.0f tokens/s (%s), transfer %.1f ms (%s), token %.1f ms (%s)",
		p.rate.mean, p.rate.origin(now), 1000*p.transfer.mean, p.transfer.origin(now), 1000*p.token.mean, p.token.origin(now))
}

// minFirstToken returns the shortest time to the first output that an idle pool
// could achieve at its best rates.
func (p *poolEstimate) minFirstToken(s *service, w *Want, cachedTokens int) time.Duration {
	if s.plain || p.prefills == 0 || p.decodes == 0 {
		return 0
	}
	return seconds(float64(max(1, w.PromptTokens-cachedTokens))/p.bestRate + p.bestToken)
}

// firstToken predicts the time from the start of a request to its first output.
func (p *poolEstimate) firstToken(s *service, c cost) time.Duration {
	if s.plain {
		return 0
	}
	return seconds(c.prefill + p.transfer.mean + p.token.mean)
}
