package forward

import (
	"bytes"
	"errors"
)

// maxEventBytes bounds one event of a stream, and with it the memory that an endpoint can
// take by an event without an end.
const maxEventBytes = 256 << 10

// errEventTooLarge reports an event of more than maxEventBytes.
var errEventTooLarge = errors.New("an event of the stream is too large")

// eventBuffer holds the bytes of a stream that do not make up a whole event yet.
type eventBuffer struct {
	// opaque is set for a body that is no series of events: all its bytes count as whole.
	opaque  bool
	partial []byte
	// whole is the length of the whole events at the start of partial, which add has
	// returned.
	whole int
}

// add appends bytes of the stream and returns the whole events that they complete, valid
// until the next call. Comment lines between events and empty lines count as whole.
func (b *eventBuffer) add(p []byte) []byte {
	b.partial = append(b.partial[:0], b.partial[b.whole:]...)
	b.partial = append(b.partial, p...)
	b.whole = len(b.partial)
	if !b.opaque {
		b.whole = completeEventsLen(b.partial)
	}
	return b.partial[:b.whole]
}

// rest returns the bytes of an event that is not whole, valid until the next call of add.
func (b *eventBuffer) rest() []byte { return b.partial[b.whole:] }

// tooLarge reports whether the event that is not whole exceeds maxEventBytes.
func (b *eventBuffer) tooLarge() bool { return len(b.rest()) > maxEventBytes }

// reset drops all bytes, for another body.
func (b *eventBuffer) reset(opaque bool) {
	b.opaque = opaque
	b.partial = b.partial[:0]
	b.whole = 0
}

// completeEventsLen is the length of the complete events at the start of b, which starts
// between two events.
func completeEventsLen(b []byte) int {
	complete := 0
	inEvent := false
	for rest := b; ; {
		line, after, ended := cutLine(rest)
		if !ended {
			return complete
		}
		rest = after
		switch {
		case len(line) == 0:
			inEvent = false
		case line[0] != ':':
			inEvent = true
		}
		if !inEvent {
			complete = len(b) - len(rest)
		}
	}
}

// cutLine returns the first line of b without its end, and what follows. A line ends with
// LF, CR LF or CR. ended is false if b holds no end of a line. A CR at the end of b counts
// as one: a LF that follows later reads as an empty line, which adds nothing to a stream.
func cutLine(b []byte) (line, after []byte, ended bool) {
	i := bytes.IndexAny(b, "\r\n")
	if i < 0 {
		return nil, b, false
	}
	end := i + 1
	if b[i] == '\r' && end < len(b) && b[end] == '\n' {
		end++
	}
	return b[:i], b[end:], true
}

// idField starts the line with an event's id.
var idField = []byte("id:")

// eventIDs returns the number of ids in whole events, and the last one.
func eventIDs(events []byte) (count int, last string) {
	for {
		line, after, ended := cutLine(events)
		if !ended {
			return count, last
		}
		events = after
		if value, ok := bytes.CutPrefix(line, idField); ok {
			last = string(bytes.TrimSpace(value))
			count++
		}
	}
}
