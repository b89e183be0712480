// Package capacity selects the daemons that are able to perform a duty for all
// daemons: to own a pool, or to follow the platform's store. Hosts differ, and such
// a duty takes far more processor time and bandwidth than a daemon's share of the
// requests. Every daemon selects from its own view, without coordination. The
// selection is deterministic.
package capacity

// Capacity is the processor time and bandwidth that a host grants its daemon. The
// zero value means that they are unknown.
type Capacity struct {
	// Cores is the processor time, in cores; it may be a fraction.
	Cores float64 `cbor:"1,keyasint,omitempty" json:"cores" validate:"min=0"`
	// LinkMbps is the bandwidth of the host's link, in megabits a second.
	LinkMbps float64 `cbor:"2,keyasint,omitempty" json:"link_mbps" validate:"min=0"`
}

// minShare is the fraction of the largest capacity of any candidate that makes a
// host able. A half includes all hosts of one type, whose capacities differ
// slightly, and excludes the next smaller type: an owner of many engines on a small
// host can't process its messages fast enough in a burst, and a reader on a slow
// link sends nothing else to the other daemons while it sends them a large change.
const minShare = 0.5

// SelectAble returns the candidates that are able to perform a duty for all daemons:
// those with at least half of the largest processor time and, among these, at least
// half of the largest bandwidth. It preserves the order, and returns all candidates
// if no capacity is known.
func SelectAble[T any](candidates []T, capacityOf func(T) Capacity) []T {
	byCores := filterLargest(candidates, func(c T) float64 { return capacityOf(c).Cores })
	return filterLargest(byCores, func(c T) float64 { return capacityOf(c).LinkMbps })
}

// filterLargest returns the candidates whose value is at least minShare of the
// largest value.
func filterLargest[T any](candidates []T, value func(T) float64) []T {
	maxValue := 0.0
	for _, c := range candidates {
		maxValue = max(maxValue, value(c))
	}
	var out []T
	for _, c := range candidates {
		if value(c) >= minShare*maxValue {
			out = append(out, c)
		}
	}
	return out
}
