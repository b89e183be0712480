package kvsched

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/live"
	"github.com/samphirequay/samphirequay/core/sched"
	"github.com/samphirequay/samphirequay/core/verdict"
)

var requester = id.Process{Daemon: "d1", Incarnation: 1}

const start = time.Minute

// document returns the configuration of a pool of prefill and decode engines,
// spread over two failure domains.
func document(prefills, decodes, memory int) *live.Document {
	doc := &live.Document{
		Services: []live.Service{{Name: "s", Pool: "p", TimeoutMS: 14000, FirstTokenTargetMS: 900, PatienceMS: 3000}},
		Pools:    []live.Pool{{Name: "p", EndpointSelector: "in=p"}},
	}
	add := func(role live.Role, n int) {
		for i := range n {
			doc.Endpoints = append(doc.Endpoints, live.Endpoint{
				Name:     id.Endpoint(fmt.Sprintf("%s-%d", role, i)),
				Labels:   live.Labels{"in": "p", live.LabelRole: string(role)},
				Domain:   id.Domain(fmt.Sprintf("domain-%d", i%2)),
				Slots:    16,
				KVTokens: memory,
			})
		}
	}
	add(live.RolePrefill, prefills)
	add(live.RoleDecode, decodes)
	return doc
}

// newLedger returns a ledger whose settle time has passed.
func newLedger(t *testing.T, doc *live.Document) *Ledger {
	t.Helper()
	l := New(Options{Pool: "p", Self: requester, MemoryShare: 1, Violation: func(name, detail string) {
		t.Errorf("%s: %s", name, detail)
	}})
	l.Configure(start-time.Second, doc)
	l.Tick(start)
	return l
}

func want(name string, prompt, output int) sched.Want {
	return sched.Want{
		Request: id.Request(name), Service: "s", Pool: "p", From: requester, PromptTokens: prompt, OutputTokens: output,
		Priority: 5, Target: 900 * time.Millisecond, Patience: 3 * time.Second, Lifetime: 14 * time.Second,
	}
}

// grants returns the grants among actions.
func grants(actions []sched.Action) []*sched.Grant {
	var out []*sched.Grant
	for _, a := range actions {
		if a.Grant != nil {
			out = append(out, a.Grant)
		}
	}
	return out
}

func refusals(actions []sched.Action) []*sched.Refusal {
	var out []*sched.Refusal
	for _, a := range actions {
		if a.Refusal != nil {
			out = append(out, a.Refusal)
		}
	}
	return out
}

func done(g *sched.Grant, phase sched.Phase) sched.Progress {
	return sched.Progress{Request: g.Request, Reservation: g.Reservation, Phase: phase, Endpoint: g.Decode}
}

func TestPrefillRequiresMemoryForDecode(t *testing.T) {
	is := is.New(t)
	l := newLedger(t, document(4, 1, 10000))
	first := grants(l.Want(start, want("a", 6000, 1000)))
	is.Equal(len(first), 1)
	is.Equal(first[0].Decode, id.Endpoint("decode-0"))
	is.Equal(len(l.Want(start, want("b", 6000, 1000))), 0) // no memory, though three prefill engines are idle
	next := grants(l.Progress(start+time.Second, done(first[0], sched.PhaseDone)))
	is.Equal(len(next), 1)
	is.Equal(next[0].Request, id.Request("b"))
}

func TestMemoryIsCountedAsItIsUsed(t *testing.T) {
	is := is.New(t)
	l := newLedger(t, document(4, 1, 10000))
	// Five requests of 1000 prompt and 1500 output tokens would not fit if each
	// held 2500 tokens from its start.
	now := start
	granted := 0
	for i := range 5 {
		for _, g := range grants(l.Want(now, want(fmt.Sprint(i), 1000, 1500))) {
			granted++
			l.Progress(now, done(g, sched.PhaseDecoding))
		}
		now += time.Second
	}
	is.Equal(granted, 5)
}

func TestSmallRequestsBypassLargeOneForLimitedTime(t *testing.T) {
	is := is.New(t)
	l := newLedger(t, document(4, 1, 10000))
	l.Want(start, want("running", 5000, 10))
	is.Equal(len(l.Want(start, want("large", 8000, 10))), 0)
	is.Equal(len(grants(l.Want(start+50*time.Millisecond, want("small", 1000, 10)))), 1)
	later := start + DefaultBypassAfter + time.Millisecond
	is.Equal(len(grants(l.Want(later, want("small-2", 1000, 10)))), 0) // the large request goes first now
}

