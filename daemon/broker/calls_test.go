package broker

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/callsched"
	"github.com/samphirequay/samphirequay/core/concurrency"
	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/live"
	"github.com/samphirequay/samphirequay/core/pairing"
	"github.com/samphirequay/samphirequay/core/poison"
	"github.com/samphirequay/samphirequay/core/pool"
	"github.com/samphirequay/samphirequay/core/sched"
	"github.com/samphirequay/samphirequay/core/verdict"
	"github.com/samphirequay/samphirequay/daemon/metrics"
)

// sentEnvelopes keeps what a broker sends.
type sentEnvelopes struct {
	to        []id.Daemon
	envelopes []*Envelope
}

// SendBroker implements Sender.
func (s *sentEnvelopes) SendBroker(to id.Daemon, e *Envelope) error {
	s.to = append(s.to, to)
	s.envelopes = append(s.envelopes, e)
	return nil
}

// take returns what was sent since the last call.
func (s *sentEnvelopes) take() []*Envelope {
	out := s.envelopes
	s.to, s.envelopes = nil, nil
	return out
}

// newCallBroker returns a broker without a duty that owns the pool of a plain service with
// one endpoint, and that knows one other daemon.
func newCallBroker(t *testing.T, self, other id.Daemon) (*Broker, *sentEnvelopes) {
	t.Helper()
	sent := &sentEnvelopes{}
	b := New(Config{
		Self: id.Process{Daemon: self, Incarnation: 1},
		NewManager: func(p id.Pool) *pool.Manager {
			limiter := concurrency.New(concurrency.Options{})
			return pool.New(pool.Options{
				Pool: p, Calls: true, Limiter: limiter, Poison: poison.New(poison.Config{}),
				NewScheduler: func(sched.HealthView) sched.Scheduler {
					return callsched.New(callsched.Options{Pool: p, Self: id.Process{Daemon: self}, Limiter: limiter})
				},
			})
		},
		Sender: sent, Poison: poison.New(poison.Config{}), Spread: func(poison.State) {}, Relay: func(poison.State) {},
		Metrics: metrics.New(string(self)), Now: func() time.Duration { return 0 },
	})
	b.Close() // from here on the test replaces the duty
	b.doc = &live.Document{
		Services: []live.Service{{Name: "p", Type: live.ServicePlain, Pool: "p"}},
		Pools:    []live.Pool{{Name: "p", EndpointSelector: "service=p"}},
		Endpoints: []live.Endpoint{{
			Name: "e", Slots: 4, Labels: live.Labels{"service": "p", live.LabelRole: string(live.RolePlain)},
		}},
	}
	b.configured = poolNames(b.doc)
	b.requester.SetMembers(0, []id.Daemon{self, other})
	return b, sent
}

func callWant(r id.Request, from id.Daemon) *sched.Want {
	return &sched.Want{
		Request: r, Pool: "p", Service: "p", Team: "t", From: id.Process{Daemon: from, Incarnation: 1},
		Target: 10 * time.Second, Patience: 20 * time.Second, Lifetime: 20 * time.Second, AnswerIn: 50 * time.Millisecond,
	}
}

// TestACallThatWaitsHearsOfItAtOnce checks that a daemon can tell a full queue from a dead
// owner: each want is answered, by a grant or by word that it is queued.
func TestACallThatWaitsHearsOfItAtOnce(t *testing.T) {
	is := is.New(t)
	b, sent := newCallBroker(t, "a", "b")
	granted, queued := 0, 0
	for _, r := range []id.Request{"1", "2", "3", "4", "5", "6", "7"} {
		b.handle(time.Second, "b", &Envelope{Want: callWant(r, "b")})
		for _, e := range sent.take() {
			switch {
			case e.Grant != nil:
				granted++
			case e.Queued != nil:
				queued++
				is.Equal(e.Queued.Request, r)
			}
		}
	}
	is.True(granted > 0)
	is.True(queued > 0)
	is.Equal(granted+queued, 7)
}

