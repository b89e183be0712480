package registry

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/uptime"
)

// Time parameters of the simulated fleet, which advances in steps of simStep.
const (
	simStep = 100 * time.Millisecond
	// simQueryPause is the pause between two queries to other daemons.
	simQueryPause = 400 * time.Millisecond
	// simCalm is for how long a daemon must have been without faults of its own
	// before it must have dropped endpoints that left; simDropWithin is the time it
	// has for that after an endpoint left.
	simCalm       = 3 * time.Second
	simDropWithin = 2 * time.Second
	// simReaders is how many daemons read the store and send changes to the others.
	simReaders = 3
	// simCutDetection is how long the others take to detect that a daemon is cut off.
	simCutDetection = 1200 * time.Millisecond
	// simChoosePause is the time between two choices of readers.
	simChoosePause = 500 * time.Millisecond
	// simLapseAfter is how long the store must be unavailable for entries to
	// lapse; simOthersLost is for how long others must have been without the store
	// before a daemon suspects an outage.
	simLapseAfter = 2400 * time.Millisecond
	simOthersLost = time.Second
	// notYet is the return time of an endpoint whose entry lapsed while the store is
	// still unavailable.
	notYet = time.Duration(math.MaxInt64)
)

// simDaemon is one daemon of a simulated fleet.
type simDaemon struct {
	*List
	reader bool
	// lost is set if the last call failed; retryAt is the time of the next call.
	lost    bool
	lostAt  time.Duration
	retryAt time.Duration
	// refusedUntil is until when the store refuses the daemon, cutUntil until when
	// it is cut off from the other daemons as well; calmSince is when the last such
	// fault ended.
	refusedUntil, cutUntil, calmSince time.Duration
	// cutSince is when the last cut began.
	cutSince time.Duration
	unbroken bool
	known    uint64
}

// simEndpoint is one endpoint: whether it is present, and whether it is listed.
type simEndpoint struct {
	name   id.Endpoint
	listed bool
	// leftAt is when it left without an announcement; 0 while it is present.
	leftAt time.Duration
	// returnsAt is when it registers again after its entry lapsed in an outage.
	returnsAt time.Duration
}

// simFleet is a store, endpoints and daemons.
type simFleet struct {
	rng       *rand.Rand
	now       time.Duration
	version   uint64
	downSince time.Duration
	downUntil time.Duration
	upSince   time.Duration
	daemons   []*simDaemon
	endpoints []*simEndpoint
}

func newSimFleet(seed uint64, daemons int) *simFleet {
	s := &simFleet{rng: rand.New(rand.NewPCG(seed, 7)), now: 20 * time.Second, version: 1}
	for i := range 6 {
		s.endpoints = append(s.endpoints, &simEndpoint{name: id.Endpoint(fmt.Sprint("e", i)), listed: true})
	}
	for i := range daemons {
		d := &simDaemon{List: New(), reader: i < simReaders}
		d.Set(s.now, s.version, s.entries())
		d.known = s.version
		s.daemons = append(s.daemons, d)
	}
	return s
}

func (s *simFleet) entries() []Endpoint {
	var out []Endpoint
	for _, e := range s.endpoints {
		if e.listed {
			out = append(out, Endpoint{Name: e.name, Address: string(e.name)})
		}
	}
	return out
}

func (s *simFleet) down() bool { return s.now < s.downUntil }

// between returns a random duration in [low, high).
func (s *simFleet) between(low, high time.Duration) time.Duration {
	return low + time.Duration(s.rng.Int64N(int64(high-low)))
}

