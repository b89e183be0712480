package soak

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/samphirequay/samphirequay/platform/platformtest"
)

// Bounds of a run with lagging hosts.
const (
	// minLag and maxLag bound how long a daemon misses what the others learn of a release.
	minLag = 300 * time.Millisecond
	maxLag = 6 * time.Second
	// minAlone and maxAlone bound for how long it is then cut off from all of them.
	minAlone = 500 * time.Millisecond
	maxAlone = 2500 * time.Millisecond
)

// planLagging draws a series of releases, during each of which one daemon lags behind.
func (r *run) planLagging(rng *rand.Rand, length time.Duration) []fault {
	engines := engineRunners(r.cfg.Daemons, 1)
	var out []fault
	for at, version := minReleasePause, 2; at < length; version++ {
		out = append(out, r.planRelease(rng, at, fmt.Sprintf("v%d", version), engines)...)
		p := r.processes[rng.IntN(len(r.processes))]
		lag, alone := between(rng, minLag, maxLag), between(rng, minAlone, maxAlone)
		out = append(out, r.lagFault(rng, p, at-between(rng, 0, minLag), lag), r.aloneFault(rng, p, at+lag, alone))
		at += lag + alone + between(rng, minReleasePause, maxReleasePause/2)
	}
	return inOrder(out, length)
}

// lagFault returns a fault that suspends a daemon, or silences its connections to the store.
func (r *run) lagFault(rng *rand.Rand, p *process, at, lag time.Duration) fault {
	f := proxyFault("store connections of "+p.name, p.storeProxy, platformtest.Silence, p)
	if rng.IntN(2) == 0 {
		f = signalFault("suspend "+p.name, syscall.SIGSTOP, p)
		f.revert = signalFault("", syscall.SIGCONT, p).inject
	}
	f.start, f.duration = at, lag
	return f
}

// aloneFault returns a fault that cuts a daemon off from the store and from all others, which are
// suspended or killed. Callers reach it all the while.
func (r *run) aloneFault(rng *rand.Rand, p *process, at, alone time.Duration) fault {
	var others []*process
	for _, other := range r.processes {
		if other != p {
			others = append(others, other)
		}
	}
	how, signal := "suspend", syscall.SIGSTOP
	if rng.IntN(2) == 0 {
		how, signal = "kill", syscall.SIGKILL
	}
	store := proxyFault("", p.storeProxy, platformtest.Silence)
	return fault{
		name:  fmt.Sprintf("leave %s alone, without the store (%s the others)", p.name, how),
		start: at, duration: alone, processes: r.processes,
		inject: func() {
			store.inject()
			signalFault("", signal, others...).inject()
		},
		revert: func() {
			store.revert()
			signalFault("", syscall.SIGCONT, others...).inject()
		},
	}
}
