// Package randomrun contains a randomised simulation test of the deterministic
// core: requesters, pool managers, sequencers, cancellers and reapers of several
// daemons, driven by seeded events, with every invariant asserted. It contains
// only tests; docs/design/planted-bugs.md lists the faults that they detect.
package randomrun
