package pairing

import (
	"slices"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/rendezvous"
)

// Owner returns the daemon that schedules pool.
func (a *Requester) Owner(pool id.Pool) id.Daemon {
	if a.opts.Local || len(a.members) == 0 {
		return a.self.Daemon
	}
	return rendezvous.Owner(string(pool), a.members)
}

// NextOwner returns the daemon that would schedule pool without its owner; empty if there is
// none.
func (a *Requester) NextOwner(pool id.Pool) id.Daemon {
	if a.opts.Local || len(a.members) < 2 {
		return ""
	}
	return rendezvous.Ranked(string(pool), a.members)[1]
}

// SetMembers sets the live daemons. Requests of pools whose owner changed are sent
// to the new owner: waiting ones as Wants, granted ones as Adopts.
func (a *Requester) SetMembers(now time.Duration, members []id.Daemon) Output {
	a.now = max(a.now, now)
	a.members = slices.Clone(members)
	a.forgetOwners()
	var out Output
	calls := 0
	for _, r := range a.sortedRequests() {
		e := a.entries[r]
		if a.Owner(e.want.Pool) == e.owner {
			continue
		}
		if e.isCall() && e.grant == nil {
			a.moveCall(now, e, calls)
			calls++
			continue
		}
		out.append(a.sendToNewOwner(now, e))
	}
	if calls > 0 {
		out.append(a.Tick(now))
	}
	return out
}

func (a *Requester) sendToNewOwner(now time.Duration, e *entry) Output {
	if e.grant == nil {
		return a.sendWant(now, e, a.opts.Resend)
	}
	e.owner = a.Owner(e.want.Pool)
	return Output{Messages: []Message{a.adoptMessage(e)}}
}
