package overload

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/kvsched"
	"github.com/samphirequay/samphirequay/core/sched"
)

// scarceSeeds is the number of seeds of each replay of a scarce pool.
const scarceSeeds = 2

// scarceBurst is a burst of the given factor and length on ScarcePool, and a lesser one after
// it.
func scarceBurst(factor float64, length time.Duration) []Burst {
	return []Burst{{At: 8 * time.Second, For: length, Factor: factor}, {At: 24 * time.Second, For: 3 * time.Second, Factor: 1.7}}
}

// bothSwitches are the options with forecasts and the order of the urgent.
var bothSwitches = kvsched.Options{ForecastRefusal: true, UrgentReserve: true}

// scarceResult is the sum of the replays of a scarce pool.
type scarceResult struct {
	Result
	admission kvsched.Admission
	tried     uint64
}

// runScarce replays a load with several seeds.
func runScarce(r Replay, o kvsched.Options) scarceResult {
	sum := scarceResult{Result: Result{Kinds: make([]KindResult, len(r.Load.Kinds))}}
	for seed := uint64(1); seed <= scarceSeeds; seed++ {
		var ledger *kvsched.Ledger
		r.New = func(pool id.Pool, self id.Process) sched.Scheduler {
			o.Pool, o.Self = pool, self
			ledger = kvsched.New(o)
			return ledger
		}
		sum.add(r.Run(seed), ledger)
	}
	return sum
}

func (s *scarceResult) add(one *Result, l *kvsched.Ledger) {
	s.Requests += one.Requests
	s.InTime += one.InTime
	s.Late += one.Late
	s.Refused += one.Refused
	s.Refusals += one.Refusals
	s.LongRefusals += one.LongRefusals
	s.RefusedAgain += one.RefusedAgain
	for i, k := range one.Kinds {
		s.Kinds[i].Requests += k.Requests
		s.Kinds[i].InTime += k.InTime
		s.Kinds[i].Late += k.Late
		s.Kinds[i].Owed += k.Owed
		s.Kinds[i].Earned += k.Earned
	}
	a := l.Admission()
	s.admission.Admitted += a.Admitted
	s.admission.Late += a.Late
	s.admission.Refused += a.Refused
	s.admission.RefusedLater += a.RefusedLater
	s.admission.RoomCame += a.RoomCame
	s.admission.Bookings.Made += a.Bookings.Made
	s.admission.Bookings.Kept += a.Bookings.Kept
	s.tried += l.Tried()
}

func (s *scarceResult) String() string {
	text := fmt.Sprintf("worth %.3f, of %d in time %d, late %d; refusals %d, long %d, callers again %d; kinds served/in time",
		s.Worth(), s.Requests, s.InTime, s.Late, s.Refusals, s.LongRefusals, s.RefusedAgain)
	for i := range s.Kinds {
		k := &s.Kinds[i]
		text += fmt.Sprintf(" %.3f/%.3f", k.Served(), share(k.InTime, k.Requests))
	}
	return fmt.Sprintf("%s; %+v; tried %d", text, s.admission, s.tried)
}

// TestScarceRoom: a burst of 6 s beyond what the memory of 40 engines serves, of three kinds of
// one priority. Callers waited for seconds and were refused then, and the kind with the
// shortest target was served worst.
func TestScarceRoom(t *testing.T) {
	for _, factor := range []float64{2, 2.4} {
		t.Run(fmt.Sprint(factor), func(t *testing.T) {
			is := is.New(t)
			r := ScarcePool(scarceBurst(factor, 6*time.Second)...)
			today, with := runScarce(r, kvsched.Options{}), runScarce(r, bothSwitches)
			t.Logf("today: %s", today.String())
			t.Logf("with:  %s", with.String())
			is.True(with.LongRefusals*100 < with.Refusals)
			urgent := with.Kinds[0]
			for _, other := range with.Kinds[1:] {
				is.True(urgent.Served() >= other.Served()-0.005)
			}
			is.True(urgent.Served() >= today.Kinds[0].Served())
			is.True(with.Worth() > today.Worth())
			// Few of those that were let wait are granted too late, and none is refused.
			is.True(with.admission.Late*10 < with.admission.Admitted)
			is.Equal(with.admission.RefusedLater, uint64(0))
			// Fewer are packed into the memory, since fewer wait to choose from.
			is.True(with.Served() >= today.Served()-0.015)
			is.True(with.Goodput() >= today.Goodput()-0.035)
		})
	}
}

// TestAppointmentsAreKept: after a burst of 3 s, nearly all callers that were told a time for
// which room was kept come at it.
func TestAppointmentsAreKept(t *testing.T) {
	is := is.New(t)
	with := runScarce(ScarcePool(scarceBurst(2.4, 3*time.Second)...), bothSwitches)
	t.Logf("%+v", with.admission)
	is.True(with.admission.Bookings.Made > 0)
	is.True(with.admission.Bookings.Kept*10 >= with.admission.Bookings.Made*9)
}

// TestSwitchesChangeNothingWithoutScarcity: the usual load, without a burst.
func TestSwitchesChangeNothingWithoutScarcity(t *testing.T) {
	is := is.New(t)
	r := ScarcePool()
	r.Load.PerSecond = 40
	off, on := runScarce(r, kvsched.Options{}), runScarce(r, bothSwitches)
	is.Equal(on.Result, off.Result)
	is.Equal(on.Refusals, 0)
}
