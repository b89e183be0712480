package pairing

import "time"

// heldUpShare is the part of a request's patience that may have passed before
// its daemon first asks for endpoints.
const maxStallShare = 0.5

// WaitsSince is since when a request counts as waiting for its endpoints, where
// it arrived then and its daemon first asks now. A daemon that was held up comes
// to it late; nobody was asked meanwhile, so that this says nothing about room,
// and the owner decides with half of the patience left at the least.
func WaitsSince(arrived, now, patience time.Duration) time.Duration {
	most := time.Duration(maxStallShare * float64(patience))
	return max(arrived, now-most)
}
