package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"github.com/samphirequay/samphirequay/platform/platformtest"
)

// Bounds of a run with releases.
const (
	// releaseGap is the pause between the events of a stream, long enough for most streams
	// to be under way when daemons are killed.
	releaseGap = 100 * time.Millisecond
	// minReleasePause and maxReleasePause bound the time between the starts of two releases:
	// several may happen while a stream lasts.
	minReleasePause = 1 * time.Second
	maxReleasePause = 8 * time.Second
	// maxStepPause bounds the time between two engines of one release.
	maxStepPause = 500 * time.Millisecond
	// minLinger and maxLinger bound how long an engine serves on after it has left.
	minLinger = 2 * time.Second
	maxLinger = 5 * time.Second
	// Up to maxHerds faults of many daemons follow the start of a release, with
	// minHerdPause to maxHerdPause before each.
	maxHerds     = 2
	minHerdPause = 300 * time.Millisecond
	maxHerdPause = 3 * time.Second
	// minSuspension and maxSuspension bound the suspension of all daemons.
	minSuspension = 1 * time.Second
	maxSuspension = 2500 * time.Millisecond
	// returnEvery is one in how many releases brings a version back that had gone.
	returnEvery = 3
)

// streamKinds are the requests of a run with releases: most are streams that callers may
// take up.
var streamKinds = []requestKind{kinds[0], kinds[1], kinds[2], kinds[3], kinds[3], kinds[3], kinds[3]}

// kindsOf returns the requests of a scenario's callers.
func kindsOf(s Scenario) []requestKind {
	if s == Releases || s == Lagging {
		return streamKinds
	}
	return kinds
}

// between draws a time between two bounds.
func between(rng *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(rng.Int64N(int64(high-low)))
}

// planReleases draws a series of releases, and faults of many daemons at once beside and
// after each, which overlap.
func (r *run) planReleases(rng *rand.Rand, length time.Duration) []fault {
	engines := engineRunners(r.cfg.Daemons, 1)
	var out []fault
	newest, current := 1, 1
	for at := minReleasePause; at < length; at += between(rng, minReleasePause, maxReleasePause) {
		former := current
		if current = rng.IntN(newest) + 1; current == former || rng.IntN(returnEvery) != 0 {
			newest++
			current = newest
		}
		out = append(out, r.planRelease(rng, at, fmt.Sprintf("v%d", current), engines)...)
		herd := at
		for range rng.IntN(maxHerds + 1) {
			herd += between(rng, minHerdPause, maxHerdPause)
			f := r.herdFault(rng)
			f.start = herd
			out = append(out, f)
		}
	}
	return inOrder(out, length)
}

// inOrder returns the faults that start before the end of a run, in the order of their starts.
func inOrder(faults []fault, length time.Duration) []fault {
	faults = slices.DeleteFunc(faults, func(f fault) bool { return f.start >= length })
	slices.SortStableFunc(faults, func(a, b fault) int { return int(a.start - b.start) })
	return faults
}

// planRelease draws the steps of one release: of all engines or half of them, at once or one
// after the other. Either all of those that leave announce it, or none, or some.
func (r *run) planRelease(rng *rand.Rand, at time.Duration, software string, engines int) []fault {
	if rng.IntN(2) == 0 {
		engines /= 2
	}
	announcedOf := func() bool { return rng.IntN(2) == 0 }
	if rng.IntN(3) != 0 {
		always := announcedOf()
		announcedOf = func() bool { return always }
	}
	var pause time.Duration
	if rng.IntN(2) == 0 {
		pause = time.Duration(rng.Int64N(int64(maxStepPause)))
	}
	var out []fault
	for i := range engines {
		f := r.releaseStep(software, announcedOf(), between(rng, minLinger, maxLinger))
		f.start = at + time.Duration(i)*pause
		out = append(out, f)
	}
	return out
}

// releaseStep returns a planned change: an engine of a version comes, and one of another
// version leaves, which either announces that or only loses its entry.
func (r *run) releaseStep(software string, announced bool, linger time.Duration) fault {
	return fault{
		name:    fmt.Sprintf("engine of software %s, another leaves (announced %v, serves on for %.1f s)", software, announced, linger.Seconds()),
		planned: true,
		inject:  func() { r.recordError(r.simulation.releaseEngine(software, announced, linger)) },
	}
}

// herdFault draws a fault of one, nearly all or all daemons.
func (r *run) herdFault(rng *rand.Rand) fault {
	all := len(r.processes)
	order := make([]*process, all)
	for i, n := range rng.Perm(all) {
		order[i] = r.processes[n]
	}
	switch rng.IntN(6) {
	case 0:
		f := signalFault("stop "+order[0].name, syscall.SIGTERM, order[0])
		f.duration = gracePeriodS * time.Second
		return f
	case 1:
		return signalFault(fmt.Sprintf("kill all daemons but %s", order[0].name), syscall.SIGKILL, order[1:]...)
	case 2:
		f := signalFault("suspend all daemons", syscall.SIGSTOP, order...)
		f.duration = between(rng, minSuspension, maxSuspension)
		f.revert = signalFault("", syscall.SIGCONT, order...).inject
		return f
	default:
		return signalFault("kill all daemons", syscall.SIGKILL, order...)
	}
}

// releaseEngine starts an engine of a version in place of the oldest one of another, which
// serves on for a while.
func (s *simulation) releaseEngine(software string, announced bool, linger time.Duration) error {
	old := s.oldestOther(software)
	if old == nil {
		return nil
	}
	if err := s.addRunnerOf(engineSvc, old.Stage(), software); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old.leaving, old.state = time.Now(), stateGone
	if announced {
		old.state = platformtest.StateLeaving
		old.Leave()
	}
	s.register(old)
	time.AfterFunc(linger, func() { s.endRunner(old) })
	return nil
}

// oldestOther returns the oldest ready engine that isn't of the given version; nil for none.
func (s *simulation) oldestOther(software string) *runner {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.runners {
		if r.Service == engineSvc && r.state == platformtest.StateReady && r.Software != software {
			return r
		}
	}
	return nil
}

// endRunner ends the process of a runner that has left.
func (s *simulation) endRunner(r *runner) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r.state = stateGone
	s.register(r)
	r.Crash()
}

// serves reports whether the platform has had no fault of late and minEngines decode engines
// of a version are registered as ready.
func (s *simulation) serves(software string) bool {
	if !s.stable(time.Now()) {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	engines := 0
	for _, r := range s.runners {
		if r.state == platformtest.StateReady && r.Software == software && r.Stage() == "decode" {
			engines++
		}
	}
	return engines >= minEngines
}
