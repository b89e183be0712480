package forward

// Reach is whether an endpoint accepts connections.
type Reach int

// The values of Reach.
const (
	// ReachUnknown: this host can't tell, since it lacks what a connection takes.
	ReachUnknown Reach = iota
	// Reached: it accepts them, of this host or of another one.
	Reached
	// NotReached: it accepts none.
	NotReached
)
