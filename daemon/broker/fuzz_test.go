package broker

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/live"
	"github.com/samphirequay/samphirequay/core/pairing"
	"github.com/samphirequay/samphirequay/core/poison"
	"github.com/samphirequay/samphirequay/core/pool"
	"github.com/samphirequay/samphirequay/core/sched"
	"github.com/samphirequay/samphirequay/daemon/metrics"
)

var fuzzSelf = id.Process{Daemon: "d1", Incarnation: 1}

// fuzzSender counts the envelopes that are sent.
type fuzzSender struct{ sent int }

// SendBroker implements Sender.
func (s *fuzzSender) SendBroker(id.Daemon, *Envelope) error {
	s.sent++
	return nil
}

// fuzzBroker returns a Broker that owns a pool with one engine of each role. A violated
// invariant fails the test.
func fuzzBroker(t *testing.T) *Broker {
	ledger := poison.New(poison.Config{})
	b := New(Config{
		Self:   fuzzSelf,
		Sender: &fuzzSender{},
		Poison: ledger,
		Spread: func(poison.State) {},
		Relay:  func(poison.State) {},
		NewManager: func(p id.Pool) *pool.Manager {
			return pool.New(pool.Options{Pool: p, Poison: ledger, NewScheduler: func(view sched.HealthView) sched.Scheduler {
				return sched.NewLedger(sched.Options{
					Pool: p, Self: fuzzSelf, Health: view, Settle: 1,
					Violation: func(name, detail string) { t.Errorf("%s: %s", name, detail) },
				})
			}})
		},
		Metrics: metrics.New("fuzz"),
		Now:     func() time.Duration { return time.Second },
	})
	b.SetDocument(live.Normalize(&live.Document{
		Teams:    []live.Team{{Name: "t"}},
		Pools:    []live.Pool{{Name: "p", EndpointSelector: "pool=p"}},
		Services: []live.Service{{Name: "s", Type: live.ServiceModel, Pool: "p", PatienceMS: 1000}},
		Endpoints: []live.Endpoint{
			{Name: "prefill", Labels: live.Labels{"pool": "p", live.LabelRole: string(live.RolePrefill)}},
			{Name: "decode", Labels: live.Labels{"pool": "p", live.LabelRole: string(live.RoleDecode)}},
		},
	}))
	return b
}

// FuzzEnvelope checks that the broker keeps running and its pools' invariants hold for
// any envelopes from a peer in any order.
func FuzzEnvelope(f *testing.F) {
	want := sched.Want{
		Request: "r", Team: "t", Service: "s", Pool: "p", From: fuzzSelf, PromptTokens: 10, OutputTokens: 5,
		Fingerprint: poison.NewFingerprint("t", "s", []byte("x")).String(),
	}
	grant := sched.Grant{Request: "r", Prefill: "prefill", Decode: "decode", Reservation: 1, Owner: fuzzSelf}
	strange := want
	strange.PromptTokens, strange.OutputTokens, strange.Priority, strange.Age = -1<<60, 1<<62, -5, -time.Hour
	for _, e := range []Envelope{
		{Want: &want},
		{Want: &strange},
		{Withdraw: &pairing.Withdrawal{Pool: "p", Request: "r"}},
		{Progress: &pairing.PoolProgress{Pool: "p", Progress: sched.Progress{Request: "r", Reservation: 1, Phase: sched.PhaseFailed, Endpoint: "prefill", Crashed: true}}},
		{Adopt: &sched.Adopt{Want: want, Grant: grant, Phase: sched.PhaseTransferring}},
		{Grant: &PoolGrant{Pool: "p", Grant: grant}},
		{Refusal: &sched.Refusal{Request: "r", Code: "x"}},
		{Drain: &Drain{Pool: "q", Endpoint: "decode", On: true}},
	} {
		data, err := cbor.Marshal(e)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data, data)
	}
	f.Fuzz(func(t *testing.T, first, second []byte) {
		b := fuzzBroker(t)
		defer b.Close()
		for _, data := range [][]byte{first, second, first} {
			var e Envelope
			if cbor.Unmarshal(data, &e) == nil {
				b.Receive("d2", &e)
			}
		}
		for _, s := range b.Pools() {
			if s.Held < 0 || s.Queued < 0 || s.Running < 0 || s.Running > 3 {
				t.Fatalf("%+v", s)
			}
		}
	})
}
