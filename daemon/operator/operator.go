// Package operator serves the operators' HTTP interface: changes to the live
// configuration, history, status and explanations.
package operator

import (
	"context"
	"encoding/json"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/samphirequay/samphirequay/core/live"
	"github.com/samphirequay/samphirequay/core/revision"
	"github.com/samphirequay/samphirequay/core/verdict"
	"github.com/samphirequay/samphirequay/daemon/httpjson"
	"github.com/samphirequay/samphirequay/daemon/keys"
	"github.com/samphirequay/samphirequay/daemon/opapi"
)

const (
	bearer         = "Bearer "
	maxChangeBytes = 4 << 20
	maxHistory     = 500 // changes in one answer
	changeTimeout  = 8 * time.Second
	readTimeout    = 10 * time.Second
	maxConns       = 256
)

// Operations is the part of the daemon that carries out the operators' requests.
type Operations interface {
	// Propose proposes a change and waits for its outcome; resent is set if the
	// change may have been proposed before.
	Propose(ctx context.Context, c revision.Change, resent bool) revision.Outcome
	// DocumentAt returns the configuration at a revision, or false if the daemon
	// does not keep that revision.
	DocumentAt(rev uint64) (*live.Document, bool)
	// Document returns the current configuration.
	Document() *live.Document
	History(after uint64, limit int) []revision.Record
	Status() opapi.Status
	Explain(kind, id string) opapi.Explanation
	Quarantine() opapi.QuarantineList
	// BeginStop begins a planned stop of this daemon.
	BeginStop()
}

// Server serves the operators' HTTP interface.
type Server struct {
	backing Operations
	hashes  []string
	log     func(event string, kv ...any)
	http    *fasthttp.Server
}

// New returns a Server that is not yet listening. hashes are the hashes of the
// operators' keys.
func New(b Operations, hashes []string, log func(event string, kv ...any)) *Server {
	s := &Server{backing: b, hashes: hashes, log: log}
	s.http = &fasthttp.Server{
		Handler:               s.handle,
		MaxRequestBodySize:    maxChangeBytes,
		Concurrency:           maxConns,
		ReadTimeout:           readTimeout,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
	}
	return s
}

// Serve accepts connections until the server is shut down.
func (s *Server) Serve(ln net.Listener) error { return s.http.Serve(ln) }

// Shutdown stops accepting connections and waits, until ctx ends, for open
// requests.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.ShutdownWithContext(ctx) }

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	if !s.authorized(ctx) {
		fail(ctx, fasthttp.StatusUnauthorized, verdict.New(verdict.NotRun, verdict.CodeUnauthorized, "no valid operator key"))
		return
	}
	route := string(ctx.Method()) + " " + string(ctx.Path())
	switch route {
	case "POST " + opapi.PathChanges:
		s.change(ctx)
	case "GET " + opapi.PathConfig:
		s.config(ctx)
	case "GET " + opapi.PathHistory:
		s.history(ctx)
	case "GET " + opapi.PathStatus:
		answer(ctx, s.backing.Status())
	case "GET " + opapi.PathExplain:
		s.explain(ctx)
	case "GET " + opapi.PathQuarantine:
		answer(ctx, s.backing.Quarantine())
	case "POST " + opapi.PathStop:
		s.log("stop_ordered")
		s.backing.BeginStop()
		answer(ctx, struct{}{})
	default:
		fail(ctx, fasthttp.StatusNotFound, verdict.New(verdict.NotRun, verdict.CodeBadRequest, "no such operation: %s", route))
	}
}

func (s *Server) authorized(ctx *fasthttp.RequestCtx) bool {
	key, ok := strings.CutPrefix(string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization)), bearer)
	return ok && keys.Matches(key, s.hashes)
}

func (s *Server) change(ctx *fasthttp.RequestCtx) {
	var req opapi.ChangeRequest
	if err := json.Unmarshal(ctx.PostBody(), &req); err != nil {
		fail(ctx, fasthttp.StatusBadRequest, verdict.New(verdict.NotRun, verdict.CodeBadRequest, "the body is no change: %v", err))
		return
	}
	call, cancel := context.WithTimeout(context.Background(), changeTimeout)
	defer cancel()
	outcome := s.backing.Propose(call, revision.Change{
		ID:     req.ID,
		Author: req.Author,
		Expect: req.Expect,
		At:     time.Now(),
		Ops:    req.Ops,
	}, string(ctx.Request.Header.Peek(opapi.HeaderResent)) == "true")
	if outcome.Result == revision.Accepted {
		answer(ctx, opapi.ChangeAnswer{ID: req.ID, Revision: outcome.Revision})
		return
	}
	status, err := refusal(req, outcome)
	fail(ctx, status, err)
}

