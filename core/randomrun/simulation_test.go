package randomrun

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/live"
	"github.com/samphirequay/samphirequay/core/reap"
	"github.com/samphirequay/samphirequay/core/sched"
)

const (
	ms = time.Millisecond
	// leavingGrace is the time for which an endpoint may still get work after it has
	// reported that it is leaving.
	leavingGrace = 2 * time.Second
	// quietTime is longer than all grace periods and than the time for which state of
	// lost reports is kept.
	quietTime = 6 * time.Minute
)

// pools are the pools; each has a service of the same name.
var pools = []id.Pool{"notes", "packets"}

// simulation drives the decision code of several daemons by scheduled events.
type simulation struct {
	t           *testing.T
	seed        uint64
	rng         *rand.Rand
	now         time.Duration
	queue       eventHeap
	serial      int
	events      int
	doc         *live.Document
	hosts       []*host
	engines     map[id.Endpoint]*engine
	engineNames []id.Endpoint
	// lastDelivery is the time of the latest delivery from one daemon to another; it
	// keeps their messages in order.
	lastDelivery map[[2]id.Daemon]time.Duration
	asks         map[id.Request]*requestRecord
	// started holds the attempts that an engine has started to work on.
	started map[id.Request]bool
	// ended holds the requests for which an endpoint has acknowledged to a canceller
	// that it holds nothing and will accept nothing.
	ended   map[reap.Key]bool
	callers []*caller
	faulty  bool
	// quiet stops arrivals and faults; slowPolling is set once all requests should
	// have ended.
	quiet       bool
	slowPolling bool
	policy      func(o sched.Options) sched.Scheduler
	stats       stats
}

// stats counts the events of a run.
type stats struct {
	answered, refused, failed, disconnected, resumed, killed, crashes, cancels, cancelledGrants int
}

// requestRecord is the state of one call of Requester.Request.
type requestRecord struct {
	host      *host
	answers   int
	withdrawn bool
}

type scheduledEvent struct {
	at     time.Duration
	serial int
	do     func()
}

type eventHeap []scheduledEvent

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || (h[i].at == h[j].at && h[i].serial < h[j].serial)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(scheduledEvent)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = scheduledEvent{}
	*h = old[:len(old)-1]
	return e
}

func newSimulation(t *testing.T, seed uint64, faulty bool, policy func(o sched.Options) sched.Scheduler) *simulation {
	s := &simulation{
		t:            t,
		seed:         seed,
		rng:          rand.New(rand.NewPCG(seed, 11)),
		engines:      map[id.Endpoint]*engine{},
		lastDelivery: map[[2]id.Daemon]time.Duration{},
		asks:         map[id.Request]*requestRecord{},
		started:      map[id.Request]bool{},
		ended:        map[reap.Key]bool{},
		faulty:       faulty,
		policy:       policy,
	}
	s.doc = s.document()
	for i := range s.doc.Endpoints {
		s.addEngine(&s.doc.Endpoints[i])
	}
	for i := range 3 + s.rng.IntN(7) {
		s.hosts = append(s.hosts, newHost(s, id.Process{Daemon: id.Daemon(fmt.Sprint("d", i)), Incarnation: 1}))
	}
	for _, h := range s.hosts {
		h.start()
	}
	s.updateViews()
	return s
}

// document returns a configuration with four prefill and four decode engines for
// each pool.
func (s *simulation) document() *live.Document {
	doc := &live.Document{Revision: 1}
	for i := range 3 {
		doc.Teams = append(doc.Teams, live.Team{Name: id.Team(fmt.Sprint("t", i)), Weight: float64(i + 1)})
	}
	for _, p := range pools {
		doc.Pools = append(doc.Pools, live.Pool{Name: p, EndpointSelector: "pool=" + string(p)})
		doc.Services = append(doc.Services, live.Service{
			Name:        id.Service(p),
			Type:        live.ServiceModel,
			Pool:        p,
			PatienceMS:  800,
			WasteWeight: s.rng.Float64(),
			TimeoutMS:   10000,
		})
		for i := range 8 {
			role := []live.Role{live.RolePrefill, live.RoleDecode}[i%2]
			doc.Endpoints = append(doc.Endpoints, live.Endpoint{
				Name:    id.Endpoint(fmt.Sprintf("%s-%s-%d", p, role, i/2)),
				Labels:  live.Labels{"pool": string(p), live.LabelRole: string(role)},
				Address: fmt.Sprintf("127.0.0.1:%d", 1000+len(doc.Endpoints)),
				Domain:  id.Domain(fmt.Sprint("f", i%3)),
				Slots:   2,
			})
		}
	}
	return live.Normalize(doc)
}

