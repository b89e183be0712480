package calls

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/id"
)

// TestSameSeedGivesSameResult: a replay can be repeated.
func TestSameSeedGivesSameResult(t *testing.T) {
	is := is.New(t)
	r := sampleService(2.4)
	is.Equal(replay(t, r, Queue{}), replay(t, r, Queue{}))
}

// TestBurst: for three seconds 2.4 times the usual calls, or twice the crest of a wave: about
// as many as the endpoints can take. Hardly any call finds a full endpoint, and nearly as many are answered in time as
// one queue would that needs no messages and knows how long each call takes.
func TestBurst(t *testing.T) {
	for name, r := range map[string]Replay{"60 ms": sampleService(2.4), "30 ms": shortCalls(2), "no teams": withoutTeams(sampleService(2.4))} {
		is := is.New(t)
		queue, _, perfect := compare(t, name, r)
		is.True(float64(queue.Full) < 0.02*float64(queue.Arrived))
		is.True(queue.Share() >= 0.93*perfect.Share())
		is.True(queue.firstShare() >= 0.93*perfect.firstShare())
	}
}

// TestOverload: for three seconds four times the usual calls, or three times the crest of a
// wave: half as many again as the endpoints can take. Nearly all refusals are given at once, and the callers that come back
// as told find room.
func TestOverload(t *testing.T) {
	for name, r := range map[string]Replay{"60 ms": sampleService(4), "30 ms": shortCalls(3), "no teams": withoutTeams(sampleService(4))} {
		is := is.New(t)
		queue, _, perfect := compare(t, name, r)
		t.Logf("%s, forecasts:    %+v", name, queue.stats.Forecasts)
		is.True(float64(queue.SlowRefusals) < 0.01*float64(queue.Refusals))
		is.True(float64(queue.Full) < 0.02*float64(queue.Arrived))
		is.True(queue.Share() >= 0.93*perfect.Share())
		// of those that were refused once, nine in ten are not refused again
		is.True(float64(queue.Refused) < 0.1*float64(queue.FirstRefused))
	}
}

// TestFloodOfOneTeam: one team sends ten times its usual calls. The others are served as on a
// calm day, and the room that they leave goes to it.
func TestFloodOfOneTeam(t *testing.T) {
	is := is.New(t)
	const flooding = id.Team("team-00")
	r := sampleService(1)
	calm := replay(t, r, Queue{})
	r.Load.Bursts = []Burst{{Team: flooding, At: burstAt, For: burstFor, Factor: 10}}
	flood, today := replay(t, r, Queue{}), replayWay(r, Balanced)
	others := func(x total) Count {
		c := x.Count
		own := x.Teams[flooding]
		c.Callers, c.InTime = c.Callers-own.Callers, c.InTime-own.InTime
		return c
	}
	t.Logf("others in time: calm %.3f, flood %.3f, each daemon %.3f", others(calm).Share(), others(flood).Share(), others(today).Share())
	t.Logf("flooding team in time: %d of %d, each daemon %d of %d, busy %.3f", flood.Teams[flooding].InTime,
		flood.Teams[flooding].Callers, today.Teams[flooding].InTime, today.Teams[flooding].Callers, flood.Busy)
	is.True(others(flood).Share() >= others(calm).Share()-0.05)
	is.True(flood.Busy >= 0.93)
	for team, c := range flood.Teams {
		is.True(team == flooding || c.Share() >= calm.Teams[team].Share()-0.05)
	}
}

// TestPriorities: a third of the calls are urgent, in a burst beyond what the endpoints can
// take. They are never served worse than the others.
func TestPriorities(t *testing.T) {
	const urgent, other = 9, 5
	for _, factor := range []float64{1, 2.4, 4} {
		is := is.New(t)
		r := sampleService(factor)
		for i := range r.Load.Teams {
			if i%3 == 0 {
				r.Load.Teams[i].Priority = urgent
			}
		}
		queue, today := replay(t, r, Queue{}), replayWay(r, Balanced)
		t.Logf("burst of %v: urgent in time %.3f, others %.3f; each daemon %.3f, %.3f", factor,
			queue.Priorities[urgent].Share(), queue.Priorities[other].Share(),
			today.Priorities[urgent].Share(), today.Priorities[other].Share())
		is.True(queue.Priorities[urgent].Share() >= queue.Priorities[other].Share()-1e-9)
		t.Log(queue)
		is.True(float64(queue.SlowRefusals) <= 0.01*float64(queue.Refusals)+1)
	}
}

// TestLostGrants: one grant in twenty is lost on its way, during a burst. Their places come
// back, and no endpoint is overrun.
func TestLostGrants(t *testing.T) {
	is := is.New(t)
	r := sampleService(2.4)
	whole, lossy := replay(t, r, Queue{}), replay(t, r, Queue{LostGrants: 0.05})
	t.Logf("none lost: %v", whole)
	t.Logf("one in 20: %v, leases lapsed %d", lossy, lossy.stats.Lapsed)
	is.Equal(lossy.left, 0) // no place stays held
	is.True(float64(lossy.Full) < 0.02*float64(lossy.Arrived))
	is.True(lossy.Share() >= 0.93*whole.Share())
}

// TestOwnerDiesInBurst: the owner dies in mid burst; the daemons learn of it 200 to 400 ms
// later, and the new owner starts with nothing. The endpoints are not overrun, and those who
// arrive a second later are served as if nothing had happened.
func TestOwnerDiesInBurst(t *testing.T) {
	checkOwnerChange(t, Queue{OwnerChanges: burstAt + time.Second, NoticedIn: 200 * ms, OwnerDies: true})
}

// TestOwnerChangesInBurst: another daemon becomes the owner in mid burst, and learns of the
// grants in use while the former one still grants to daemons that don't know yet.
func TestOwnerChangesInBurst(t *testing.T) {
	is := is.New(t)
	changes := Queue{OwnerChanges: burstAt + time.Second, NoticedIn: 50 * ms}
	adopted := checkOwnerChange(t, changes)
	is.True(adopted > 0)
}

// checkOwnerChange compares a burst in which the owner changes with one in which it doesn't,
// and returns the number of grants that the new owner has adopted.
func checkOwnerChange(t *testing.T, change Queue) uint64 {
	t.Helper()
	is := is.New(t)
	r := sampleService(2.4)
	whole, changed := replay(t, r, Queue{}), replay(t, r, change)
	t.Logf("one owner: %v", whole)
	t.Logf("changed:   %v, adopted %d", changed, changed.stats.Adopted)
	is.Equal(changed.left, 0)
	is.True(float64(changed.Full) < 0.02*float64(changed.Arrived))
	r.From = change.OwnerChanges + time.Second
	whole, after := replay(t, r, Queue{}), replay(t, r, change)
	t.Logf("a second later: %.3f in time, %.3f with one owner", after.Share(), whole.Share())
	is.True(after.Share() >= 0.93*whole.Share())
	return changed.stats.Adopted
}

// TestNothingScarce: the endpoints are a quarter busy. No call waits and none is refused.
func TestNothingScarce(t *testing.T) {
	is := is.New(t)
	r := sampleService(1)
	r.Load.Teams = sampleTeams(75)
	queue, today := replay(t, r, Queue{}), replayWay(r, Balanced)
	t.Logf("one queue:   %v", queue)
	t.Logf("each daemon: %v", today)
	is.Equal(queue.Refusals, 0)
	is.Equal(queue.stats.Granted, queue.stats.GrantedAtOnce)
	is.True(queue.Share() >= today.Share()-0.002)
}
