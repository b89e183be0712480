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

// Config of a run.
type Config struct {
	// Dir is the folder that the script and the run share.
	Dir     string
	Seed    uint64
	Daemons int
	// Callers send at the same time.
	Callers int
	// Length is for how long faults are injected.
	Length time.Duration
	// Out takes a line for each fault and the result.
	Out io.Writer
}

const (
	// startLimit bounds the start of the daemons.
	startLimit = 60 * time.Second
	// recovery is how long the daemons have, once all faults are over, until
	// nearly all requests are served.
	recoveryTime = 12 * time.Second
	// measured is for how long requests are counted then.
	measurementTime = 3 * time.Second
	// leastServed is the share that must be served then, of the requests that no
	// runner keeps from it. On a busy host one or the other comes too late.
	minServedShare  = 0.97
	meanCallerPause = 120 * time.Millisecond
)

type run struct {
	cfg        Config
	simulation *simulation
	checker    *checker
	processes  []*process
	served     atomic.Int64
	expected   atomic.Int64
	// afresh is set when callers are to open their connections anew.
	reconnect atomic.Bool
}

// Run plays one seed. The error names the broken promises.
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
	callers.Go(func() { r.rotateKeys(done) })
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
	if r.simulation, err = newSimulation(r.checker, r.cfg.Daemons); err != nil {
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

// failed notes an error of the run itself.
func (r *run) recordError(err error) {
	if err != nil {
		r.checker.violation("the run itself: %v", err)
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
				return eris.Errorf("%s was not ready within %v: its log is in %s", p.name, startLimit, r.cfg.Dir)
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

// turnKeys replaces the turning team's key again and again, whatever else goes on.
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

// inject plays the faults; all are over when it returns.
func (r *run) inject(ctx context.Context) error {
	rng := rand.New(rand.NewPCG(r.cfg.Seed, 1))
	begun := time.Now()
	var ends sync.WaitGroup
	defer ends.Wait()
	for _, f := range r.plan(rng, r.cfg.Length) {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(time.Until(begun.Add(f.start))):
		}
		fmt.Fprintf(r.cfg.Out, "%7.3f s %s for %.1f s\n", f.start.Seconds(), f.name, f.duration.Seconds())
		r.markAffected(f)
		f.inject()
		if f.revert != nil {
			ends.Go(func() {
				time.Sleep(f.duration)
				f.revert()
			})
		}
	}
	return nil
}

// recover waits and then counts how many requests are served.
func (r *run) checkRecovery(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-time.After(recoveryTime - callerTimeout):
	}
	// Connections that a fault has left dead are the callers' to give up: with
	// many daemons some are first used now.
	r.reconnect.Store(true)
	time.Sleep(callerTimeout)
	served, asked := r.served.Load(), r.expected.Load()
	time.Sleep(measurementTime)
	served, asked = r.served.Load()-served, r.expected.Load()-asked
	if float64(served) < minServedShare*float64(asked) || asked == 0 {
		r.checker.violation("recovery: %d of %d requests served %v after the last fault", served, asked, recoveryTime)
	}
}

// addRoute adds a route and checks that calm daemons know it in time.
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

// report writes the result.
func (r *run) report() error {
	r.checker.mu.Lock()
	defer r.checker.mu.Unlock()
	for _, line := range r.checker.violations {
		fmt.Fprintf(r.cfg.Out, "BROKEN %s\n", line)
	}
	var outcomes []string
	for what, n := range r.checker.outcomes {
		outcomes = append(outcomes, fmt.Sprintf("%s: %d", what, n))
	}
	slices.Sort(outcomes)
	fmt.Fprintf(r.cfg.Out, "seed=%d daemons=%d requests=%d served=%d broken=%d (%s)\n", r.cfg.Seed, r.cfg.Daemons,
		r.expected.Load(), r.served.Load(), len(r.checker.violations), strings.Join(outcomes, ", "))
	if n := len(r.checker.violations); n > 0 {
		return eris.Errorf("%d promises were broken with seed %d", n, r.cfg.Seed)
	}
	return nil
}
