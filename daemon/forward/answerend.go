package forward

import (
	"errors"
	"time"

	"github.com/samphirequay/samphirequay/core/registry"
	"github.com/samphirequay/samphirequay/core/verdict"
)

// Reasons why the end of an endpoint's body is not the end of its answer.
var (
	errInsideEvent  = errors.New("the stream ended inside an event")
	errNoEvent      = errors.New("the connection ended before the first event")
	errNoBody       = errors.New("the connection ended before the first byte of the body, and no length was stated")
	errEndpointGone = errors.New("the connection ended, and the endpoint accepts no new one")
)

// checkEnd returns an error if a stream whose body has ended was broken off. begun is set
// if a whole event has arrived, and rest holds the bytes after the last one; a body that is
// no series of events has no rest.
//
// The end of an unframed answer is that of its connection, which a process that crashes
// brings about as well. It is trusted after a whole event, unless the endpoint seems to have
// crashed.
func (f *Forwarder) checkEnd(s EventStream, e registry.Endpoint, begun bool, rest []byte) error {
	switch {
	case len(rest) > 0:
		return errInsideEvent
	case !s.Unframed():
		return nil
	case !begun:
		return errNoEvent
	case f.seemsCrashed(e, silentEndpointTimeout):
		return errEndpointGone
	}
	return nil
}

// checkReply returns an error in place of a success that may have been broken off: its body
// ended with its connection, before the first byte or as the endpoint seems to have crashed.
// timeLeft is how long the caller waits for the answer.
func (f *Forwarder) checkReply(r *Reply, e registry.Endpoint, timeLeft time.Duration) (*Reply, *verdict.Error) {
	if !r.Unframed || r.Failed() {
		return r, nil
	}
	var cause error
	switch {
	case r.empty():
		// What is left of a head that lost its length reads as such an answer.
		cause = errNoBody
	case f.seemsCrashed(e, min(silentEndpointTimeout, max(crashCheckTimeout, timeLeft/2))):
		cause = errEndpointGone
	default:
		return r, nil
	}
	return nil, verdict.New(verdict.MayHaveRun, verdict.CodeEndpointFailed, "the answer of %s may be incomplete", e.Name).WithCause(cause)
}

// silentEndpointTimeout is how long an endpoint may be silent before it counts as crashed
// when it accepts no connection; one whose process has ended refuses at once.
const silentEndpointTimeout = 2 * time.Second

// seemsCrashed reports whether an endpoint accepts no connection any more, from this host
// or another, within the given time. One that leaves as planned may refuse new connections
// while it finishes its answers.
func (f *Forwarder) seemsCrashed(e registry.Endpoint, within time.Duration) bool {
	known, listed := f.View().Endpoints[e.Name]
	return listed && !known.Leaving && !f.reachable(e, within)
}
