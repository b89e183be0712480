package sched

import (
	"testing"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/live"
)

func TestSettleFilterNeedsReports(t *testing.T) {
	is := is.New(t)
	c := testCycle()
	e := testEndpoint("e", live.RolePrefill)
	keeps(is, settleFilter{}, c, e, true)
	c.settling = true
	keeps(is, settleFilter{}, c, e, false)
	e.reported = true
	keeps(is, settleFilter{}, c, e, true)
	e.report.Running = 1 // work of a former owner
	keeps(is, settleFilter{}, c, e, false)
}

func TestNewOwnerRespectsAdoptedGrantsAndReports(t *testing.T) {
	is := is.New(t)
	o := testOptions(t)
	o.Settle = 300 * ms
	doc := testDocument(2, 1)
	doc.Endpoints[1].Slots = 2
	l := NewLedger(o).(*Ledger)
	l.Configure(0, doc)
	is.Equal(len(l.Want(ms, testWant(1, teamName(0)))), 0) // no report yet
	former := Grant{Request: "r0000002", Prefill: doc.Endpoints[0].Name, Decode: doc.Endpoints[1].Name, Reservation: 9}
	l.Adopt(2*ms, Adopt{Want: testWant(2, teamName(0)), Grant: former, Phase: PhaseDecoding})
	report := func(e id.Endpoint, running int) []Action {
		return l.Load(3*ms, Load{Endpoint: e, Reachable: true, Model: "m", Running: running})
	}
	is.Equal(len(report(former.Prefill, 0)), 0)
	is.Equal(len(report(former.Decode, 2)), 0) // one of the two requests is unknown
	is.Equal(l.Snapshot().Foreign, 1)
	g := onlyGrant(t, report(former.Decode, 1)) // one slot is free
	is.Equal(g.Request, id.Request("r0000001"))
	l.Progress(5*ms, progressOf(&former, PhaseDone))
	is.Equal(l.Snapshot().Running, 1)
}
