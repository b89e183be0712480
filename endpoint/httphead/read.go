package httphead

import (
	"bufio"

	"github.com/valyala/fasthttp"
)

// maxInterim bounds the interim responses before a final one.
const maxInterim = 100

// ReadResponse reads the head of the final response from r, whose body is left to be read
// with resp.BodyStream; it has none if the response has no body by its status, or if
// resp.SkipBody is set. An error that is io.EOF means that no byte arrived, an *Error that
// what arrived is no response.
func ReadResponse(r *bufio.Reader, resp *fasthttp.Response) error {
	resp.StreamBody = true
	status, err := readHead(r, resp)
	if err != nil {
		return err
	}
	if resp.SkipBody || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified {
		return nil
	}
	return resp.ReadBody(r, 0)
}

// readHead reads the heads up to the final one, and returns its status.
func readHead(r *bufio.Reader, resp *fasthttp.Response) (status int, err error) {
	for range maxInterim + 1 {
		h, err := peek(r)
		if err != nil {
			return 0, err
		}
		if err := resp.Header.Read(r); err != nil {
			return 0, err
		}
		if !h.interim() {
			return h.status, nil
		}
	}
	return 0, newError(RuleInterim, nil)
}
