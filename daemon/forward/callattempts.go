package forward

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/registry"
	"github.com/samphirequay/samphirequay/core/route"
	"github.com/samphirequay/samphirequay/core/sched"
	"github.com/samphirequay/samphirequay/core/verdict"
)

// A sound endpoint may be silent for a while and then go on. An attempt of a call that
// may run more than once is therefore not given up for its silence: another endpoint is
// asked beside it, if one may be, and the first answer is the call's.

// callAttempt is one attempt of a plain call and, once it has ended, its result.
type callAttempt struct {
	number    int
	endpoint  registry.Endpoint
	startedAt time.Duration
	// sentUnixMS is when it was sent, as in partTrace.
	sentUnixMS int64
	// counted is set once the attempt was counted as an arrival because it is silent.
	counted bool
	// grant is the owner's grant; nil if this daemon chose the endpoint, which fallback
	// says was for the owner's silence.
	grant    *sched.Grant
	fallback bool
	// withheld is set if the request was not written since the endpoint began a backoff.
	withheld atomic.Bool
	reply    *Reply
	err      *verdict.Error
}

// callAttempts is the state of one plain call.
type callAttempts struct {
	f       *Forwarder
	ctx     context.Context
	request *Request
	trace   *trace
	service *route.Service
	avoid   []id.Endpoint
	// queued is set if the owner of the service's pool grants the endpoints; pairings
	// counts the Wants.
	queued   bool
	pairings int
	// pending holds the attempts under way, the newest last. Their results come over
	// results, which never blocks the sender.
	pending []*callAttempt
	results chan *callAttempt
	// silent fires when the newest attempt has been silent for so long that another
	// endpoint may be asked; nil if none may. timer is its timer.
	silent <-chan time.Time
	timer  *time.Timer
	// ran and refused count the attempts that have ended: those that may have run, and
	// the others.
	ran, refused int
	// last or failure is the result of the newest attempt so far that may have run, or
	// the worst refusal; lastNumber is that attempt's number.
	last       *Reply
	failure    *verdict.Error
	lastNumber int
}

// call serves a plain call: it tries endpoints one after another for as long as
// the request has certainly not run, or may run more than once.
func (f *Forwarder) call(ctx context.Context, r *Request, t *trace, s *route.Service) (*Reply, *verdict.Error) {
	ctx, cancel := context.WithCancel(ctx)
	c := &callAttempts{f: f, ctx: ctx, request: r, trace: t, service: s, queued: f.CallQueue != nil && f.CallQueue(), results: make(chan *callAttempt, max(1, t.route.MaxAttempts)+maxRefusals)}
	reply, err := c.run()
	cancel()
	c.release()
	return reply, err
}

func (c *callAttempts) run() (*Reply, *verdict.Error) {
	for {
		next, err := c.next()
		if err != nil {
			return finalResult(c.last, c.failure, err)
		}
		c.send(next)
		if reply, err := c.await(); reply != nil || err != nil {
			return reply, err
		}
	}
}

// await waits until the call is answered or all attempts have failed, and asks other
// endpoints for as long as those that were asked are silent. It returns neither a reply nor
// an error if another attempt is due.
func (c *callAttempts) await() (*Reply, *verdict.Error) {
	for len(c.pending) > 0 {
		select {
		case a := <-c.results:
			c.end(a)
			if a.err == nil && !a.reply.Failed() {
				c.trace.endpoint = a.endpoint.Name
				return a.reply, nil
			}
			if len(c.pending) > 0 {
				if c.allSilent() {
					c.askAnother()
				}
				continue
			}
			if !c.f.mayRetry(c.ctx, c.request, c.trace, c.service, a.err, c.ran, c.refused) {
				return finalResult(c.last, c.failure, nil)
			}
		case <-c.silent:
			c.askAnother()
		}
	}
	return nil, nil
}

// send sends the request to an endpoint.
func (c *callAttempts) send(to chosen) {
	f, t, e := c.f, c.trace, to.endpoint
	limit := f.deadline(c.request, t.route)
	t.attempts++
	t.endpoint = e.Name
	f.countUnlisted(t, e)
	f.recordSend(t)
	a := &callAttempt{number: t.attempts, endpoint: e, startedAt: f.Now(), sentUnixMS: t.sentUnixMS, grant: to.grant, fallback: to.fallback}
	attempt := &Attempt{
		Request:     c.request,
		Endpoint:    e,
		Left:        limit - a.startedAt,
		Until:       limit,
		MaxConns:    f.maxConns(c.service),
		AtMostOnce:  !t.route.Repeatable(),
		Team:        t.teamName(),
		Credentials: t.credentials(c.request),
		MaySend:     a.maySend(f.maySend(e)),
		OnLimit:     f.onLimit(e),
		OnBackoff:   f.onBackoff(c.request, e, stepCall),
	}
	c.avoid = append(c.avoid, e.Name)
	c.pending = append(c.pending, a)
	c.stopTimer()
	if c.mayRunAgain() {
		share := time.Duration(attemptFraction * float64(attempt.Left))
		attempt.Until = min(limit, a.startedAt+max(share, minAttemptTime))
		attempt.WaitUntil = limit
		c.timer = time.NewTimer(attempt.Until - a.startedAt)
		c.silent = c.timer.C
	}
	exchange := func() {
		a.reply, a.err = f.Endpoints.Call(c.ctx, attempt)
		c.results <- a
	}
	if c.silent == nil && len(c.pending) == 1 {
		exchange() // nothing else can happen meanwhile
		return
	}
	go exchange()
}

func (c *callAttempts) stopTimer() {
	if c.timer != nil {
		c.timer.Stop()
	}
	c.timer, c.silent = nil, nil
}

// mayRunAgain reports whether the request may run once more, beside the attempts under way.
func (c *callAttempts) mayRunAgain() bool {
	return c.trace.route.Repeatable() && c.ran+len(c.pending) < c.trace.route.MaxAttempts
}

// askAnother sends the request to another endpoint while those that were asked are
// silent, if the retry limit and the endpoints allow it at once.
func (c *callAttempts) askAnother() {
	c.stopTimer()
	f, t := c.f, c.trace
	c.reportSilence()
	if c.ctx.Err() != nil || f.timeLeft(c.request, t.route) < minTimeForRetry || !c.mayRunAgain() || c.refused >= maxRefusals {
		return
	}
	if f.recheck(c.request, t) != nil || !f.payRepeats(t, c.service.Name, 1) {
		return
	}
	endpoint, _, err := f.pickWithin(c.service.Name, c.avoid, 0)
	if err != nil {
		f.returnUnused(t)
		return
	}
	c.send(chosen{endpoint: endpoint})
}

// allSilent reports whether all attempts under way are known to be silent.
func (c *callAttempts) allSilent() bool {
	return !slices.ContainsFunc(c.pending, func(a *callAttempt) bool { return !a.counted })
}

// reportSilence tells the balancer and the log of the attempts that are silent, and counts
// them as arrivals: the retry limit pays for what follows them.
func (c *callAttempts) reportSilence() {
	for _, a := range c.pending {
		if a.counted {
			continue
		}
		a.counted = true
		c.f.countArrival(c.trace, stepCall, nil)
		took := c.f.Now() - a.startedAt
		c.f.silent(a.endpoint.Name, took)
		c.f.Log.Event("attempt_silent", "request", c.request.ID, "attempt", a.number, "endpoint", a.endpoint.Name, "took", took)
	}
}
