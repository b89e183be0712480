package reap

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/samphirequay/samphirequay/core/defaults"
	"github.com/samphirequay/samphirequay/core/id"
)

// Never is the result of Next when nothing is scheduled.
const Never = time.Duration(math.MaxInt64)

// CancellerConfig configures a Canceller; zero fields take the defaults.
type CancellerConfig struct {
	// BackoffMin and BackoffMax bound the exponential backoff between two
	// cancels of one request. Default 50 ms and 5 s.
	BackoffMin time.Duration
	BackoffMax time.Duration
	// ReplyTimeout is the time after which a cancel without a reply counts as
	// failed. Default 1 s.
	ReplyTimeout time.Duration
	// MaxOrderDelay is the maximum time that a run order can be in flight. Before
	// it has passed, the reply Unknown does not prove that the request will not
	// run. Default 10 s.
	MaxOrderDelay time.Duration
	// MaxOrders bounds the number of pending orders. Default 8192.
	MaxOrders int
}

// Defaults of CancellerConfig.
const (
	DefaultBackoffMin    = 50 * time.Millisecond
	DefaultBackoffMax    = 5 * time.Second
	DefaultReplyTimeout  = time.Second
	DefaultMaxOrderDelay = 10 * time.Second
	DefaultMaxOrders     = 8192
)

// Canceller repeats each cancel until it is certain that the endpoint holds nothing
// for the request. It is not safe for concurrent use.
type Canceller struct {
	cfg    CancellerConfig
	orders map[Key]*order
	// incarnations holds the newest incarnation seen of each endpoint.
	incarnations map[id.Endpoint]id.Incarnation
}

// order is one pending Order.
type order struct {
	Order
	since    time.Duration
	due      time.Duration
	attempts int
	failures int
	// acknowledged is set once the endpoint has acknowledged the cancel.
	acknowledged bool
}

// NewCanceller returns a Canceller without orders.
func NewCanceller(cfg CancellerConfig) *Canceller {
	defaults.Set(&cfg.BackoffMin, DefaultBackoffMin)
	defaults.Set(&cfg.BackoffMax, DefaultBackoffMax)
	defaults.Set(&cfg.ReplyTimeout, DefaultReplyTimeout)
	defaults.Set(&cfg.MaxOrderDelay, DefaultMaxOrderDelay)
	defaults.Set(&cfg.MaxOrders, DefaultMaxOrders)
	return &Canceller{cfg: cfg, orders: map[Key]*order{}, incarnations: map[id.Endpoint]id.Incarnation{}}
}

// Add adds an order. If an order for the same key is pending, the two are merged: an
// unconditional cancel takes precedence over a conditional one.
func (c *Canceller) Add(now time.Duration, o Order) []Action {
	if old, ok := c.orders[o.Key]; ok {
		old.merge(o)
		return nil
	}
	if c.incarnationEnded(o) {
		return []Action{{Done: &Done{Key: o.Key, Reason: DoneIncarnation}}}
	}
	if len(c.orders) >= c.cfg.MaxOrders {
		return []Action{{Done: &Done{Key: o.Key, Reason: DoneOverflow}}}
	}
	added := &order{Order: o, since: now, due: now}
	c.orders[o.Key] = added
	return c.send(now, added)
}

func (o *order) merge(more Order) {
	if more.Owner == nil {
		o.Owner = nil
	}
	o.KV = cmp.Or(o.KV, more.KV)
	o.Incarnation = max(o.Incarnation, more.Incarnation)
	o.RunSettled = o.RunSettled || more.RunSettled
}

// incarnationEnded reports whether the order is for an incarnation that has ended.
func (c *Canceller) incarnationEnded(o Order) bool {
	return o.Incarnation != 0 && c.incarnations[o.Key.Endpoint] > o.Incarnation
}

func (c *Canceller) send(now time.Duration, o *order) []Action {
	o.attempts++
	o.due = now + c.cfg.ReplyTimeout + c.backoff(o)
	var out []Action
	if !o.acknowledged {
		out = append(out, Action{Cancel: &Cancel{Key: o.Key, Owner: o.Owner}})
	}
	if o.KV != "" {
		out = append(out, Action{Release: &Release{Key: o.Key, KV: o.KV}})
	}
	return out
}

