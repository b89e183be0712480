package forecast

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// fullEngine returns an engine whose three requests of 3000 tokens end after 1, 2 and 3 s at
// 100 tokens a second. Only one more fits once one has ended.
func fullEngine() State {
	running := func(s float64) Request { return Request{Held: 3000 - 100*s, Remaining: 100 * s, Leaves: 100 * s} }
	return State{
		Decodes:    []Engine{{Memory: 9500, Slots: 8, Running: []Request{running(1), running(2), running(3)}}},
		DecodeRate: 100,
		Typical:    Request{Held: 2500, Remaining: 500, Leaves: 500},
		Horizon:    4 * time.Second,
	}
}

func none(time.Duration) float64 { return 0 }

func TestRoomComesWhenRequestsEnd(t *testing.T) {
	is := is.New(t)
	f := New(fullEngine())
	for n, want := range []time.Duration{time.Second, 2 * time.Second, 3 * time.Second} {
		at, ok := f.Room(float64(n+1), f.Horizon(), none)
		is.True(ok)
		is.Equal(at, want)
	}
	_, ok := f.Room(4, f.Horizon(), none)
	is.True(!ok) // those that take the room do not end before the horizon
	is.Equal(f.Within(2*time.Second), 2)
}

// TestRoomIsBoundByMemoryAtThePeak: free memory that the running answers will yet fill is not
// room.
func TestRoomIsBoundByMemoryAtThePeak(t *testing.T) {
	is := is.New(t)
	s := fullEngine()
	s.Decodes[0].Running = []Request{{Held: 1000, Remaining: 9000, Leaves: 100}}
	f := New(s)
	at, ok := f.Room(1, f.Horizon(), none)
	is.True(ok)
	is.Equal(at, time.Second) // the answer ends far sooner than its memory allows for
}

func TestThoseThatGoBeforeTakeRoom(t *testing.T) {
	is := is.New(t)
	s := fullEngine()
	for range 9 {
		s.Decodes = append(s.Decodes, s.Decodes[0])
	}
	f := New(s) // ten requests get room each second
	urgent := Arrivals{Now: 5, Usual: 5}
	at, ok := f.Room(10, f.Horizon(), urgent.Within)
	is.True(ok)
	is.Equal(at, 2*time.Second)
	_, ok = f.Room(10, 1500*time.Millisecond, urgent.Within)
	is.True(!ok) // beyond the limit
	_, ok = f.Room(1, time.Minute, Arrivals{Now: 20, Usual: 20}.Within)
	is.True(!ok) // more go before it than room comes
}

func TestArrivalsOfABurstFallBackToTheUsual(t *testing.T) {
	is := is.New(t)
	burst := Arrivals{Now: 100, Usual: 50}
	is.True(burst.Within(100*time.Millisecond) > 9)
	is.True(burst.Within(10*time.Second) < 551)
}

func TestEmptyPool(t *testing.T) {
	is := is.New(t)
	f := New(State{DecodeRate: 100, Horizon: time.Second})
	_, ok := f.Room(1, time.Hour, none)
	is.True(!ok)
	_, ok = f.Prefill(0)
	is.True(!ok)
	is.Equal(f.Engines(), 0)
}

func TestRequestLargerThanAnEngineGetsNoRoom(t *testing.T) {
	is := is.New(t)
	s := fullEngine()
	s.Typical.Held = 20000
	_, ok := New(s).Room(1, time.Hour, none)
	is.True(!ok)
}

func TestPrefillCapacity(t *testing.T) {
	is := is.New(t)
	f := New(State{DecodeRate: 1, Prefills: []Prefill{{FreeIn: time.Second, Rate: 1000}, {FreeIn: 0, Rate: 1000}}})
	at, ok := f.Prefill(500)
	is.True(ok)
	is.Equal(at, 500*time.Millisecond) // by the engine that is free
	at, _ = f.Prefill(3000)
	is.Equal(at, 2*time.Second) // 1000 by it alone, then by both
}
