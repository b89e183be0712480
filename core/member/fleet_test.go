package member

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/samphirequay/samphirequay/core/id"
)

// tick is the time step of a test fleet; messages are delivered after one step.
const tick = 10 * time.Millisecond

// fleet runs memberships on one simulated clock.
type fleet struct {
	cfg     Config
	now     time.Duration
	rng     *rand.Rand
	names   []id.Daemon
	domains map[id.Daemon]id.Domain
	members map[id.Daemon]*Membership
	// stopped and paused daemons do not run; messages to a paused daemon are kept,
	// those to a stopped one are lost.
	stopped  map[id.Daemon]bool
	paused   map[id.Daemon]bool
	lost     func(from, to id.Daemon) bool
	loss     float64
	inFlight []Send
	senders  []id.Daemon
	// changed records all changes by observer.
	changed  map[id.Daemon][]Changed
	declared map[id.Daemon]int
	isolated map[id.Daemon]int
	resume   bool
	count    bool
	messages int
	bytes    int
}

func newFleet(mode Mode, n, domains int, seed uint64) *fleet {
	return newFleetWith(func(*Config) {}, mode, n, domains, seed)
}

// newFleetWith is newFleet with a changed configuration.
func newFleetWith(change func(*Config), mode Mode, n, domains int, seed uint64) *fleet {
	f := &fleet{
		cfg:      DefaultConfig(mode),
		rng:      rand.New(rand.NewPCG(seed, 7)),
		domains:  map[id.Daemon]id.Domain{},
		members:  map[id.Daemon]*Membership{},
		stopped:  map[id.Daemon]bool{},
		paused:   map[id.Daemon]bool{},
		changed:  map[id.Daemon][]Changed{},
		declared: map[id.Daemon]int{},
		isolated: map[id.Daemon]int{},
		resume:   true,
	}
	change(&f.cfg)
	for i := range n {
		name := id.Daemon(fmt.Sprintf("host-%03d", i))
		f.names = append(f.names, name)
		f.domains[name] = id.Domain(fmt.Sprintf("domain-%d", i%domains))
	}
	for _, name := range f.names {
		f.start(name, 1)
	}
	return f
}

func (f *fleet) start(name id.Daemon, inc id.Incarnation) {
	f.startAlone(name, inc)
	f.act(name, f.members[name].MergeHosts(f.now, f.hosts()))
}

// startAlone starts a daemon that has no host list yet.
func (f *fleet) startAlone(name id.Daemon, inc id.Incarnation) {
	self := Entry{Process: id.Process{Daemon: name, Incarnation: inc}, Domain: f.domains[name], Address: "10.20.30.40:7000"}
	f.members[name] = New(f.cfg, self, f.now, rand.New(rand.NewPCG(f.rng.Uint64(), uint64(inc))))
	delete(f.stopped, name)
}

func (f *fleet) hosts() []Host {
	var out []Host
	for _, name := range f.names {
		out = append(out, Host{Name: name, Domain: f.domains[name], Address: "10.20.30.40:7000"})
	}
	return out
}

func (f *fleet) act(name id.Daemon, actions []Action) {
	for _, a := range actions {
		switch {
		case a.Send != nil:
			f.inFlight = append(f.inFlight, *a.Send)
			f.senders = append(f.senders, name)
		case a.Changed != nil:
			f.changed[name] = append(f.changed[name], *a.Changed)
		case a.DeclaredDead != nil:
			f.declared[name]++
			if f.resume {
				f.act(name, f.members[name].Resume(f.now))
			}
		case a.Isolated != nil && a.Isolated.Now:
			f.isolated[name]++
		}
	}
}

// run advances all daemons; each step first delivers the messages of the last step.
func (f *fleet) run(d time.Duration) {
	for end := f.now + d; f.now < end; f.now += tick {
		f.deliver()
		for _, name := range f.names {
			m := f.members[name]
			if !f.stopped[name] && !f.paused[name] && m.Next() <= f.now {
				f.act(name, m.Tick(f.now))
			}
		}
	}
}

func (f *fleet) deliver() {
	sent, senders := f.inFlight, f.senders
	f.inFlight, f.senders = nil, nil
	for i, s := range sent {
		if f.count {
			raw, err := cbor.Marshal(s.Message)
			if err != nil {
				panic(err)
			}
			f.messages++
			f.bytes += len(raw)
		}
		cut := f.lost != nil && f.lost(senders[i], s.To)
		switch {
		case f.stopped[s.To] || cut || f.rng.Float64() < f.loss:
		case f.paused[s.To]:
			f.inFlight = append(f.inFlight, s)
			f.senders = append(f.senders, senders[i])
		default:
			f.act(s.To, f.members[s.To].Receive(f.now, s.Message))
		}
	}
}

// states counts the states in which the running daemons see one daemon.
func (f *fleet) states(about id.Daemon) map[State]int {
	out := map[State]int{}
	for _, name := range f.names {
		if name == about || f.stopped[name] || f.paused[name] {
			continue
		}
		e, _ := f.members[name].Get(about)
		out[e.State]++
	}
	return out
}

// allSeeOne reports whether all running daemons see one daemon in a state.
func (f *fleet) allSeeOne(about id.Daemon, s State) bool {
	counts := f.states(about)
	return len(counts) == 1 && counts[s] > 0
}

// converged reports whether every running daemon is seen alive by all others.
func (f *fleet) converged() bool {
	for _, name := range f.names {
		if !f.stopped[name] && !f.allSeeOne(name, Alive) {
			return false
		}
	}
	return true
}

// until runs the fleet until ok returns true or the limit is reached, and returns
// the time taken.
func (f *fleet) until(limit time.Duration, ok func() bool) (time.Duration, bool) {
	start := f.now
	for f.now-start < limit {
		if ok() {
			return f.now - start, true
		}
		f.run(5 * tick)
	}
	return limit, ok()
}

// deaths counts how often any daemon declared one daemon dead.
func (f *fleet) deaths(about id.Daemon) int {
	n := 0
	for _, name := range f.names {
		for _, c := range f.changed[name] {
			if c.Process.Daemon == about && c.To == Dead {
				n++
			}
		}
	}
	return n
}

func percentile(all []time.Duration, share float64) time.Duration {
	slices.SortFunc(all, cmp.Compare)
	return all[int(share*float64(len(all)-1))]
}
