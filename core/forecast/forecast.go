// Package forecast predicts when the engines of a pool will have room, from when each of the
// requests that they run will end. It is pure: a state in, times out.
package forecast

import (
	"slices"
	"time"
)

// Request is the memory of one request, in tokens.
type Request struct {
	// Held is what it holds, Remaining what it is taken to add when memory is given away.
	Held, Remaining float64
	// Leaves is what it will add until its end. It differs from Remaining since what is
	// given away has to allow for answers that are longer than expected.
	Leaves float64
}

// Engine is a decode engine.
type Engine struct {
	// Memory is in tokens; 0 if only the slots bound the engine.
	Memory float64
	// Slots is the largest number of requests at once.
	Slots   int
	Running []Request
}

// Prefill is a prefill engine.
type Prefill struct {
	// FreeIn is the time until it has read all prompts that it was given.
	FreeIn time.Duration
	// Rate is in tokens a second.
	Rate float64
}

// State is what is known of a pool.
type State struct {
	Decodes  []Engine
	Prefills []Prefill
	// DecodeRate is the pace of one answer, in tokens a second.
	DecodeRate float64
	// Typical is a request of the size of those that wait.
	Typical Request
	// Horizon is how far ahead room is predicted.
	Horizon time.Duration
}

// Forecast holds when a pool will have room. All times are relative to that of the state.
type Forecast struct {
	// openings are the times at which one more typical request fits, ascending.
	openings []time.Duration
	horizon  time.Duration
	prefills []Prefill
	engines  int
}

// New predicts the room of a pool.
func New(s State) *Forecast {
	f := &Forecast{horizon: s.Horizon, prefills: slices.Clone(s.Prefills), engines: len(s.Decodes)}
	slices.SortFunc(f.prefills, func(a, b Prefill) int { return int(a.FreeIn - b.FreeIn) })
	var e drain
	for i := range s.Decodes {
		f.openings = e.run(&s, &s.Decodes[i], f.openings)
	}
	slices.Sort(f.openings)
	return f
}

// Engines returns the number of decode engines that the forecast covers.
func (f *Forecast) Engines() int { return f.engines }

// Horizon is how far ahead the forecast looks.
func (f *Forecast) Horizon() time.Duration { return f.horizon }

// Room returns when the n-th typical request gets memory, if those that arrive meanwhile go
// before it; ok is false if that lies beyond the limit.
func (f *Forecast) Room(n float64, limit time.Duration, arriving func(time.Duration) float64) (at time.Duration, ok bool) {
	for k := max(0, int(n)-1); k < len(f.openings); k++ {
		at := f.openings[k]
		if at > limit {
			break
		}
		if float64(k+1)-arriving(at) >= n {
			return at, true
		}
	}
	for at := f.horizon; at <= limit; at += farStep {
		if f.Expected(at)-arriving(at) >= n {
			return at, true
		}
	}
	return 0, false
}

// farStep is the precision of times beyond the horizon.
const farStep = 250 * time.Millisecond

// Within returns how many typical requests get memory within a time.
func (f *Forecast) Within(d time.Duration) int {
	n, _ := slices.BinarySearch(f.openings, d+1)
	return n
}

// Expected returns how many typical requests get memory within a time. Beyond the horizon room
// is taken to become free as fast as in the second half before it.
func (f *Forecast) Expected(d time.Duration) float64 {
	if d <= f.horizon {
		return float64(f.Within(d))
	}
	half := f.horizon / 2
	late := float64(f.Within(f.horizon) - f.Within(half))
	return float64(f.Within(f.horizon)) + late*float64(d-f.horizon)/float64(f.horizon-half)
}

// Gap returns the mean time until one engine has memory for one more typical request.
func (f *Forecast) Gap() time.Duration {
	return time.Duration(float64(f.horizon) * float64(f.engines) / float64(max(1, len(f.openings))))
}

// NextRoom returns the mean time until the pool has memory for one more typical request.
func (f *Forecast) NextRoom() time.Duration {
	return f.horizon / time.Duration(max(1, len(f.openings)))
}

// Prefill returns when the prefill engines will have begun a prompt that has the given number
// of tokens before it; ok is false without prefill engines.
func (f *Forecast) Prefill(tokens float64) (at time.Duration, ok bool) {
	rate, done := 0.0, 0.0
	for i, p := range f.prefills {
		if i > 0 {
			done += rate * (p.FreeIn - f.prefills[i-1].FreeIn).Seconds()
			if done >= tokens {
				return p.FreeIn - seconds((done-tokens)/rate), true
			}
		}
		rate += p.Rate
	}
	if rate <= 0 {
		return 0, false
	}
	return f.prefills[len(f.prefills)-1].FreeIn + seconds((tokens-done)/rate), true
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
