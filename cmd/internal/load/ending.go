package load

import (
	"fmt"
	"net/http"

	"github.com/samphirequay/samphirequay/daemon/opapi"
)

const (
	// maxEndings bounds the error responses that a result keeps: enough to see
	// a common cause.
	maxEndings = 16
	// maxEndingBody bounds the part of a response without an error code that is
	// kept, in bytes.
	maxEndingBody = 256
)

// Ending is the final error response of a request.
type Ending struct {
	// Daemon is the host:port that sent the response.
	Daemon string `json:"daemon"`
	// Status is the HTTP status; 200 for an error event within a stream.
	Status int               `json:"status"`
	Detail opapi.ErrorDetail `json:"detail"`
	// Body is the beginning of a response that has no error code or can't be
	// decoded.
	Body string `json:"body,omitempty"`
}

// newEnding returns the Ending for an error response or for an error event of a
// stream.
func newEnding(resp *http.Response, detail opapi.ErrorDetail, body []byte) *Ending {
	e := &Ending{Daemon: resp.Request.URL.Host, Status: resp.StatusCode, Detail: detail}
	if detail.Code == "" {
		e.Body = string(body[:min(len(body), maxEndingBody)])
	}
	return e
}

// String formats the response as key=value pairs.
func (e *Ending) String() string {
	line := fmt.Sprintf("status=%d code=%s verdict=%s retry_after_ms=%d daemon=%s id=%s why=%q",
		e.Status, e.Detail.Code, e.Detail.Verdict, e.Detail.RetryAfterMS, e.Daemon, e.Detail.Request, e.Detail.Message)
	if e.Body != "" {
		line += fmt.Sprintf(" body=%q", e.Body)
	}
	return line
}
