package completion

import (
	"context"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/live"
	"github.com/samphirequay/samphirequay/core/sched"
	"github.com/samphirequay/samphirequay/core/stream"
	"github.com/samphirequay/samphirequay/core/verdict"
	"github.com/samphirequay/samphirequay/endpoint/wire"
)

// attempt is one granted attempt of a job. However it ends, it releases what it
// holds: the grant at the owner, the prefill, the exported KV cache and the decode
// slot.
type attempt struct {
	*Runner
	p     *progress
	want  sched.Want
	grant sched.Grant

	prefill      *live.Endpoint
	decode       *live.Endpoint
	exported     *wire.PrefillResponse
	prefillStart time.Duration
	prefillTime  time.Duration
}

func (a *attempt) run(ctx context.Context) *verdict.Error {
	if err := a.resolve(); err != nil {
		a.release(sched.Progress{Phase: sched.PhaseFailed})
		return err
	}
	if !sleep(ctx, a.grant.StartIn) {
		a.release(sched.Progress{Phase: sched.PhaseCancelled})
		return verdict.New(verdict.NotRun, verdict.CodeCallerGone, "the caller is gone")
	}
	if err := a.runPrefill(ctx); err != nil {
		return err
	}
	return a.runDecode(ctx)
}

// resolve looks the granted endpoints up in the configuration in force.
func (a *attempt) resolve() *verdict.Error {
	var ok bool
	a.prefill, ok = a.Catalog.Endpoint(a.grant.Prefill)
	if !ok {
		return unknownEndpoint(a.grant.Prefill)
	}
	a.decode, ok = a.Catalog.Endpoint(a.grant.Decode)
	if !ok {
		return unknownEndpoint(a.grant.Decode)
	}
	return nil
}

// unknownEndpoint is the error for an endpoint that is in the configuration of the
// pool's owner but not in that of this daemon: one of them has not received a
// configuration change yet.
func unknownEndpoint(e id.Endpoint) *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.CodeUnavailable, "endpoint %s is not in this daemon's configuration", e)
}

func (a *attempt) runPrefill(ctx context.Context) *verdict.Error {
	a.report(sched.Progress{Phase: sched.PhasePrefilling})
	a.prefillStart = a.Now()
	resp, err := a.Engines.Prefill(ctx, a.prefill, a.prefillRequest())
	if err != nil {
		return a.prefillFailed(ctx, asVerdict(err))
	}
	a.exported = resp
	a.prefillTime = a.Now() - a.prefillStart
	// The owner estimates from this data whether it must refuse later requests.
	a.Recorder.Decision("request", string(a.p.job.ID), "prefilled",
		"attempt", a.want.Request, "endpoint", a.prefill.Name, "owner", a.grant.Owner.Daemon,
		"took", a.prefillTime, "tokens", resp.PromptTokens, "cached", resp.CachedTokens)
	a.report(sched.Progress{
		Phase:        sched.PhaseTransferring,
		CachedTokens: resp.CachedTokens,
		PromptTokens: resp.PromptTokens,
		PrefillTime:  a.prefillTime,
		KVBytes:      resp.KVBytes,
	})
	return nil
}

func (a *attempt) prefillRequest() *wire.PrefillRequest {
	return &wire.PrefillRequest{
		Request:          string(a.want.Request),
		Owner:            string(a.Self.Daemon),
		OwnerIncarnation: uint64(a.Self.Incarnation),
		Model:            string(a.p.job.Service.Name),
		CacheSalt:        string(a.p.job.Team.Name),
		Prompt:           a.p.job.Prompt + a.p.text(),
		Priority:         a.want.Priority,
	}
}

// prefillFailed cancels a prefill that may still run and reports the failure to the
// owner.
func (a *attempt) prefillFailed(ctx context.Context, err *verdict.Error) *verdict.Error {
	if err.Verdict != verdict.NotRun {
		a.Cancels.Cancel(a.prefill, a.want.Request, nil)
	}
	if ctx.Err() != nil {
		a.release(sched.Progress{Phase: sched.PhaseCancelled})
		return err
	}
	a.recordFailure(a.prefill.Name, err)
	a.release(sched.Failure(a.prefill.Name, err))
	return err
}

