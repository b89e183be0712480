package standin

import (
	"context"
	"sync"
	"time"
)

// Links are the rate-limited paths between failure domains. All engines of one
// process share them.
type Links struct {
	start          time.Time
	within, across float64

	mu     sync.Mutex
	states map[linkKey]*linkState
}

// path is a direction between failure domains.
type linkKey struct{ from, to string }

// linkPath is the state of one path.
type linkState struct {
	link  sharedLink
	timer *time.Timer
}

// NewLinks returns links with a rate within each failure domain and one for
// each direction across two, in bytes a second.
func NewLinks(within, across float64) *Links {
	return &Links{start: time.Now(), within: within, across: across, states: map[linkKey]*linkState{}}
}

// SetRate changes the rate of one direction, in bytes a second.
func (l *Links) SetRate(from, to string, rate float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.state(linkKey{from, to})
	p.link.advance(l.now())
	p.link.rate = rate
	l.arm(p)
}

// Transfer carries bytes and returns when they are through or ctx ended.
func (l *Links) Transfer(ctx context.Context, from, to string, bytes int64) error {
	l.mu.Lock()
	p := l.state(linkKey{from, to})
	item := p.link.add(l.now(), bytes)
	l.arm(p)
	l.mu.Unlock()
	select {
	case <-item.done:
		return nil
	case <-ctx.Done():
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	p.link.remove(l.now(), item)
	l.arm(p)
	return ctx.Err()
}

// now is the time since the links were made.
func (l *Links) now() time.Duration { return time.Since(l.start) }

// path returns the state of one direction.
func (l *Links) state(key linkKey) *linkState {
	if p, ok := l.states[key]; ok {
		return p
	}
	rate := l.across
	if key.from == key.to {
		rate = l.within
	}
	p := &linkState{link: sharedLink{rate: rate}}
	l.states[key] = p
	return p
}

// arm sets the timer to the next end of a transfer.
func (l *Links) arm(p *linkState) {
	if p.timer != nil {
		p.timer.Stop()
	}
	if len(p.link.transfers) == 0 {
		return
	}
	p.timer = time.AfterFunc(p.link.nextEnd()-l.now(), func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		p.link.advance(l.now())
		l.arm(p)
	})
}

// The default rates of links, in bytes a second.
const (
	DefaultRateWithin = 2e9
	DefaultRateAcross = 1e9
)
