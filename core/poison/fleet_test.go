package poison

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/id"
)

const (
	stepInterval = 10 * time.Millisecond
	fleetSize    = 12
	gossipDelay  = 50 * time.Millisecond
)

// request is one request of a caller, who repeats it until it is finished or refused.
type request struct {
	suspect  Suspect
	poison   bool
	sendAt   time.Duration
	daemon   int
	endpoint *testEndpoint
	endsAt   time.Duration
	finished bool
	refused  bool
}

// testEndpoint is an endpoint; it runs requests of all daemons.
type testEndpoint struct {
	id      CrashID
	running []*request
	upAt    time.Duration
}

type message struct {
	at    time.Duration
	to    int
	state State
}

type simulation struct {
	rng       *rand.Rand
	now       time.Duration
	ledgers   []*Ledger
	sentUpTo  []uint64
	inFlight  []message
	endpoints []*testEndpoint
	requests  []*request
	crashes   int
}

func newSimulation(seed uint64) *simulation {
	s := &simulation{rng: rand.New(rand.NewPCG(seed, 3)), sentUpTo: make([]uint64, 3)}
	for range 3 {
		s.ledgers = append(s.ledgers, New(Config{}))
	}
	for i := range fleetSize {
		s.endpoints = append(s.endpoints, &testEndpoint{id: CrashID{Endpoint: id.Endpoint(fmt.Sprint("e", i)), Incarnation: 1}})
	}
	return s
}

func (s *simulation) wall() time.Time { return time.Unix(1_000_000, 0).Add(s.now) }

func (s *simulation) add(content string, poison bool) {
	s.requests = append(s.requests, &request{
		suspect: Suspect{Fingerprint: NewFingerprint("t", "s", []byte(content)), Team: "t"},
		poison:  poison, sendAt: s.now + time.Duration(s.rng.IntN(500))*time.Millisecond,
	})
}

// send runs a request as its standing requires, or waits for capacity.
func (s *simulation) send(r *request) {
	r.daemon = s.rng.IntN(len(s.ledgers)) // callers use any host
	maxOthers := 3
	switch finding := s.ledgers[r.daemon].Check(s.wall(), r.suspect.Fingerprint); finding.Standing {
	case Quarantined:
		r.refused = true
		return
	case Held:
		r.sendAt = s.now + gossipDelay
		return
	case Suspected, Isolated:
		maxOthers = 0
	}
	var fit []*testEndpoint
	for _, e := range s.endpoints {
		if s.now >= e.upAt && len(e.running) <= maxOthers && !slices.ContainsFunc(e.running, s.alone) {
			fit = append(fit, e)
		}
	}
	if len(fit) == 0 {
		r.sendAt = s.now + stepInterval
		return
	}
	r.endpoint = fit[s.rng.IntN(len(fit))]
	r.endpoint.running = append(r.endpoint.running, r)
	r.endsAt = s.now + time.Duration(50+s.rng.IntN(400))*time.Millisecond
}

// alone reports whether a running request must not share its endpoint.
func (s *simulation) alone(r *request) bool {
	return s.ledgers[r.daemon].Check(s.wall(), r.suspect.Fingerprint).Standing != Clear
}

func (s *simulation) crash(e *testEndpoint) {
	s.crashes++
	for d, ledger := range s.ledgers {
		var mine []Suspect
		for _, r := range e.running {
			if r.daemon == d {
				mine = append(mine, r.suspect)
			}
		}
		if len(mine) > 0 {
			ledger.Crash(s.wall(), e.id, mine)
		}
	}
	for _, r := range e.running {
		r.endpoint = nil
		r.sendAt = s.now + 2*gossipDelay + time.Duration(s.rng.IntN(1000))*time.Millisecond
	}
	e.running = nil
	e.id.Incarnation++
	e.upAt = s.now + time.Second
}

func (s *simulation) finish(r *request) {
	if r.poison {
		s.crash(r.endpoint)
		return
	}
	r.finished = true
	s.ledgers[r.daemon].Finished(s.wall(), r.suspect.Fingerprint)
	r.endpoint.running = slices.DeleteFunc(r.endpoint.running, func(o *request) bool { return o == r })
}

func (s *simulation) gossip() {
	for d, ledger := range s.ledgers {
		state, next := ledger.Delta(s.sentUpTo[d])
		if next == s.sentUpTo[d] {
			continue
		}
		s.sentUpTo[d] = next
		for to := range s.ledgers {
			s.inFlight = append(s.inFlight, message{at: s.now + gossipDelay, to: to, state: state})
		}
	}
	s.inFlight = slices.DeleteFunc(s.inFlight, func(m message) bool {
		if m.at <= s.now {
			s.ledgers[m.to].Merge(s.wall(), m.state)
		}
		return m.at <= s.now
	})
}

func (s *simulation) step() {
	s.now += stepInterval
	s.gossip()
	for _, r := range s.requests {
		switch {
		case r.finished || r.refused:
		case r.endpoint != nil && s.now >= r.endsAt:
			s.finish(r)
		case r.endpoint == nil && s.now >= r.sendAt:
			s.send(r)
		}
	}
}

// TestPoisonIsQuarantinedWithFewCrashesAndNoFalsePositives mixes poisonous with
// harmless requests and, in half of the runs, a random crash.
func TestPoisonIsQuarantinedWithFewCrashesAndNoFalsePositives(t *testing.T) {
	is := is.New(t)
	mostCrashes, shared := 0, 0
	for seed := range uint64(200) {
		s := newSimulation(seed)
		poisons := 1 + int(seed%2)
		for i := range poisons {
			s.add(fmt.Sprint("poison", i), true)
		}
		for i := range 30 {
			s.add(fmt.Sprint("innocent", i), false)
		}
		chance := int(seed/2) % 2
		at := time.Duration(s.rng.IntN(100)) * stepInterval
		for s.now < 15*time.Second {
			s.step()
			if chance == 1 && s.now == at {
				s.crash(s.endpoints[s.rng.IntN(fleetSize)])
			}
		}
		for _, r := range s.requests {
			if r.poison != r.refused || r.poison == r.finished {
				t.Fatalf("seed %d: %v: poison %v, refused %v, finished %v", seed, r.suspect, r.poison, r.refused, r.finished)
			}
		}
		crashes := s.crashes - chance
		if crashes > 3*poisons {
			t.Fatalf("seed %d: %d endpoints crashed for %d poisons", seed, crashes, poisons)
		}
		mostCrashes = max(mostCrashes, crashes)
		if len(s.ledgers[0].crashes) > 0 && len(s.ledgers[0].byFingerprint) > poisons {
			shared++
		}
		for _, l := range s.ledgers {
			is.Equal(len(l.List(s.wall())), poisons) // every daemon lists them
		}
	}
	is.True(shared > 100) // harmless requests did run on crashed endpoints
	t.Logf("at most %d crashes for two poisons", mostCrashes)
}
