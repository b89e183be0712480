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
	errNotKnown     = errors.New("the connection ended, and this host can open none to tell whether the endpoint lives")
)

// checkEnd returns an error if a stream whose body has ended was broken off. begun is set
// if a whole event has arrived, and rest holds the bytes after the last one; a body that is
// no series of events has no rest.
//
// The end of an unframed answer is that of its connection, which a process that crashes
// brings about as well. It is trusted after a whole event, if the endpoint seems not to have
// crashed.
func (f *Forwarder) checkEnd(s EventStream, e registry.Endpoint, begun bool, rest []byte) error {
	switch {
	case len(rest) > 0:
		return errInsideEvent
	case !s.Unframed():
		return nil
	case !begun:
		return errNoEvent
	}
	return f.checkAlive(e, silentEndpointTimeout)
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
	default:
		cause = f.checkAlive(e, min(silentEndpointTimeout, max(crashCheckTimeout, timeLeft/2)))
	}
	if cause == nil {
		return r, nil
	}
	return nil, verdict.New(verdict.MayHaveRun, verdict.CodeEndpointFailed, "the answer of %s may be incomplete", e.Name).WithCause(cause)
}

// silentEndpointTimeout is how long an endpoint may be silent before it counts as crashed
// when it accepts no connection; one whose process has ended refuses at once.
const silentEndpointTimeout = 2 * time.Second

// checkAlive returns an error if an endpoint accepts no connection any more, from this host or
// another, within the given time, or if this host can't tell. One that leaves as planned may
// refuse new connections while it finishes its answers.
func (f *Forwarder) checkAlive(e registry.Endpoint, within time.Duration) error {
	known, listed := f.View().Endpoints[e.Name]
	if !listed || known.Leaving {
		return nil
	}
	switch f.reachable(e, within) {
	case Reached:
		return nil
	case NotReached:
		return errEndpointGone
	default:
		return errNotKnown
	}
}
