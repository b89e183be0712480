// Package standin implements small simulated replacements ("stand-ins") of the
// platform services and the endpoints: model engines, plain services, the table
// service, the object store, the host list and the weight store. They run inside
// tests, inside `samphirequay local` and as separate processes.
// docs/PLATFORM.md describes their interfaces.
//
// Simulated work takes real time. Random faults come from seeded generators.
package standin
