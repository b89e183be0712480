// Package standin holds small stand-ins of the platform and of the endpoints:
// model engines, plain services, the table service, the object store, the host
// list and the weight store. They run inside tests, inside `samphirequay local`
// and as processes. docs/PLATFORM.md describes their interfaces.
//
// Work takes real time; all faults that are drawn come from seeded sources.
package standin
