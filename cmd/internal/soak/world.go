package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
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

// drainTime is how long a runner may still get requests after the store has
// accepted that it leaves, and configTime how long a route may take until it is
// in force, each with what a busy host adds.
const (
	drainTime  = 2*time.Second + slack
	configTime = 2*time.Second + slack
	slack      = 1500 * time.Millisecond
)

// runner is a stand-in behind a proxy of its own.
type runner struct {
	*platformtest.Runner
	proxy *platformtest.Proxy
	// leaving is when it was registered as leaving, zero before.
	leaving time.Time
}

// world is the platform as the daemons of a run see it.
type simulation struct {
	// calmness is that of the store and of the ways to runners.
	stability
	store *platformtest.Store

	mu      sync.Mutex
	runners []*runner
	started int
	routes  []any
	version int
	// ran counts the runs of each request.
	runCounts map[string]int
	checker   *checker
	teams     *teams
}

// plainRunners is how many plain runners a fleet needs: with fewer, what some
// refuse on purpose takes the room of requests that they should serve.
func plainRunners(daemons int) int { return max(4, daemons*3/4) }

// engineRunners is how many engines a fleet needs, likewise.
func engineRunners(daemons int) int { return max(6, daemons) }

func newSimulation(judge *checker, daemons int) (*simulation, error) {
	store, err := platformtest.StartStore()
	if err != nil {
		return nil, err
	}
	w := &simulation{store: store, runCounts: map[string]int{}, checker: judge, version: 1, teams: newTeams()}
	w.routes = []any{
		route("idempotent", pathIdem, "idempotent", plainSvc, false),
		route("once", pathOnce, "non_idempotent", plainSvc, false),
		route("stream", pathStream, "stream", engineSvc, false),
		route("resume", pathResume, "stream", engineSvc, true),
	}
	w.configure()
	for range plainRunners(daemons) {
		if err := w.addRunner(plainSvc, ""); err != nil {
			return nil, err
		}
	}
	for i := range engineRunners(daemons) {
		if err := w.addRunner(engineSvc, []string{"prefill", "decode", "decode"}[i%3]); err != nil {
			return nil, err
		}
	}
	return w, nil
}

func route(name, prefix, kind, service string, resumable bool) map[string]any {
	return platformtest.Route(callHost, name, prefix, kind, service, map[string]any{"resumable": resumable, "timeoutMs": routeTimeMS})
}

// configure writes the configuration under a higher version.
func (w *simulation) configure() {
	w.version += 1 + w.version%3
	services := []any{platformtest.PlainService(plainSvc, 200), platformtest.EngineService(engineSvc, 200, 16, 3)}
	w.store.Configure(platformtest.Config(w.version, w.routes, services, w.teams.rows()))
}

// addRoute adds a route and returns its path.
func (w *simulation) addRoute() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	path := fmt.Sprintf("/added/%d/", w.version)
	w.routes = append(w.routes, route(path, path, "idempotent", plainSvc, false))
	w.configure()
	return path
}

// turnKey replaces the turning team's key.
func (w *simulation) rotateKey() {
	w.mu.Lock()
	defer w.mu.Unlock()
	accepted := w.teams.rotateKey()
	w.configure()
	accepted()
}

// addRunner starts and registers a runner.
func (w *simulation) addRunner(service, stage string) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.started++
	r, err := platformtest.StartRunner(fmt.Sprintf("i-%d", w.started), service, stage)
	if err != nil {
		return err
	}
	r.Slots, r.Events, r.Gap = 16, streamSize, eventGap
	proxy, err := platformtest.StartProxy(r.Address())
	if err != nil {
		return err
	}
	made := &runner{Runner: r, proxy: proxy}
	r.Answer(func(x *platformtest.Exchange) { w.answer(made, x) })
	w.runners = append(w.runners, made)
	w.register(made, platformtest.StateReady)
	return nil
}

