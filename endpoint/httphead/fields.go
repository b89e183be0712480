package httphead

import (
	"bytes"
	"strings"
)

// tokenMarks are the bytes of a token beside letters and digits (RFC 9110, section 5.6.2).
const tokenMarks = "!#$%&'*+-.^_`|~"

// isTokenByte has the bytes of a token.
var isTokenByte = func() (table [256]bool) {
	for b := range table {
		letter := 'a' <= b|0x20 && b|0x20 <= 'z' && b < 0x80
		table[b] = letter || '0' <= b && b <= '9' || strings.IndexByte(tokenMarks, byte(b)) >= 0
	}
	return table
}()

func isToken(name []byte) bool {
	for _, b := range name {
		if !isTokenByte[b] {
			return false
		}
	}
	return len(name) > 0
}

// isText reports whether a text is free of control bytes other than tabs.
func isText(text []byte) bool {
	for _, b := range text {
		if b < ' ' && b != '\t' || b == 0x7f {
			return false
		}
	}
	return true
}

// checkField checks a line that holds a field; it is not empty.
func checkField(line []byte) error {
	name, value, found := bytes.Cut(line, []byte{':'})
	switch {
	case line[0] == ' ' || line[0] == '\t':
		return newError(RuleFolding, line)
	case !found || !isToken(name):
		return newError(RuleFieldName, line)
	case !isText(value):
		return newError(RuleFieldValue, line)
	}
	return nil
}
