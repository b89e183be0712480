package sched

import (
	"testing"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/live"
)

// TestRebindIgnoresFreeSlotOverSlowLink: a free slot over a slow link is not used
// if the slot of the reservation's own engine is released sooner.
func TestRebindIgnoresFreeSlotOverSlowLink(t *testing.T) {
	is := is.New(t)
	doc := testDocument(4, 2)
	doc.Links = []live.Link{
		{Name: "slow", BytesPerSecond: 1e6},
		{Name: "within-0", From: testDomains[0], To: testDomains[0], BytesPerSecond: 1e12},
		{Name: "within-1", From: testDomains[1], To: testDomains[1], BytesPerSecond: 1e12},
	}
	l := testLedger(t, testOptions(t), doc)
	near, far := l.endpoints["decode-000"], l.endpoints["decode-001"]
	is.True(near.domain != far.domain)
	prefill := l.endpoints["prefill-000"]
	is.Equal(prefill.domain, near.domain)

	r := &reservation{prefill: prefill, decode: near, kvBytes: 1e8, service: l.services[testService], team: l.teams[teamName(0)], want: testWant(1, teamName(0))}
	r.link = l.linkBetween(prefill.domain, near.domain)
	for range near.slots() {
		near.held = append(near.held, &reservation{release: l.now + 50*ms})
	}
	near.pending = []*reservation{r}
	is.Equal(l.freeElsewhere(r), nil) // 100 s over the slow link, 50 ms here

	for _, x := range near.held {
		x.release = l.now + 1000*1000*ms
	}
	is.Equal(l.freeElsewhere(r), far)
}
