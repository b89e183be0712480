// Package id defines the typed identifiers that all packages share.
package id

import "fmt"

// Team names a team (see docs/GLOSSARY.md).
type Team string

// Service names a service that callers request: a model or a plain service.
type Service string

// Pool names a pool of endpoints.
type Pool string

// Endpoint names an endpoint. Where an endpoint may restart under its previous
// instance name, each start has its own Endpoint.
type Endpoint string

// Instance is the name that an endpoint itself uses; a restart may keep it.
type Instance string

// Software names a version of the software that an endpoint runs; empty if it is not
// known. Versions have no order.
type Software string

// Domain names a failure domain.
type Domain string

// Daemon names a daemon; the name stays the same over restarts of its process.
type Daemon string

// Request identifies one attempt to serve a request. It is a ULID.
type Request string

// Incarnation distinguishes starts of the same process. A later start has a higher
// number.
type Incarnation uint64

// Process is one start of one daemon.
type Process struct {
	Daemon      Daemon      `json:"daemon" cbor:"1,keyasint"`
	Incarnation Incarnation `json:"incarnation" cbor:"2,keyasint"`
}

// String returns the process as daemon#incarnation.
func (p Process) String() string { return fmt.Sprintf("%s#%d", p.Daemon, p.Incarnation) }
