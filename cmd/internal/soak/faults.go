package soak

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/samphirequay/samphirequay/platform/platformtest"
)

// fault is one injected fault of a run.
type fault struct {
	name string
	// start is the time of the fault since the first fault; duration is how long it
	// lasts.
	start, duration time.Duration
	inject          func()
	// revert ends the fault; nil for an instantaneous fault.
	revert func()
	// processes are the affected daemons; none for a fault of the platform.
	processes []*process
	// planned is set for a planned change of the platform. It affects no component:
	// all guarantees hold during the change.
	planned bool
}

// Bounds of a run's faults.
const (
	// meanInterval is the mean time between the starts of two faults. It is well
	// below their mean duration, so that faults overlap.
	meanInterval     = 600 * time.Millisecond
	minFaultDuration = 300 * time.Millisecond
	maxFaultDuration = 3 * time.Second
)

// plan draws the faults of a run.
func (r *run) plan(rng *rand.Rand, length time.Duration) []fault {
	switch r.cfg.Scenario {
	case Restarts:
		return r.planRestarts(rng, length)
	case Releases:
		return r.planReleases(rng, length)
	case Lagging:
		return r.planLagging(rng, length)
	case MisbehavingCallers:
		return r.planMisbehavingCallers(rng, length)
	default:
		return r.planMixed(rng, length)
	}
}

// The pause between two kills of most daemons: long enough for the daemons to start
// again and serve, and several times shorter than retryWindow.
const (
	minKillPause = 1500 * time.Millisecond
	maxKillPause = 3 * time.Second
)

// planRestarts draws kills of most daemons, in random order.
func (r *run) planRestarts(rng *rand.Rand, length time.Duration) []fault {
	var out []fault
	for at := maxKillPause; at < length; at += minKillPause + time.Duration(rng.Int64N(int64(maxKillPause-minKillPause))) {
		f := r.killMost(rng)
		f.start = at
		out = append(out, f)
	}
	return out
}

// killMost returns a fault that kills at least two thirds of the daemons at once.
func (r *run) killMost(rng *rand.Rand) fault {
	all := len(r.processes)
	least := (2*all + 2) / 3
	killed := least + rng.IntN(all-least+1)
	var processes []*process
	for _, i := range rng.Perm(all)[:killed] {
		processes = append(processes, r.processes[i])
	}
	return signalFault(fmt.Sprintf("kill %d of %d daemons", killed, all), syscall.SIGKILL, processes...)
}

// signalFault returns a fault that sends a signal to daemons.
func signalFault(name string, s syscall.Signal, processes ...*process) fault {
	return fault{name: name, processes: processes, inject: func() {
		for _, p := range processes {
			p.signal(s)
		}
	}}
}

// planMixed draws single faults of all kinds.
func (r *run) planMixed(rng *rand.Rand, length time.Duration) []fault {
	var out []fault
	for at := time.Duration(0); at < length; at += time.Duration(rng.Int64N(int64(2 * meanInterval))) {
		f := r.randomFault(rng)
		if r.cfg.Scenario == Restores && rng.IntN(restoreEvery) == 0 {
			f = r.restoreFault(rng)
		}
		f.start = at
		f.duration = min(minFaultDuration+time.Duration(rng.Int64N(int64(maxFaultDuration-minFaultDuration))), length-at)
		out = append(out, f)
	}
	return out
}

// randomFault draws one fault.
func (r *run) randomFault(rng *rand.Rand) fault {
	p := r.processes[rng.IntN(len(r.processes))]
	target := r.simulation.randomRunner(rng)
	modes := []platformtest.Mode{platformtest.Delay, platformtest.Silence, platformtest.OneWay, platformtest.Refuse}
	mode := modes[rng.IntN(len(modes))]
	switch rng.IntN(9) {
	case 0:
		return signalFault("kill "+p.name, syscall.SIGKILL, p)
	case 1:
		return signalFault("stop "+p.name, syscall.SIGTERM, p)
	case 2:
		f := signalFault("pause "+p.name, syscall.SIGSTOP, p)
		f.revert = signalFault("", syscall.SIGCONT, p).inject
		return f
	case 3:
		return proxyFault("store connections of "+p.name, p.storeProxy, mode, p)
	case 4:
		return proxyFault("caller connections of "+p.name, p.callerProxy, mode, p)
	case 5:
		return proxyFault("connections of runner "+target.ID, target.proxy, mode)
	case 6:
		return fault{name: "reset connections of runner " + target.ID, inject: target.proxy.Reset}
	case 7:
		return fault{name: "replace a runner", planned: true, inject: func() { r.recordError(r.simulation.replaceRunner(rng)) }}
	default:
		return r.randomStoreFault(rng)
	}
}

// randomStoreFault draws a fault of the store itself or a change of its
// configuration.
func (r *run) randomStoreFault(rng *rand.Rand) fault {
	switch rng.IntN(4) {
	case 0:
		return fault{
			name:   "store refuses all requests",
			inject: func() { r.simulation.store.Refuse("*", 503) },
			revert: func() { r.simulation.store.Refuse("*", 0) },
		}
	case 1:
		return fault{name: "store drops its history", inject: r.simulation.store.DropHistory}
	case 2:
		return fault{name: "store loses responses", inject: func() { r.simulation.store.DropReplies(3) }, revert: func() { r.simulation.store.DropReplies(0) }}
	default:
		return fault{name: "add a route", planned: true, inject: r.addRoute}
	}
}

// proxyFault returns a fault that sets the mode of a proxy. It affects the given
// daemons, or the platform if there are none.
func proxyFault(name string, proxy *platformtest.Proxy, m platformtest.Mode, affected ...*process) fault {
	modeNames := map[platformtest.Mode]string{
		platformtest.Delay: "delayed", platformtest.Silence: "silent",
		platformtest.OneWay: "cut one way", platformtest.Refuse: "refused",
	}
	return fault{
		name:      name + " " + modeNames[m],
		processes: affected,
		inject:    func() { proxy.Set(m) },
		revert:    func() { proxy.Set(platformtest.Pass) },
	}
}

// markAffected marks the components that a fault affects.
func (r *run) markAffected(f fault) {
	until := time.Now().Add(f.duration)
	for _, p := range f.processes {
		p.markFault(until)
	}
	if len(f.processes) == 0 && !f.planned {
		r.simulation.markFault(until)
	}
}
