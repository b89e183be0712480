package load

import (
	"fmt"
	"net/http"

	"github.com/samphirequay/samphirequay/daemon/opapi"
)

const (
	// maxEndings bounds the error answers that a result keeps: enough to see
	// what they have in common.
	maxEndings = 16
	// maxEndingBody bounds what is kept of an answer without a code, in bytes.
	maxEndingBody = 256
)

// Ending is the error answer with which a request ended, as its caller got it.
type Ending struct {
	// Daemon is the host:port that sent it.
	Daemon string `json:"daemon"`
	// Status is the HTTP status; 200 for an error within a stream.
	Status int               `json:"status"`
	Detail opapi.ErrorDetail `json:"detail"`
	// Body begins what was sent where it holds no code, or can't be read.
	Body string `json:"body,omitempty"`
}

// newEnding keeps an error answer, or an error event of a stream.
func newEnding(resp *http.Response, detail opapi.ErrorDetail, body []byte) *Ending {
	e := &Ending{Daemon: resp.Request.URL.Host, Status: resp.StatusCode, Detail: detail}
	if detail.Code == "" {
		e.Body = string(body[:min(len(body), maxEndingBody)])
	}
	return e
}

// String gives the answer as key=value pairs.
func (e *Ending) String() string {
	line := fmt.Sprintf("status=%d code=%s verdict=%s retry_after_ms=%d daemon=%s id=%s why=%q",
		e.Status, e.Detail.Code, e.Detail.Verdict, e.Detail.RetryAfterMS, e.Daemon, e.Detail.Request, e.Detail.Message)
	if e.Body != "" {
		line += fmt.Sprintf(" body=%q", e.Body)
	}
	return line
}
