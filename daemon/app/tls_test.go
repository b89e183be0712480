package app

import (
	"context"
	"crypto/tls"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/daemon/keys"
	"github.com/samphirequay/samphirequay/daemon/opapi"
	"github.com/samphirequay/samphirequay/endpoint/wire"
	"github.com/samphirequay/samphirequay/standin"
)

// startTLS starts one more daemon whose callers and operators use HTTPS.
func (f *testFleet) startTLS() (*Daemon, *http.Client, *keys.Store) {
	f.t.Helper()
	is := is.New(f.t)
	f.reservePeerPorts(1)
	cfg := *f.daemons[0].settings
	cfg.Daemon = "tls"
	cfg.Listen.Peers = f.seeds[len(f.seeds)-1].Address
	cfg.InsecureCallers = false
	material, err := f.ca.Peer(cfg.Daemon)
	is.NoErr(err)
	caller, err := f.ca.Caller("127.0.0.1")
	is.NoErr(err)
	callerKeys := keys.FromMaterial(caller)
	d, err := New(&cfg, Options{PeerKeys: keys.FromMaterial(material), CallerKeys: callerKeys, Log: f.log})
	is.NoErr(err)
	is.NoErr(d.Start())
	f.daemons = append(f.daemons, d)
	f.waitFor("the daemon is ready", func() bool {
		ready, _ := d.ready()
		return ready
	})
	pool := f.ca.Pool()
	transport := &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool}}
	f.t.Cleanup(transport.CloseIdleConnections)
	return d, &http.Client{Transport: transport}, callerKeys
}

func TestCallersUseTLS(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t, 1, standin.Bunker(), nil)
	d, client, callerKeys := f.startTLS()
	prompt := strings.Repeat("certificate of quality. ", 20)
	complete := func(client *http.Client) *tls.ConnectionState {
		req := f.completionRequest(context.Background(), d, teamKey,
			opapi.CompletionRequest{Model: model, Prompt: prompt, MaxTokens: 4, Stream: true})
		req.URL.Scheme = "https"
		resp, err := client.Do(req)
		is.NoErr(err)
		defer resp.Body.Close()
		text, _, ended := readSSE(t, resp, 0)
		is.True(ended)
		is.Equal(text, standin.Answer(prompt, 4))
		return resp.TLS
	}
	before := complete(client)

	// Replaced keys apply to the next connection, without a restart.
	renewed, err := f.ca.Caller("127.0.0.1")
	is.NoErr(err)
	callerKeys.Replace(renewed)
	client.CloseIdleConnections()
	after := complete(client)
	is.True(before.PeerCertificates[0].SerialNumber.Cmp(after.PeerCertificates[0].SerialNumber) != 0)
}

func TestHangUpOverTLSIsNoticedDuringPrefill(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t, 1, standin.Bunker(), nil)
	d, client, _ := f.startTLS()
	for _, e := range f.platform.Engines {
		e.Inject(wire.Fault{Slow: ptr(20.0)})
	}
	ctx, hangUp := context.WithCancel(context.Background())
	req := f.completionRequest(ctx, d, teamKey,
		opapi.CompletionRequest{Model: model, Prompt: strings.Repeat("packet. ", 500), MaxTokens: 4})
	req.URL.Scheme = "https"
	failed := make(chan error, 1)
	go func() {
		_, err := client.Do(req)
		failed <- err
	}()
	f.waitFor("the prefill runs", func() bool { return f.held("prefill") > 0 })
	hangUp()
	is.True(<-failed != nil)
	f.waitFor("the engine got a cancel", func() bool { return f.cancels() > 0 })
	f.waitFor("no engine holds a request", func() bool { return f.held("") == 0 })
}
