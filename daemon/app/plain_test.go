package app

import (
	"bytes"
	"context"
	"net/http"
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/live"
	"github.com/samphirequay/samphirequay/daemon/opapi"
	"github.com/samphirequay/samphirequay/endpoint/wire"
	"github.com/samphirequay/samphirequay/standin"
)

const plainService = "order-desk"

// reply is the answer that a caller of a plain service received.
type reply struct {
	status   int
	body     string
	verdict  string
	replayed bool
	// retryAfter is the Retry-After header, in whole seconds.
	retryAfter string
}

// call sends one call to the plain service.
func (f *testFleet) call(d *Daemon, method, key, idempotencyKey, body string) reply {
	f.t.Helper()
	is := is.New(f.t)
	url := "http://" + d.CallerAddr() + opapi.PathServices + plainService + "/stems/7"
	req, err := http.NewRequestWithContext(context.Background(), method, url, bytes.NewReader([]byte(body)))
	is.NoErr(err)
	req.Header.Set("Authorization", "Bearer "+key)
	if idempotencyKey != "" {
		req.Header.Set(opapi.HeaderIdempotencyKey, idempotencyKey)
	}
	resp, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	defer resp.Body.Close()
	var buf bytes.Buffer
	_, err = buf.ReadFrom(resp.Body)
	is.NoErr(err)
	return reply{
		status:   resp.StatusCode,
		body:     buf.String(),
		verdict:  resp.Header.Get(opapi.HeaderVerdict),
		replayed: resp.Header.Get("Samphirequay-Replayed") == "true",

		retryAfter: resp.Header.Get("Retry-After"),
	}
}

// runs counts the calls that the plain endpoints ran.
func (f *testFleet) runs() int64 {
	var n int64
	for _, p := range f.platform.Plains {
		n += p.Counters().Calls
	}
	return n
}

// plainFault injects a fault into all plain endpoints.
func (f *testFleet) plainFault(fault wire.Fault) {
	for _, p := range f.platform.Plains {
		p.Inject(fault)
	}
}

func ptr[T any](v T) *T { return &v }

func TestClaimedCallRunsOnceAndIsReplayedAtAnyDaemon(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t, 3, standin.Bunker(), nil)
	first := f.call(f.daemons[0], http.MethodPost, teamKey, "stem-1", "300 t")
	is.Equal(first.status, http.StatusOK)
	is.Equal(first.body, standin.Receipt("stem-1", []byte("300 t")))

	var again reply
	f.waitFor("the outcome is stored", func() bool {
		again = f.call(f.daemons[1], http.MethodPost, teamKey, "stem-1", "300 t")
		return again.status == http.StatusOK
	})
	is.Equal(again.body, first.body)
	is.True(again.replayed)
	is.Equal(f.runs(), int64(1))

	// The same key with another body is a conflict.
	other := f.call(f.daemons[2], http.MethodPost, teamKey, "stem-1", "500 t")
	is.Equal(other.status, http.StatusConflict)
	// Keys are separate by team.
	beta := f.call(f.daemons[2], http.MethodPost, otherKey, "stem-1", "300 t")
	is.Equal(beta.status, http.StatusOK)
	is.Equal(f.runs(), int64(2))
}

func TestSameKeyThroughAllDaemonsAtOnceRunsOnce(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t, 3, standin.Bunker(), nil)
	f.platform.Table.Inject(wire.Fault{LoseReplies: ptr(0.5), StaleReads: ptr(0.5)})
	var wg sync.WaitGroup
	replies := make([]reply, 12)
	for i := range replies {
		wg.Add(1)
		go func() {
			defer wg.Done()
			replies[i] = f.call(f.daemons[i%3], http.MethodPost, teamKey, "seat-9", "hold")
		}()
	}
	wg.Wait()
	ran := f.runs()
	is.True(ran <= 1) // at most once
	for _, r := range replies {
		if r.status == http.StatusOK {
			is.Equal(r.body, standin.Receipt("seat-9", []byte("hold")))
			is.Equal(ran, int64(1))
		}
	}
}

func TestStoreDownMeansNotRun(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t, 1, standin.Bunker(), nil)
	f.platform.Table.Inject(wire.Fault{Down: ptr(true)})
	refused := f.call(f.daemons[0], http.MethodPost, teamKey, "stem-2", "x")
	is.Equal(refused.status, http.StatusServiceUnavailable)
	is.Equal(refused.verdict, "not-run")
	is.Equal(f.runs(), int64(0))
	// A call that needs no claim is still served.
	plain := f.call(f.daemons[0], http.MethodGet, teamKey, "", "")
	is.Equal(plain.status, http.StatusOK)
	// After the outage the key can still be claimed.
	f.platform.Table.Inject(wire.Fault{Down: ptr(false)})
	var r reply
	f.waitFor("the call is served", func() bool {
		r = f.call(f.daemons[0], http.MethodPost, teamKey, "stem-2", "x")
		return r.status == http.StatusOK
	})
	is.Equal(f.runs(), int64(2))
}

func TestCutConnectionIsSentOnceForEveryMethod(t *testing.T) {
	f := newTestFleet(t, 1, standin.Bunker(), nil)
	f.plainFault(wire.Fault{LoseReplies: ptr(1.0)})
	for _, method := range []string{http.MethodGet, http.MethodPut, http.MethodDelete, http.MethodPost} {
		t.Run(method, func(t *testing.T) {
			is := is.New(t)
			before := f.runs()
			r := f.call(f.daemons[0], method, teamKey, "", "x")
			is.Equal(r.status, http.StatusBadGateway)
			is.Equal(r.verdict, "may-have-run")
			is.Equal(f.runs()-before, int64(1))
		})
	}
	t.Run("claimed POST", func(t *testing.T) {
		is := is.New(t)
		before := f.runs()
		r := f.call(f.daemons[0], http.MethodPost, teamKey, "stem-3", "x")
		is.Equal(r.verdict, "may-have-run")
		again := f.call(f.daemons[0], http.MethodPost, teamKey, "stem-3", "x")
		is.Equal(again.verdict, "may-have-run") // the call must not run again
		is.Equal(f.runs()-before, int64(1))
	})
}

func TestMissingIdempotencyKeyIsRefusedWhereRequired(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t, 1, standin.Bunker(), nil)
	d := f.daemons[0]
	svc, ok := d.configs.Index().Service(plainService)
	is.True(ok)
	if svc.NonIdempotent {
		r := f.call(d, http.MethodPost, teamKey, "", "x")
		is.Equal(r.status, http.StatusBadRequest)
		is.Equal(f.runs(), int64(0))
	}
	changed := *svc
	changed.NonIdempotent = true
	ops := appendOps(t, nil, live.KindService, []live.Service{changed}, func(s live.Service) string { return string(s.Name) })
	status, _ := f.change(d, opapi.ChangeRequest{ID: "mark", Ops: ops})
	is.Equal(status, http.StatusOK)
	f.waitFor("the change is in force", func() bool { return d.Revision() >= 2 })
	r := f.call(d, http.MethodPost, teamKey, "", "x")
	is.Equal(r.status, http.StatusBadRequest)
	is.Equal(r.verdict, "not-run")
}
