// Package front is the listening end of the request pipeline: it takes callers'
// HTTP requests, authenticates and classifies them, hands them to the stages
// behind it and writes their answers and errors.
package front

import (
	"context"
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/live"
	"github.com/samphirequay/samphirequay/core/resume"
	"github.com/samphirequay/samphirequay/core/verdict"
	"github.com/samphirequay/samphirequay/daemon/completion"
	"github.com/samphirequay/samphirequay/daemon/hangup"
	"github.com/samphirequay/samphirequay/daemon/httpjson"
	"github.com/samphirequay/samphirequay/daemon/metrics"
	"github.com/samphirequay/samphirequay/daemon/opapi"
	"github.com/samphirequay/samphirequay/daemon/plaincall"
)

const (
	// readTimeout bounds the reading of one request, so that a slow sender
	// does not hold a connection for ever.
	readTimeout = 30 * time.Second
	// idleTimeout bounds an idle keep-alive connection.
	idleTimeout = 60 * time.Second
	// bodySlack is how far over the bound a body is still read, so that its
	// sender gets an answer and not a broken connection.
	maxBodyOverrun = 4 << 20
	// surplusShare is the part of the bound on connections, and leastSurplus the
	// least number, that are taken beyond it in order to be refused properly. The
	// HTTP library's own refusal beyond that has neither code, verdict nor advice.
	overLimitDivisor = 8
	minOverLimit     = 16
	// bearer begins the Authorization header.
	bearer = "Bearer "
)

// Completions serves model requests.
type Completions interface {
	Run(ctx context.Context, job *completion.Job, sink completion.Sink) *verdict.Error
}

// PlainCalls serves calls to plain services.
type PlainCalls interface {
	Run(ctx context.Context, call *plaincall.Call) (*plaincall.Answer, *verdict.Error)
}

// Tokens signs and checks resume tokens.
type Tokens interface {
	Sign(t resume.Token) (string, error)
	Verify(token string, team id.Team, wall time.Time) (resume.Token, error)
}

// Deps are what the server works with.
type Deps struct {
	Self id.Process
	// Directory is the configuration in force.
	Directory func() *live.Index
	// Newest says whether no later configuration is known of.
	Newest      func() bool
	Completions Completions
	PlainCalls  PlainCalls
	Tokens      Tokens
	Watcher     *hangup.Watcher
	Metrics     *metrics.Registry
	// Entry gives the entry answer.
	Entry func() opapi.EntryAnswer
	// Ready says whether the daemon takes requests, and if not, why.
	Ready func() (bool, string)
	// Log takes a line for each request that is refused before it has an id.
	Log func(event string, kv ...any)
	// Logger takes what the HTTP library has to say.
	Logger fasthttp.Logger
	// Arrived is told of each request.
	OnRequest func()
	// Now is the time since the daemon's start.
	Now func() time.Duration
	// NewID makes request ids.
	NewID func() id.Request
	// MaxBodyBytes bounds any request's body.
	MaxBodyBytes int
	// MaxConns bounds the callers' connections; Surplus says whether one is
	// beyond that.
	MaxConns  int
	OverLimit func(conn net.Conn) bool
}

// Server serves callers.
type Server struct {
	Deps
	http  *fasthttp.Server
	stats stats
	// base is the parent of all requests' contexts; Kill ends it.
	baseCtx    context.Context
	cancelBase context.CancelFunc
}

// New returns a Server that is not yet listening.
func New(d Deps) *Server {
	s := &Server{Deps: d, stats: newStats(d.Metrics)}
	s.baseCtx, s.cancelBase = context.WithCancel(context.Background())
	s.http = &fasthttp.Server{
		Handler:               s.handle,
		ErrorHandler:          s.protocolError,
		Name:                  "samphirequay",
		MaxRequestBodySize:    d.MaxBodyBytes + maxBodyOverrun,
		Concurrency:           d.MaxConns + max(minOverLimit, d.MaxConns/overLimitDivisor),
		ReadTimeout:           readTimeout,
		IdleTimeout:           idleTimeout,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
		Logger:                d.Logger,
		// Answers are streamed, so a write has no bound of its own: a caller
		// that stops reading is noticed by the full ring of its stream.
	}
	return s
}

// Serve takes connections until the server is shut down.
func (s *Server) Serve(ln net.Listener) error { return s.http.Serve(ln) }

// Shutdown stops taking connections and waits for the requests in flight.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.ShutdownWithContext(ctx) }

// Kill ends all requests at once.
func (s *Server) Kill() { s.cancelBase() }

// TeamStatus sums up a team's requests at this daemon.
func (s *Server) TeamStatus(team id.Team) opapi.TeamStatus {
	return opapi.TeamStatus{
		Team:     team,
		InFlight: int(s.stats.teamInFlight.Value(string(team))),
		Answered: uint64(s.stats.answered.Value(string(team))),
		Refused:  uint64(s.stats.teamRefused.Value(string(team))),
	}
}

