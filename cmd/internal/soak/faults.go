package soak

import (
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/samphirequay/samphirequay/platform/platformtest"
)

// fault is one fault of a run.
type fault struct {
	name string
	// at is when it begins, from the start of the faults; lasts is how long it
	// goes on.
	start, duration time.Duration
	inject          func()
	// end is nil for a fault that is over at once.
	revert func()
	// process is the daemon that it touches; nil for one of the platform.
	process *process
	// planned work of the platform disturbs nobody: promises hold meanwhile.
	planned bool
}

// Bounds of a run's faults.
const (
	// meanGap is the mean pause between the beginnings of two faults: well below
	// how long one lasts, so that they overlap.
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

// draw picks one fault.
func (r *run) randomFault(rng *rand.Rand) fault {
	p := r.processes[rng.IntN(len(r.processes))]
	endpoint := r.simulation.randomRunner(rng)
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
		return proxyFault("store of "+p.name, p, p.storeProxy, mode)
	case 4:
		return proxyFault("callers of "+p.name, p, p.callerProxy, mode)
	case 5:
		return proxyFault("runner "+endpoint.ID, nil, endpoint.proxy, mode)
	case 6:
		return fault{name: "reset runner " + endpoint.ID, inject: endpoint.proxy.Reset}
	case 7:
		return fault{name: "replace a runner", planned: true, inject: func() { r.recordError(r.simulation.replaceRunner(rng)) }}
	default:
		return r.randomStoreFault(rng)
	}
}

// drawStore picks a fault of the store itself.
func (r *run) randomStoreFault(rng *rand.Rand) fault {
	switch rng.IntN(4) {
	case 0:
		return fault{
			name:   "store refuses all",
			inject: func() { r.simulation.store.Refuse("*", 503) },
			revert: func() { r.simulation.store.Refuse("*", 0) },
		}
	case 1:
		return fault{name: "store forgets", inject: r.simulation.store.Forget}
	case 2:
		return fault{name: "store loses answers", inject: func() { r.simulation.store.Lose(3) }, revert: func() { r.simulation.store.Lose(0) }}
	default:
		return fault{name: "a route is added", planned: true, inject: r.addRoute}
	}
}

// onProxy is a fault of a way, which is a daemon's if that is set.
func proxyFault(name string, of *process, way *platformtest.Proxy, m platformtest.Mode) fault {
	words := map[platformtest.Mode]string{
		platformtest.Delay: "delayed", platformtest.Silence: "silent",
		platformtest.OneWay: "cut one way", platformtest.Refuse: "refused",
	}
	return fault{
		name:    name + " " + words[m],
		process: of,
		inject:  func() { way.Set(m) },
		revert:  func() { way.Set(platformtest.Pass) },
	}
}

// touches notes whom a fault disturbs.
func (r *run) markAffected(f fault) {
	until := time.Now().Add(f.duration)
	switch {
	case f.process != nil:
		f.process.markFault(until)
	case !f.planned:
		r.simulation.markFault(until)
	}
}
