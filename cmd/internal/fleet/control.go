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

// Members returns the number of members, with or without a running daemon.
func (f *Fleet) Members() int { return len(f.members) }

// MemberIndex returns the index of the member with a name, or -1 if there is none.
func (f *Fleet) MemberIndex(name id.Daemon) int {
	return slices.IndexFunc(f.members, func(m *member) bool { return m.name == name })
}

// Domain returns the failure domain of member i.
func (f *Fleet) Domain(i int) id.Domain { return f.members[i].domain }

// OwnerIndex returns the index of the member whose daemon schedules a pool, or -1 if
// no daemon runs. It applies the rule that all daemons apply to the set of running
// daemons, so it holds once they agree on that set.
func (f *Fleet) OwnerIndex(pool id.Pool) int {
	var running []id.Daemon
	for i, m := range f.members {
		if f.Daemon(i) != nil {
			running = append(running, m.name)
		}
	}
	if len(running) == 0 {
		return -1
	}
	return f.MemberIndex(rendezvous.Owner(string(pool), running))
}

// Hosts returns the true host list, that of the running daemons.
func (f *Fleet) Hosts() []wire.Host { return f.hosts() }

// SetHosts replaces the platform's host list, for example by a wrong one.
func (f *Fleet) SetHosts(hosts []wire.Host) { f.Platform().Hosts.Set(hosts) }

// Label sets labels on an item, as an operator does; an empty value removes a label.
// It returns the revision of the change.
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

// Violations returns the number of invariant violations that the running daemons
// have detected.
func (f *Fleet) Violations() uint64 {
	var n uint64
	for i := range f.members {
		if d := f.Daemon(i); d != nil {
			n += d.Metrics().Violations()
		}
	}
	return n
}

// EngineAddresses returns the addresses of the model engines.
func (f *Fleet) EngineAddresses() []string {
	var out []string
	for _, p := range f.platforms {
		for _, e := range p.Addresses().Endpoints[:len(p.Engines)] {
			out = append(out, e.Address)
		}
	}
	return out
}

// DecodeRuns returns how often the engines started to decode each attempt.
func (f *Fleet) DecodeRuns() map[string]int {
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
