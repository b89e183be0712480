package sched

import (
	"cmp"
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/live"
)

// TestSelectorsMatchLiveIndex: a selector on the failure domain must select the
// same endpoints for the scheduler as for reports and placement, even if the
// domain is set in the endpoint's field and not in its labels.
func TestSelectorsMatchLiveIndex(t *testing.T) {
	is := is.New(t)
	doc := testDocument(4, 1)
	doc.Pools[0].EndpointSelector = live.LabelDomain + "=" + string(doc.Endpoints[0].Domain)
	found, err := PoolEndpoints(doc, &doc.Pools[0])
	is.NoErr(err)
	slices.SortFunc(found, func(a, b *live.Endpoint) int { return cmp.Compare(a.Name, b.Name) }) // the order of the index
	is.Equal(found, live.NewIndex(doc).Endpoints(testPool))
	is.True(len(found) > 0)
}
