// Package evidence keeps the evidence about requests that crash endpoints equal on all
// daemons. New evidence is broadcast as it arises, which reaches those that are there and
// connected at the time. A daemon that starts therefore asks others for what they hold
// before it sends its first request, and every daemon compares its evidence with that of
// a random other one from time to time.
package evidence

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/poison"
)

const (
	// startFanout is how many daemons a starting one asks at a time, so that one that is
	// frozen or gone does not delay it.
	startFanout = 3
	// startPause is the pause after the first questions of a starting daemon. It doubles,
	// since a whole fleet may start at once.
	startPause = 50 * time.Millisecond
	// DefaultStartWait is how long requests wait for evidence at most: well below the
	// time for which callers wait for a short call. When all daemons start at once there
	// is nobody who knows anything.
	DefaultStartWait = 500 * time.Millisecond
	// DefaultInterval is the interval at which a daemon compares its evidence.
	DefaultInterval = 2 * time.Second
	// maxInterval bounds the interval while comparing brings nothing new although the
	// evidence differs, which it does for good where one daemon has dropped old records.
	maxInterval = time.Minute
	// askTimeout bounds a question to another daemon.
	askTimeout = 400 * time.Millisecond
	// maxSuspects bounds the suspects in an answer, and with them its size: about 250 KB.
	maxSuspects = 8192
)

// Query asks a daemon for its evidence.
type Query struct {
	// Digest is that of the sender's evidence.
	Digest uint64 `cbor:"1,keyasint"`
}

// Reply answers a Query.
type Reply struct {
	// Complete is set if the daemon has itself learnt what the others know.
	Complete bool `cbor:"1,keyasint,omitempty"`
	// Differs is set if the daemon's evidence has another digest; State holds it then.
	Differs bool         `cbor:"2,keyasint,omitempty"`
	State   poison.State `cbor:"3,keyasint"`
}

// Config sets up a Syncer.
type Config struct {
	Ledger *poison.Ledger
	// Others returns the other daemons to ask: all, or in a large fleet some to which all
	// are connected.
	Others func() []id.Daemon
	// Alone reports whether the fleet is known to have no other daemon.
	Alone func() bool
	// Ask sends a query to a daemon.
	Ask func(ctx context.Context, to id.Daemon, q *Query) (*Reply, error)
	// Adopt merges evidence without passing it on, and reports whether any was new.
	Adopt func(poison.State) bool
	// Log logs an event.
	Log func(event string, kv ...any)
	// StartWait and Interval are DefaultStartWait and DefaultInterval if 0.
	StartWait, Interval time.Duration
}

// Syncer compares the evidence of one daemon with that of others.
type Syncer struct {
	cfg    Config
	known  chan struct{}
	cancel context.CancelFunc
	done   sync.WaitGroup
}

// Start starts a Syncer.
func Start(cfg Config) *Syncer {
	if cfg.StartWait == 0 {
		cfg.StartWait = DefaultStartWait
	}
	if cfg.Interval == 0 {
		cfg.Interval = DefaultInterval
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Syncer{cfg: cfg, known: make(chan struct{}), cancel: cancel}
	s.done.Go(func() { s.run(ctx) })
	return s
}

// Close stops the Syncer.
func (s *Syncer) Close() {
	s.cancel()
	s.done.Wait()
}

// Known returns a channel that is closed once the daemon has learnt what the others
// know, or has waited for it long enough.
func (s *Syncer) Known() <-chan struct{} { return s.known }

// Answer answers another daemon's query.
func (s *Syncer) Answer(q Query) *Reply {
	r := &Reply{Complete: s.isKnown(), Differs: q.Digest != s.cfg.Ledger.Digest()}
	if r.Differs {
		r.State = s.cfg.Ledger.Newest(maxSuspects)
	}
	return r
}

func (s *Syncer) isKnown() bool {
	select {
	case <-s.known:
		return true
	default:
		return false
	}
}

func (s *Syncer) run(ctx context.Context) {
	s.learnAtStart(ctx)
	close(s.known)
	pause := s.cfg.Interval
	for sleep(ctx, pause) {
		if s.compare(ctx) {
			pause = s.cfg.Interval
		} else {
			pause = min(2*pause, maxInterval)
		}
	}
}

// learnAtStart asks a few random daemons at a time until one answers that knows what
// the others know, for StartWait at most.
func (s *Syncer) learnAtStart(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.StartWait)
	defer cancel()
	complete := make(chan struct{}, 1)
	var asked sync.WaitGroup
	defer asked.Wait()
	for pause := startPause; !s.cfg.Alone(); pause *= 2 {
		for _, other := range s.pick(startFanout) {
			asked.Go(func() {
				r := s.ask(ctx, other)
				if r == nil {
					return
				}
				s.adopt(other, r)
				if r.Complete {
					signal(complete)
				}
			})
		}
		select {
		case <-complete:
			cancel() // the other questions
			return
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
	}
}

// compare compares the evidence with that of a random daemon. It returns false if the
// other's differs and holds nothing new.
func (s *Syncer) compare(ctx context.Context) bool {
	for _, other := range s.pick(1) {
		if r := s.ask(ctx, other); r != nil && r.Differs {
			return s.adopt(other, r)
		}
	}
	return true
}

// ask sends a query to a daemon. It returns nil if there is no answer; another daemon is
// asked later.
func (s *Syncer) ask(ctx context.Context, other id.Daemon) *Reply {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	r, err := s.cfg.Ask(ctx, other, &Query{Digest: s.cfg.Ledger.Digest()})
	if err != nil {
		return nil
	}
	return r
}

// adopt merges the evidence in a reply and reports whether any was new.
func (s *Syncer) adopt(from id.Daemon, r *Reply) bool {
	if !s.cfg.Adopt(r.State) {
		return false
	}
	s.cfg.Log("evidence_adopted", "peer", from, "breaks", len(r.State.Crashes), "cleared", len(r.State.Cleared))
	return true
}

// pick returns up to n random other daemons.
func (s *Syncer) pick(n int) []id.Daemon {
	others := append([]id.Daemon(nil), s.cfg.Others()...)
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return others[:min(n, len(others))]
}

// signal sends on a channel with room for one value, unless it is full.
func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func sleep(ctx context.Context, pause time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(pause):
		return true
	}
}
