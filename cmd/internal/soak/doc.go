// Package soak runs daemons, as processes that a script has started, against
// stand-ins of the platform while it injects faults from outside: connections
// through its proxies are delayed, reset, cut one way or silenced, processes
// are stopped, killed and told to end, in series that overlap. It checks what
// daemons promise by what callers and runners see. What happens and when follows
// from a seed; what comes of it depends on the host as well.
package soak
