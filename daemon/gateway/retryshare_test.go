package gateway

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/member"
	"github.com/samphirequay/samphirequay/core/retry"
)

// retrySpan and retrySlack are the window and the slack of the simulated retry limit.
const (
	retrySpan  = 10 * time.Second
	retrySlack = 1000
)

// simFleet simulates daemons that retry as much as their limits allow. Each has a real
// membership and a real share; messages between them take messageDelay.
type simFleet struct {
	rng      *rand.Rand
	now      time.Duration
	hosts    []*simHost
	messages []simMessage
	// side is the side of the cut that each host is on.
	side    map[id.Daemon]int
	retries []time.Duration
	// processes counts the processes so far; it gives them their incarnations.
	processes uint64
}

// simHost is one host, on which one process runs at a time; process is nil while none
// does. A frozen process does nothing.
type simHost struct {
	name    id.Daemon
	domain  id.Domain
	process *simProcess
	// startsAt is when the next process starts; frozenUntil is when the present one goes
	// on.
	startsAt, frozenUntil time.Duration
	gone                  bool
	// enrolled is set once a process of the host has started: the store lists the host.
	enrolled bool
	// handedOn is the window that the last process handed on at handedOnAt; nil if it did
	// not.
	handedOn   *retry.WindowState
	handedOnAt time.Duration
}

type simProcess struct {
	members *member.Membership
	share   *retryShare
	window  *retry.Window
	// listed is the number of hosts that the store listed when the process last read the
	// list, at readAt.
	listed int
	readAt time.Duration
}

type simMessage struct {
	at   time.Duration
	to   id.Daemon
	from id.Daemon
	body member.Message
}

const (
	simStep      = 20 * time.Millisecond
	messageDelay = 5 * time.Millisecond
	// simSeeds, simDaemons and simLength are the size of the test; the fleet grows in
	// some schedules.
	simSeeds   = 2
	simDaemons = 9
	simLength  = 70 * time.Second
	// simBegin is when the fleet starts for the first time, its hosts within
	// simStartSpread.
	simBegin       = time.Hour
	simStartSpread = 500 * time.Millisecond
)

func newSimFleet(seed uint64, size int) *simFleet {
	s := &simFleet{rng: rand.New(rand.NewPCG(seed, 3)), now: simBegin, side: map[id.Daemon]int{}}
	for range size {
		s.addHost()
		s.hosts[len(s.hosts)-1].startsAt += s.between(0, simStartSpread)
	}
	return s
}

func (s *simFleet) addHost() {
	n := len(s.hosts)
	s.hosts = append(s.hosts, &simHost{
		name: id.Daemon(fmt.Sprintf("d%03d", n)), domain: id.Domain(fmt.Sprint("domain-", n%4)), startsAt: s.now,
	})
}

// firstStart reports whether the fleet starts for the first time. Its hosts start within
// simStartSpread.
func (s *simFleet) firstStart() bool { return s.now < simBegin+simStartSpread }

// listed returns the hosts as the store lists them.
func (s *simFleet) listed(except id.Daemon) []member.Host {
	var out []member.Host
	for _, h := range s.hosts {
		if h.enrolled && h.name != except {
			out = append(out, member.Host{Name: h.name, Domain: h.domain, Address: string(h.name)})
		}
	}
	return out
}

func (s *simFleet) start(h *simHost) {
	s.processes++
	self := member.Entry{
		Process: id.Process{Daemon: h.name, Incarnation: id.Incarnation(s.processes)}, Domain: h.domain, Address: string(h.name),
	}
	h.process = &simProcess{
		members: member.New(memberConfig(), self, s.now, rand.New(rand.NewPCG(s.processes, 4))),
		share:   newRetryShare(s.now, retrySpan, retry.DefaultJoinDelay),
		window:  retry.NewWindow(retry.WindowConfig{Span: retrySpan, Slack: retrySlack, Safety: 1}),
	}
	if s.firstStart() {
		h.process.share.setFirstStart(s.now + retrySpan)
	}
	if h.handedOn != nil {
		h.process.window.Restore(s.now, s.now-h.handedOnAt, *h.handedOn)
		h.process.share.adopt(h.handedOnAt + retrySpan)
	}
	h.handedOn = nil
	h.enrolled = true
	s.readList(h)
}

// listInterval is how often a process reads the store's list of hosts.
const listInterval = time.Second

func (s *simFleet) readList(h *simHost) {
	hosts := s.listed(h.name)
	h.process.listed, h.process.readAt = len(hosts)+1, s.now
	s.perform(h, h.process.members.MergeHosts(s.now, hosts))
}

// perform carries out the actions of a host's membership.
func (s *simFleet) perform(h *simHost, actions []member.Action) {
	for _, a := range actions {
		switch {
		case a.Send != nil:
			s.messages = append(s.messages, simMessage{at: s.now + messageDelay, to: a.Send.To, from: h.name, body: a.Send.Message})
		case a.DeclaredDead != nil && a.DeclaredDead.Superseded:
			h.process = nil
			return
		case a.DeclaredDead != nil:
			h.process.share.restart(s.now)
			s.perform(h, h.process.members.Resume(s.now))
		}
	}
}

func (s *simFleet) acts(h *simHost) bool { return h.process != nil && s.now >= h.frozenUntil }

// run simulates a span of time; each step begins with do.
func (s *simFleet) run(span time.Duration, do func()) {
	for end := s.now + span; s.now < end; s.now += simStep {
		do()
		s.deliver()
		for _, h := range s.hosts {
			if h.process == nil && !h.gone && s.now >= h.startsAt {
				s.start(h)
			}
			if s.acts(h) {
				s.step(h)
			}
		}
	}
}