// InFlight is how many requests are being served.
func (s *Server) InFlight() int { return int(s.stats.inFlight.Value()) }

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	if s.OverLimit(ctx.Conn()) {
		s.refuseConn(ctx)
		return
	}
	switch {
	case path == opapi.PathCompletions:
		s.OnRequest()
		s.completions(ctx)
	case strings.HasPrefix(path, opapi.PathServices):
		s.OnRequest()
		s.services(ctx, path)
	case path == opapi.PathEntry:
		s.entry(ctx)
	case path == opapi.PathModels:
		s.models(ctx)
	case path == opapi.PathHealth:
		ctx.SetBodyString("ok\n")
	case path == opapi.PathReady:
		s.ready(ctx)
	default:
		s.reject(ctx, verdict.New(verdict.NotRun, verdict.CodeUnknownService, "no such path: %s", path))
	}
}

// refuseConn refuses a request on a connection beyond the bound, and closes it.
func (s *Server) refuseConn(ctx *fasthttp.RequestCtx) {
	ctx.SetConnectionClose()
	err := verdict.New(verdict.NotRun, verdict.CodeOverloaded, "this daemon has as many connections as it takes")
	s.reject(ctx, err.WithRetryAfter(verdict.PassingRetryAfter))
}

func (s *Server) ready(ctx *fasthttp.RequestCtx) {
	ok, why := s.Ready()
	if !ok {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
	ctx.SetBodyString(why + "\n")
}

func (s *Server) entry(ctx *fasthttp.RequestCtx) {
	if !ctx.IsGet() {
		s.reject(ctx, verdict.New(verdict.NotRun, verdict.CodeBadRequest, "%s takes GET", opapi.PathEntry))
		return
	}
	httpjson.Write(ctx, fasthttp.StatusOK, s.Entry())
}

func (s *Server) models(ctx *fasthttp.RequestCtx) {
	team, err := s.authenticate(ctx)
	if err != nil {
		s.reject(ctx, err)
		return
	}
	list := opapi.ModelList{Object: "list", Data: []opapi.Model{}}
	for _, svc := range s.Directory().ServicesFor(team) {
		if svc.Type == live.ServiceModel {
			list.Data = append(list.Data, opapi.Model{ID: string(svc.Name), Object: "model"})
		}
	}
	httpjson.Write(ctx, fasthttp.StatusOK, list)
}

// maxEcho bounds what an error or a log line repeats of a caller's own words, in bytes.
const maxEchoBytes = 64

// service finds a service that the team may use; the error repeats the name
// that the caller gave.
func (s *Server) service(team *live.Team, name string) (*live.Service, *verdict.Error) {
	newest := s.Newest()
	svc, err := s.Directory().ServiceFor(team, id.Service(name))
	if err == nil {
		return svc, nil
	}
	named := *err
	named.Message = fmt.Sprintf("%s: %.*q", err.Message, maxEchoBytes, name)
	return nil, unknownNameError(newest, &named)
}

// missing refuses what the configuration here does not hold. While that is
// missing itself, or known to be behind, it may be in force elsewhere, and the
// caller is to come back: a daemon that had just started told callers for good
// that their keys belong to no team. Whether it is the newest is asked before the
// look-up, so that one that comes in between does not count.
func unknownNameError(newest bool, known *verdict.Error) *verdict.Error {
	if newest {
		return known
	}
	err := verdict.New(verdict.NotRun, verdict.CodeUnavailable, "this daemon has no configuration yet, or not the newest one")
	return err.WithRetryAfter(verdict.PassingRetryAfter)
}

// authenticate finds the team of the request's bearer key.
func (s *Server) authenticate(ctx *fasthttp.RequestCtx) (*live.Team, *verdict.Error) {
	header := string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization))
	key, ok := strings.CutPrefix(header, bearer)
	if !ok || key == "" {
		return nil, verdict.New(verdict.NotRun, verdict.CodeUnauthorized, "the Authorization header holds no bearer key")
	}
	newest := s.Newest()
	team, ok := s.Directory().TeamByKey(key)
	if !ok {
		return nil, unknownNameError(newest, verdict.New(verdict.NotRun, verdict.CodeUnauthorized, "the bearer key belongs to no team"))
	}
	bound := min(s.MaxBodyBytes, team.MaxBodyBytes)
	if size := len(ctx.PostBody()); size > bound {
		return nil, verdict.New(verdict.NotRun, verdict.CodeTooLarge,
			"the body has %d bytes, larger than the %d that the team may send", size, bound)
	}
	return team, nil
}