func (c *Canceller) backoff(o *order) time.Duration {
	wait := float64(c.cfg.BackoffMin) * math.Pow(2, float64(o.failures))
	return time.Duration(min(wait, float64(c.cfg.BackoffMax)))
}

// MarkRunSettled records that the run order of a request can no longer arrive.
func (c *Canceller) MarkRunSettled(k Key) {
	if o, ok := c.orders[k]; ok {
		o.RunSettled = true
	}
}

// Reply handles the reply to a cancel.
func (c *Canceller) Reply(now time.Duration, k Key, state CancelState) []Action {
	o, ok := c.orders[k]
	if !ok || o.acknowledged {
		return nil
	}
	if state == Unknown && !c.unknownIsFinal(now, o) {
		o.failures++
		o.due = now + c.backoff(o)
		return nil
	}
	o.acknowledged = true
	return c.endIfDone(now, o)
}

// unknownIsFinal reports whether the reply Unknown proves that the request does not
// run and never will.
func (c *Canceller) unknownIsFinal(now time.Duration, o *order) bool {
	return o.RunSettled || now-o.since >= c.cfg.MaxOrderDelay
}

// Released records that the endpoint freed the KV cache, or does not hold it.
func (c *Canceller) Released(now time.Duration, k Key) []Action {
	o, ok := c.orders[k]
	if !ok {
		return nil
	}
	o.KV = ""
	return c.endIfDone(now, o)
}

func (c *Canceller) endIfDone(now time.Duration, o *order) []Action {
	if !o.acknowledged || o.KV != "" {
		return nil
	}
	return c.end(now, o, DoneAcknowledged)
}

func (c *Canceller) end(now time.Duration, o *order, reason DoneReason) []Action {
	delete(c.orders, o.Key)
	return []Action{{Done: &Done{Key: o.Key, Reason: reason, Attempts: o.attempts, After: now - o.since}}}
}

// Failed records that a cancel or release got no reply.
func (c *Canceller) Failed(now time.Duration, k Key) {
	o, ok := c.orders[k]
	if !ok {
		return
	}
	o.failures++
	o.due = now + c.backoff(o)
}

// Incarnation records that an endpoint was seen with an incarnation. All orders for
// its earlier incarnations are done, since their memory was lost with them.
func (c *Canceller) Incarnation(now time.Duration, e id.Endpoint, inc id.Incarnation) []Action {
	if inc <= c.incarnations[e] {
		return nil
	}
	c.incarnations[e] = inc
	return c.endAll(now, DoneIncarnation, func(o *order) bool { return o.Key.Endpoint == e && c.incarnationEnded(o.Order) })
}

// Remove ends all orders for an endpoint that has left the configuration.
func (c *Canceller) Remove(now time.Duration, e id.Endpoint) []Action {
	delete(c.incarnations, e)
	return c.endAll(now, DoneRemoved, func(o *order) bool { return o.Key.Endpoint == e })
}

func (c *Canceller) endAll(now time.Duration, reason DoneReason, match func(*order) bool) []Action {
	var out []Action
	for _, o := range c.sorted(match) {
		out = append(out, c.end(now, o, reason)...)
	}
	return out
}

// sorted lists the matching orders by time due, then by key.
func (c *Canceller) sorted(match func(*order) bool) []*order {
	var out []*order
	for _, o := range c.orders {
		if match(o) {
			out = append(out, o)
		}
	}
	slices.SortFunc(out, func(a, b *order) int {
		return cmp.Or(
			cmp.Compare(a.due, b.due),
			cmp.Compare(a.Key.Endpoint, b.Key.Endpoint),
			cmp.Compare(a.Key.Request, b.Key.Request))
	})
	return out
}

// Tick returns the cancels and releases that are due. The caller calls it at Next
// at the latest.
func (c *Canceller) Tick(now time.Duration) []Action {
	var out []Action
	for _, o := range c.sorted(func(o *order) bool { return o.due <= now }) {
		out = append(out, c.send(now, o)...)
	}
	return out
}

// Next returns the time of the next Tick, or Never if no order is pending.
func (c *Canceller) Next() time.Duration {
	next := Never
	for _, o := range c.orders {
		next = min(next, o.due)
	}
	return next
}

// Pending returns the number of pending orders.
func (c *Canceller) Pending() int { return len(c.orders) }