// refusal converts an outcome other than Accepted to a status and an error.
func refusal(req opapi.ChangeRequest, o revision.Outcome) (int, *verdict.Error) {
	switch o.Result {
	case revision.Conflict:
		return fasthttp.StatusConflict, verdict.New(verdict.NotRun, verdict.CodeConflict, "%s", conflictText(req, o))
	case revision.Rejected:
		return fasthttp.StatusUnprocessableEntity, verdict.New(verdict.NotRun, verdict.CodeBadRequest, "%s", faultText(o.Faults))
	case revision.Unavailable:
		err := verdict.New(verdict.NotRun, verdict.CodeUnavailable, "the table service can't be reached; nothing was changed")
		return fasthttp.StatusServiceUnavailable, err.WithRetryAfter(time.Second)
	default:
		err := verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable,
			"it is not known whether change %s was accepted; send it again under the same id", req.ID)
		return fasthttp.StatusServiceUnavailable, err.WithRetryAfter(time.Second)
	}
}

func conflictText(req opapi.ChangeRequest, o revision.Outcome) string {
	text := "change " + req.ID + " was made against revision " + strconv.FormatUint(req.Expect, 10) +
		", the configuration is at " + strconv.FormatUint(o.Revision, 10)
	for _, r := range o.Conflicts {
		text += "; revision " + strconv.FormatUint(r.Revision, 10) + " by " + r.Author + " (change " + r.ID + ")"
		if len(r.Overlap) > 0 {
			text += " touches " + strings.Join(r.Overlap, ", ")
		}
	}
	return text
}

func faultText(faults []live.Fault) string {
	parts := make([]string, 0, len(faults))
	for _, f := range faults {
		parts = append(parts, f.Error())
	}
	return strings.Join(parts, "; ")
}

func (s *Server) config(ctx *fasthttp.RequestCtx) {
	wanted := ctx.QueryArgs().Peek("revision")
	if len(wanted) == 0 {
		answer(ctx, s.backing.Document())
		return
	}
	rev, err := strconv.ParseUint(string(wanted), 10, 64)
	if err != nil {
		fail(ctx, fasthttp.StatusBadRequest, verdict.New(verdict.NotRun, verdict.CodeBadRequest, "revision is no number: %q", wanted))
		return
	}
	doc, ok := s.backing.DocumentAt(rev)
	if !ok {
		fail(ctx, fasthttp.StatusNotFound, verdict.New(verdict.NotRun, verdict.CodeBadRequest, "revision %d is not kept here", rev))
		return
	}
	answer(ctx, doc)
}

func (s *Server) history(ctx *fasthttp.RequestCtx) {
	after, _ := strconv.ParseUint(string(ctx.QueryArgs().Peek("after")), 10, 64)
	limit, err := strconv.Atoi(string(ctx.QueryArgs().Peek("limit")))
	if err != nil || limit < 1 || limit > maxHistory {
		limit = maxHistory
	}
	history := opapi.History{Entries: []opapi.HistoryEntry{}}
	for _, r := range s.backing.History(after, limit) {
		history.Entries = append(history.Entries, opapi.HistoryEntry{
			ID:       r.Change.ID,
			Revision: r.Revision,
			Author:   r.Change.Author,
			At:       r.Change.At,
			Ops:      r.Change.Ops,
		})
	}
	answer(ctx, history)
}

func (s *Server) explain(ctx *fasthttp.RequestCtx) {
	kind := string(ctx.QueryArgs().Peek("kind"))
	name := string(ctx.QueryArgs().Peek("id"))
	if kind == "" || name == "" {
		fail(ctx, fasthttp.StatusBadRequest, verdict.New(verdict.NotRun, verdict.CodeBadRequest, "explain needs kind and id"))
		return
	}
	answer(ctx, s.backing.Explain(kind, name))
}

func answer(ctx *fasthttp.RequestCtx, body any) { httpjson.Write(ctx, fasthttp.StatusOK, body) }

func fail(ctx *fasthttp.RequestCtx, status int, err *verdict.Error) {
	httpjson.WriteError(ctx, status, err, "")
}
