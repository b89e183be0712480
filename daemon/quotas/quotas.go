// Package quotas is the duty that holds teams to their limits over all daemons.
// For each team one daemon, the keeper, has an account (core/quota); the keeper
// is the owner of a pool, to which all daemons are connected anyway. A request
// is charged before it is sent: a large one waits for the keeper's word, a small
// one is paid ahead and settled a little later.
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

// DefaultKey is what the keeper is chosen by until SetKey, and where there are
// no pools.
const DefaultKey = "quotas"

const (
	// settleEvery is how long what was paid ahead waits to be settled with the
	// keeper, together with what comes meanwhile.
	settleEvery = 500 * time.Millisecond
	// lookEvery is the time between two counts of the daemons.
	countEvery = 250 * time.Millisecond
	// askAgain is how long an answer may take before the question is sent again:
	// the keeper may have changed, or the message is lost.
	resendAfter = 150 * time.Millisecond
	// mostAsked bounds the requests that wait for the keeper.
	maxPending = 4096
	// ringSize bounds the work that waits for the duty.
	ringSize = 1024
)

// Fleet is what the duty must know of the other daemons.
type Fleet struct {
	// Daemons is how many may be at work, Reached how many of them are heard.
	Daemons, Reached int
}

// Count counts the daemons of a membership's view.
func Count(entries []member.Entry) Fleet {
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
	// Send sends a message to another daemon without waiting. What is lost is
	// asked again.
	Send func(to id.Daemon, e *Envelope) error
	// Limit is a team's by the configuration in force here.
	Limit func(team id.Team) (quota.Limit, bool)
	// Tolerance is by how much limits may be exceeded.
	Tolerance quota.Tolerance
	// Fleet counts the daemons.
	Fleet   func() Fleet
	Log     func(event string, kv ...any)
	Metrics *metrics.Registry
	Now     func() time.Duration
	// Ready holds the duty back until it is closed.
	Ready <-chan struct{}
}

// Quotas is the running duty.
type Quotas struct {
	cfg  Config
	duty *duty.Duty

	// key is what the keeper is chosen by among the members.
	key     string
	members []id.Daemon
	keeper  id.Daemon
	ledger  *quota.Ledger
	purse   *quota.Purse
	// share is the part of the limits that this daemon may grant as the keeper.
	share   float64
	pending map[uint64]*pendingCharge
	seq     atomic.Uint64
	// answered are the last answers that this daemon gave as the keeper.
	answered *simplelru.LRU[requestKey, *ChargeReply]
	// owes is set while something was paid ahead, settleAt is when it is settled.
	hasDebts bool
	settleAt time.Duration
	// lookAt is when the daemons are counted next.
	nextCount time.Duration

	accounts   *metrics.Gauge
	refusals   *metrics.Counter
	unanswered *metrics.Counter
}

// asked is a request that waits for the keeper.
type pendingCharge struct {
	ask    ChargeRequest
	sentAt time.Duration
	answer chan<- ChargeReply
}

// New returns a Quotas whose duty is running.
func New(cfg Config) *Quotas {
	answered, err := simplelru.NewLRU[requestKey, *ChargeReply](maxAnswered, nil)
	if err != nil {
		panic("quotas: memory of answers: " + err.Error())
	}
	q := &Quotas{
		answered:   answered,
		cfg:        cfg,
		key:        DefaultKey,
		ledger:     quota.NewLedger(cfg.Tolerance),
		purse:      quota.NewPurse(),
		pending:    map[uint64]*pendingCharge{},
		refusals:   cfg.Metrics.Counter("quota_refusals", metrics.UnitCount, "Requests that were refused since their team is at its limit."),
		unanswered: cfg.Metrics.Counter("quota_keeper_silent", metrics.UnitCount, "Requests that were refused since the keeper of their team's account did not answer."),
	}
	q.accounts = cfg.Metrics.Gauge("quota_accounts", metrics.UnitCount, "Accounts of teams that this daemon keeps.")
	// A daemon that starts again must not go on with the numbers that it had.
	q.seq.Store(rand.Uint64())
	q.duty = duty.Start(duty.Config{Name: "quotas", Ring: ringSize, Now: cfg.Now, Tick: q.tick, Metrics: cfg.Metrics, Ready: cfg.Ready})
	return q
}

