package forward

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/registry"
	"github.com/samphirequay/samphirequay/core/verdict"
)

// unknownEndpoints are endpoints of which this host can't tell whether they live.
type unknownEndpoints struct{ *fakeEndpoints }

// Reachable implements Endpoints.
func (unknownEndpoints) Reachable(context.Context, registry.Endpoint) Reach { return ReachUnknown }

// TestAnEndpointOfWhichNothingIsKnownIsNeitherAliveNorCrashed guards against a host without
// descriptors that passes an answer on as whole whose endpoint may have crashed, or that counts
// a break as evidence against its request.
func TestAnEndpointOfWhichNothingIsKnownIsNeitherAliveNorCrashed(t *testing.T) {
	t.Run("an answer whose end is its connection's", func(t *testing.T) {
		is := is.New(t)
		s := &fakeEndpoints{answer: func(*Attempt) (*Reply, *verdict.Error) {
			return &Reply{Status: 200, Body: []byte("half"), Unframed: true}, nil
		}}
		f, r := newTest(t, s)
		f.Endpoints = unknownEndpoints{s}
		_, err := f.Run(context.Background(), r)
		is.True(err != nil)
	})
	t.Run("an exchange that broke", func(t *testing.T) {
		is := is.New(t)
		s := &fakeEndpoints{answer: failWith(verdict.MayHaveRun, verdict.CodeEndpointFailed)}
		f, r := newTest(t, s)
		f.Endpoints = unknownEndpoints{s}
		_, err := f.Run(context.Background(), r)
		is.True(err != nil)
		state, _ := f.Evidence.Ledger.Delta(0)
		is.Equal(len(state.Crashes), 0)
	})
}
