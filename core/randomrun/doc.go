// Package randomrun holds a randomised run of the deterministic core: askers,
// pool managers, sequencers, cancellers and reapers of several daemons, driven
// by seeded events with every invariant asserted. It has tests only; see
// docs/design/planted-bugs.md for what they catch.
package randomrun
