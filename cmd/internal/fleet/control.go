package fleet

import (
	"context"
	"slices"

	"github.com/oklog/ulid/v2"
	"github.com/rotisserie/eris"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/live"
	"github.com/samphirequay/samphirequay/core/rendezvous"
	"github.com/samphirequay/samphirequay/daemon/opapi"
	"github.com/samphirequay/samphirequay/endpoint/wire"
)

// Places is the number of places for daemons, whether or not one runs there.
func (f *Fleet) Places() int { return len(f.members) }

// Place finds the place of a daemon by its name; -1 if there is none.
func (f *Fleet) Place(name id.Daemon) int {
	return slices.IndexFunc(f.members, func(m *member) bool { return m.name == name })
}

// Domain is the failure domain of a place.
func (f *Fleet) Domain(i int) id.Domain { return f.members[i].domain }

// Owner is the place whose daemon schedules a pool, by the rule that all
// daemons follow, once they know which of them run; -1 if none runs.
func (f *Fleet) Owner(pool id.Pool) int {
	var running []id.Daemon
	for i, m := range f.members {
		if f.Daemon(i) != nil {
			running = append(running, m.name)
		}
	}
	if len(running) == 0 {
		return -1
	}
	return f.Place(rendezvous.Owner(string(pool), running))
}

// Hosts is the true host list: the daemons that run.
func (f *Fleet) Hosts() []wire.Host { return f.hosts() }

// SetHosts makes the platform's host list say something else than the truth.
func (f *Fleet) SetHosts(hosts []wire.Host) { f.Platform().Hosts.Set(hosts) }

// Label sets labels on an item, as an operator does; an empty value removes
// one. It returns the revision of the change.
func (f *Fleet) Label(ctx context.Context, kind live.Kind, name string, labels live.Labels) (uint64, error) {
	client, err := f.Operator()
	if err != nil {
		return 0, err
	}
	answer, err := client.Change(ctx, opapi.ChangeRequest{
		ID: ulid.Make().String(), Author: "fleet",
		Ops: []opapi.Op{{Action: "label", Kind: kind, Name: name, Labels: labels}},
	})
	if err != nil {
		return 0, eris.Wrapf(err, "label %s %s", kind, name)
	}
	return answer.Revision, nil
}

// Violations is how many invariants the daemons that run have seen broken.
func (f *Fleet) Violations() uint64 {
	var n uint64
	for i := range f.members {
		if d := f.Daemon(i); d != nil {
			n += d.Metrics().Violations()
		}
	}
	return n
}

// EngineAddresses are where the model engines listen.
func (f *Fleet) EngineAddresses() []string {
	var out []string
	for _, p := range f.platforms {
		for _, e := range p.Addresses().Endpoints[:len(p.Engines)] {
			out = append(out, e.Address)
		}
	}
	return out
}

// Decoded tells how often the engines began to write each attempt.
func (f *Fleet) Decoded() map[string]int {
	runs := map[string]int{}
	for _, p := range f.platforms {
		for _, e := range p.Engines {
			for _, r := range e.Counters().DecodeRuns {
				runs[r.Name] += r.Runs
			}
		}
	}
	return runs
}