func (a *attempt) runDecode(ctx context.Context) *verdict.Error {
	if err := a.bind(ctx); err != nil {
		return a.decodeRefused(ctx, err)
	}
	sent := a.Now()
	ts, err := a.Engines.Decode(ctx, a.decode, a.decodeRequest())
	if err != nil {
		failure := asVerdict(err)
		if ts = a.resumeDecode(ctx, failure); ts == nil {
			return a.decodeRefused(ctx, failure)
		}
	}
	return a.relayTokens(ctx, ts, sent)
}

// resumeDecode resumes a stream whose start was lost or late, or whose connection
// broke. A request that may have run can't be sent again, but its stream can be
// resumed if the engine still holds it. It returns nil if that fails.
func (a *attempt) resumeDecode(ctx context.Context, failure *verdict.Error) TokenStream {
	if failure.Verdict == verdict.NotRun || ctx.Err() != nil {
		return nil
	}
	ts, err := a.Engines.Resume(ctx, a.decode, a.want.Request, a.p.seq.Delivered(), a.Self)
	outcome := "taken_up"
	if err != nil {
		outcome = err.Error()
	}
	a.Recorder.Decision("request", string(a.p.job.ID), "stream_missed",
		"attempt", a.want.Request, "endpoint", a.decode.Name, "code", failure.Code, "err", failure.Error(), "outcome", outcome)
	if err != nil {
		return nil
	}
	return ts
}

// bind determines the endpoint that decodes.
func (a *attempt) bind(ctx context.Context) *verdict.Error {
	began := a.Now()
	name := a.Pairer.Bind(ctx, a.grant)
	if a.grant.Provisional {
		a.Recorder.Decision("request", string(a.p.job.ID), "bound",
			"attempt", a.want.Request, "decode", name, "granted", string(a.grant.Decode), "waited", a.Now()-began)
	}
	if name == a.decode.Name {
		return nil
	}
	endpoint, ok := a.Catalog.Endpoint(name)
	if !ok {
		return unknownEndpoint(name)
	}
	a.decode = endpoint
	a.grant.Decode = name
	return nil
}

func (a *attempt) decodeRequest() *wire.DecodeRequest {
	return &wire.DecodeRequest{
		Request:          string(a.want.Request),
		Owner:            string(a.Self.Daemon),
		OwnerIncarnation: uint64(a.Self.Incarnation),
		Model:            string(a.p.job.Service.Name),
		CacheSalt:        string(a.p.job.Team.Name),
		Prompt:           a.p.job.Prompt,
		MaxTokens:        a.p.job.MaxTokens,
		Priority:         a.want.Priority,
		Continue:         a.p.seq.Delivered(),
		Source: wire.KVSource{
			Address: a.prefill.Address,
			KV:      a.exported.KV,
			Bytes:   a.exported.KVBytes,
			Domain:  string(a.prefill.Domain),
		},
	}
}

// decodeRefused handles a decode request that returned no stream.
func (a *attempt) decodeRefused(ctx context.Context, err *verdict.Error) *verdict.Error {
	a.Cancels.ReleaseKV(a.prefill, a.want.Request, a.exported.KV)
	if err.Verdict == verdict.NotRun {
		a.recordFailure(a.decode.Name, err)
		a.release(sched.Failure(a.decode.Name, err))
		return err
	}
	a.cancelDecode(ctx, err)
	return err
}

// cancelDecode cancels the request at the decode engine. The slot counts as held
// until the engine has confirmed.
func (a *attempt) cancelDecode(ctx context.Context, err *verdict.Error) {
	p := sched.Progress{Phase: sched.PhaseCancelled}
	if ctx.Err() == nil {
		a.recordFailure(a.decode.Name, err)
		p = sched.Failure(a.decode.Name, err)
	}
	a.Cancels.Cancel(a.decode, a.want.Request, func() { a.release(p) })
}

