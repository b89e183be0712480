package stream

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/samphirequay/samphirequay/core/id"
)

// TestAnswerIsComplete pushes the events of two attempts reordered, duplicated and
// interleaved, with a switch of attempts, and checks the delivered events.
func TestAnswerIsComplete(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.IntRange(1, 40).Draw(t, "events")
		window := rapid.IntRange(total, total+10).Draw(t, "window")
		switchAt := rapid.IntRange(0, 2*total).Draw(t, "switch at")
		pool := drawEvents(t, "first", total)
		s := New("first", 0, window)
		var got []Event
		push := func(events []Event) {
			for _, e := range events {
				out, err := s.Push(e)
				if err != nil {
					t.Fatalf("push %+v: %v", e, err)
				}
				got = append(got, out...)
			}
		}
		push(pool[:min(switchAt, len(pool))])
		if s.Switch("second") {
			// The second engine continues after the last delivered event.
			second := rapid.Permutation(answer("second", s.Delivered(), total)).Draw(t, "second")
			mixed := append(pool[min(switchAt, len(pool)):], second...)
			push(rapid.Permutation(mixed).Draw(t, "mixed"))
		}
		checkComplete(t, s, got, total)
	})
}

// drawEvents returns the events of an attempt in random order, some of them twice.
func drawEvents(t *rapid.T, attempt id.Request, total int) []Event {
	events := answer(attempt, 0, total)
	doubled := rapid.SliceOf(rapid.SampledFrom(events)).Draw(t, "doubled")
	return rapid.Permutation(append(events, doubled...)).Draw(t, "order")
}

func answer(attempt id.Request, after, total int) []Event {
	var out []Event
	for seq := after + 1; seq <= total; seq++ {
		e := Event{Attempt: attempt, Seq: seq, Text: fmt.Sprint(seq, " ")}
		if seq == total {
			e.Finish = "stop"
		}
		out = append(out, e)
	}
	return out
}

func checkComplete(t *rapid.T, s *Sequencer, got []Event, total int) {
	var text strings.Builder
	for i, e := range got {
		text.WriteString(e.Text)
		if e.Seq != i+1 {
			t.Fatalf("event %d has number %d", i+1, e.Seq)
		}
		if e.Terminal() != (e.Seq == total) {
			t.Fatalf("event %d of %d has finish %q", e.Seq, total, e.Finish)
		}
	}
	if len(got) != total || !s.Ended() || s.Finish() != "stop" {
		t.Fatalf("%d of %d events delivered, ended %v", len(got), total, s.Ended())
	}
	if s.Text() != text.String() || s.Delivered() != total {
		t.Fatalf("text is %q, delivered %d", s.Text(), s.Delivered())
	}
}

func TestOverflowResumesAfterDelivered(t *testing.T) {
	is := is.New(t)
	s := New("a", 0, 4)
	out, err := s.Push(Event{Attempt: "a", Seq: 1, Text: "x"})
	is.NoErr(err)
	is.Equal(len(out), 1)
	_, err = s.Push(Event{Attempt: "a", Seq: 3, Text: "z"})
	is.NoErr(err) // waits for the missing event
	is.Equal(s.Buffered(), 1)
	_, err = s.Push(Event{Attempt: "a", Seq: 6})
	var overflow *OverflowError
	is.True(errors.As(err, &overflow))
	is.Equal(overflow.Delivered, 1)
	is.True(s.Switch("b"))
	out, err = s.Push(Event{Attempt: "b", Seq: 2, Text: "y", Finish: "stop"})
	is.NoErr(err)
	is.Equal(len(out), 1)
	is.Equal(s.Text(), "xy")
	is.True(!s.Switch("c"))
}

func TestContradictionsAndLateEvents(t *testing.T) {
	is := is.New(t)
	s := New("a", 5, 0)
	var invalid *InvalidError
	_, err := s.Push(Event{Attempt: "a", Seq: 0})
	is.True(errors.As(err, &invalid))
	_, err = s.Push(Event{Attempt: "a", Seq: 5, Text: "again"})
	is.NoErr(err)
	is.Equal(s.Buffered(), 0)
	_, err = s.Push(Event{Attempt: "a", Seq: 7, Text: "one"})
	is.NoErr(err)
	_, err = s.Push(Event{Attempt: "a", Seq: 7, Text: "two"})
	is.True(errors.As(err, &invalid))
	out, err := s.Push(Event{Attempt: "a", Seq: 6, Finish: "length"})
	is.NoErr(err)
	is.Equal(len(out), 1) // nothing follows the terminal event
	for _, late := range []Event{{Attempt: "a", Seq: 7}, {Attempt: "a", Seq: 6, Finish: "length"}, {Attempt: "b", Seq: 7}} {
		out, err = s.Push(late)
		is.NoErr(err)
		is.Equal(len(out), 0)
	}
	is.Equal(s.Stats(), Stats{Duplicates: 1, Foreign: 1, Late: 2})
}
