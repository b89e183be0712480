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

// FuzzFrames checks that for any input on a one-way stream each frame is within the
// size limit and no byte is read twice.
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
		var peerHello hello
		read, err := r.next(&peerHello)
		for err == nil {
			var item frame
			var n int
			n, err = r.next(&item)
			read += n
			if err == nil && (n < 1 || len(item.Body) > fuzzMessage+frameOverhead) {
				t.Fatalf("frame of %d bytes with a body of %d bytes", n, len(item.Body))
			}
		}
		if read > len(data) {
			t.Fatalf("%d bytes read of %d", read, len(data))
		}
	})
}

// FuzzCall checks that the size of any input on a call's stream, request or answer,
// is bounded, and that the error of a failure has a valid verdict.
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
			t.Fatalf("answer with invalid verdict %d: %v", v, err)
		}
	})
}
