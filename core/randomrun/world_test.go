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
	// leavingBound is how long after its word an endpoint may still get work.
	leavingGrace = 2 * time.Second
	// quietTime lets all grace periods and memories of lost reports end.
	quietTime = 6 * time.Minute
)

// pools are the pools; each has a service of its name.
var pools = []id.Pool{"notes", "packets"}

// world drives the decision code of several daemons by planned events.
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
	// lastOn keeps messages between two daemons in order.
	lastDelivery map[[2]id.Daemon]time.Duration
	asks         map[id.Request]*askRecord
	// started are the attempts of which an engine has begun any work.
	started map[id.Request]bool
	// ended are the requests of which a canceller was told that nothing is held
	// nor ever will be.
	ended   map[reap.Key]bool
	callers []*caller
	faulty  bool
	// quiet ends arrivals and faults; slow is set once nothing should be left.
	quiet       bool
	slowPolling bool
	policy      func(o sched.Options) sched.Scheduler
	stats       stats
}

// stats count what the run has met.
type stats struct {
	answered, refused, failed, disconnected, resumed, killed, crashes, cancels, cancelledGrants int
}

// ask is what became of one Ask.
type askRecord struct {
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
	w := &simulation{
		t:            t,
		seed:         seed,
		rng:          rand.New(rand.NewPCG(seed, 11)),
		engines:      map[id.Endpoint]*engine{},
		lastDelivery: map[[2]id.Daemon]time.Duration{},
		asks:         map[id.Request]*askRecord{},
		started:      map[id.Request]bool{},
		ended:        map[reap.Key]bool{},
		faulty:       faulty,
		policy:       policy,
	}
	w.doc = w.document()
	for i := range w.doc.Endpoints {
		w.addEngine(&w.doc.Endpoints[i])
	}
	for i := range 3 + w.rng.IntN(7) {
		w.hosts = append(w.hosts, newHost(w, id.Process{Daemon: id.Daemon(fmt.Sprint("d", i)), Incarnation: 1}))
	}
	for _, h := range w.hosts {
		h.start()
	}
	w.updateViews()
	return w
}

// document is, for each pool, four prefill and four decode engines.
func (w *simulation) document() *live.Document {
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
			WasteWeight: w.rng.Float64(),
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

// fail ends the run and names what is needed to repeat it.
func (w *simulation) fail(format string, args ...any) {
	w.t.Helper()
	w.t.Fatalf("seed %d, event %d, %v: %s", w.seed, w.events, w.now, fmt.Sprintf(format, args...))
}

// after plans an event.
func (w *simulation) after(d time.Duration, do func()) {
	w.serial++
	heap.Push(&w.queue, scheduledEvent{at: w.now + max(0, d), serial: w.serial, do: do})
}

// chance is true with a probability, and never without faults.
func (w *simulation) chance(p float64) bool { return w.faulty && !w.quiet && w.rng.Float64() < p }

// between draws a duration.
func (w *simulation) between(a, b time.Duration) time.Duration {
	return a + time.Duration(w.rng.Int64N(int64(b-a)))
}

// latency is that of a message; some are late.
func (w *simulation) latency() time.Duration {
	if w.chance(0.02) {
		return w.between(50*ms, 1500*ms)
	}
	return w.between(ms, 4*ms)
}

// post sends a message between daemons: late, at times lost or doubled, and in
// order for each pair.
func (w *simulation) post(from, to id.Daemon, take func(h *host)) {
	if w.chance(0.003) {
		return
	}
	pair := [2]id.Daemon{from, to}
	at := max(w.lastDelivery[pair], w.now+w.latency())
	w.lastDelivery[pair] = at
	deliver := func() {
		if h := w.host(to); h != nil {
			take(h)
		}
	}
	w.after(at-w.now, deliver)
	if w.chance(0.02) {
		w.after(at-w.now, deliver)
	}
}

// host returns the running process of a daemon; nil while there is none.
func (w *simulation) host(d id.Daemon) *host {
	for _, h := range w.hosts {
		if h.self.Daemon == d && !h.dead {
			return h
		}
	}
	return nil
}

// alive lists the running processes.
func (w *simulation) alive() []*host {
	return slices.DeleteFunc(slices.Clone(w.hosts), func(h *host) bool { return h.dead })
}

// viewChanged lets each daemon learn the members, each at another time. What it
// learns is the truth of that time, but for a member that it misses for a while.
func (w *simulation) updateViews() {
	for _, h := range w.hosts {
		w.after(w.between(100*ms, 2*time.Second), func() { h.updateMembers(w.memberView(h)) })
		w.after(w.between(2*time.Second, 4*time.Second), func() { h.updateMembers(w.runningProcesses()) })
	}
}

func (w *simulation) runningProcesses() []id.Process {
	var out []id.Process
	for _, h := range w.alive() {
		out = append(out, h.self)
	}
	return out
}

// members is the view of a daemon, at times without one of the others.
func (w *simulation) memberView(h *host) []id.Process {
	all := w.runningProcesses()
	i := w.rng.IntN(len(all))
	if all[i] != h.self && w.chance(0.5) {
		return slices.Delete(all, i, i+1)
	}
	return all
}

// kill ends a process; another one of the same daemon follows.
func (w *simulation) kill(h *host) {
	w.stats.killed++
	h.dead = true
	gone := h.self
	for _, other := range w.hosts {
		w.after(w.between(time.Second, 4*time.Second), func() { other.processGone(gone) })
	}
	for _, j := range h.sortedJobs() {
		j.handleHostExit()
	}
	w.after(w.between(10*ms, 3*time.Second), func() {
		gone.Incarnation++
		for i := range w.hosts {
			if w.hosts[i] == h {
				w.hosts[i] = newHost(w, gone)
				w.hosts[i].start()
			}
		}
		w.updateViews()
	})
	w.updateViews()
}

// run lets events happen until that many have.
func (w *simulation) run(events int) {
	for w.events < events {
		w.step()
	}
}

// runFor lets events happen for a time.
func (w *simulation) runFor(d time.Duration) {
	for end := w.now + d; len(w.queue) > 0 && w.queue[0].at <= end; {
		w.step()
	}
}

func (w *simulation) step() {
	e := heap.Pop(&w.queue).(scheduledEvent)
	w.now = e.at
	w.events++
	e.do()
}
