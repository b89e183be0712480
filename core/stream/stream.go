// Package stream puts the token events of one request in order. Events may be
// late, doubled, reordered or come from an attempt that was given up; what
// goes out is in order, each event once, with exactly one terminal event.
package stream

import (
	"fmt"
	"strings"

	"github.com/samphirequay/samphirequay/core/id"
)

// DefaultWindow is how many events ahead of the next one are kept, at most.
const DefaultWindow = 256

// Event is one token event of an answer, as an engine sent it.
type Event struct {
	// Attempt is the attempt that the engine ran.
	Attempt id.Request
	// Seq counts from 1 within the answer, over all attempts.
	Seq int
	// Text of the token; it may be empty on the terminal event.
	Text string
	// Finish is empty but for the terminal event.
	Finish string
}

// Terminal says whether the event ends the answer.
func (e Event) Terminal() bool { return e.Finish != "" }

// OverflowError says that an event lies too far ahead of the next one: events
// between were lost. The request resumes behind Delivered.
type OverflowError struct {
	// Attempt that sent the event.
	Attempt id.Request
	// Seq of the event that did not fit.
	Seq int
	// Delivered is the number of the last event given out.
	Delivered int
	// Window is the bound, in events.
	Window int
}

// Error implements error.
func (e *OverflowError) Error() string {
	return fmt.Sprintf("stream: event %d of attempt %s is beyond the window of %d behind event %d",
		e.Seq, e.Attempt, e.Window, e.Delivered)
}

// InvalidError says that an event contradicts what the attempt sent before or
// has a number that can't be.
type InvalidError struct {
	// Attempt that sent the event.
	Attempt id.Request
	// Seq of the event.
	Seq int
	// Reason says what was wrong.
	Reason string
}

// Error implements error.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("stream: event %d of attempt %s: %s", e.Seq, e.Attempt, e.Reason)
}

// Stats counts events that were not given out.
type Stats struct {
	// Duplicates came again.
	Duplicates int
	// Foreign came from an attempt that is not the current one.
	Foreign int
	// Late came after the terminal event.
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

// New returns a sequencer that takes events of one attempt. The first event it
// gives out is number after+1: 0 for a new answer, else the last event that
// the caller has. A window below 1 means DefaultWindow.
func New(attempt id.Request, after, window int) *Sequencer {
	if window < 1 {
		window = DefaultWindow
	}
	return &Sequencer{attempt: attempt, window: window, delivered: after, buffered: map[int]Event{}}
}

// Push takes one event and returns those that can now be given out, in order.
// The returned events are delivered: they never come again. Both errors leave
// the delivered part as it was.
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

// ignore says whether an event is of no interest, and counts it.
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

// release takes the run of events that follows the last delivered one.
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

// Switch makes another attempt the current one; it goes on behind Delivered.
// Events of the former attempt, kept ones too, are dropped. It returns false
// when the answer has already ended.
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

// Delivered returns the number of the last event given out.
func (s *Sequencer) Delivered() int { return s.delivered }

// Text returns the text given out by this sequencer, without what was
// delivered before it was made.
func (s *Sequencer) Text() string { return s.text.String() }

// Ended says whether the terminal event was given out.
func (s *Sequencer) Ended() bool { return s.ended }

// Finish returns the finish reason once the answer has ended.
func (s *Sequencer) Finish() string { return s.finish }

// Kept returns how many events wait behind a gap.
func (s *Sequencer) Buffered() int {
	return len(s.buffered)
}

// Stats returns the counts of dropped events.
func (s *Sequencer) Stats() Stats { return s.stats }
