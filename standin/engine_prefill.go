package standin

import (
	"container/heap"
	"strings"
	"time"

	"github.com/samphirequay/samphirequay/core/prefixhash"
	"github.com/samphirequay/samphirequay/endpoint/wire"
	"github.com/valyala/fasthttp"
)

// prefill is the job of computing one prompt's KV cache, waiting or running.
type prefill struct {
	engineRequest
	request wire.PrefillRequest
	arrival uint64
	// done is closed once response or failure is set.
	done     chan struct{}
	response wire.PrefillResponse
	failure  *failure
}

// servePrefill queues a prefill order and waits for its end.
func (e *Engine) servePrefill(ctx *fasthttp.RequestCtx) {
	var r wire.PrefillRequest
	if f := decodeBody(ctx, &r); f != nil {
		f.write(ctx)
		return
	}
	job, f := e.enqueuePrefill(r)
	if f != nil {
		f.write(ctx)
		return
	}
	select {
	case <-job.done:
		writeReply(ctx, job.response, job.failure)
	case <-job.ctx.Done():
		e.replyPrefillAborted(ctx, job)
	}
}

// replyPrefillAborted replies to a prefill that was cancelled or lost in a
// crash, with its result if it finished before that.
func (e *Engine) replyPrefillAborted(ctx *fasthttp.RequestCtx, job *prefill) {
	select {
	case <-job.done:
		writeReply(ctx, job.response, job.failure)
	default:
		job.replyAborted(ctx, failed(fasthttp.StatusConflict, wire.ErrorCancelled, "request was cancelled"))
	}
}

// enqueuePrefill adds a prefill to the queue, or returns the failure.
func (e *Engine) enqueuePrefill(r wire.PrefillRequest) (*prefill, *failure) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if f := e.refuseWork(r.Request, RolePrefill, r.Model); f != nil {
		return nil, f
	}
	m := e.memory
	if _, ok := m.prefills[r.Request]; ok {
		return nil, failed(fasthttp.StatusConflict, wire.ErrorDuplicate, "request is in its prefill")
	}
	if len(m.queue) >= e.cfg.PrefillQueue {
		e.counters.Refused++
		return nil, refused(fasthttp.StatusTooManyRequests, wire.ErrorFull, "prefill queue is full")
	}
	m.arrivals++
	job := &prefill{
		engineRequest: newEngineRequest(m, r.Request, owner{r.Owner, r.OwnerIncarnation}, stagePrefill),
		request:       r,
		arrival:       m.arrivals,
		done:          make(chan struct{}),
	}
	m.prefills[r.Request] = job
	heap.Push(&m.queue, job)
	e.recordLoad()
	select {
	case m.queueSignal <- struct{}{}:
	default:
	}
	return job, nil
}

// prefillLoop runs the queued prefills one by one until the process ends.
func (e *Engine) prefillLoop(m *memory) {
	for {
		job := e.nextPrefill(m)
		if job != nil {
			e.runPrefill(m, job)
			continue
		}
		select {
		case <-m.queueSignal:
		case <-m.proc.ctx.Done():
			return
		}
	}
}

// nextPrefill removes the next prefill from the queue and skips cancelled ones;
// nil if there is none.
func (e *Engine) nextPrefill(m *memory) *prefill {
	e.mu.Lock()
	defer e.mu.Unlock()
	for len(m.queue) > 0 && m.proc.ctx.Err() == nil {
		job := heap.Pop(&m.queue).(*prefill)
		if job.ctx.Err() != nil {
			continue
		}
		m.prefilling = true
		e.recordLoad()
		return job
	}
	return nil
}

// runPrefill computes the uncached part of one prompt and exports the KV cache.
func (e *Engine) runPrefill(m *memory, job *prefill) {
	e.mu.Lock()
	e.counters.Prefills++
	if strings.Contains(job.request.Prompt, CrashMarker) {
		e.crash()
		e.mu.Unlock()
		return
	}
	blocks := prefixhash.Blocks(job.request.CacheSalt, job.request.Prompt)
	tokens := prefixhash.EstimateTokens(job.request.Prompt)
	cached := min(m.cache.hits(blocks)*prefixhash.BlockTokens, tokens)
	e.mu.Unlock()

	computed := tokens - cached
	began := time.Now()
	duration := e.prefillTime(computed)
	finished := e.faults.simulateWork(job.ctx.Done(), duration)

	e.mu.Lock()
	defer e.mu.Unlock()
	m.prefilling = false
	e.counters.PrefillTokensCached += int64(cached)
	if !finished || job.ctx.Err() != nil {
		e.abortPrefill(computed, completedWork(time.Since(began), e.faults.state().slow), duration)
		return
	}
	e.counters.PrefillTokens += int64(computed)
	m.cache.store(time.Now(), blocks, e.faults)
	job.response = e.export(m, job, tokens, cached)
	delete(m.prefills, job.id)
	close(job.done)
	e.recordLoad()
}

// prefillTime returns how long the prefill of a number of tokens takes, without
// the Slow fault.
func (e *Engine) prefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / e.cfg.PrefillTokensPerSecond * float64(time.Second))
}

// abortPrefill counts the completed part of an aborted prefill as wasted: spent
// of work, for that many tokens. The caller holds mu.
func (e *Engine) abortPrefill(tokens int, spent, work time.Duration) {
	e.recordLoad()
	if work <= 0 {
		return
	}
	fraction := min(1, float64(spent)/float64(work))
	wasted := int64(fraction * float64(tokens))
	e.counters.PrefillTokens += wasted
	e.counters.PrefillTokensWasted += wasted
}

// prefillQueue orders prefills by priority, then by arrival.
type prefillQueue []*prefill

// Len implements heap.Interface.
func (q prefillQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q prefillQueue) Less(i, j int) bool {
	if q[i].request.Priority != q[j].request.Priority {
		return q[i].request.Priority > q[j].request.Priority
	}
	return q[i].arrival < q[j].arrival
}

// Swap implements heap.Interface.
func (q prefillQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *prefillQueue) Push(x any) { *q = append(*q, x.(*prefill)) }

// Pop implements heap.Interface.
func (q *prefillQueue) Pop() any {
	old := *q
	job := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	return job
}

// remove deletes a prefill from the queue, if it is queued.
func (q *prefillQueue) remove(job *prefill) {
	for i, other := range *q {
		if other == job {
			heap.Remove(q, i)
			return
		}
	}
}
