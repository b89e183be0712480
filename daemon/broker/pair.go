package broker

import (
	"context"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/pairing"
	"github.com/samphirequay/samphirequay/core/sched"
	"github.com/samphirequay/samphirequay/core/verdict"
)

// Pair requests the endpoints for a request and waits for them. If ctx ends first,
// the request is withdrawn. The error of a plain call that no owner has decided on has the
// cause pairing.ErrUndecided.
func (b *Broker) Pair(ctx context.Context, w sched.Want, patience time.Duration) (sched.Grant, *verdict.Error) {
	answers := make(chan pairing.Answer, 1)
	request := func(now time.Duration) {
		b.waiting[w.Request] = answers
		b.output(now, b.requester.Request(now, w, patience))
	}
	if !b.duty.PostContext(ctx, request) {
		return sched.Grant{}, verdict.New(verdict.NotRun, verdict.CodeUnavailable, "this daemon takes no requests now")
	}
	select {
	case a := <-answers:
		if a.Err != nil {
			return sched.Grant{}, a.Err
		}
		return *a.Grant, nil
	case <-ctx.Done():
		b.duty.Post(func(now time.Duration) {
			delete(b.waiting, w.Request)
			b.output(now, b.requester.Withdraw(w.Request))
		})
		return sched.Grant{}, verdict.New(verdict.NotRun, verdict.CodeCallerGone, "the caller is gone").WithCause(context.Cause(ctx))
	case <-b.duty.Context().Done():
		return sched.Grant{}, verdict.New(verdict.NotRun, verdict.CodeUnavailable, "this daemon is stopping")
	}
}

// Resume registers a request whose engine stream was started by another process.
func (b *Broker) Resume(w sched.Want, g sched.Grant) {
	b.duty.Post(func(now time.Duration) { b.output(now, b.requester.Resume(now, w, g)) })
}

// Progress reports the progress of a granted request.
func (b *Broker) Progress(p sched.Progress) {
	b.duty.Post(func(now time.Duration) {
		if p.Phase >= sched.PhaseDecoding {
			delete(b.bindings, p.Request)
		}
		b.output(now, b.requester.Progress(now, p))
	})
}

// Bind waits for the decode endpoint of a provisional grant, at most as long as the
// grant allows. Without a binding in time, it returns the endpoint in the grant.
func (b *Broker) Bind(ctx context.Context, g sched.Grant) id.Endpoint {
	if !g.Provisional {
		return g.Decode
	}
	var ch chan sched.Binding
	b.duty.Query(func(time.Duration) { ch = b.bindings[g.Request] })
	timer := time.NewTimer(g.BindWithin)
	defer timer.Stop()
	select {
	case binding := <-ch:
		return binding.Decode
	case <-timer.C:
	case <-ctx.Done():
	}
	return g.Decode
}
