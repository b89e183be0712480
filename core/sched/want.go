package sched

import (
	"time"

	"k8s.io/apimachinery/pkg/labels"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/verdict"
)

// Want implements Scheduler.
func (l *Ledger) Want(now time.Duration, w Want) []Action {
	l.begin(now)
	return l.finish(l.enqueue(w))
}

// enqueue queues a Want or answers it at once.
func (l *Ledger) enqueue(w Want) []Action {
	if actions, repeated := l.answerRepeated(&w); repeated {
		return actions
	}
	w.PromptTokens = max(1, w.PromptTokens)
	w.OutputTokens = max(1, w.OutputTokens)
	w.Age = max(0, w.Age)
	fresh, refusal := l.admit(w)
	if refusal != nil {
		return l.refuse(w.From, refusal)
	}
	l.queue.push(fresh)
	l.waiting[w.Request] = fresh
	return nil
}

// answerRepeated answers a Want that was received before. It returns false if the
// Want is new.
func (l *Ledger) answerRepeated(w *Want) ([]Action, bool) {
	if r := l.granted[w.Request]; r != nil {
		if r.want.From != w.From {
			return []Action{{To: w.From, Refusal: superseded(w, "the caller came back through another daemon")}}, true
		}
		grant := r.grant
		return []Action{{To: w.From, Grant: &grant}}, true
	}
	if l.waiting[w.Request] != nil {
		return nil, true
	}
	known, ok := l.ended.Get(w.Request)
	if !ok {
		return nil, false
	}
	if known.expired != nil {
		l.ended.Remove(w.Request)
		return nil, false
	}
	refusal := known.refusal
	if refusal == nil {
		refusal = superseded(w, "the request has ended")
	}
	return []Action{{To: w.From, Refusal: refusal}}, true
}

// superseded returns the refusal of a Want for a request that has ended or is
// served through another daemon.
func superseded(w *Want, why string) *Refusal {
	return &Refusal{Request: w.Request, Code: verdict.CodeSuperseded, Reason: why}
}

// refuse records a refusal and returns the action that sends it.
func (l *Ledger) refuse(to id.Process, refusal *Refusal) []Action {
	if l.granted[refusal.Request] != nil {
		l.violate("refusal_after_grant", string(refusal.Request))
		return nil
	}
	l.ended.Add(refusal.Request, outcome{refusal: refusal})
	return []Action{{To: to, Refusal: refusal}}
}

// authorize returns the service and the team of a Want, or a refusal if the team
// may not use the service.
func (l *Ledger) authorize(w *Want) (*service, *team, *Refusal) {
	s := l.services[w.Service]
	if s == nil {
		return nil, nil, &Refusal{
			Request: w.Request,
			Code:    verdict.CodeUnknownService,
			Reason:  "no service " + string(w.Service) + " in pool " + string(l.options.Pool),
		}
	}
	t := l.teams[w.Team]
	if t == nil || !t.known || !s.selector.Matches(labels.Set(t.labels)) {
		return nil, nil, &Refusal{
			Request: w.Request,
			Code:    verdict.CodeForbidden,
			Reason:  "the service's team selector doesn't match the team",
		}
	}
	return s, t, nil
}
