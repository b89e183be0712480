package app

import (
	"context"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/live"
	"github.com/samphirequay/samphirequay/core/prefixhash"
	"github.com/samphirequay/samphirequay/core/quota"
	"github.com/samphirequay/samphirequay/core/verdict"
	"github.com/samphirequay/samphirequay/daemon/completion"
	"github.com/samphirequay/samphirequay/daemon/front"
	"github.com/samphirequay/samphirequay/daemon/plaincall"
	"github.com/samphirequay/samphirequay/daemon/quotas"
)

const (
	// limitWindow and limitOvershoot are the tolerance of the teams' limits: within
	// any ten seconds, a limit may be exceeded by a tenth.
	limitWindow    = 10 * time.Second
	limitOvershoot = 0.1
	// chargeTimeout bounds the wait for the daemon that keeps a team's account.
	chargeTimeout = time.Second
)

// newQuotas starts the component that enforces the teams' limits.
func (d *Daemon) newQuotas() *quotas.Quotas {
	return quotas.New(quotas.Config{
		Self:      d.self.Daemon,
		Send:      d.peerSender().SendQuota,
		Limit:     d.limitOf,
		Tolerance: quota.Tolerance{Window: limitWindow, Overshoot: limitOvershoot},
		Fleet:     d.countFleet,
		Log:       d.logger.Event,
		Metrics:   d.metrics,
		Now:       d.now,
		Ready:     d.started,
	})
}

// limitOf returns a team's limit in the configuration in force.
func (d *Daemon) limitOf(name id.Team) (quota.Limit, bool) {
	team, ok := d.configs.Index().Team(name)
	if !ok {
		return quota.Limit{}, false
	}
	return team.Limit(), true
}

// countFleet counts the daemons that are not dead, and those of them that are
// reachable.
func (d *Daemon) countFleet() quotas.Fleet { return quotas.CountFleet(d.members.Entries()) }

// limitedCompletions enforces the teams' limits on completions.
type limitedCompletions struct {
	next   front.Completions
	quotas *quotas.Quotas
}

// Run implements front.Completions. A resumed answer is not charged again.
func (l limitedCompletions) Run(ctx context.Context, job *completion.Job, sink completion.Sink) *verdict.Error {
	if job.Resume != nil {
		return l.next.Run(ctx, job, sink)
	}
	size := quota.Size{Known: true, Prompt: prefixhash.EstimateTokens(job.Prompt), Output: job.MaxTokens}
	refund, err := charge(ctx, l.quotas, job.Team, size)
	if err != nil {
		return err
	}
	err = l.next.Run(ctx, job, sink)
	refund(err)
	return err
}

// limitedCalls enforces the teams' limits on plain calls.
type limitedCalls struct {
	next   front.PlainCalls
	quotas *quotas.Quotas
}

// Run implements front.PlainCalls.
func (l limitedCalls) Run(ctx context.Context, call *plaincall.Call) (*plaincall.Answer, *verdict.Error) {
	refund, err := charge(ctx, l.quotas, call.Team, quota.Size{})
	if err != nil {
		return nil, err
	}
	answer, err := l.next.Run(ctx, call)
	refund(err)
	return answer, err
}

// charge charges a request to its team. The caller passes the request's result to
// refund, which returns the charge if the request did not run.
func charge(ctx context.Context, q *quotas.Quotas, team *live.Team, size quota.Size) (refund func(*verdict.Error), err *verdict.Error) {
	limit := team.Limit()
	if !limit.Limited() {
		return func(*verdict.Error) {}, nil
	}
	cost := limit.Cost(size)
	if err := q.Charge(ctx, team.Name, limit, cost, chargeTimeout); err != nil {
		return nil, err
	}
	return func(err *verdict.Error) {
		if err != nil && err.Verdict == verdict.NotRun {
			q.Refund(team.Name, cost)
		}
	}, nil
}
