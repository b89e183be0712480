package client_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/verdict"
	"github.com/samphirequay/samphirequay/endpoint/client"
	"github.com/samphirequay/samphirequay/endpoint/wire"
	"github.com/samphirequay/samphirequay/standin"
)

// call makes one call to an address.
type call func(ctx context.Context, address string, o client.Options) error

// calls returns one call for each way in which a client opens a connection.
func calls() map[string]call {
	times := client.Timeouts{First: testTimeout, Idle: testTimeout}
	return map[string]call{
		"prefill": func(ctx context.Context, address string, o client.Options) error {
			_, err := client.NewEngine(address, o).Prefill(ctx, wire.PrefillRequest{})
			return err
		},
		"decode": func(ctx context.Context, address string, o client.Options) error {
			_, err := client.NewEngine(address, o).Decode(ctx, wire.DecodeRequest{}, times)
			return err
		},
		"resume": func(ctx context.Context, address string, o client.Options) error {
			_, err := client.NewEngine(address, o).Resume(ctx, client.ResumeRequest{}, times)
			return err
		},
		"cancel": func(ctx context.Context, address string, o client.Options) error {
			_, err := client.NewEngine(address, o).Cancel(ctx, wire.CancelRequest{})
			return err
		},
		"plain": func(ctx context.Context, address string, o client.Options) error {
			_, err := client.NewPlain(address, o).Call(ctx, client.PlainRequest{Method: "POST", Path: "/"})
			return err
		},
	}
}

// TestDialTimeoutIsUnavailable guards against reporting a dial timeout, as to a host
// without power, as the request's deadline: that would end the request although
// nothing was sent and other endpoints are free.
func TestDialTimeoutIsUnavailable(t *testing.T) {
	full, err := standin.NewFullBacklog("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer full.Close()
	for name, call := range calls() {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			err := call(context.Background(), full.Addr(), client.Options{DialTimeout: 20 * time.Millisecond})
			is.Equal(verdict.Of(err), verdict.NotRun)
			is.Equal(verdict.As(err).Code, verdict.CodeUnavailable)
		})
	}
}
