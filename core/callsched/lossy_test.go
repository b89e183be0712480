package callsched

import (
	"testing"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/id"
)

// TestALossyEndpointGetsCallsOnlyWhenOthersAreFull answers calls while one of two endpoints
// loses some of them: it takes what the other one has no room for.
func TestALossyEndpointGetsCallsOnlyWhenOthersAreFull(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, document(2))
	f.options.AvoidLossy = true
	f.doubts = map[id.Endpoint]float64{"e0": 0.5}
	var order []id.Endpoint
	for _, g := range f.fill(start) {
		order = append(order, g.Decode)
	}
	is.Equal(len(order), 6)
	is.Equal(order[:3], []id.Endpoint{"e1", "e1", "e1"})
}
