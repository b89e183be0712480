package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/samphirequay/samphirequay/platform/platformtest"
)

// Config configures a run.
type Config struct {
	// Dir is the folder that the script and the run share.
	Dir     string
	Seed    uint64
	Daemons int
	// Callers is the number of concurrent callers.
	Callers int
	// Scenario selects the faults.
	Scenario Scenario
	// Duration is how long faults are injected.
	Duration time.Duration
	// Out receives a line for each fault and each violation, and the result.
	Out io.Writer
}

const (
	// startLimit is the timeout for all daemons to become ready.
	startLimit = 60 * time.Second
	// recoveryTime is the time after the last fault within which the daemons must
	// again serve nearly all requests.
	recoveryTime = 12 * time.Second
	// measurementTime is how long requests are counted after recoveryTime.
	measurementTime = 3 * time.Second
	// minServedShare is the minimum share of the expected requests that must be
	// served during measurementTime. It is below 1 because on a busy host a few
	// requests are answered too late.
	minServedShare  = 0.97
	meanCallerPause = 120 * time.Millisecond
)

// Scenario is a set of faults.
type Scenario string

const (
	// Mixed draws single faults of all kinds.
	Mixed Scenario = "mixed"
	// Restarts kills most daemons at once, again and again, while the runners refuse
	// nearly all requests.
	Restarts Scenario = "restarts"
	// Restores is Mixed with a store that comes back from older copies.
	Restores Scenario = "restores"
	// Releases replaces the engines by others of new and former versions while it kills,
	// suspends or stops all, nearly all or single daemons.
	Releases Scenario = "releases"
	// MisbehavingCallers has callers that leave in the middle of a body, read slowly and open more
	// connections than a daemon may have, beside planned stops and starts during returns of
	// the store.
	MisbehavingCallers Scenario = "callers"
	// Lagging replaces the engines by others of new versions while one daemon lags behind
	// and is then left alone without the store.
	Lagging Scenario = "lagging"
)

// Scenarios lists all scenarios.
var Scenarios = []Scenario{Mixed, Restarts, Restores, Releases, MisbehavingCallers, Lagging}

type run struct {
	cfg         Config
	simulation  *simulation
	checker     *checker
	processes   []*process
	served      atomic.Int64
	expected    atomic.Int64
	misbehaving misbehavingCallers
	// reconnect is set once all callers must open new connections.
	reconnect atomic.Bool
}

// Run runs the faults of one seed. It writes each violation to cfg.Out and returns
// an error with the number of violations, if there are any.
func Run(ctx context.Context, cfg Config) error {
	r := &run{cfg: cfg, checker: newChecker()}
	if err := r.provision(); err != nil {
		return err
	}
	defer r.close()
	if err := r.awaitReady(ctx); err != nil {
		return err
	}
	done := make(chan struct{})
	var callers sync.WaitGroup
	r.startCallers(done, &callers)
	if cfg.Scenario == MisbehavingCallers {
		r.startMisbehavingCallers(done, &callers)
	}
	callers.Go(func() { r.rotateKeys(done) })
	callers.Go(func() { r.simulation.keepCopies(done) })
	err := r.inject(ctx)
	if err == nil {
		r.checkRecovery(ctx)
	}
	close(done)
	callers.Wait()
	if err != nil {
		return err
	}
	r.checker.checkFinal(r.simulation)
	return r.report()
}

func (r *run) provision() error {
	free := portsForSeed(r.cfg.Seed)
	var err error
	if r.simulation, err = newSimulation(r.checker, r.cfg.Daemons, r.cfg.Scenario); err != nil {
		return err
	}
	for i := range r.cfg.Daemons {
		p, err := newProcess(r.cfg.Dir, fmt.Sprintf("d%d", i+1), fmt.Sprintf("domain-%d", i%4), r.simulation.store.Address(), free)
		if err != nil {
			return err
		}
		r.processes = append(r.processes, p)
	}
	r.checker.processes = r.processes
	return nil
}

func (r *run) close() {
	for _, p := range r.processes {
		p.close()
	}
	r.simulation.close()
}

// recordError records an error of the run itself as a violation.
func (r *run) recordError(err error) {
	if err != nil {
		r.checker.violation("run failed: %v", err)
	}
}

