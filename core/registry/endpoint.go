package registry

import (
	"strconv"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/live"
)

// Endpoint is one registered endpoint.
type Endpoint struct {
	// Name is the endpoint's incarnation. A restart has a different name, so that
	// no state kept under a name outlives the process.
	Name id.Endpoint
	// Instance is the name that the endpoint itself uses; a restart may keep it.
	Instance id.Instance
	// StartedUnixMS is the start time by the endpoint's clock in Unix milliseconds;
	// 0 if the endpoint does not report it. It orders the incarnations of one
	// instance, and is never compared with a clock of this daemon.
	StartedUnixMS int64
	Service       id.Service
	// Address has the form IP:port.
	Address string
	Domain  id.Domain
	// Slots is how many requests the endpoint runs concurrently.
	Slots int
	// Role of a model engine; empty for a plain endpoint.
	Role live.Role
	// Software is the version of the endpoint's software; empty while it is not known.
	Software id.Software
	// Leaving is set once the endpoint has announced, in its entry or by its own word,
	// that it accepts no new work.
	Leaving bool
	// UnlistedSince is since when, by the daemon's clock, the store no longer has
	// the entry while it is kept because it may have lapsed in an outage of the
	// store; 0 for a listed entry.
	UnlistedSince time.Duration
}

// Unlisted reports whether the entry is kept although the store no longer has it.
func (e *Endpoint) Unlisted() bool { return e.UnlistedSince > 0 }

// Incarnation returns the name of one start of an instance. Endpoints that do not
// report a start time use a different instance for each start.
func Incarnation(instance id.Instance, startedUnixMS int64) id.Endpoint {
	if startedUnixMS == 0 {
		return id.Endpoint(instance)
	}
	return id.Endpoint(string(instance) + "@" + strconv.FormatInt(startedUnixMS, 10))
}

// location is an incarnation and the address that its entry names.
type location struct {
	name    id.Endpoint
	address string
}

func (e *Endpoint) location() location { return location{name: e.Name, address: e.Address} }

// older reports whether e is an earlier start of the same instance than other.
func (e *Endpoint) older(other *Endpoint) bool {
	return e.Instance != "" && e.Instance == other.Instance && e.StartedUnixMS < other.StartedUnixMS
}
