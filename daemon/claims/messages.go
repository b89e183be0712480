package claims

import (
	"context"
	"time"

	"github.com/samphirequay/samphirequay/core/claim"
	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/verdict"
)

// BeginCall requests a claim from the daemon that writes the claim's row. The owner
// of the claim must be the sender.
type BeginCall struct {
	Begin claim.Begin `cbor:"1,keyasint"`
}

// BeginReply answers a BeginCall; one field is set.
type BeginReply struct {
	Claim *claim.Claim `cbor:"1,keyasint,omitempty"`
	// Answer is the stored answer; its body may be in the object store.
	Answer  *claim.Answer `cbor:"2,keyasint,omitempty"`
	Refusal *Refusal      `cbor:"3,keyasint,omitempty"`
}

// Refusal is a verdict.Error as it is sent between daemons.
type Refusal struct {
	Verdict    verdict.Verdict `cbor:"1,keyasint"`
	Code       verdict.Code    `cbor:"2,keyasint"`
	Message    string          `cbor:"3,keyasint"`
	RetryAfter time.Duration   `cbor:"4,keyasint,omitempty"`
}

// FinishCall requests that the writer stores the outcome of a claimed call. The
// owner of the claim must be the sender.
type FinishCall struct {
	Claim   claim.Claim   `cbor:"1,keyasint"`
	Outcome claim.Outcome `cbor:"2,keyasint"`
}

// FinishReply reports whether the outcome is stored.
type FinishReply struct {
	Stored bool `cbor:"1,keyasint"`
}

// Writers sends calls to the daemons that write claims. Each call is sent once. An
// error with the verdict NotRun means that the call was not executed and will not
// be; after any other error it may have been executed or may still be.
type Writers interface {
	Begin(ctx context.Context, to id.Daemon, call *BeginCall) (BeginReply, error)
	Finish(ctx context.Context, to id.Daemon, call *FinishCall) (FinishReply, error)
}

// InProcess implements Writers for daemons that run in one process.
type InProcess struct {
	// From is the calling daemon.
	From id.Daemon
	// Peers are the reachable daemons by name.
	Peers map[id.Daemon]*Claims
}

// Begin implements Writers.
func (p InProcess) Begin(ctx context.Context, to id.Daemon, call *BeginCall) (BeginReply, error) {
	writer, ok := p.Peers[to]
	if !ok {
		return BeginReply{}, verdict.New(verdict.NotRun, verdict.CodeUnavailable, "no daemon %s", to)
	}
	return writer.HandleBegin(ctx, p.From, call), nil
}

// Finish implements Writers.
func (p InProcess) Finish(ctx context.Context, to id.Daemon, call *FinishCall) (FinishReply, error) {
	writer, ok := p.Peers[to]
	if !ok {
		return FinishReply{}, verdict.New(verdict.NotRun, verdict.CodeUnavailable, "no daemon %s", to)
	}
	return writer.HandleFinish(ctx, p.From, call), nil
}

func refusalOf(err *verdict.Error) *Refusal {
	return &Refusal{Verdict: err.Verdict, Code: err.Code, Message: err.Message, RetryAfter: err.RetryAfter}
}

// asError converts a refusal to an error. An invalid verdict becomes MayHaveRun,
// since it does not exclude that the call has run.
func (r *Refusal) asError() *verdict.Error {
	v := r.Verdict
	if v < verdict.NotRun || v > verdict.Ran {
		v = verdict.MayHaveRun
	}
	return verdict.New(v, r.Code, "%s", r.Message).WithRetryAfter(r.RetryAfter)
}
