// Package fleet runs daemons and stand-ins of the platform in one process, each on
// its own sockets of the loopback interface. It serves experiments and
// `samphirequay local`.
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
	// Sites configure the stand-ins. The daemons use the table service, object
	// store, host list and weight store of the first site, and only the endpoints
	// of the others.
	Sites []standin.PlatformConfig
	// Daemons is the number of daemons to start. Default 1.
	Daemons int
	// Policy of the daemons. Default ledger.
	Policy settings.Policy
	// Teams may send requests.
	Teams []Team
	// Log receives the daemons' log lines. By default they are discarded.
	Log io.Writer
	// AdjustSettings modifies the settings of a daemon before it starts; may be nil.
	AdjustSettings func(*settings.Settings)
	// AdjustDocument modifies the live configuration before it is applied; may be nil.
	AdjustDocument func(*live.Document)
}

// Team is a team of the live configuration with its key.
type Team struct {
	Name   string
	Key    string
	Weight float64
	// MaxInFlight bounds its requests in the system; 0 means the default.
	MaxInFlight int
}

// operatorKey is the operator's key of every fleet. It need not be secret, since
// fleets listen on the loopback interface only.
const operatorKey = "local-operator"

// Times of starting and stopping.
const (
	readyTimeout    = 20 * time.Second
	pollInterval    = 20 * time.Millisecond
	stopTimeout     = 10 * time.Second
	entryLifetimeMS = 2000
	drainTimeMS     = 5000
)

// document returns the live configuration for the sites and teams.
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
	if c.AdjustDocument != nil {
		c.AdjustDocument(doc)
	}
	return doc
}
