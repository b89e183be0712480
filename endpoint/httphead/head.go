// Package httphead reads the heads of HTTP/1 responses by their grammar (RFC 9112,
// sections 2.2, 4, 5 and 6; RFC 9110, sections 5.1, 5.6.2 and 15). The HTTP library reads
// them leniently: it takes a status of 000 for 200, cuts off or passes on what stands around
// the name of a field, and skips what stands before the status line. Bytes that are no
// response must not reach a caller as one, nor tell a daemon anything. The package checks a
// head before the library reads it; it doesn't interpret it. Trailers are not checked, and are
// no fields of the head.
//
// Of what the RFCs let a recipient tolerate, only a status line without the blank behind the
// status is accepted, since sound servers send it. Lines that end in a bare LF, obsolete line
// folding, blanks around names and empty lines before the status line are refused: no sender
// may generate them, and each makes one head readable in two ways.
package httphead

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"

	"github.com/valyala/fasthttp"
)

// Rule is a rule of the grammar that a head can break. Rules are stable: they are written to
// logs and metrics.
type Rule string

// The rules.
const (
	// RuleStatusLine: the head begins with HTTP-version SP status-code [SP reason-phrase].
	RuleStatusLine Rule = "status_line"
	// RuleStatus: the status is one that a response can have: 100 to 599 without 101, for
	// which a client has to ask.
	RuleStatus Rule = "status"
	// RuleLineEnd: each line ends in CR LF.
	RuleLineEnd Rule = "line_end"
	// RuleFolding: no field goes on in the next line.
	RuleFolding Rule = "line_folding"
	// RuleFieldName: each line of a field begins with a name, which is a token, and a colon.
	RuleFieldName Rule = "field_name"
	// RuleFieldValue: the value of a field, and a reason phrase, have no control bytes but tabs.
	RuleFieldValue Rule = "field_value"
	// RuleVersion: the version is 1.0 or 1.1.
	RuleVersion Rule = "version"
	// RuleFraming: the body is framed in one way, which the version and the status have.
	RuleFraming Rule = "framing"
	// RuleInterim: after few interim responses comes a final one.
	RuleInterim Rule = "interim"
	// RuleSize: a head fits into the buffer of its reader.
	RuleSize Rule = "size"
)

// maxShown bounds the bytes of a line that an Error shows.
const maxShown = 64

// Error is the error of a head that breaks a rule.
type Error struct {
	Rule Rule
	// Line is the beginning of the line that breaks it.
	Line string
}

func newError(rule Rule, line []byte) *Error {
	return &Error{Rule: rule, Line: string(line[:min(len(line), maxShown)])}
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("the head of the answer breaks the rule %s: %q", e.Rule, e.Line)
}

// RuleOf returns the rule that a response has broken, if err says so.
func RuleOf(err error) (Rule, bool) {
	var broken *Error
	if !errors.As(err, &broken) {
		return "", false
	}
	return broken.Rule, true
}

// head is a checked head.
type head struct {
	// size is its length in bytes, the empty line included.
	size   int
	status int
}

// interim reports whether another head follows.
func (h head) interim() bool { return h.status < fasthttp.StatusOK }

// peek waits for the head at the start of r and checks it. It consumes nothing.
func peek(r *bufio.Reader) (head, error) {
	s := scanner{r: r}
	line, err := s.next()
	if err != nil {
		return head{}, err
	}
	v, status, err := checkStatusLine(line)
	if err != nil {
		return head{}, err
	}
	if err := checkFields(&s, newFraming(v, status)); err != nil {
		return head{}, err
	}
	return head{size: s.size, status: status}, nil
}

// checkFields checks the fields up to the empty line.
func checkFields(s *scanner, f framing) error {
	for {
		line, err := s.next()
		if err != nil || len(line) == 0 {
			return err
		}
		if err := checkField(line); err != nil {
			return err
		}
		if err := f.add(line); err != nil {
			return err
		}
	}
}

// scanner returns the lines of a head one by one.
type scanner struct {
	r *bufio.Reader
	// size is the length of the lines that were returned, in bytes.
	size int
}

// next waits for the next line and returns it without its end; it is valid until the next
// read of the reader.
func (s *scanner) next() ([]byte, error) {
	for searched := 0; ; {
		buffered, _ := s.r.Peek(s.r.Buffered()) // has all of it
		rest := buffered[s.size:]
		if i := bytes.IndexByte(rest[searched:], '\n'); i >= 0 {
			line := rest[:searched+i+1]
			s.size += len(line)
			return cutEnd(line)
		}
		searched = len(rest)
		if _, err := s.r.Peek(len(buffered) + 1); err != nil {
			return nil, unfinished(err, buffered, rest)
		}
	}
}

// cutEnd cuts the end of a line off.
func cutEnd(line []byte) ([]byte, error) {
	content, found := bytes.CutSuffix(line, []byte("\r\n"))
	if !found {
		return nil, newError(RuleLineEnd, line)
	}
	return content, nil
}

// unfinished returns the error for a head that ends in a line without an end. io.EOF means
// that nothing of it arrived.
func unfinished(err error, buffered, line []byte) error {
	switch {
	case errors.Is(err, bufio.ErrBufferFull):
		return newError(RuleSize, line)
	case err == io.EOF && len(buffered) > 0:
		return io.ErrUnexpectedEOF
	default:
		return err
	}
}
