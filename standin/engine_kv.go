package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/samphirequay/samphirequay/endpoint/wire"
	"github.com/valyala/fasthttp"
)

const (
	// pathPull is the path on which a decode engine pulls a KV cache from a
	// prefill engine. Only stand-ins use it.
	pathPull    = "/v1/kv/pull"
	pullTimeout = 2 * time.Second
)

// exportedKV is a KV cache that waits for its import. Its lifetime (KVLifetime) also
// runs while it is being transferred.
type exportedKV struct {
	name           string
	id             string
	owner          owner
	since          time.Time
	bytes          int64
	computedTokens int
	expiry         *time.Timer
}

// pullRequest is a call for a KV cache: the first checks that it exists and gets
// its size, the second, with End set, drops it after the transfer.
type pullRequest struct {
	Request string `json:"request"`
	KV      string `json:"kv"`
	End     bool   `json:"end"`
}

// pullResponse carries the size of a KV cache, in bytes.
type pullResponse struct {
	Bytes int64 `json:"bytes"`
}

// isPull reports whether a call is a pull by another engine.
func isPull(ctx *fasthttp.RequestCtx) bool { return string(ctx.Path()) == pathPull }

// newPullClient returns the HTTP client for pulls from other engines. It makes
// no retries.
func newPullClient() *fasthttp.Client {
	return &fasthttp.Client{MaxIdemponentCallAttempts: 1, NoDefaultUserAgentHeader: true, MaxIdleConnDuration: time.Second}
}

// export keeps the KV cache of a finished prefill. The caller holds mu.
func (e *Engine) export(m *memory, job *prefill, tokens, cached int) wire.PrefillResponse {
	m.exportCount++
	kv := &exportedKV{
		name:           fmt.Sprintf("%s-%d-%d", e.cfg.Name, m.proc.incarnation, m.exportCount),
		id:             job.id,
		owner:          job.owner,
		since:          time.Now(),
		bytes:          int64(tokens) * e.cfg.KVBytesPerToken,
		computedTokens: tokens - cached,
	}
	m.kvs[kv.name] = kv
	kv.expiry = time.AfterFunc(e.cfg.KVLifetime, func() { e.expire(m, kv.name) })
	return wire.PrefillResponse{
		KV:           kv.name,
		PromptTokens: tokens,
		CachedTokens: cached,
		KVBytes:      kv.bytes,
		KVLifeMS:     int(e.cfg.KVLifetime / time.Millisecond),
	}
}

// expire drops a KV cache that was not imported within its lifetime.
func (e *Engine) expire(m *memory, name string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.memory == m && e.dropKV(name, true) {
		e.counters.KVExpired++
	}
}

// dropKV removes a KV cache; wasted counts its computed tokens as wasted. It
// returns false if there is no such cache. The caller holds mu.
func (e *Engine) dropKV(name string, wasted bool) bool {
	kv, ok := e.memory.kvs[name]
	if !ok {
		return false
	}
	kv.expiry.Stop()
	delete(e.memory.kvs, name)
	if wasted {
		e.counters.PrefillTokensWasted += int64(kv.computedTokens)
	}
	return true
}

// serveRelease frees an exported KV cache that will not be imported.
func (e *Engine) serveRelease(ctx *fasthttp.RequestCtx) {
	var r wire.ReleaseRequest
	if f := decodeBody(ctx, &r); f != nil {
		f.write(ctx)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	kv, ok := e.memory.kvs[r.KV]
	if ok && kv.id == r.Request {
		e.dropKV(r.KV, true)
		e.counters.KVReleased++
	}
	ctx.SetStatusCode(fasthttp.StatusNoContent)
}

// servePull serves another engine's pull.
func (e *Engine) servePull(ctx *fasthttp.RequestCtx) {
	var r pullRequest
	if f := decodeBody(ctx, &r); f != nil {
		f.write(ctx)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	kv, ok := e.memory.kvs[r.KV]
	if !ok || kv.id != r.Request {
		refused(fasthttp.StatusGone, wire.ErrorKVGone, "no such KV cache").write(ctx)
		return
	}
	if r.End {
		e.dropKV(r.KV, false)
		e.counters.KVImported++
	}
	setJSON(ctx, pullResponse{Bytes: kv.bytes})
}

// importKV pulls the KV cache of a request and returns when the transfer ended.
func (e *Engine) importKV(ctx context.Context, id string, source wire.KVSource) *failure {
	pull := pullRequest{Request: id, KV: source.KV}
	size, f := e.pull(source.Address, pull)
	if f != nil {
		return f
	}
	if !e.faults.waitWhile(ctx.Done(), func(s faultState) bool { return s.stall }) {
		return refused(fasthttp.StatusConflict, wire.ErrorCancelled, "request was cancelled in its import")
	}
	if e.cfg.Links.Transfer(ctx, source.Domain, e.cfg.Domain, size) != nil {
		return refused(fasthttp.StatusConflict, wire.ErrorCancelled, "request was cancelled in its import")
	}
	pull.End = true
	_, f = e.pull(source.Address, pull)
	return f
}

// pull makes one pull call to the engine that holds a KV cache and returns the
// size of the cache in bytes.
func (e *Engine) pull(address string, in pullRequest) (int64, *failure) {
	body, err := json.Marshal(in)
	if err != nil {
		return 0, refused(fasthttp.StatusInternalServerError, wire.ErrorEndpoint, err.Error())
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + address + pathPull)
	req.SetBodyRaw(body)
	if err := e.pullClient.DoTimeout(req, resp, pullTimeout); err != nil {
		return 0, refused(fasthttp.StatusGone, wire.ErrorKVGone, "KV cache's engine can't be reached: "+err.Error())
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return 0, refused(fasthttp.StatusGone, wire.ErrorKVGone, "KV cache is gone at "+address)
	}
	var out pullResponse
	if err := json.Unmarshal(resp.Body(), &out); err != nil {
		return 0, refused(fasthttp.StatusGone, wire.ErrorKVGone, "unreadable answer of "+address)
	}
	return out.Bytes, nil
}
