package client

import (
	"context"
	"io"
	"net/url"
	"strconv"
	"time"

	"github.com/samphirequay/samphirequay/endpoint/wire"
	"github.com/valyala/fasthttp"
)

// Engine is the client of one model engine. Prefills and streams have a
// connection each, so that they can be aborted at once; short calls share a pool.
type Engine struct {
	*pooled
	connSlots chan struct{}
}

// NewEngine returns a client of the engine at address.
func NewEngine(address string, o Options) *Engine {
	p := newPooled(address, o)
	return &Engine{pooled: p, connSlots: make(chan struct{}, p.options.MaxConns)}
}

// Prefill orders the reading of a prompt and waits for its end. When ctx ends
// first, the connection is aborted and the engine may go on: cancel it there.
func (e *Engine) Prefill(ctx context.Context, r wire.PrefillRequest) (wire.PrefillResponse, error) {
	var out wire.PrefillResponse
	req, err := newRequest(fasthttp.MethodPost, wire.PathPrefill, r)
	if err != nil {
		return out, err
	}
	const what = "prefill"
	d, err := e.open(ctx, what, req, deadlineOf(ctx, e.options.Timeout))
	if err != nil {
		return out, err
	}
	defer d.Close()
	body, err := d.body(e.options.MaxResponseBytes)
	if err != nil {
		return out, err
	}
	if d.resp.StatusCode() >= fasthttp.StatusBadRequest {
		return out, statusError(e.address, what, d.resp, body)
	}
	return out, decodeBody(e.address, what, body, &out)
}

// body reads the whole body, at most limit bytes.
func (d *dedicatedExchange) body(limit int) ([]byte, error) {
	stream := d.resp.BodyStream()
	if stream == nil {
		return d.resp.Body(), nil
	}
	body, err := io.ReadAll(io.LimitReader(stream, int64(limit)))
	if err != nil {
		return nil, d.classifyError(err)
	}
	return body, nil
}

// Decode orders the writing of an answer. It returns once the engine has
// imported the KV cache. The stream lives no longer than ctx.
func (e *Engine) Decode(ctx context.Context, r wire.DecodeRequest, t Timeouts) (*Stream, error) {
	req, err := newRequest(fasthttp.MethodPost, wire.PathCompletions, r)
	if err != nil {
		return nil, err
	}
	return e.stream(ctx, "decode", req, t)
}

// ResumeRequest goes on with a stream behind event After, for a new owner.
type ResumeRequest struct {
	Request     string
	After       int
	Owner       string
	Incarnation uint64
}

// Resume goes on with a stream that the engine still holds.
func (e *Engine) Resume(ctx context.Context, r ResumeRequest, t Timeouts) (*Stream, error) {
	query := url.Values{}
	query.Set("request", r.Request)
	query.Set("after", strconv.Itoa(r.After))
	query.Set("owner", r.Owner)
	query.Set("incarnation", strconv.FormatUint(r.Incarnation, 10))
	req, err := newRequest(fasthttp.MethodGet, wire.PathEvents+"?"+query.Encode(), nil)
	if err != nil {
		return nil, err
	}
	return e.stream(ctx, "resume", req, t)
}

// stream opens an exchange whose response is a stream of events.
func (e *Engine) stream(ctx context.Context, what string, req *fasthttp.Request, t Timeouts) (*Stream, error) {
	d, err := e.open(ctx, what, req, time.Now().Add(t.First))
	if err != nil {
		return nil, err
	}
	if d.resp.StatusCode() < fasthttp.StatusBadRequest {
		return newStream(d, t.Idle), nil
	}
	defer d.Close()
	body, err := d.body(e.options.MaxResponseBytes)
	if err != nil {
		return nil, err
	}
	return nil, statusError(e.address, what, d.resp, body)
}

// Cancel ends a request in whatever state it is.
func (e *Engine) Cancel(ctx context.Context, r wire.CancelRequest) (wire.CancelResponse, error) {
	var out wire.CancelResponse
	err := e.call(ctx, fasthttp.MethodPost, wire.PathCancel, r, &out)
	return out, err
}

// Release frees an exported KV cache.
func (e *Engine) Release(ctx context.Context, r wire.ReleaseRequest) error {
	return e.call(ctx, fasthttp.MethodPost, wire.PathRelease, r, nil)
}

// Requests lists what the engine holds memory for.
func (e *Engine) Requests(ctx context.Context) (wire.RequestList, error) {
	var out wire.RequestList
	err := e.call(ctx, fasthttp.MethodGet, wire.PathRequests, nil, &out)
	return out, err
}

// Load reads the engine's report of itself, which lags.
func (e *Engine) Load(ctx context.Context) (wire.LoadReport, error) {
	return readLoad(ctx, e.pooled)
}

// load reads the load report of an endpoint.
func readLoad(ctx context.Context, p *pooled) (wire.LoadReport, error) {
	var out wire.LoadReport
	err := p.call(ctx, fasthttp.MethodGet, wire.PathLoad, nil, &out)
	return out, err
}

// CacheEvents reads the cache events behind number after; they come late and
// with gaps.
func (e *Engine) CacheEvents(ctx context.Context, after uint64) (wire.CacheEvents, error) {
	var out wire.CacheEvents
	path := wire.PathCache + "?after=" + strconv.FormatUint(after, 10)
	err := e.call(ctx, fasthttp.MethodGet, path, nil, &out)
	return out, err
}

// Order sets the desired state; repeating it is harmless.
func (e *Engine) Order(ctx context.Context, o wire.Order) (wire.OrderResponse, error) {
	var out wire.OrderResponse
	err := e.call(ctx, fasthttp.MethodPost, wire.PathOrders, o, &out)
	return out, err
}

// OrderState reads the state back.
func (e *Engine) OrderState(ctx context.Context) (wire.OrderResponse, error) {
	var out wire.OrderResponse
	err := e.call(ctx, fasthttp.MethodGet, wire.PathOrders, nil, &out)
	return out, err
}
