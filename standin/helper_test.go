package standin_test

import (
	"context"
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/samphirequay/samphirequay/endpoint/client"
	"github.com/samphirequay/samphirequay/endpoint/wire"
	"github.com/samphirequay/samphirequay/standin"
)

// testTimeout bounds the waits of the tests. No test passes by reaching it.
const testTimeout = 20 * time.Second

// frozenSlowdown is a factor for the Slow fault under which no simulated work
// ends during a test.
const frozenSlowdown = 1e9

var streamTimeouts = client.Timeouts{First: testTimeout, Idle: testTimeout}

type starter interface {
	Start(string) (*standin.Server, error)
}

// serve starts a stand-in for the duration of a test and returns its address.
func serve(t *testing.T, s starter) string {
	t.Helper()
	server, err := s.Start("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	return server.Addr()
}

func ptr[T any](v T) *T { return &v }

// eventually waits until a condition holds and fails the test at the timeout.
func eventually(t *testing.T, description string, holds func() bool) {
	t.Helper()
	deadline := time.NewTimer(testTimeout)
	defer deadline.Stop()
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	for !holds() {
		select {
		case <-tick.C:
		case <-deadline.C:
			t.Fatalf("timed out waiting for %s", description)
		}
	}
}

// enginePair is a prefill engine and a decode engine with their clients.
type enginePair struct {
	prefill, decode         *standin.Engine
	prefillAddr, decodeAddr string
	toPrefill, toDecode     *client.Engine
}

// newEnginePair starts two fast engines; change, if set, adapts their
// configuration.
func newEnginePair(t *testing.T, change func(*standin.EngineConfig)) *enginePair {
	t.Helper()
	cfg := standin.EngineConfig{
		Name: "prefill", Domain: "aktau-port", Model: "m", Role: standin.RolePrefill,
		PrefillTokensPerSecond: 1e6, DecodeTokenMS: 0.1, KVLifetime: testTimeout, Seed: 1,
	}
	if change != nil {
		change(&cfg)
	}
	p := &enginePair{prefill: standin.NewEngine(cfg)}
	cfg.Name, cfg.Role = "decode", standin.RoleDecode
	p.decode = standin.NewEngine(cfg)
	p.prefillAddr, p.decodeAddr = serve(t, p.prefill), serve(t, p.decode)
	p.toPrefill = client.NewEngine(p.prefillAddr, client.Options{})
	p.toDecode = client.NewEngine(p.decodeAddr, client.Options{})
	return p
}

// orderPrefill runs the prefill of a prompt.
func (p *enginePair) orderPrefill(ctx context.Context, id, prompt string) (wire.PrefillResponse, error) {
	return p.toPrefill.Prefill(ctx, wire.PrefillRequest{
		Request: id, Owner: "d1", OwnerIncarnation: 1, Model: "m", CacheSalt: "team", Prompt: prompt,
	})
}

// orderDecode starts the decode of a request whose prefill was run.
func (p *enginePair) orderDecode(ctx context.Context, id, prompt string, maxTokens int, kv wire.PrefillResponse) (*client.Stream, error) {
	return p.toDecode.Decode(ctx, wire.DecodeRequest{
		Request: id, Owner: "d1", OwnerIncarnation: 1, Model: "m", Prompt: prompt, MaxTokens: maxTokens,
		Source: wire.KVSource{Address: p.prefillAddr, KV: kv.KV, Bytes: kv.KVBytes, Domain: "aktau-port"},
	}, streamTimeouts)
}

// run runs the prefill of a request and starts its decode.
func (p *enginePair) run(t *testing.T, id, prompt string, maxTokens int) *client.Stream {
	t.Helper()
	kv, err := p.orderPrefill(context.Background(), id, prompt)
	if err != nil {
		t.Fatal(err)
	}
	stream, err := p.orderDecode(context.Background(), id, prompt, maxTokens, kv)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stream.Close)
	return stream
}

// collect reads n events, or all if n is 0, and checks that their sequence
// numbers follow after without a gap. It returns the text.
func collect(t *testing.T, s *client.Stream, after, n int) string {
	t.Helper()
	var text strings.Builder
	for count := 0; n == 0 || count < n; count++ {
		event, err := s.Next()
		if errors.Is(err, io.EOF) && n == 0 {
			return text.String()
		}
		if err != nil {
			t.Fatal(err)
		}
		after++
		if event.Seq != after {
			t.Fatalf("got event %d, want event %d", event.Seq, after)
		}
		text.WriteString(event.Text)
	}
	return text.String()
}
