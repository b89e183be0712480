package standin_test

import (
	"context"
	"testing"

	"github.com/matryer/is"
	"github.com/samphirequay/samphirequay/core/live"
	"github.com/samphirequay/samphirequay/core/verdict"
	"github.com/samphirequay/samphirequay/endpoint/client"
	"github.com/samphirequay/samphirequay/endpoint/wire"
	"github.com/samphirequay/samphirequay/standin"
)

func TestSiteProfilesHaveExpectedSizes(t *testing.T) {
	for _, cfg := range []standin.PlatformConfig{standin.Bunker(), standin.Companeros()} {
		t.Run(cfg.Name, func(t *testing.T) {
			is := is.New(t)
			p, err := standin.StartPlatform(cfg)
			is.NoErr(err)
			defer p.Close()
			doc := standin.Document(cfg, p.Addresses())
			roles := map[string]int{}
			for _, e := range doc.Endpoints {
				roles[e.Labels[live.LabelRole]]++
				load, err := client.NewPlain(e.Address, client.Options{}).Load(context.Background())
				is.NoErr(err)
				is.Equal(load.Role, e.Labels[live.LabelRole])
				is.Equal(load.Slots, e.Slots)
			}
			is.Equal(roles, map[string]int{"prefill": 9, "decode": 9, "plain": 4})
			is.Equal(len(live.Check(live.Normalize(&doc))), 0)
			is.Equal(len(doc.Links), 16)
			is.Equal(len(doc.Services), 2)
		})
	}
}

func TestPlatformInjectsFaultsByName(t *testing.T) {
	is := is.New(t)
	p, err := standin.StartPlatform(standin.Bunker())
	is.NoErr(err)
	defer p.Close()
	is.NoErr(p.Inject(wire.Fault{Target: standin.TargetTable, Down: ptr(true)}))
	_, err = client.NewTable(p.Addresses().Table, client.Options{}).Read(context.Background(), wire.ReadRequest{})
	is.Equal(verdict.As(err).Code, verdict.CodeUnavailable)
	before := p.Plains[0].Incarnation()
	is.NoErr(p.Inject(wire.Fault{Target: "order-desk-01", Crash: true}))
	is.Equal(p.Plains[0].Incarnation(), before+1)
	is.True(p.Inject(wire.Fault{Target: "nobody"}) != nil)
}

func TestPlainServiceSlotsAndReceipts(t *testing.T) {
	is := is.New(t)
	service := standin.NewPlainService(standin.PlainConfig{Slots: 1, WorkTime: testTimeout})
	c := client.NewPlain(serve(t, service), client.Options{})
	ctx, cancel := context.WithCancel(context.Background())
	call := client.PlainRequest{Method: "POST", Path: "/stems", Headers: []client.Header{{Name: wire.HeaderIdempotencyKey, Value: "k"}}, Body: []byte("b")}
	first := make(chan error, 1)
	go func() {
		_, err := c.Call(ctx, call)
		first <- err
	}()
	eventually(t, "run", func() bool { return service.Counters().Calls == 1 })
	_, err := c.Call(context.Background(), call)
	is.Equal(verdict.Of(err), verdict.NotRun)
	is.Equal(verdict.As(err).Code, verdict.CodeOverloaded)
	cancel()
	is.Equal(verdict.Of(<-first), verdict.MayHaveRun)

	quick := client.NewPlain(serve(t, standin.NewPlainService(standin.PlainConfig{WorkTime: 1})), client.Options{})
	resp, err := quick.Call(context.Background(), call)
	is.NoErr(err)
	is.Equal(string(resp.Body), standin.Receipt("k", []byte("b")))
	is.Equal(service.Counters().Keys, []standin.Runs{{Name: "k", Runs: 1}})
}
