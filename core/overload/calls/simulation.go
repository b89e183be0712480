package calls

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/live"
)

const (
	serviceName id.Service = "s"
	poolName    id.Pool    = "p"
)

// Replay is the replay of one load by one way.
type Replay struct {
	Load    Load
	Daemons int
	// Hop is the time of a message between two hosts.
	Hop time.Duration
	// Target is when an answer is due, Lifetime when the caller has gone, both from the
	// arrival of its attempt.
	Target, Lifetime time.Duration
	// Endpoints is the number of endpoints, Slots how many calls each works on, Queue how
	// many more it holds.
	Endpoints, Slots, Queue int
	// From and To restrict the callers that are counted to those that arrive between
	// them; zero for no bound.
	From, To time.Duration
	// Way creates the way in which daemons choose endpoints.
	Way func(w *simulation) way
}

// way brings calls to endpoints.
type way interface {
	// send takes a caller's attempt at its daemon.
	send(c *caller)
}

// caller is one caller's call over its attempts: a refused caller comes back once.
type caller struct {
	arrival
	number  int
	attempt int
	// sentAt is when the present attempt began; tries counts the endpoints it tried.
	sentAt time.Duration
	tries  int
	avoid  []id.Endpoint
	// done is set once the present attempt is answered or refused or the caller has gone.
	done    bool
	outcome outcome
	// refusedAfter are the times after which its attempts were refused.
	refusedAfter []time.Duration
}

// request returns the id of the present try.
func (c *caller) request() id.Request {
	return id.Request(fmt.Sprintf("%d.%d.%d", c.number, c.attempt, c.tries))
}

// simulation is the state of a replay.
type simulation struct {
	Replay
	now       time.Duration
	rng       *rand.Rand
	events    eventHeap
	serial    int
	callers   []*caller
	endpoints []*endpoint
	way       way
	// arrived counts the calls that reached an endpoint, full those refused there.
	arrived, full int
	// busy is the time of slots in use between From and To.
	busy time.Duration
}

// Run replays the load with a seed.
func (r Replay) Run(seed uint64) *Result {
	w := &simulation{Replay: r, rng: rand.New(rand.NewPCG(seed, 1))}
	for i := range r.Endpoints {
		w.endpoints = append(w.endpoints, &endpoint{w: w, name: id.Endpoint(fmt.Sprintf("e%d", i))})
	}
	w.way = r.Way(w)
	for i, a := range r.Load.arrivals(rand.New(rand.NewPCG(seed, 2)), r.Daemons) {
		c := &caller{arrival: a, number: i, attempt: 1}
		w.callers = append(w.callers, c)
		w.schedule(a.at, func() { w.begin(c) })
	}
	w.run(r.Load.Length + 4*maxWait + r.Lifetime)
	return w.result()
}

// maxWait is the longest delay that a refused caller waits before it comes back.
const maxWait = 10 * time.Second

// document returns the live configuration of the replay.
func (r *Replay) document() *live.Document {
	doc := &live.Document{
		Services: []live.Service{{Name: serviceName, Type: live.ServicePlain, Pool: poolName, TimeoutMS: int(r.Lifetime.Milliseconds())}},
		Pools:    []live.Pool{{Name: poolName, EndpointSelector: "in=p"}},
	}
	for _, t := range r.Load.Teams {
		if t.Weight > 0 {
			doc.Teams = append(doc.Teams, live.Team{Name: t.Name, Weight: t.Weight})
		}
	}
	for i := range r.Endpoints {
		doc.Endpoints = append(doc.Endpoints, live.Endpoint{
			Name: id.Endpoint(fmt.Sprintf("e%d", i)), Slots: r.Slots, Domain: domain(i),
			Labels: live.Labels{"in": "p", live.LabelRole: string(live.RolePlain)},
		})
	}
	return doc
}

// domain returns the failure domain of the endpoint or daemon with this number.
func domain(i int) id.Domain { return id.Domain(fmt.Sprint(i % 3)) }

// run processes the events in order.
func (w *simulation) run(end time.Duration) {
	for w.events.Len() > 0 && w.events[0].at < end {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
}

// begin begins an attempt of a caller.
func (w *simulation) begin(c *caller) {
	c.sentAt, c.tries, c.avoid, c.done = w.now, 0, nil, false
	attempt := c.attempt
	w.schedule(w.now+w.Lifetime, func() {
		if c.attempt == attempt && !c.done {
			c.done, c.outcome = true, gone
		}
	})
	w.way.send(c)
}

// answered records the answer of a caller's attempt.
func (w *simulation) answered(c *caller) {
	c.done, c.outcome = true, late
	if w.now-c.sentAt <= w.Target {
		c.outcome = inTime
	}
}

// refused records a refusal; a caller comes back once, after the advised delay.
func (w *simulation) refused(c *caller, after time.Duration) {
	c.done, c.outcome = true, refused
	c.refusedAfter = append(c.refusedAfter, w.now-c.sentAt)
	if c.attempt > 1 {
		return
	}
	c.attempt++
	w.schedule(w.now+min(after, maxWait), func() { w.begin(c) })
}

// event is a function to run at a simulated time; those of one time run in the order in
// which they were scheduled.
type event struct {
	at     time.Duration
	serial int
	do     func()
}

func (w *simulation) schedule(at time.Duration, do func()) {
	w.serial++
	heap.Push(&w.events, event{at: at, serial: w.serial, do: do})
}

// eventHeap implements heap.Interface.
type eventHeap []event

// Len implements heap.Interface.
func (h eventHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].serial < h[j].serial
}

// Swap implements heap.Interface.
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
