package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"

	"github.com/samphirequay/samphirequay/platform/platformtest"
)

// callerTimeout is how long callers wait for a response.
const callerTimeout = 6 * time.Second

// On average one in abandonEvery requests is abandoned by its caller, within
// maxAbandonDelay.
const (
	abandonEvery    = 40
	maxAbandonDelay = 200 * time.Millisecond
)

// requestKind is a kind of request.
type requestKind struct {
	name   string
	method string
	path   string
	stream bool
	// repeatable is set if a request may run more than once.
	repeatable bool
}

var kinds = []requestKind{
	{name: "idempotent", method: "GET", path: pathIdem, repeatable: true},
	{name: "once", method: "POST", path: pathOnce},
	{name: "stream", method: "POST", path: pathStream, stream: true},
	{name: "resume", method: "POST", path: pathResume, stream: true, repeatable: true},
}

// body returns the expected body of the response to a request of this kind, which begins
// after an event.
func (k requestKind) body(id string, after int) string {
	if k.stream {
		return platformtest.Events(after+1, streamSize)
	}
	return plainBody(id)
}

// service returns the service that requests of this kind are for.
func (k requestKind) service() string {
	if k.stream {
		return engineSvc
	}
	return plainSvc
}

// request returns the bytes of the HTTP request of an outcome.
func (o *outcome) request() string {
	k := o.kind
	r := platformtest.Request{Method: k.method, Target: k.path + "x", Host: callHost, ID: o.id, Body: o.id, Patience: o.patience}
	if k.stream {
		r.Fields = platformtest.Generation(o.id)
	}
	if o.after > 0 {
		r.Fields = append(r.Fields, platformtest.TakeUp(o.resumes, o.after)...)
	}
	r.Fields = append(r.Fields, platformtest.KeyField(o.key))
	return r.Text()
}

// caller sends requests one after another over persistent connections to randomly
// chosen daemons.
type caller struct {
	name    string
	rng     *rand.Rand
	checker *checker
	teams   *teams
	// arrivals counts the requests that are sent.
	arrivals   *arrivals
	simulation *simulation
	versions   *versions
	conns      map[*process]net.Conn
	sent       int
	// expected counts the requests that must be served, served those of them that
	// were served.
	served, expected *atomic.Int64
	// kinds are those of its requests.
	kinds []requestKind
	// takeUps is how it goes on with streams that have broken off.
	takeUps takeUpPolicy
	// reconnect is set once all callers must open new connections; reconnected is
	// set once this caller has closed its old ones.
	reconnect   *atomic.Bool
	reconnected bool
}

func newCaller(r *run, number int) *caller {
	return &caller{
		name:       fmt.Sprintf("c%d", number),
		rng:        rand.New(rand.NewPCG(r.cfg.Seed, uint64(number+2))),
		checker:    r.checker,
		teams:      r.simulation.teams,
		arrivals:   r.simulation.arrivals,
		versions:   r.simulation.versions,
		simulation: r.simulation,
		kinds:      kindsOf(r.cfg.Scenario),
		takeUps:    takeUpsOf(r.cfg.Scenario),
		conns:      map[*process]net.Conn{},
		served:     &r.served,
		expected:   &r.expected,
		reconnect:  &r.reconnect,
	}
}

// run sends requests until done is closed, with a random pause of up to twice the
// given mean before each.
func (c *caller) run(done <-chan struct{}, processes []*process, pause time.Duration) {
	defer c.closeConns()
	for {
		select {
		case <-done:
			return
		case <-time.After(time.Duration(c.rng.Int64N(int64(2 * pause)))):
		}
		p := processes[c.rng.IntN(len(processes))]
		o := c.call(p, c.kinds[c.rng.IntN(len(c.kinds))], c.nextID())
		c.count(o)
		c.versions.recordNew(o)
		c.checker.check(o)
		c.takeUp(o, processes)
	}
}

func (c *caller) nextID() string {
	c.sent++
	return fmt.Sprintf("%s-%d", c.name, c.sent)
}

// count counts a request if working daemons must serve it: the caller did not
// abandon it, the runners do not fail it by design, and it belongs to steadyTeam.
func (c *caller) count(o outcome) {
	if o.abandoned || failsByDesign(o.id, o.kind) || !isSteady(o.id) {
		return
	}
	c.expected.Add(1)
	if o.answered() {
		c.served.Add(1)
	}
}

// reconnectOnce closes all connections when reconnect is first seen to be set.
func (c *caller) reconnectOnce() {
	if c.reconnected || !c.reconnect.Load() {
		return
	}
	c.reconnected = true
	c.closeConns()
}

// closeConns closes all connections.
func (c *caller) closeConns() {
	for _, conn := range c.conns {
		_ = conn.Close()
	}
	clear(c.conns)
}

// call sends one request to a daemon and returns the outcome.
func (c *caller) call(p *process, k requestKind, id string) outcome {
	return c.send(p, outcome{id: id, kind: k, patience: c.takeUps.patience})
}

// send sends the request of an outcome to a daemon and completes the outcome.
func (c *caller) send(p *process, o outcome) outcome {
	start := time.Now()
	o.sent = start
	o.key, o.keyIndex = c.teams.keyOf(c.name, c.rng.IntN)
	stableAtStart, calmAtStart := p.stable(start), c.simulation.stable(start)
	c.reconnectOnce()
	c.arrivals.recordRequest(o.kind.service())
	conn := c.conns[p]
	if conn == nil {
		dialled, err := net.DialTimeout("tcp", p.callerProxy.Address(), time.Second)
		if err != nil {
			return o
		}
		conn = dialled
	}
	keep := c.roundTrip(conn, &o)
	o.elapsed = time.Since(start)
	o.stable = stableAtStart && p.stable(time.Now())
	o.alone = o.stable && calmAtStart && c.simulation.stable(time.Now())
	if keep {
		c.conns[p] = conn
		return o
	}
	delete(c.conns, p)
	_ = conn.Close()
	return o
}

// roundTrip sends a request and reads the response. It reports whether the
// connection can be reused.
func (c *caller) roundTrip(conn net.Conn, o *outcome) (keep bool) {
	if err := conn.SetDeadline(time.Now().Add(o.patience)); err != nil {
		return false
	}
	if _, err := io.WriteString(conn, o.request()); err != nil {
		return false
	}
	if c.rng.IntN(abandonEvery) == 0 {
		time.Sleep(time.Duration(c.rng.Int64N(int64(maxAbandonDelay))))
		o.abandoned = true
		return false
	}
	answer, err := platformtest.ReadAnswer(conn)
	if err != nil {
		return false
	}
	var software []string
	answer.Body, software = splitSoftware(answer.Body)
	o.software = union(o.software, software)
	o.answer = answer
	return answer.Complete && !answer.Close
}
