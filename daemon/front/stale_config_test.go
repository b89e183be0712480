package front

import (
	"testing"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/samphirequay/samphirequay/core/live"
	"github.com/samphirequay/samphirequay/core/verdict"
	"github.com/samphirequay/samphirequay/daemon/opapi"
)

// TestUnknownNamesAreRefusedTemporarilyWhileTheConfigurationIsStale: a key, a model
// service or a plain service that the configuration lacks is refused permanently
// only if the daemon knows of no later configuration.
func TestUnknownNamesAreRefusedTemporarilyWhileTheConfigurationIsStale(t *testing.T) {
	doc := live.Normalize(&live.Document{
		Teams: []live.Team{{Name: "bunker", KeyHashes: []string{live.HashKey(fuzzKey)}}},
	})
	index := live.NewIndex(doc)
	newest := false
	s := &Server{}
	s.Directory = func() *live.Index { return index }
	s.Newest = func() bool { return newest }
	s.MaxBodyBytes = 1 << 20

	cases := []struct {
		name, key, path string
		permanent       verdict.Code
	}{
		{"key", "new-key", opapi.PathCompletions, verdict.CodeUnauthorized},
		{"model", fuzzKey, opapi.PathCompletions, verdict.CodeUnknownService},
		{"plain service", fuzzKey, opapi.PathServices + "slots/hold", verdict.CodeUnknownService},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			refusal := func() *verdict.Error {
				ctx := &fasthttp.RequestCtx{}
				ctx.Request.Header.SetMethod(fasthttp.MethodPost)
				ctx.Request.SetRequestURI(c.path)
				ctx.Request.Header.Set(fasthttp.HeaderAuthorization, bearer+c.key)
				ctx.Request.SetBodyString(`{"model":"summaries","prompt":"long"}`)
				var err *verdict.Error
				if c.path == opapi.PathCompletions {
					_, _, err = s.classify(ctx)
				} else {
					_, err = s.classifyCall(ctx, c.path)
				}
				return err
			}
			newest = false
			err := refusal()
			is.Equal(err.Code, verdict.CodeUnavailable)
			is.Equal(err.Verdict, verdict.NotRun)
			is.True(err.RetryAfter > 0)
			newest = true
			is.Equal(refusal().Code, c.permanent)
		})
	}
}
