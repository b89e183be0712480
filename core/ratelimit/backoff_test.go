package ratelimit

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/id"
)

// TestTheLaterEndOfABackoffStands checks that a shorter backoff that is named later does not
// end a longer one.
func TestTheLaterEndOfABackoffStands(t *testing.T) {
	is := is.New(t)
	l := New("a")
	until, began := l.Backoff(0, "e", 3*time.Second)
	is.True(began)
	is.Equal(until, 3*time.Second)
	until, began = l.Backoff(time.Second, "e", time.Second)
	is.True(!began)
	is.Equal(until, 3*time.Second)
	until, began = l.Backoff(2*time.Second, "e", 3*time.Second)
	is.True(!began)
	is.Equal(until, 5*time.Second)
	is.Equal(l.BackoffWait(3*time.Second, "e"), 2*time.Second)
	is.Equal(l.BackoffWait(5*time.Second, "e"), time.Duration(0))
	is.Equal(l.BackoffWait(0, "other"), time.Duration(0))
}

// TestABackoffIsBounded checks that no value silences an endpoint for longer than maxBackoff.
func TestABackoffIsBounded(t *testing.T) {
	is := is.New(t)
	l := New("a")
	until, _ := l.Backoff(time.Second, "e", 24*time.Hour)
	is.Equal(until, time.Second+maxBackoff)
	is.Equal(l.Backoffs(maxBackoff), 1)
	is.Equal(l.Backoffs(time.Second+maxBackoff), 0)
}

// TestABackoffGoesWithItsEndpoint checks that an endpoint which starts again, and so has
// another name, begins without a backoff.
func TestABackoffGoesWithItsEndpoint(t *testing.T) {
	is := is.New(t)
	l := New("a")
	l.Backoff(0, "e", time.Second)
	l.Backoff(0, "gone", time.Second)
	l.Retain(func(e id.Endpoint) bool { return e != "gone" })
	is.Equal(l.Blocked(0), []id.Endpoint{"e"})
	is.True(!l.Idle(0))
	l.Retain(func(id.Endpoint) bool { return false })
	is.True(l.Idle(0))
}

// TestABackoffAndALimitHoldTogether checks an endpoint with both: the longer wait counts,
// and one that this daemon leaves to others stays with them.
func TestABackoffAndALimitHoldTogether(t *testing.T) {
	is := is.New(t)
	l := New("a")
	l.Observe(0, Named{Endpoint: "e", PerSecond: 1, AtUnixMS: 1})
	l.Take(0, "e")
	l.Backoff(0, "e", 300*time.Millisecond)
	wait, ok := l.Wait(0, "e")
	is.True(ok)
	is.Equal(wait, time.Second)
	is.Equal(l.Blocked(0), []id.Endpoint{"e"})
	l.Backoff(0, "e", 3*time.Second)
	wait, ok = l.Wait(0, "e")
	is.True(ok)
	is.Equal(wait, 3*time.Second)
	is.Equal(l.NextFree(0, "e"), 3*time.Second)

	var others []id.Daemon
	for n := range 100 {
		others = append(others, id.Daemon(fmt.Sprint("d", n)))
	}
	for n := range others {
		l := New(others[n])
		l.SetDaemons(0, others)
		l.Observe(0, Named{Endpoint: "e", PerSecond: 1, AtUnixMS: 1})
		if _, ok := l.Wait(0, "e"); ok {
			continue
		}
		l.Backoff(0, "e", time.Second)
		_, ok = l.Wait(2*time.Second, "e")
		is.True(!ok)
	}
}

// TestOneRequestGoesFirstAfterABackoff guards against all requests that were held up coming
// at once and bringing on the next refusal.
func TestOneRequestGoesFirstAfterABackoff(t *testing.T) {
	is := is.New(t)
	l := New("a")
	l.Backoff(0, "e", time.Second)
	now := time.Second
	is.Equal(l.BackoffWait(now, "e"), time.Duration(0))
	l.Take(now, "e")
	is.Equal(l.BackoffWait(now, "e"), firstAnswerTime)
	is.True(!l.InBackoff(now, "e"))

	lasted, refusals, ended := l.Answered(now+time.Millisecond, "e")
	is.True(ended)
	is.Equal(lasted, time.Second+time.Millisecond)
	is.Equal(refusals, 1)
	is.Equal(l.BackoffWait(now+time.Millisecond, "e"), time.Duration(0))
	is.True(l.Idle(now))
}

// TestAFirstRequestThatIsNotAnsweredHoldsNobodyUp checks the bound of that, also for a first
// request that waits for the end of the backoff.
func TestAFirstRequestThatIsNotAnsweredHoldsNobodyUp(t *testing.T) {
	is := is.New(t)
	l := New("a")
	l.Backoff(0, "e", time.Second)
	l.Take(time.Second/2, "e")
	is.Equal(l.BackoffWait(time.Second, "e"), firstAnswerTime)
	is.Equal(l.BackoffWait(time.Second+firstAnswerTime, "e"), time.Duration(0))
	l.Take(time.Second+firstAnswerTime, "e")
	is.Equal(l.BackoffWait(time.Second+firstAnswerTime, "e"), time.Duration(0))
}

