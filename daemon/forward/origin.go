package forward

import (
	"context"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/origin"
	"github.com/samphirequay/samphirequay/core/route"
	"github.com/samphirequay/samphirequay/core/verdict"
)

// Origins knows which software versions began streams, also those of other daemons;
// daemon/origins implements it.
type Origins interface {
	// Began records what began a stream, before its first event is passed on.
	Began(r origin.Record)
	// Ended tells that the whole answer of a stream was written.
	Ended(s origin.Stream)
	// Find returns the version that began a stream; ok is false if it is not known.
	Find(ctx context.Context, s origin.Stream) (software id.Software, ok bool)
}

const (
	// originGrace is how long a record is kept beyond the caller's deadline: clocks differ,
	// and the answer to the last attempt may be under way.
	originGrace = 10 * time.Second
	// originRetryAfter is the Retry-After for a stream of unknown origin: a daemon that was
	// not reached may be back by then.
	originRetryAfter = time.Second
)

// streamID returns the caller's attempt that began the stream of a request: the request
// itself, or the one that it takes up; empty if its caller doesn't name that one.
func streamID(r *Request) id.Request {
	if r.LastEvent != "" {
		return r.FirstAttempt
	}
	return r.ID
}

// streamOf identifies the stream that a request begins or takes up.
func streamOf(r *Request, t *trace) origin.Stream {
	return origin.Stream{Request: streamID(r), Service: t.service, Team: t.teamName()}
}

// chooseService chooses among the services of a route that is split. A stream stays at the
// service that began it while the split is the same.
func chooseService(rt *route.Route, r *Request) id.Service {
	if first := streamID(r); first != "" {
		return rt.Choose(first)
	}
	return rt.Choose(r.ID)
}

// findOrigin sets the software version to which a request that takes a stream up is tied.
// It refuses the request if the version isn't known: events of two versions do not fit
// together.
func (f *Forwarder) findOrigin(ctx context.Context, r *Request, t *trace) *verdict.Error {
	if r.LastEvent == "" {
		return nil
	}
	began, ok := f.Origins.Find(ctx, streamOf(r, t))
	if ok {
		t.began = began
		return nil
	}
	t.reason = "it is not known which software version began the stream"
	return verdict.New(verdict.NotRun, verdict.CodeUnavailable, "%s", t.reason).WithRetryAfter(originRetryAfter)
}

// recordOrigin records the software version that begins a request's stream or goes on with
// it, if that is known.
func (f *Forwarder) recordOrigin(r *Request, t *trace, software id.Software) {
	if software == "" {
		return
	}
	f.Origins.Began(origin.Record{Stream: servedStream(r, t), Software: software, Left: f.timeLeft(r, t.route) + originGrace})
}

// servedStream identifies the stream that a request serves as its caller names it from now
// on: by this attempt if it names none.
func servedStream(r *Request, t *trace) origin.Stream {
	s := streamOf(r, t)
	if s.Request == "" {
		s.Request = r.ID
	}
	return s
}

// otherVersions returns the endpoints of a service that may not go on with a stream that a
// software version began; none if began is empty.
func (f *Forwarder) otherVersions(service id.Service, began id.Software) []id.Endpoint {
	if began == "" {
		return nil
	}
	var out []id.Endpoint
	for name, e := range f.View().Endpoints {
		if e.Service == service && e.Software != began {
			out = append(out, name)
		}
	}
	return out
}
