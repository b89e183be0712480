// Package fleet starts daemons and stand-ins of the platform in one process,
// each on sockets of its own on the loopback interface, for experiments and
// for `samphirequay local`.
package fleet

import (
	"io"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/live"
	"github.com/samphirequay/samphirequay/daemon/keys"
	"github.com/samphirequay/samphirequay/daemon/settings"
	"github.com/samphirequay/samphirequay/standin"
)

// Config describes a fleet.
type Config struct {
	// Sites are the stand-ins. The first one's table service, object store,
	// host list and weight store serve the daemons; of the others only the
	// endpoints are used.
	Sites []standin.PlatformConfig
	// Daemons is how many daemons are started. Default 1.
	Daemons int
	// Policy of the daemons. Default ledger.
	Policy settings.Policy
	// Teams that may send.
	Teams []Team
	// Log takes the daemons' log lines. Default: none.
	Log io.Writer
	// Tune changes the settings of a daemon before it starts; may be nil.
	Tune func(*settings.Settings)
	// Change changes the live configuration before it is applied; may be nil.
	Change func(*live.Document)
}

// Team is a team with its key.
type Team struct {
	Name   string
	Key    string
	Weight float64
	// MaxInFlight bounds its requests in the system; 0 leaves the default.
	MaxInFlight int
}

// The operator's key of every fleet: it listens on the loopback interface only.
const operatorKey = "local-operator"

// Bounds of starting and stopping.
const (
	readyTimeout    = 20 * time.Second
	pollInterval    = 20 * time.Millisecond
	stopTimeout     = 10 * time.Second
	entryLifetimeMS = 2000
	drainTimeMS     = 5000
)

// document is the live configuration that fits the sites and teams.
func (c Config) document(platforms []*standin.Platform) *live.Document {
	doc := &live.Document{}
	for _, t := range c.Teams {
		doc.Teams = append(doc.Teams, live.Team{
			Name: id.Team(t.Name), KeyHashes: []string{keys.Hash(t.Key)},
			Weight: t.Weight, MaxInFlight: t.MaxInFlight,
		})
	}
	for _, p := range platforms {
		site := standin.Document(p.Config(), p.Addresses())
		doc.Services = append(doc.Services, site.Services...)
		doc.Pools = append(doc.Pools, site.Pools...)
		doc.Endpoints = append(doc.Endpoints, site.Endpoints...)
		doc.Links = append(doc.Links, site.Links...)
	}
	if c.Change != nil {
		c.Change(doc)
	}
	return doc
}
