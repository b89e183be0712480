package member

import "time"

// Mode chooses how the membership is kept up.
type Mode string

const (
	// Mesh sends a heartbeat to every daemon each period: fastest and
	// simplest, at a cost that grows with the fleet.
	Mesh Mode = "mesh"
	// Partial probes one daemon each period and spreads changes with the
	// probes: the cost of a daemon does not grow with the fleet.
	Partial Mode = "partial"
)

// Config sets the membership's pace and bounds.
type Config struct {
	Mode Mode
	// Period is the time between heartbeats, or probes.
	Period time.Duration
	// SuspectAfter and DeadAfter are how long a daemon may be silent.
	SuspectAfter time.Duration
	DeadAfter    time.Duration
	// WatchedPeriod, WatchedSuspect and WatchedDead take the place of Period,
	// SuspectAfter and DeadAfter for daemons that others wait for, such as the
	// owners of pools: their silence must be noticed sooner, and it would cost
	// too much to have all daemons send that often. Mesh only; zero for no
	// difference.
	WatchedPeriod  time.Duration
	WatchedSuspect time.Duration
	WatchedDead    time.Duration
	// MostSent and MostWatched bound the heartbeats that a daemon sends in a
	// second, the latter while it is watched. In a larger fleet the time between
	// them grows, and the others' patience with it. Mesh only; 0 for no bound.
	MostSent    float64
	MostWatched float64
	// MeshUpTo is in how large a fleet, by the number of other daemons, all
	// exchange heartbeats with all. In a larger one each daemon has two neighbours
	// on each of Rings hash rings, which watch one another and pass news on: what
	// a daemon sends does not grow with the fleet. Mesh only; 0 for no bound.
	MeshUpTo int
	Rings    int
	// NearPeriod takes the place of Period between neighbours, and SpreadPause is
	// the least time between heartbeats that pass news on.
	NeighbourPeriod time.Duration
	GossipInterval  time.Duration
	// PartitionedFor is how long a silent daemon may stay partitioned before
	// it is dead after all.
	PartitionedFor time.Duration
	// Forget is how long a dead daemon that the host list lacks is kept.
	Forget time.Duration
	// StallAfter is how late a Tick may come before this daemon takes itself
	// for stalled.
	StallAfter time.Duration
	// DomainShare is the share of a failure domain that must be silent
	// together to take it for cut off.
	DomainShare float64
	// ReviveEvery is the time between messages to a dead daemon.
	ReviveEvery time.Duration
	// Indirect is how many peers are asked about a silent daemon.
	IndirectProbes int
	// ProbeTimeout is the wait for an Ack before peers are asked; Partial only.
	ProbeTimeout time.Duration
	// IndirectTimeout is the wait for their Report; Partial only.
	IndirectTimeout time.Duration
	// Updates bounds the entries on one message.
	MaxUpdates int
	// SampleEvery is the number of periods between heartbeats that carry a
	// sample of others; Mesh only.
	SampleEvery uint64
	// ShuffleEvery, ShuffleSize and ViewSize set the exchange of samples; Partial only.
	ShuffleEvery time.Duration
	ShuffleSize  int
	ViewSize     int
	// MaxMembers bounds the daemons that are kept.
	MaxMembers int
}

// DefaultConfig returns the defaults of a mode.
func DefaultConfig(mode Mode) Config {
	return Config{
		Mode:            mode,
		Period:          250 * time.Millisecond,
		SuspectAfter:    time.Second,
		DeadAfter:       2500 * time.Millisecond,
		Rings:           3,
		NeighbourPeriod: 600 * time.Millisecond,
		GossipInterval:  100 * time.Millisecond,
		PartitionedFor:  time.Minute,
		Forget:          10 * time.Minute,
		StallAfter:      500 * time.Millisecond,
		DomainShare:     0.75,
		ReviveEvery:     2 * time.Second,
		IndirectProbes:  3,
		ProbeTimeout:    150 * time.Millisecond,
		IndirectTimeout: 300 * time.Millisecond,
		MaxUpdates:      6,
		SampleEvery:     4,
		ShuffleEvery:    2 * time.Second,
		ShuffleSize:     4,
		ViewSize:        16,
		MaxMembers:      4096,
	}
}
