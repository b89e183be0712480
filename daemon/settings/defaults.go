package settings

import "net/netip"

// Defaults returns settings that hold the default values and nothing else.
func Defaults() *Settings {
	return &Settings{
		KeysPollMS: 5000,
		Policy:     PolicyLedger,
		Membership: Membership{
			Mode:           MembershipMesh,
			PeriodMS:       250,
			SuspectAfterMS: 1000,
			DeadAfterMS:    2500,
		},
		Limits: Limits{
			MaxBodyBytes:        4 << 20,
			MaxConnections:      8192,
			MaxConnectionsPerIP: 1024,
			Workers:             512,
			DutyRing:            4096,
			PeerRing:            1024,
			LogRing:             4096,
			JournalDecisions:    20000,
		},
		Timings: Timings{
			EntryLifetimeMS: 10000,
			DrainMS:         60000,
			StoreTimeoutMS:  1000,
		},
		Log: Log{Level: "info"},
	}
}

// derive fills in the advertised addresses that are not set.
func (s *Settings) derive() {
	s.Advertise.Callers = advertised(s.Advertise.Callers, s.Listen.Callers)
	s.Advertise.Peers = advertised(s.Advertise.Peers, s.Listen.Peers)
}

// advertised returns the configured address, or else the listen address if it
// has a specific IP and a port that others can connect to, or else an empty
// string.
func advertised(configured, listen string) string {
	if configured != "" {
		return configured
	}
	address, err := netip.ParseAddrPort(listen)
	if err != nil || address.Addr().IsUnspecified() || address.Port() == 0 {
		return ""
	}
	return listen
}