// injectFaults randomly starts outages of the store, refusals of single daemons by
// the store, and cuts of single daemons from the store and the other daemons.
func (s *simFleet) injectFaults(outages bool) {
	if outages && !s.down() && s.rng.IntN(150) == 0 {
		s.downSince = s.now
		s.downUntil = s.now + s.between(time.Second, 8*time.Second)
		if s.rng.IntN(3) == 0 {
			s.downUntil = s.now + s.between(200*time.Millisecond, 900*time.Millisecond)
		}
	}
	for _, d := range s.daemons {
		switch s.rng.IntN(400) {
		case 0:
			d.refusedUntil = s.now + s.between(time.Second, 12*time.Second)
		case 1:
			d.cutSince = s.now
			d.cutUntil = s.now + s.between(time.Second, 8*time.Second)
		}
		if s.now < d.refusedUntil || s.now < d.cutUntil {
			d.calmSince = s.now
		}
	}
}

// updateEntries lapses, restores and removes the endpoints' entries.
func (s *simFleet) updateEntries() {
	for _, e := range s.endpoints {
		switch {
		case e.leftAt > 0:
		case s.down() && s.now-s.downSince >= simLapseAfter && e.listed && s.rng.IntN(8) == 0:
			e.listed, e.returnsAt = false, notYet
			s.version++
		case !s.down() && !e.listed && e.returnsAt == notYet:
			e.returnsAt = s.now + s.between(0, 2*time.Second)
		case !s.down() && !e.listed && s.now >= e.returnsAt:
			e.listed = true
			s.version++
		case !s.down() && e.listed && s.now-s.upSince > simCalm && s.rng.IntN(300) == 0:
			e.listed, e.leftAt = false, s.now
			s.version++
		}
	}
}

// chooseReaders selects the readers again: the first daemons that the store serves,
// according to the state that the others have detected.
func (s *simFleet) chooseReaders() {
	chosen := 0
	for _, d := range s.daemons {
		cut := s.now < d.cutUntil && s.now-d.cutSince > simCutDetection
		reader := chosen < simReaders && !d.lost && !cut
		if reader {
			chosen++
		}
		if !reader {
			d.unbroken = false
		}
		d.reader = reader
	}
}

// call simulates a daemon's call to the store.
func (s *simFleet) call(d *simDaemon) {
	if s.now < d.retryAt {
		return
	}
	if s.down() || s.now < d.refusedUntil || s.now < d.cutUntil {
		d.unbroken = false
		d.retryAt = s.now + s.between(0, 3*time.Second)
		if !d.lost {
			d.lost, d.lostAt = true, s.now
			d.StoreLost()
		}
		return
	}
	if d.lost {
		d.lost = false
		d.StoreBack(s.now)
	}
	if !d.unbroken && s.othersLost(d) {
		d.SuspectOutage(s.now)
	}
	d.RecordResponse(s.version, s.now, d.unbroken)
	d.unbroken = true
	if s.version > d.known {
		s.read(d)
		s.push(d)
	}
	d.MarkCurrent()
}

// othersLost reports whether a daemon sees that others have been without the store
// for simOthersLost.
func (s *simFleet) othersLost(d *simDaemon) bool {
	for _, other := range s.daemons {
		if other != d && other.lost && s.now-other.lostAt >= simOthersLost && s.now >= other.cutUntil {
			return true
		}
	}
	return false
}

func (s *simFleet) read(d *simDaemon) {
	d.known = s.version
	d.Set(s.now, s.version, s.entries())
}

// push sends changes from a reader to the other daemons.
func (s *simFleet) push(from *simDaemon) {
	if !from.reader || s.now < from.cutUntil {
		return
	}
	spans, mayReturn := from.Uptime(), from.EntriesMayReturn(s.now)
	for _, to := range s.daemons {
		if to == from || s.now < to.cutUntil {
			continue
		}
		to.MergeUptime(spans, from.known)
		if mayReturn {
			to.ReportOutage(s.now)
		}
		if s.version > to.known {
			s.read(to)
		}
	}
}

// query asks the readers, on behalf of a daemon, for the spans in which the store
// responded to them.
func (s *simFleet) query(d *simDaemon) {
	d.DropRemoved()
	if _, ask := d.ShouldQuery(s.now, simQueryPause); !ask || s.now < d.cutUntil {
		return
	}
	for _, other := range s.daemons {
		if other != d && other.reader && s.now >= other.cutUntil {
			spans := other.Uptime()
			d.MergeUptime(spans, other.known)
		}
	}
}

