package forward

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/poison"
	"github.com/samphirequay/samphirequay/core/registry"
	"github.com/samphirequay/samphirequay/core/verdict"
)

// crashOnTheirOwn lets the clock of the crash evidence go on with each look at it, and the
// service have many endpoints, so that each crash is an event and an endpoint of its own.
func crashOnTheirOwn(f *Forwarder) {
	view := *f.View()
	view.Endpoints = map[id.Endpoint]registry.Endpoint{}
	var entries []registry.Endpoint
	for n := range 40 {
		e := registry.Endpoint{Name: id.Endpoint(fmt.Sprint("e", n)), Service: "s", Address: fmt.Sprint("e", n), Slots: 6}
		view.Endpoints[e.Name] = e
		entries = append(entries, e)
	}
	f.View = func() *View { return &view }
	f.Configure(entries)
	now := time.Unix(1e9, 0)
	f.Evidence.WallClock = func() time.Time {
		now = now.Add(100 * time.Millisecond)
		return now
	}
}

// crashingOnPart returns endpoints that crash on requests with the part "dead", and answer
// others with a status.
func crashingOnPart(status int) *fakeEndpoints {
	return &fakeEndpoints{answer: func(a *Attempt) (*Reply, *verdict.Error) {
		if slices.Contains(a.Request.Parts, "dead") {
			return nil, verdict.New(verdict.MayHaveRun, verdict.CodeEndpointFailed, "the connection broke")
		}
		return &Reply{Status: status}, nil
	}}
}

// another makes r a request that has been sent never before, with the given parts.
func another(r *Request, n int, parts ...string) {
	r.ID, r.Target, r.Caller, r.Parts = id.Request(fmt.Sprint("r", n)), fmt.Sprintf("%s%d", r.Path, n), fmt.Sprint("10.0.0.", n), parts
}

// crashesToRefuseAPart is how many crashes a part costs before it is refused.
const crashesToRefuseAPart = 5

// TestRequestsWithADeadlyPartAreRefused checks that requests that share nothing with each
// other but a part that crashes endpoints, and nothing with others but the first part, are
// refused as not run, under a reason that names the part by its hash, and that others with
// that first part are served.
func TestRequestsWithADeadlyPartAreRefused(t *testing.T) {
	is := is.New(t)
	s := crashingOnPart(200)
	f, r := newTest(t, s)
	crashOnTheirOwn(f)
	kept := &keptLog{}
	f.Log = kept
	for n := range 10 {
		another(r, 100+n, "aa", fmt.Sprint("sound", n))
		_, err := f.Run(context.Background(), r)
		is.Equal(err, nil)
		another(r, n, "aa", "dead")
		_, err = f.Run(context.Background(), r)
		is.True(err != nil)
	}
	is.Equal(len(kept.with("event=crash_recorded")), crashesToRefuseAPart)
	another(r, 11, "bb", "dead")
	_, err := f.Run(context.Background(), r)
	is.Equal(err.Code, verdict.CodeQuarantined)
	is.Equal(err.Verdict, verdict.NotRun)
	is.True(err.RetryAfter > 0)
	dead := poison.NewPart("", "dead").String()
	is.True(strings.Contains(err.Error(), dead))
	refused := kept.with("outcome=quarantined")
	is.True(strings.HasSuffix(refused[len(refused)-1], " part="+dead) || strings.Contains(refused[len(refused)-1], " part="+dead+" "))
	is.Equal(f.stats.refusedParts.Value(), int64(len(kept.with(" part="+dead))))
}

// crashOnDead has requests that share the parts "aa" and "dead" crash endpoints until the
// part is refused, and returns how many crashes that took; bound limits the requests.
func crashOnDead(f *Forwarder, r *Request, bound int) int {
	for n := range bound {
		another(r, n, "aa", "dead")
		if _, err := f.Run(context.Background(), r); err.Code == verdict.CodeQuarantined {
			break
		}
	}
	return f.Evidence.Ledger.Len()
}

// TestARefusalForAPartSaysWhetherTheRequestMayHaveRun checks that a request that may run
// once only is refused as not run if it is a new one, and without that promise if
// endpoints have crashed under it.
func TestARefusalForAPartSaysWhetherTheRequestMayHaveRun(t *testing.T) {
	is := is.New(t)
	f, r := newTest(t, crashingOnPart(200))
	crashOnTheirOwn(f)
	r.Path = "/once/"
	is.Equal(crashOnDead(f, r, 10), crashesToRefuseAPart)
	_, err := f.Run(context.Background(), r) // the last one, which is new
	is.Equal(err.Verdict, verdict.NotRun)
	another(r, 0, "aa", "dead")
	_, err = f.Run(context.Background(), r)
	is.Equal(err.Code, verdict.CodeQuarantined)
	is.Equal(err.Verdict, verdict.MayHaveRun)
}

