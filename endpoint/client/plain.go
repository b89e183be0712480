package client

import (
	"context"
	"strings"

	"github.com/samphirequay/samphirequay/core/verdict"
	"github.com/samphirequay/samphirequay/endpoint/wire"
	"github.com/valyala/fasthttp"
)

// Header is one header of a call.
type Header struct{ Name, Value string }

// PlainRequest is one call of a plain service.
type PlainRequest struct {
	Method string
	// Path with its query.
	Path string
	// Headers are sent as they stand; the caller has filtered them.
	Headers []Header
	Body    []byte
}

// PlainResponse is the answer of a plain service, whatever its status.
type PlainResponse struct {
	Status  int
	Headers []Header
	Body    []byte
	// Incarnation of the endpoint; 0 if it did not say.
	Incarnation uint64
}

// Plain is the client of one endpoint of a plain service.
type Plain struct{ *pooled }

// NewPlain returns a client of the plain endpoint at address.
func NewPlain(address string, o Options) *Plain { return &Plain{newPooled(address, o)} }

// Call sends the call once. A response that says that the call did not run is
// an error with that verdict; any other response is returned as it is.
func (p *Plain) Call(ctx context.Context, in PlainRequest) (PlainResponse, error) {
	if !validTarget(in.Path) {
		return PlainResponse{}, verdict.New(verdict.NotRun, verdict.CodeBadRequest, "path %q can't be sent", in.Path)
	}
	req, err := newRequest(in.Method, "http://"+p.address+in.Path, nil)
	if err != nil {
		return PlainResponse{}, err
	}
	for _, h := range in.Headers {
		req.Header.Add(h.Name, h.Value)
	}
	req.SetBody(in.Body)
	what := in.Method + " " + in.Path
	resp, err := p.exchange(ctx, what, req)
	if err != nil {
		return PlainResponse{}, err
	}
	defer fasthttp.ReleaseResponse(resp)
	if reportsNotRun(resp) {
		return PlainResponse{}, statusError(p.address, what, resp, resp.Body())
	}
	return plainResponse(resp), nil
}

// properTarget tells whether a path stands in a request as it is.
func validTarget(path string) bool {
	improper := func(r rune) bool { return r <= ' ' || r == '#' || r >= 0x7f }
	return strings.HasPrefix(path, "/") && !strings.ContainsFunc(path, improper)
}

// plainResponse copies a response out of the library's buffers.
func plainResponse(resp *fasthttp.Response) PlainResponse {
	out := PlainResponse{
		Status:      resp.StatusCode(),
		Body:        append([]byte(nil), resp.Body()...),
		Incarnation: incarnationOf(resp),
	}
	for name, value := range resp.Header.All() {
		out.Headers = append(out.Headers, Header{Name: string(name), Value: string(value)})
	}
	return out
}

// Load reads the endpoint's report of itself, which lags.
func (p *Plain) Load(ctx context.Context) (wire.LoadReport, error) {
	return readLoad(ctx, p.pooled)
}
