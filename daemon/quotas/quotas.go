// Package quotas enforces the limits of teams over all daemons together. One daemon,
// the keeper, has an account for each team (core/quota). The keeper is the owner of a
// pool, to which all daemons are connected anyway. A request is charged before it is
// sent: a large request waits for the keeper's reply, a small one is charged locally in
// advance and settled with the keeper a little later.
package quotas

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/member"
	"github.com/samphirequay/samphirequay/core/quota"
	"github.com/samphirequay/samphirequay/core/rendezvous"
	"github.com/samphirequay/samphirequay/daemon/duty"
	"github.com/samphirequay/samphirequay/daemon/metrics"
)

// DefaultKey is the key by which the keeper is chosen until SetKey is called, and if
// there are no pools.
const DefaultKey = "quotas"

const (
	// settleEvery is the interval of settlements with the keeper. A settlement covers
	// everything that was spent in advance since the last one.
	settleEvery = 500 * time.Millisecond
	// countEvery is the minimum time between two counts of the daemons.
	countEvery = 250 * time.Millisecond
	// resendAfter is how long a reply may take before the request is sent again: the
	// keeper may have changed, or the message may be lost.
	resendAfter = 150 * time.Millisecond
	// maxPending bounds the requests that wait for the keeper.
	maxPending = 4096
	// ringSize bounds the work that is queued for the duty.
	ringSize = 1024
)

// Fleet counts the daemons.
type Fleet struct {
	// Daemons is how many may be running, Reached how many of them are reachable.
	Daemons, Reached int
}

// CountFleet counts the daemons of a membership's view.
func CountFleet(entries []member.Entry) Fleet {
	out := Fleet{}
	for _, e := range entries {
		if e.State == member.Dead {
			continue
		}
		out.Daemons++
		if e.State == member.Alive || e.State == member.Leaving {
			out.Reached++
		}
	}
	return out
}

// Config of a Quotas.
type Config struct {
	Self id.Daemon
	// Send sends a message to another daemon without waiting. Requests that are lost
	// are sent again.
	Send func(to id.Daemon, e *Envelope) error
	// Limit returns a team's limit in this daemon's configuration.
	Limit func(team id.Team) (quota.Limit, bool)
	// Tolerance is by how much limits may be exceeded.
	Tolerance quota.Tolerance
	// Fleet returns the current counts of daemons.
	Fleet   func() Fleet
	Log     func(event string, kv ...any)
	Metrics *metrics.Registry
	Now     func() time.Duration
	// Ready delays the start of the duty until it is closed.
	Ready <-chan struct{}
}

// Quotas is the running duty.
type Quotas struct {
	cfg  Config
	duty *duty.Duty

	// key is the key by which the keeper is chosen among the members.
	key     string
	members []id.Daemon
	keeper  id.Daemon
	ledger  *quota.Ledger
	budget  *quota.LocalBudget
	// share is the fraction of the limits that this daemon may grant as the keeper.
	share   float64
	pending map[uint64]*pendingCharge
	seq     atomic.Uint64
	// answered caches the last replies that this daemon sent as the keeper.
	answered *simplelru.LRU[requestKey, *ChargeReply]
	// hasDebts is set while something was spent in advance; settleAt is when it is
	// settled.
	hasDebts bool
	settleAt time.Duration
	// nextCount is when the daemons are counted next.
	nextCount time.Duration

	accounts   *metrics.Gauge
	refusals   *metrics.Counter
	unanswered *metrics.Counter
}

// pendingCharge is a request that waits for the keeper.
type pendingCharge struct {
	request ChargeRequest
	sentAt  time.Duration
	answer  chan<- ChargeReply
}

// New returns a Quotas and starts its duty.
func New(cfg Config) *Quotas {
	answered, err := simplelru.NewLRU[requestKey, *ChargeReply](maxAnswered, nil)
	if err != nil {
		panic("quotas: cache of replies: " + err.Error())
	}
	q := &Quotas{
		answered:   answered,
		cfg:        cfg,
		key:        DefaultKey,
		ledger:     quota.NewLedger(cfg.Tolerance),
		budget:     quota.NewLocalBudget(),
		pending:    map[uint64]*pendingCharge{},
		refusals:   cfg.Metrics.Counter("quota_refusals", metrics.UnitCount, "Requests that were refused since their team is at its limit."),
		unanswered: cfg.Metrics.Counter("quota_keeper_silent", metrics.UnitCount, "Requests that were refused since the keeper of their team's account did not answer."),
	}
	q.accounts = cfg.Metrics.Gauge("quota_accounts", metrics.UnitCount, "Accounts of teams that this daemon keeps.")
	// After a restart, the daemon must not reuse sequence numbers: the keeper may have
	// cached replies to them.
	q.seq.Store(rand.Uint64())
	q.duty = duty.Start(duty.Config{Name: "quotas", Ring: ringSize, Now: cfg.Now, Tick: q.tick, Metrics: cfg.Metrics, Ready: cfg.Ready})
	return q
}

// Close stops the duty.
func (q *Quotas) Close() { q.duty.Close() }

