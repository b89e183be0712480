package standin

import (
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samphirequay/samphirequay/endpoint/wire"
	"github.com/valyala/fasthttp"
)

// finishLength is the Finish value of an answer that reached its token limit.
const finishLength = "length"

// decode is the decode of one request: importing, running, or finished and kept
// for a resume.
type decode struct {
	engineRequest
	request wire.DecodeRequest
	events  []wire.TokenEvent
	// changed is closed and replaced on each event and each new stream.
	changed chan struct{}
	// stream is the number of the latest stream, the only one that is served.
	stream int
}

// serveDecode takes a slot, imports the KV cache and streams the output tokens.
func (e *Engine) serveDecode(ctx *fasthttp.RequestCtx) {
	var r wire.DecodeRequest
	if f := decodeBody(ctx, &r); f != nil {
		f.write(ctx)
		return
	}
	m, d, f := e.takeSlot(r)
	if f != nil {
		f.write(ctx)
		return
	}
	began := time.Now()
	if f := e.importKV(d.ctx, d.id, r.Source); f != nil {
		e.failImport(m, d)
		d.replyAborted(ctx, f)
		return
	}
	if !e.beginDecode(m, d) {
		d.replyAborted(ctx, failed(fasthttp.StatusConflict, wire.ErrorCancelled, "request was cancelled"))
		return
	}
	stream := e.attach(d)
	go e.decodeLoop(m, d, time.Since(began))
	e.streamEvents(ctx, d, stream, r.Continue)
}

// takeSlot takes a slot for a run order, or returns the failure.
func (e *Engine) takeSlot(r wire.DecodeRequest) (*memory, *decode, *failure) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if f := e.refuseWork(r.Request, RoleDecode, r.Model); f != nil {
		return nil, nil, f
	}
	if r.MaxTokens > MaxAnswerTokens || r.Continue < 0 {
		return nil, nil, refused(fasthttp.StatusBadRequest, wire.ErrorBadRequest, "max_tokens or continue is out of range")
	}
	if r.MaxTokens <= 0 {
		r.MaxTokens = defaultMaxTokens
	}
	m := e.memory
	if _, ok := m.decodes[r.Request]; ok {
		return nil, nil, failed(fasthttp.StatusConflict, wire.ErrorDuplicate, "engine holds this request")
	}
	if m.running >= e.cfg.Slots {
		e.counters.Refused++
		return nil, nil, refused(fasthttp.StatusTooManyRequests, wire.ErrorFull, "no free slot")
	}
	d := &decode{
		engineRequest: newEngineRequest(m, r.Request, owner{r.Owner, r.OwnerIncarnation}, stageImport),
		request:       r,
		changed:       make(chan struct{}),
	}
	m.decodes[r.Request] = d
	m.running++
	e.counters.MaxRunning = max(e.counters.MaxRunning, m.running)
	e.recordLoad()
	return m, d, nil
}

// failImport frees the slot of a request whose import failed.
func (e *Engine) failImport(m *memory, d *decode) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counters.ImportsFailed++
	e.dropDecode(m, d)
}

// dropDecode removes a request and frees its slot. The caller holds mu.
func (e *Engine) dropDecode(m *memory, d *decode) {
	if m.decodes[d.id] != d {
		return
	}
	delete(m.decodes, d.id)
	if d.stage != stageFinished {
		m.running--
	}
	d.discard()
	e.recordLoad()
}

// discard cancels the work and frees the stored events.
func (d *decode) discard() {
	d.cancel()
	d.events = nil
}

// beginDecode counts the run; false if the request was cancelled during its
// import, or if its prompt crashes the engine.
func (e *Engine) beginDecode(m *memory, d *decode) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if d.ctx.Err() != nil {
		return false
	}
	d.stage = stageDecode
	e.counters.Decodes++
	if e.decodeRuns.add(d.id) > 1 {
		e.counters.RepeatedDecodes++
	}
	if strings.Contains(d.request.Prompt, CrashMarker) {
		e.crash()
		return false
	}
	return true
}

// decodeLoop emits the output tokens one by one until the end or a cancel. It
// continues when the stream breaks, since the request may be resumed.
func (e *Engine) decodeLoop(m *memory, d *decode, transferTime time.Duration) {
	seed := xxhash.Sum64String(d.request.Prompt)
	for seq := d.request.Continue + 1; seq <= d.request.MaxTokens; seq++ {
		if !e.faults.simulateWork(d.ctx.Done(), e.pace(m)) {
			return
		}
		event := wire.TokenEvent{Request: d.id, Seq: seq, Text: answerToken(seed, seq)}
		if seq == d.request.Continue+1 {
			event.TransferMS = float64(transferTime) / float64(time.Millisecond)
		}
		e.emit(d, event)
	}
	e.finish(m, d)
}

// pace returns the time per output token at the current batch size, without the
// Slow fault.
func (e *Engine) pace(m *memory) time.Duration {
	e.mu.Lock()
	running := m.running
	e.mu.Unlock()
	factor := 1 + e.cfg.BatchSlowdown*float64(max(0, running-1))
	return time.Duration(e.cfg.DecodeTokenMS * factor * float64(time.Millisecond))
}

// emit stores an event and wakes the stream, unless the request was cancelled.
func (e *Engine) emit(d *decode, event wire.TokenEvent) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if d.ctx.Err() != nil {
		return
	}
	e.counters.Tokens++
	d.append(event)
}

// append stores an event and wakes the stream. The caller holds the engine's mu.
func (d *decode) append(event wire.TokenEvent) {
	d.events = append(d.events, event)
	close(d.changed)
	d.changed = make(chan struct{})
}

// finish frees the slot and keeps the finished answer for a resume.
func (e *Engine) finish(m *memory, d *decode) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if m.decodes[d.id] != d || d.ctx.Err() != nil {
		return
	}
	last := max(d.request.MaxTokens, d.request.Continue) + 1
	d.append(wire.TokenEvent{Request: d.id, Seq: last, Finish: finishLength})
	d.stage = stageFinished
	m.running--
	m.finished = append(m.finished, d)
	if len(m.finished) > maxFinished {
		e.dropDecode(m, m.finished[0])
		m.finished[0] = nil
		m.finished = m.finished[1:]
	}
	e.recordLoad()
	time.AfterFunc(e.cfg.FinishedLifetime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.dropDecode(m, d)
	})
}