// TestEngineIsSetAsideForLargeRequest: after the bypass time of a large
// request, smaller ones are granted on the other engines but not on the engine
// that will have enough memory for the large one first.
func TestEngineIsSetAsideForLargeRequest(t *testing.T) {
	is := is.New(t)
	l := newLedger(t, document(8, 3, 10000))
	var running []*sched.Grant
	for i, prompt := range []int{5000, 6000, 7000} {
		running = append(running, grants(l.Want(start, want(fmt.Sprintf("running-%d", i), prompt, 10)))...)
	}
	is.Equal(len(running), 3)
	is.Equal(len(grants(l.Want(start, want("large", 8000, 10)))), 0)
	l.Tick(start + DefaultBypassAfter)
	later := start + DefaultBypassAfter + time.Millisecond
	first := grants(l.Want(later, want("small-1", 2500, 10)))
	second := grants(l.Want(later, want("small-2", 2500, 10)))
	is.Equal(len(first), 1)
	is.Equal(len(second), 1)
	is.Equal(len(grants(l.Want(later, want("small-3", 2500, 10)))), 0) // only the engine set aside has enough memory
	setAside := running[0].Decode
	is.True(first[0].Decode != setAside)
	is.True(second[0].Decode != setAside)
	got := grants(l.Progress(later, done(running[0], sched.PhaseDone)))
	is.Equal(len(got), 1)
	is.Equal(got[0].Request, id.Request("large"))
	is.Equal(got[0].Decode, setAside)
}

func TestLateRequestsWaitForSpareMemory(t *testing.T) {
	is := is.New(t)
	l := newLedger(t, document(4, 1, 10000))
	l.Want(start, want("running", 8700, 10))
	late := want("late", 1000, 10)
	late.Age = 850 * time.Millisecond
	is.Equal(len(l.Want(start, late)), 0)
	is.Equal(len(grants(l.Want(start, want("in time", 1000, 10)))), 1)
}

func TestPatienceExpiryRefusesWithRetryAfter(t *testing.T) {
	is := is.New(t)
	l := newLedger(t, document(1, 1, 10000))
	running := grants(l.Want(start, want("running", 9000, 10)))[0]
	l.Progress(start, done(running, sched.PhaseDecoding))
	l.Want(start, want("waits", 9000, 10))
	is.Equal(len(l.Tick(start+2999*time.Millisecond)), 0)
	refused := refusals(l.Tick(start + 3*time.Second))
	is.Equal(len(refused), 1)
	is.Equal(refused[0].Code, verdict.CodeOverloaded)
	is.True(refused[0].RetryAfter > 0)
	// A Want repeated because its refusal was lost is refused again.
	is.Equal(len(refusals(l.Want(start+3100*time.Millisecond, want("waits", 9000, 10)))), 1)
}

func TestRequestLargerThanAnyEngineIsRefused(t *testing.T) {
	is := is.New(t)
	l := newLedger(t, document(1, 2, 10000))
	refused := refusals(l.Want(start, want("huge", 10100, 10)))
	is.Equal(len(refused), 1)
	is.Equal(refused[0].Code, verdict.CodeTooLarge)
}

func TestPrefilledRequestIsGrantedOrRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	l := newLedger(t, document(1, 2, 10000))
	w := want("a", 3000, 10)
	w.Prefilled = true
	w.Avoid = []id.Endpoint{"decode-0"}
	g := grants(l.Want(start, w))
	is.Equal(len(g), 1)
	is.Equal(g[0].Prefill, id.Endpoint(""))
	is.Equal(g[0].Decode, id.Endpoint("decode-1"))
	w.Request = "b"
	w.Avoid = []id.Endpoint{"decode-0", "decode-1"}
	is.Equal(len(refusals(l.Want(start, w))), 1)
}

func TestUnavailableEnginesGetNoWork(t *testing.T) {
	is := is.New(t)
	doc := document(1, 3, 10000)
	doc.Endpoints[1].Labels[live.LabelLeaving] = "true"
	l := newLedger(t, doc)
	l.Load(start, sched.Load{Endpoint: "decode-1", Reachable: false})
	g := grants(l.Want(start, want("a", 1000, 10)))
	is.Equal(g[0].Decode, id.Endpoint("decode-2"))
	p := done(g[0], sched.PhaseFailed)
	p.Full = true
	l.Progress(start, p)
	is.Equal(len(l.Want(start, want("b", 1000, 10))), 0)
	is.Equal(len(grants(l.Tick(start+DefaultFullHold))), 1) // the engine may have free memory again
}

