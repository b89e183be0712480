// Package capacity says which daemons may do what one daemon does for all: to
// own a pool, or to follow the platform's store. Hosts differ, and such a duty
// takes far more processor time and bandwidth than a daemon's share of the
// requests. Every daemon decides from its own view, without asking. It is
// deterministic.
package capacity

// Capacity is what a host grants its daemon. The zero value means that it is
// not known.
type Capacity struct {
	// Cores is the share of a core, in cores.
	Cores float64 `cbor:"1,keyasint,omitempty" json:"cores" validate:"min=0"`
	// LinkMbps is the host's own link, in megabits a second.
	LinkMbps float64 `cbor:"2,keyasint,omitempty" json:"link_mbps" validate:"min=0"`
}

// ableShare of the most that any host grants makes a host able. A half keeps
// hosts of one kind together, whose figures differ a little, and keeps out those
// of the next smaller kind: an owner of many engines on a small host falls behind
// its messages in a burst, and a reader on a narrow link is silent for all others
// while it tells them of a large change.
const minShare = 0.5

// Able keeps those of the candidates that are able to do a duty for all: with at
// least half of the most processor time, and, among these, at least half of the
// widest link. It keeps the order, and gives all where no capacity is known.
func Able[T any](candidates []T, of func(T) Capacity) []T {
	byCores := filterLargest(candidates, func(c T) float64 { return of(c).Cores })
	return filterLargest(byCores, func(c T) float64 { return of(c).LinkMbps })
}

// largest keeps the candidates whose figure is at least the able share of the
// largest one.
func filterLargest[T any](candidates []T, figure func(T) float64) []T {
	most := 0.0
	for _, c := range candidates {
		most = max(most, figure(c))
	}
	var out []T
	for _, c := range candidates {
		if figure(c) >= minShare*most {
			out = append(out, c)
		}
	}
	return out
}
