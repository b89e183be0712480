package experiment

import (
	"context"
	"fmt"
	"math"

	"github.com/samphirequay/samphirequay/cmd/internal/fleet"
	"github.com/samphirequay/samphirequay/endpoint/wire"
	"github.com/samphirequay/samphirequay/standin"
)

// domainFactor extends the phases: the cut of a failure domain and the time after
// its return each last twice the measured duration.
const domainFactor = 2

// DomainFigures are the results of cutting off one failure domain.
type DomainFigures struct {
	Domain string `json:"domain"`
	Anomalies
	// RestCapacity is the capacity of the remaining failure domains, in
	// completions per second.
	RestCapacity  float64 `json:"rest_capacity_per_second"`
	GoodputBefore float64 `json:"goodput_before_per_second"`
	GoodputCut    float64 `json:"goodput_cut_per_second"`
	GoodputAfter  float64 `json:"goodput_after_per_second"`
	// CutRecoveryMS is the time from the cut until the goodput reached 95% of
	// what the remaining failure domains can serve. ReturnRecoveryMS is the time
	// from the return until it reached 95% of its value before the cut. Both are
	// -1 if it did not.
	CutRecoveryMS    int64          `json:"cut_back_to_95_ms"`
	ReturnRecoveryMS int64          `json:"return_back_to_95_ms"`
	Ended            map[string]int `json:"ended"`
	series           Series
}

// runDomain cuts off each failure domain of the site, each in a fleet of its own.
func runDomain(ctx context.Context, env Env) (*Report, error) {
	domains := faultDeployment().Site.Domains
	figures, err := each(ctx, env, domains, func(ctx context.Context, domain string) (DomainFigures, error) {
		env.logf("domain domain=%s", domain)
		return domainOnce(ctx, env, domain)
	})
	if err != nil {
		return nil, err
	}
	report := &Report{Experiment: "domain", Seed: env.Seed, Data: figures}
	fig := Figure{Name: "domain-goodput", Title: "Goodput around the cut of a failure domain",
		XLabel: "time, seconds", YLabel: "goodput, completions a second"}
	for _, f := range figures {
		report.addDomain(f)
		fig.Series = append(fig.Series, f.series)
	}
	report.Figures = []Figure{fig}
	return report, nil
}

// domainOnce cuts off one failure domain and then restores it.
func domainOnce(ctx context.Context, env Env, domain string) (DomainFigures, error) {
	d := faultDeployment()
	f, attempts, err := faultFleet(ctx, env, d, nil)
	if err != nil {
		return DomainFigures{}, err
	}
	defer f.Close()
	at := env.phases()
	at.during.to = at.during.from + domainFactor*env.Duration
	at.after = window{at.during.to, at.during.to + domainFactor*env.Duration}
	_, teams := d.Teams(faultTeams)
	x := newDriver(env, d, f, teams, faultLoadShare, at.after.to)
	injected := make(chan error, 1)
	go func() {
		injected <- injectDuring(ctx, &faultTarget{fleet: f, site: d.Site}, cutDomain(domain), at.during)
	}()
	x.run(ctx)
	if err := <-injected; err != nil {
		return DomainFigures{}, fmt.Errorf("failure domain %s: %w", domain, err)
	}
	if err := ctx.Err(); err != nil {
		return DomainFigures{}, err
	}
	rest := BoundOf(withoutDomain(d.Site, domain), d.Profile, d.FirstToken).Capacity
	shareBefore := x.share(at.before)
	arriving := x.spec.Rate * (1 - d.Profile.PlainShare)
	carried := math.Min(1, rest/arriving)
	return DomainFigures{
		Domain: domain, Anomalies: x.anomalies(ctx, attempts), RestCapacity: rest,
		GoodputBefore: x.perSecond(at.before), GoodputCut: x.perSecond(at.during), GoodputAfter: x.perSecond(at.after),
		CutRecoveryMS:    x.recoveryTime(at.during.from, at.during.to, recoveredShare*carried*shareBefore),
		ReturnRecoveryMS: x.recoveryTime(at.after.from, at.after.to, recoveredShare*shareBefore),
		Ended:            x.codes(), series: x.series(domain),
	}, nil
}

// withoutDomain returns a site without the engines of a failure domain.
func withoutDomain(site standin.PlatformConfig, domain string) standin.PlatformConfig {
	engines := site.Engines
	site.Engines = nil
	for _, e := range engines {
		if e.Domain != domain {
			site.Engines = append(site.Engines, e)
		}
	}
	return site
}

// cutDomain kills all daemons of a failure domain at once. Its endpoints lose all
// state and do not reply until the fault ends.
func cutDomain(domain string) injection {
	var members []int
	return injection{
		begin: func(_ context.Context, s *faultTarget) error {
			if err := s.injectDomain(domain, wire.Fault{Hang: value(true), Crash: true}); err != nil {
				return err
			}
			members = membersIn(s.fleet, domain)
			for _, i := range members {
				s.fleet.Kill(i)
			}
			return nil
		},
		end: func(_ context.Context, s *faultTarget) error {
			if err := s.injectDomain(domain, wire.Fault{Hang: value(false)}); err != nil {
				return err
			}
			for _, i := range members {
				if err := s.fleet.Replace(i); err != nil {
					return err
				}
			}
			return nil
		},
	}
}

// membersIn returns the indexes of the members in a failure domain.
func membersIn(f *fleet.Fleet, domain string) []int {
	var out []int
	for i := range f.Members() {
		if string(f.Domain(i)) == domain {
			out = append(out, i)
		}
	}
	return out
}

// injectDomain injects a fault into every endpoint of a failure domain.
func (s *faultTarget) injectDomain(domain string, fault wire.Fault) error {
	var targets []string
	for _, e := range s.site.Engines {
		if e.Domain == domain {
			targets = append(targets, e.Name)
		}
	}
	for _, p := range s.site.Plains {
		if p.Domain == domain {
			targets = append(targets, p.Name)
		}
	}
	for _, target := range targets {
		fault.Target = target
		if err := s.fleet.Inject(fault); err != nil {
			return err
		}
	}
	return nil
}

// addDomain adds the line and the faults of a failure domain.
func (r *Report) addDomain(f DomainFigures) {
	r.addLine("domain=%s lost=%d doubled=%d ran_twice=%d orphans=%d not_run_but_ran=%d wrong=%d violations=%d "+
		"rest_capacity=%.1f/s goodput_before=%.1f/s goodput_cut=%.1f/s goodput_after=%.1f/s "+
		"cut_back_to_95_ms=%d return_back_to_95_ms=%d",
		f.Domain, f.Lost, f.Doubled, f.RanTwice, f.Orphans, f.NotRunButRan, f.Wrong, f.Violations,
		f.RestCapacity, f.GoodputBefore, f.GoodputCut, f.GoodputAfter, f.CutRecoveryMS, f.ReturnRecoveryMS)
	r.addAnomalies(f.Domain, f.Anomalies)
}
