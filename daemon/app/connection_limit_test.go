package app

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/verdict"
	"github.com/samphirequay/samphirequay/daemon/opapi"
	"github.com/samphirequay/samphirequay/daemon/settings"
	"github.com/samphirequay/samphirequay/standin"
)

// TestConnectionOverTheLimitIsRefusedWithARetryDelay: a caller whose connection is
// over the limit gets an answer with the verdict not-run and a retry delay. The
// HTTP library's own answer has no code, verdict or delay.
func TestConnectionOverTheLimitIsRefusedWithARetryDelay(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t, 1, standin.Bunker(), func(s *settings.Settings) { s.Limits.MaxConnections = 2 })
	for range 2 {
		conn, err := net.Dial("tcp", f.daemons[0].CallerAddr())
		is.NoErr(err)
		defer conn.Close()
		_, err = io.WriteString(conn, "GET "+opapi.PathHealth+" HTTP/1.1\r\nHost: h\r\n\r\n")
		is.NoErr(err)
		_, err = conn.Read(make([]byte, 1))
		is.NoErr(err)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	req := f.completionRequest(context.Background(), f.daemons[0], teamKey,
		opapi.CompletionRequest{Model: model, Prompt: "a nomination", MaxTokens: 4})
	resp, err := client.Do(req)
	is.NoErr(err)
	defer resp.Body.Close()
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	is.Equal(resp.Header.Get(opapi.HeaderVerdict), verdict.NotRun.String())
	is.True(resp.Header.Get("Retry-After") != "")
}
