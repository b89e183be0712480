package sched

import (
	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/verdict"
)

// Failure returns the Progress of an attempt that failed at an endpoint. A KV
// cache that expired before it got a slot counts as a refusal for lack of
// capacity: the predicted release of the slot was too early.
func Failure(e id.Endpoint, err *verdict.Error) Progress {
	mayHaveRun := err.Verdict != verdict.NotRun
	return Progress{
		Phase:       PhaseFailed,
		Endpoint:    e,
		Full:        err.Code == verdict.CodeOverloaded || err.Code == verdict.CodeKVGone,
		Leaving:     err.Code == verdict.CodeLeaving,
		Unreachable: err.Code == verdict.CodeUnavailable && !mayHaveRun,
		Crashed:     err.Code == verdict.CodeEndpointFailed && mayHaveRun,
	}
}
