package calls

import (
	"math/rand/v2"

	"github.com/samphirequay/samphirequay/core/balance"
	"github.com/samphirequay/samphirequay/core/registry"
	"github.com/samphirequay/samphirequay/core/verdict"
)

// maxTries is the number of endpoints that an attempt tries.
const maxTries = 3

// balanced is the way in which each daemon chooses from its own calls alone.
type balanced struct {
	w       *simulation
	daemons []*balance.Balancer
}

// Balanced creates the way in which each daemon balances its own calls and tries another
// endpoint after a refusal.
func Balanced(w *simulation) way {
	b := &balanced{w: w}
	var entries []registry.Endpoint
	for _, e := range w.document().Endpoints {
		entries = append(entries, registry.Endpoint{Name: e.Name, Service: serviceName, Domain: e.Domain, Slots: e.Slots})
	}
	for i := range w.Daemons {
		made := balance.New(domain(i), rand.New(rand.NewPCG(w.rng.Uint64(), uint64(i))))
		made.Configure(entries)
		b.daemons = append(b.daemons, made)
	}
	return b
}

func (b *balanced) send(c *caller) {
	chosen, ok := b.daemons[c.daemon].Pick(b.w.now, serviceName, c.avoid)
	if !ok || c.tries >= maxTries {
		b.w.refused(c, verdict.TransientRetryAfter)
		return
	}
	c.tries++
	began, attempt := b.w.now, c.attempt
	done := func(outcome balance.Outcome) {
		b.daemons[c.daemon].Done(b.w.now, chosen.Name, b.w.now-began, outcome)
	}
	b.w.endpoint(chosen.Name).call(c, func() {
		done(balance.OK)
		if c.attempt == attempt && !c.done {
			b.w.answered(c)
		}
	}, func() {
		done(balance.Full)
		c.avoid = append(c.avoid, chosen.Name)
		if c.attempt == attempt && !c.done {
			b.send(c)
		}
	})
}