// TestAnAnswerFromBeforeDoesNotEndABackoff checks answers to requests that were sent before
// the backoff began.
func TestAnAnswerFromBeforeDoesNotEndABackoff(t *testing.T) {
	is := is.New(t)
	l := New("a")
	l.Backoff(0, "e", time.Second)
	for _, now := range []time.Duration{time.Millisecond, time.Second + time.Millisecond} {
		_, _, ended := l.Answered(now, "e")
		is.True(!ended)
	}
	is.True(!l.Idle(2 * time.Second))
	_, _, ended := l.Answered(0, "other")
	is.True(!ended)
}

// underWay is a request on its way to the endpoint, or an answer on its way back.
type underWay struct {
	at      time.Duration
	answer  bool
	refused bool
	backoff time.Duration
}

// refusing simulates one daemon and one endpoint that refuses in spells of random length.
type refusing struct {
	rng     *rand.Rand
	l       *Limiter
	way     []underWay
	arrived []time.Duration
	// named are the backoffs, by the endpoint's clock.
	named []span
	// refusesUntil ends the spell in which the endpoint refuses.
	refusesUntil time.Duration
}

type span struct{ from, to time.Duration }

// between returns a random time.
func (r *refusing) between(least, most time.Duration) time.Duration {
	return least + time.Duration(r.rng.Int64N(int64(most-least)))
}

// delay is how long a message takes: well under the half second in which requests that were
// under way don't count.
func (r *refusing) delay() time.Duration { return r.between(0, 200*time.Millisecond) }

func (r *refusing) run(total time.Duration, perSecond float64) {
	const step = time.Millisecond
	for now := time.Duration(0); now < total; now += step {
		if now >= r.refusesUntil && r.rng.Float64() < 0.0002 {
			r.refusesUntil = now + r.between(0, 8*time.Second)
		}
		slices.SortStableFunc(r.way, func(a, b underWay) int { return cmp.Compare(a.at, b.at) })
		for len(r.way) > 0 && r.way[0].at <= now {
			next := r.way[0]
			r.way = r.way[1:]
			r.deliver(now, next)
		}
		for expected := perSecond * step.Seconds(); expected > r.rng.Float64(); expected-- {
			if wait, ok := r.l.Wait(now, "e"); wait == 0 && ok {
				r.l.Take(now, "e")
				r.way = append(r.way, underWay{at: now + r.delay()})
			}
		}
	}
}

func (r *refusing) deliver(now time.Duration, m underWay) {
	switch {
	case m.answer && m.refused && m.backoff > 0:
		r.l.Backoff(now, "e", m.backoff)
	case m.answer && !m.refused:
		r.l.Answered(now, "e")
	case m.answer: // a refusal without a backoff
	case now >= r.refusesUntil:
		r.arrived = append(r.arrived, now)
		r.way = append(r.way, underWay{at: now + r.between(0, time.Second) + r.delay(), answer: true})
	default:
		r.arrived = append(r.arrived, now)
		backoff := time.Duration(0)
		if r.rng.IntN(4) > 0 {
			backoff = r.between(10*time.Millisecond, maxBackoff/4)
			r.named = append(r.named, span{now + 500*time.Millisecond, now + backoff})
		}
		r.way = append(r.way, underWay{at: now + r.delay(), answer: true, refused: true, backoff: backoff})
	}
}

// TestABackoffGetsAtMostTwoRequests guards against a daemon that goes on sending to an
// endpoint that has told it to wait: with any traffic, answers under way and backoffs that
// overlap, at most two requests arrive in any backoff from half a second after its refusal.
func TestABackoffGetsAtMostTwoRequests(t *testing.T) {
	const allowed = 2
	for _, perSecond := range []float64{1, 30, 300} {
		for seed := range uint64(8) {
			r := &refusing{rng: rand.New(rand.NewPCG(seed, 7)), l: New("d")}
			r.run(time.Minute, perSecond)
			for _, s := range r.named {
				n := 0
				for _, at := range r.arrived {
					if at >= s.from && at < s.to {
						n++
					}
				}
				if n > allowed {
					t.Errorf("%v a second, seed %d: %d requests from %v to %v", perSecond, seed, n, s.from, s.to)
				}
			}
			if len(r.named) == 0 {
				t.Errorf("%v a second, seed %d: the endpoint named no backoff", perSecond, seed)
			}
		}
	}
}

// TestCapacityIsUsedAfterABackoff checks that an endpoint gets its requests again at once
// when a backoff is over.
func TestCapacityIsUsedAfterABackoff(t *testing.T) {
	is := is.New(t)
	r := &refusing{rng: rand.New(rand.NewPCG(1, 7)), l: New("d")}
	r.l.Backoff(0, "e", time.Second)
	sent := 0
	for now := time.Duration(0); now < 2*time.Second; now += time.Millisecond {
		if wait, ok := r.l.Wait(now, "e"); wait == 0 && ok {
			r.l.Take(now, "e")
			sent++
		}
		if sent == 1 && now == time.Second+5*time.Millisecond {
			r.l.Answered(now, "e")
		}
	}
	const late = 5 // the first request's answer
	is.Equal(sent, 1000-late)
}