// SetMembers sets the daemons among which the keeper is chosen.
func (q *Quotas) SetMembers(members []id.Daemon) {
	q.duty.Post(func(now time.Duration) {
		q.members = members
		q.chooseKeeper(now)
	})
}

// SetKey sets the key by which the keeper is chosen. With the name of a pool as the
// key, the owner of that pool keeps the accounts.
func (q *Quotas) SetKey(key string) {
	q.duty.Post(func(now time.Duration) {
		q.key = key
		// A new configuration may have raised limits.
		q.budget.ClearRefusals()
		q.chooseKeeper(now)
	})
}

// chooseKeeper determines the keeper. It sends pending requests to a new keeper.
func (q *Quotas) chooseKeeper(now time.Duration) {
	keeper := rendezvous.Owner(q.key, q.members)
	if keeper == q.keeper {
		return
	}
	q.cfg.Log("quota_keeper_changed", "keeper", keeper, "before", q.keeper, "accounts", q.ledger.Len())
	q.keeper = keeper
	// The accounts here are outdated once other keepers have granted requests.
	q.ledger = quota.NewLedger(q.cfg.Tolerance)
	q.budget.ClearRefusals()
	for _, p := range q.pending {
		q.sendRequest(now, p)
	}
}

func (q *Quotas) tick(now time.Duration) time.Duration {
	if q.hasDebts && now >= q.settleAt {
		q.settle(now)
	}
	next := duty.Never
	if q.hasDebts {
		next = q.settleAt
	}
	for _, p := range q.pending {
		if now-p.sentAt >= resendAfter {
			q.sendRequest(now, p)
		}
		next = min(next, p.sentAt+resendAfter)
	}
	return next
}

// refreshFleet updates the counts of daemons if they are due. It is called for
// requests and settlements only, so that an idle daemon does not count.
func (q *Quotas) refreshFleet(now time.Duration) {
	if now < q.nextCount {
		return
	}
	q.nextCount = now + countEvery
	f := q.cfg.Fleet()
	daemons := float64(max(1, f.Daemons))
	q.share = min(1, float64(max(1, f.Reached))/daemons)
	q.budget.SetMaxDebt(q.cfg.Tolerance.MaxDebt(f.Daemons))
	q.accounts.Set(float64(q.ledger.Len()))
}

// settle reports to the keeper what was spent in advance.
func (q *Quotas) settle(now time.Duration) {
	if q.keeper == "" {
		q.settleAt = now + settleEvery
		return
	}
	q.hasDebts = false
	debts := q.budget.Settle(now)
	if len(debts) == 0 {
		return
	}
	settle := &Settlement{Debts: debts}
	if q.keeper == q.cfg.Self {
		q.handleDebtNotice(now, q.chargeDebts(now, settle))
		return
	}
	if err := q.cfg.Send(q.keeper, &Envelope{Settlement: settle}); err != nil {
		q.cfg.Log("quota_not_settled", "keeper", q.keeper, "teams", len(debts), "why", err)
	}
}

// sendRequest sends a request to the keeper, or decides it if this daemon is the
// keeper.
func (q *Quotas) sendRequest(now time.Duration, p *pendingCharge) {
	p.sentAt = now
	switch q.keeper {
	case "":
	case q.cfg.Self:
		q.handleReply(now, q.decide(now, &p.request))
	default:
		// A request that can't be sent is sent again after resendAfter.
		_ = q.cfg.Send(q.keeper, &Envelope{Charge: &p.request})
	}
}

// Receive handles a message from another daemon.
func (q *Quotas) Receive(from id.Daemon, e *Envelope) {
	q.duty.Post(func(now time.Duration) { q.handle(now, from, e) })
}

func (q *Quotas) handle(now time.Duration, from id.Daemon, e *Envelope) {
	switch {
	case e.Charge != nil:
		q.reply(from, &Envelope{Reply: q.decideOnce(now, from, e.Charge)})
	case e.Settlement != nil:
		if notice := q.chargeDebts(now, e.Settlement); len(notice.Teams) > 0 {
			q.reply(from, &Envelope{DebtNotice: notice})
		}
	case e.Refund != nil:
		q.refund(now, e.Refund)
	case e.Reply != nil:
		q.handleReply(now, e.Reply)
	case e.DebtNotice != nil:
		q.handleDebtNotice(now, e.DebtNotice)
	}
}

// handleReply passes the keeper's reply to the request that waits for it.
func (q *Quotas) handleReply(now time.Duration, r *ChargeReply) {
	p := q.pending[r.Seq]
	if p == nil {
		return
	}
	delete(q.pending, r.Seq)
	if !r.Granted {
		q.budget.RefuseFor(now, p.request.Team, quota.Refusal{Wait: r.Wait, RetryAfter: r.RetryAfter})
	}
	answer := *r
	answer.keeper = q.keeper
	p.answer <- answer
}

func (q *Quotas) handleDebtNotice(now time.Duration, s *DebtNotice) {
	for _, t := range s.Teams {
		q.budget.RefuseFor(now, t.Team, quota.Refusal{Wait: t.Wait, RetryAfter: t.Wait})
	}
}
