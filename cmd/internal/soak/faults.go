package soak

import (
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
	// process is the affected daemon; nil for a fault of the platform.
	process *process
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
	var out []fault
	for at := time.Duration(0); at < length; at += time.Duration(rng.Int64N(int64(2 * meanInterval))) {
		f := r.randomFault(rng)
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
		return fault{name: "kill " + p.name, process: p, inject: func() { p.signal(syscall.SIGKILL) }}
	case 1:
		return fault{name: "stop " + p.name, process: p, inject: func() { p.signal(syscall.SIGTERM) }}
	case 2:
		return fault{
			name:    "pause " + p.name,
			process: p,
			inject:  func() { p.signal(syscall.SIGSTOP) },
			revert:  func() { p.signal(syscall.SIGCONT) },
		}
	case 3:
		return proxyFault("store connections of "+p.name, p, p.storeProxy, mode)
	case 4:
		return proxyFault("caller connections of "+p.name, p, p.callerProxy, mode)
	case 5:
		return proxyFault("connections of runner "+target.ID, nil, target.proxy, mode)
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
// daemon, or the platform if that is nil.
func proxyFault(name string, affected *process, proxy *platformtest.Proxy, m platformtest.Mode) fault {
	modeNames := map[platformtest.Mode]string{
		platformtest.Delay: "delayed", platformtest.Silence: "silent",
		platformtest.OneWay: "cut one way", platformtest.Refuse: "refused",
	}
	return fault{
		name:    name + " " + modeNames[m],
		process: affected,
		inject:  func() { proxy.Set(m) },
		revert:  func() { proxy.Set(platformtest.Pass) },
	}
}

// markAffected marks the components that a fault affects.
func (r *run) markAffected(f fault) {
	until := time.Now().Add(f.duration)
	switch {
	case f.process != nil:
		f.process.markFault(until)
	case !f.planned:
		r.simulation.markFault(until)
	}
}
