package forward

import (
	"context"
	"slices"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/verdict"
)

// awaitOpen waits until the rate limits and backoffs of a service leave this daemon a request
// to one of its endpoints, since the pool's owner knows of neither. It returns the endpoints
// that leave none.
func (f *Forwarder) awaitOpen(ctx context.Context, r *Request, t *trace, service id.Service, avoid []id.Endpoint) ([]id.Endpoint, *verdict.Error) {
	for {
		if err := f.recheck(r, t); err != nil {
			return nil, err
		}
		blocked, wait, err := f.openWithin(service, avoid, f.limitWait(r, t.route))
		if err != nil && refusedForBackoff(err) {
			t.reason = reasonBackoff
		}
		if err != nil || wait == 0 {
			return blocked, err
		}
		if err := sleep(ctx, wait); err != nil {
			return nil, err
		}
	}
}

// openWithin returns the endpoints that leave this daemon no request now. If all that may
// serve one are among them, it returns how long to wait for the first, at most maxWait.
func (f *Forwarder) openWithin(service id.Service, avoid []id.Endpoint, maxWait time.Duration) ([]id.Endpoint, time.Duration, *verdict.Error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	blocked := f.blocked()
	f.countBackoffAvoided(service, blocked)
	var closed []id.Endpoint
	for name, e := range f.View().Endpoints {
		if e.Service != service || e.Leaving || slices.Contains(avoid, name) {
			continue
		}
		if !slices.Contains(blocked, name) {
			return blocked, 0, nil
		}
		closed = append(closed, name)
	}
	if len(closed) == 0 {
		return nil, 0, noEndpoint(service, avoid)
	}
	slices.Sort(closed)
	if !f.anyInBackoff(closed) {
		f.stats.limitAvoided.Inc()
	}
	_, wait, ok := f.soonest(closed)
	if !ok || wait > maxWait {
		return nil, 0, f.limitReached(service, closed)
	}
	return blocked, wait, nil
}