// relayTokens delivers the stream's tokens until its end, and closes it. It reports
// to the owner only the number of tokens of this attempt: tokens of earlier attempts
// would distort the measured speed of the engine.
func (a *attempt) relayTokens(ctx context.Context, ts TokenStream, sent time.Duration) *verdict.Error {
	defer func() { _ = ts.Close() }()
	a.p.seq.Switch(a.want.Request)
	began := false
	before := a.p.seq.Delivered()
	resumedAt := before
	for {
		ev, err := ts.Next()
		if err != nil {
			failure := asVerdict(err)
			next := a.reconnect(ctx, ts, failure, resumedAt)
			if next == nil {
				return a.streamFailed(ctx, failure)
			}
			_ = ts.Close()
			ts, resumedAt = next, a.p.seq.Delivered()
			continue
		}
		if !began {
			began = true
			a.report(sched.Progress{Phase: sched.PhaseDecoding, Endpoint: a.decode.Name, TransferTime: transferTime(ev, a.Now()-sent)})
		}
		done, verr := a.deliver(ctx, ts, ev)
		if verr != nil {
			return a.streamFailed(ctx, verr)
		}
		if done {
			written := a.p.seq.Delivered() - before - 1 // the last event has no token
			a.release(sched.Progress{Phase: sched.PhaseDone, OutputTokens: written})
			return nil
		}
	}
}

// reconnect resumes an answer whose connection broke, if tokens arrived since the
// last resume. It does not resume a stream at an engine that stalls, so that another
// engine continues the answer immediately.
func (a *attempt) reconnect(ctx context.Context, broken TokenStream, failure *verdict.Error, resumedAt int) TokenStream {
	if failure.Code != verdict.CodeEndpointFailed || a.p.seq.Delivered() == resumedAt {
		return nil
	}
	ts := a.resumeDecode(ctx, failure)
	if ts == nil {
		return nil
	}
	if ts.Incarnation() != broken.Incarnation() {
		_ = ts.Close()
		return nil
	}
	return ts
}

func transferTime(ev wire.TokenEvent, elapsed time.Duration) time.Duration {
	if ev.TransferMS > 0 {
		return time.Duration(ev.TransferMS * float64(time.Millisecond))
	}
	return elapsed
}

// deliver passes an engine's event through the sequencer to the caller. It
// returns true after the terminal event.
func (a *attempt) deliver(ctx context.Context, ts TokenStream, ev wire.TokenEvent) (bool, *verdict.Error) {
	ready, err := a.p.seq.Push(stream.Event{Attempt: id.Request(ev.Request), Seq: ev.Seq, Text: ev.Text, Finish: ev.Finish})
	if err != nil {
		return false, verdict.New(verdict.Ran, verdict.CodeEndpointFailed, "endpoint %s sent events out of bounds", a.decode.Name).WithCause(err)
	}
	for _, e := range ready {
		out := a.event(ts, e)
		if err := a.p.sink.Deliver(ctx, out); err != nil {
			return false, verdict.New(verdict.Ran, verdict.CodeCallerGone, "the caller is gone").WithCause(err)
		}
		if e.Finish != "" {
			return true, nil
		}
	}
	return false, nil
}

func (a *attempt) event(ts TokenStream, e stream.Event) Event {
	out := Event{
		Seq:         e.Seq,
		Text:        e.Text,
		Finish:      e.Finish,
		Attempt:     a.want.Request,
		Endpoint:    a.decode.Name,
		Incarnation: ts.Incarnation(),
	}
	if a.exported != nil {
		out.PromptTokens = a.exported.PromptTokens
	}
	return out
}

// streamFailed handles a stream that broke, or whose caller is gone.
func (a *attempt) streamFailed(ctx context.Context, err *verdict.Error) *verdict.Error {
	if err.Code == verdict.CodeCallerGone {
		p := sched.Progress{Phase: sched.PhaseCancelled}
		a.Cancels.Cancel(a.decode, a.want.Request, func() { a.release(p) })
		return err
	}
	a.cancelDecode(ctx, err)
	return err
}

// recordFailure excludes an endpoint that failed from the job's next attempts. It
// marks the job as suspect if the endpoint may have crashed while it ran the job.
func (a *attempt) recordFailure(e id.Endpoint, err *verdict.Error) {
	a.p.avoid = append(a.p.avoid, e)
	if err.Code == verdict.CodeEndpointFailed && err.Verdict != verdict.NotRun {
		a.p.suspect = true
	}
}

func (a *attempt) report(p sched.Progress) {
	p.Request = a.want.Request
	a.Pairer.Progress(p)
}

func (a *attempt) release(p sched.Progress) { a.report(p) }
