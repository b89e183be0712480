// Package configs maintains the live configuration. Its duty follows the accepted
// changes in the store and at peers, and proposes the changes of operators.
package configs

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/live"
	"github.com/samphirequay/samphirequay/core/revision"
	"github.com/samphirequay/samphirequay/core/revision/table"
	"github.com/samphirequay/samphirequay/daemon/duty"
	"github.com/samphirequay/samphirequay/daemon/metrics"
	"github.com/samphirequay/samphirequay/daemon/store"
)

// proposalTickInterval is the interval between ticks of a running proposal.
const proposalTickInterval = 10 * time.Millisecond

// Peers fetches accepted changes from another daemon.
type Peers interface {
	// FetchConfig blocks until the reply arrives or ctx ends.
	FetchConfig(ctx context.Context, q revision.Fetch) (revision.FetchReply, error)
}

// Config holds the settings and dependencies of a Configs.
type Config struct {
	Store   *store.Store
	Peers   Peers
	Metrics *metrics.Registry
	// Installed is called within the duty for each newer configuration.
	Installed func(x *live.Index, from uint64)
	// Replicate sends an accepted change to some peers before the operator gets the
	// result: if this daemon terminates then and the store is unavailable, the change
	// is still in force. It blocks for a bounded time.
	Replicate func(context.Context, revision.Record)
	// Log writes one line per event.
	Log func(event string, kv ...any)
	// Violation reports a broken invariant.
	Violation func(name, detail string)
	Now       func() time.Duration
	Rand      *rand.Rand
	Follower  revision.FollowerConfig
	// Ready delays the start of the duty until it is closed.
	Ready <-chan struct{}
}

// Configs is the running duty.
type Configs struct {
	cfg      Config
	duty     *duty.Duty
	follower *revision.Follower
	index    atomic.Pointer[live.Index]
	ready    atomic.Bool
	newest   atomic.Bool
	storeUp  atomic.Bool
	revision *metrics.Gauge
}

// Start starts the duty.
func Start(cfg Config) *Configs {
	c := &Configs{
		cfg:      cfg,
		follower: revision.NewFollower(cfg.Follower, cfg.Now(), cfg.Rand),
		revision: cfg.Metrics.Gauge("config_revision", metrics.UnitCount, "revision of the configuration in force"),
	}
	c.index.Store(live.NewIndex(&live.Document{}))
	c.duty = duty.Start(duty.Config{Name: "configs", Now: cfg.Now, Tick: c.tick, Metrics: cfg.Metrics, Ready: cfg.Ready})
	return c
}

// Close stops the duty.
func (c *Configs) Close() { c.duty.Close() }

// Index returns the configuration in force.
func (c *Configs) Index() *live.Index { return c.index.Load() }

// Ready reports whether the configuration is recent enough to be used.
func (c *Configs) Ready() bool { return c.ready.Load() }

// Newest reports whether the configuration is ready and no later revision is known.
// While it returns false, names and keys that are missing here may be in force
// elsewhere.
func (c *Configs) Newest() bool { return c.newest.Load() }

// StoreUp reports whether the last read of the store succeeded.
func (c *Configs) StoreUp() bool { return c.storeUp.Load() }

func (c *Configs) tick(now time.Duration) time.Duration {
	c.perform(c.follower.Tick(now))
	c.ready.Store(c.follower.Ready(now))
	c.newest.Store(c.follower.UpToDate(now))
	c.storeUp.Store(c.follower.StoreUp())
	return c.follower.Next()
}

// PeerRevision records the revision that a peer reports.
func (c *Configs) PeerRevision(peer id.Daemon, rev uint64) {
	c.duty.Post(func(now time.Duration) { c.follower.PeerRevision(now, peer, rev) })
}

// PeerGone removes a peer.
func (c *Configs) PeerGone(peer id.Daemon) {
	c.duty.Post(func(time.Duration) { c.follower.PeerGone(peer) })
}

// Serve returns the reply to a peer's fetch; ok is false if the duty is closed.
func (c *Configs) Serve(q revision.Fetch) (revision.FetchReply, bool) {
	var reply revision.FetchReply
	ok := c.duty.Query(func(time.Duration) { reply = c.follower.Serve(q) })
	return reply, ok
}

// History returns accepted changes after a revision.
func (c *Configs) History(after uint64, limit int) []revision.Record {
	var out []revision.Record
	c.duty.Query(func(time.Duration) { out = c.follower.After(after, limit) })
	return out
}

// DocumentAt returns the document of a recent revision, if it is still available.
func (c *Configs) DocumentAt(rev uint64) (*live.Document, bool) {
	var doc *live.Document
	var ok bool
	c.duty.Query(func(time.Duration) { doc, ok = c.follower.DocumentAt(rev) })
	return doc, ok
}

