package standin

import (
	"bufio"
	"encoding/json"
	"fmt"
	"strconv"

	"github.com/samphirequay/samphirequay/endpoint/wire"
	"github.com/valyala/fasthttp"
)

// attach starts a new stream of a request's events and returns its number; the
// earlier streams of the request end.
func (e *Engine) attach(d *decode) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	d.stream++
	close(d.changed)
	d.changed = make(chan struct{})
	return d.stream
}

// serveResume hands a request to a new owner and streams its events after the
// given sequence number.
func (e *Engine) serveResume(ctx *fasthttp.RequestCtx) {
	args := ctx.QueryArgs()
	after, err := strconv.Atoi(string(args.Peek("after")))
	if err != nil || after < 0 {
		refused(fasthttp.StatusBadRequest, wire.ErrorBadRequest, "after is not a number").write(ctx)
		return
	}
	incarnation, err := strconv.ParseUint(string(args.Peek("incarnation")), 10, 64)
	if err != nil {
		refused(fasthttp.StatusBadRequest, wire.ErrorBadRequest, "incarnation is not a number").write(ctx)
		return
	}
	d, f := e.takeOver(string(args.Peek("request")), owner{string(args.Peek("owner")), incarnation})
	if f != nil {
		f.write(ctx)
		return
	}
	e.streamEvents(ctx, d, e.attach(d), after)
}

// takeOver assigns a request to a new owner. An earlier incarnation of the same
// owner is refused.
func (e *Engine) takeOver(id string, to owner) (*decode, *failure) {
	e.mu.Lock()
	defer e.mu.Unlock()
	d, ok := e.memory.decodes[id]
	if !ok {
		return nil, failed(fasthttp.StatusNotFound, wire.ErrorUnknown, "engine holds no such request")
	}
	if d.owner.name == to.name && d.owner.incarnation > to.incarnation {
		return nil, failed(fasthttp.StatusConflict, wire.ErrorOwner, "a later incarnation owns the request")
	}
	e.counters.Resumes++
	d.owner = to
	return d, nil
}

// streamEvents sends the events after a sequence number as they are emitted.
func (e *Engine) streamEvents(ctx *fasthttp.RequestCtx, d *decode, stream, after int) {
	ctx.SetContentType("text/event-stream")
	ctx.Response.ImmediateHeaderFlush = true
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		for {
			events, changed := e.eventsAfter(d, stream, after)
			if len(events) > 0 {
				if writeEvents(w, events) != nil {
					return
				}
				after = events[len(events)-1].Seq
				if events[len(events)-1].Finish != "" {
					return
				}
				continue
			}
			if changed == nil {
				return
			}
			select {
			case <-changed:
			case <-d.ctx.Done():
				return
			}
		}
	})
}

// eventsAfter returns the events after a sequence number and a channel that is
// closed on the next change; the channel is nil if the stream was replaced or
// the request has ended.
func (e *Engine) eventsAfter(d *decode, stream, after int) ([]wire.TokenEvent, <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if d.stream != stream || d.ctx.Err() != nil {
		return nil, nil
	}
	first := max(0, after-d.request.Continue)
	if first >= len(d.events) {
		return nil, d.changed
	}
	return append([]wire.TokenEvent(nil), d.events[first:]...), d.changed
}

// writeEvents writes events as server-sent events and flushes them.
func writeEvents(w *bufio.Writer, events []wire.TokenEvent) error {
	for _, event := range events {
		data, err := json.Marshal(event)
		if err != nil {
			return err
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", event.Seq, data); err != nil {
			return err
		}
	}
	return w.Flush()
}
