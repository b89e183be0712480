package httphead

import (
	"bytes"

	"github.com/valyala/fasthttp"
)

// version is the protocol version of a response, as in its status line.
type version string

// The versions whose responses are read. Others are framed in ways that this package can't
// know.
const (
	http10 version = "HTTP/1.0"
	http11 version = "HTTP/1.1"
)

// maxStatus is the largest status of a response (RFC 9110, section 15).
const maxStatus = 599

// The lengths of the parts of a status line, in bytes.
const (
	versionSize = len(http11)
	statusSize  = 3
)

// checkStatusLine returns what a status line says.
func checkStatusLine(line []byte) (v version, status int, err error) {
	const end = versionSize + 1 + statusSize
	if len(line) < end || line[versionSize] != ' ' || len(line) > end && line[end] != ' ' {
		return "", 0, newError(RuleStatusLine, line)
	}
	if v, err = versionOf(line); err != nil {
		return "", 0, err
	}
	if status, err = statusOf(line); err != nil {
		return "", 0, err
	}
	if !isText(line[end:]) {
		return "", 0, newError(RuleFieldValue, line)
	}
	return v, status, nil
}

func versionOf(line []byte) (version, error) {
	switch {
	case bytes.HasPrefix(line, []byte(http11)):
		return http11, nil
	case bytes.HasPrefix(line, []byte(http10)):
		return http10, nil
	case bytes.HasPrefix(line, []byte("HTTP/")):
		return "", newError(RuleVersion, line)
	default:
		return "", newError(RuleStatusLine, line)
	}
}

func statusOf(line []byte) (int, error) {
	status := 0
	for _, digit := range line[versionSize+1 : versionSize+1+statusSize] {
		if digit < '0' || digit > '9' {
			return 0, newError(RuleStatusLine, line)
		}
		status = 10*status + int(digit-'0')
	}
	if status < fasthttp.StatusContinue || status > maxStatus || status == fasthttp.StatusSwitchingProtocols {
		return 0, newError(RuleStatus, line)
	}
	return status, nil
}
