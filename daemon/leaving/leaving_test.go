package leaving

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/entry"
)

// testConfig lets a daemon close at once, and bounds its stop.
var testConfig = entry.StopConfig{MaxDuration: 5 * time.Second}

// TestADaemonThatClosesWaitsForARequestThatCrossesItsDecision guards against a request that is
// cut since it arrived between the look at those in flight and the decision to close.
func TestADaemonThatClosesWaitsForARequestThatCrossesItsDecision(t *testing.T) {
	is := is.New(t)
	now := func() time.Duration { return time.Second }
	s := Begin(testConfig, 0)
	looks := 0
	crossing := func() int {
		looks++
		if looks == 1 {
			is.True(!s.Closing())
			return 0
		}
		is.True(s.Closing()) // later requests are refused
		return 1
	}
	_, ended := s.mayEnd(now, crossing)
	is.True(!ended)
	_, ended = s.mayEnd(now, crossing)
	is.True(!ended)
	// A caller that is refused meanwhile doesn't put off the end.
	s.RecordCaller(now())
	reason, ended := s.mayEnd(now, func() int { return 0 })
	is.True(ended)
	is.Equal(reason, entry.StopDone)
}

// TestARequestThatCrossesADecisionToCloseIsBoundedByTheStop guards against a planned stop that
// lasts longer than its grace.
func TestARequestThatCrossesADecisionToCloseIsBoundedByTheStop(t *testing.T) {
	is := is.New(t)
	s := Begin(testConfig, 0)
	inFlight := 0
	crossing := func() int {
		defer func() { inFlight = 1 }()
		return inFlight
	}
	_, ended := s.mayEnd(func() time.Duration { return time.Second }, crossing)
	is.True(!ended)
	_, ended = s.mayEnd(func() time.Duration { return testConfig.MaxDuration }, crossing)
	is.True(ended)
}

// TestAStopIsLateFromThreeQuartersOfItAtTheLatest guards against a short stop that serves nobody,
// one that takes requests to its end, and one without a limit that ends for its cutoff.
func TestAStopIsLateFromThreeQuartersOfItAtTheLatest(t *testing.T) {
	const cutoff = 3 * time.Second
	for name, c := range map[string]struct {
		limit, age time.Duration
		late       bool
	}{
		"long, before":  {5 * time.Second, cutoff - 1, false},
		"long, late":    {5 * time.Second, cutoff, true},
		"short, before": {2 * time.Second, 1500*time.Millisecond - 1, false},
		"short, late":   {2 * time.Second, 1500 * time.Millisecond, true},
		"no limit":      {0, time.Hour, false},
	} {
		t.Run(name, func(t *testing.T) {
			s := Begin(entry.StopConfig{MaxDuration: c.limit}, time.Minute)
			is.New(t).Equal(s.Late(time.Minute+c.age, cutoff), c.late)
		})
	}
}

// TestAStopEndsBeforeWhatLastsLonger checks the bound to the nanosecond.
func TestAStopEndsBeforeWhatLastsLonger(t *testing.T) {
	is := is.New(t)
	s := Begin(testConfig, time.Minute)
	limit := time.Minute + testConfig.MaxDuration
	is.True(!s.EndsBefore(limit))
	is.True(s.EndsBefore(limit + 1))
	is.True(!Begin(entry.StopConfig{}, time.Minute).EndsBefore(time.Hour)) // no limit
}
