package peer

import (
	"bytes"
	"testing"

	"github.com/samphirequay/samphirequay/core/verdict"
)

const fuzzMessage = 1 << 10

func encoded(f *testing.F, msg any) []byte {
	data, err := Encode(msg)
	if err != nil {
		f.Fatal(err)
	}
	return data
}

// FuzzFrames: whatever a peer sends on a one-way stream, each frame that is
// read is within the bound and no byte is read twice.
func FuzzFrames(f *testing.F) {
	first := encoded(f, hello{Version: helloVersion, Incarnation: 9})
	one := encoded(f, frame{Kind: 1, Body: []byte("abc")})
	f.Add(append(bytes.Clone(first), one...))
	f.Add(append(append(bytes.Clone(first), one...), one...))
	f.Add(append(bytes.Clone(first), encoded(f, frame{Kind: 2, Body: make([]byte, fuzzMessage+1)})...))
	f.Add([]byte{0x82, 0x01, 0x5f, 0x41, 0x00})
	f.Add([]byte{0x82, 0x01, 0x5b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Add(bytes.Repeat([]byte{0x81}, 64))
	f.Fuzz(func(t *testing.T, data []byte) {
		r := newFrameReader(bytes.NewReader(data), fuzzMessage)
		var greeting hello
		read, err := r.next(&greeting)
		for err == nil {
			var item frame
			var n int
			n, err = r.next(&item)
			read += n
			if err == nil && (n < 1 || len(item.Body) > fuzzMessage+frameOverhead) {
				t.Fatalf("a frame of %d bytes with a body of %d", n, len(item.Body))
			}
		}
		if read > len(data) {
			t.Fatalf("%d bytes read of %d", read, len(data))
		}
	})
}

// FuzzCall: whatever comes on a call's stream, a request or an answer, is
// bounded; a failure has a verdict that callers can rely on.
func FuzzCall(f *testing.F) {
	f.Add(encoded(f, frame{Kind: 1, Body: []byte("q")}))
	f.Add(encoded(f, answer{Body: []byte{0x61, 'x'}}))
	f.Add(encoded(f, answer{Failure: &failure{Verdict: verdict.NotRun, Code: verdict.CodeLeaving, Message: "m"}}))
	f.Add(encoded(f, answer{Failure: &failure{}}))
	f.Add([]byte{0x82, 0x84})
	f.Fuzz(func(t *testing.T, data []byte) {
		whole, err := readBounded(bytes.NewReader(data), fuzzMessage)
		if (err != nil) != (len(data) > fuzzMessage+frameOverhead) {
			t.Fatalf("%d bytes: %v", len(data), err)
		}
		var request frame
		_ = Decode(whole, &request)
		var text string
		err = readAnswer("d2", whole, &text)
		if v := verdict.Of(err); err != nil && (v < verdict.NotRun || v > verdict.Ran) {
			t.Fatalf("an answer with verdict %d: %v", v, err)
		}
	})
}
