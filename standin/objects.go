package standin

import (
	"strings"
	"sync"

	"github.com/samphirequay/samphirequay/endpoint/wire"
	"github.com/valyala/fasthttp"
)

// MaxObjectBytes is the maximum size of an object, in bytes.
const MaxObjectBytes = 16 << 20

// ObjectCounters are the counters of an object store.
type ObjectCounters struct {
	Gets    int64 `json:"gets"`
	Puts    int64 `json:"puts"`
	Objects int   `json:"objects"`
}

// ObjectStore is a simulated object store.
type ObjectStore struct {
	faults   *faults
	mu       sync.Mutex
	objects  map[string][]byte
	counters ObjectCounters
}

// NewObjectStore returns an empty store.
func NewObjectStore(seed uint64) *ObjectStore {
	return &ObjectStore{faults: newFaults(seed), objects: map[string][]byte{}}
}

// Start starts the object store's server at addr, host:port.
func (o *ObjectStore) Start(addr string) (*Server, error) {
	return startStandIn(addr, &standIn{
		faults:         o.faults,
		serve:          o.serve,
		inject:         o.Inject,
		counters:       func() any { return o.Counters() },
		replyCanBeLost: func(ctx *fasthttp.RequestCtx) bool { return ctx.IsPut() },
	})
}

// Inject applies a fault.
func (o *ObjectStore) Inject(f wire.Fault) { o.faults.apply(f) }

// Counters returns a copy of the current counters.
func (o *ObjectStore) Counters() ObjectCounters {
	o.mu.Lock()
	defer o.mu.Unlock()
	c := o.counters
	c.Objects = len(o.objects)
	return c
}

// serve handles a call.
func (o *ObjectStore) serve(ctx *fasthttp.RequestCtx) {
	name, ok := strings.CutPrefix(string(ctx.Path()), wire.PathObjects)
	if !ok || name == "" {
		notFound(ctx)
		return
	}
	switch {
	case ctx.IsPut():
		o.put(ctx, name)
	case ctx.IsGet():
		o.get(ctx, name)
	default:
		notFound(ctx)
	}
}

// put writes an object.
func (o *ObjectStore) put(ctx *fasthttp.RequestCtx, name string) {
	body := append([]byte(nil), ctx.PostBody()...)
	if len(body) > MaxObjectBytes {
		refused(fasthttp.StatusRequestEntityTooLarge, wire.ErrorTooLarge, "object is too large").write(ctx)
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.counters.Puts++
	o.objects[name] = body
	ctx.SetStatusCode(fasthttp.StatusNoContent)
}

// get reads an object.
func (o *ObjectStore) get(ctx *fasthttp.RequestCtx, name string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.counters.Gets++
	body, ok := o.objects[name]
	if !ok {
		failed(fasthttp.StatusNotFound, wire.ErrorNotFound, "no object "+name).write(ctx)
		return
	}
	ctx.SetBody(body)
}
