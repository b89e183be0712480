package completion

import (
	"context"

	"github.com/samphirequay/samphirequay/core/sched"
	"github.com/samphirequay/samphirequay/core/verdict"
)

// resumeStream continues a stream that was started over another connection, possibly
// by another daemon. The engine still generates it or keeps its end. This daemon
// becomes the owner of the request at the engine, so that no other daemon cancels it
// as an orphan.
func (r *Runner) resumeStream(ctx context.Context, p *progress) *verdict.Error {
	rp := p.job.Resume
	endpoint, ok := r.Catalog.Endpoint(rp.Endpoint)
	if !ok {
		return unknownEndpoint(rp.Endpoint)
	}
	ts, err := r.Engines.Resume(ctx, endpoint, rp.Attempt, rp.Delivered, r.Self)
	if err != nil {
		return asVerdict(err)
	}
	if ts.Incarnation() != rp.Incarnation {
		_ = ts.Close()
		return verdict.New(verdict.MayHaveRun, verdict.CodeEndpointFailed, "endpoint %s was restarted", rp.Endpoint)
	}
	a := &attempt{Runner: r, p: p, decode: endpoint}
	a.want = r.want(p, 1)
	a.want.Request = rp.Attempt
	a.grant = sched.Grant{Request: rp.Attempt, Decode: endpoint.Name, Owner: r.Self}
	r.Pairer.Resume(a.want, a.grant)
	r.Recorder.Decision("request", string(p.job.ID), "resumed", "attempt", rp.Attempt, "decode", endpoint.Name, "after", rp.Delivered)
	return a.relayTokens(ctx, ts, r.Now())
}
