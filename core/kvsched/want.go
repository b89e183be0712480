package kvsched

import (
	"slices"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/live"
	"github.com/samphirequay/samphirequay/core/sched"
	"github.com/samphirequay/samphirequay/core/verdict"
)

// Want implements sched.Scheduler.
func (l *Ledger) Want(now time.Duration, w sched.Want) []sched.Action {
	l.begin(now)
	return l.finish(l.answerOrQueue(w))
}

// answerOrQueue answers a Want at once or queues it.
func (l *Ledger) answerOrQueue(w sched.Want) []sched.Action {
	if r := l.granted[w.Request]; r != nil {
		grant := r.grant
		return []sched.Action{{To: w.From, Grant: &grant}}
	}
	if l.waiting[w.Request] != nil {
		l.repeated++
		return nil
	}
	if refusal, known := l.ended.Get(w.Request); known {
		if refusal == nil {
			refusal = &sched.Refusal{Request: w.Request, Code: verdict.CodeSuperseded, Reason: "the request has ended"}
		}
		return []sched.Action{{To: w.From, Refusal: refusal}}
	}
	service := l.services[w.Service]
	if service == nil {
		return l.refuse(w, verdict.CodeUnknownService, 0, "the pool has no such service")
	}
	fresh := l.newWaiting(w, service)
	if w.Prefilled {
		return l.grantOrQueuePrefilled(fresh)
	}
	if refusal := l.admit(fresh); refusal != nil {
		return refusal
	}
	if refusal := l.refuseAtArrival(fresh); refusal != nil {
		return refusal
	}
	l.enqueue(fresh)
	return nil
}

// enqueue adds a request to the queue.
func (l *Ledger) enqueue(w *waiting) {
	l.queue = append(l.queue, w)
	l.waiting[w.want.Request] = w
	l.scanDue = true
}

func (l *Ledger) newWaiting(w sched.Want, s *live.Service) *waiting {
	arrived := l.now - max(0, w.Age)
	l.outputMean.add(float64(max(1, w.OutputTokens)))
	fresh := &waiting{
		want:     w,
		tokens:   l.finalTokens(&w),
		output:   l.expectedOutput(&w),
		arrived:  arrived,
		place:    arrived,
		target:   arrived + orDefault(w.Target, s.FirstTokenTarget()),
		patience: arrived + orDefault(w.Patience, s.Patience()),
		lifetime: arrived + orDefault(w.Lifetime, s.Timeout()),
	}
	fresh.urgency = urgencyOf(&w, fresh.target-arrived)
	if l.options.UrgentReserve {
		fresh.rankTarget = fresh.urgency.target
	}
	l.claim(fresh)
	if !fresh.booked {
		l.arrivals.add(l.now, fresh.urgency)
	}
	l.arrivals.addSize(fresh.footprint())
	return fresh
}

func orDefault(d, otherwise time.Duration) time.Duration {
	if d > 0 {
		return d
	}
	return otherwise
}

// expectedOutput returns the expected length of the answer, in tokens.
func (l *Ledger) expectedOutput(w *sched.Want) float64 {
	guess := float64(max(1, w.OutputTokens))
	if l.enabled(GuessShrink) {
		guess = l.outputMean.shrink(guess)
	}
	return l.options.OutputShare * guess
}

// finalTokens returns the memory that a request holds at its end, in tokens.
func (l *Ledger) finalTokens(w *sched.Want) int {
	return roundUpToBlocks(max(1, w.PromptTokens)) + roundUpToBlocks(int(l.expectedOutput(w)))
}

// admit refuses a request that cannot be served; nil means that the request may
// wait.
func (l *Ledger) admit(w *waiting) []sched.Action {
	largest := 0
	for _, e := range l.order {
		if e.decodesHere() {
			largest = max(largest, e.memory)
		}
	}
	switch {
	case !l.serves(w.want.Software):
		return l.refuse(w.want, verdict.CodeUnavailable, versionRetryAfter, "no engine runs the software version that began the stream")
	case len(l.queue) >= l.options.MaxQueue:
		return l.refuse(w.want, verdict.CodeOverloaded, l.releaseRate.retryAfter(l.now, l.backlog()), "the queue is full")
	case largest > 0 && roundUpToBlocks(w.want.PromptTokens) > largest:
		return l.refuse(w.want, verdict.CodeTooLarge, 0, "the request is larger than an engine's memory")
	default:
		return nil
	}
}

// versionRetryAfter is the retry delay while no engine runs the version that a stream needs:
// a crashed engine takes seconds to return.
const versionRetryAfter = time.Second

// serves reports whether an engine can go on with a stream that a software version began.
func (l *Ledger) serves(began id.Software) bool {
	return began == "" || slices.ContainsFunc(l.order, func(e *endpoint) bool {
		return e.decodesHere() && e.software == began && !e.leaving && !e.down
	})
}

// grantOrQueuePrefilled grants a decode engine to an already prefilled request.
// If none has enough memory, the request waits at the head of the queue until
// its KV cache expires: when engines are lost in a burst, no other engine may
// have free memory at that moment, and the prefill would be wasted.
func (l *Ledger) grantOrQueuePrefilled(w *waiting) []sched.Action {
	decode, cause := l.chooseDecode(w)
	if decode != nil && l.now >= l.settled {
		return []sched.Action{*l.grant(w, nil, decode)}
	}
	w.blocked = cause
	if cause != causeNoMemory || !l.enabled(PrefilledWait) || l.now >= w.patience {
		return l.refuse(w.want, verdict.CodeOverloaded, l.releaseRate.retryAfter(l.now, l.backlog()), cause)
	}
	l.enqueue(w)
	return nil
}

// backlog returns the memory that the queue needs beyond the free memory, in
// tokens.
func (l *Ledger) backlog() int {
	wanted := 0
	for _, w := range l.queue {
		wanted += w.tokens
	}
	for _, e := range l.order {
		if e.decodesHere() && e.available(l.now) {
			wanted -= max(0, e.memory-l.held(e))
		}
	}
	return max(0, wanted)
}

// refuse answers a Want with a refusal and stores it for repeated Wants.
func (l *Ledger) refuse(w sched.Want, code verdict.Code, after time.Duration, reason string) []sched.Action {
	refusal := &sched.Refusal{Request: w.Request, Code: code, RetryAfter: after, Reason: reason}
	l.ended.Add(w.Request, refusal)
	return []sched.Action{{To: w.From, Refusal: refusal}}
}

// causeOf returns the cause for which a waiting request was not granted. One that no scan has
// tried waits for those before it.
func (l *Ledger) causeOf(w *waiting) string {
	switch {
	case w.blocked != "":
		return w.blocked
	case l.now < l.settled:
		return causeSettling
	case l.scan.stoppedBy != "":
		return "those before it wait: " + l.scan.stoppedBy
	default:
		return causeUntried
	}
}

// refuseExpired refuses the requests whose patience has expired.
func (l *Ledger) refuseExpired(actions []sched.Action) []sched.Action {
	kept := l.queue[:0]
	for _, w := range l.queue {
		if l.now < w.patience {
			kept = append(kept, w)
			continue
		}
		delete(l.waiting, w.want.Request)
		after := jitter(l.releaseRate.retryAfter(l.now, l.backlog()), w.want.Request)
		actions = append(actions, l.refuse(w.want, verdict.CodeOverloaded, after, "no room in time: "+l.causeOf(w))...)
	}
	clear(l.queue[len(kept):])
	l.queue = kept
	return actions
}