func (c *Configs) perform(actions []revision.FollowerAction) {
	for _, a := range actions {
		switch {
		case a.Request != nil:
			c.read(*a.Request)
		case a.Fetch != nil:
			c.fetch(*a.Fetch)
		case a.Installed != nil:
			c.install(a.Installed)
		case a.Diverged != nil:
			c.cfg.Violation("config_diverged", a.Diverged.Reason)
			c.cfg.Log("config_diverged", "revision", a.Diverged.Revision, "source", a.Diverged.Source, "why", a.Diverged.Reason)
		}
	}
}

func (c *Configs) read(q table.Request) {
	c.cfg.Store.Do(c.duty.Context(), q, func(r table.Reply) {
		c.duty.Post(func(now time.Duration) { c.perform(c.follower.Handle(now, r)) })
	})
}

func (c *Configs) fetch(q revision.Fetch) {
	go func() {
		ctx, cancel := context.WithTimeout(c.duty.Context(), c.cfg.Follower.PeerTimeout)
		defer cancel()
		reply, err := c.cfg.Peers.FetchConfig(ctx, q)
		if err != nil {
			reply = revision.FetchReply{Failed: true}
		}
		reply.Seq = q.Seq
		c.duty.Post(func(now time.Duration) { c.perform(c.follower.HandlePeer(now, reply)) })
	}()
}

func (c *Configs) install(in *revision.Installed) {
	index := live.NewIndex(in.Document)
	old := c.index.Swap(index)
	if old.Document().Revision > in.To {
		c.cfg.Violation("config_reverted", "an older revision was installed")
	}
	c.revision.Set(float64(in.To))
	c.cfg.Log("config_installed", "from", in.From, "to", in.To)
	c.cfg.Installed(index, in.From)
}

// Propose proposes one change and waits for the outcome. resent means that the same
// change may have been proposed before.
func (c *Configs) Propose(ctx context.Context, change revision.Change, resent bool) revision.Outcome {
	p := &proposal{
		configs: c,
		core:    revision.NewProposer(revision.DefaultProposerConfig(), change, c.Index().Document(), c.newRand()),
		replies: make(chan table.Reply, 4),
	}
	if resent {
		p.core.MarkResent()
	}
	outcome := p.run(ctx)
	if outcome.Record != nil {
		c.Record(*outcome.Record)
		c.cfg.Replicate(ctx, *outcome.Record)
	}
	return outcome
}

// Record records a change whose acceptance this daemon or a peer observed. It reports
// whether this change or a later one is in force now, which is not the case while
// earlier changes are missing.
func (c *Configs) Record(record revision.Record) bool {
	learnt := false
	c.duty.Query(func(time.Duration) {
		c.perform(c.follower.ApplyAccepted(record))
		learnt = c.follower.Current().Revision >= record.Revision
	})
	return learnt
}

func (c *Configs) newRand() *rand.Rand {
	seed := uint64(c.cfg.Now())
	c.duty.Query(func(time.Duration) { seed = c.cfg.Rand.Uint64() })
	return rand.New(rand.NewPCG(seed, 0))
}

// proposal drives one Proposer in the goroutine of the operator's request.
type proposal struct {
	configs *Configs
	core    *revision.Proposer
	replies chan table.Reply
	outcome *revision.Outcome
}

func (p *proposal) run(ctx context.Context) revision.Outcome {
	ticker := time.NewTicker(proposalTickInterval)
	defer ticker.Stop()
	now := p.configs.cfg.Now
	p.perform(p.core.Start(now()))
	for p.outcome == nil {
		select {
		case r := <-p.replies:
			p.perform(p.core.Handle(now(), r))
		case <-ticker.C:
			p.perform(p.core.Tick(now()))
		case <-ctx.Done():
			return revision.Outcome{Result: revision.Unresolved}
		case <-p.configs.duty.Context().Done():
			return revision.Outcome{Result: revision.Unresolved}
		}
	}
	return *p.outcome
}

func (p *proposal) perform(actions []revision.ProposerAction) {
	for _, a := range actions {
		if a.Outcome != nil {
			p.outcome = a.Outcome
		}
		if a.Request != nil {
			p.send(*a.Request)
		}
	}
}

// send runs a store call. A reply that arrives after the end of the proposal is
// dropped.
func (p *proposal) send(q table.Request) {
	p.configs.cfg.Store.Do(p.configs.duty.Context(), q, func(r table.Reply) {
		select {
		case p.replies <- r:
		default:
		}
	})
}
