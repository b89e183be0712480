package forward

import (
	"context"
	"io"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/registry"
	"github.com/samphirequay/samphirequay/core/route"
	"github.com/samphirequay/samphirequay/core/sched"
	"github.com/samphirequay/samphirequay/core/verdict"
)

// staleOwner is a pool's owner that was frozen for a while: it grants engines
// that have started leaving in the meantime, unless the request avoids them.
type staleOwner struct {
	prefills, decodes []id.Endpoint
	progress          []sched.Progress
}

// Pair implements Pairer.
func (o *staleOwner) Pair(_ context.Context, w sched.Want, _ time.Duration) (sched.Grant, *verdict.Error) {
	g := sched.Grant{Request: w.Request, Decode: firstNotIn(w.Avoid, o.decodes), Reservation: 1}
	if !w.Prefilled {
		g.Prefill = firstNotIn(w.Avoid, o.prefills)
	}
	if g.Decode == "" {
		return g, verdict.New(verdict.NotRun, verdict.CodeOverloaded, "no engine is left")
	}
	return g, nil
}

// Progress implements Pairer.
func (o *staleOwner) Progress(p sched.Progress) { o.progress = append(o.progress, p) }

func firstNotIn(avoid, all []id.Endpoint) id.Endpoint {
	for _, e := range all {
		if !slices.Contains(avoid, e) {
			return e
		}
	}
	return ""
}

// recordingEngines records the engines that got a prefill or a decode.
type recordingEngines struct {
	Endpoints
	prefilled, decoded []id.Endpoint
	// afterPrefill runs after each prefill.
	afterPrefill func()
	// freed receives a value for each KV cache that is freed.
	freed chan struct{}
}

// Prefill implements Endpoints.
func (r *recordingEngines) Prefill(_ context.Context, a *Attempt) (KV, *verdict.Error) {
	r.prefilled = append(r.prefilled, a.Endpoint.Name)
	if r.afterPrefill != nil {
		r.afterPrefill()
	}
	return KV{Source: a.Endpoint.Address, Handle: "kv"}, nil
}

// Decode implements Endpoints.
func (r *recordingEngines) Decode(_ context.Context, a *Attempt, _ KV) (*Opened, *verdict.Error) {
	r.decoded = append(r.decoded, a.Endpoint.Name)
	return &Opened{Status: 200, Events: emptyStream{}}, nil
}

// Free implements Endpoints.
func (r *recordingEngines) Free(context.Context, registry.Endpoint, KV) { r.freed <- struct{}{} }

// emptyStream is a stream without events.
type emptyStream struct{}

// Read implements io.Reader.
func (emptyStream) Read([]byte) (int, error) { return 0, io.EOF }

// Close implements io.Closer.
func (emptyStream) Close() error { return nil }

// SetReadDeadline implements EventStream.
func (emptyStream) SetReadDeadline(time.Time) error { return nil }

// Unframed implements EventStream.
func (emptyStream) Unframed() bool { return false }

// NotEvents implements EventStream.
func (emptyStream) NotEvents() bool { return false }

// newStreamTest returns a Forwarder with two prefill and two decode engines, a
// request, and a function that marks an engine as leaving.
func newStreamTest(t *testing.T, engines *recordingEngines, owner Pairer) (f *Forwarder, r *Request, leave func(id.Endpoint)) {
	t.Helper()
	f, r = newTest(t, engines)
	routes, err := route.NewTable(route.Config{
		Version:  1,
		Services: []route.Service{{Name: "s", Engine: &route.Engine{KVLifetime: time.Second}}},
		Routes: []route.Route{{
			Name: "stream", Host: "h", Prefix: "/stream/", Kind: route.Stream, MaxAttempts: 1,
			Timeout: 10 * time.Second, Patience: 2 * time.Second, TargetLatency: time.Second,
			Targets: []route.Target{{Service: "s"}},
		}},
	})
	if err != nil {
		t.Fatal(err)
	}
	view := &View{Routes: routes, Endpoints: map[id.Endpoint]registry.Endpoint{}}
	for _, name := range []id.Endpoint{"p1", "p2", "d1", "d2"} {
		view.Endpoints[name] = registry.Endpoint{Name: name, Service: "s", Address: string(name), Slots: 6}
	}
	f.View = func() *View { return view }
	f.Pairer = owner
	r.Path, r.Target, r.CallerTimeout = "/stream/x", "/stream/x", 10*time.Second
	leave = func(name id.Endpoint) {
		e := view.Endpoints[name]
		e.Leaving = true
		view.Endpoints[name] = e
	}
	return f, r, leave
}

