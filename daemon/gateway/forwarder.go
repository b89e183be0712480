package gateway

import (
	"github.com/samphirequay/samphirequay/core/balance"
	"github.com/samphirequay/samphirequay/core/retry"
	"github.com/samphirequay/samphirequay/daemon/forward"
)

// crashesToRefuse is the number of crashes put down to a request alone, with no endpoint
// finishing it, before all daemons refuse the request. Two may be chance when many
// endpoints crash at once.
const crashesToRefuse = 3

// repeatSafety is the fraction of the bound on retries that the daemons use; see
// retry.WindowConfig.
const repeatSafety = 0.75

// newForwarder returns the forwarder of this daemon's requests.
func (d *Daemon) newForwarder() *forward.Forwarder {
	return forward.New(forward.Deps{
		Self:      d.self,
		Domain:    d.set.Domain,
		View:      d.tables.current,
		Endpoints: d.platform.Endpoints,
		Pairer:    pairer{d},
		Balancer:  balance.New(d.set.Domain, d.newRand()),
		Origins:   d.origins,
		Evidence: forward.CrashEvidence{
			Ledger:    d.poison,
			WallClock: d.wall,
			Await:     d.evidenceGate.await,
			Broadcast: d.broadcastEvidence,
		},
		RetryLimit: retry.WindowConfig{
			Span:   Seconds(d.set.Bounds.RepeatWindowS),
			Ratio:  d.set.Bounds.RepeatRatio,
			Slack:  d.set.Bounds.RepeatSlack,
			Safety: repeatSafety,
		},
		RateLimits: forward.RateLimits{
			Fleet:     d.fleetNames,
			WallClock: d.wall,
			Broadcast: d.spreadLimit,
		},
		ReportMisdirected: d.inspect,
		Stale:             func() bool { return d.configs.Lost() },
		Freshness:         freshnessAdapter{d},
		Payer:             quotaCharger{d},
		StopsTooSoon:      d.stopsTooSoon,
		Daemons:           d.daemons,
		RetrySharers:      d.retrySharers,
		CallQueue:         d.callQueue,
		Log:               d.logger,
		Metrics:           d.metrics,
		Now:               d.now,
	})
}
