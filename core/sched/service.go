package sched

import (
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/apimachinery/pkg/labels"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/live"
)

// service is the ledger's view of a service.
type service struct {
	name        id.Service
	plain       bool
	patience    time.Duration
	timeout     time.Duration
	wasteWeight float64
	selector    labels.Selector
	estimate    *serviceEstimate
}

// newService reads a service of the configuration; old, if there was one,
// hands on what was learned.
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

// patienceOf is how long a request may wait for its first output. A plain
// call without a stated patience may wait as long as the whole call.
func patienceOf(s *live.Service) time.Duration {
	if s.PatienceMS > 0 {
		return s.Patience()
	}
	if s.Type == live.ServicePlain && s.FirstTokenTargetMS == 0 {
		return millisecondsOr(s.TimeoutMS, live.DefaultTimeoutMS)
	}
	return millisecondsOr(s.FirstTokenTargetMS, live.DefaultFirstTokenMS)
}

// orMilliseconds converts milliseconds, with a default for none.
func millisecondsOr(ms, otherwise int) time.Duration {
	if ms <= 0 {
		ms = otherwise
	}
	return time.Duration(ms) * time.Millisecond
}

// role is that of the endpoints which answer for the service.
func (s *service) role() live.Role {
	if s.plain {
		return live.RolePlain
	}
	return live.RoleDecode
}
