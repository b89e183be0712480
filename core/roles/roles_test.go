package roles

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/live"
	"github.com/samphirequay/samphirequay/core/sched"
)

func engines(n int, name string) []sched.EngineDemand {
	var out []sched.EngineDemand
	for i := range n {
		out = append(out, sched.EngineDemand{Endpoint: id.Endpoint(fmt.Sprintf("%s%02d", name, i))})
	}
	return out
}

const perEngine = 1000

// pool is a pool whose work is set by the test.
type pool struct {
	d       *Decider
	demand  sched.Demand
	now     time.Duration
	changes []Change
}

func newPool(prefills, decodes int) *pool {
	return &pool{d: New(Config{}), demand: sched.Demand{
		Prefills: engines(prefills, "p"),
		Decodes:  engines(decodes, "d"),
		Memory:   decodes * perEngine,
	}}
}

// run simulates length of time with the given numbers of busy prefill and decode
// engines. If apply is set, changes take effect immediately.
func (p *pool) run(length time.Duration, prefills, decodes float64, apply bool) {
	const step = 200 * time.Millisecond
	for end := p.now + length; p.now < end; p.now += step {
		p.demand.PrefillWork += time.Duration(prefills * float64(step))
		p.demand.MemoryHeld = int(decodes * perEngine)
		p.d.Observe(p.now, p.demand)
		c := p.d.Decide(p.now, p.demand)
		if c == nil {
			continue
		}
		p.changes = append(p.changes, *c)
		p.d.Changed(p.now)
		if apply {
			p.move(c)
		}
	}
}

func (p *pool) move(c *Change) {
	from, to := &p.demand.Decodes, &p.demand.Prefills
	if c.To == live.RoleDecode {
		from, to = to, from
	}
	for i, e := range *from {
		if e.Endpoint == c.Endpoint {
			*from = append((*from)[:i], (*from)[i+1:]...)
			*to = append(*to, e)
			break
		}
	}
	p.demand.Memory = len(p.demand.Decodes) * perEngine
}

func TestInitialDivisionNeedsNoWork(t *testing.T) {
	is := is.New(t)
	p := newPool(7, 11)
	p.run(20*time.Second, 0, 0, true)
	is.Equal(len(p.demand.Prefills), 4)
	is.Equal(len(p.changes), 3)
}

func TestDivisionFollowsWork(t *testing.T) {
	is := is.New(t)
	p := newPool(4, 14)
	p.run(2*time.Minute, 4, 4, true)
	is.True(len(p.demand.Prefills) >= 8 && len(p.demand.Prefills) <= 10)
	p.run(2*time.Minute, 1, 8, true)
	is.True(len(p.demand.Prefills) <= 4)
}

// TestQueueDoesNotReducePrefillEngines: waiting requests show a shortage of engines,
// but not of which role, so they must not change the division.
func TestQueueDoesNotReducePrefillEngines(t *testing.T) {
	is := is.New(t)
	p := newPool(4, 14)
	p.demand.MemoryWanted = 20 * perEngine
	p.run(time.Minute, 3, 13, true)
	is.Equal(len(p.demand.Prefills), 4)
}

func TestSmallWorkChangesKeepDivision(t *testing.T) {
	is := is.New(t)
	p := newPool(4, 14)
	p.run(time.Minute, 2, 8, true)
	p.changes = nil
	p.run(time.Minute, 2.3, 8, true)
	p.run(time.Minute, 1.8, 8, true)
	is.Equal(len(p.changes), 0)
}

func TestDrainedEngineCountsForNextRole(t *testing.T) {
	is := is.New(t)
	p := newPool(5, 13)
	p.demand.Prefills[0].Drained = true
	p.run(10*time.Second, 0, 0, false)
	is.Equal(len(p.changes), 0)
}

func TestRoleWithoutEnginesGetsOne(t *testing.T) {
	is := is.New(t)
	p := newPool(0, 3)
	p.run(time.Second, 0, 0, true)
	is.Equal(len(p.demand.Prefills), 1)
	p = newPool(2, 0)
	p.run(time.Second, 0, 0, true)
	is.Equal(len(p.demand.Decodes), 1)
	p = newPool(1, 0)
	p.run(time.Second, 0, 0, true)
	is.Equal(len(p.changes), 0) // one engine can't have both roles
}
