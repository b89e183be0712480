package concurrency

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/id"
)

// answers drives n endpoints with a share of lost answers each; every endpoint that is not
// left out ends a call every 20 ms.
type answers struct {
	*Losses
	now   time.Duration
	names []id.Endpoint
	rng   *rand.Rand
}

func newAnswers(n int, seed uint64) *answers {
	a := &answers{Losses: NewLosses(), rng: rand.New(rand.NewPCG(seed, 1))}
	for i := range n {
		a.names = append(a.names, id.Endpoint(fmt.Sprintf("e%02d", i)))
	}
	a.Configure(0, a.names)
	return a
}

func (a *answers) run(d time.Duration, loss func(i int) float64) {
	for end := a.now + d; a.now < end; {
		a.now += 20 * time.Millisecond
		out := a.Suspect(a.now)
		for i, name := range a.names {
			if !slices.Contains(out, name) {
				a.Record(a.now, name, a.rng.Float64() < loss(i))
			}
		}
	}
}

func none(int) float64 { return 0 }

// firstHalf loses a share of the answers at the first n endpoints.
func firstHalf(n int, share float64) func(int) float64 {
	return func(i int) float64 {
		if i < n {
			return share
		}
		return 0
	}
}

// Failure: half of the endpoints lose 4 in 10 answers, at once or behind a sound time.
func TestHalfOfTheEndpointsThatLoseAnswersAreSeenWithinHalfASecond(t *testing.T) {
	for _, sound := range []time.Duration{0, 10 * time.Second} {
		for _, n := range []int{4, 18, 60} {
			is := is.New(t)
			found, wrong, all := 0, 0, 0
			for seed := range uint64(20) {
				a := newAnswers(n, seed)
				a.run(sound, none)
				a.run(700*time.Millisecond, firstHalf(n/2, 0.4))
				for _, name := range a.Suspect(a.now) {
					if name < a.names[n/2] {
						found++
					} else {
						wrong++
					}
				}
				all += n / 2
			}
			t.Logf("%d endpoints, sound for %v: found %d of %d, wrong %d", n, sound, found, all, wrong)
			is.True(float64(found) >= 0.9*float64(all))
			is.True(float64(wrong) <= 0.01*float64(all))
		}
	}
}

// Failure: a common cause, all endpoints lose the same share of their answers.
func TestACommonCauseLeavesNoneOut(t *testing.T) {
	for _, share := range []float64{0.02, 0.1, 0.4, 0.7, 1} {
		is := is.New(t)
		left := 0
		for seed := range uint64(10) {
			a := newAnswers(18, seed)
			for range 50 {
				a.run(100*time.Millisecond, func(int) float64 { return share })
				left += len(a.Suspect(a.now))
			}
		}
		t.Logf("share %.2f: %d of %d left out", share, left, 10*50*18)
		is.True(float64(left) <= 0.01*10*50*18)
	}
}

// Failure: nearly all endpoints lose answers; only as many are left out as the others can
// do without.
func TestNoMoreAreLeftOutThanTheOthersHaveRoomFor(t *testing.T) {
	is := is.New(t)
	a := newAnswers(6, 1)
	a.run(time.Second, firstHalf(3, 0.8))
	is.Equal(a.Suspect(a.now), a.names[:3])
	a.Spare(1)
	is.Equal(len(a.Suspect(a.now)), 1)
	a.Spare(0)
	is.Equal(len(a.Suspect(a.now)), 0)
	a.Spare(6)
	is.Equal(len(a.Suspect(a.now)), 3)
}

// Failure: an endpoint loses answers for a second and is sound again.
func TestASoundEndpointComesBack(t *testing.T) {
	is := is.New(t)
	a := newAnswers(6, 1)
	a.run(time.Second, firstHalf(1, 0.8))
	is.Equal(a.Suspect(a.now), a.names[:1])
	a.run(firstAbsence, none)
	is.Equal(len(a.Suspect(a.now)), 0)
	a.run(200*time.Millisecond, none)
	is.True(!a.Probing(a.now, a.names[0]))
	is.True(a.Loss(a.now, a.names[0]) < 0.3)
}

// Failure: an endpoint loses half of its answers for a minute: probes must not cost much.
func TestAnEndpointThatStaysBadIsTriedRarely(t *testing.T) {
	is := is.New(t)
	a := newAnswers(6, 1)
	out := 0
	for range 600 {
		a.run(100*time.Millisecond, firstHalf(1, 0.5))
		out += len(a.Suspect(a.now))
	}
	t.Logf("left out for %d of 600", out)
	is.True(out > 540)
}

// Failure: one lost answer of an endpoint that was not used before.
func TestOneLostAnswerIsNoEvidence(t *testing.T) {
	is := is.New(t)
	a := newAnswers(3, 1)
	a.run(time.Second, none)
	a.Configure(a.now, append(a.names, "new"))
	a.Record(a.now, "new", true)
	is.Equal(len(a.Suspect(a.now)), 0)
	is.True(a.Loss(a.now, "new") < 0.5)
}

// Failure: the suspect starts again under a new name.
func TestANewIncarnationIsNotSuspected(t *testing.T) {
	is := is.New(t)
	a := newAnswers(4, 1)
	a.run(time.Second, firstHalf(1, 0.8))
	is.Equal(len(a.Suspect(a.now)), 1)
	a.names[0] = "new"
	a.Configure(a.now, a.names)
	is.Equal(len(a.Suspect(a.now)), 0)
	is.True(!a.Probing(a.now, "new"))
}