// TestOnlyASuccessClearsAPart checks that an endpoint's error or refusal of a request says
// nothing about the parts of its prompt, on which it may not have begun to work.
func TestOnlyASuccessClearsAPart(t *testing.T) {
	for status, cleared := range map[int]bool{200: true, 204: true, 400: false, 404: false, 500: false} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			is := is.New(t)
			crashes := true
			s := &fakeEndpoints{answer: func(*Attempt) (*Reply, *verdict.Error) {
				if crashes {
					return nil, verdict.New(verdict.MayHaveRun, verdict.CodeEndpointFailed, "the connection broke")
				}
				return &Reply{Status: status}, nil
			}}
			f, r := newTest(t, s)
			crashOnTheirOwn(f)
			is.True(crashOnDead(f, r, 2) < crashesToRefuseAPart)
			crashes = false
			another(r, 50, "dead")
			_, err := f.Run(context.Background(), r)
			is.Equal(err, nil)
			standing := f.Evidence.Ledger.CheckParts(f.Evidence.WallClock(), []poison.Part{poison.NewPart("", "dead")}).Standing
			is.Equal(standing == poison.Clear, cleared)
		})
	}
}

// TestAnAnswerThatKeepsComingClearsItsParts checks that the parts of a stream's prompt are
// cleared by an event that comes poison.SettledAnswer after the first, and by its end, and
// not by its first event.
func TestAnAnswerThatKeepsComingClearsItsParts(t *testing.T) {
	is := is.New(t)
	events, engine := io.Pipe()
	engines := &countedEngines{decode: func() (*Opened, *verdict.Error) {
		return &Opened{Status: 200, Events: pipeStream{PipeReader: events}}, nil
	}}
	f, r := newRetryTest(t, engines, &willingOwner{})
	now := f.Now()
	f.Now = func() time.Duration { return now }
	dead := poison.NewPart("", "dead")
	standing := func() poison.Standing {
		return f.Evidence.Ledger.CheckParts(f.Evidence.WallClock(), []poison.Part{dead}).Standing
	}
	crash := func(e id.Endpoint) {
		// Beyond the time for which a success speaks for a part.
		wall := f.Evidence.WallClock().Add(time.Minute)
		f.Evidence.Ledger.Crash(wall, poison.CrashID{Endpoint: e}, []poison.Suspect{{Parts: []poison.Part{dead}}})
		f.Evidence.WallClock = func() time.Time { return wall.Add(time.Second) }
	}
	read := func(reply *Reply) (int, error) { return reply.Events.Read(make([]byte, readSize)) }

	crash("x1")
	r.Parts = []string{"dead"}
	go func() { _, _ = engine.Write([]byte("id: 1\ndata: x\n\n")) }()
	reply, err := f.Run(context.Background(), r)
	is.Equal(err, nil)
	_, readErr := read(reply)
	is.NoErr(readErr)
	is.Equal(standing(), poison.Suspected)
	now += poison.SettledAnswer
	go func() { _, _ = engine.Write([]byte("id: 2\ndata: x\n\n")) }()
	_, readErr = read(reply)
	is.NoErr(readErr)
	is.Equal(standing(), poison.Clear)
	crash("x2")
	is.Equal(standing(), poison.Suspected)
	is.NoErr(engine.Close())
	_, readErr = read(reply)
	is.Equal(readErr, io.EOF)
	is.Equal(standing(), poison.Clear)
	is.NoErr(reply.Events.Close())
}

// pipeStream is a stream whose events a test writes.
type pipeStream struct{ *io.PipeReader }

// SetReadDeadline implements EventStream.
func (pipeStream) SetReadDeadline(time.Time) error { return nil }

// Unframed implements EventStream.
func (pipeStream) Unframed() bool { return false }

// NotEvents implements EventStream.
func (pipeStream) NotEvents() bool { return false }

// TestACrashTellsWhenItsRequestWasSent checks that evidence has the time of the send, by
// which crashes that one event brings about are told from others.
func TestACrashTellsWhenItsRequestWasSent(t *testing.T) {
	sentAt := time.Unix(1e9, 0)
	broke := func() *verdict.Error { return failure(verdict.MayHaveRun, verdict.CodeEndpointFailed) }
	cases := map[string]func(t *testing.T, later func()) (*Forwarder, *Request){
		"call": func(t *testing.T, later func()) (*Forwarder, *Request) {
			return newTest(t, &fakeEndpoints{answer: func(*Attempt) (*Reply, *verdict.Error) { later(); return nil, broke() }})
		},
		"decode": func(t *testing.T, later func()) (*Forwarder, *Request) {
			return newRetryTest(t, crashedEngines{&countedEngines{decode: func() (*Opened, *verdict.Error) { later(); return nil, broke() }}}, &willingOwner{})
		},
	}
	for name, start := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := sentAt
			f, r := start(t, func() { now = now.Add(time.Second) })
			f.Evidence.WallClock = func() time.Time { return now }
			r.Parts = []string{"dead"}
			_, err := f.Run(context.Background(), r)
			is.True(err != nil)
			state, _ := f.Evidence.Ledger.Delta(0)
			first := slices.MinFunc(state.Crashes, func(a, b poison.Crash) int { return int(a.AtUnixMS - b.AtUnixMS) })
			is.Equal(first.AtUnixMS, sentAt.Add(time.Second).UnixMilli())
			is.Equal(first.Running[0].SentUnixMS, sentAt.UnixMilli())
			is.Equal(first.Running[0].Parts, []poison.Part{poison.NewPart("", "dead")})
		})
	}
}

// crashedEngines are engines that accept no connection after a break.
type crashedEngines struct{ *countedEngines }

// Reachable implements Endpoints.
func (crashedEngines) Reachable(context.Context, registry.Endpoint) Reach { return NotReached }
