package pairing

import "time"

// maxStallShare is the largest share of a request's patience that counts as spent
// before its daemon first requests endpoints.
const maxStallShare = 0.5

// WaitStart returns the time from which a request counts as waiting for
// endpoints, given its arrival and the time at which its daemon first requests
// them. A stalled daemon sends this first request late. That delay does not
// indicate a lack of capacity, so at least half of the patience is left for the
// owner's decision.
func WaitStart(arrived, now, patience time.Duration) time.Duration {
	maxStall := time.Duration(maxStallShare * float64(patience))
	return max(arrived, now-maxStall)
}
