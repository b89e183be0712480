// Package stream orders the token events of one request. Events may arrive late,
// duplicated, reordered or from an abandoned attempt. They are delivered in order,
// each once, with exactly one terminal event.
package stream

import (
	"fmt"
	"strings"

	"github.com/samphirequay/samphirequay/core/id"
)

// DefaultWindow is the default of the window: how far, in events, an event may be
// ahead of the last delivered one.
const DefaultWindow = 256

// Event is a token event of an answer, as sent by an engine.
type Event struct {
	// Attempt is the attempt that produced the event.
	Attempt id.Request
	// Seq is the event's number in the answer, from 1 and across all attempts.
	Seq int
	// Text of the token; may be empty in the terminal event.
	Text string
	// Finish is the finish reason; empty except in the terminal event.
	Finish string
}

// Terminal reports whether the event ends the answer.
func (e Event) Terminal() bool { return e.Finish != "" }

// OverflowError is returned for an event beyond the window: events before it were
// lost. The request resumes after Delivered.
type OverflowError struct {
	// Attempt that sent the event.
	Attempt id.Request
	// Seq of the event beyond the window.
	Seq int
	// Delivered is the number of the last delivered event.
	Delivered int
	// Window is the size of the window, in events.
	Window int
}

// Error implements error.
func (e *OverflowError) Error() string {
	return fmt.Sprintf("stream: event %d of attempt %s is beyond the window of %d after event %d",
		e.Seq, e.Attempt, e.Window, e.Delivered)
}

// InvalidError is returned for an event that contradicts an earlier event of the
// attempt or has an invalid number.
type InvalidError struct {
	// Attempt that sent the event.
	Attempt id.Request
	// Seq of the event.
	Seq int
	// Reason describes the violation.
	Reason string
}

// Error implements error.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("stream: event %d of attempt %s: %s", e.Seq, e.Attempt, e.Reason)
}

// Stats counts events that were not delivered.
type Stats struct {
	// Duplicates had been received before.
	Duplicates int
	// Foreign events are from an attempt other than the current one.
	Foreign int
	// Late events arrived after the terminal event.
	Late int
}

// Sequencer orders the events of one request. It is not safe for concurrent use.
type Sequencer struct {
	attempt   id.Request
	window    int
	delivered int
	ended     bool
	finish    string
	buffered  map[int]Event
	text      strings.Builder
	stats     Stats
}

// New returns a sequencer that accepts events of one attempt. The first event that
// it delivers is number after+1; after is 0 for a new answer, else the number of the
// last event that the caller received. A window below 1 means DefaultWindow.
func New(attempt id.Request, after, window int) *Sequencer {
	if window < 1 {
		window = DefaultWindow
	}
	return &Sequencer{attempt: attempt, window: window, delivered: after, buffered: map[int]Event{}}
}

// Push handles one event and returns the events that can now be delivered, in
// order. They count as delivered and are not returned again. Its errors, an
// *OverflowError or an *InvalidError, leave the sequencer's delivered events
// unchanged.
func (s *Sequencer) Push(e Event) ([]Event, error) {
	if s.discard(e) {
		return nil, nil
	}
	if err := s.check(e); err != nil {
		return nil, err
	}
	s.buffered[e.Seq] = e
	return s.release(), nil
}

// discard reports whether an event is to be discarded, and counts it if so.
func (s *Sequencer) discard(e Event) bool {
	switch {
	case e.Attempt != s.attempt:
		s.stats.Foreign++
	case s.ended:
		s.stats.Late++
	case e.Seq >= 1 && e.Seq <= s.delivered:
		s.stats.Duplicates++
	default:
		return false
	}
	return true
}

func (s *Sequencer) check(e Event) error {
	if e.Seq < 1 {
		return &InvalidError{Attempt: e.Attempt, Seq: e.Seq, Reason: "numbers start at 1"}
	}
	if e.Seq > s.delivered+s.window {
		return &OverflowError{Attempt: e.Attempt, Seq: e.Seq, Delivered: s.delivered, Window: s.window}
	}
	known, ok := s.buffered[e.Seq]
	if ok && known != e {
		return &InvalidError{Attempt: e.Attempt, Seq: e.Seq, Reason: "differs from its first copy"}
	}
	if ok {
		s.stats.Duplicates++
	}
	return nil
}

// release delivers the contiguous buffered events after the last delivered one.
func (s *Sequencer) release() []Event {
	var out []Event
	for !s.ended {
		e, ok := s.buffered[s.delivered+1]
		if !ok {
			break
		}
		delete(s.buffered, e.Seq)
		s.deliver(e)
		out = append(out, e)
	}
	if s.ended {
		clear(s.buffered)
	}
	return out
}

func (s *Sequencer) deliver(e Event) {
	s.delivered = e.Seq
	s.text.WriteString(e.Text)
	s.ended = e.Terminal()
	s.finish = e.Finish
}

// Switch makes another attempt the current one; it continues after Delivered.
// Events of the former attempt, including buffered ones, are dropped. It returns
// false if the answer has already ended.
func (s *Sequencer) Switch(attempt id.Request) bool {
	if s.ended {
		return false
	}
	s.attempt = attempt
	clear(s.buffered)
	return true
}

// Attempt returns the current attempt.
func (s *Sequencer) Attempt() id.Request { return s.attempt }

// Delivered returns the number of the last delivered event.
func (s *Sequencer) Delivered() int { return s.delivered }

// Text returns the text delivered by this sequencer. It excludes events delivered
// before the sequencer was created.
func (s *Sequencer) Text() string { return s.text.String() }

// Ended reports whether the terminal event was delivered.
func (s *Sequencer) Ended() bool { return s.ended }

// Finish returns the finish reason once the answer has ended.
func (s *Sequencer) Finish() string { return s.finish }

// Buffered returns the number of events that wait for a missing earlier event.
func (s *Sequencer) Buffered() int {
	return len(s.buffered)
}

// Stats returns the counts of discarded events.
func (s *Sequencer) Stats() Stats { return s.stats }