func (s *simFleet) step(outages bool) {
	s.now += simStep
	if s.down() {
		s.upSince = s.now
	}
	s.injectFaults(outages)
	s.updateEntries()
	if s.now%simChoosePause == 0 {
		s.chooseReaders()
	}
	for _, d := range s.daemons {
		if d.reader || d.lost || s.now < d.cutUntil {
			s.call(d)
		}
		// After a cut, a daemon catches up with the state that the others hold.
		if s.now >= d.cutUntil && d.known < s.version && d.lost {
			s.catchUp(d)
		}
		if s.now%simQueryPause == 0 {
			s.query(d)
		}
	}
}

// catchUp gives a daemon that the store does not respond to the list of an up-to-date
// reader.
func (s *simFleet) catchUp(d *simDaemon) {
	for _, other := range s.daemons {
		if other != d && other.reader && s.now >= other.cutUntil && other.known == s.version {
			spans := other.Uptime()
			d.MergeUptime(spans, other.known)
			s.read(d)
			return
		}
	}
}

// witnessed reports whether some daemon was served continuously since an endpoint
// left, and for the return grace before. Without such a daemon, an outage of the
// store can't be ruled out.
func (s *simFleet) witnessed(e *simEndpoint) bool {
	for _, d := range s.daemons {
		own := d.outage.ownSpan
		if s.now >= d.cutUntil && own.Known() && own.Since+uptime.ReturnGrace <= e.leftAt && s.now-own.Last <= simStep {
			return true
		}
	}
	return false
}

func (d *simDaemon) has(name id.Endpoint) bool {
	for _, e := range d.All() {
		if e.Name == name {
			return true
		}
	}
	return false
}

// TestRandomFaultsDropLeftEndpoints checks that no daemon without faults of its own
// still lists an endpoint that left without an announcement while the store was
// available, whichever refusals and cuts happened in the meantime. It applies only
// while some daemon was served continuously.
func TestRandomFaultsDropLeftEndpoints(t *testing.T) {
	checked := 0
	for seed := range uint64(60) {
		s := newSimFleet(seed, 6)
		for range 900 {
			s.step(false)
			for i, d := range s.daemons {
				for _, e := range s.endpoints {
					calm := s.now-d.calmSince > simCalm
					if e.leftAt == 0 || !calm || s.now-e.leftAt <= simDropWithin || !s.witnessed(e) {
						continue
					}
					checked++
					if d.has(e.name) {
						t.Fatalf("seed %d: at %s daemon %d has %s, which left at %s", seed, s.now, i, e.name, e.leftAt)
					}
				}
			}
		}
	}
	if checked == 0 {
		t.Fatal("no departed endpoint was checked")
	}
}

// TestRandomOutagesKeepEndpoints checks that an endpoint whose entry lapsed during an
// outage stays listed at all daemons. In a large fleet, most daemons have not called
// the store in the meantime.
func TestRandomOutagesKeepEndpoints(t *testing.T) {
	t.Run("6 daemons", func(t *testing.T) { randomOutages(t, 6, 60) })
	t.Run("60 daemons", func(t *testing.T) { randomOutages(t, 60, 12) })
}

func randomOutages(t *testing.T, daemons int, seeds uint64) {
	t.Helper()
	lapsed := 0
	for seed := range seeds {
		s := newSimFleet(seed, daemons)
		for range 900 {
			s.step(true)
			for i, d := range s.daemons {
				for _, e := range s.endpoints {
					if e.leftAt > 0 {
						continue
					}
					if !e.listed {
						lapsed++
					}
					if !d.has(e.name) {
						t.Fatalf("seed %d: at %s daemon %d lost %s: down until %s, back at %s; %+v",
							seed, s.now, i, e.name, s.downUntil, e.returnsAt, d.outage)
					}
				}
			}
		}
	}
	if lapsed == 0 {
		t.Fatal("no entry lapsed")
	}
}
