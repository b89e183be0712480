package forward

import (
	"bytes"
	"context"
	"errors"
	"time"

	"github.com/samphirequay/samphirequay/daemon/bytebudget"
)

// maxEventBytes bounds one event of a stream, and with it the memory that an endpoint can
// take by an event without an end.
const maxEventBytes = 256 << 10

// errEventTooLarge reports an event of more than maxEventBytes.
var errEventTooLarge = errors.New("an event of the stream is too large")

// freeEventBytes is what a stream's buffer may hold without a charge to the budget of the
// daemon's bytes: as much as other parts of a stream take.
const freeEventBytes = 8 << 10

// eventBuffer holds the bytes of a stream that do not make up a whole event yet.
type eventBuffer struct {
	// opaque is set for a body that is no series of events: all its bytes count as whole.
	opaque  bool
	partial []byte
	// whole is the length of the whole events at the start of partial, which add has
	// returned.
	whole int
	// scanned is the length of the lines at the start of partial that have been looked at,
	// inEvent whether they end inside an event. searched is how far the end of the next
	// line was sought. An endpoint may send an event in very many parts.
	scanned, searched int
	inEvent           bool
	// charged is how many bytes were charged to the request's account.
	charged int
}

// add appends bytes of the stream and returns the whole events that they complete, valid
// until the next call. Comment lines between events and empty lines count as whole.
func (b *eventBuffer) add(p []byte) []byte {
	if b.whole > 0 {
		b.partial = append(b.partial[:0], b.partial[b.whole:]...)
		b.scanned, b.searched, b.inEvent = 0, 0, false
	}
	b.partial = append(b.partial, p...)
	b.whole = len(b.partial)
	if !b.opaque {
		b.whole = b.scan()
	}
	return b.partial[:b.whole]
}

// scan returns the length of the whole events at the start of partial.
func (b *eventBuffer) scan() (whole int) {
	at, searched, inEvent := b.scanned, b.searched, b.inEvent
	for {
		end, ended := lineEnd(b.partial, max(at, searched))
		if !ended {
			b.searched = len(b.partial)
			return whole
		}
		line := b.partial[at:end]
		inEvent = continuesEvent(line, inEvent)
		at, searched = end, end
		if !inEvent {
			whole = at
		}
		if at == len(b.partial) && line[len(line)-1] == '\r' {
			// It is looked at again: an LF that follows belongs to it.
			b.searched = at - 1
			return whole
		}
		b.scanned, b.searched, b.inEvent = at, at, inEvent
	}
}

// continuesEvent reports whether a stream is inside an event behind a line, given whether it
// was before it.
func continuesEvent(line []byte, inEvent bool) bool {
	switch line[0] {
	case '\r', '\n':
		return false
	case ':':
		return inEvent
	default:
		return true
	}
}

// charge charges the request's account for what the buffer has grown to. It fails if the
// daemon may hold no more.
func (b *eventBuffer) charge(ctx context.Context) error {
	more := cap(b.partial) - freeEventBytes - b.charged
	if more <= 0 {
		return nil
	}
	if err := bytebudget.FromContext(ctx).Take(ctx, more, time.Time{}); err != nil {
		return err
	}
	b.charged += more
	return nil
}

// rest returns the bytes of an event that is not whole, valid until the next call of add.
func (b *eventBuffer) rest() []byte { return b.partial[b.whole:] }

// tooLarge reports whether the event that is not whole exceeds maxEventBytes.
func (b *eventBuffer) tooLarge() bool { return len(b.rest()) > maxEventBytes }

// reset drops all bytes, for another body.
func (b *eventBuffer) reset(opaque bool) {
	b.opaque = opaque
	b.partial = b.partial[:0]
	b.whole, b.scanned, b.searched, b.inEvent = 0, 0, 0, false
}

// cutLine returns the first line of b without its end, and what follows. A line ends with
// LF, CR LF or CR. ended is false if b holds no end of a line. A CR at the end of b counts
// as one: a LF that follows later reads as an empty line, which adds nothing to a stream.
func cutLine(b []byte) (line, after []byte, ended bool) {
	end, ended := lineEnd(b, 0)
	if !ended {
		return nil, b, false
	}
	return bytes.TrimRight(b[:end], "\r\n"), b[end:], true
}

// lineEnd returns where the first line ends that ends behind from, its end included.
func lineEnd(b []byte, from int) (end int, ended bool) {
	i := bytes.IndexAny(b[from:], "\r\n")
	if i < 0 {
		return 0, false
	}
	end = from + i + 1
	if b[end-1] == '\r' && end < len(b) && b[end] == '\n' {
		end++
	}
	return end, true
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
