package forward

import (
	"errors"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/live"
	"github.com/samphirequay/samphirequay/core/verdict"
)

// successorDelay is the Retry-After of a stream whose engines all leave: those that replace
// them register within about this time.
const successorDelay = 2 * time.Second

// reasonAllLeave is why a request was not tried again, as logged.
const reasonAllLeave = "its engines leave"

// errAllLeave is the cause of refusals since all engines that could decode leave.
var errAllLeave = errors.New("all decode engines leave")

func refusedAsAllLeave(err *verdict.Error) bool { return errors.Is(err.Cause, errAllLeave) }

// checkEngines refuses a stream at once if all engines that could decode it leave: the pool's
// owner would hold it until its patience ends.
func (f *Forwarder) checkEngines(service id.Service) *verdict.Error {
	leaving := 0
	for _, e := range f.View().Endpoints {
		if e.Service != service || e.Role == live.RolePrefill {
			continue
		}
		if !e.Leaving {
			return nil
		}
		leaving++
	}
	if leaving == 0 {
		return nil // the pool's owner may know engines that this daemon doesn't
	}
	return verdict.New(verdict.NotRun, verdict.CodeNoEndpoint, "all engines of service %s leave", service).
		WithRetryAfter(spread(successorDelay)).WithCause(errAllLeave)
}
