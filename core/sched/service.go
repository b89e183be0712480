package sched

import (
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/apimachinery/pkg/labels"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/live"
)

// service is the ledger's state of a service.
type service struct {
	name        id.Service
	plain       bool
	patience    time.Duration
	timeout     time.Duration
	wasteWeight float64
	selector    labels.Selector
	estimate    *serviceEstimate
}

// newService returns the state of a configured service with the estimates of old,
// if old is not nil.
func newService(s *live.Service, old *service, o *Options) (*service, error) {
	selector, err := labels.Parse(s.TeamSelector)
	if err != nil {
		return nil, eris.Wrapf(err, "service %s: team selector %q", s.Name, s.TeamSelector)
	}
	made := &service{
		name:        s.Name,
		plain:       s.Type == live.ServicePlain,
		patience:    patienceOf(s),
		timeout:     millisecondsOr(s.TimeoutMS, live.DefaultTimeoutMS),
		wasteWeight: min(max(s.WasteWeight, 0), 1),
		selector:    selector,
	}
	made.estimate = newServiceEstimate(o)
	if old != nil {
		made.estimate = old.estimate
	}
	if old == nil || old.wasteWeight != made.wasteWeight {
		made.estimate.risk = newRisk(o, made.wasteWeight)
	}
	return made, nil
}

// patienceOf returns how long a request may wait for its first output. For a
// plain call without a configured patience or target this is the timeout of the
// call.
func patienceOf(s *live.Service) time.Duration {
	if s.PatienceMS > 0 {
		return s.Patience()
	}
	if s.Type == live.ServicePlain && s.FirstTokenTargetMS == 0 {
		return millisecondsOr(s.TimeoutMS, live.DefaultTimeoutMS)
	}
	return millisecondsOr(s.FirstTokenTargetMS, live.DefaultFirstTokenMS)
}

// millisecondsOr converts milliseconds to a duration; a default replaces values
// that are not positive.
func millisecondsOr(ms, fallback int) time.Duration {
	if ms <= 0 {
		ms = fallback
	}
	return time.Duration(ms) * time.Millisecond
}

// role returns the role of the endpoints that produce the service's answers.
func (s *service) role() live.Role {
	if s.plain {
		return live.RolePlain
	}
	return live.RoleDecode
}