// fail ends the run and reports the seed and the event at which it failed.
func (s *simulation) fail(format string, args ...any) {
	s.t.Helper()
	s.t.Fatalf("seed %d, event %d, %v: %s", s.seed, s.events, s.now, fmt.Sprintf(format, args...))
}

// after schedules an event.
func (s *simulation) after(d time.Duration, do func()) {
	s.serial++
	heap.Push(&s.queue, scheduledEvent{at: s.now + max(0, d), serial: s.serial, do: do})
}

// chance returns true with probability p; without faults it always returns false.
func (s *simulation) chance(p float64) bool { return s.faulty && !s.quiet && s.rng.Float64() < p }

// between returns a random duration of at least a and less than b.
func (s *simulation) between(a, b time.Duration) time.Duration {
	return a + time.Duration(s.rng.Int64N(int64(b-a)))
}

// latency returns the latency of a message; a few messages are delayed for longer.
func (s *simulation) latency() time.Duration {
	if s.chance(0.02) {
		return s.between(50*ms, 1500*ms)
	}
	return s.between(ms, 4*ms)
}

// post sends a message between daemons. Messages are delayed and may be lost or
// duplicated, but arrive in order for each pair of daemons.
func (s *simulation) post(from, to id.Daemon, take func(h *host)) {
	if s.chance(0.003) {
		return
	}
	pair := [2]id.Daemon{from, to}
	at := max(s.lastDelivery[pair], s.now+s.latency())
	s.lastDelivery[pair] = at
	deliver := func() {
		if h := s.host(to); h != nil {
			take(h)
		}
	}
	s.after(at-s.now, deliver)
	if s.chance(0.02) {
		s.after(at-s.now, deliver)
	}
}

// host returns the running process of a daemon, or nil if there is none.
func (s *simulation) host(d id.Daemon) *host {
	for _, h := range s.hosts {
		if h.self.Daemon == d && !h.dead {
			return h
		}
	}
	return nil
}

// alive returns the running processes.
func (s *simulation) alive() []*host {
	return slices.DeleteFunc(slices.Clone(s.hosts), func(h *host) bool { return h.dead })
}

// updateViews sends each daemon the members at a different time. The first view may
// lack one running member; the second is complete.
func (s *simulation) updateViews() {
	for _, h := range s.hosts {
		s.after(s.between(100*ms, 2*time.Second), func() { h.updateMembers(s.memberView(h)) })
		s.after(s.between(2*time.Second, 4*time.Second), func() { h.updateMembers(s.runningProcesses()) })
	}
}

func (s *simulation) runningProcesses() []id.Process {
	var out []id.Process
	for _, h := range s.alive() {
		out = append(out, h.self)
	}
	return out
}

// memberView returns the view of a daemon; at times another member is missing.
func (s *simulation) memberView(h *host) []id.Process {
	all := s.runningProcesses()
	i := s.rng.IntN(len(all))
	if all[i] != h.self && s.chance(0.5) {
		return slices.Delete(all, i, i+1)
	}
	return all
}

// kill ends a process; the same daemon starts a new one later.
func (s *simulation) kill(h *host) {
	s.stats.killed++
	h.dead = true
	gone := h.self
	for _, other := range s.hosts {
		s.after(s.between(time.Second, 4*time.Second), func() { other.processGone(gone) })
	}
	for _, j := range h.sortedJobs() {
		j.handleHostExit()
	}
	s.after(s.between(10*ms, 3*time.Second), func() {
		gone.Incarnation++
		for i := range s.hosts {
			if s.hosts[i] == h {
				s.hosts[i] = newHost(s, gone)
				s.hosts[i].start()
			}
		}
		s.updateViews()
	})
	s.updateViews()
}

// run executes events until the given total has been executed.
func (s *simulation) run(events int) {
	for s.events < events {
		s.step()
	}
}

// runFor executes the events of the given simulated time.
func (s *simulation) runFor(d time.Duration) {
	for end := s.now + d; len(s.queue) > 0 && s.queue[0].at <= end; {
		s.step()
	}
}

func (s *simulation) step() {
	e := heap.Pop(&s.queue).(scheduledEvent)
	s.now = e.at
	s.events++
	e.do()
}
