package kvsched

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/live"
	"github.com/samphirequay/samphirequay/core/sched"
	"github.com/samphirequay/samphirequay/core/verdict"
)

// versionsDocument returns a pool with two prefill engines and three decode engines: 0 runs
// v1, 1 and 2 run v2.
func versionsDocument() *live.Document {
	doc := document(2, 3, 10000)
	for i, v := range []string{"v1", "v1", "v1", "v2", "v2"} {
		doc.Endpoints[i].Labels[live.LabelSoftware] = v
	}
	return doc
}

func TestAStreamIsContinuedByTheVersionThatBeganIt(t *testing.T) {
	is := is.New(t)
	l := newLedger(t, versionsDocument())
	for _, name := range []string{"a", "b", "c"} {
		w := want(name, 1000, 10)
		w.Software = "v1"
		got := grants(l.Want(start, w))
		is.Equal(len(got), 1)
		is.Equal(got[0].Decode, id.Endpoint("decode-0")) // although the others have more room
	}
	w := want("d", 1000, 10)
	w.Software, w.Prefilled = "v1", true
	is.Equal(grants(l.Want(start, w))[0].Decode, id.Endpoint("decode-0"))
}

// TestAStreamWhoseVersionIsGoneIsRefusedAtOnce checks that a request which no engine can
// serve does not wait, whether its version has left, is leaving or has crashed.
func TestAStreamWhoseVersionIsGoneIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	doc := versionsDocument()
	doc.Endpoints[2].Labels[live.LabelLeaving] = "true"
	l := newLedger(t, doc)
	for _, version := range []id.Software{"v1", "v0"} {
		w := want("a"+string(version), 1000, 10)
		w.Software = version
		got := refusals(l.Want(start, w))
		is.Equal(len(got), 1)
		is.Equal(got[0].Code, verdict.CodeUnavailable)
		is.Equal(got[0].RetryAfter, time.Second)
	}
}

// TestARequestThatWaitsForItsVersionHoldsNobodyUp guards against blocking the whole pool by
// a stream whose version has no usable engine at the moment.
func TestARequestThatWaitsForItsVersionHoldsNobodyUp(t *testing.T) {
	is := is.New(t)
	l := newLedger(t, versionsDocument())
	w := want("waits", 1000, 10)
	w.Software = "v1"
	w.Avoid = []id.Endpoint{"decode-0"}
	w.Priority = 9
	is.Equal(len(l.Want(start, w)), 0)
	is.Equal(len(grants(l.Want(start, want("new", 1000, 10)))), 1)
}

// TestRequestsThatWaitForTheRoomOfAVersionHoldNobodyUp covers more of them than engines that
// may be set aside, for longer than others may pass requests that wait.
func TestRequestsThatWaitForTheRoomOfAVersionHoldNobodyUp(t *testing.T) {
	is := is.New(t)
	doc := versionsDocument()
	doc.Endpoints[3].Labels[live.LabelSoftware] = "v1" // two engines of it
	l := newLedger(t, doc)
	for _, name := range []string{"full-1", "full-2"} {
		w := want(name, 9000, 10)
		w.Software = "v1"
		l.Progress(start, done(grants(l.Want(start, w))[0], sched.PhaseDecoding))
	}
	for _, name := range []string{"a", "b", "c"} {
		w := want(name, 3000, 10)
		w.Software, w.Priority = "v1", 9
		is.Equal(len(l.Want(start, w)), 0)
	}
	later := start + DefaultBypassAfter + time.Millisecond
	is.Equal(len(l.Tick(later)), 0)
	is.Equal(len(grants(l.Want(later, want("new", 4000, 10)))), 1)
}

// TestAVersionWithoutRoomDoesNotCountAsAPoolWithoutRoom checks that what does not fit on the
// engines of one version is still tried on those of the others.
func TestAVersionWithoutRoomDoesNotCountAsAPoolWithoutRoom(t *testing.T) {
	is := is.New(t)
	l := newLedger(t, versionsDocument())
	full := want("full", 9000, 10)
	full.Software = "v1"
	is.Equal(len(grants(l.Want(start, full))), 1)
	w := want("waits", 3000, 10)
	w.Software = "v1"
	w.Priority = 9
	is.Equal(len(l.Want(start, w)), 0)
	is.Equal(len(grants(l.Want(start, want("new", 4000, 10)))), 1)
}

// TestAPairOfOneVersionIsPreferred checks that a KV cache mostly goes to the software version
// that made it, and that a version without a free prefill engine is served all the same.
func TestAPairOfOneVersionIsPreferred(t *testing.T) {
	is := is.New(t)
	doc := versionsDocument()
	doc.Endpoints[0].Labels[live.LabelSoftware] = "v2"
	l := newLedger(t, doc)
	software := map[id.Endpoint]string{}
	for _, e := range doc.Endpoints {
		software[e.Name] = e.Labels[live.LabelSoftware]
	}
	for _, name := range []string{"a", "b", "c"} {
		got := grants(l.Want(start, want(name, 200, 10)))
		is.Equal(len(got), 1)
		is.Equal(software[got[0].Prefill], software[got[0].Decode])
	}

	doc = versionsDocument() // no prefill engine of v2
	doc.Endpoints[2].Labels[live.LabelLeaving] = "true"
	l = newLedger(t, doc)
	is.Equal(len(grants(l.Want(start, want("a", 200, 10)))), 1)
}
