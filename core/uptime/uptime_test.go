package uptime

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestSpanExtendsUntilFailure(t *testing.T) {
	is := is.New(t)
	var s Span
	is.True(!s.Known())
	is.True(!s.Covers(0, 0))
	s = s.Extend(10, time.Second, true)
	is.Equal(s, Span{Until: 10, Since: time.Second, Last: time.Second})
	is.True(!s.Covers(10, 10)) // entries that lapsed before may not have returned yet
	s = s.Extend(12, time.Second+ReturnGrace, true)
	s = s.Extend(14, 5*time.Second, true)
	is.Equal(s, Span{From: 12, Until: 14, Since: time.Second, Last: 5 * time.Second})
	is.True(s.Covers(12, 14))
	is.True(s.Covers(13, 14))
	is.True(!s.Covers(11, 13))
	is.True(!s.Covers(12, 15))
	s = s.Extend(20, 9*time.Second, false)
	is.Equal(s, Span{Until: 20, Since: 9 * time.Second, Last: 9 * time.Second})
}

func TestClockOrVersionResetStartsNewSpan(t *testing.T) {
	is := is.New(t)
	s := Span{}.Extend(10, time.Minute, true)
	is.Equal(s.Extend(11, time.Second, true).Since, time.Second)
	is.Equal(s.Extend(3, 2*time.Minute, true).Since, 2*time.Minute)
}

func TestOverlappingSpansAreJoined(t *testing.T) {
	is := is.New(t)
	early := Span{From: 10, Until: 20, Since: 1 * time.Second, Last: 5 * time.Second}
	late := Span{From: 17, Until: 30, Since: 4 * time.Second, Last: 9 * time.Second}
	both := Span{From: 10, Until: 30, Since: 1 * time.Second, Last: 9 * time.Second}
	is.Equal(History{early}.Add(late), History{both})
	is.Equal(History{late}.Add(early), History{both})
	apart := Span{Until: 21, Since: 6 * time.Second, Last: 7 * time.Second}
	is.Equal(History{early}.Add(apart), History{early, apart})
	is.Equal(History{apart}.Add(early), History{early, apart})
	is.Equal(History{early, apart}.Add(late), History{both})
	is.Equal(History{early}.Add(Span{}), History{early})
	is.Equal(History(nil).Add(early), History{early})
	inner := Span{Until: 13, Since: 2 * time.Second, Last: 3 * time.Second}
	is.Equal(History{early}.Add(inner), History{early})
	is.Equal(History{inner}.Add(early), History{early})
	begun := Span{Until: 24, Since: 5 * time.Second, Last: 6 * time.Second}
	is.Equal(History{begun}.Add(early), History{{From: 10, Until: 24, Since: 1 * time.Second, Last: 6 * time.Second}})
}

func TestHistoryKeepsNewestSpans(t *testing.T) {
	is := is.New(t)
	var h History
	is.True(!h.Latest().Known())
	for i := range time.Duration(9) {
		h = h.Add(Span{Until: uint64(i + 1), Since: 10 * i * time.Second, Last: (10*i + 5) * time.Second})
	}
	is.Equal(len(h), maxSpans)
	is.Equal(h[0].Until, uint64(7))
	is.Equal(h.Latest().Until, uint64(9))
}

// TestRandomSpansCoverNoOutage simulates daemons that call a store with outages, fail
// or are cut off, and join the spans that others report. It checks that no span covers
// a change that was made during an outage.
func TestRandomSpansCoverNoOutage(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const daemons = 3
		var own [daemons]Span
		var known [daemons]History
		var unbroken [daemons]bool
		version, clock := uint64(1), time.Duration(0)
		away := false
		var during []uint64 // changes made while the store was unavailable
		for range rapid.IntRange(10, 80).Draw(t, "steps") {
			clock += time.Duration(rapid.IntRange(1, 500).Draw(t, "ms")) * time.Millisecond
			d := rapid.IntRange(0, daemons-1).Draw(t, "daemon")
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0:
				version++
				if away {
					during = append(during, version)
				}
			case 1:
				if away = !away; away {
					// A daemon that calls during an outage detects it by the failure.
					unbroken = [daemons]bool{}
				}
			case 2:
				if away {
					unbroken[d] = false
					break
				}
				known[d] = known[d].Add(own[d])
				own[d] = own[d].Extend(version, clock, unbroken[d])
				known[d] = known[d].Add(own[d])
				unbroken[d] = true
			case 3:
				for _, s := range known[rapid.IntRange(0, daemons-1).Draw(t, "from")] {
					known[d] = known[d].Add(s)
				}
			case 4:
				unbroken[d] = false // only this daemon is cut off
			}
			for _, s := range slices.Concat(known[0], known[1], known[2]) {
				for _, v := range during {
					if s.Covers(v-1, v) {
						t.Fatalf("%+v covers change %d, made while the store was unavailable", s, v)
					}
				}
			}
		}
	})
}
