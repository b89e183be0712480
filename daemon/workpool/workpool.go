// Package workpool runs short tasks, such as a store call or an order, on a
// bounded pool of goroutines. A full pool refuses a task, which its caller
// reports as "not run".
package workpool

import (
	"sync"

	"github.com/panjf2000/ants/v2"
	"github.com/rotisserie/eris"

	"github.com/samphirequay/samphirequay/daemon/metrics"
)

// Pool is a bounded pool of workers.
type Pool struct {
	workers *ants.Pool
	refused *metrics.Counter
	// registry counts panics as violated invariants.
	registry *metrics.Registry

	mu      sync.RWMutex
	closed  bool
	running sync.WaitGroup
}

// New returns a pool of at most size workers, whose metrics contain its name. A
// panic of a task is counted as a violated invariant and ends that task only.
func New(name string, size int, registry *metrics.Registry) (*Pool, error) {
	p := &Pool{registry: registry}
	workers, err := ants.NewPool(size, ants.WithNonblocking(true))
	if err != nil {
		return nil, eris.Wrapf(err, "workpool: %s with %d workers", name, size)
	}
	p.workers = workers
	p.refused = registry.Counter("workpool_"+name+"_refused", metrics.UnitCount, "Tasks refused because all workers were busy.")
	registry.GaugeFunc("workpool_"+name+"_running", metrics.UnitCount, "Workers that run a task.", func() float64 {
		return float64(workers.Running())
	})
	return p, nil
}

// Submit runs task on a worker. It never waits: it returns false if all workers
// are busy or the pool is closed, and the task then does not run.
func (p *Pool) Submit(task func()) bool {
	p.mu.RLock()
	defer p.mu.RUnlock()
	if p.closed {
		return false
	}
	p.running.Add(1)
	err := p.workers.Submit(func() {
		defer p.running.Done()
		defer p.countPanic()
		task()
	})
	if err != nil {
		p.running.Done()
		p.refused.Inc()
		return false
	}
	return true
}

// countPanic recovers from a panic of a task and counts it. It runs before the
// task is marked as done, so that the count is complete when Close returns.
func (p *Pool) countPanic() {
	if cause := recover(); cause != nil {
		p.registry.Violation("workpool_task_panicked", eris.Errorf("%v", cause).Error())
	}
}

// Refused returns the number of tasks refused because all workers were busy.
func (p *Pool) Refused() int64 { return p.refused.Value() }

// Close refuses new tasks, waits for the running tasks, and stops the workers.
func (p *Pool) Close() {
	p.mu.Lock()
	alreadyClosed := p.closed
	p.closed = true
	p.mu.Unlock()
	p.running.Wait()
	if !alreadyClosed {
		p.workers.Release()
	}
}
