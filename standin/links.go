package standin

import (
	"context"
	"sync"
	"time"
)

// Links are the rate-limited links within and between failure domains. All
// engines of a Platform share them.
type Links struct {
	start          time.Time
	within, across float64

	mu     sync.Mutex
	states map[linkKey]*linkState
}

// linkKey identifies a link by its direction between failure domains.
type linkKey struct{ from, to string }

// linkState is the state of one link.
type linkState struct {
	link  sharedLink
	timer *time.Timer
}

// NewLinks returns links with a rate within each failure domain and one for
// each direction across two, in bytes a second.
func NewLinks(within, across float64) *Links {
	return &Links{start: time.Now(), within: within, across: across, states: map[linkKey]*linkState{}}
}

// SetRate changes the rate of one direction to rate, in bytes a second.
func (l *Links) SetRate(from, to string, rate float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.state(linkKey{from, to})
	s.link.advance(l.now())
	s.link.rate = rate
	l.arm(s)
}

// Transfer simulates the transfer of a number of bytes. It returns when the
// transfer is complete, or the error of ctx if that ends first.
func (l *Links) Transfer(ctx context.Context, from, to string, bytes int64) error {
	l.mu.Lock()
	s := l.state(linkKey{from, to})
	item := s.link.add(l.now(), bytes)
	l.arm(s)
	l.mu.Unlock()
	select {
	case <-item.done:
		return nil
	case <-ctx.Done():
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s.link.remove(l.now(), item)
	l.arm(s)
	return ctx.Err()
}

// now returns the time since the links were created.
func (l *Links) now() time.Duration { return time.Since(l.start) }

// state returns the state of one link, created on first use. The caller holds
// mu.
func (l *Links) state(key linkKey) *linkState {
	if s, ok := l.states[key]; ok {
		return s
	}
	rate := l.across
	if key.from == key.to {
		rate = l.within
	}
	s := &linkState{link: sharedLink{rate: rate}}
	l.states[key] = s
	return s
}

// arm sets the timer of a link to the next end of a transfer. The caller holds
// mu.
func (l *Links) arm(s *linkState) {
	if s.timer != nil {
		s.timer.Stop()
	}
	if len(s.link.transfers) == 0 {
		return
	}
	s.timer = time.AfterFunc(s.link.nextEnd()-l.now(), func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		s.link.advance(l.now())
		l.arm(s)
	})
}

// The default rates of links, in bytes a second.
const (
	DefaultRateWithin = 2e9
	DefaultRateAcross = 1e9
)
