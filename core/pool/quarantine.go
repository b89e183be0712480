package pool

import (
	"time"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/live"
	"github.com/samphirequay/samphirequay/core/poison"
	"github.com/samphirequay/samphirequay/core/sched"
	"github.com/samphirequay/samphirequay/core/verdict"
)

// liftQuarantines lifts the quarantines named by the labels of the pool's services;
// the value "all" lifts every quarantine.
func (m *Manager) liftQuarantines(now time.Duration, doc *live.Document) {
	for i := range doc.Services {
		svc := &doc.Services[i]
		value, ok := svc.Labels[live.LabelLiftQuarantine]
		if !ok || svc.Pool != m.opts.Pool {
			continue
		}
		if value == "all" {
			m.opts.Poison.LiftAll(m.wall(now))
			continue
		}
		if f, err := poison.ParseFingerprint(value); err == nil {
			m.opts.Poison.Lift(m.wall(now), f)
		}
	}
}

// checkFingerprint checks the request's fingerprint against the poison ledger. It
// returns a refusal, or nil after setting w.Suspect where needed.
func (m *Manager) checkFingerprint(now time.Duration, w *sched.Want, f poison.Fingerprint) *sched.Refusal {
	finding := m.opts.Poison.Check(m.wall(now), f)
	switch finding.Standing {
	case poison.Quarantined:
		return quarantineRefusal(w.Request, finding.Until.Sub(m.wall(now)), finding.Crashes)
	case poison.Held:
		return heldRefusal(w.Request, finding.Until.Sub(m.wall(now)))
	case poison.Suspected, poison.Isolated:
		w.Suspect = true
	}
	unconfirmed := m.countUnconfirmed(now, f)
	if unconfirmed+finding.Crashes >= maxUnconfirmedCrashes && unconfirmed > 0 {
		return heldRefusal(w.Request, heldRetryAfter)
	}
	if unconfirmed > 0 {
		w.Suspect = true
	}
	return nil
}

func quarantineRefusal(r id.Request, wait time.Duration, crashes int) *sched.Refusal {
	return &sched.Refusal{
		Request:    r,
		Code:       verdict.CodeQuarantined,
		RetryAfter: wait,
		Reason:     "the request is quarantined: endpoints crashed while they ran it",
	}
}

func heldRefusal(r id.Request, wait time.Duration) *sched.Refusal {
	return &sched.Refusal{
		Request:    r,
		Code:       verdict.CodeUnavailable,
		RetryAfter: wait,
		Reason:     "the request is held back: endpoints that ran it are being checked",
	}
}
