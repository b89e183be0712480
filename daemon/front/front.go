// Package front is the first stage of the request pipeline: it accepts callers'
// HTTP requests, authenticates and classifies them, passes them to the next stages
// and writes the answers and errors.
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
	"github.com/samphirequay/samphirequay/daemon/callerconn"
	"github.com/samphirequay/samphirequay/daemon/completion"
	"github.com/samphirequay/samphirequay/daemon/hangup"
	"github.com/samphirequay/samphirequay/daemon/httpjson"
	"github.com/samphirequay/samphirequay/daemon/metrics"
	"github.com/samphirequay/samphirequay/daemon/opapi"
	"github.com/samphirequay/samphirequay/daemon/plaincall"
)

const (
	// readTimeout bounds the reading of one request, so that a slow sender
	// does not occupy a connection forever.
	readTimeout = 30 * time.Second
	// idleTimeout is how long an idle keep-alive connection is kept open.
	idleTimeout = 60 * time.Second
	// maxBodyOverrun is by how many bytes a body may exceed the limit and still be
	// read, so that its sender gets an answer and not a broken connection.
	maxBodyOverrun = 4 << 20
	// Connections over the limit are accepted so that their requests are refused
	// with a code, a verdict and a retry delay, which the HTTP library's own
	// refusal lacks. Their number is the limit divided by overLimitDivisor, but at
	// least minOverLimit; the library refuses any further ones.
	overLimitDivisor = 8
	minOverLimit     = 16
	// bearer is the prefix of the Authorization header.
	bearer = "Bearer "
)

// Completions serves requests to model services.
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

// Deps are the dependencies and settings of a Server.
type Deps struct {
	Self id.Process
	// Directory returns the index of the configuration in force.
	Directory func() *live.Index
	// Newest reports whether a configuration is in force and no later one is known.
	Newest      func() bool
	Completions Completions
	PlainCalls  PlainCalls
	Tokens      Tokens
	Watcher     *hangup.Watcher
	Metrics     *metrics.Registry
	// Entry returns the entry answer: the addresses that a caller should use.
	Entry func() opapi.EntryAnswer
	// Ready reports whether the daemon accepts requests, and the reason if not.
	Ready func() (bool, string)
	// Log logs each request that is refused before it has an id.
	Log func(event string, kv ...any)
	// Logger receives the messages of the HTTP library.
	Logger fasthttp.Logger
	// OnRequest is called for each request to a service.
	OnRequest func()
	// Now returns the time since the daemon's start.
	Now func() time.Duration
	// NewID returns a new request id.
	NewID func() id.Request
	// MaxBodyBytes is the largest body of any request.
	MaxBodyBytes int
	// MaxConns is the limit on the callers' connections. OverLimit reports whether
	// a connection was accepted over it or over the limit by IP address.
	MaxConns  int
	OverLimit func(conn net.Conn) bool
}

// Server serves callers.
type Server struct {
	Deps
	http  *fasthttp.Server
	stats stats
	// answers counts the requests whose answer has not been written whole.
	answers callerconn.Answers
	// baseCtx is the parent of all requests' contexts; Kill cancels it.
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
		ConnState:             s.answers.State,
		Name:                  "samphirequay",
		MaxRequestBodySize:    d.MaxBodyBytes + maxBodyOverrun,
		Concurrency:           d.MaxConns + max(minOverLimit, d.MaxConns/overLimitDivisor),
		ReadTimeout:           readTimeout,
		IdleTimeout:           idleTimeout,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
		Logger:                d.Logger,
		// No WriteTimeout, since answers are streamed: a caller that stops
		// reading is detected when the buffer of its stream stays full.
	}
	return s
}

// Serve accepts connections until the server is shut down.
func (s *Server) Serve(ln net.Listener) error { return s.http.Serve(ln) }

// Shutdown stops accepting connections and waits for the requests in flight.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.ShutdownWithContext(ctx) }

// Kill cancels all requests at once.
func (s *Server) Kill() { s.cancelBase() }

// TeamStatus returns the counts of a team's requests at this daemon.
func (s *Server) TeamStatus(team id.Team) opapi.TeamStatus {
	return opapi.TeamStatus{
		Team:     team,
		InFlight: int(s.stats.teamInFlight.Value(string(team))),
		Answered: uint64(s.stats.answered.Value(string(team))),
		Refused:  uint64(s.stats.teamRefused.Value(string(team))),
	}
}

// InFlight returns how many requests are being served.
func (s *Server) InFlight() int { return int(s.stats.inFlight.Value()) }

// Owed returns how many requests wait for their answer, or for the rest of it: more than
// InFlight, since a caller may read slowly what has been served.
func (s *Server) Owed() int { return s.answers.Owed() }

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	s.answers.Owe(ctx.Conn())
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

// refuseConn refuses a request on a connection over the limit and closes the
// connection.
func (s *Server) refuseConn(ctx *fasthttp.RequestCtx) {
	ctx.SetConnectionClose()
	err := verdict.New(verdict.NotRun, verdict.CodeOverloaded, "this daemon has as many connections as it takes")
	s.reject(ctx, err.WithRetryAfter(verdict.TransientRetryAfter))
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

// maxEchoBytes bounds how much of a caller's input an error or a log line repeats.
const maxEchoBytes = 64

// service finds a service that the team may use. The error contains the name that
// the caller sent.
func (s *Server) service(team *live.Team, name string) (*live.Service, *verdict.Error) {
	newest := s.Newest()
	svc, err := s.Directory().ServiceFor(team, id.Service(name))
	if err == nil {
		return svc, nil
	}
	withName := *err
	withName.Message = fmt.Sprintf("%s: %.*q", err.Message, maxEchoBytes, name)
	return nil, unknownNameError(newest, &withName)
}

// unknownNameError returns the refusal for a key or service that the configuration
// in force lacks. With the newest configuration that is the permanent refusal.
// Otherwise, a newer one may contain the name, and the caller should retry: a
// daemon that had just started permanently refused valid keys. Callers must get
// newest before the look-up, so that a configuration that arrives in between does
// not make an outdated result permanent.
func unknownNameError(newest bool, permanent *verdict.Error) *verdict.Error {
	if newest {
		return permanent
	}
	err := verdict.New(verdict.NotRun, verdict.CodeUnavailable, "this daemon has no configuration yet, or not the newest one")
	return err.WithRetryAfter(verdict.TransientRetryAfter)
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
	limit := min(s.MaxBodyBytes, team.MaxBodyBytes)
	if size := len(ctx.PostBody()); size > limit {
		return nil, verdict.New(verdict.NotRun, verdict.CodeTooLarge,
			"the body has %d bytes, larger than the %d that the team may send", size, limit)
	}
	return team, nil
}