// TestGrantOfLeavingEngineIsReturned guards against requests to leaving engines,
// which do not have to serve them. The daemon of a pool's owner was frozen for
// seven seconds. When it resumed, it granted engines that the store had listed as
// leaving for 3.07 s. All other daemons had received that change within 13 ms,
// but still sent the requests to these engines. Log lines of the owner:
//
//	member_stalled late=6.797878117s
//	endpoint_changed endpoint=... leaving=true   (3.18 s after the others)
func TestGrantOfLeavingEngineIsReturned(t *testing.T) {
	t.Run("decode", func(t *testing.T) {
		is := is.New(t)
		engines := &recordingEngines{}
		owner := &staleOwner{prefills: []id.Endpoint{"p1"}, decodes: []id.Endpoint{"d1", "d2"}}
		f, r, leave := newStreamTest(t, engines, owner)
		leave("d1")
		_, err := f.Run(context.Background(), r)
		is.True(err == nil)
		is.Equal(engines.decoded, []id.Endpoint{"d2"})
		is.Equal(engines.prefilled, []id.Endpoint{"p1"})        // one prefill only
		is.Equal(owner.progress[0].Phase, sched.PhaseCancelled) // the grant is returned to the owner
	})
	t.Run("prefill", func(t *testing.T) {
		is := is.New(t)
		engines := &recordingEngines{}
		owner := &staleOwner{prefills: []id.Endpoint{"p1", "p2"}, decodes: []id.Endpoint{"d1"}}
		f, r, leave := newStreamTest(t, engines, owner)
		leave("p1")
		_, err := f.Run(context.Background(), r)
		is.True(err == nil)
		is.Equal(engines.prefilled, []id.Endpoint{"p2"})
	})
	t.Run("leaving during the prefill", func(t *testing.T) {
		is := is.New(t)
		engines := &recordingEngines{}
		owner := &staleOwner{prefills: []id.Endpoint{"p1"}, decodes: []id.Endpoint{"d1", "d2"}}
		f, r, leave := newStreamTest(t, engines, owner)
		engines.afterPrefill = func() { leave("d1") }
		_, err := f.Run(context.Background(), r)
		is.True(err == nil)
		is.Equal(engines.decoded, []id.Endpoint{"d2"})
	})
	t.Run("no other engine", func(t *testing.T) {
		is := is.New(t)
		engines := &recordingEngines{}
		owner := &staleOwner{prefills: []id.Endpoint{"p1"}, decodes: []id.Endpoint{"d1"}}
		f, r, leave := newStreamTest(t, engines, owner)
		leave("d1")
		_, err := f.Run(context.Background(), r)
		is.True(err != nil)
		is.Equal(err.Verdict, verdict.NotRun) // as returned to the caller
		is.Equal(len(engines.decoded), 0)
		is.Equal(len(engines.prefilled), 0) // no prefill either
	})
	t.Run("no engine left after the prefill", func(t *testing.T) {
		is := is.New(t)
		engines := &recordingEngines{freed: make(chan struct{}, 1)}
		owner := &staleOwner{prefills: []id.Endpoint{"p1"}, decodes: []id.Endpoint{"d1"}}
		f, r, leave := newStreamTest(t, engines, owner)
		engines.afterPrefill = func() { leave("d1") }
		_, err := f.Run(context.Background(), r)
		is.True(err != nil)
		is.Equal(err.Verdict, verdict.NotRun)
		is.Equal(len(engines.decoded), 0)
		<-engines.freed // the KV cache is freed
	})
}
