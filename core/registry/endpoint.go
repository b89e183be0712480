package registry

import (
	"strconv"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/live"
)

// Endpoint is one registered endpoint.
type Endpoint struct {
	// Name is the endpoint's incarnation: a restart has another one, so that
	// nothing that was believed under a name outlives the process.
	Name id.Endpoint
	// Instance is what the endpoint itself answers to; a restart may keep it.
	Instance id.Instance
	// Born orders the incarnations of one instance: a later start has a higher
	// one. It is the endpoint's time of day in Unix milliseconds, which no clock
	// of this daemon's is held against; 0 where the endpoint does not say.
	Born    int64
	Service id.Service
	// Address is IP:port.
	Address string
	Domain  id.Domain
	// Slots is how many requests it runs at once.
	Slots int
	// Role of a model engine; empty for a plain endpoint.
	Role live.Role
	// Leaving is the endpoint's own word that it takes no new work.
	Leaving bool
	// UnlistedSince is since when, by the daemon's time, the store no longer has the
	// entry and it is kept, since it may have lapsed only because the store was away;
	// 0 for a listed one.
	UnlistedSince time.Duration
}

// Unlisted says whether the entry is kept though the store no longer has it.
func (e *Endpoint) Unlisted() bool { return e.UnlistedSince > 0 }

// Incarnation names one start of an instance. Where endpoints do not say when
// they started, each start has an instance of its own.
func Incarnation(instance id.Instance, born int64) id.Endpoint {
	if born == 0 {
		return id.Endpoint(instance)
	}
	return id.Endpoint(string(instance) + "@" + strconv.FormatInt(born, 10))
}

// place is where an incarnation says that it can be reached.
type location struct {
	name    id.Endpoint
	address string
}

func (e *Endpoint) location() location { return location{name: e.Name, address: e.Address} }

// older says whether e is an earlier start of the same instance than other.
func (e *Endpoint) older(other *Endpoint) bool {
	return e.Instance != "" && e.Instance == other.Instance && e.Born < other.Born
}
