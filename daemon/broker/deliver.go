package broker

import (
	"slices"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/pairing"
	"github.com/samphirequay/samphirequay/core/sched"
	"github.com/samphirequay/samphirequay/core/verdict"
)

// output delivers the requester's answers and bindings, and sends its messages.
func (b *Broker) output(now time.Duration, out pairing.Output) {
	for _, a := range out.Answers {
		b.answer(a)
	}
	for _, binding := range out.Bindings {
		b.deliverBinding(binding)
	}
	for _, m := range out.Messages {
		b.send(now, m)
	}
	for _, c := range out.Owners {
		if b.cfg.OwnerChanged != nil {
			b.cfg.OwnerChanged(c)
		}
	}
}

func (b *Broker) answer(a pairing.Answer) {
	ch, ok := b.waiting[a.Request]
	if !ok {
		return
	}
	delete(b.waiting, a.Request)
	if a.Grant != nil && a.Grant.Provisional {
		b.bindings[a.Request] = make(chan sched.Binding, 1)
	}
	ch <- a
}

// deliverBinding passes a binding to the request that waits, or will wait, for it.
func (b *Broker) deliverBinding(binding sched.Binding) {
	ch, ok := b.bindings[binding.Request]
	if !ok {
		return
	}
	select {
	case ch <- binding:
	default:
	}
}

func (b *Broker) send(now time.Duration, m pairing.Message) {
	b.sendTo(now, m.To, &Envelope{Want: m.Want, Withdraw: m.Withdraw, Progress: m.Progress, Adopt: m.Adopt})
}

// sendTo handles an envelope for this daemon directly and sends others to their
// daemon.
func (b *Broker) sendTo(now time.Duration, to id.Daemon, e *Envelope) {
	if to == b.cfg.Self.Daemon {
		b.handle(now, to, e)
		return
	}
	if err := b.cfg.Sender.SendBroker(to, e); err != nil {
		b.lostMessages.Inc()
	}
}

// actions sends the decisions of a pool's manager to the daemons concerned.
func (b *Broker) actions(now time.Duration, p id.Pool, actions []sched.Action) {
	for _, a := range actions {
		e := &Envelope{Refusal: a.Refusal, Binding: a.Binding}
		if a.Grant != nil {
			e.Grant = &PoolGrant{Pool: p, Grant: *a.Grant}
		}
		b.sendTo(now, a.To.Daemon, e)
	}
}

// handle processes an envelope from this or another daemon. An envelope about a pool
// that is not configured here is dropped: its sender resends it. Only plain calls are answered,
// since they can't wait for that.
func (b *Broker) handle(now time.Duration, from id.Daemon, e *Envelope) {
	if p, ok := e.pool(); ok && !b.configured[p] {
		b.unknownPools.Inc()
		b.refuseUnknown(now, e.Want)
		return
	}
	if e.answers() {
		b.output(now, b.requester.Heard(now, from))
	}
	switch {
	case e.Want != nil:
		b.want(now, e.Want)
	case e.Withdraw != nil:
		p := e.Withdraw.Pool
		b.actions(now, p, b.manager(now, p).Withdraw(now, e.Withdraw.Request))
	case e.Progress != nil:
		p := e.Progress.Pool
		b.actions(now, p, b.manager(now, p).Progress(now, e.Progress.Progress))
	case e.Adopt != nil:
		p := e.Adopt.Want.Pool
		b.actions(now, p, b.manager(now, p).Adopt(now, *e.Adopt))
	case e.Drain != nil:
		p := e.Drain.Pool
		b.actions(now, p, b.manager(now, p).Drain(now, e.Drain.Endpoint, e.Drain.On))
	case e.Learned != nil:
		b.learn(now, e.Learned)
	case e.Grant != nil:
		b.output(now, b.requester.Granted(e.Grant.Pool, e.Grant.Grant))
	case e.Binding != nil:
		b.output(now, b.requester.Bound(*e.Binding))
	case e.Refusal != nil:
		b.output(now, b.requester.Refused(from, *e.Refusal))
	case e.Queued != nil:
		b.requester.Queued(from, *e.Queued)
	}
}

// want passes a Want to its pool's manager. The daemon of a plain call hears at once if the
// call is queued.
func (b *Broker) want(now time.Duration, w *sched.Want) {
	actions := b.manager(now, w.Pool).Want(now, *w)
	b.actions(now, w.Pool, actions)
	if w.AnswerIn > 0 && !answered(w.Request, actions) {
		b.sendTo(now, w.From.Daemon, &Envelope{Queued: &pairing.Queued{Pool: w.Pool, Request: w.Request}})
	}
}

// refuseUnknown refuses the Want of a plain call, if it is one, whose pool is not configured
// here: its daemon then chooses the endpoint itself. Without an answer it would take this
// daemon for dead, and with it the queues of its other pools.
func (b *Broker) refuseUnknown(now time.Duration, w *sched.Want) {
	if w == nil || w.AnswerIn <= 0 {
		return
	}
	refusal := &sched.Refusal{Request: w.Request, Code: verdict.CodeUnknownService, Reason: "its calls are not queued here"}
	b.sendTo(now, w.From.Daemon, &Envelope{Refusal: refusal})
}

// answered reports whether one of the actions answers a request's Want.
func answered(r id.Request, actions []sched.Action) bool {
	return slices.ContainsFunc(actions, func(a sched.Action) bool {
		return (a.Grant != nil && a.Grant.Request == r) || (a.Refusal != nil && a.Refusal.Request == r)
	})
}
