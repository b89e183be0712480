package member

import "time"

// Mode selects the membership protocol.
type Mode string

const (
	// Mesh sends a heartbeat to every daemon each period: the fastest and
	// simplest protocol, at a cost that grows with the fleet.
	Mesh Mode = "mesh"
	// Partial probes one daemon each period and piggybacks changes on the
	// probes: the cost per daemon does not grow with the fleet.
	Partial Mode = "partial"
)

// Config sets the timing and bounds of the membership protocol.
type Config struct {
	Mode Mode
	// Period is the time between heartbeats, or probes.
	Period time.Duration
	// SuspectAfter and DeadAfter are how long a daemon may be silent before it is
	// suspected or declared dead.
	SuspectAfter time.Duration
	DeadAfter    time.Duration
	// WatchedPeriod, WatchedSuspect and WatchedDead replace Period, SuspectAfter
	// and DeadAfter for daemons that others wait for, such as the owners of
	// pools: their silence must be detected sooner, and it would cost too much
	// for all daemons to send that often. Mesh only; zero for no difference.
	WatchedPeriod  time.Duration
	WatchedSuspect time.Duration
	WatchedDead    time.Duration
	// MaxHeartbeatsPerSecond and MaxWatchedHeartbeatsPerSecond bound the heartbeats
	// that a daemon sends per second, the latter while it is watched. In a larger
	// fleet the period grows, and the other daemons' timeouts grow with it. Mesh
	// only; 0 for no bound.
	MaxHeartbeatsPerSecond        float64
	MaxWatchedHeartbeatsPerSecond float64
	// MaxMeshPeers is the largest number of other daemons at which all daemons
	// exchange heartbeats with all. In a larger fleet each daemon has two
	// neighbours on each of Rings hash rings, which monitor each other and spread
	// updates: a daemon's traffic does not grow with the fleet. Mesh only; 0 for
	// no bound.
	MaxMeshPeers int
	Rings        int
	// NeighbourPeriod replaces Period between neighbours, and GossipInterval is
	// the minimum time between heartbeats that spread updates.
	NeighbourPeriod time.Duration
	GossipInterval  time.Duration
	// PartitionedFor is how long a silent daemon may stay partitioned before
	// it is declared dead.
	PartitionedFor time.Duration
	// ForgetAfter is how long a dead daemon that the host list lacks is kept.
	ForgetAfter time.Duration
	// StallAfter is how late a Tick may come before this daemon counts it as a
	// stall of its own process.
	StallAfter time.Duration
	// DomainShare is the fraction of a failure domain that must be silent
	// together for the domain to count as cut off.
	DomainShare float64
	// ReviveEvery is the time between messages to a dead daemon.
	ReviveEvery time.Duration
	// IndirectProbes is how many peers are asked to probe a silent daemon.
	IndirectProbes int
	// ProbeTimeout is the wait for an Ack before indirect probes are requested;
	// Partial only.
	ProbeTimeout time.Duration
	// IndirectTimeout is the wait for a Report of the indirect probes; Partial only.
	IndirectTimeout time.Duration
	// MaxUpdates bounds the piggybacked entries on one message; Partial only.
	MaxUpdates int
	// SampleEvery is the number of periods between heartbeats that carry a
	// random sample of entries; Mesh only.
	SampleEvery uint64
	// ShuffleEvery, ShuffleSize and ViewSize configure the exchange of view
	// samples; Partial only.
	ShuffleEvery time.Duration
	ShuffleSize  int
	ViewSize     int
	// MaxMembers bounds the number of other daemons that are tracked.
	MaxMembers int
}

// DefaultConfig returns the default configuration of a mode.
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
		ForgetAfter:     10 * time.Minute,
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