func (s *simFleet) step(h *simHost) {
	p := h.process
	if s.now >= p.members.Next() {
		s.perform(h, p.members.Tick(s.now))
	}
	if h.process == nil {
		return
	}
	if s.now-p.readAt >= listInterval {
		s.readList(h)
	}
	p.share.observe(s.now, fleetView{entries: p.members.View(), listed: p.listed, isolated: p.members.Isolated()})
	for p.window.TakeRetries(s.now, 1, p.share.sharers(s.now)) {
		p.window.RecordArrivals(s.now, 1)
		s.retries = append(s.retries, s.now)
	}
}

func (s *simFleet) deliver() {
	due := s.messages
	s.messages = nil
	for _, m := range due {
		to := s.host(m.to)
		switch {
		case m.at > s.now:
			s.messages = append(s.messages, m)
		case to == nil || to.process == nil || s.side[m.from] != s.side[m.to]:
		case s.now < to.frozenUntil:
			m.at = to.frozenUntil
			s.messages = append(s.messages, m)
		default:
			s.perform(to, to.process.members.Receive(s.now, m.body))
		}
	}
}

func (s *simFleet) host(name id.Daemon) *simHost {
	i, found := slices.BinarySearchFunc(s.hosts, name, func(h *simHost, n id.Daemon) int { return cmp.Compare(h.name, n) })
	if !found {
		return nil
	}
	return s.hosts[i]
}

// most returns the most retries in any span of retrySpan that begins after the given time.
func (s *simFleet) most(after time.Duration) int {
	most, first := 0, 0
	for last, at := range s.retries {
		for s.retries[first] <= at-retrySpan || s.retries[first] < after {
			if first == last {
				break
			}
			first++
		}
		if s.retries[first] >= after {
			most = max(most, last-first+1)
		}
	}
	return most
}

// kill ends a host's process; the next one starts after down.
func (s *simFleet) kill(h *simHost, down time.Duration) {
	h.process = nil
	h.startsAt = s.now + down
}

// between draws a time between two bounds.
func (s *simFleet) between(from, to time.Duration) time.Duration {
	return from + time.Duration(s.rng.Int64N(int64(to-from)))
}

// some draws hosts: each with the given probability.
func (s *simFleet) some(share float64) []*simHost {
	var out []*simHost
	for _, h := range s.hosts {
		if !h.gone && s.rng.Float64() < share {
			out = append(out, h)
		}
	}
	return out
}

// simFaults are the faults that a schedule draws from, by name.
var simFaults = map[string]func(s *simFleet){
	"kills": func(s *simFleet) {
		for _, h := range s.some(s.rng.Float64()) {
			s.kill(h, s.between(200*time.Millisecond, 700*time.Millisecond))
		}
	},
	"stops": func(s *simFleet) {
		for _, h := range s.some(s.rng.Float64()) {
			if s.acts(h) && h.process.share.sharers(s.now) > 0 {
				state := h.process.window.State(s.now)
				h.handedOn, h.handedOnAt = &state, s.now
			}
			s.kill(h, s.between(200*time.Millisecond, 14*time.Second))
		}
	},
	"outages": func(s *simFleet) {
		down := s.between(time.Second, 25*time.Second)
		for _, h := range s.some(s.rng.Float64()) {
			s.kill(h, down)
		}
	},
	"freezes": func(s *simFleet) {
		until := s.now + s.between(500*time.Millisecond, 25*time.Second)
		for _, h := range s.some(s.rng.Float64()) {
			h.frozenUntil = until
		}
	},
	"cuts": func(s *simFleet) {
		if len(s.side) > 0 {
			clear(s.side)
			return
		}
		for _, h := range s.some(s.rng.Float64()) {
			s.side[h.name] = 1 + s.rng.IntN(2)
		}
	},
	"growth": func(s *simFleet) {
		if len(s.hosts) < 24 {
			for range 1 + s.rng.IntN(len(s.hosts)) {
				s.addHost()
			}
		}
	},
	"losses": func(s *simFleet) {
		for _, h := range s.some(0.2) {
			s.kill(h, 0)
			h.gone = true
		}
	},
}

// play runs a schedule of the given faults, with one each 1 to 10 s, and returns the most
// retries in a window. The first 20 s, in which the fleet starts, belong to it.
func play(seed uint64, size int, length time.Duration, names ...string) int {
	s := newSimFleet(seed, size)
	next := s.now + s.between(10*time.Second, 30*time.Second)
	s.run(length, func() {
		if s.now < next {
			return
		}
		next = s.now + s.between(time.Second, 10*time.Second)
		simFaults[names[s.rng.IntN(len(names))]](s)
	})
	return s.most(0)
}

// TestAllProcessesTogetherKeepTheSlackOfRetries checks that daemons which retry as much as
// they may never exceed the slack of the whole fleet in any window, whatever happens to
// them.
func TestAllProcessesTogetherKeepTheSlackOfRetries(t *testing.T) {
	schedules := map[string][]string{
		"kills": {"kills"}, "stops": {"stops"}, "outages": {"outages"}, "freezes": {"freezes"}, "cuts": {"cuts"}, "growth": {"growth"}, "losses": {"losses"},
		"all": {"kills", "stops", "outages", "freezes", "cuts", "growth", "losses"},
	}
	for name, faults := range schedules {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			for seed := range uint64(simSeeds) {
				most := play(seed, simDaemons, simLength, faults...)
				if most > retrySlack || most == 0 {
					t.Logf("seed %d: %d retries in a window, %d are allowed", seed, most, retrySlack)
				}
				is.True(most > 0)
				is.True(most <= retrySlack)
			}
		})
	}
}
