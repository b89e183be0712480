package httphead

import (
	"bytes"

	"github.com/valyala/fasthttp"
)

// maxStatus is the largest status of a response (RFC 9110, section 15).
const maxStatus = 599

// protocol and statusDigits are the lengths of the parts of a status line, in bytes.
const (
	protocolSize = len("HTTP/1.1")
	statusDigits = 3
)

// checkStatusLine returns the status of a status line.
func checkStatusLine(line []byte) (status int, err error) {
	const end = protocolSize + 1 + statusDigits
	if len(line) < end || !bytes.HasPrefix(line, []byte("HTTP/")) || line[protocolSize] != ' ' {
		return 0, newError(RuleStatusLine, line)
	}
	if len(line) > end && line[end] != ' ' {
		return 0, newError(RuleStatusLine, line)
	}
	for _, digit := range line[protocolSize+1 : end] {
		if digit < '0' || digit > '9' {
			return 0, newError(RuleStatusLine, line)
		}
		status = 10*status + int(digit-'0')
	}
	if status < fasthttp.StatusContinue || status > maxStatus || status == fasthttp.StatusSwitchingProtocols {
		return 0, newError(RuleStatus, line)
	}
	if !isText(line[end:]) {
		return 0, newError(RuleFieldValue, line)
	}
	return status, nil
}
