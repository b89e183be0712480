package kvsched

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/live"
	"github.com/samphirequay/samphirequay/core/verdict"
)

// TestAPoolWhoseEnginesAllLeaveGrantsNone guards against grants of engines that leave while
// requests wait for others: they get the successors' room if those come in time, and are
// refused at the end of their patience otherwise.
func TestAPoolWhoseEnginesAllLeaveGrantsNone(t *testing.T) {
	is := is.New(t)
	doc := document(1, 1, 10000)
	l := newLedger(t, doc)
	for i := range doc.Endpoints {
		doc.Endpoints[i].Labels[live.LabelLeaving] = "true"
	}
	l.Configure(start, doc)
	is.Equal(len(l.Want(start, want("served", 1000, 10))), 0)
	is.Equal(len(l.Tick(start+time.Second)), 0)
	successors := document(2, 2, 10000)
	successors.Endpoints[0].Labels[live.LabelLeaving] = "true"
	successors.Endpoints[2].Labels[live.LabelLeaving] = "true"
	granted := grants(l.Configure(start+2*time.Second, successors))
	is.Equal(len(granted), 1)
	is.Equal(granted[0].Prefill, id.Endpoint("prefill-1"))
	is.Equal(granted[0].Decode, id.Endpoint("decode-1"))

	l.Configure(start+3*time.Second, doc)
	is.Equal(len(l.Want(start+3*time.Second, want("refused", 1000, 10))), 0)
	refused := refusals(l.Tick(start + 6*time.Second))
	is.Equal(len(refused), 1)
	is.Equal(refused[0].Code, verdict.CodeOverloaded)
	is.True(refused[0].RetryAfter > 0)
}
