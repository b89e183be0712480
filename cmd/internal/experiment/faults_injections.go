package experiment

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/samphirequay/samphirequay/cmd/internal/fleet"
	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/daemon/endpoints"
	"github.com/samphirequay/samphirequay/daemon/peer"
	"github.com/samphirequay/samphirequay/endpoint/wire"
	"github.com/samphirequay/samphirequay/standin"
)

// faultTarget is the fleet, with its site and callers, that faults are injected
// into.
type faultTarget struct {
	fleet *fleet.Fleet
	site  standin.PlatformConfig
	rng   *rand.Rand
	// hangUps selects the callers that hang up.
	hangUps *hangUps
}

// injection is a fault with a start and an end.
type injection struct {
	begin func(ctx context.Context, s *faultTarget) error
	end   func(ctx context.Context, s *faultTarget) error
}

func noFault(context.Context, *faultTarget) error { return nil }

// Parameters of the faults.
const (
	// stageWait bounds the wait for an engine with a request in the wanted stage.
	stageWait  = time.Second
	stagePause = 2 * time.Millisecond
	// repeatPause is the time between two injections of the same fault.
	repeatPause    = 700 * time.Millisecond
	slowFactor     = 8.0
	slowTableMS    = 600
	faultyShare    = 0.5
	stalledEngines = 3
)

// killDaemon kills a daemon that does not schedule the pool, and replaces it at the
// end.
func killDaemon() injection {
	member := -1
	return injection{
		begin: func(_ context.Context, s *faultTarget) error {
			member = s.randomDaemon(s.owner())
			s.fleet.Kill(member)
			return nil
		},
		end: func(_ context.Context, s *faultTarget) error { return s.fleet.Replace(member) },
	}
}

// randomDaemon returns the index of a random member whose daemon runs, other than
// the excluded member.
func (s *faultTarget) randomDaemon(excluded int) int {
	for {
		i := s.rng.IntN(s.fleet.Members())
		if i != excluded && s.fleet.Daemon(i) != nil {
			return i
		}
	}
}

// owner returns the index of the member whose daemon schedules the pool.
func (s *faultTarget) owner() int { return s.fleet.OwnerIndex(id.Pool(s.site.ModelService)) }

// killOwner kills the daemon that schedules the pool, and replaces it at the end.
func killOwner() injection {
	member := -1
	return injection{
		begin: func(_ context.Context, s *faultTarget) error {
			member = s.owner()
			s.fleet.Kill(member)
			return nil
		},
		end: func(_ context.Context, s *faultTarget) error { return s.fleet.Replace(member) },
	}
}

// crashEngine crashes an engine that has a request in the given stage.
func crashEngine(stage string) injection {
	return injection{end: noFault, begin: func(ctx context.Context, s *faultTarget) error {
		name := s.findEngine(ctx, stage)
		return s.fleet.Inject(wire.Fault{Target: name, Crash: true})
	}}
}

// findEngine returns an engine that has a request in the given stage. If there is
// none within stageWait, it returns any engine of the role.
func (s *faultTarget) findEngine(ctx context.Context, stage string) string {
	clients := endpoints.New(nil)
	deadline := time.Now().Add(stageWait)
	engines := s.engines(roleOf(stage))
	for time.Now().Before(deadline) {
		s.rng.Shuffle(len(engines), func(i, j int) { engines[i], engines[j] = engines[j], engines[i] })
		for _, i := range engines {
			list, err := clients.Engine(s.fleet.EngineAddresses()[i]).Requests(ctx)
			if err == nil && holdsStage(list, stage) {
				return s.site.Engines[i].Name
			}
		}
		if !sleepFor(ctx, stagePause) {
			break
		}
	}
	return s.site.Engines[engines[0]].Name
}

func holdsStage(list wire.RequestList, stage string) bool {
	for _, r := range list.Requests {
		if r.Stage == stage {
			return true
		}
	}
	return false
}

// roleOf returns the role of the engines that have a stage.
func roleOf(stage string) string {
	if stage == standin.RolePrefill {
		return standin.RolePrefill
	}
	return standin.RoleDecode
}

// engines returns the indexes of the engines of a role in the site.
func (s *faultTarget) engines(role string) []int {
	var out []int
	for i, e := range s.site.Engines {
		if e.Role == role {
			out = append(out, i)
		}
	}
	return out
}

// standInFault returns a fault of some stand-ins: on starts it and off ends it.
func standInFault(targets func(s *faultTarget) []string, on, off wire.Fault) injection {
	apply := func(s *faultTarget, f wire.Fault) error {
		for _, target := range targets(s) {
			f.Target = target
			if err := s.fleet.Inject(f); err != nil {
				return err
			}
		}
		return nil
	}
	return injection{
		begin: func(_ context.Context, s *faultTarget) error { return apply(s, on) },
		end:   func(_ context.Context, s *faultTarget) error { return apply(s, off) },
	}
}

func targetNames(targets ...string) func(*faultTarget) []string {
	return func(*faultTarget) []string { return targets }
}

// firstOf returns the names of the first n engines of each role.
func firstOf(n int, roles ...string) func(*faultTarget) []string {
	return func(s *faultTarget) []string {
		var out []string
		for _, role := range roles {
			for _, i := range s.engines(role)[:n] {
				out = append(out, s.site.Engines[i].Name)
			}
		}
		return out
	}
}

func value[T any](v T) *T { return &v }

// staleHosts replaces a daemon while the host list still contains the old one.
func staleHosts() injection {
	return injection{
		begin: func(_ context.Context, s *faultTarget) error {
			old := s.fleet.Hosts()
			member := s.randomDaemon(s.owner())
			s.fleet.Kill(member)
			err := s.fleet.Replace(member)
			s.fleet.SetHosts(old)
			return err
		},
		end: func(_ context.Context, s *faultTarget) error {
			s.fleet.SetHosts(s.fleet.Hosts())
			return nil
		},
	}
}

// oneWayLoss drops all messages from the pool's owner to every second member, but
// not those in the other direction.
func oneWayLoss() injection {
	member := -1
	return injection{
		begin: func(_ context.Context, s *faultTarget) error {
			member = s.owner()
			s.fleet.Daemon(member).Transport().SetFault(func(to id.Daemon) peer.Drop { return peer.Drop(s.fleet.MemberIndex(to)%2 == 0) })
			return nil
		},
		end: func(_ context.Context, s *faultTarget) error {
			if d := s.fleet.Daemon(member); d != nil {
				d.Transport().SetFault(nil)
			}
			return nil
		},
	}
}

// callersHangUp makes about half of the callers hang up at random times.
func callersHangUp() injection {
	set := func(on bool) func(context.Context, *faultTarget) error {
		return func(_ context.Context, s *faultTarget) error {
			s.hangUps.on.Store(on)
			return nil
		}
	}
	return injection{begin: set(true), end: set(false)}
}

// combine injects two faults, b right after a.
func combine(a, b injection) injection {
	join := func(x, y func(context.Context, *faultTarget) error) func(context.Context, *faultTarget) error {
		return func(ctx context.Context, s *faultTarget) error {
			if err := x(ctx, s); err != nil {
				return err
			}
			return y(ctx, s)
		}
	}
	return injection{begin: join(a.begin, b.begin), end: join(a.end, b.end)}
}

// inSequence injects two faults with a pause between them.
func inSequence(a, b injection) injection {
	pause := injection{end: noFault, begin: func(ctx context.Context, _ *faultTarget) error {
		sleepFor(ctx, repeatPause)
		return nil
	}}
	return combine(combine(a, pause), b)
}
