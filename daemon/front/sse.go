package front

import (
	"bufio"
	"context"
	"encoding/json"

	"github.com/valyala/fasthttp"

	"github.com/samphirequay/samphirequay/core/verdict"
	"github.com/samphirequay/samphirequay/daemon/httpjson"
)

const (
	contentTypeSSE = "text/event-stream"
	doneLine       = "data: [DONE]\n\n"
)

// serveStream answers with server-sent events. It waits for the first event, so that
// an error before it still determines the HTTP status.
func (s *Server) serveStream(ctx *fasthttp.RequestCtx, callerCtx context.Context, run *run) {
	streamCtx, cancel := context.WithCancelCause(callerCtx)
	go run.serve(streamCtx)
	first, ok := <-run.items
	if !ok || first.err != nil {
		defer run.end()
		cancel(nil)
		if !ok {
			first.err = verdict.New(verdict.MayHaveRun, verdict.CodeInternal, "the answer ended before it began")
		}
		run.failed(first.err)
		writeError(ctx, first.err, run.job.ID)
		return
	}
	ctx.SetContentType(contentTypeSSE)
	ctx.Response.Header.Set(fasthttp.HeaderCacheControl, "no-cache")
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer run.end()
		err := run.write(w, first)
		cancel(err)
		run.drain()
	})
}

// write sends events until the answer ends or a write fails.
func (r *run) write(w *bufio.Writer, it item) error {
	for ok := true; ok; it, ok = <-r.items {
		if it.err != nil {
			r.failed(it.err)
			return r.writeError(w, it.err)
		}
		r.observe(it.event)
		if err := r.writeEvent(w, it); err != nil {
			return err
		}
	}
	r.answered()
	if _, err := w.WriteString(doneLine); err != nil {
		return err
	}
	return w.Flush()
}

func (r *run) writeEvent(w *bufio.Writer, it item) error {
	token, err := r.resumeToken(it.event)
	if err != nil {
		return err
	}
	data, err := json.Marshal(r.completion(it.event.Text, it.event, it.event.Finish != ""))
	if err != nil {
		return err
	}
	return writeFields(w, "id: ", token, "\ndata: ", string(data), "\n\n")
}

func (r *run) writeError(w *bufio.Writer, verr *verdict.Error) error {
	data, err := json.Marshal(httpjson.ErrorBody(verr, r.job.ID))
	if err != nil {
		return err
	}
	return writeFields(w, "event: error\ndata: ", string(data), "\n\n")
}

func writeFields(w *bufio.Writer, fields ...string) error {
	for _, f := range fields {
		if _, err := w.WriteString(f); err != nil {
			return err
		}
	}
	return w.Flush()
}

// drain discards the remaining items, so that the goroutine in serve does not block
// if the writer ended first.
func (r *run) drain() {
	for range r.items {
		continue
	}
}
