package forward

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/daemon/bytebudget"
)

// completeEventsLen is the length of the complete events at the start of b, which starts
// between two events. It looks at all of b at once, as a reference for eventBuffer.
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

func TestCompleteEvents(t *testing.T) {
	cases := []struct {
		name, whole, rest string
	}{
		{"nothing", "", ""},
		{"one event", "id: 1\ndata: a\n\n", ""},
		{"two and a part", "id: 1\n\nid: 2\n\n", "id: 3\n"},
		{"without an empty line", "", "data: a\n"},
		{"in the middle of a line", "data: a\n\n", "da"},
		{"lines that end with CR LF", "id: 1\r\ndata: a\r\n\r\n", "id: 2\r\n"},
		{"lines that end with CR", "id: 1\rdata: a\r\r", "id: 2\r"},
		{"mixed ends of lines", "id: 1\r\ndata: a\n\r\n", ""},
		{"a comment between events", "data: a\n\n: alive\n", ""},
		{"a comment inside an event", "", "data: a\n: alive\n"},
		{"empty lines", "\n\r\n\r", ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(completeEventsLen([]byte(c.whole+c.rest)), len(c.whole))
		})
	}
}

func TestEventIDs(t *testing.T) {
	is := is.New(t)
	for _, end := range []string{"\n", "\r\n", "\r"} {
		events := strings.ReplaceAll("id: 1\ndata: id: 9\n\ndata: b\nid:2 \n\n", "\n", end)
		count, last := eventIDs([]byte(events))
		is.Equal(count, 2)
		is.Equal(last, "2")
	}
}

// FuzzEventBufferKeepsTheStream checks that no byte is lost or moved, wherever reads
// split the stream, and that the same bytes are whole in the end.
func FuzzEventBufferKeepsTheStream(f *testing.F) {
	f.Add("id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: alive\nid: 3\rdata", uint8(1))
	f.Add("\r\n\r\n\n\r", uint8(2))
	f.Add("data: a\n\n", uint8(0))
	f.Fuzz(func(t *testing.T, stream string, size uint8) {
		var b eventBuffer
		passed := ""
		step := int(size%16) + 1
		for at := 0; at < len(stream); at += step {
			passed += string(b.add([]byte(stream[at:min(at+step, len(stream))])))
		}
		if passed+string(b.rest()) != stream {
			t.Fatalf("passed %q and kept %q of %q", passed, b.rest(), stream)
		}
		if whole := completeEventsLen([]byte(stream)); len(passed) != whole {
			t.Fatalf("passed %d bytes of %q, %d are whole", len(passed), stream, whole)
		}
	})
}

// TestABodyThatIsNoSeriesOfEventsIsPassedOnAsItArrives checks that such a body is neither
// held back nor kept.
func TestABodyThatIsNoSeriesOfEventsIsPassedOnAsItArrives(t *testing.T) {
	is := is.New(t)
	b := eventBuffer{opaque: true}
	for _, part := range []string{`{"text":`, `"a"`, "}"} {
		is.Equal(string(b.add([]byte(part))), part)
		is.Equal(len(b.rest()), 0)
	}
}

// TestAnEventInManyPartsIsLookedAtOnce guards against an endpoint that keeps a processor busy
// with an event in tiny parts: what was looked at for each part would grow with the event.
func TestAnEventInManyPartsIsLookedAtOnce(t *testing.T) {
	is := is.New(t)
	for _, part := range []string{"data: x\n", "xxxxxxxx", "data: x\r\n"} {
		var b eventBuffer
		for !b.tooLarge() {
			is.Equal(len(b.add([]byte(part))), 0)
			is.True(len(b.partial)-b.searched <= len(part)+1)
		}
	}
}

// TestALargeEventIsChargedToItsRequest guards against many streams that each hold a large
// event.
func TestALargeEventIsChargedToItsRequest(t *testing.T) {
	is := is.New(t)
	budget := bytebudget.New(256<<10, nil)
	account := budget.Open()
	ctx := bytebudget.NewContext(t.Context(), account)
	var b eventBuffer
	b.add(make([]byte, 1000))
	is.NoErr(b.charge(ctx))
	is.Equal(account.Held(), int64(0))
	b.add(make([]byte, 64<<10))
	is.NoErr(b.charge(ctx))
	is.Equal(account.Held(), int64(cap(b.partial)-freeEventBytes))
	for !b.tooLarge() {
		b.add(make([]byte, 64<<10))
	}
	is.Equal(b.charge(ctx), bytebudget.ErrShort)
	account.Close()
	is.Equal(budget.Held(), int64(0))
}
