package forward

import (
	"fmt"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/registry"
	"github.com/samphirequay/samphirequay/core/sched"
	"github.com/samphirequay/samphirequay/core/verdict"
)

// grantedEngine looks up an engine that the pool's owner granted. If this
// daemon's own registry has no such engine, or lists it as leaving, the grant is
// returned: an owner that was frozen for a while, or has missed registry updates,
// grants engines that must get no new work.
func (g *generation) grantedEngine(name id.Endpoint) (registry.Endpoint, *verdict.Error) {
	engine, known := g.f.View().Endpoints[name]
	if known && !engine.Leaving {
		return engine, nil
	}
	why := "is no longer registered"
	if known {
		why = "is leaving"
	}
	g.giveBack(name, why)
	g.avoid = append(g.avoid, name)
	return engine, verdict.New(verdict.NotRun, verdict.CodeUnavailable, "engine %s %s", name, why)
}

// grantedDecode looks up the granted decode engine. It returns the grant as well if the
// engine runs another software version than the one that began the stream: the owner may
// know an older entry of it, or no versions.
func (g *generation) grantedDecode() (registry.Endpoint, *verdict.Error) {
	engine, err := g.grantedEngine(g.grant.Decode)
	if err != nil || g.began == "" || engine.Software == g.began {
		return engine, err
	}
	why := fmt.Sprintf("runs software %s, and %s began the stream", engine.Software, g.began)
	g.giveBack(engine.Name, why)
	g.avoid = append(g.avoid, engine.Name)
	return engine, verdict.New(verdict.NotRun, verdict.CodeUnavailable, "engine %s %s", engine.Name, why)
}

// takeEngine checks the request again, right before it is sent to a granted engine, and
// counts it against the engine's rate limit, unless the engine is in backoff.
func (g *generation) takeEngine(name id.Endpoint) *verdict.Error {
	if err := g.recheck(); err != nil {
		return err
	}
	return g.takeEngineLimit(name)
}

// takeEngineLimit counts a request to a granted engine against the engine's rate limit.
// If the engine takes no request now, for its limit or its backoff, it gives the grant back.
// The engine is not avoided beyond that: pair asks for others only as long as it must.
func (g *generation) takeEngineLimit(name id.Endpoint) *verdict.Error {
	why := g.f.takeLimit(name)
	if why == "" {
		return nil
	}
	g.giveBack(name, why)
	return verdict.New(verdict.NotRun, verdict.CodeUnavailable, "engine %s %s", name, why)
}

// giveBack returns a grant to the pool's owner since one of its engines can't be used.
func (g *generation) giveBack(name id.Endpoint, why string) {
	g.f.Log.Event("grant_given_back", "request", g.request.ID, "endpoint", name, "owner", g.grant.Owner,
		"reservation", g.grant.Reservation, "why", why)
	g.progress(sched.Progress{Phase: sched.PhaseCancelled})
}

// recheck checks the request again and returns the grant if it may no longer be sent:
// its key is no longer valid, or it crashes endpoints.
func (g *generation) recheck() *verdict.Error {
	err := g.f.recheck(g.request, g.trace)
	if err != nil {
		g.progress(sched.Progress{Phase: sched.PhaseCancelled})
	}
	return err
}

// newAttempt returns the attempt to send to the engine e now, for a prefill or a decode.
func (g *generation) newAttempt(e registry.Endpoint, step string) *Attempt {
	f := g.f
	f.recordSend(g.trace)
	limit := f.deadline(g.request, g.trace.route)
	return &Attempt{
		Request:     g.request,
		Endpoint:    e,
		Left:        limit - f.Now(),
		Until:       limit,
		MaxConns:    f.maxConns(g.service),
		LastEvent:   g.lastEvent,
		Urgency:     g.trace.urgency(),
		Team:        g.trace.teamName(),
		Credentials: g.trace.credentials(g.request),
		MaySend:     f.maySend(e),
		OnLimit:     f.onLimit(e),
		OnBackoff:   f.onBackoff(g.request, e, step),
	}
}
