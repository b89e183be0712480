package httphead

import (
	"bytes"

	"github.com/valyala/fasthttp"
)

// framing is how the head read so far frames the body (RFC 9112, section 6).
type framing struct {
	// hasChunks is set if the protocol version has chunks, bodiless if the status allows no
	// body.
	hasChunks, bodiless bool
	// length and chunked are set once there was such a field.
	length, chunked bool
}

func newFraming(v version, status int) framing {
	return framing{hasChunks: v == http11, bodiless: status < fasthttp.StatusOK || status == fasthttp.StatusNoContent}
}

// add takes a field into account. It returns an error if the body can't be framed so.
func (f *framing) add(line []byte) error {
	name, value, _ := bytes.Cut(line, []byte{':'})
	value = bytes.Trim(value, " \t")
	sound := true
	switch {
	case isWord(name, fasthttp.HeaderContentLength):
		sound = !f.length && !f.chunked && isNumber(value) && !(f.bodiless && !isZero(value))
		f.length = true
	case isWord(name, fasthttp.HeaderTransferEncoding):
		sound = !f.length && !f.chunked && f.hasChunks && !f.bodiless && isWord(value, "chunked")
		f.chunked = true
	}
	if !sound {
		return newError(RuleFraming, line)
	}
	return nil
}

// isWord reports whether a text is a word, in any case.
func isWord(text []byte, word string) bool {
	return len(text) == len(word) && bytes.EqualFold(text, []byte(word))
}

func isNumber(text []byte) bool {
	for _, b := range text {
		if b < '0' || b > '9' {
			return false
		}
	}
	return len(text) > 0
}

func isZero(number []byte) bool { return len(bytes.TrimLeft(number, "0")) == 0 }