// awaitReady waits until all daemons are ready.
func (r *run) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	for _, p := range r.processes {
		for !platformtest.Ready(ctx, p.settings.Listen.Ready) {
			select {
			case <-ctx.Done():
				return eris.Errorf("%s was not ready within %v; see its log in %s", p.name, startLimit, r.cfg.Dir)
			case <-time.After(50 * time.Millisecond):
			}
		}
	}
	return nil
}

func (r *run) startCallers(done <-chan struct{}, wg *sync.WaitGroup) {
	for i := range r.cfg.Callers {
		c := newCaller(r, i)
		wg.Go(func() { c.run(done, r.processes, meanCallerPause) })
	}
}

// rotateKeys rotates the key of rotatingTeam every rotationInterval until done is
// closed, regardless of faults.
func (r *run) rotateKeys(done <-chan struct{}) {
	ticker := time.NewTicker(rotationInterval)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
			r.simulation.rotateKey()
		}
	}
}

// inject injects the planned faults. All are reverted when it returns.
func (r *run) inject(ctx context.Context) error {
	rng := rand.New(rand.NewPCG(r.cfg.Seed, 1))
	start := time.Now()
	r.simulation.overloaded.Store(r.cfg.Scenario == Restarts)
	defer r.simulation.overloaded.Store(false)
	var reverts sync.WaitGroup
	defer reverts.Wait()
	for _, f := range r.plan(rng, r.cfg.Duration) {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(time.Until(start.Add(f.start))):
		}
		fmt.Fprintf(r.cfg.Out, "%7.3f s %s for %.1f s\n", f.start.Seconds(), f.name, f.duration.Seconds())
		r.markAffected(f)
		f.inject()
		if f.revert != nil {
			reverts.Go(func() {
				time.Sleep(f.duration)
				f.revert()
			})
		}
	}
	return nil
}

// checkRecovery waits for recoveryTime and then checks the share of served requests
// over measurementTime.
func (r *run) checkRecovery(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-time.After(recoveryTime - callerTimeout):
	}
	// Callers open new connections: a fault may have left an idle connection dead,
	// and with many daemons some connections are not used again before now. Closing
	// dead connections is the callers' responsibility, not the daemons'.
	r.reconnect.Store(true)
	time.Sleep(callerTimeout)
	served, expected := r.served.Load(), r.expected.Load()
	time.Sleep(measurementTime)
	served, expected = r.served.Load()-served, r.expected.Load()-expected
	if float64(served) < minServedShare*float64(expected) || expected == 0 {
		r.checker.violation("recovery: %d of %d requests served %v after the last fault", served, expected, recoveryTime)
	}
}

// addRoute adds a route and checks that stable daemons serve it within configTime.
func (r *run) addRoute() {
	path := r.simulation.addRoute()
	time.AfterFunc(configTime, func() {
		at := time.Now()
		if !r.simulation.stable(at) {
			return
		}
		for _, p := range r.processes {
			if p.stable(at) && !r.routeServed(p, path) && p.stable(time.Now()) {
				r.checker.violation("configuration: %s does not serve %s %v after the change", p.name, path, configTime)
			}
		}
	})
}

func (r *run) routeServed(p *process, path string) bool {
	c := newCaller(r, -1)
	defer c.closeConns()
	k := requestKind{name: "added", method: "GET", path: path, repeatable: true}
	o := c.call(p, k, strings.ReplaceAll("added"+path+p.name, "/", "-"))
	return o.answer.Status != http.StatusNotFound
}

// report writes the violations and the result, and returns an error if there are
// violations.
func (r *run) report() error {
	r.checker.mu.Lock()
	defer r.checker.mu.Unlock()
	for _, line := range r.checker.violations {
		fmt.Fprintf(r.cfg.Out, "BROKEN %s\n", line)
	}
	for _, line := range r.simulation.arrivals.summary() {
		fmt.Fprintln(r.cfg.Out, line)
	}
	var outcomes []string
	for label, n := range r.checker.outcomes {
		outcomes = append(outcomes, fmt.Sprintf("%s: %d", label, n))
	}
	slices.Sort(outcomes)
	fmt.Fprintf(r.cfg.Out, "seed=%d daemons=%d requests=%d served=%d %s %s broken=%d (%s)\n", r.cfg.Seed, r.cfg.Daemons,
		r.expected.Load(), r.served.Load(), r.simulation.versions.summary(), r.misbehaving.summary(), len(r.checker.violations), strings.Join(outcomes, ", "))
	if n := len(r.checker.violations); n > 0 {
		return eris.Errorf("%d guarantees were violated with seed %d", n, r.cfg.Seed)
	}
	return nil
}
