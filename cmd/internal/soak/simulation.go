package soak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samphirequay/samphirequay/platform/platformtest"
)

// The services and routes of a run.
const (
	callHost    = "soak.example"
	plainSvc    = "desk"
	engineSvc   = "reader"
	pathIdem    = "/idempotent/"
	pathOnce    = "/once/"
	pathStream  = "/stream/"
	pathResume  = "/resume/"
	streamSize  = 20
	eventGap    = 15 * time.Millisecond
	routeTimeMS = 8000
)

// drainTime is how long a runner may still receive requests after the store has
// accepted its state "leaving"; configTime is how long a new route may take to
// become effective. Both include slack for a busy host.
const (
	drainTime  = 2*time.Second + slack
	configTime = 2*time.Second + slack
	slack      = 1500 * time.Millisecond
)

// runner is a simulated runner with its own proxy.
type runner struct {
	*platformtest.Runner
	proxy *platformtest.Proxy
	// state is that of its entry in the store.
	state string
	// leaving is when the runner was registered as leaving, or lost its entry; zero if
	// neither.
	leaving time.Time
}

// stateGone is the state of a runner without an entry in the store.
const stateGone = ""

// simulation is the simulated platform of a run: the store and the runners.
type simulation struct {
	// stability tracks the faults of the store and of the runners' proxies.
	stability
	store *platformtest.Store

	mu      sync.Mutex
	runners []*runner
	started int
	routes  []any
	version int
	// copies are the latest copies of the store, oldest first.
	copies []platformtest.Copy
	// runCounts is the number of runs of each request id.
	runCounts map[string]int
	checker   *checker
	teams     *teams
	arrivals  *arrivals
	versions  *versions
	// software holds the versions of the runners' software.
	software []string
	// unframed is set if some answers end with their connection.
	unframed bool
	// sound is set if runners neither refuse requests nor interrupt streams by design.
	sound bool
	// gap is the pause between the events of a stream.
	gap time.Duration
	// overloaded is set while runners refuse nearly all requests.
	overloaded atomic.Bool
}

// plainRunners returns the number of plain runners for a fleet. With fewer, the
// refusals by design take away the capacity for requests that must be served.
func plainRunners(daemons int) int { return max(4, daemons*3/4) }

// engineRunners returns the number of engines for a fleet, for the same reason. A stream
// may go on at the engines of its version only, so that each version has as many.
func engineRunners(daemons, versions int) int { return versions * max(6, daemons) }

func newSimulation(c *checker, daemons int, scenario Scenario) (*simulation, error) {
	store, err := platformtest.StartStore()
	if err != nil {
		return nil, err
	}
	s := &simulation{store: store, runCounts: map[string]int{}, checker: c, version: 1, teams: newTeams(), arrivals: newArrivals(), versions: newVersions(), software: softwareVersions, unframed: true, gap: eventGap}
	switch scenario {
	case Restarts:
		// Retries alone: what its seeds have shown must stay as it was.
		s.software, s.unframed = softwareVersions[:1], false
	case Releases, Lagging:
		// Those that leave interrupt streams already, and the limit on retries holds.
		s.software, s.gap, s.sound = softwareVersions[:1], releaseGap, true
	case MisbehavingCallers:
		// The limit on retries holds, and stops leave many to retry.
		s.sound = true
	}
	s.routes = []any{
		route("idempotent", pathIdem, "idempotent", plainSvc, false),
		route("once", pathOnce, "non_idempotent", plainSvc, false),
		route("stream", pathStream, "stream", engineSvc, false),
		route("resume", pathResume, "stream", engineSvc, true),
	}
	if scenario == MisbehavingCallers {
		s.routes = append(s.routes, route("long", pathLong, "idempotent", plainSvc, false))
	}
	s.configure()
	for range plainRunners(daemons) {
		if err := s.addRunner(plainSvc, ""); err != nil {
			return nil, err
		}
	}
	for i := range engineRunners(daemons, len(s.software)) {
		if err := s.addRunner(engineSvc, []string{"prefill", "decode", "decode"}[i%3]); err != nil {
			return nil, err
		}
	}
	return s, nil
}

func route(name, prefix, kind, service string, resumable bool) map[string]any {
	return platformtest.Route(callHost, name, prefix, kind, service, map[string]any{"resumable": resumable, "timeoutMs": routeTimeMS})
}

// configure writes the configuration to the store with a higher version.
func (s *simulation) configure() {
	s.version += 1 + s.version%3
	s.writeConfig()
}

// writeConfig writes the present configuration to the store.
func (s *simulation) writeConfig() {
	services := []any{platformtest.PlainService(plainSvc, 200), platformtest.EngineService(engineSvc, 200, 16, 3)}
	s.store.Configure(platformtest.Config(s.version, s.routes, services, s.teams.rows()))
}

// addRoute adds a route and returns its path.
func (s *simulation) addRoute() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	path := fmt.Sprintf("/added/%d/", s.version)
	s.routes = append(s.routes, route(path, path, "idempotent", plainSvc, false))
	s.configure()
	return path
}

// rotateKey replaces the key of rotatingTeam in the configuration.
func (s *simulation) rotateKey() {
	s.mu.Lock()
	defer s.mu.Unlock()
	accepted := s.teams.rotateKey()
	s.configure()
	accepted()
}

// addRunner starts and registers a runner. The versions take turns.
func (s *simulation) addRunner(service, stage string) error {
	s.mu.Lock()
	software := s.software[(s.started+1)%len(s.software)]
	s.mu.Unlock()
	return s.addRunnerOf(service, stage, software)
}

// addRunnerOf starts and registers a runner of a version.
func (s *simulation) addRunnerOf(service, stage, software string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.started++
	r, err := platformtest.StartRunner(fmt.Sprintf("i-%d", s.started), service, stage)
	if err != nil {
		return err
	}
	r.Slots, r.Events, r.Gap, r.Software = 16, streamSize, s.gap, software
	proxy, err := platformtest.StartProxy(r.Address())
	if err != nil {
		return err
	}
	added := &runner{Runner: r, proxy: proxy, state: platformtest.StateReady}
	r.Answer(func(x *platformtest.Exchange) { s.answer(added, x) })
	s.runners = append(s.runners, added)
	s.register(added)
	return nil
}

// register writes the entry of a runner to the store, or removes it.
func (s *simulation) register(r *runner) {
	if r.state == stateGone {
		s.store.Unregister(r.Runner)
		return
	}
	s.store.Register(r.Runner, r.state, r.proxy.Address())
}

// registerStage updates the registration of a runner that has changed its stage.
// Without the update, the pool's owner could order the last engines of a stage to
// change to another.
func (s *simulation) registerStage(r *runner) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.register(r)
}

// replaceRunner registers a random runner as leaving and adds a new runner of the
// same service and stage. The old runner continues to serve until the run ends.
func (s *simulation) replaceRunner(rng *rand.Rand) error {
	s.mu.Lock()
	var active []*runner
	for _, r := range s.runners {
		if r.leaving.IsZero() {
			active = append(active, r)
		}
	}
	r := active[rng.IntN(len(active))]
	r.leaving, r.state = time.Now(), platformtest.StateLeaving
	s.register(r)
	s.mu.Unlock()
	return s.addRunner(r.Service, r.Stage())
}

// randomRunner returns a random runner.
func (s *simulation) randomRunner(rng *rand.Rand) *runner {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runners[rng.IntN(len(s.runners))]
}

func (s *simulation) close() {
	for _, r := range s.runners {
		r.proxy.Close()
		r.Close()
	}
	s.store.Close()
}
