// Package soak tests daemons, which run as processes started by a script, against
// a simulated platform while it injects overlapping faults from outside: it
// delays, resets, blocks in one direction or silences connections through its
// proxies, and pauses, kills and terminates processes. It checks the guarantees of
// the daemons by the observations of callers and runners. The schedule of faults
// follows from a seed; the results also depend on the host.
package soak