// Close ends the duty.
func (q *Quotas) Close() { q.duty.Close() }

// SetMembers takes the daemons that the keeper is chosen among.
func (q *Quotas) SetMembers(members []id.Daemon) {
	q.duty.Post(func(now time.Duration) {
		q.members = members
		q.chooseKeeper(now)
	})
}

// SetKey takes what the keeper is chosen by: the owner of the pool of that name
// keeps the accounts.
func (q *Quotas) SetKey(key string) {
	q.duty.Post(func(now time.Duration) {
		q.key = key
		// A new configuration may have raised limits.
		q.purse.Open()
		q.chooseKeeper(now)
	})
}

// choose finds the keeper. One that has changed is asked again what waits.
func (q *Quotas) chooseKeeper(now time.Duration) {
	keeper := rendezvous.Owner(q.key, q.members)
	if keeper == q.keeper {
		return
	}
	q.cfg.Log("quota_keeper_changed", "keeper", keeper, "before", q.keeper, "accounts", q.ledger.Len())
	q.keeper = keeper
	// What other keepers grant meanwhile is not known here.
	q.ledger = quota.NewLedger(q.cfg.Tolerance)
	q.purse.Open()
	for _, a := range q.pending {
		q.sendRequest(now, a)
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
	for _, a := range q.pending {
		if now-a.sentAt >= resendAfter {
			q.sendRequest(now, a)
		}
		next = min(next, a.sentAt+resendAfter)
	}
	return next
}

// look takes how many daemons there are, now and then: only while there are
// requests.
func (q *Quotas) refreshFleet(now time.Duration) {
	if now < q.nextCount {
		return
	}
	q.nextCount = now + countEvery
	f := q.cfg.Fleet()
	daemons := float64(max(1, f.Daemons))
	q.share = min(1, float64(max(1, f.Reached))/daemons)
	q.purse.SetAhead(q.cfg.Tolerance.Ahead(f.Daemons))
	q.accounts.Set(float64(q.ledger.Len()))
}

// settle tells the keeper what was spent ahead.
func (q *Quotas) settle(now time.Duration) {
	if q.keeper == "" {
		q.settleAt = now + settleEvery
		return
	}
	q.hasDebts = false
	debts := q.purse.Settle(now)
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

// ask asks the keeper, or answers where that is this daemon.
func (q *Quotas) sendRequest(now time.Duration, a *pendingCharge) {
	a.sentAt = now
	switch q.keeper {
	case "":
	case q.cfg.Self:
		q.handleReply(now, q.decide(now, &a.ask))
	default:
		// What can't be sent is asked again.
		_ = q.cfg.Send(q.keeper, &Envelope{Charge: &a.ask})
	}
}

// Receive takes a message from another daemon.
func (q *Quotas) Receive(from id.Daemon, e *Envelope) {
	q.duty.Post(func(now time.Duration) { q.handle(now, from, e) })
}

func (q *Quotas) handle(now time.Duration, from id.Daemon, e *Envelope) {
	switch {
	case e.Charge != nil:
		q.reply(from, &Envelope{Reply: q.decideOnce(now, from, e.Charge)})
	case e.Settlement != nil:
		if shut := q.chargeDebts(now, e.Settlement); len(shut.Teams) > 0 {
			q.reply(from, &Envelope{DebtNotice: shut})
		}
	case e.Refund != nil:
		q.refund(now, e.Refund)
	case e.Reply != nil:
		q.handleReply(now, e.Reply)
	case e.DebtNotice != nil:
		q.handleDebtNotice(now, e.DebtNotice)
	}
}

// takeReply hands the keeper's word to the request that waits for it.
func (q *Quotas) handleReply(now time.Duration, r *ChargeReply) {
	a := q.pending[r.Seq]
	if a == nil {
		return
	}
	delete(q.pending, r.Seq)
	if !r.Granted {
		q.purse.Shut(now, a.ask.Team, quota.Refusal{Wait: r.Wait, Back: r.RetryAfter})
	}
	answer := *r
	answer.keeper = q.keeper
	a.answer <- answer
}

func (q *Quotas) handleDebtNotice(now time.Duration, s *DebtNotice) {
	for _, t := range s.Teams {
		q.purse.Shut(now, t.Team, quota.Refusal{Wait: t.Wait, Back: t.Wait})
	}
}