// TestTheNextOwnerKnowsWhatWasLearned checks an owner that dies: the daemon next in rank was
// told of its endpoints, and tells nobody else's.
func TestTheNextOwnerKnowsWhatWasLearned(t *testing.T) {
	is := is.New(t)
	b, sent := newCallBroker(t, "a", "b")
	for n := range 50 {
		r := id.Request(rune('a' + n))
		now := time.Second + time.Duration(n)*100*time.Millisecond
		b.handle(now, "b", &Envelope{Want: callWant(r, "b")})
		var reservation uint64
		for _, e := range sent.take() {
			if e.Grant != nil {
				reservation = e.Grant.Grant.Reservation
			}
		}
		b.handle(now+70*time.Millisecond, "b", &Envelope{Progress: progressOf(r, reservation)})
	}
	now := 6 * time.Second
	b.owner(t, "a")
	b.tellLearned(now)
	told := sent.take()
	is.Equal(len(told), 1)
	is.Equal(told[0].Learned.Pool, id.Pool("p"))
	is.Equal(len(told[0].Learned.Endpoints), 1)
	is.True(b.tellLearned(now+time.Millisecond) > now+time.Second) // not again at once
	is.Equal(len(sent.take()), 0)

	next, _ := newCallBroker(t, "c", "d")
	next.handle(now, "a", told[0])
	m := next.manager(now+time.Second, "p")
	status, ok := m.CallStatus(now + time.Second)
	is.True(ok)
	is.Equal(len(status.Endpoints), 1)
	is.True(status.Endpoints[0].Base > 50*time.Millisecond)
	is.True(status.Endpoints[0].Age >= time.Second)
}

// owner makes the broker the owner of its pool.
func (b *Broker) owner(t *testing.T, self id.Daemon) {
	t.Helper()
	for _, other := range []id.Daemon{"b", "c", "d", "e", "f"} {
		b.requester.SetMembers(0, []id.Daemon{self, other})
		if b.owns("p") {
			return
		}
	}
	t.Fatal("the daemon owns the pool among none")
}

func progressOf(r id.Request, reservation uint64) *pairing.PoolProgress {
	return &pairing.PoolProgress{Pool: "p", Progress: sched.Progress{
		Request: r, Reservation: reservation, Phase: sched.PhaseDone, ServiceTime: 70 * time.Millisecond,
	}}
}

// TestACallOfAPoolThatIsNotConfiguredIsAnsweredAtOnce checks an owner that does not queue the
// calls of a service, or does not know it yet: the calls' daemons choose endpoints themselves
// at once and don't take the owner of their other pools for dead.
func TestACallOfAPoolThatIsNotConfiguredIsAnsweredAtOnce(t *testing.T) {
	is := is.New(t)
	b, sent := newCallBroker(t, "a", "b")
	w := callWant("1", "b")
	w.Pool = "elsewhere"
	b.handle(time.Second, "b", &Envelope{Want: w})
	answers := sent.take()
	is.Equal(len(answers), 1)
	is.Equal(answers[0].Refusal.Request, w.Request)
	is.Equal(answers[0].Refusal.Code, verdict.CodeUnknownService)

	stream := callWant("2", "b")
	stream.Pool, stream.AnswerIn = "elsewhere", 0
	b.handle(time.Second, "b", &Envelope{Want: stream})
	is.Equal(len(sent.take()), 0) // its daemon sends it again
}

// TestAServiceThatGetsEnginesGetsAnotherScheduler checks a plain service that the
// configuration changes to one on engines: its pool keeps its name, but not its scheduler.
func TestAServiceThatGetsEnginesGetsAnotherScheduler(t *testing.T) {
	is := is.New(t)
	b, _ := newCallBroker(t, "a", "b")
	b.owner(t, "a")
	b.setDocument(time.Second, b.doc)
	before := b.managers["p"]
	b.setDocument(time.Second, b.doc)
	is.Equal(b.managers["p"], before)
	changed := *b.doc
	changed.Services = []live.Service{{Name: "p", Type: live.ServiceModel, Pool: "p"}}
	b.setDocument(time.Second, &changed)
	is.True(b.managers["p"] != before)
}
