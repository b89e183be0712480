// Package id holds the typed identifiers that every other package shares.
package id

import "fmt"

// Team names a team (see docs/GLOSSARY.md).
type Team string

// Service names a service: what callers ask for, a model or a plain service.
type Service string

// Pool names a pool of endpoints.
type Pool string

// Endpoint names an endpoint. Where an endpoint may start again under the name
// that it had, each start of it has an Endpoint of its own.
type Endpoint string

// Instance is the name that an endpoint answers to. It may keep it when it
// starts again.
type Instance string

// Domain names a failure domain.
type Domain string

// Daemon names a daemon; the name outlives its process.
type Daemon string

// Request identifies one attempt to serve a request; a ULID.
type Request string

// Incarnation tells starts of the same process apart. A later start has a
// higher number.
type Incarnation uint64

// Process is one start of one daemon.
type Process struct {
	Daemon      Daemon      `json:"daemon" cbor:"1,keyasint"`
	Incarnation Incarnation `json:"incarnation" cbor:"2,keyasint"`
}

// String gives the process as daemon#incarnation.
func (p Process) String() string { return fmt.Sprintf("%s#%d", p.Daemon, p.Incarnation) }
