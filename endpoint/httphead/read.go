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
	if resp.Header.ContentLength() == chunkedLength {
		return readChunked(r, resp)
	}
	return resp.ReadBody(r, 0)
}

// chunkedLength is the content length that the library reports for a body in chunks.
const chunkedLength = -1

// readChunked leaves a body in chunks to be read. Its trailers are read into a header that nobody
// asks: the library would return them as fields of the head (RFC 9110, section 6.5.1).
func readChunked(r *bufio.Reader, resp *fasthttp.Response) error {
	var body fasthttp.Response
	body.StreamBody = true
	body.Header.SetContentLength(chunkedLength)
	if err := body.ReadBody(r, 0); err != nil {
		return err
	}
	resp.SetBodyStream(body.BodyStream(), chunkedLength)
	return nil
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