func TestNewOwnerSettlesAndAdoptsGrants(t *testing.T) {
	is := is.New(t)
	old := newLedger(t, document(2, 1, 10000))
	g := grants(old.Want(start, want("a", 6000, 1000)))[0]

	l := New(Options{Pool: "p", Self: id.Process{Daemon: "d2", Incarnation: 1}, MemoryShare: 1})
	l.Configure(start, document(2, 1, 10000))
	is.Equal(len(l.Want(start, want("b", 6000, 1000))), 0) // adoptions may still be missing
	l.Adopt(start, sched.Adopt{Want: want("a", 6000, 1000), Grant: *g, Phase: sched.PhaseDecoding})
	is.Equal(len(l.Tick(start+DefaultSettle)), 0) // the memory is in use
	is.Equal(len(grants(l.Progress(start+time.Second, done(g, sched.PhaseDone)))), 1)
}

func TestExpiredReservationsAreReleased(t *testing.T) {
	is := is.New(t)
	l := newLedger(t, document(2, 1, 10000))
	l.Want(start, want("a", 8000, 10))
	is.Equal(len(l.Want(start, want("b", 8000, 10))), 0)
	is.Equal(len(grants(l.Tick(start+DefaultExpiresIn))), 1)
	l.ProcessGone(start+DefaultExpiresIn, requester)
	is.Equal(l.Snapshot().Held, 0)
}

func TestWholeRoleEnginesGetWholeRequests(t *testing.T) {
	is := is.New(t)
	doc := document(0, 2, 10000)
	for i := range doc.Endpoints {
		doc.Endpoints[i].Labels[live.LabelRole] = string(live.RoleWhole)
	}
	l := newLedger(t, doc)
	g := grants(l.Want(start, want("a", 6000, 10)))
	is.Equal(len(g), 1)
	is.Equal(g[0].Prefill, id.Endpoint(""))
	d := l.Demand(start)
	is.Equal(len(d.Prefills)+len(d.Decodes), 0) // engines of role whole have no role to change
}

func TestLocalPrefillWhenPrefillEnginesWouldBeLate(t *testing.T) {
	is := is.New(t)
	l := newLedger(t, document(1, 2, 30000))
	localPrefills := 0
	for i := range 12 {
		l.Want(start, want(fmt.Sprint(i), 3000, 100))
	}
	for now := start; now < start+900*time.Millisecond; now += 5 * time.Millisecond {
		for _, g := range grants(l.Tick(now)) {
			if g.Prefill == "" {
				localPrefills++
			}
		}
	}
	is.True(localPrefills > 0 && localPrefills <= 6)
}

// TestLocalPrefillCountsAsPrefillWork: if the work of local prefills were not
// counted, a pool that is short of prefill engines would appear to have too many.
func TestLocalPrefillCountsAsPrefillWork(t *testing.T) {
	is := is.New(t)
	l := newLedger(t, document(1, 2, 30000))
	for i := range 12 {
		l.Want(start, want(fmt.Sprint(i), 3000, 100))
	}
	for now := start; now < start+900*time.Millisecond; now += 5 * time.Millisecond {
		for _, g := range grants(l.Tick(now)) {
			if g.Prefill != "" {
				continue
			}
			before := l.Demand(now - 1).PrefillWork
			is.True(before >= time.Duration(len(l.granted))*100*time.Millisecond) // each prompt has 3000 tokens, at 25 tokens a millisecond
			return
		}
	}
	t.Fatal("no decode engine prefilled a prompt")
}

// TestAdoptedWorkDoesNotChangeDecodeRate: a new owner has no start time of
// adopted work. A decode that ended right after the takeover once raised the
// estimated decode rate so far that every answer appeared finished and the pool full.
func TestAdoptedWorkDoesNotChangeDecodeRate(t *testing.T) {
	is := is.New(t)
	old := newLedger(t, document(4, 2, 10000))
	l := newLedger(t, document(4, 2, 10000))
	for _, name := range []string{"a", "b"} {
		g := grants(old.Want(start, want(name, 3000, 1000)))[0]
		l.Adopt(start, sched.Adopt{Want: want(name, 3000, 1000), Grant: *g, Phase: sched.PhaseDecoding})
		if name == "a" {
			l.Progress(start+time.Millisecond, done(g, sched.PhaseDone))
		}
	}
	l.Tick(start + 2*time.Second)
	d := l.Demand(start + 2*time.Second)
	is.True(d.MemoryHeld >= 3000 && d.MemoryHeld <= 5000)
}
