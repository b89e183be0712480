package broker

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/pairing"
	"github.com/samphirequay/samphirequay/core/poison"
	"github.com/samphirequay/samphirequay/core/pool"
	"github.com/samphirequay/samphirequay/core/sched"
	"github.com/samphirequay/samphirequay/daemon/metrics"
)

// silentOwner accepts every message, answers none and counts the Wants.
type silentOwner struct{ wants int }

// SendBroker implements Sender.
func (s *silentOwner) SendBroker(_ id.Daemon, e *Envelope) error {
	if e.Want != nil {
		s.wants++
	}
	return nil
}

// TestBrokerWithoutPoolsResendsWants guards against a broker that does not wake to
// resend a Want: in a daemon that owns no pool, no other event wakes its duty.
func TestBrokerWithoutPoolsResendsWants(t *testing.T) {
	is := is.New(t)
	owner := &silentOwner{}
	b := New(Config{
		Self:       id.Process{Daemon: "a", Incarnation: 1},
		NewManager: func(id.Pool) *pool.Manager { t.Error("this daemon owns no pool"); return nil },
		Sender:     owner,
		Poison:     poison.New(poison.Config{}),
		Spread:     func(poison.State) {},
		Relay:      func(poison.State) {},
		Metrics:    metrics.New("a"),
		Now:        func() time.Duration { return 0 },
	})
	b.Close() // from here on the test replaces the duty

	const asked = time.Minute
	b.output(asked, b.requester.SetMembers(asked, []id.Daemon{"owner"}))
	b.output(asked, b.requester.Request(asked, sched.Want{Request: "r", Pool: "p"}, time.Second))
	next := b.tick(asked)
	is.Equal(next, asked+pairing.DefaultResend)
	b.tick(next)
	is.Equal(owner.wants, 2) // sent, and resent after the wake-up
}
