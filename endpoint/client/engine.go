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

// Engine is the client of one model engine. Each prefill and each stream has its
// own connection, so that it can be aborted immediately; short calls share a pool.
type Engine struct {
	*pooled
	connSlots chan struct{}
}

// NewEngine returns a client of the engine at address.
func NewEngine(address string, o Options) *Engine {
	p := newPooled(address, o)
	return &Engine{pooled: p, connSlots: make(chan struct{}, p.options.MaxConns)}
}

// Prefill orders the prefill of a prompt and waits for its result. When ctx ends
// first, the connection is aborted but the engine may continue: the caller must
// cancel the request at the engine.
func (e *Engine) Prefill(ctx context.Context, r wire.PrefillRequest) (wire.PrefillResponse, error) {
	var out wire.PrefillResponse
	req, err := newRequest(fasthttp.MethodPost, wire.PathPrefill, r)
	if err != nil {
		return out, err
	}
	const operation = "prefill"
	d, err := e.open(ctx, operation, req, deadlineOf(ctx, e.options.Timeout))
	if err != nil {
		return out, err
	}
	defer d.Close()
	body, err := d.body(e.options.MaxResponseBytes)
	if err != nil {
		return out, err
	}
	if d.resp.StatusCode() >= fasthttp.StatusBadRequest {
		return out, statusError(e.address, operation, d.resp, body)
	}
	return out, decodeBody(e.address, operation, body, &out)
}

// body reads the body, at most limit bytes of a streamed one.
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

// Decode orders a decode. It returns once the engine has imported the KV cache. The
// stream ends with ctx at the latest.
func (e *Engine) Decode(ctx context.Context, r wire.DecodeRequest, t Timeouts) (*Stream, error) {
	req, err := newRequest(fasthttp.MethodPost, wire.PathCompletions, r)
	if err != nil {
		return nil, err
	}
	return e.stream(ctx, "decode", req, t)
}

// ResumeRequest requests the events of a stream after event After, and makes the
// given process its owner.
type ResumeRequest struct {
	Request     string
	After       int
	Owner       string
	Incarnation uint64
}

// Resume continues a stream that the engine still holds.
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
func (e *Engine) stream(ctx context.Context, operation string, req *fasthttp.Request, t Timeouts) (*Stream, error) {
	d, err := e.open(ctx, operation, req, time.Now().Add(t.First))
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
	return nil, statusError(e.address, operation, d.resp, body)
}

// Cancel cancels a request in any state.
func (e *Engine) Cancel(ctx context.Context, r wire.CancelRequest) (wire.CancelResponse, error) {
	var out wire.CancelResponse
	err := e.call(ctx, fasthttp.MethodPost, wire.PathCancel, r, &out)
	return out, err
}

// Release frees an exported KV cache.
func (e *Engine) Release(ctx context.Context, r wire.ReleaseRequest) error {
	return e.call(ctx, fasthttp.MethodPost, wire.PathRelease, r, nil)
}

// Requests lists the requests for which the engine holds memory.
func (e *Engine) Requests(ctx context.Context) (wire.RequestList, error) {
	var out wire.RequestList
	err := e.call(ctx, fasthttp.MethodGet, wire.PathRequests, nil, &out)
	return out, err
}

// Load reads the engine's load report, which may be out of date.
func (e *Engine) Load(ctx context.Context) (wire.LoadReport, error) {
	return readLoad(ctx, e.pooled)
}

// readLoad reads an endpoint's load report.
func readLoad(ctx context.Context, p *pooled) (wire.LoadReport, error) {
	var out wire.LoadReport
	err := p.call(ctx, fasthttp.MethodGet, wire.PathLoad, nil, &out)
	return out, err
}

// CacheEvents reads the cache events after number after. Events may be delayed or
// missing.
func (e *Engine) CacheEvents(ctx context.Context, after uint64) (wire.CacheEvents, error) {
	var out wire.CacheEvents
	path := wire.PathCache + "?after=" + strconv.FormatUint(after, 10)
	err := e.call(ctx, fasthttp.MethodGet, path, nil, &out)
	return out, err
}

// Order sets the desired state of the engine. It is idempotent.
func (e *Engine) Order(ctx context.Context, o wire.Order) (wire.OrderResponse, error) {
	var out wire.OrderResponse
	err := e.call(ctx, fasthttp.MethodPost, wire.PathOrders, o, &out)
	return out, err
}

// OrderState reads the state of the engine with respect to its order.
func (e *Engine) OrderState(ctx context.Context) (wire.OrderResponse, error) {
	var out wire.OrderResponse
	err := e.call(ctx, fasthttp.MethodGet, wire.PathOrders, nil, &out)
	return out, err
}