func (w *simulation) register(r *runner, state string) {
	w.store.Register(r.Runner, state, r.proxy.Address())
}

// tellStage registers a runner anew that has changed its stage.
func (w *simulation) registerStage(r *runner) {
	w.mu.Lock()
	defer w.mu.Unlock()
	state := platformtest.StateReady
	if !r.leaving.IsZero() {
		state = platformtest.StateLeaving
	}
	w.register(r, state)
}

// answer is a runner's answer: it names the request, so that a mixed up answer
// shows, and every run is counted.
func (w *simulation) answer(r *runner, x *platformtest.Exchange) {
	if x.RequestID() != "" {
		w.teams.checkForwarded(w.checker, x)
	}
	if !x.MeantToRun() {
		before := r.Stage()
		x.Usual()
		if r.Stage() != before {
			w.registerStage(r)
		}
		return
	}
	number := requestNumber(x.RequestID())
	if number%refuseEvery == 0 {
		x.Refuse(http.StatusServiceUnavailable)
		return
	}
	runs := w.recordRun(r, x.RequestID())
	w.teams.recordRun(x.RequestID())
	if r.Stage() == "" && number%failEvery == 0 {
		x.Whole(http.StatusInternalServerError, "failed", x.Signed())
		return
	}
	if r.Stage() == "" {
		x.Whole(http.StatusOK, plainBody(x.RequestID()), x.Signed(), "Content-Type: text/plain")
		return
	}
	first := x.FirstEvent()
	if number%breakEvery == 0 && runs == 1 {
		x.Stream(first, streamSize/2, false)
		return
	}
	x.Stream(first, streamSize, true)
}

// Runners refuse, fail or break off in the middle every so many requests.
const (
	refuseEvery = 17
	failEvery   = 23
	breakEvery  = 19
)

// failsAtRunners says whether the runners themselves keep a request from being
// served.
func failsByDesign(id string, k requestKind) bool {
	n := requestNumber(id)
	switch {
	case n%refuseEvery == 0:
		return true
	case k.stream:
		return n%breakEvery == 0 && !k.repeatable
	default:
		return n%failEvery == 0
	}
}

// requestNumber is the number at the end of a request's id.
func requestNumber(id string) int {
	n, err := strconv.Atoi(id[strings.LastIndex(id, "-")+1:])
	if err != nil {
		return 1
	}
	return n
}

// plainBody is what a runner answers to a call.
func plainBody(request string) string { return "answer to " + request }

// note counts a run, and finds one at a runner that has left. It returns how
// often the request has run.
func (w *simulation) recordRun(r *runner, request string) int {
	now := time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runCounts[request]++
	late := !r.leaving.IsZero() && now.After(r.leaving.Add(drainTime))
	if late && w.checker.allStable(now) && w.stable(now) {
		w.checker.violation("draining: %s ran at %s, %v after that registered as leaving", request, r.ID, now.Sub(r.leaving))
	}
	return w.runCounts[request]
}

// runs is how often a request ran.
func (w *simulation) runs(request string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runCounts[request]
}

// replaceRunner has one runner of a service leave and another come. The one that
// leaves goes on serving until the run ends.
func (w *simulation) replaceRunner(rng *rand.Rand) error {
	w.mu.Lock()
	var sound []*runner
	for _, r := range w.runners {
		if r.leaving.IsZero() {
			sound = append(sound, r)
		}
	}
	r := sound[rng.IntN(len(sound))]
	r.leaving = time.Now()
	w.register(r, platformtest.StateLeaving)
	w.mu.Unlock()
	return w.addRunner(r.Service, r.Stage())
}

// someRunner picks a runner.
func (w *simulation) randomRunner(rng *rand.Rand) *runner {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runners[rng.IntN(len(w.runners))]
}

func (w *simulation) close() {
	for _, r := range w.runners {
		r.proxy.Close()
		r.Close()
	}
	w.store.Close()
}
